package guavastandin

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Fault is a fault of a stand-in as sent to POST /fault. A fault of a kind replaces the one before.
type Fault struct {
	// Kind is "crash", "hang", "slow", "late", "cross", "mark" or "clear", which ends all but a crash and a mark.
	Kind string `json:"kind"`
	// Millis is the length of a crash or hang (0: until restarted or cleared), and the delay of "late".
	Millis int64 `json:"millis,omitempty"`
	// Factor multiplies the time per step of "slow".
	Factor float64 `json:"factor,omitempty"`
	// CrashMarker is the text in a request's body that makes the server crash, empty for none.
	CrashMarker string `json:"mark,omitempty"`
}

// server is what the engine and the service have in common: connections that a crash drops, and faults.
type server struct {
	http    *fasthttp.Server
	onCrash func()

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]struct{}
	down    bool
	closed  bool
	up      chan struct{} // closed when the server listens again
	hang    chan struct{} // closed when the hang ends, nil without one
	slow    float64
	late    time.Duration
	cross   bool
	mark    string
	crashes int
}

func newServer(handler fasthttp.RequestHandler, onCrash func()) *server {
	s := &server{conns: map[net.Conn]struct{}{}, slow: 1, onCrash: onCrash}
	s.http = &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    64 << 20,
		ReadBufferSize:        16 << 10,
		Logger:                silent{},
		ConnState:             s.track,
	}
	return s
}

type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

func (s *server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
		if s.down {
			c.Close()
		}
	case fasthttp.StateClosed:
		delete(s.conns, c)
	}
}

// Serve accepts connections until Close. After a crash it waits for the restart and listens again on the
// address of ln.
func (s *server) Serve(ln net.Listener) error {
	for {
		s.mu.Lock()
		up, down, closed := s.up, s.down, s.closed
		if down || closed {
			ln.Close()
		} else {
			s.ln = ln
		}
		s.mu.Unlock()
		if closed {
			return nil
		}
		if !down {
			err := s.http.Serve(ln)
			s.mu.Lock()
			expected := s.down || s.closed
			s.mu.Unlock()
			if !expected {
				return err
			}
			continue
		}
		<-up
		fresh, err := relisten(ln)
		if err != nil {
			return fmt.Errorf("listen after restart: %w", err)
		}
		ln = fresh
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
	}
}

// Crash drops all connections and refuses new ones until Restart.
func (s *server) Crash() {
	s.mu.Lock()
	if s.down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down, s.up = true, make(chan struct{})
	s.crashes++
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropConns()
	s.endHang()
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash()
	}
}

// Restart ends a crash. The server has lost its work and its cache.
func (s *server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.endWait()
	}
}

// Crashes returns the number of crashes so far.
func (s *server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Close stops the server and drops its connections.
func (s *server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropConns()
	s.endHang()
	s.endWait()
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash()
	}
}

// dropConns closes connections abortively, as the death of a process with unread data does.
func (s *server) dropConns() {
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func (s *server) endWait() {
	if s.up != nil {
		select {
		case <-s.up:
		default:
			close(s.up)
		}
	}
}

func (s *server) endHang() {
	if s.hang != nil {
		close(s.hang)
		s.hang = nil
	}
}

// Inject switches a fault on or off.
func (s *server) Inject(f Fault) error {
	length := time.Duration(f.Millis) * time.Millisecond
	switch f.Kind {
	case "crash":
		s.Crash()
		if length > 0 {
			time.AfterFunc(length, s.Restart)
		}
		return nil
	case "hang":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endHang()
		hang := make(chan struct{})
		s.hang = hang
		if length > 0 {
			time.AfterFunc(length, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.hang == hang {
					s.endHang()
				}
			})
		}
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case "slow":
		s.slow = max(f.Factor, 0)
	case "late":
		s.late = length
	case "cross":
		s.cross = true
	case "mark":
		s.mark = f.CrashMarker
	case "clear":
		s.endHang()
		s.slow, s.late, s.cross = 1, 0, false
	default:
		return fmt.Errorf("unknown fault kind %q", f.Kind)
	}
	return nil
}

// Hangs reports whether the server hangs.
func (s *server) Hangs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hang != nil
}

// wait blocks while the server hangs.
func (s *server) wait() {
	s.mu.Lock()
	hang := s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
}

// delay returns how much longer an answer takes than its computation.
func (s *server) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

func (s *server) factor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow
}

func (s *server) crossed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cross
}

func (s *server) marked(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mark != "" && strings.Contains(string(body), s.mark)
}

// handleFault serves POST /fault.
func (s *server) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := s.Inject(f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

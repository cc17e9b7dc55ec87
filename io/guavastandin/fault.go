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

// Fault is a fault of an Engine or a Service, as sent to POST /fault. It replaces an earlier fault of its kind.
type Fault struct {
	// Kind is one of:
	//   - "crash": drop all connections and all work, and refuse new connections
	//   - "hang": stop processing
	//   - "slow": multiply the processing time by Factor
	//   - "late": delay each response by Millis
	//   - "cross": send responses to the wrong requests
	//   - "mark": crash on a request that contains CrashMarker
	//   - "clear": end all faults except "crash" and "mark"
	Kind string `json:"kind"`
	// Millis is the duration in milliseconds of "crash" (0: until Restart) and "hang" (0: until "clear"), and the delay
	// of "late".
	Millis int64 `json:"millis,omitempty"`
	// Factor is the factor of "slow"; a negative one counts as 0.
	Factor float64 `json:"factor,omitempty"`
	// CrashMarker is the text of "mark" that is searched in request bodies; empty for none.
	CrashMarker string `json:"mark,omitempty"`
}

// server is the HTTP server shared by Engine and Service, with its connections and faults.
type server struct {
	http    *fasthttp.Server
	onCrash func()

	mu             sync.Mutex
	ln             net.Listener
	conns          map[net.Conn]struct{}
	down           bool // crashed and not yet listening again
	closed         bool
	restarted      chan struct{} // closed by Restart and Close; Serve waits for it after a crash
	hangEnded      chan struct{} // closed when the current hang ends; nil if there is none
	slowFactor     float64
	responseDelay  time.Duration
	crossResponses bool
	crashMarker    string
	crashes        int
}

func newServer(handler fasthttp.RequestHandler, onCrash func()) *server {
	s := &server{conns: map[net.Conn]struct{}{}, slowFactor: 1, onCrash: onCrash}
	s.http = &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    64 << 20,
		ReadBufferSize:        16 << 10,
		Logger:                discardLogger{},
		ConnState:             s.track,
	}
	return s
}

type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

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

// Serve accepts connections until Close. After a crash it waits for Restart and listens again on the address of ln.
func (s *server) Serve(ln net.Listener) error {
	for {
		s.mu.Lock()
		restarted, down, closed := s.restarted, s.down, s.closed
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
		<-restarted
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

// Crash drops all connections and all work, and refuses new connections until Restart.
func (s *server) Crash() {
	s.mu.Lock()
	if s.down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down, s.restarted = true, make(chan struct{})
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

// Restart ends a crash. Work and caches from before the crash are lost.
func (s *server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.signalRestart()
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
	s.signalRestart()
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash()
	}
}

// dropConns resets all connections, as the kernel does when a process with unread data dies. The caller holds s.mu.
func (s *server) dropConns() {
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

func (s *server) signalRestart() {
	if s.restarted != nil {
		select {
		case <-s.restarted:
		default:
			close(s.restarted)
		}
	}
}

func (s *server) endHang() {
	if s.hangEnded != nil {
		close(s.hangEnded)
		s.hangEnded = nil
	}
}

// Inject starts a fault, or ends faults for kind "clear".
func (s *server) Inject(f Fault) error {
	duration := time.Duration(f.Millis) * time.Millisecond
	switch f.Kind {
	case "crash":
		s.Crash()
		if duration > 0 {
			time.AfterFunc(duration, s.Restart)
		}
		return nil
	case "hang":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endHang()
		hangEnded := make(chan struct{})
		s.hangEnded = hangEnded
		if duration > 0 {
			time.AfterFunc(duration, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.hangEnded == hangEnded {
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
		s.slowFactor = max(f.Factor, 0)
	case "late":
		s.responseDelay = duration
	case "cross":
		s.crossResponses = true
	case "mark":
		s.crashMarker = f.CrashMarker
	case "clear":
		s.endHang()
		s.slowFactor, s.responseDelay, s.crossResponses = 1, 0, false
	default:
		return fmt.Errorf("unknown fault kind %q", f.Kind)
	}
	return nil
}

// Hangs reports whether the fault "hang" is active.
func (s *server) Hangs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hangEnded != nil
}

// waitWhileHung blocks until the current hang has ended, if there is one.
func (s *server) waitWhileHung() {
	s.mu.Lock()
	hangEnded := s.hangEnded
	s.mu.Unlock()
	if hangEnded != nil {
		<-hangEnded
	}
}

// delay returns the delay of a response after the end of its processing.
func (s *server) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.responseDelay
}

func (s *server) factor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowFactor
}

func (s *server) crossesResponses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crossResponses
}

func (s *server) hasCrashMarker(body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashMarker != "" && strings.Contains(string(body), s.crashMarker)
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

package guavaback_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/io/guavaback"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavastandin"
)

// script is what a server does with the n-th request on all its connections. It returns false to close.
type script func(n int, c net.Conn, r *http.Request) bool

// scripted is a server that follows a script and counts requests.
type scripted struct {
	mu       sync.Mutex
	requests int
	paths    []string
	cancels  []int // statuses of the first answers to /cancel; 0: no answer. The others are 200.
}

// cancel answers /cancel. It returns false to close.
func (s *scripted) cancel(c net.Conn) bool {
	s.mu.Lock()
	status := http.StatusOK
	if len(s.cancels) > 0 {
		status, s.cancels = s.cancels[0], s.cancels[1:]
	}
	s.mu.Unlock()
	if status == 0 {
		return false
	}
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	return true
}

func (s *scripted) serve(ln net.Listener, run script) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			b := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				s.mu.Lock()
				s.requests++
				n := s.requests
				s.paths = append(s.paths, r.URL.Path)
				s.mu.Unlock()
				var goOn bool
				if r.URL.Path == "/cancel" {
					goOn = s.cancel(c)
				} else {
					goOn = run(n, c, r)
				}
				if !goOn {
					return
				}
			}
		}()
	}
}

func (s *scripted) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.paths...)
}

// rig is a client with its counters on an in-memory network.
type rig struct {
	*testing.T
	guavaback.Client
	network  *guavanetwork.Site
	counters guavaback.Counters
}

// inBubble runs a test on virtual time. Goroutines left over at its end fail it.
func inBubble(t *testing.T, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{T: t, network: guavanetwork.New().Site("here")}
		r.Client = guavaback.New(guavaback.WithDial(r.network.Dial), guavaback.WithCounters(&r.counters))
		test(r)
		r.Close()
	})
}

func (r *rig) listen(address string) net.Listener {
	r.Helper()
	ln, err := r.network.Listen(address)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { ln.Close() })
	return ln
}

func (r *rig) script(run script, cancels ...int) *scripted {
	r.Helper()
	s := &scripted{cancels: cancels}
	ln := r.listen("server")
	go s.serve(ln, run)
	return s
}

func (r *rig) engine(address string, c guavastandin.EngineConfig) *guavastandin.Engine {
	r.Helper()
	e := guavastandin.NewEngine(c)
	ln := r.listen(address)
	go func() { _ = e.Serve(ln) }()
	r.Cleanup(func() {
		e.Close()
		time.Sleep(time.Minute) // its worker pool ends late
	})
	synctest.Wait()
	return e
}

// collector is a sink that keeps the events.
type collector struct {
	heads  int
	events []string
}

func (c *collector) Head(int, map[string]string) error {
	c.heads++
	return nil
}

func (c *collector) Event(data []byte) error {
	c.events = append(c.events, string(data))
	return nil
}

const chat = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":20,"stream":true}`

func attempt(address string, stream bool) guavaback.Attempt {
	return guavaback.Attempt{
		ID: "a1", Address: address, Method: "POST", Path: "/v1/chat/completions",
		Header: map[string]string{"Content-Type": "application/json"}, Body: []byte(chat), Stream: stream,
	}
}

// do sends an attempt with a deadline of a minute.
func (r *rig) do(a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	ctx, stop := context.WithTimeout(r.Context(), time.Minute)
	defer stop()
	return r.Do(ctx, a, sink)
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// execution is a request that a server has begun to work on.
type execution struct {
	at                 time.Time
	server, id, tenant string
	path               string
	lastEvent          int // -1 for none
}

// server stands in for a model server. It sends the events of a text at a fixed interval.
type server struct {
	id       string
	service  string
	zone     string
	address  string
	sequence int
	events   int
	interval time.Duration
	slots    chan struct{}
	log      func(execution)

	mu      sync.Mutex
	running int
	ended   time.Time // when the last run ended, by the server or by its caller
}

func newServer(id string, slots, events int, interval time.Duration, log func(execution)) *server {
	return &server{id: id, events: events, interval: interval, slots: make(chan struct{}, slots), log: log}
}

// eventData returns the data of an event of a request's text.
func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header()["Date"] = nil
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	last := -1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		last = n
	}
	s.log(execution{at: time.Now(), server: s.id, id: id, tenant: r.Header.Get("X-Tenant"), path: r.URL.Path, lastEvent: last})
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Seal", "seal-"+id)
	s.mu.Lock()
	s.running++
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, cap(s.slots)))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.ended = time.Now()
		s.mu.Unlock()
	}()
	flush := http.NewResponseController(w)
	for n := last + 1; n < s.events; n++ {
		select {
		case <-time.After(s.interval):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
}

// load returns the number of requests that the server is working on, and when the last run ended.
func (s *server) load() (running int, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.ended
}

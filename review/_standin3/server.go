package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server has begun to work on.
type run struct {
	ID, Method, Target, Server, Body string
	Header                           http.Header
	LastEventID                      int
	Arrival                          time.Time // of the head
	Start                            time.Time // when a slot was free
	End                              time.Time // zero while it runs
	Complete                         bool
}

// server stands in for a backend server: a model server for paths with the word stream, which are followed by the number of
// events, and a plain one for others.
type server struct {
	id, service, zone, address string
	slots, queue               int
	interval                   time.Duration // between events
	work                       time.Duration // of plain requests
	http                       *http.Server
	free                       chan struct{}
	padding                    string // appended to the data of each event

	mu      sync.Mutex
	silent  bool // it no longer writes its entry
	runs    []*run
	running int
	waiting int
	// fault, if set, handles a request that has a slot in place of the server and returns true, or returns false.
	fault func(w http.ResponseWriter, r *http.Request, x *run) bool
}

func newServer(s *store, id, service, zone string, slots int) *server {
	b := &server{
		id: id, service: service, zone: zone, slots: slots, queue: 3 * slots, interval: 20 * time.Millisecond, work: 30 * time.Millisecond,
		free: make(chan struct{}, slots),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b.address = ln.Addr().String()
	b.http = &http.Server{Handler: b}
	go b.http.Serve(ln)
	b.announce(s, "ready")
	return b
}

func (b *server) announce(s *store, state string) {
	s.put("servers", b.id, b.entry(state, 1))
}

func (b *server) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
		"coldLeftMs": 0, "sequence": sequence, "born": 1,
	}
}

// heartbeat writes the entry of the server about every 1,200 ms.
func (b *server) heartbeat(s *store, stop chan struct{}) {
	for n := 2; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		b.mu.Lock()
		if !b.silent {
			s.put("servers", b.id, b.entry("ready", n))
		}
		b.mu.Unlock()
	}
}

// stopHeartbeat makes the server no longer write its entry.
func (b *server) stopHeartbeat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// list returns a copy of the runs so far.
func (b *server) list() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]run, 0, len(b.runs))
	for _, x := range b.runs {
		list = append(list, *x)
	}
	return list
}

func (b *server) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
}

// ServeHTTP implements http.Handler.
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Load", b.load())
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	budget := 10 * time.Second
	if n, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		budget = time.Duration(n) * time.Millisecond
	}
	deadline := time.NewTimer(budget)
	defer deadline.Stop()
	b.mu.Lock()
	full := b.waiting >= b.queue
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		b.refuse(w)
		return
	}
	select {
	case b.free <- struct{}{}:
		b.count(-1, 1)
		defer func() {
			b.count(0, -1)
			<-b.free
		}()
	case <-deadline.C:
		b.count(-1, 0)
		b.refuse(w)
		return
	case <-r.Context().Done():
		b.count(-1, 0)
		return
	}
	x := &run{
		ID: id, Method: r.Method, Target: r.RequestURI, Server: b.id, Body: string(body), Header: r.Header.Clone(), LastEventID: -1,
		Arrival: arrival, Start: time.Now(),
	}
	defer b.end(x)
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		x.LastEventID = n
	}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	fault := b.fault
	b.mu.Unlock()
	h.Set("X-Response-Seal", "3e1b."+b.id+"."+id)
	h.Set("X-Server-Load", b.load())
	if fault != nil && fault(w, r, x) {
		return
	}
	if strings.Contains(r.URL.Path, "stream") {
		b.stream(w, r, x, deadline.C)
		return
	}
	select {
	case <-time.After(b.work):
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	b.done(x)
	fmt.Fprintf(w, "answer of %s to %s", b.id, id)
}

func (b *server) count(waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += waiting
	b.running += running
}

func (b *server) refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (b *server) end(x *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.End = time.Now()
}

func (b *server) done(x *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x.Complete = true
}

func (b *server) stream(w http.ResponseWriter, r *http.Request, x *run, deadline <-chan time.Time) {
	total, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	check(err)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := x.LastEventID + 1; n < total; n++ {
		select {
		case <-time.After(b.interval):
		case <-deadline:
			panic(http.ErrAbortHandler) // the stream ends without its end
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, event(x.ID, n, b.padding)); err != nil || control.Flush() != nil {
			return
		}
	}
	b.done(x)
}

// event returns an event of the stream of a request.
func event(id string, n int, padding string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n, padding))
}

func eventData(id string, n int, padding string) string {
	return fmt.Sprintf("%s event %d%s", id, n, padding)
}

// itemText returns the whole output of an item.
func itemText(id string, events int, padding string) string {
	lines := make([]string, 0, events)
	for n := range events {
		lines = append(lines, eventData(id, n, padding))
	}
	return strings.Join(lines, "\n")
}

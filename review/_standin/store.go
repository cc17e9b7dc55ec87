package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedRow is a row of the platform's store, or a change of one.
type storedRow struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"rowVersion"`
	Removed  bool   `json:"removed,omitempty"`
}

func (r storedRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store stands in for the platform's store of rows and objects.
type store struct {
	address string
	begin   time.Time

	mu       sync.Mutex
	rows     map[string]storedRow
	history  []storedRow
	objects  map[string][]byte
	revision uint64
	changed  chan struct{}
	delay    time.Duration // before each answer
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), begin: time.Now(), rows: map[string]storedRow{}, objects: map[string][]byte{},
		changed: make(chan struct{}), delay: 4 * time.Millisecond,
	}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put writes a row as the operator or a server does. A nil value removes it.
func (s *store) put(table, key string, value any) {
	r := storedRow{Table: table, Key: key, Removed: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = base64.StdEncoding.EncodeToString(data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(r)
	s.notify()
}

// write applies a change at the current revision. The caller holds the lock.
func (s *store) write(r storedRow) {
	r.Revision = s.revision
	if r.Removed {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	path, name := q.URL.Path, q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:]
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	time.Sleep(delay)
	switch {
	case path == "/guavaridge/rows-tx":
		s.commit(w, body)
	case path == "/guavaridge/rows-get":
		s.get(w, q)
	case path == "/guavaridge/rows-feed":
		s.feed(w, q)
	case strings.HasPrefix(path, "/guavaridge/blob-put/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.objects[name]; ok {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.objects[name] = body
	case strings.HasPrefix(path, "/guavaridge/blob-get/"):
		s.mu.Lock()
		data, ok := s.objects[name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	case strings.HasPrefix(path, "/guavaridge/blob-drop/"):
		s.mu.Lock()
		delete(s.objects, name)
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storedRow, position uint64) {
	if rows == nil {
		rows = []storedRow{}
	}
	data, err := json.Marshal(map[string]any{
		"rows": rows, "hasMore": false, "rowVersion": position, "nowMs": time.Since(s.begin).Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) commit(w http.ResponseWriter, body []byte) {
	var q struct{ Expect, Put, Remove []storedRow }
	if json.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storedRow
	conflict := false
	for _, e := range q.Expect {
		r := s.rows[e.id()]
		conflict = conflict || r.Revision != e.Revision
		if r.Revision > 0 {
			current = append(current, r)
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, s.revision)
		return
	}
	for _, r := range q.Put {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, r := range q.Put {
		s.write(r)
	}
	for _, r := range q.Remove {
		r.Removed = true
		s.write(r)
	}
	s.notify()
	s.reply(w, http.StatusOK, nil, s.revision)
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storedRow
	for _, r := range s.rows {
		if r.Table == v.Get("table") && r.Part == v.Get("part") && r.Key >= v.Get("from") && (v.Get("to") == "" || r.Key < v.Get("to")) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	if n, err := strconv.Atoi(v.Get("limit")); err == nil && n > 0 && len(rows) > n {
		rows = rows[:n]
	}
	s.reply(w, http.StatusOK, rows, s.revision)
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(v.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []storedRow
		for _, r := range s.history {
			if r.Table == v.Get("table") && r.Revision > after {
				rows = append(rows, r)
			}
		}
		position, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ended {
			s.reply(w, http.StatusOK, rows, position)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-q.Context().Done():
			return
		}
	}
}

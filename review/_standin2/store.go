package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the store, as the settings of a small deployment state them.
const (
	transactionTime = 3 * time.Millisecond
	objectTime      = 25 * time.Millisecond
	objectRate      = 80e6 // bytes per second, shared by all calls
)

// row is a row of the store, or a change of one.
type row struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"rowVersion"`
	Removed  bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	history  []row
	revision uint64
	changed  chan struct{}
	objects  map[string][]byte
	freeAt   time.Time // when the bandwidth for objects is free again
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), objects: map[string][]byte{}}
}

// put writes a row, as the operator and the servers do.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(row{Table: table, Key: key, Value: value, Revision: s.revision})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(row{Table: table, Key: key, Revision: s.revision, Removed: true})
}

// apply applies a change. The caller holds the lock.
func (s *store) apply(r row) {
	if r.Removed {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch r.URL.Path {
	case "/guavaridge/rows-tx":
		s.transact(w, body)
	case "/guavaridge/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "/guavaridge/rows-feed":
		s.feed(w, r, q.Get("table"), q.Get("after"), q.Get("waitMs"))
	default:
		s.object(w, r, name, body)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, revision uint64) {
	if rows == nil {
		rows = []row{}
	}
	data, err := json.Marshal(map[string]any{
		"rows": rows, "hasMore": more, "rowVersion": revision, "nowMs": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var q struct{ Expect, Put, Remove []row }
	if err := json.Unmarshal(body, &q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	status, rows, revision := s.commit(q.Expect, q.Put, q.Remove)
	s.reply(w, status, rows, false, revision)
}

// commit applies a transaction if all rows in expect have their revisions.
func (s *store) commit(expect, put, remove []row) (status int, current []row, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status = http.StatusOK
	for _, e := range expect {
		now := s.rows[e.id()]
		if now.Revision != e.Revision {
			status = http.StatusPreconditionFailed
		}
		if now.Revision > 0 {
			current = append(current, now)
		}
	}
	if status != http.StatusOK {
		return status, current, s.revision
	}
	s.revision++
	for _, r := range put {
		r.Revision = s.revision
		s.apply(r)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; ok {
			r.Revision, r.Removed = s.revision, true
			s.apply(r)
		}
	}
	return status, nil, s.revision
}

func (s *store) get(w http.ResponseWriter, table, part, from, to, limit string) {
	most, err := strconv.Atoi(limit)
	if err != nil || most > 500 {
		most = 500
	}
	s.mu.Lock()
	var rows []row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(rows) && n < most && (n == 0 || size+len(rows[n].Value) < 1e6) {
		size += len(rows[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, rows[:n], n < len(rows), revision)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table, after, wait string) {
	from, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(wait) // 0 if it is missing
	end := time.After(time.Duration(ms) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for _, c := range s.history {
			if c.Table == table && c.Revision > from {
				rows = append(rows, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ended {
			s.reply(w, http.StatusOK, rows, false, revision)
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// object serves the calls for objects, which share objectRate.
func (s *store) object(w http.ResponseWriter, r *http.Request, name string, body []byte) {
	s.mu.Lock()
	data, ok := s.objects[name]
	size := max(len(data), len(body))
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(size) / objectRate * float64(time.Second)))
	delay := objectTime + s.freeAt.Sub(now)
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case strings.HasPrefix(r.URL.Path, "/guavaridge/blob-put/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, exists := s.objects[name]; exists && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.objects[name] = body
	case strings.HasPrefix(r.URL.Path, "/guavaridge/blob-get/") && ok:
		w.Header().Set("Content-Length", fmt.Sprint(len(data)))
		_, _ = w.Write(data) // the caller may have gone
	case strings.HasPrefix(r.URL.Path, "/guavaridge/blob-drop/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.objects, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

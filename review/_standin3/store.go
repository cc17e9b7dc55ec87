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

// row is a row of the metadata store, or a change to one.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Limits of the store, as in the settings of a small deployment.
const (
	maxRowBytes  = 65536
	maxBlobBytes = 8 << 20
	// maxTotalBytes is the size of all objects beyond which none is stored.
	maxTotalBytes = 400_000_000
	maxCallBytes  = 1 << 20
	maxEntries    = 100
	maxRows       = 500
	callTime      = 4 * time.Millisecond
	blobTime      = 25 * time.Millisecond
)

// store stands in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	blobs   map[string][]byte
	total   int // bytes of all objects
	full    int // number of objects that were refused
	version uint64
	changed chan struct{}
	start   time.Time
	// fault, if set, handles a call of a machine in place of the store and returns true, or returns false.
	fault func(machine string, w http.ResponseWriter, r *http.Request) bool
}

func newStore() *store {
	return &store{rows: map[string]row{}, blobs: map[string][]byte{}, changed: make(chan struct{}), start: time.Now()}
}

// open returns an address at which the store answers the calls of one machine.
func (s *store) open(machine string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) })}
	go h.Serve(ln)
	return ln.Addr().String()
}

// setFault sets the fault; nil ends it.
func (s *store) setFault(f func(machine string, w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// put writes a row as the operator or a server does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	r := row{Table: table, Key: key, Removed: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		check(err)
		r.Value = base64.StdEncoding.EncodeToString(data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(r)
}

// apply applies a change at the current version. s.mu must be locked.
func (s *store) apply(r row) {
	r.Version = s.version
	if r.Removed {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence makes the store leave the calls that arrive within a time without an answer.
func (s *store) silence(d time.Duration) {
	end := time.Now().Add(d)
	s.setFault(func(_ string, _ http.ResponseWriter, r *http.Request) bool {
		if time.Now().After(end) {
			return false
		}
		<-r.Context().Done()
		return true
	})
}

// objects returns the number of bytes of all objects, and how many objects were refused since there was no room.
func (s *store) objects() (total, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.full
}

// count returns the number of rows of a table.
func (s *store) count(table string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table {
			n++
		}
	}
	return n
}

func (s *store) handle(machine string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBlobBytes+1))
	if err != nil {
		return
	}
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil && fault(machine, w, r) {
		return
	}
	s.serve(w, r, body)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	name := strings.TrimPrefix(r.URL.Path, "/guavaridge/")
	switch call, id, _ := strings.Cut(name, "/"); call {
	case "rows-tx":
		time.Sleep(callTime)
		s.commit(w, body)
	case "rows-get":
		time.Sleep(callTime)
		s.get(w, r)
	case "rows-feed":
		s.feed(w, r)
	case "blob-put", "blob-get", "blob-drop":
		time.Sleep(blobTime)
		s.blob(w, r, call, id, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes rows. The caller does not hold s.mu.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	data, err := json.Marshal(map[string]any{
		"rows": rows, "hasMore": more, "rowVersion": version, "nowMs": time.Since(s.start).Milliseconds(),
	})
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) commit(w http.ResponseWriter, body []byte) {
	var q struct {
		Expect, Put, Remove []row
		Across              bool
	}
	if len(body) > maxCallBytes || json.Unmarshal(body, &q) != nil || len(q.Expect)+len(q.Put)+len(q.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, list := range [][]row{q.Expect, q.Put, q.Remove} {
		for _, r := range list {
			parts[r.Part] = true
			if len(r.Key) > 200 || len(r.Part) > 200 || len(r.Value) > maxRowBytes {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
	}
	if len(parts) > 1 && !q.Across {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	failed := false
	for _, e := range q.Expect {
		old, ok := s.rows[e.id()]
		failed = failed || old.Version != e.Version
		if ok {
			current = append(current, old)
		}
	}
	if failed {
		version := s.version
		s.mu.Unlock()
		s.reply(w, http.StatusPreconditionFailed, current, false, version)
		return
	}
	s.version++
	for _, p := range q.Put {
		p.Removed = false
		s.apply(p)
	}
	for _, p := range q.Remove {
		p.Removed, p.Value = true, ""
		s.apply(p)
	}
	version := s.version
	s.mu.Unlock()
	s.reply(w, http.StatusOK, nil, false, version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxRows)
	}
	s.mu.Lock()
	var rows []row
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= maxCallBytes) {
		size += len(rows[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, rows[:n], n < len(rows), version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		var rows []row
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v uint64) int { return int(int64(r.Version) - int64(v)) })
		for _, c := range s.history[first:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > maxRows {
			rows = rows[:maxRows]
			version = rows[maxRows-1].Version
		}
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request, call, id string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.blobs[id]
	switch {
	case call == "blob-put" && ok && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case call == "blob-put" && len(body) > maxBlobBytes:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case call == "blob-put" && s.total+len(body)-len(data) > maxTotalBytes:
		s.full++
		w.WriteHeader(http.StatusInsufficientStorage)
	case call == "blob-put":
		s.blobs[id] = body
		s.total += len(body) - len(data)
	case call == "blob-drop":
		delete(s.blobs, id)
		s.total -= len(data)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.Write(data)
	}
}

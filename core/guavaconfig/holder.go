package guavaconfig

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrGap means that a change does not follow the version in force; the ones between are missing.
var ErrGap = errors.New("gap in configuration versions")

const (
	// recentChanges and recentBytes bound the changes that a VM keeps for others. 1,000 changes are 8 hours at 3,000
	// a day; 4 MiB is a sixteenth of the memory allowed for control.
	recentChanges = 1000
	recentBytes   = 4 << 20
)

// Holder holds the configuration in force on a VM. A lower version never replaces a higher one, whatever path it came
// by. Every method may be called concurrently.
type Holder struct {
	current atomic.Pointer[Snapshot]

	// order serializes changes together with their notifications, so that subscribers see versions in order.
	order       sync.Mutex
	mu          sync.Mutex // guards the fields below
	recent      []Change   // consecutive versions that end at the one in force
	bytes       int
	subscribers map[int]func(*Snapshot)
	next        int
}

var _ ChangeLog = (*Holder)(nil)

// NewHolder returns a holder of version 0, which declares nothing.
func NewHolder() *Holder {
	h := &Holder{subscribers: make(map[int]func(*Snapshot))}
	h.current.Store(NewSnapshot(0, Declarations{}))
	return h
}

// Snapshot returns the snapshot in force.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Head implements Changes.
func (h *Holder) Head() uint64 { return h.current.Load().version }

// After implements Changes.
func (h *Holder) After(version uint64, limit int) ([]Change, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	head := h.Head()
	if version >= head {
		return nil, true
	}
	missing := head - version
	if missing > uint64(len(h.recent)) {
		return nil, false
	}
	list := h.recent[uint64(len(h.recent))-missing:]
	return slices.Clone(list[:min(limit, len(list))]), true
}

// Accept implements Changes. Changes before the first faulty one are in force also when it returns an error.
func (h *Holder) Accept(changes []Change) error {
	h.order.Lock()
	defer h.order.Unlock()
	was := h.Snapshot()
	s := was
	var failed error
	var taken []Change
	for _, c := range changes {
		if c.Version <= s.version {
			continue
		}
		e, err := c.Entry()
		if err == nil {
			var next *Snapshot
			if next, err = s.Apply(e); err == nil {
				s = next
				taken = append(taken, c)
				continue
			}
		}
		failed = err
		break
	}
	if s != was {
		h.put(s, func() { h.remember(taken) })
	}
	return failed
}

// Load puts a whole snapshot in force and reports whether it did: a snapshot at or below the version in force is
// ignored. Changes up to the snapshot are no longer held.
func (h *Holder) Load(s *Snapshot) bool {
	h.order.Lock()
	defer h.order.Unlock()
	if s.version <= h.Head() {
		return false
	}
	h.put(s, func() { h.recent, h.bytes = nil, 0 })
	return true
}

// Subscribe calls f with every snapshot that comes into force after now, one call at a time and in order of versions.
// Versions that come into force together are one call. f must return soon and must not call Accept or Load. The
// returned function ends the subscription.
func (h *Holder) Subscribe(f func(*Snapshot)) (cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.next
	h.next++
	h.subscribers[id] = f
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, id)
	}
}

// put stores the snapshot and notifies the subscribers. The caller holds h.order.
func (h *Holder) put(s *Snapshot, update func()) {
	h.mu.Lock()
	update()
	h.current.Store(s)
	calls := make([]func(*Snapshot), 0, len(h.subscribers))
	for _, f := range h.subscribers {
		calls = append(calls, f)
	}
	h.mu.Unlock()
	for _, f := range calls {
		f(s)
	}
}

// remember appends changes and drops the oldest beyond the bounds. The caller holds h.mu.
func (h *Holder) remember(changes []Change) {
	h.recent = append(h.recent, changes...)
	for _, c := range changes {
		h.bytes += len(c.Data)
	}
	drop := 0
	for n := len(h.recent); n-drop > recentChanges || (h.bytes > recentBytes && n-drop > 1); drop++ {
		h.bytes -= len(h.recent[drop].Data)
	}
	// Clone releases the memory of the dropped changes.
	if drop > 0 {
		h.recent = slices.Clone(h.recent[drop:])
	}
}

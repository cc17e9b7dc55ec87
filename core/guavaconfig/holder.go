package guavaconfig

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrGap means that a change does not follow the current version directly: versions between them are missing.
var ErrGap = errors.New("gap in configuration versions")

const (
	// maxRecentChanges and maxRecentBytes bound the changes that a VM caches for other VMs. 1,000 changes cover 8 hours
	// at 3,000 a day; 4 MiB is a sixteenth of the memory budget of the control plane.
	maxRecentChanges = 1000
	maxRecentBytes   = 4 << 20
)

// Holder holds the current configuration of a VM. A lower version never replaces a higher one, whether it arrives as a
// change or as a snapshot. Holder is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	// acceptMu serializes updates together with their notifications, so that subscribers see versions in order.
	acceptMu    sync.Mutex
	mu          sync.Mutex // guards the fields below
	recent      []Change   // consecutive versions up to the current one
	recentSize  int
	subscribers map[int]func(*Snapshot)
	nextID      int
}

var _ ChangeLog = (*Holder)(nil)

// NewHolder returns a Holder at version 0, which has no declarations.
func NewHolder() *Holder {
	h := &Holder{subscribers: make(map[int]func(*Snapshot))}
	h.current.Store(NewSnapshot(0, Declarations{}))
	return h
}

// Snapshot returns the current snapshot.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Head implements ChangeLog.
func (h *Holder) Head() uint64 { return h.current.Load().version }

// After implements ChangeLog.
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

// Accept implements ChangeLog. When it returns an error, the changes before the first invalid one are applied.
func (h *Holder) Accept(changes []Change) error {
	h.acceptMu.Lock()
	defer h.acceptMu.Unlock()
	before := h.Snapshot()
	s := before
	var firstErr error
	var applied []Change
	for _, c := range changes {
		if c.Version <= s.version {
			continue
		}
		e, err := c.Entry()
		if err == nil {
			var next *Snapshot
			if next, err = s.Apply(e); err == nil {
				s = next
				applied = append(applied, c)
				continue
			}
		}
		firstErr = err
		break
	}
	if s != before {
		h.publish(s, func() { h.appendRecent(applied) })
	}
	return firstErr
}

// Load replaces the current snapshot by a newer one and reports whether it did: a snapshot at or below the current
// version is ignored. Load drops the cached changes.
func (h *Holder) Load(s *Snapshot) bool {
	h.acceptMu.Lock()
	defer h.acceptMu.Unlock()
	if s.version <= h.Head() {
		return false
	}
	h.publish(s, func() { h.recent, h.recentSize = nil, 0 })
	return true
}

// Subscribe calls f with each later snapshot, one call at a time and in order of versions. Changes accepted together
// cause one call, with the last of their versions. f must not block, and must not call Accept or Load. cancel ends the
// subscription.
func (h *Holder) Subscribe(f func(*Snapshot)) (cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.nextID
	h.nextID++
	h.subscribers[id] = f
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, id)
	}
}

// publish stores the snapshot and notifies the subscribers. The caller holds h.acceptMu.
func (h *Holder) publish(s *Snapshot, update func()) {
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

// appendRecent caches changes and drops the oldest beyond the limits. The caller holds h.mu.
func (h *Holder) appendRecent(changes []Change) {
	h.recent = append(h.recent, changes...)
	for _, c := range changes {
		h.recentSize += len(c.Data)
	}
	drop := 0
	for n := len(h.recent); n-drop > maxRecentChanges || (h.recentSize > maxRecentBytes && n-drop > 1); drop++ {
		h.recentSize -= len(h.recent[drop].Data)
	}
	// Clone releases the memory of the dropped changes.
	if drop > 0 {
		h.recent = slices.Clone(h.recent[drop:])
	}
}

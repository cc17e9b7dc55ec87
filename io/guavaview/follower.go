// Package guavaview maintains in-memory copies of tables of the platform's store.
package guavaview

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/io/guavaplatform"
)

const (
	// DefaultWait is the duration of a long poll for changes. It delays the detection of an unresponsive connection, so it
	// is well below the time within which a configuration has to be in force.
	DefaultWait = 1200 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed call, without its jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// readerCheckInterval is the time between checks whether other VMs still forward the changes.
	readerCheckInterval = 100 * time.Millisecond
	// heartbeatMargin is added to the duration of a long poll for the maximum age of the store's response in a heartbeat.
	heartbeatMargin = 200 * time.Millisecond
	// defaultBatchDelay is the pause after a response with changes. The store responds to a poll as soon as there is a change, so
	// without the pause each commit to a busy table costs a call and a message to each subscriber. It is short compared
	// with the 2 s within which a configuration has to be in force.
	defaultBatchDelay = 50 * time.Millisecond
	// snapshotTimeout bounds the read of a complete table.
	snapshotTimeout = 3 * time.Second
)

// Apply handles changes of a table. If full is true, the changes are the complete table, and rows not among them were
// removed.
type Apply func(changes []guavaplatform.RowChange, full bool)

// Follower maintains a copy of one table.
type Follower struct {
	feed   guavaplatform.Feed
	table  string
	parts  []string
	wait   time.Duration
	apply  Apply
	logger hclog.Logger
	ready  chan struct{}
	// covered reports whether other VMs forward all changes, and publish forwards changes to other VMs; either may be nil.
	covered func() bool
	publish func(Delta)
	// batchDelay is the pause after a response with changes.
	batchDelay time.Duration
	// availability gets what the follower learns of the store; its functions may be nil. probeInterval is 0 without probes.
	availability  Availability
	probeInterval time.Duration
	resumed       bool // the next call is the first one after a time without calls; used by Run only

	mu               sync.Mutex
	rows             map[string]guavaplatform.Row
	position         uint64    // rows contains all changes up to this position
	lastChange       uint64    // position of the newest known change
	snapshotPosition uint64    // position of the last snapshot; earlier removals may be unknown
	lastContact      time.Time // time of the store's last response
	failingSince     time.Time // when calls began to fail, zero while they succeed
	loaded           bool
}

// New returns a follower of the parts of a table. It calls apply with its lock held, in the order of changes.
func New(
	feed guavaplatform.Feed, table string, parts []string, wait time.Duration, apply Apply, logger hclog.Logger,
) *Follower {
	return &Follower{
		feed: feed, table: table, parts: parts, wait: wait, apply: apply, logger: logger,
		ready: make(chan struct{}), rows: map[string]guavaplatform.Row{}, batchDelay: defaultBatchDelay,
	}
}

// SetBatchDelay sets the pause after a response with changes, for a table whose changes are frequent and need not be
// known at once. It is called before Run.
func (f *Follower) SetBatchDelay(d time.Duration) { f.batchDelay = d }

// SetReplication makes the follower pause polling while covered reports that other VMs forward all changes, and pass
// changes that it reads from the store to publish. It is called before Run.
func (f *Follower) SetReplication(covered func() bool, publish func(Delta)) {
	f.covered, f.publish = covered, publish
}

// Ready returns a channel that is closed once the table has been loaded, from the store or from another VM.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Outage returns for how long calls to the store have failed, 0 if the last one succeeded.
func (f *Follower) Outage(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return 0
	}
	return now.Sub(f.failingSince)
}

// Heartbeat returns an empty delta with the position of the copy, and whether the store has responded recently. The
// delta begins at the newest change: a copy that contains this change is complete, even if its own position is older.
func (f *Follower) Heartbeat(now time.Time) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.loaded && f.failingSince.IsZero() && now.Sub(f.lastContact) < f.wait+heartbeatMargin
	return Delta{Table: f.table, From: max(f.lastChange, f.snapshotPosition), To: f.position, Age: now.Sub(f.lastContact)}, ok
}

// Position returns the position up to which the copy is complete, and the time of the store's last response.
func (f *Follower) Position() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.lastContact
}

// positions returns the position up to which the copy is complete, and a position after which none of its rows has
// changed.
func (f *Follower) positions() (position, lastChange uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, max(f.lastChange, f.snapshotPosition)
}

// Run polls the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff, reload := minBackoff, true
	truncated := 0 // snapshots in a row whose changes were no longer available
	for ctx.Err() == nil {
		if f.covered != nil && f.isLoaded() && f.covered() {
			f.resumed = true
			sleep(ctx, readerCheckInterval)
			continue
		}
		changed, err := f.poll(ctx, reload)
		switch {
		case err == nil:
			if !reload {
				truncated = 0
			}
			backoff, reload = minBackoff, false
			if changed {
				sleep(ctx, f.batchDelay)
			}
			continue
		case errors.Is(err, errCovered):
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, guavaplatform.ErrTruncated):
			reload = true
			f.logger.Info("change history truncated, reloading table", "table", f.table)
			if truncated++; truncated > 1 {
				// A store that keeps no history would get snapshot after snapshot without a pause.
				sleep(ctx, maxBackoff)
			}
			continue
		}
		f.recordFailure(err)
		sleep(ctx, backoff+rand.N(backoff)) //nolint:gosec // jitter
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// poll reads the complete table or its changes from the store once, and reports whether there were changes.
func (f *Follower) poll(ctx context.Context, reload bool) (changed bool, err error) {
	if reload {
		if err := f.awaitStore(ctx); err != nil {
			return false, err
		}
		ctx, stop := context.WithTimeout(ctx, snapshotTimeout)
		defer stop()
		rows, position, err := f.feed.Snapshot(ctx, f.table, f.parts)
		if err != nil {
			return false, err
		}
		f.recordSuccess(time.Now()) // before the changes are applied, whose meaning may depend on it
		f.applySnapshot(rows, position)
		return false, nil
	}
	position, from := f.positions()
	changes, next, err := f.readChanges(ctx, position)
	if err != nil {
		return false, err
	}
	f.recordSuccess(time.Now())
	if f.publish != nil && len(changes) > 0 {
		// The delta is sent before the next heartbeat can include its changes.
		f.publish(Delta{Table: f.table, From: from, To: next, Patches: f.newPatches(changes)})
	}
	f.applyChanges(position, next, changes)
	return len(changes) > 0, nil
}

func (f *Follower) isLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Delta contains all changes of a table between two positions.
type Delta struct {
	Table string
	// From is a position up to which the receiver needs all changes. The patches are all changes between it and To.
	From, To uint64
	Patches  []Patch
	// Age is the time since the store's response for To.
	Age time.Duration
}

// newPatches returns changes as patches to the rows of this copy.
func (f *Follower) newPatches(changes []guavaplatform.RowChange) []Patch {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Patch, 0, len(changes))
	newest := map[string]guavaplatform.Row{}
	for _, c := range changes {
		base, ok := newest[c.Key]
		if !ok {
			base = f.rows[c.Key]
		}
		if base.Revision >= c.Revision { // a peer's snapshot was loaded in the meantime
			base = guavaplatform.Row{}
		}
		list = append(list, NewPatch(base, c))
		newest[c.Key] = c.Row
		if c.Removed {
			newest[c.Key] = guavaplatform.Row{}
		}
	}
	return list
}

// DeltaResult is the outcome of ApplyDelta.
type DeltaResult string

const (
	// Applied means that the copy contains the changes of the delta.
	Applied DeltaResult = "taken"
	// Behind means that the copy lacks changes from before the delta. The delta is not applied.
	Behind DeltaResult = "behind"
	// Overlapping means that another reader has sent a part of the same changes. The delta is not applied, since the other
	// reader sends the rest too. If it does not, the next delta returns Behind.
	Overlapping DeltaResult = "crossed"
)

// ApplyDelta applies changes that another VM read from the store.
func (f *Follower) ApplyDelta(d Delta) DeltaResult {
	changes, result := f.decodePatches(d)
	if result != Applied {
		return result
	}
	f.recordSuccess(time.Now().Add(-d.Age))
	f.applyChanges(d.From, d.To, changes)
	return Applied
}

// decodePatches returns the changes of a delta, decoded against the rows of this copy.
func (f *Follower) decodePatches(d Delta) ([]guavaplatform.RowChange, DeltaResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || d.From > f.position {
		return nil, Behind
	}
	changes := make([]guavaplatform.RowChange, 0, len(d.Patches))
	newest := map[string]guavaplatform.Row{}
	for _, p := range d.Patches {
		if p.Revision <= f.position {
			continue // already in the copy
		}
		base, ok := newest[p.Key]
		if !ok {
			base = f.rows[p.Key]
		}
		c, ok := p.Apply(base)
		if !ok {
			return nil, Overlapping
		}
		changes = append(changes, c)
		newest[p.Key] = c.Row
	}
	return changes, Applied
}

// applyChanges applies all changes between two positions, unless the first is after the copy's own.
func (f *Follower) applyChanges(from, to uint64, changes []guavaplatform.RowChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || from > f.position {
		return
	}
	fresh := changes[:0:0]
	for _, c := range changes {
		if old, ok := f.rows[c.Key]; ok && old.Revision >= c.Revision {
			continue
		}
		fresh = append(fresh, c)
		f.lastChange = max(f.lastChange, c.Revision)
		if c.Removed {
			delete(f.rows, c.Key)
		} else {
			f.rows[c.Key] = c.Row
		}
	}
	f.position = max(f.position, to)
	if len(fresh) > 0 {
		f.apply(fresh, false)
	}
}

// applySnapshot replaces all rows by those as of a position. It returns false if the copy is newer.
func (f *Follower) applySnapshot(rows []guavaplatform.Row, position uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && position < f.position {
		return false
	}
	all := make(map[string]guavaplatform.Row, len(rows))
	changes := make([]guavaplatform.RowChange, 0, len(rows))
	for _, r := range rows {
		all[r.Key] = r
		f.lastChange = max(f.lastChange, r.Revision)
		changes = append(changes, guavaplatform.RowChange{Row: r})
	}
	for key := range f.rows {
		if _, ok := all[key]; !ok {
			f.lastChange = position // the removal's own revision is unknown
		}
	}
	f.rows, f.position, f.snapshotPosition = all, position, position
	f.apply(changes, true)
	if !f.loaded {
		f.loaded = true
		close(f.ready)
	}
	return true
}

// recordSuccess records that the store responded at the given time.
func (f *Follower) recordSuccess(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failingSince.IsZero() {
		f.logger.Info("store regained", "table", f.table, "outage", time.Since(f.failingSince).Milliseconds())
		f.failingSince = time.Time{}
	}
	if f.availability.Responded != nil {
		f.availability.Responded(at, at.Sub(f.lastContact))
	}
	if at.After(f.lastContact) {
		f.lastContact = at
	}
}

// recordFailure records that a call has failed, and reports whether it is the first one since the store's last response.
func (f *Follower) recordFailure(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failingSince.IsZero() {
		return false
	}
	f.failingSince = time.Now()
	f.logger.Warn("store lost", "table", f.table, "position", f.position, "error", err)
	if f.availability.Failed != nil {
		f.availability.Failed()
	}
	return true
}

// Snapshot is a complete table as of a position. VMs exchange snapshots during an outage of the store.
type Snapshot struct {
	Table    string
	Rows     []guavaplatform.Row
	Position uint64
}

// Export returns a snapshot if the copy contains a change after the position. Otherwise the requesting VM has to read
// the store itself: rows may have been removed before the last snapshot of this copy.
func (f *Follower) Export(after uint64) (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.lastChange <= after {
		return Snapshot{}, false
	}
	s := Snapshot{Table: f.table, Position: f.position, Rows: make([]guavaplatform.Row, 0, len(f.rows))}
	for _, r := range f.rows {
		s.Rows = append(s.Rows, r)
	}
	return s, true
}

// Import replaces the copy by a snapshot of another VM if that is newer, and reports whether it is.
func (f *Follower) Import(s Snapshot) bool {
	if position, _ := f.Position(); s.Position <= position {
		return false
	}
	if !f.applySnapshot(s.Rows, s.Position) {
		return false
	}
	f.logger.Info("table snapshot loaded from peer", "table", f.table, "position", s.Position)
	return true
}

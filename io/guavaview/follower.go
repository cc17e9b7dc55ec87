// Package guavaview keeps copies of tables of the platform's store up to date.
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
	// DefaultWait is how long the store holds a question for changes. A connection that went silent is noticed
	// that much later, which must stay well below the time in which a configuration has to be in force.
	DefaultWait = 1200 * time.Millisecond
	// leastPause and mostPause bound the wait after a failed call.
	leastPause = 50 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// coveredPause is the pause between looks whether other VMs still tell of changes.
	coveredPause = 100 * time.Millisecond
	// beaconMargin is how much longer than the wait of a question the store's last answer may be old.
	beaconMargin = 200 * time.Millisecond
	// gatherTime is the pause after an answer with changes. The store answers as soon as there is one: without a pause, a busy
	// table costs a call and a message to each subscriber for every commit. It is short beside the 2 s in which a configuration
	// has to be in force.
	gatherTime = 50 * time.Millisecond
	// listTime bounds the first listing of a table.
	listTime = 3 * time.Second
)

// Apply takes in changes. If full, the changes are all rows that there are, and others are gone.
type Apply func(changes []guavaplatform.RowChange, full bool)

// Follower follows one table.
type Follower struct {
	feed   guavaplatform.Feed
	table  string
	parts  []string
	wait   time.Duration
	apply  Apply
	logger hclog.Logger
	ready  chan struct{}
	// covered reports whether other VMs tell of all changes, and publish tells them; either may be nil.
	covered func() bool
	publish func(Delta)

	mu       sync.Mutex
	rows     map[string]guavaplatform.Row
	position uint64 // everything up to here is in rows
	changed  uint64 // position of the newest known change
	listed   uint64 // position of the last listing, before which rows may have been removed unseen
	contact  time.Time
	failing  time.Time // since when calls fail, zero while they succeed
	loaded   bool
}

// New returns a follower of the parts of a table. Apply is called with its lock held, in the order of changes.
func New(
	feed guavaplatform.Feed, table string, parts []string, wait time.Duration, apply Apply, logger hclog.Logger,
) *Follower {
	return &Follower{
		feed: feed, table: table, parts: parts, wait: wait, apply: apply, logger: logger,
		ready: make(chan struct{}), rows: map[string]guavaplatform.Row{},
	}
}

// Share makes the follower leave the store alone while covered reports that other VMs tell of all changes, and tell
// others through publish what it learns from the store. It is called before Run.
func (f *Follower) Share(covered func() bool, publish func(Delta)) {
	f.covered, f.publish = covered, publish
}

// Ready is closed once the table has been read for the first time, from the store or from another VM.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Outage returns for how long the store has not answered, 0 if it does.
func (f *Follower) Outage(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		return 0
	}
	return now.Sub(f.failing)
}

// Heartbeat returns an empty delta that shows how far the copy goes, if the store answers. It begins at the newest change: a copy
// that holds that one lacks nothing, even if its own position is older.
func (f *Follower) Heartbeat(now time.Time) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.loaded && f.failing.IsZero() && now.Sub(f.contact) < f.wait+beaconMargin
	return Delta{Table: f.table, From: max(f.changed, f.listed), To: f.position, Age: now.Sub(f.contact)}, ok
}

// Position returns up to where the copy is complete, and the time of the store's answer that says so.
func (f *Follower) Position() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.contact
}

// head returns up to where the copy is complete, and a position after which nothing has changed in it.
func (f *Follower) head() (position, changed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, max(f.changed, f.listed)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause, list := leastPause, true
	for ctx.Err() == nil {
		if f.covered != nil && f.isLoaded() && f.covered() {
			sleep(ctx, coveredPause)
			continue
		}
		changed, err := f.step(ctx, list)
		switch {
		case err == nil:
			pause, list = leastPause, false
			f.succeeded(time.Now())
			if changed {
				sleep(ctx, gatherTime)
			}
			continue
		case errors.Is(err, guavaplatform.ErrTruncated):
			list = true
			f.logger.Info("history truncated, listing again", "table", f.table)
			continue
		}
		f.failed(err)
		sleep(ctx, pause+rand.N(pause)) //nolint:gosec // jitter
		pause = min(2*pause, mostPause)
	}
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// step asks the store once, for all rows or for changes, and returns whether there were changes.
func (f *Follower) step(ctx context.Context, list bool) (changed bool, err error) {
	if list {
		ctx, stop := context.WithTimeout(ctx, listTime)
		defer stop()
		rows, position, err := f.feed.Snapshot(ctx, f.table, f.parts)
		if err != nil {
			return false, err
		}
		f.replace(rows, position)
		return false, nil
	}
	position, from := f.head()
	changes, next, err := f.feed.Changes(ctx, f.table, position, f.wait)
	if err != nil {
		return false, err
	}
	if f.publish != nil && len(changes) > 0 {
		// Before this copy shows that it holds them.
		f.publish(Delta{Table: f.table, From: from, To: next, Patches: f.patches(changes)})
	}
	f.advance(position, next, changes)
	return len(changes) > 0, nil
}

func (f *Follower) isLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Delta is all that changed in a table between two positions.
type Delta struct {
	Table string
	// From is a position between which and the first patch nothing changed, To that up to which the sender knows of all changes.
	From, To uint64
	Patches  []Patch
	// Age is the time since the store's answer that says so.
	Age time.Duration
}

// patches returns changes as patches of the rows that this copy holds.
func (f *Follower) patches(changes []guavaplatform.RowChange) []Patch {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Patch, 0, len(changes))
	newest := map[string]guavaplatform.Row{}
	for _, c := range changes {
		base, ok := newest[c.Key]
		if !ok {
			base = f.rows[c.Key]
		}
		if base.Revision >= c.Revision { // a copy of another VM came in meanwhile
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

// DeltaResult says what became of a Delta.
type DeltaResult string

const (
	// Applied means that the copy is as new as the delta.
	Applied DeltaResult = "taken"
	// Behind means that changes before the delta are missing here.
	Behind DeltaResult = "behind"
	// Overlapping means that another reader told of a part of the same changes. It tells of the rest too; if it does not, the
	// next delta finds this copy behind.
	Overlapping DeltaResult = "crossed"
)

// ApplyDelta takes in what another VM learnt from the store.
func (f *Follower) ApplyDelta(d Delta) DeltaResult {
	changes, receipt := f.resolve(d)
	if receipt != Applied {
		return receipt
	}
	f.advance(d.From, d.To, changes)
	f.succeeded(time.Now().Add(-d.Age))
	return Applied
}

// resolve returns the changes that the patches of a delta stand for.
func (f *Follower) resolve(d Delta) ([]guavaplatform.RowChange, DeltaResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || d.From > f.position {
		return nil, Behind
	}
	changes := make([]guavaplatform.RowChange, 0, len(d.Patches))
	newest := map[string]guavaplatform.Row{}
	for _, p := range d.Patches {
		if p.Revision <= f.position {
			continue // the copy holds it, or what followed it
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

// advance takes in all changes between two positions. The first is at most the copy's own.
func (f *Follower) advance(from, to uint64, changes []guavaplatform.RowChange) {
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
		f.changed = max(f.changed, c.Revision)
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

// replace takes in all rows as of a position.
func (f *Follower) replace(rows []guavaplatform.Row, position uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && position < f.position {
		return false
	}
	all := make(map[string]guavaplatform.Row, len(rows))
	changes := make([]guavaplatform.RowChange, 0, len(rows))
	for _, r := range rows {
		all[r.Key] = r
		f.changed = max(f.changed, r.Revision)
		changes = append(changes, guavaplatform.RowChange{Row: r})
	}
	for key := range f.rows {
		if _, ok := all[key]; !ok {
			f.changed = position // the removal's own revision is unknown
		}
	}
	f.rows, f.position, f.listed = all, position, position
	f.apply(changes, true)
	if !f.loaded {
		f.loaded = true
		close(f.ready)
	}
	return true
}

// succeeded takes in that the store answered at a time.
func (f *Follower) succeeded(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing.IsZero() {
		f.logger.Info("store regained", "table", f.table, "outage", time.Since(f.failing).Milliseconds())
		f.failing = time.Time{}
	}
	if at.After(f.contact) {
		f.contact = at
	}
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		f.failing = time.Now()
		f.logger.Warn("store lost", "table", f.table, "position", f.position, "error", err)
	}
}

// Snapshot is a whole table as of a position, as VMs hand it to each other while the store is away.
type Snapshot struct {
	Table    string
	Rows     []guavaplatform.Row
	Position uint64
}

// Export returns a copy if it holds a change after the position. A VM that lacks nothing known here asks the store itself
// for what this copy cannot show: rows that were removed before it was listed.
func (f *Follower) Export(after uint64) (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.changed <= after {
		return Snapshot{}, false
	}
	c := Snapshot{Table: f.table, Position: f.position, Rows: make([]guavaplatform.Row, 0, len(f.rows))}
	for _, r := range f.rows {
		c.Rows = append(c.Rows, r)
	}
	return c, true
}

// Import takes over a copy that is newer than this VM's own and reports whether it was.
func (f *Follower) Import(c Snapshot) bool {
	if position, _ := f.Position(); c.Position <= position {
		return false
	}
	if !f.replace(c.Rows, c.Position) {
		return false
	}
	f.logger.Info("copy of a table taken from another VM", "table", f.table, "position", c.Position)
	return true
}

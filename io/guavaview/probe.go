package guavaview

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"guavaridge/io/guavaplatform"
)

// probeJitter is the share of the interval between two probes that is random.
const probeJitter = 0.2

var (
	errNoResponse = errors.New("no response from the store")
	// errCovered means that other VMs forward the changes, so that the store is not asked.
	errCovered = errors.New("other VMs forward the changes")
)

// Availability gets what a follower learns of the store. Its functions are called with the lock of the follower held.
type Availability struct {
	// Failed is called when calls begin to fail or to get no response.
	Failed func()
	// Responded is called when the store has responded to this VM or to another one at the given time, that long after its last
	// known response before.
	Responded func(at time.Time, away time.Duration)
}

// SetAvailability makes the follower report to a, and probe the store while calls fail or get no response: it sends a short call at each
// interval, without a wait for those before it, since a connection may be silent for good and the store may respond on a new one. It is
// called before Run.
func (f *Follower) SetAvailability(a Availability, interval time.Duration) {
	f.availability, f.probeInterval = a, interval
}

// answer is the outcome of a call for changes.
type answer struct {
	changes []guavaplatform.RowChange
	next    uint64
	err     error
}

// readChanges reads the changes after a position from the store. With probes it returns only when the store has responded, or when it need not
// be asked any more.
func (f *Follower) readChanges(ctx context.Context, position uint64) ([]guavaplatform.RowChange, uint64, error) {
	if f.probeInterval <= 0 {
		return f.feed.Changes(ctx, f.table, position, f.wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	call := func(wait time.Duration) {
		changes, next, err := f.feed.Changes(ctx, f.table, position, wait)
		select {
		case answers <- answer{changes: changes, next: next, err: err}:
		case <-ctx.Done():
		}
	}
	wait, timer := f.wait, time.NewTimer(f.wait+f.probeInterval)
	if f.isFailing() || f.resumed {
		wait = 0 // the response says at once that the store is available
		timer.Reset(f.probeInterval)
	}
	f.resumed = false
	defer timer.Stop()
	go call(wait)
	for {
		select {
		case a := <-answers:
			if a.err == nil || errors.Is(a.err, guavaplatform.ErrTruncated) {
				return a.changes, a.next, a.err
			}
			if f.recordFailure(a.err) {
				timer.Reset(f.probeInterval) // the first failure, before the end of the long poll
			}
		case <-timer.C:
			if f.covered != nil && f.covered() {
				return nil, position, errCovered
			}
			f.recordFailure(errNoResponse)
			go call(0)
			jitter := time.Duration(probeJitter * float64(f.probeInterval))
			timer.Reset(f.probeInterval - rand.N(jitter)) //nolint:gosec // jitter
		case <-ctx.Done():
			return nil, position, ctx.Err()
		}
	}
}

// awaitStore waits until the store responds, if calls fail and the follower probes. A snapshot takes several calls and is not repeated
// as often as probes.
func (f *Follower) awaitStore(ctx context.Context) error {
	if f.probeInterval <= 0 || !f.isFailing() {
		return nil
	}
	position, _ := f.positions()
	if _, _, err := f.readChanges(ctx, position); err != nil && !errors.Is(err, guavaplatform.ErrTruncated) {
		return err
	}
	return nil
}

func (f *Follower) isFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failingSince.IsZero()
}

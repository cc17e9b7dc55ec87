// Package guavatakeover decides when a VM takes over a job whose owner has failed.
//
// Every VM has a takeover rank for each job, its place in an order of all VMs but the owner. Nobody tells a VM which of
// those before it are alive, so the ranks only spread the attempts over time: the store accepts the first one, since each
// checks the revision of the job's row. The wait grows with the logarithm of the rank. It stays within seconds when all
// VMs but one of a large fleet are lost, and VMs that are no longer there do not add up.
package guavatakeover

import (
	"math"
	"time"
)

const (
	// ownerTimeout is how long an owner must be missing before its jobs are taken over.
	ownerTimeout = 1800 * time.Millisecond
	// firstWatchers is the number of VMs, those with the lowest ranks, that always watch the owner of a job.
	firstWatchers = 2
	// stagger is the additional wait of each of the first watchers and of the VM that follows them. It covers a takeover.
	stagger = 800 * time.Millisecond
	// watchDelay is how long a job's row must not have changed before the VM that follows the first watchers watches the
	// owner too, since the owner and the first watchers may have failed together.
	watchDelay = 3 * time.Second
	// doublingDelay is the additional wait each time that the rank doubles.
	doublingDelay = 500 * time.Millisecond
)

// Delay returns how much longer the VM with a rank waits than the one with rank 0.
func Delay(rank int) time.Duration {
	return time.Duration(min(rank, firstWatchers))*stagger + spread(rank)
}

// spread returns the wait that the VM with a rank has in addition to the VM that follows the first watchers.
func spread(rank int) time.Duration {
	if rank <= firstWatchers {
		return 0
	}
	return time.Duration(math.Log2(float64(rank)/firstWatchers) * float64(doublingDelay))
}

// Watch is what a VM has seen of an open job that another process owns.
type Watch struct {
	revision uint64
	changed  time.Time // when the row was first seen at this revision
	linked   time.Time // when the owner was last linked, zero if it was not
	missing  time.Time // since when the owner has been missing, zero while it is not
}

// NewWatch returns the watch of a job whose row is seen at a revision for the first time.
func NewWatch(now time.Time, revision uint64) Watch { return Watch{revision: revision, changed: now} }

// Revision returns the revision of the row that the watch is about. The next one needs a new watch: whoever has written it
// was alive.
func (w Watch) Revision() uint64 { return w.revision }

// WithLink returns the watch after the owner was found linked.
func (w Watch) WithLink(now time.Time) Watch {
	w.linked, w.missing = now, time.Time{}
	return w
}

// WithMissing returns the watch after the owner was found missing.
func (w Watch) WithMissing(now time.Time) Watch {
	if w.missing.IsZero() {
		w.missing = now
	}
	return w
}

// WithAttempt returns the watch after an attempt to take the job over. Another one waits as if the owner had been found
// missing only now.
func (w Watch) WithAttempt(now time.Time) Watch {
	w.missing = now
	return w
}

// WatchesOwner reports whether the VM with a rank has to keep a link to the owner.
func (w Watch) WatchesOwner(now time.Time, rank int) bool {
	return rank < firstWatchers || now.Sub(w.changed) >= watchDelay+spread(rank)
}

// IsDue reports whether the VM with a rank takes the job over. Ended says that the owner is known to have ended or to have
// released the job, rather than only missing.
func (w Watch) IsDue(now time.Time, rank int, ended bool) bool {
	if w.missing.IsZero() {
		return false
	}
	if ended {
		return now.Sub(w.missing) >= Delay(rank)
	}
	// VMs with higher ranks begin to watch later, so a VM that never saw the owner has waited for those before it already.
	alive := w.changed
	if w.linked.After(alive) {
		alive = w.linked
	}
	return now.Sub(w.missing) >= ownerTimeout && now.Sub(alive) >= ownerTimeout+Delay(rank)
}

// IsAttemptDue reports whether a VM takes over a job of an earlier process of its own: at once, and again if that failed.
func (w Watch) IsAttemptDue(now time.Time) bool {
	return w.missing.IsZero() || now.Sub(w.missing) > ownerTimeout
}

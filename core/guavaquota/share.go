package guavaquota

import (
	"slices"
	"time"
)

const (
	// unresponsiveAfter is the time after which a VM that did not renew its use of an owner doesn't count. It covers
	// several heartbeats.
	unresponsiveAfter = 1500 * time.Millisecond
	// MaxListAge is how long after the store confirmed its list of VMs an owner that misses some of them grants tokens.
	MaxListAge = 20 * time.Second
	// MaxCompleteAge is the same for an owner that misses nobody, as in an outage of the store that all VMs share.
	MaxCompleteAge = time.Minute
	// Lease is how long the store must have had the loss of a VM before others grant its share. By then, owners that miss some
	// VMs have seen it or grant nothing. It exceeds MaxListAge by more than the delay of a response.
	Lease = 25 * time.Second
	// JoinTime is how long a VM must have been in the store before it counts as known to all owners, if these don't say so before. An
	// owner that does not know of it and misses nobody grants nothing by then.
	JoinTime = MaxCompleteAge + Lease - MaxListAge
)

// Standing is how a VM counts in the share of an owner.
type Standing string

const (
	// Established VMs are known to all owners that grant tokens.
	Established Standing = ""
	// Joining VMs are not known to all owners yet, which may grant their shares to others.
	Joining Standing = "joining"
	// Lost VMs were found missing, but may still grant tokens until their standing has been in the store for Lease.
	Lost Standing = "lost"
)

// Member is a VM of the list from which shares are computed. VMs whose loss has been in the store for Lease are not in it.
type Member struct {
	Name     string
	Standing Standing
}

// VMTracker tracks which VMs request tokens from an owner. It is not safe for concurrent use.
type VMTracker struct {
	lastMessage map[string]time.Time
}

// NewVMTracker returns a tracker without VMs.
func NewVMTracker() *VMTracker { return &VMTracker{lastMessage: map[string]time.Time{}} }

// Set records whether a VM requests tokens from this owner, and reports whether that has changed.
func (t *VMTracker) Set(now time.Time, vm string, uses bool) bool {
	before, using := t.lastMessage[vm]
	if !uses {
		delete(t.lastMessage, vm)
		return using
	}
	t.lastMessage[vm] = now
	return !using || Elapsed(before, now) >= unresponsiveAfter
}

// IsPresent reports whether a VM requests tokens from this owner.
func (t *VMTracker) IsPresent(now time.Time, vm string) bool {
	at, ok := t.lastMessage[vm]
	return ok && Elapsed(at, now) < unresponsiveAfter
}

// HasEstablished reports whether an established member requests tokens from this owner.
func (t *VMTracker) HasEstablished(now time.Time, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.Standing == Established && t.IsPresent(now, m.Name)
	})
}

// ArePresent reports whether all members request tokens from this owner.
func (t *VMTracker) ArePresent(now time.Time, members []Member) bool {
	for _, m := range members {
		if m.Standing == Lost || !t.IsPresent(now, m.Name) {
			return false
		}
	}
	return true
}

// Share returns the fraction of all rates that this owner may grant, given the list of VMs and when the store last confirmed
// it.
//
// The owner can't tell a VM that has ended from one that is cut off and grants tokens together with others. So the shares
// of missing VMs stay reserved for as long as they are members, and only VMs that are members in the lists of all owners add
// to the share of the one that they use. Then the shares of all owners add up to 1 at most. An owner whose list is so old
// that others may have left it out of theirs grants nothing.
func (t *VMTracker) Share(now time.Time, members []Member, confirmed time.Time) float64 {
	age := Elapsed(confirmed, now)
	if age <= MaxCompleteAge && t.ArePresent(now, members) {
		return 1
	}
	if age > MaxListAge || len(members) == 0 {
		return 0
	}
	counted := 0
	for _, m := range members {
		if m.Standing == Established && t.IsPresent(now, m.Name) {
			counted++
		}
	}
	return float64(counted) / float64(len(members))
}

// Elapsed returns the time between two readings of the clock. The monotonic clock does not count the time for which a VM was
// suspended; the time of day does, and may be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

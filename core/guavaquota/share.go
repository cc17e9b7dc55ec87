package guavaquota

import "time"

// unresponsiveAfter is the time without messages after which a VM no longer counts as using this owner. VMs repeat
// their messages several times within it.
const unresponsiveAfter = 1500 * time.Millisecond

// removedAfter is the time without messages after which a listed VM counts as terminated rather than partitioned.
const removedAfter = 45 * time.Second

// VMTracker tracks which VMs request tokens from an owner. It is not safe for concurrent use.
type VMTracker struct {
	lastMessage  map[string]time.Time
	missingSince map[string]time.Time // when a listed VM was first found unresponsive
}

// NewVMTracker returns a tracker without VMs.
func NewVMTracker() *VMTracker {
	return &VMTracker{lastMessage: map[string]time.Time{}, missingSince: map[string]time.Time{}}
}

// Set records whether a VM uses this owner, and reports whether that is a change.
func (t *VMTracker) Set(now time.Time, vm string, uses bool) bool {
	before, using := t.lastMessage[vm]
	if !uses {
		delete(t.lastMessage, vm)
		return using
	}
	t.lastMessage[vm] = now
	delete(t.missingSince, vm)
	return !using || now.Sub(before) >= unresponsiveAfter
}

// Share returns the fraction of the listed VMs that uses this owner. VMs that have been missing for removedAfter are
// not counted. If no VM uses the owner, it is the fraction of a single VM.
func (t *VMTracker) Share(now time.Time, listed []string) float64 {
	using, all := 0, 0
	for _, vm := range listed {
		if at, ok := t.lastMessage[vm]; ok && now.Sub(at) < unresponsiveAfter {
			using++
			all++
			continue
		}
		since, ok := t.missingSince[vm]
		if !ok {
			since = now
			t.missingSince[vm] = now
		}
		if now.Sub(since) < removedAfter {
			all++
		}
	}
	if using == 0 {
		return 1 / float64(max(all, 1))
	}
	return float64(using) / float64(all)
}

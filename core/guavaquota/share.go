package guavaquota

import "time"

// silence is how long a VM may be unheard until it no longer counts as turning to this owner. VMs repeat that they do
// several times in it.
const silence = 1500 * time.Millisecond

// abandon is how long a listed VM may be unheard until it is taken for gone rather than cut off.
const abandon = 45 * time.Second

// VMTracker works out which part of the fleet turns to an owner. It is not safe for concurrent use.
type VMTracker struct {
	heard   map[string]time.Time
	missing map[string]time.Time // since when a listed VM has not been heard
}

// NewVMTracker returns a reach that has heard no VM.
func NewVMTracker() *VMTracker {
	return &VMTracker{heard: map[string]time.Time{}, missing: map[string]time.Time{}}
}

// Set notes whether a VM turns to this owner, and returns whether that is new.
func (r *VMTracker) Set(now time.Time, vm string, turns bool) bool {
	before, heard := r.heard[vm]
	if !turns {
		delete(r.heard, vm)
		return heard
	}
	r.heard[vm] = now
	delete(r.missing, vm)
	return !heard || now.Sub(before) >= silence
}

// Share returns the part of the listed VMs that turns to this owner.
func (r *VMTracker) Share(now time.Time, listed []string) float64 {
	heard, all := 0, 0
	for _, vm := range listed {
		if at, ok := r.heard[vm]; ok && now.Sub(at) < silence {
			heard++
			all++
			continue
		}
		since, ok := r.missing[vm]
		if !ok {
			since = now
			r.missing[vm] = now
		}
		if now.Sub(since) < abandon {
			all++
		}
	}
	if heard == 0 {
		return 1 / float64(max(all, 1))
	}
	return float64(heard) / float64(all)
}

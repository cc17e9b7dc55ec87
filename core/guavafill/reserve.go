package guavafill

import (
	"math"
	"time"
)

const (
	// burstWindow is the time for which the reserve has to absorb a burst, until batch streams have yielded: 50 ms until
	// the streams are cancelled, and 20 ms for the engine to free their slots.
	burstWindow = 70 * time.Millisecond
	// maxOverflow is the fraction of online arrivals that may find the reserve exhausted. It leaves a margin to the 5%
	// that the 95th percentile ignores.
	maxOverflow = 0.02
	// halfLife is the half-life of the arrival statistics. A burst of 30 windows still determines the reserve after half a
	// minute, but no longer after about 100 s. With a half-life of 20 s it takes twice as long.
	halfLife = 10 * time.Second
	// maxCount is the number of arrivals in the last histogram bucket, which includes all windows with more.
	maxCount = 64
)

// ReserveEstimator estimates how many slots have to be free so that online requests start without waiting. It keeps an
// exponentially decaying histogram of the arrivals per burstWindow.
type ReserveEstimator struct {
	buckets     [maxCount + 1]float64 // decayed number of windows by their arrivals
	windowStart time.Time             // start of the current window
	count       int                   // arrivals in the current window
	lastDecay   time.Time
}

// Arrive records n online arrivals.
func (r *ReserveEstimator) Arrive(n int, now time.Time) {
	r.advanceWindow(now)
	r.count += n
}

// Slots returns the reserve: the smallest number of slots, at least 1, for which the expected fraction of arrivals
// beyond it is at most maxOverflow.
func (r *ReserveEstimator) Slots(now time.Time) int {
	r.advanceWindow(now)
	arrivals := 0.0
	for k, w := range r.buckets {
		arrivals += float64(k) * w
	}
	slots := 1
	if arrivals >= 1 {
		for slots = 1; slots < maxCount; slots++ {
			overflow := 0.0
			for k := slots + 1; k <= maxCount; k++ {
				overflow += float64(k-slots) * r.buckets[k]
			}
			if overflow <= maxOverflow*arrivals {
				break
			}
		}
	}
	return slots
}

// advanceWindow starts a new window when burstWindow has passed.
func (r *ReserveEstimator) advanceWindow(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart, r.lastDecay = now, now
		return
	}
	if now.Sub(r.windowStart) < burstWindow {
		return
	}
	if r.count > 0 {
		r.decay(now)
		r.buckets[min(r.count, maxCount)]++
	}
	r.windowStart, r.count = now, 0
}

func (r *ReserveEstimator) decay(now time.Time) {
	f := math.Exp2(-now.Sub(r.lastDecay).Seconds() / halfLife.Seconds())
	for i := range r.buckets {
		r.buckets[i] *= f
	}
	r.lastDecay = now
}

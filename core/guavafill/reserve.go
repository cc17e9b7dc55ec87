package guavafill

import (
	"math"
	"time"
)

const (
	// window is the time that a burst has to be absorbed without batch yielding: 50 ms until streams are cancelled and
	// 20 ms for the engine to free their slots.
	window = 70 * time.Millisecond
	// shortfall is the part of online arrivals that may find the reserve used up. It leaves room below the 5% that the
	// 95th percentile ignores.
	shortfall = 0.02
	// memory is the half-life of what was observed about arrivals. A burst of 30 windows still sets the reserve after
	// half a minute, and is forgotten after about 100 s; at 20 s it took twice as long.
	memory = 10 * time.Second
	// mostCount is the largest number of arrivals in one window that is told apart.
	mostCount = 64
)

// ReserveEstimator estimates how many slots must stay free so that online arrivals find one at once. It keeps a histogram of the
// number of arrivals in windows of fixed length that fades with time.
type ReserveEstimator struct {
	weight [mostCount + 1]float64 // windows by number of arrivals
	start  time.Time              // of the current window
	count  int                    // arrivals in the current window
	faded  time.Time
}

// Arrive records n online arrivals.
func (r *ReserveEstimator) Arrive(n int, now time.Time) {
	r.roll(now)
	r.count += n
}

// Slots returns the reserve: the smallest number for which the expected part of arrivals beyond it is below shortfall,
// and at least 1.
func (r *ReserveEstimator) Slots(now time.Time) int {
	r.roll(now)
	arrivals := 0.0
	for k, w := range r.weight {
		arrivals += float64(k) * w
	}
	slots := 1
	if arrivals >= 1 {
		for slots = 1; slots < mostCount; slots++ {
			beyond := 0.0
			for k := slots + 1; k <= mostCount; k++ {
				beyond += float64(k-slots) * r.weight[k]
			}
			if beyond <= shortfall*arrivals {
				break
			}
		}
	}
	return slots
}

// roll ends the current window when its time is over.
func (r *ReserveEstimator) roll(now time.Time) {
	if r.start.IsZero() {
		r.start, r.faded = now, now
		return
	}
	if now.Sub(r.start) < window {
		return
	}
	if r.count > 0 {
		r.fade(now)
		r.weight[min(r.count, mostCount)]++
	}
	r.start, r.count = now, 0
}

func (r *ReserveEstimator) fade(now time.Time) {
	f := math.Exp2(-now.Sub(r.faded).Seconds() / memory.Seconds())
	for i := range r.weight {
		r.weight[i] *= f
	}
	r.faded = now
}

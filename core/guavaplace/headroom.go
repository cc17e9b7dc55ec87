package guavaplace

import (
	"math"
	"time"
)

const (
	// arrivalRateWindow is the time constant of the moving average of online arrivals.
	arrivalRateWindow = 400 * time.Millisecond
	// headroomWindow is the time whose expected online arrivals find free slots. Batch items that these arrivals would
	// preempt at once are not started.
	headroomWindow = 60 * time.Millisecond
)

// freeSlots returns the number of free slots on servers that take requests.
func (s *Scheduler) freeSlots(now time.Time) int {
	n := 0
	for _, v := range s.servers {
		if !v.Leaving {
			n += max(v.slots()-v.used(now), 0)
		}
	}
	return n
}

// spareShare is the share of the slots that has to be free for copies of running requests.
const spareShare = 0.25

// hasSpareRoom reports whether copies of running requests may use free slots: never while requests wait, so that copies add nothing to
// a wave.
func (s *Scheduler) hasSpareRoom(now time.Time) bool {
	slots := 0
	for _, v := range s.servers {
		if !v.Leaving {
			slots += v.slots()
		}
	}
	return len(s.online)+len(s.late) == 0 && float64(s.freeSlots(now)) >= spareShare*float64(slots)
}

// recordArrival adds an online arrival to the arrival rate.
func (s *Scheduler) recordArrival(now time.Time) {
	s.arrivalRate = s.arrivalRateAt(now) + 1/arrivalRateWindow.Seconds()
	s.lastArrival = now
}

// arrivalRateAt returns the recent rate of online arrivals per second.
func (s *Scheduler) arrivalRateAt(now time.Time) float64 {
	return s.arrivalRate * math.Exp(-now.Sub(s.lastArrival).Seconds()/arrivalRateWindow.Seconds())
}

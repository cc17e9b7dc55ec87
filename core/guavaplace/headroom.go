package guavaplace

import (
	"math"
	"time"
)

// free returns the number of free places on servers that take requests.
func (s *Scheduler) free(now time.Time) int {
	n := 0
	for _, v := range s.servers {
		if !v.Leaving {
			n += max(v.slots()-v.used(now), 0)
		}
	}
	return n
}

// arrive counts an online arrival for rate.
func (s *Scheduler) arrive(now time.Time) {
	s.arrivals = s.rate(now) + 1/rateTime.Seconds()
	s.arrived = now
}

// rate is the recent number of online arrivals a second.
func (s *Scheduler) rate(now time.Time) float64 {
	return s.arrivals * math.Exp(-now.Sub(s.arrived).Seconds()/rateTime.Seconds())
}

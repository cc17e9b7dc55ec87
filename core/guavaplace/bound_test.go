package guavaplace_test

import (
	"slices"
	"time"

	"guavaridge/core/guavaplace"
)

// windowLength is the length of the time windows of bound.
const windowLength = 3 * time.Second

// bound returns a value share that no scheduler can exceed, even knowing all output lengths and the future: in each
// window engines are full at every step, the shortest requests that arrive in it are on time, work that runs over into
// the next window is free, all other requests are served late, and batch items use the remaining capacity of the whole
// run.
func (r *replay) bound() float64 {
	p := r.pattern
	cost := func(c *call) float64 {
		step := p.step.Seconds() * (1 + sequenceCost*float64(p.slots-1)) / float64(p.slots)
		return float64(c.totalOutput)*step + 350/prefillRate/1000
	}
	windows := map[time.Duration][]float64{}
	var items []float64
	for _, c := range r.calls {
		if c.Class == guavaplace.Batch {
			items = append(items, cost(c))
			continue
		}
		w := c.arrived.Truncate(windowLength)
		windows[w] = append(windows[w], cost(c))
	}
	earned, used := 0.0, 0.0
	for w, costs := range windows {
		slices.Sort(costs)
		remaining := p.capacity(w, w+windowLength+target)
		for _, c := range costs {
			if remaining -= c; remaining < 0 {
				earned += onlineValue * lateShare
				continue
			}
			used += c
			earned += onlineValue
		}
	}
	slices.Sort(items)
	remaining := p.capacity(0, p.length+itemDeadline) - used
	for _, c := range items {
		if remaining -= c; remaining < 0 {
			earned += batchValue * overdueShare
			continue
		}
		earned += batchValue
	}
	return earned / (r.possible[guavaplace.Online] + r.possible[guavaplace.Batch])
}

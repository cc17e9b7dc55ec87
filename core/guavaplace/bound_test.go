package guavaplace_test

import (
	"slices"
	"time"

	"guavaridge/core/guavaplace"
)

// windowTime is the length of the windows of bound.
const windowTime = 3 * time.Second

// bound returns a share that no scheduler can exceed, knowing all lengths and the future: in each window engines are full at
// every step, the shortest requests that arrive there are in time, what runs over ends in the next window for nothing, all
// others are served late, and batch items take what is left of the whole.
func (r *replay) bound() float64 {
	p := r.pattern
	cost := func(c *call) float64 {
		step := p.step.Seconds() * (1 + sequenceCost*float64(p.places-1)) / float64(p.places)
		return float64(c.whole)*step + 350/prefillRate/1000
	}
	windows := map[time.Duration][]float64{}
	var items []float64
	for _, c := range r.calls {
		if c.Class == guavaplace.Batch {
			items = append(items, cost(c))
			continue
		}
		w := c.arrived.Truncate(windowTime)
		windows[w] = append(windows[w], cost(c))
	}
	earned, used := 0.0, 0.0
	for w, costs := range windows {
		slices.Sort(costs)
		left := p.capacity(w, w+windowTime+target)
		for _, c := range costs {
			if left -= c; left < 0 {
				earned += onlineWorth * lateRate
				continue
			}
			used += c
			earned += onlineWorth
		}
	}
	slices.Sort(items)
	left := p.capacity(0, p.length+dueTime) - used
	for _, c := range items {
		if left -= c; left < 0 {
			earned += batchWorth * overdueRate
			continue
		}
		earned += batchWorth
	}
	return earned / (r.owed[guavaplace.Online] + r.owed[guavaplace.Batch])
}

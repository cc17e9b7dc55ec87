package online

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavaridge/core/guavaqueue"
)

// Admission simulates the admission queue of one VM in front of a fixed number of slots. The first client account
// exceeds its rate.
type Admission struct {
	Accounts int
	// Slots is the number of requests that run concurrently, and Service is their mean service time.
	Slots   int
	Service time.Duration
	// Load is the offered load as a fraction of the capacity when every client account keeps to its rate. Excess is
	// the factor by which the first account exceeds its rate.
	Load, Excess float64
	Length       time.Duration
	Seed         uint64
	// FIFO replaces the per-account queues by one queue in order of arrival.
	FIFO bool
}

// AdmissionResult holds the fractions of requests that got a slot in time for the first-token target: OverRate of the
// account that exceeds its rate, Worst of the worst-served other account.
type AdmissionResult struct {
	OverRate, Worst float64
	// Utilization is the used fraction of the capacity.
	Utilization float64
}

// Run runs the simulation. It must be called inside a synctest bubble.
func (c Admission) Run() AdmissionResult {
	loop, random := NewLoop(), rand.New(rand.NewPCG(c.Seed, 2))
	window := guavaqueue.NewWindow(float64(c.Slots), float64(c.Slots))
	queue := guavaqueue.New[func()](window, nil, guavaqueue.DefaultMaxLength, guavaqueue.DefaultMaxWait)
	offered, onTime := make([]int, c.Accounts), make([]int, c.Accounts)
	served := 0
	rate := c.Load * float64(c.Slots) / c.Service.Seconds() / float64(c.Accounts)
	for i := range c.Accounts {
		r, name := rate, fmt.Sprint(i)
		if i == 0 {
			r *= c.Excess
		}
		if c.FIFO {
			name = "all"
		}
		arrivals(loop, random, r, func() {
			offered[i]++
			at := time.Now()
			run := func() {
				served++
				if time.Since(at)+prefillTime <= firstTokenTarget {
					onTime[i]++
				}
				loop.After(time.Duration(random.ExpFloat64()*float64(c.Service)), func() {
					queue.End(false)
					admit(queue)
				})
			}
			// The simulated servers report no congestion, so the window size stays constant.
			it := &guavaqueue.Item[func()]{Account: name, Weight: 1, Deadline: at.Add(time.Minute), Value: run}
			if action, _, _ := queue.Offer(it, 0); action == guavaqueue.Run {
				run()
			}
		})
	}
	loop.Run(c.Length)
	s := AdmissionResult{Worst: 1, Utilization: float64(served) * c.Service.Seconds() / float64(c.Slots) / c.Length.Seconds()}
	for i := range c.Accounts {
		fraction := float64(onTime[i]) / float64(offered[i])
		if i == 0 {
			s.OverRate = fraction
		} else {
			s.Worst = min(s.Worst, fraction)
		}
	}
	return s
}

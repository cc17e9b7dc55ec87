package online

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavaridge/core/guavaqueue"
)

// Admission describes one VM in front of a fixed capacity. One client account sends several times its rate.
type Admission struct {
	Accounts int
	// Slots is the number of requests that run at a time, and Service their mean time.
	Slots   int
	Service time.Duration
	// Load is the offered part of the capacity when every client account keeps its rate, and Excess the factor of
	// the first one.
	Load, Excess float64
	Length       time.Duration
	Seed         uint64
	// FIFO puts all requests into one queue by arrival.
	FIFO bool
}

// AdmissionResult are the parts of a client account's requests that got a place within the target to the first token.
type AdmissionResult struct {
	OverRate, Worst float64
	// Utilization is the part of the capacity that was used.
	Utilization float64
}

// Run simulates. It must run inside a synctest bubble.
func (c Admission) Run() AdmissionResult {
	loop, random := NewLoop(), rand.New(rand.NewPCG(c.Seed, 2))
	window := guavaqueue.NewWindow(float64(c.Slots), float64(c.Slots))
	queue := guavaqueue.New[func()](window, nil, guavaqueue.DefaultMaxLength, guavaqueue.DefaultMaxWait)
	offered, good := make([]int, c.Accounts), make([]int, c.Accounts)
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
				if time.Since(at)+prefill <= target {
					good[i]++
				}
				loop.After(time.Duration(random.ExpFloat64()*float64(c.Service)), func() {
					queue.End(false)
					admit(queue)
				})
			}
			// Without congestion at the servers the window stays as it is.
			it := &guavaqueue.Item[func()]{Account: name, Weight: 1, Deadline: at.Add(time.Minute), Value: run}
			if verdict, _, _ := queue.Offer(it, 0); verdict == guavaqueue.Run {
				run()
			}
		})
	}
	loop.Run(c.Length)
	s := AdmissionResult{Worst: 1, Utilization: float64(served) * c.Service.Seconds() / float64(c.Slots) / c.Length.Seconds()}
	for i := range c.Accounts {
		part := float64(good[i]) / float64(offered[i])
		if i == 0 {
			s.OverRate = part
		} else {
			s.Worst = min(s.Worst, part)
		}
	}
	return s
}

package online

import (
	"math/rand/v2"
	"time"

	"guavaridge/core/guavaretry"
)

// Retries describes a pool of plain services that do not notice when a caller gives up. A burst overloads them for a
// while.
type Retries struct {
	Servers int
	// Service is the time of a request at a server, which runs one at a time.
	Service time.Duration
	// Load and Burst are parts of the capacity, before and after, and during the burst.
	Load, Burst float64
	// Timeout bounds an attempt and Deadline the request.
	Timeout, Deadline time.Duration
	// Baseline, Overload and Recovery are the phases; the last is measured.
	Baseline, Overload, Recovery time.Duration
	Seed                         uint64
	// Unbounded leaves the retries without a budget.
	Unbounded bool
}

// Goodput is the result of a simulation.
type Goodput struct {
	// Offered and Good are the requests of the overload phase and the last one, and those answered in time.
	Offered, Good [2]int
	// Attempts of the last phase.
	Attempts int
}

// Run simulates. It must run inside a synctest bubble.
func (c Retries) Run() Goodput {
	loop, random := NewLoop(), rand.New(rand.NewPCG(c.Seed, 3))
	budget := guavaretry.NewBudget(guavaretry.DefaultRatio, guavaretry.DefaultReserve)
	free := make([]time.Time, c.Servers) // when a server has worked off its queue
	var out Goodput
	phase := func() int {
		switch t := time.Since(loop.start); {
		case t < c.Baseline:
			return -1
		case t < c.Baseline+c.Overload:
			return 0
		}
		return 1
	}
	var attempt func(deadline time.Time, began, n int)
	attempt = func(deadline time.Time, began, n int) {
		if phase() == 1 {
			out.Attempts++
		}
		i, now := random.IntN(c.Servers), time.Now()
		if free[i].Before(now) {
			free[i] = now
		}
		free[i] = free[i].Add(c.Service)
		if wait := free[i].Sub(now); wait <= c.Timeout && !free[i].After(deadline) {
			if began >= 0 {
				out.Good[began]++
			}
			return
		}
		loop.After(c.Timeout, func() {
			f := guavaretry.Failure{
				Ran: guavaretry.ExecutionUnknown, Idempotent: true, Attempts: n, Left: time.Until(deadline), Expected: c.Service,
			}
			b := budget
			if c.Unbounded {
				b = guavaretry.NewBudget(1, 1)
			}
			if guavaretry.Decide(f, b) == guavaretry.Retry {
				attempt(deadline, began, n+1)
			}
		})
	}
	capacity := float64(c.Servers) / c.Service.Seconds()
	start := func(keep float64) func() {
		return func() {
			began := phase()
			// The stream of arrivals has the rate of the burst and is thinned outside of it.
			if began != 0 && random.Float64() >= keep {
				return
			}
			budget.Deposit()
			if began >= 0 {
				out.Offered[began]++
			}
			attempt(time.Now().Add(c.Deadline), began, 1)
		}
	}
	arrivals(loop, random, capacity*c.Burst, start(c.Load/c.Burst))
	loop.Run(c.Baseline + c.Overload + c.Recovery)
	return out
}

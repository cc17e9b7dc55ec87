package online

import (
	"math/rand/v2"
	"time"

	"guavaridge/core/guavaretry"
)

// Retries simulates a pool of services that go on with a request after its caller has timed out. A burst overloads them
// for the length of the overload phase.
type Retries struct {
	Servers int
	// Service is the service time of a request; a server runs one request at a time.
	Service time.Duration
	// Load is the offered load as a fraction of the capacity before and after the burst, Burst the one during it.
	Load, Burst float64
	// Timeout bounds an attempt, and Deadline bounds the request with its retries.
	Timeout, Deadline time.Duration
	// Baseline, Overload and Recovery are the durations of the phases. Overload and Recovery are measured.
	Baseline, Overload, Recovery time.Duration
	Seed                         uint64
	// Unbounded removes the retry budget.
	Unbounded bool
}

// Goodput is the result of a Retries simulation.
type Goodput struct {
	// Offered counts the requests started in the overload and recovery phases, and Good those completed in time.
	Offered, Good [2]int
	// Attempts counts the attempts in the recovery phase.
	Attempts int
}

// Run runs the simulation. It must be called inside a synctest bubble.
func (c Retries) Run() Goodput {
	loop, random := NewLoop(), rand.New(rand.NewPCG(c.Seed, 3))
	budget := guavaretry.NewBudget(guavaretry.DefaultRatio, guavaretry.DefaultReserve)
	free := make([]time.Time, c.Servers) // when each server has completed its queue
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
	var attempt func(deadline time.Time, startPhase, n int)
	attempt = func(deadline time.Time, startPhase, n int) {
		if phase() == 1 {
			out.Attempts++
		}
		i, now := random.IntN(c.Servers), time.Now()
		if free[i].Before(now) {
			free[i] = now
		}
		free[i] = free[i].Add(c.Service)
		if wait := free[i].Sub(now); wait <= c.Timeout && !free[i].After(deadline) {
			if startPhase >= 0 {
				out.Good[startPhase]++
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
				attempt(deadline, startPhase, n+1)
			}
		})
	}
	capacity := float64(c.Servers) / c.Service.Seconds()
	start := func(keep float64) func() {
		return func() {
			startPhase := phase()
			// Requests arrive at the rate of the burst; outside the burst only the fraction keep of them is sent.
			if startPhase != 0 && random.Float64() >= keep {
				return
			}
			budget.Deposit()
			if startPhase >= 0 {
				out.Offered[startPhase]++
			}
			attempt(time.Now().Add(c.Deadline), startPhase, 1)
		}
	}
	arrivals(loop, random, capacity*c.Burst, start(c.Load/c.Burst))
	loop.Run(c.Baseline + c.Overload + c.Recovery)
	return out
}

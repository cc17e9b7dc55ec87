package online_test

import (
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/bench/online"
)

// TestAdmission guards against an account at 5 times its rate delaying the requests of the accounts that keep to their
// rates. It prints the on-time fraction of the worst-served one.
func TestAdmission(t *testing.T) {
	c := online.Admission{Accounts: 8, Slots: 40, Service: 800 * time.Millisecond, Excess: 5, Length: time.Minute, Seed: *seed}
	if *full {
		c.Length = 10 * time.Minute
	}
	for _, load := range []float64{0.5, 0.7, 0.9} {
		worst, overRate := map[bool]float64{}, 0.0
		for _, fifo := range []bool{true, false} {
			c := c
			c.Load, c.FIFO = load, fifo
			synctest.Test(t, func(t *testing.T) {
				s := c.Run()
				worst[fifo], overRate = s.Worst, s.OverRate
				t.Logf("load without excess=%2.0f%% fifo=%-5v worst=%6.2f%% flood=%6.2f%% used=%5.1f%%", load*100, fifo, s.Worst*100, s.OverRate*100, s.Utilization*100)
			})
		}
		// 95 of 100 first tokens must be on time for each account that keeps to its rate.
		if worst[false] < 0.95 || worst[false] < worst[true] {
			t.Errorf("load %v: got on-time fraction %.4f for the worst-served account, want at least 0.95 and at least %.4f as with FIFO", load, worst[false], worst[true])
		}
		// The account over its rate gets the capacity that the others do not use, except for a tenth: a late response
		// wastes its capacity.
		n := float64(c.Accounts)
		remaining := min(1, (1-load*(n-1)/n)/(load*c.Excess/n))
		if overRate < 0.9*remaining {
			t.Errorf("load %v: got on-time fraction %.4f for the account over its rate, want at least 90%% of the remaining %.4f", load, overRate, remaining)
		}
	}
}

// TestRetries guards against retries that sustain an overload after its cause has ended. It prints the goodput during
// and after the overload.
func TestRetries(t *testing.T) {
	c := online.Retries{
		Servers: 20, Service: 20 * time.Millisecond, Load: 0.8, Burst: 1.2, Timeout: 500 * time.Millisecond, Deadline: 2 * time.Second,
		Baseline: 5 * time.Second, Overload: 5 * time.Second, Recovery: time.Minute, Seed: *seed,
	}
	goodput := map[bool]float64{}
	for _, unbounded := range []bool{true, false} {
		c := c
		c.Unbounded = unbounded
		synctest.Test(t, func(t *testing.T) {
			g := c.Run()
			during, after := float64(g.Good[0])/float64(g.Offered[0]), float64(g.Good[1])/float64(g.Offered[1])
			goodput[unbounded] = after
			t.Logf("budget=%-5v good during the overload=%6.2f%%, after it=%6.2f%%, attempts per request after it=%.2f",
				!unbounded, during*100, after*100, float64(g.Attempts)/float64(g.Offered[1]))
		})
	}
	if goodput[false] <= goodput[true] {
		t.Errorf("got goodput %.4f with retry budget, want more than %.4f without", goodput[false], goodput[true])
	}
}

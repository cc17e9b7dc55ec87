package online_test

import (
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/bench/online"
)

// TestAdmission prints the on-time share of the worst-served client account beside one at 5 times its rate, and guards
// against the flood reaching the others.
func TestAdmission(t *testing.T) {
	c := online.Admission{Accounts: 8, Slots: 40, Service: 800 * time.Millisecond, Excess: 5, Length: time.Minute, Seed: *seed}
	if *full {
		c.Length = 10 * time.Minute
	}
	for _, load := range []float64{0.5, 0.7, 0.9} {
		worst, flood := map[bool]float64{}, 0.0
		for _, fifo := range []bool{true, false} {
			c := c
			c.Load, c.FIFO = load, fifo
			synctest.Test(t, func(t *testing.T) {
				s := c.Run()
				worst[fifo], flood = s.Worst, s.OverRate
				t.Logf("load without excess=%2.0f%% fifo=%-5v worst=%6.2f%% flood=%6.2f%% used=%5.1f%%", load*100, fifo, s.Worst*100, s.OverRate*100, s.Utilization*100)
			})
		}
		// 95 of 100 first tokens must be on time for whoever keeps its rate.
		if worst[false] < 0.95 || worst[false] < worst[true] {
			t.Errorf("load %v: worst %.4f, FIFO %.4f", load, worst[false], worst[true])
		}
		// What the others leave goes to the flood in time, except for a tenth: a late answer wastes its capacity.
		n := float64(c.Accounts)
		left := min(1, (1-load*(n-1)/n)/(load*c.Excess/n))
		if flood < 0.9*left {
			t.Errorf("load %v: flood %.4f, the others leave %.4f", load, flood, left)
		}
	}
}

// TestRetries prints the goodput during and after an overload, and guards against retries that keep the overload alive.
func TestRetries(t *testing.T) {
	c := online.Retries{
		Servers: 20, Service: 20 * time.Millisecond, Load: 0.8, Burst: 1.2, Timeout: 500 * time.Millisecond, Deadline: 2 * time.Second,
		Baseline: 5 * time.Second, Overload: 5 * time.Second, Recovery: time.Minute, Seed: *seed,
	}
	good := map[bool]float64{}
	for _, unbounded := range []bool{true, false} {
		c := c
		c.Unbounded = unbounded
		synctest.Test(t, func(t *testing.T) {
			g := c.Run()
			during, after := float64(g.Good[0])/float64(g.Offered[0]), float64(g.Good[1])/float64(g.Offered[1])
			good[unbounded] = after
			t.Logf("budget=%-5v good during the overload=%6.2f%%, after it=%6.2f%%, attempts per request after it=%.2f",
				!unbounded, during*100, after*100, float64(g.Attempts)/float64(g.Offered[1]))
		})
	}
	if good[false] <= good[true] {
		t.Errorf("with budget %.4f, without %.4f", good[false], good[true])
	}
}

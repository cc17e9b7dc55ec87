package guavafill_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/core/guavafill"
)

// TestReserve guards against a reserve that is too small for bursts, and against one that does not shrink after them.
func TestReserve(t *testing.T) {
	tests := []struct {
		name        string
		burst       int // arrivals at the same time
		every       time.Duration
		least, most int
	}{
		{"no arrivals", 0, time.Second, 1, 1},
		{"single arrivals", 1, 300 * time.Millisecond, 1, 1},
		{"groups of 8", 8, time.Second, 7, 8},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r guavafill.ReserveEstimator
				for range 60 {
					r.Arrive(x.burst, time.Now())
					time.Sleep(x.every)
				}
				if n := r.Slots(time.Now()); n < x.least || n > x.most {
					t.Errorf("reserve %d, want %d to %d", n, x.least, x.most)
				}
				for range 100 {
					r.Arrive(1, time.Now())
					time.Sleep(time.Second)
				}
				if n := r.Slots(time.Now()); n > 3 {
					t.Errorf("reserve %d after 100 s of single arrivals, want at most 3", n)
				}
			})
		})
	}
}

// TestLimiterSetYields guards against batch streams that keep their slots when online traffic arrives, and against a
// late notification of the changed limit.
func TestLimiterSetYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavafill.NewLimiterSet()
		p.SetServers([]string{"e"})
		inFlight := fillUp(p, 0)
		if inFlight < 30 {
			t.Fatalf("an idle server with 32 slots holds %d streams, want 30 or more", inFlight)
		}
		changed := p.Changed()
		p.Arrive("e", 20)
		select {
		case <-changed:
		default:
			t.Error("got no notification after a burst of 20 arrivals")
		}
		if n := streams(p); n > 12 {
			t.Errorf("%d streams are granted beside 20 online requests on 32 slots, want at most 12", n)
		}
	})
}

// TestLimiterSetNeverStarves guards against limits that exceed the free slots or rely on outdated reports, and against
// an urgent job that gets capacity while the online latency target is missed.
func TestLimiterSetNeverStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 3))
		p := guavafill.NewLimiterSet()
		p.SetServers([]string{"e"})
		for range 2000 {
			online := random.IntN(40)
			p.Report("e", online, 0, 32, 0)
			p.SetInFlight("e", 0)
			if n := streams(p); n+online > 32 && n > 0 {
				t.Fatalf("got a limit of %d streams beside %d online requests on 32 slots", n, online)
			}
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		inFlight := fillUp(p, 0)
		p.SetLatencyRatio("e", 1.1)
		p.SetUrgency("e", 1)
		if n := streams(p); n > inFlight/2 {
			t.Errorf("got a limit of %d for %d streams while the target is missed, want half or less", n, inFlight)
		}
		p.SetLatencyRatio("e", 0)
		time.Sleep(20 * time.Second)
		if n := streams(p); n != 0 {
			t.Errorf("%d streams are granted 20 s after the last report, want 0", n)
		}
	})
}

// TestUrgency guards against a job close to its deadline that gets no additional capacity although online latency is
// low.
func TestUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavafill.NewLimiterSet()
		p.SetServers([]string{"e"})
		for range 30 {
			p.Arrive("e", 8)
			time.Sleep(time.Second)
		}
		before := fillUp(p, 8)
		p.SetUrgency("e", 1)
		if urgent := fillUp(p, 8); urgent <= before {
			t.Errorf("got %d streams when urgent, %d before, want more", urgent, before)
		}
	})
}

// fillUp starts as many streams as allowed for 3 s beside a number of online requests, and returns how many are in
// flight.
func fillUp(p *guavafill.LimiterSet, online int) int {
	const slots = 32
	inFlight := 0
	for range 30 {
		p.Report("e", online+inFlight, 0, slots, 0)
		inFlight = streams(p)
		p.SetInFlight("e", inFlight)
		time.Sleep(100 * time.Millisecond)
	}
	return inFlight
}

func streams(p *guavafill.LimiterSet) int { return p.Grants()[0].Streams }

package guavafill_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/core/guavafill"
)

// TestReserve guards against a reserve that is too small for bursts, or that stays after them.
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
					t.Errorf("reserve %d after 100 s of single arrivals", n)
				}
			})
		})
	}
}

// TestPoolYields guards against batch streams that stay while online traffic arrives, and against a VM that is told
// about it late.
func TestPoolYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavafill.NewLimiterSet()
		p.SetServers([]string{"e"})
		held := fillUp(p, 0)
		if held < 30 {
			t.Fatalf("an idle server with 32 slots holds %d streams", held)
		}
		changed := p.Changed()
		p.Arrive("e", 20)
		select {
		case <-changed:
		default:
			t.Error("a burst of 20 arrivals is not told")
		}
		if n := streams(p); n > 12 {
			t.Errorf("%d streams are granted beside 20 online requests on 32 slots", n)
		}
	})
}

// TestPoolNeverStarves guards against grants beyond the slots, against grants from old reports, and against an urgent
// job that takes capacity while the online target is missed.
func TestPoolNeverStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 3))
		p := guavafill.NewLimiterSet()
		p.SetServers([]string{"e"})
		for range 2000 {
			online := random.IntN(40)
			p.Report("e", online, 0, 32, 0)
			p.Holding("e", 0)
			if n := streams(p); n+online > 32 && n > 0 {
				t.Fatalf("%d streams beside %d online requests on 32 slots", n, online)
			}
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
		held := fillUp(p, 0)
		p.SetLatencyRatio("e", 1.1)
		p.Urge("e", 1)
		if n := streams(p); n > held/2 {
			t.Errorf("%d of %d streams stay while the target is missed", n, held)
		}
		p.SetLatencyRatio("e", 0)
		time.Sleep(20 * time.Second)
		if n := streams(p); n != 0 {
			t.Errorf("%d streams are granted 20 s after the last report", n)
		}
	})
}

// TestUrgency guards against a job near its deadline that gets no more capacity while online is well served.
func TestUrgency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavafill.NewLimiterSet()
		p.SetServers([]string{"e"})
		for range 30 {
			p.Arrive("e", 8)
			time.Sleep(time.Second)
		}
		calm := fillUp(p, 8)
		p.Urge("e", 1)
		if urgent := fillUp(p, 8); urgent <= calm {
			t.Errorf("%d streams when urgent, %d before", urgent, calm)
		}
	})
}

// fillUp takes every grant for 3 s beside a number of online requests and returns the streams held.
func fillUp(p *guavafill.LimiterSet, online int) int {
	const slots = 32
	held := 0
	for range 30 {
		p.Report("e", online+held, 0, slots, 0)
		held = streams(p)
		p.Holding("e", held)
		time.Sleep(100 * time.Millisecond)
	}
	return held
}

func streams(p *guavafill.LimiterSet) int { return p.Grants()[0].Streams }

package guavahedge_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaridge/core/guavahedge"
)

// outcome is what a series of requests looks like to their callers.
type outcome struct {
	p50, p99 time.Duration
	copies   float64 // per request
}

// replay sends requests to a fleet of which each request meets a server with the time that first returns, and a copy one with the time
// that second returns.
func replay(p guavahedge.Policy, n int, first, second func(i int, r *rand.Rand) time.Duration) outcome {
	h := guavahedge.New(p)
	random := rand.New(rand.NewPCG(1, 2))
	times := make([]time.Duration, 0, n)
	copies := 0
	for i := range n {
		took := first(i, random)
		delay := h.Request()
		if delay > 0 && took > delay && h.Take() {
			copies++
			other := delay + second(i, random)
			h.Observe(min(took, other))
			took = min(took, other)
		} else {
			h.Observe(took)
		}
		times = append(times, took)
	}
	slices.Sort(times)
	return outcome{p50: times[n/2], p99: times[n*99/100], copies: float64(copies) / float64(n)}
}

// usual is the time to the first byte of a sound server.
func usual(r *rand.Rand) time.Duration {
	return 20*time.Millisecond + time.Duration(r.ExpFloat64()*float64(5*time.Millisecond))
}

// TestHedger guards against slow answers that a second server would have cut, against copies beyond the limit, and against copies when
// all servers are slow.
func TestHedger(t *testing.T) {
	const n = 20_000
	policy := guavahedge.Policy{Share: 0.02, Quantile: 0.95}
	slowOf := func(share float64) func(int, *rand.Rand) time.Duration {
		return func(_ int, r *rand.Rand) time.Duration {
			if r.Float64() < share {
				return 600 * time.Millisecond
			}
			return usual(r)
		}
	}
	for _, c := range []struct {
		name          string
		policy        guavahedge.Policy
		first, second func(int, *rand.Rand) time.Duration
		p99           time.Duration // at most
		copies        float64       // at most
	}{
		{"a slow server of 60", policy, slowOf(1. / 60), slowOf(1. / 60), 100 * time.Millisecond, 0.0201},
		{"off", guavahedge.Policy{}, slowOf(1. / 60), slowOf(1. / 60), time.Second, 0},
		{"a slow server of ten, limit of 2%", policy, slowOf(0.1), slowOf(0.1), time.Second, 0.0201},
		{"a slow server of ten, limit of 15%", guavahedge.Policy{Share: 0.15, Quantile: 0.85}, slowOf(0.1), slowOf(0.1), 620 * time.Millisecond, 0.1501},
		{"all slow", policy, slowOf(1), slowOf(1), time.Second, 0.001},
		{"all turn slow", policy, func(i int, r *rand.Rand) time.Duration {
			if i > n/2 {
				return 20 * usual(r)
			}
			return usual(r)
		}, func(_ int, r *rand.Rand) time.Duration { return 20 * usual(r) }, time.Second, 0.0201},
		{
			"a wave", policy, func(i int, r *rand.Rand) time.Duration { return time.Duration(1+3*(i/500%2)) * usual(r) },
			func(i int, r *rand.Rand) time.Duration { return time.Duration(1+3*(i/500%2)) * usual(r) }, 300 * time.Millisecond, 0.0201,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := replay(c.policy, n, c.first, c.second)
			t.Logf("p50 %v, p99 %v, %.4f copies per request", got.p50, got.p99, got.copies)
			if got.p99 > c.p99 || got.copies > c.copies {
				t.Errorf("want p99 %v and %.4f copies at most", c.p99, c.copies)
			}
		})
	}
}

// TestLimit guards against more copies than the limit allows, whatever the times and the order of calls.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		h := guavahedge.New(guavahedge.Policy{Share: share, Quantile: rapid.Float64Range(0, 1).Draw(t, "quantile")})
		requests, copies, observed := 0, 0, 0
		for i := range rapid.IntRange(1, 500).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, fmt.Sprint(i)) {
			case 0:
				requests++
				if h.Request() > 0 && observed < 64 {
					t.Fatal("a delay without enough times")
				}
			case 1:
				observed++
				h.Observe(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "time")))
			case 2:
				if h.Take() {
					copies++
				}
			case 3:
				if copies > 0 && rapid.Bool().Draw(t, "return") {
					copies--
					h.Return()
				}
			}
			if float64(copies) > share*float64(requests)+1e-9 {
				t.Fatalf("%d copies of %d requests, limit %v", copies, requests, share)
			}
		}
	})
}

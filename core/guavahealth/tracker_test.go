package guavahealth_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavahealth"
)

func tracker(n int) *guavahealth.Tracker {
	t := guavahealth.NewTracker(nil)
	servers := make([]guavaconfig.BackendServer, n)
	for i := range servers {
		servers[i] = guavaconfig.BackendServer{Name: fmt.Sprint(i), Domain: "d", Models: []string{"m"}}
	}
	t.Configure(servers)
	return t
}

func repeat(t *guavahealth.Tracker, server string, n int, o guavahealth.Outcome) {
	for range n {
		t.Observe(server, o)
	}
}

var (
	failed = guavahealth.Outcome{Failed: true}
	fast   = guavahealth.Outcome{Latency: 50 * time.Millisecond}
	slow   = guavahealth.Outcome{Latency: 2 * time.Second}
)

// TestBound guards against ejecting more than a third of a pool, which would overload the rest of it.
func TestBound(t *testing.T) {
	for _, tt := range []struct{ size, want int }{{1, 0}, {2, 0}, {3, 1}, {8, 2}, {9, 3}, {250, 83}} {
		synctest.Test(t, func(t *testing.T) {
			tr := tracker(tt.size)
			got := map[guavahealth.State]int{}
			for i := range tt.size {
				repeat(tr, fmt.Sprint(i), 50, failed)
			}
			for i := range tt.size {
				got[tr.State(fmt.Sprint(i))]++
			}
			if got[guavahealth.Ejected] != tt.want || got[guavahealth.Suspect] != tt.size-tt.want {
				t.Errorf("pool of %d servers: got states %v, want %d ejected and the others suspect", tt.size, got, tt.want)
			}
			// A failing server that may not be ejected has a penalty for at most penaltyMax instead.
			if _, penalty := tr.Share(fmt.Sprint(tt.size - 1)); penalty == 0 {
				t.Error("got no penalty for a failing server")
			}
			time.Sleep(9 * time.Second)
			if _, penalty := tr.Share(fmt.Sprint(tt.size - 1)); penalty != 0 {
				t.Error("the penalty does not expire: the server is never tried again")
			}
		})
	}
}

// TestStates guards against servers that fail, slow down or recover without the right state transition.
func TestStates(t *testing.T) {
	type step struct {
		n    int
		o    guavahealth.Outcome
		wait time.Duration
		want guavahealth.State
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"one failure", []step{{1, failed, 0, guavahealth.Suspect}, {3, fast, 0, guavahealth.Healthy}}},
		{"failures in a row", []step{{3, failed, 0, guavahealth.Ejected}}},
		{"failures 1 min apart", []step{{2, failed, time.Minute, guavahealth.Suspect}, {1, failed, 0, guavahealth.Suspect}}},
		{"2 of 3 attempts fail", []step{
			{2, failed, 0, guavahealth.Suspect},
			{1, fast, 0, guavahealth.Suspect},
			{2, failed, 0, guavahealth.Suspect},
			{1, fast, 0, guavahealth.Suspect},
			{2, failed, 0, guavahealth.Suspect},
			{1, fast, 0, guavahealth.Suspect},
			{2, failed, 0, guavahealth.Ejected},
		}},
		{"slow", []step{{30, slow, 0, guavahealth.Ejected}}},
		{"recovers after ejection", []step{
			{3, failed, 2 * time.Second, guavahealth.Probation},
			{5, fast, 5 * time.Second, guavahealth.Probation},
			{1, fast, 6 * time.Second, guavahealth.Healthy},
		}},
		{"fails again, stays out twice as long", []step{
			{3, failed, 2 * time.Second, guavahealth.Probation},
			{1, failed, 3 * time.Second, guavahealth.Ejected},
			{0, failed, time.Second, guavahealth.Probation},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := tracker(6)
				for i := 1; i < 6; i++ {
					repeat(tr, fmt.Sprint(i), 20, fast)
				}
				for i, s := range tt.steps {
					repeat(tr, "0", s.n, s.o)
					time.Sleep(s.wait)
					if diff := cmp.Diff(s.want, tr.State("0")); diff != "" {
						t.Fatalf("state after step %d (-want +got):\n%s", i, diff)
					}
				}
			})
		})
	}
}

// TestProbation guards against sending a server its full traffic immediately after an ejection.
func TestProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := tracker(6)
		repeat(tr, "0", 3, failed)
		if share, _ := tr.Share("0"); share != 0 {
			t.Errorf("got share %v while ejected, want 0", share)
		}
		time.Sleep(2 * time.Second)
		last, _ := tr.Share("0")
		if last > 0.1 {
			t.Errorf("got initial share %v, want at most 0.1", last)
		}
		for range 9 {
			time.Sleep(time.Second)
			share, _ := tr.Share("0")
			if share <= last || share > last+0.11 {
				t.Errorf("share changed from %v to %v within 1 s, want growth by at most 0.11", last, share)
			}
			last = share
		}
	})
}

package guavaqueue_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaqueue"
)

func item(account string, weight float64, deadline time.Duration) *guavaqueue.Item[string] {
	return &guavaqueue.Item[string]{Account: account, Weight: weight, Deadline: time.Now().Add(deadline), Value: fmt.Sprint(account, deadline)}
}

// TestFair guards against a client account that exceeds its weighted share by queueing more items or by having been
// idle, and against serving a later deadline first.
func TestFair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := guavaqueue.NewFair[string]()
		for i := range 100 {
			q.Push(item("flood", 1, time.Duration(100-i)*time.Second))
		}
		for range 20 {
			q.Pop()
		}
		for i := range 10 {
			q.Push(item("light", 1, time.Duration(10-i)*time.Second))
			q.Push(item("heavy", 2, time.Duration(10-i)*time.Second))
			q.Push(item("heavy", 2, time.Duration(30-i)*time.Second))
		}
		got := map[string]int{}
		var last time.Time
		for range 36 {
			it := q.Pop()
			got[it.Account]++
			if it.Account == "light" {
				if it.Deadline.Before(last) {
					t.Error("want the items of a client account by earliest deadline first")
				}
				last = it.Deadline
			}
		}
		// Start-time fair queueing guarantees that the service of two backlogged client accounts, divided by their
		// weights v and w, differs by at most 1/v + 1/w.
		weights := map[string]float64{"flood": 1, "light": 1, "heavy": 2}
		for a, v := range weights {
			for b, w := range weights {
				if d := math.Abs(float64(got[a])/v - float64(got[b])/w); d > 1/v+1/w {
					t.Errorf("%s and %s: normalized service differs by more than the bound: got %v items", a, b, got)
				}
			}
		}
	})
}

// TestOffer guards against an unbounded queue, a client account that fills the queue at the cost of others, and
// queueing a request whose deadline cannot be met.
func TestOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := guavaqueue.New[string](guavaqueue.NewWindow(2, 2), nil, 4, 1400*time.Millisecond)
		offer := func(account string, deadline, expected time.Duration, want guavaqueue.Verdict) *guavaqueue.Item[string] {
			t.Helper()
			got, evicted, _ := q.Offer(item(account, 1, deadline), expected)
			if got != want {
				t.Errorf("%s %v: got %q, want %q", account, deadline, got, want)
			}
			return evicted
		}
		offer("a", time.Second, 2*time.Second, guavaqueue.Late)
		offer("a", time.Minute, 0, guavaqueue.Run)
		offer("a", time.Minute, 0, guavaqueue.Run)
		for i := range 4 {
			offer("a", time.Minute+time.Duration(i)*time.Second, 0, guavaqueue.Queued)
		}
		offer("a", time.Minute, 0, guavaqueue.Full)
		evicted := offer("b", time.Minute, 0, guavaqueue.Queued)
		if evicted == nil || evicted.Value != "a1m3s" {
			t.Errorf("got evicted item %v, want the one of account a with the latest deadline", evicted)
		}
		if q.Len() != 4 || q.Running() != 2 {
			t.Errorf("%d requests wait and %d run, want 4 and 2", q.Len(), q.Running())
		}
		// One request ends every second, so the first in the queue waits for half a second on average.
		for range 2 {
			time.Sleep(time.Second)
			q.End(false)
			if q.Next() == nil {
				t.Fatal("got no request to run after a completion")
			}
		}
		offer("a", 2*time.Second, 0, guavaqueue.Queued) // the first of its client account
		offer("c", 100*time.Millisecond, 0, guavaqueue.Late)
		offer("a", time.Minute, 0, guavaqueue.Full) // two requests ahead of it
	})
}

// TestRemove guards against capacity that is lost when a waiting request is removed, and against serving the removed
// request later.
func TestRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := guavaqueue.New[string](guavaqueue.NewWindow(1, 1), nil, 4, time.Minute)
		q.Offer(item("a", 1, time.Minute), 0)
		removed, kept := item("a", 1, time.Minute), item("b", 1, time.Minute)
		q.Offer(removed, 0)
		q.Offer(kept, 0)
		if !q.Remove(removed) || q.Remove(removed) {
			t.Error("want a waiting request to be removed exactly once")
		}
		q.End(false)
		if got := q.Next(); got != kept {
			t.Errorf("got %v, want the request of account b", got)
		}
		if q.Next() != nil || q.Remove(kept) {
			t.Error("request is still queued after it was returned by Next")
		}
	})
}

// TestWindow guards against a window that does not shrink on congestion, does not grow after it, grows while it is not
// full, or settles at a size at which more than 1 of 20 requests finds congestion.
func TestWindow(t *testing.T) {
	w := guavaqueue.NewWindow(100, 4)
	round := func(n int, congested bool) {
		started := 0
		for range n {
			if w.TryAcquire() {
				started++
			}
		}
		for range started {
			w.FirstToken(congested)
		}
		for range started {
			w.Release()
		}
	}
	round(100, true)
	if w.Size() > 40 {
		t.Errorf("got size %d after a congested round, want at most 40", w.Size())
	}
	round(100, true)
	if w.Size() != 4 {
		t.Errorf("got size %d after long congestion, want the minimum of 4", w.Size())
	}
	round(3, false)
	if w.Size() != 4 {
		t.Error("window grew although it was not full")
	}
	for range 200 {
		round(w.Size(), false)
	}
	if w.Size() < 20 {
		t.Errorf("got size %d after the congestion ended, want at least 20", w.Size())
	}
	// The servers have a capacity of 200: requests beyond it find congestion.
	w = guavaqueue.NewWindow(20, 4)
	sum, over := 0, 0
	for i := range 3000 {
		n := w.Size()
		for range n {
			w.TryAcquire()
		}
		for k := range n {
			w.FirstToken(k >= 200)
			w.Release()
		}
		if i >= 1000 {
			sum, over = sum+n, over+max(0, n-200)
		}
	}
	if fraction := float64(over) / float64(sum); fraction > 0.05 || sum/2000 < 180 {
		t.Errorf("got mean size %d at capacity 200 and %.3f of the requests congested, want at least 180 and at most 0.05", sum/2000, fraction)
	}
}

// TestCrossDomain guards against use of other failure domains before the local window is full or while it is not
// allowed, and against a restarting window that keeps its size from an earlier overload.
func TestCrossDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := guavaqueue.New[string](guavaqueue.NewWindow(2, 2), guavaqueue.NewRestartingWindow(2, 1), 9, time.Minute)
		var crossDomain []bool
		for i := range 6 {
			q.AllowCrossDomain(i != 2)
			it := item("a", 1, time.Minute)
			if v, _, _ := q.Offer(it, 0); v == guavaqueue.Run {
				crossDomain = append(crossDomain, it.Away)
			}
		}
		// The third request is queued, and so are those behind it.
		if diff := cmp.Diff([]bool{false, false}, crossDomain); diff != "" {
			t.Error(diff)
		}
		for it := q.Next(); it != nil; it = q.Next() {
			crossDomain = append(crossDomain, it.Away)
		}
		if diff := cmp.Diff([]bool{false, false, true, true}, crossDomain); diff != "" {
			t.Error(diff)
		}
		q.FirstToken(true, true)
		q.End(true)
		if it := q.Next(); it != nil {
			t.Error("congestion in the other failure domains did not shrink their window")
		}
		q.End(true)
		for range 2 {
			if it := q.Next(); it == nil || !it.Away {
				t.Errorf("got %v, want a cross-domain request from the reset window", it)
			}
		}
	})
}

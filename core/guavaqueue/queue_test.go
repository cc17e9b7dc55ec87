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

// TestFair guards against a client account that gets more than its weight by queueing more, or by having been idle,
// and against a later deadline that is served first.
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
					t.Error("not the earliest deadline first")
				}
				last = it.Deadline
			}
		}
		// The bound of start-time fair queueing: the service of two backlogged client accounts, divided by their
		// weights, differs by at most 1/weight of the one + 1/weight of the other.
		weights := map[string]float64{"flood": 1, "light": 1, "heavy": 2}
		for a, v := range weights {
			for b, w := range weights {
				if d := math.Abs(float64(got[a])/v - float64(got[b])/w); d > 1/v+1/w {
					t.Errorf("%s and %s: served %v", a, b, got)
				}
			}
		}
	})
}

// TestOffer guards against an unbounded queue, a flood that shuts out others, and waiting for a deadline that cannot
// be met.
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
			t.Errorf("evicted %v, want the latest deadline of the flood", evicted)
		}
		if q.Len() != 4 || q.Running() != 2 {
			t.Errorf("%d wait, %d run", q.Len(), q.Running())
		}
		// One request ends every second, so even the first in line waits about half of that.
		for range 2 {
			time.Sleep(time.Second)
			q.End(false)
			if q.Next() == nil {
				t.Fatal("nobody was let in")
			}
		}
		offer("a", 2*time.Second, 0, guavaqueue.Queued) // first of its client account
		offer("c", 100*time.Millisecond, 0, guavaqueue.Late)
		offer("a", time.Minute, 0, guavaqueue.Full) // behind two others
	})
}

// TestLeave guards against a place that is lost when its owner stops waiting, and against serving it later.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := guavaqueue.New[string](guavaqueue.NewWindow(1, 1), nil, 4, time.Minute)
		q.Offer(item("a", 1, time.Minute), 0)
		left, stays := item("a", 1, time.Minute), item("b", 1, time.Minute)
		q.Offer(left, 0)
		q.Offer(stays, 0)
		if !q.Remove(left) || q.Remove(left) {
			t.Error("an item leaves exactly once")
		}
		q.End(false)
		if got := q.Next(); got != stays {
			t.Errorf("got %v", got)
		}
		if q.Next() != nil || q.Remove(stays) {
			t.Error("served twice")
		}
	})
}

// TestWindow guards against a window that stays open at congested servers, closes for good, grows unused, or settles
// where more than 1 of 20 requests finds congestion.
func TestWindow(t *testing.T) {
	w := guavaqueue.NewWindow(100, 4)
	round := func(n int, congested bool) {
		began := 0
		for range n {
			if w.TryAcquire() {
				began++
			}
		}
		for range began {
			w.FirstToken(congested)
		}
		for range began {
			w.Release()
		}
	}
	round(100, true)
	if w.Size() > 40 {
		t.Errorf("size %d after a congested round", w.Size())
	}
	round(100, true)
	if w.Size() != 4 {
		t.Errorf("size %d after long congestion, want the least", w.Size())
	}
	round(3, false)
	if w.Size() != 4 {
		t.Error("grew although it was not full")
	}
	for range 200 {
		round(w.Size(), false)
	}
	if w.Size() < 20 {
		t.Errorf("size %d after the congestion ended", w.Size())
	}
	// Requests beyond a capacity of 200 find congestion.
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
	if part := float64(over) / float64(sum); part > 0.05 || sum/2000 < 180 {
		t.Errorf("mean size %d at capacity 200, %.3f of the requests congested", sum/2000, part)
	}
}

// TestAway guards against places of other domains that are used before the own are full, or while these have no
// servers, and against a window that remembers an earlier overload.
func TestAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := guavaqueue.New[string](guavaqueue.NewWindow(2, 2), guavaqueue.NewRestartingWindow(2, 1), 9, time.Minute)
		var away []bool
		for i := range 6 {
			q.AllowCrossDomain(i != 2)
			it := item("a", 1, time.Minute)
			if v, _, _ := q.Offer(it, 0); v == guavaqueue.Run {
				away = append(away, it.Away)
			}
		}
		// The third request waits, and the others behind it.
		if diff := cmp.Diff([]bool{false, false}, away); diff != "" {
			t.Error(diff)
		}
		for it := q.Next(); it != nil; it = q.Next() {
			away = append(away, it.Away)
		}
		if diff := cmp.Diff([]bool{false, false, true, true}, away); diff != "" {
			t.Error(diff)
		}
		q.FirstToken(true, true)
		q.End(true)
		if it := q.Next(); it != nil {
			t.Error("congestion of the other domains did not shrink their window")
		}
		q.End(true)
		for range 2 {
			if it := q.Next(); it == nil || !it.Away {
				t.Errorf("got %v from a window that starts anew", it)
			}
		}
	})
}

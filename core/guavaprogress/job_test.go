package guavaprogress_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaprogress"
)

// TestProgress guards against texts in which an event is missing or stands twice.
func TestProgress(t *testing.T) {
	p := guavaprogress.NewProgress()
	for id, data := range []string{"a", "b", ""} {
		if err := p.Add(id+1, []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []int{1, 3, 5, 0} {
		if err := p.Add(id, []byte("x")); !errors.Is(err, guavaprogress.ErrOrder) {
			t.Errorf("event %d after 3: %v", id, err)
		}
	}
	if p.Text() != "a\nb\n" || p.Last() != 3 || p.Events() != 3 {
		t.Errorf("text %q, last %d, %d events", p.Text(), p.Last(), p.Events())
	}
	q := guavaprogress.Restore(p.Save())
	if err := q.Add(4, []byte("d")); err != nil || q.Text() != "a\nb\n\nd" {
		t.Errorf("after a restore: %q, %v", q.Text(), err)
	}
}

// TestVerdicts guards against items that are given up too early, run again too often, or crash one server after the other.
func TestVerdicts(t *testing.T) {
	const attempts = 3
	p := guavaprogress.NewProgress()
	got := make([]guavaprogress.Verdict, 0, attempts)
	for range attempts {
		got = append(got, p.Fail(attempts))
	}
	if diff := cmp.Diff([]guavaprogress.Verdict{guavaprogress.Again, guavaprogress.Again, guavaprogress.GiveUp}, got); diff != "" {
		t.Errorf("failures (-want +got):\n%s", diff)
	}
	p, got = guavaprogress.NewProgress(), make([]guavaprogress.Verdict, 0, 6)
	for _, made := range []int{0, 0, 4, 0, 0, 0} {
		got = append(got, p.Crash(made))
	}
	want := []guavaprogress.Verdict{
		guavaprogress.Again, guavaprogress.Again, guavaprogress.Again, guavaprogress.Again, guavaprogress.Again, guavaprogress.Hold,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("crashes (-want +got):\n%s", diff)
	}
	if d := p.HoldTime(); d != 3*time.Second {
		t.Errorf("held back for %v at first, want 3 s", d)
	}
	if v := guavaprogress.Restore(p.Save()).Crash(0); v != guavaprogress.Hold {
		t.Errorf("another VM forgets that the item crashes servers: %s", v)
	}
}

// TestJob guards against jobs that are closed too early or whose time of closing moves.
func TestJob(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	j := guavaprogress.Job{ID: "j", Total: 3}.WithOwner("v", 7)
	if !j.IsOpen() || !j.IsOwned("v", 7) || j.IsOwned("v", 8) || j.IsOwned("w", 7) {
		t.Errorf("new job: %+v", j)
	}
	j = j.WithListed(2, now)
	if !j.IsOpen() || j.Closed != 0 {
		t.Errorf("with two of three results: %+v", j)
	}
	j = j.WithListed(1, now)
	if j.IsOpen() || j.Closed != now.UnixMilli() {
		t.Errorf("with all results: %+v", j)
	}
	if j = j.WithEnd(now.Add(time.Hour)); j.Closed != now.UnixMilli() {
		t.Errorf("ended after it was closed: %+v", j)
	}
}

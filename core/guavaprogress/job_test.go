package guavaprogress_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaprogress"
)

// TestProgress guards against texts with missing or duplicated events.
func TestProgress(t *testing.T) {
	p := guavaprogress.NewProgress()
	for id, data := range []string{"a", "b", ""} {
		if err := p.AddEvent(id+1, []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []int{1, 3, 5, 0} {
		if err := p.AddEvent(id, []byte("x")); !errors.Is(err, guavaprogress.ErrOutOfOrder) {
			t.Errorf("event %d after 3: got %v, want ErrOutOfOrder", id, err)
		}
	}
	if p.Text() != "a\nb\n" || p.LastEvent() != 3 || p.Events() != 3 {
		t.Errorf("got text %q, last event %d and %d events, want 3", p.Text(), p.LastEvent(), p.Events())
	}
	q := guavaprogress.Restore(p.Save())
	if err := q.AddEvent(4, []byte("d")); err != nil || q.Text() != "a\nb\n\nd" {
		t.Errorf("after a restore: got text %q, error %v", q.Text(), err)
	}
}

// TestActions guards against giving up an item too early, retrying it too often, and letting it crash one server after
// the other.
func TestActions(t *testing.T) {
	const attempts = 3
	p := guavaprogress.NewProgress()
	got := make([]guavaprogress.Action, 0, attempts)
	for range attempts {
		got = append(got, p.RecordFailure(attempts))
	}
	if diff := cmp.Diff([]guavaprogress.Action{guavaprogress.Retry, guavaprogress.Retry, guavaprogress.GiveUp}, got); diff != "" {
		t.Errorf("failures (-want +got):\n%s", diff)
	}
	p, got = guavaprogress.NewProgress(), make([]guavaprogress.Action, 0, 6)
	for _, events := range []int{0, 0, 4, 0, 0, 0} {
		got = append(got, p.RecordCrash(events))
	}
	want := []guavaprogress.Action{
		guavaprogress.Retry, guavaprogress.Retry, guavaprogress.Retry, guavaprogress.Retry, guavaprogress.Retry, guavaprogress.RetryAfterBackoff,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("crashes (-want +got):\n%s", diff)
	}
	if d := p.Backoff(); d != 3*time.Second {
		t.Errorf("held back for %v at first, want 3 s", d)
	}
	if a := guavaprogress.Restore(p.Save()).RecordCrash(0); a != guavaprogress.RetryAfterBackoff {
		t.Errorf("item that crashes servers, after a restore: got action %q, want RetryAfterBackoff", a)
	}
}

// TestJob guards against jobs that are closed before their last result, and against a closing time that changes.
func TestJob(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	j := guavaprogress.Job{ID: "j", Total: 3}.WithOwner("v", 7)
	if !j.IsOpen() || !j.IsOwnedBy("v", 7) || j.IsOwnedBy("v", 8) || j.IsOwnedBy("w", 7) {
		t.Errorf("new job: %+v", j)
	}
	j = j.WithResults(2, 200, now)
	if !j.IsOpen() || j.ClosedAt != 0 {
		t.Errorf("with two of three results: %+v", j)
	}
	j = j.WithResults(1, 100, now)
	if j.IsOpen() || j.ClosedAt != now.UnixMilli() {
		t.Errorf("with all results: %+v", j)
	}
	if j = j.WithEnd(now.Add(time.Hour)); j.ClosedAt != now.UnixMilli() {
		t.Errorf("ended after it was closed: %+v", j)
	}
}

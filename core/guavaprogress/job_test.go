package guavaprogress_test

import (
	"encoding/json"
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

// TestActions guards against giving up an item too early, retrying it too often, and an item that servers crash under
// again and again and that waits ever longer for its next attempt.
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
	p, got = guavaprogress.NewProgress(), make([]guavaprogress.Action, 0, 8)
	for _, events := range []int{0, 0, 4, 0, 0, 0, 0, 0} {
		got = append(got, p.RecordCrash(events))
	}
	want := []guavaprogress.Action{
		guavaprogress.Retry, guavaprogress.Retry, guavaprogress.Retry, guavaprogress.Retry, guavaprogress.Retry,
		guavaprogress.RetryAfterDelay, guavaprogress.RetryAfterDelay, guavaprogress.RetryAfterDelay,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("crashes (-want +got):\n%s", diff)
	}
	if d := guavaprogress.RetryDelay; d < 500*time.Millisecond || d > 1500*time.Millisecond {
		t.Errorf("delay between attempts that break off: got %v, want about 1 s", d)
	}
	if a := guavaprogress.Restore(p.Save()).RecordCrash(0); a != guavaprogress.Retry {
		t.Errorf("after a restore: got action %q, want Retry, as crashes do not count against an item for long", a)
	}
}

// TestSavedCrashes guards against saved progress that cannot be read because it was written with a count of crashes,
// and against a count that delays the item.
func TestSavedCrashes(t *testing.T) {
	var s guavaprogress.SavedProgress
	row := `{"text":"a\nb","last":2,"events":2,"failures":1,"crashes":7}`
	if err := json.Unmarshal([]byte(row), &s); err != nil {
		t.Fatal(err)
	}
	p := guavaprogress.Restore(s)
	if p.Text() != "a\nb" || p.LastEvent() != 2 || p.Events() != 2 || p.Save().Failures != 1 {
		t.Errorf("got %+v, want the saved text, events and failures", p.Save())
	}
	if a := p.RecordCrash(0); a != guavaprogress.Retry {
		t.Errorf("first crash after a restore: got action %q, want Retry", a)
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

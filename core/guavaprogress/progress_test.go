package guavaprogress_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaprogress"
)

// TestRestWithoutEvents guards against items that never end because all of their events have arrived and the end of the
// response has not, and against items that end with a part of their text. A step is a response to a request for the rest:
// "whole" and "open" have no event, the former with a length or chunks; "wrong" has events out of order, "event" the next one,
// and "part" breaks off inside it.
func TestRestWithoutEvents(t *testing.T) {
	tests := []struct {
		steps []string
		want  guavaprogress.Action // after the last step
		kept  bool                 // whether the events are kept
	}{
		{[]string{"whole"}, guavaprogress.Retry, true},
		{[]string{"whole", "whole"}, guavaprogress.Complete, true},
		{[]string{"whole", "open", "whole"}, guavaprogress.Complete, true},
		{[]string{"whole", "wrong", "whole"}, guavaprogress.Complete, true},
		{[]string{"whole", "event", "whole"}, guavaprogress.Retry, true},
		{[]string{"whole", "event", "whole", "whole"}, guavaprogress.Complete, true},
		{[]string{"part", "whole", "whole"}, guavaprogress.Retry, true},
		{[]string{"part", "whole", "whole", "whole"}, guavaprogress.RetryAfterDelay, false},
		{[]string{"part", "event", "whole", "whole"}, guavaprogress.Complete, true},
		{[]string{"open", "open"}, guavaprogress.Retry, true},
		{[]string{"open", "open", "open"}, guavaprogress.RetryAfterDelay, false},
		{[]string{"wrong", "open", "wrong"}, guavaprogress.RetryAfterDelay, false},
		{[]string{"open", "open", "event", "open"}, guavaprogress.Retry, true},
	}
	for _, saved := range []bool{false, true} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%v, saved between: %t", tt.steps, saved), func(t *testing.T) {
				p := guavaprogress.NewProgress()
				if err := p.AddEvent(0, []byte("a")); err != nil {
					t.Fatal(err)
				}
				var got guavaprogress.Action
				for _, step := range tt.steps {
					switch step {
					case "whole":
						got = p.RecordEmptyRest(true)
					case "open":
						got = p.RecordEmptyRest(false)
					case "wrong":
						got = p.RecordWrongRest()
					case "part":
						p.RecordPartialEvent()
						if saved {
							p = guavaprogress.Restore(p.Save())
						}
					case "event":
						if err := p.AddEvent(p.LastEvent()+1, []byte("b")); err != nil {
							t.Fatal(err)
						}
					}
				}
				if got != tt.want || (p.Events() > 0) != tt.kept {
					t.Errorf("got action %q and %d events, want %q, events kept: %t", got, p.Events(), tt.want, tt.kept)
				}
			})
		}
	}
}

// TestSavedResult guards against items that are executed again although their result was saved, and against a saved result
// that differs.
func TestSavedResult(t *testing.T) {
	p := guavaprogress.NewProgress()
	for i, data := range []string{"a", "b"} {
		if err := p.AddEvent(i, []byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := guavaprogress.Restore(p.Save()).Result("i"); ok {
		t.Error("an item without a result has one after a restore")
	}
	p.Finish(guavaprogress.Succeeded, "")
	s := p.Save()
	got, ok := guavaprogress.Restore(s).Result("i")
	want := guavaprogress.Result{ID: "i", State: guavaprogress.Succeeded, Text: "a\nb"}
	if diff := cmp.Diff(want, got); !ok || !s.IsValid() || diff != "" {
		t.Errorf("restored result, valid %t, present %t (-want +got):\n%s", s.IsValid(), ok, diff)
	}
	p.Finish(guavaprogress.Dead, "reason")
	got, ok = guavaprogress.Restore(p.Save()).Result("i")
	if diff := cmp.Diff(guavaprogress.Result{ID: "i", State: guavaprogress.Dead, Reason: "reason"}, got); !ok || diff != "" {
		t.Errorf("restored result of an item that was given up, present %t (-want +got):\n%s", ok, diff)
	}
	for _, s := range []guavaprogress.SavedProgress{
		{Last: -1, State: guavaprogress.Succeeded}, {Last: -1, State: "other"}, {Last: 3, Events: 5}, {Events: 1, Last: -1}, {Last: -1, Failures: -1},
	} {
		if s.IsValid() {
			t.Errorf("%+v is valid", s)
		}
	}
}

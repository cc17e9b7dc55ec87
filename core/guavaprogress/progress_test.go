package guavaprogress_test

import (
	"fmt"
	"testing"

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

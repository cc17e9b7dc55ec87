package guavadispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
)

// TestServerDies guards against lost, doubled or crossed answers when a server dies before, while and after a
// request is sent, hangs or refuses, and against second runs of calls that may not be repeated.
func TestServerDies(t *testing.T) {
	plain := booking("")
	repeatable := booking("")
	repeatable.Route.Idempotent = true
	strict := completion("x")
	strict.Route.Idempotent = false
	text := "a caption for the third square beside the fountain"
	tests := []struct {
		name     string
		request  guavadispatch.Request
		first    behaviour
		attempts int
		want     failure
		text     string
	}{
		{"well", completion("x"), healthy, 1, failure{}, text},
		{"refused before sending", completion("x"), behaviour{refuse: true}, 2, failure{}, text},
		{"dies before the first token", completion("x"), behaviour{crash: 0}, 2, failure{}, text},
		{"dies before the first token, not repeatable", strict, behaviour{crash: 0}, 1, failure{"backend_failed", guavaretry.ExecutionUnknown}, ""},
		{"dies inside the stream", completion("x"), behaviour{crash: 3}, 2, failure{}, text},
		{"dies inside the stream, not repeatable", strict, behaviour{crash: 3}, 2, failure{}, text},
		{"hangs inside the stream", completion("x"), behaviour{crash: -1, hang: true}, 2, failure{}, text},
		{"engine is full", completion("x"), behaviour{status: 503}, 2, failure{}, text},
		{"engine is full, not repeatable", strict, behaviour{status: 429}, 2, failure{}, text},
		{"call: refused before sending", plain, behaviour{refuse: true}, 2, failure{}, ""},
		{"call: breaks while sending", plain, behaviour{before: true}, 2, failure{}, ""},
		{"call: dies while running", plain, behaviour{crash: 0}, 1, failure{"backend_failed", guavaretry.ExecutionUnknown}, ""},
		{"call: dies while running, repeatable", repeatable, behaviour{crash: 0}, 2, failure{}, ""},
		{"call: 503 may follow a run", plain, behaviour{status: 503}, 1, failure{}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(4)
				f.once(tt.first)
				vm, c, start := f.vm(), &caller{}, time.Now()
				answer, err := vm.Run(t.Context(), tt.request, c)
				if d := time.Since(start); d > 5*time.Second {
					t.Errorf("took %v", d)
				}
				if diff := cmp.Diff(tt.want, outcome(t, err)); diff != "" {
					t.Error("outcome (-want +got):\n" + diff)
				}
				if diff := cmp.Diff(tt.text, c.text.String()); diff != "" {
					t.Error("text (-want +got):\n" + diff)
				}
				if tt.text != "" && (answer.Tokens != len(strings.Fields(text)) || c.heads != 1) {
					t.Errorf("%d tokens, %d heads", answer.Tokens, c.heads)
				}
				if len(f.pool.tried) != tt.attempts || len(f.pool.ids) != tt.attempts {
					t.Errorf("%d attempts with %d identifiers, want %d", len(f.pool.tried), len(f.pool.ids), tt.attempts)
				}
				if n := vm.Running(); len(n) != 0 {
					t.Errorf("still counted as running: %v", n)
				}
			})
		})
	}
}

// TestLateEvent guards against tokens of an ended attempt reaching the caller beside those of its successor.
func TestLateEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range []behaviour{{crash: 2}, {refuse: true}} {
			f := newFleet(2)
			f.once(first)
			late := &lateClient{pool: f.pool}
			vm, c := f.vmWith(late, f.table), &caller{}
			if _, err := vm.Run(t.Context(), completion("x"), c); err != nil {
				t.Fatal(err)
			}
			if got := c.text.String(); got != strings.Join(f.pool.words, "") || c.heads != 1 {
				t.Errorf("got %q and %d heads", got, c.heads)
			}
			if late.accepted {
				t.Error("head or event of an ended attempt was accepted")
			}
		}
	})
}

// TestAllServersDown guards against a claim to have run, endless attempts and a retry storm when no server answers.
func TestAllServersDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		f.each(func(guavaback.Attempt) behaviour { return behaviour{refuse: true} })
		vm := f.vm(guavadispatch.WithRetryBudget(0.1, 5))
		const n = 200
		for range n {
			_, err := vm.Run(t.Context(), booking(""), &caller{})
			if got := outcome(t, err); got.Ran != guavaretry.NotExecuted {
				t.Fatalf("got %+v, want ran=none", got)
			}
		}
		if got := len(f.pool.tried); got < n || got > n+n/10+5 {
			t.Errorf("%d attempts for %d requests: above the budget of 10%% + 5", got, n)
		}
		if vm.Stats().BudgetExhausted == 0 {
			t.Error("the budget was never spent: the test shows nothing")
		}
	})
}

// TestLastFailure guards against a final "none" when an earlier attempt may have run, and against a second attempt at
// a server that has just failed because the others are busy.
func TestLastFailure(t *testing.T) {
	for name, tt := range map[string]struct {
		first behaviour
		want  guavaretry.Execution
	}{
		"first may have run": {behaviour{crash: 0}, guavaretry.ExecutionUnknown},
		"none ran":           {behaviour{refuse: true}, guavaretry.NotExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(4)
				f.each(func(guavaback.Attempt) behaviour {
					if len(f.pool.tried) == 1 {
						return tt.first
					}
					return behaviour{refuse: true}
				})
				vm := f.vm()
				for _, e := range []string{"e0", "e1", "e2"} {
					vm.ObserveLoad(e, guavaback.Load{Running: 8, Waiting: 40, Slots: 8})
				}
				_, err := vm.Run(t.Context(), completion("x"), &caller{})
				if got := outcome(t, err); got.Ran != tt.want {
					t.Errorf("got %+v", got)
				}
				tried := map[string]int{}
				for _, a := range f.pool.tried {
					tried[a.Address]++
				}
				if diff := cmp.Diff(map[string]int{"e0": 1, "e1": 1, "e2": 1, "e3": 1}, tried); diff != "" {
					t.Error("attempts (-want +got):\n" + diff)
				}
			})
		})
	}
}

// TestDeadlineAtTurn guards against a place that is lost when a request gets it at the moment at which its deadline
// ends.
func TestDeadlineAtTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.each(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: time.Second} })
		vm := f.vm()
		for range 8 {
			for i := range 128 {
				r := booking("")
				r.Body = fmt.Append(nil, i)
				if i >= 64 {
					r.Deadline = time.Now().Add(time.Second)
				}
				go vm.Run(t.Context(), r, &caller{}) //nolint:errcheck // the places are what counts
				synctest.Wait()
			}
			time.Sleep(5 * time.Second)
			if n := vm.Stats().Active["service/booking"]; n != 0 {
				t.Fatalf("%d places are taken and nothing runs", n)
			}
		}
	})
}

// TestNotBlamed guards against servers that lose their health because callers leave or because they are full.
func TestNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		vm := f.vm()
		for range 12 {
			ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
			_, err := vm.Run(ctx, completion("x"), &caller{})
			cancel()
			if got := outcome(t, err); got.Ran != guavaretry.ExecutionUnknown {
				t.Fatalf("got %+v", got)
			}
		}
		f.each(func(guavaback.Attempt) behaviour { return behaviour{status: 429} })
		for range 12 {
			if _, err := vm.Run(t.Context(), completion("x"), &caller{}); err == nil {
				t.Fatal("served by full engines")
			}
		}
		if n := vm.Stats().HealthChanges; n != 0 {
			t.Errorf("%d changes of health", n)
		}
	})
}

// TestDeadline guards against attempts that cannot end in time.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.each(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: time.Second} })
		vm := f.vm()
		for range 20 {
			if _, err := vm.Run(t.Context(), booking(""), &caller{}); err != nil {
				t.Fatal(err)
			}
		}
		sent := len(f.pool.tried)
		r := booking("")
		r.Deadline = time.Now().Add(100 * time.Millisecond)
		_, err := vm.Run(t.Context(), r, &caller{})
		if diff := cmp.Diff(failure{"deadline", guavaretry.NotExecuted}, outcome(t, err)); diff != "" {
			t.Error(diff)
		}
		if len(f.pool.tried) != sent {
			t.Error("the request was sent although it could not end in time")
		}
	})
}

// TestQueueFull guards against an unbounded queue, and against a refusal that does not say that nothing ran.
func TestQueueFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.each(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: 5 * time.Second} })
		vm := f.vm(guavadispatch.WithQueueLength(3))
		codes := make(chan failure, 40)
		for range 40 {
			go func() {
				_, err := vm.Run(t.Context(), completion("x"), &caller{})
				codes <- outcome(t, err)
			}()
		}
		synctest.Wait()
		if s := vm.Stats(); s.Waiting["model/m"] != 3 || s.Active["model/m"] != 16 {
			t.Errorf("waiting %v, active %v; want 3 and 16", s.Waiting, s.Active)
		}
		if err := vm.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		got := map[failure]int{}
		for range 40 {
			got[<-codes]++
		}
		if diff := cmp.Diff(map[failure]int{{}: 19, {"queue_full", guavaretry.NotExecuted}: 21}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestLeaving guards against new work for a leaving server.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.leave("s0")
		vm := f.vm()
		for range 30 {
			if _, err := vm.Run(t.Context(), booking(""), &caller{}); err != nil {
				t.Fatal(err)
			}
		}
		for _, a := range f.pool.tried {
			if a.Address == "s0" {
				t.Fatal("a leaving server got work")
			}
		}
	})
}

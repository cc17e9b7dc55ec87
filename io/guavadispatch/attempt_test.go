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

// TestServerCrash guards against lost, duplicated or mixed-up responses when a server crashes before, while or after a
// request is sent, hangs or rejects it, and against retries of non-idempotent calls that may have been executed.
func TestServerCrash(t *testing.T) {
	plain := booking("")
	idempotent := booking("")
	idempotent.Route.Idempotent = true
	nonIdempotent := completion("x")
	nonIdempotent.Route.Idempotent = false
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
		{"connection refused", completion("x"), behaviour{refuse: true}, 2, failure{}, text},
		{"crashes before the first token", completion("x"), behaviour{crash: 0}, 2, failure{}, text},
		{"crashes before the first token, not idempotent", nonIdempotent, behaviour{crash: 0}, 1, failure{"backend_failed", guavaretry.ExecutionUnknown}, ""},
		{"crashes during the stream", completion("x"), behaviour{crash: 3}, 2, failure{}, text},
		{"crashes during the stream, not idempotent", nonIdempotent, behaviour{crash: 3}, 2, failure{}, text},
		{"hangs during the stream", completion("x"), behaviour{crash: -1, hang: true}, 2, failure{}, text},
		{"engine is full", completion("x"), behaviour{status: 503}, 2, failure{}, text},
		{"engine is full, not idempotent", nonIdempotent, behaviour{status: 429}, 2, failure{}, text},
		{"call: connection refused", plain, behaviour{refuse: true}, 2, failure{}, ""},
		{"call: connection breaks while sending", plain, behaviour{breaks: true}, 2, failure{}, ""},
		{"call: crash during execution", plain, behaviour{crash: 0}, 1, failure{"backend_failed", guavaretry.ExecutionUnknown}, ""},
		{"call: crash during execution, idempotent", idempotent, behaviour{crash: 0}, 2, failure{}, ""},
		{"call: 503 is possible after execution", plain, behaviour{status: 503}, 1, failure{}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(4)
				f.setFirst(tt.first)
				vm, c, start := f.vm(), &caller{}, time.Now()
				response, err := vm.Run(t.Context(), tt.request, c)
				if d := time.Since(start); d > 5*time.Second {
					t.Errorf("took %v, want at most 5s", d)
				}
				if diff := cmp.Diff(tt.want, outcome(t, err)); diff != "" {
					t.Error("outcome (-want +got):\n" + diff)
				}
				if diff := cmp.Diff(tt.text, c.text.String()); diff != "" {
					t.Error("text (-want +got):\n" + diff)
				}
				if tt.text != "" && (response.Tokens != len(strings.Fields(text)) || c.heads != 1) {
					t.Errorf("got %d tokens and %d heads", response.Tokens, c.heads)
				}
				if len(f.pool.sent) != tt.attempts || len(f.pool.ids) != tt.attempts {
					t.Errorf("got %d attempts with %d distinct IDs, want %d", len(f.pool.sent), len(f.pool.ids), tt.attempts)
				}
				if n := vm.Running(); len(n) != 0 {
					t.Errorf("requests still counted in flight: %v", n)
				}
			})
		})
	}
}

// TestLateEvent guards against events of an ended attempt that reach the caller together with those of the next
// attempt.
func TestLateEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range []behaviour{{crash: 2}, {refuse: true}} {
			f := newFleet(2)
			f.setFirst(first)
			late := &lateEventClient{pool: f.pool}
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

// TestAllServersDown guards against a false report of execution, endless attempts and a retry storm when every server
// refuses connections.
func TestAllServersDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5)
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{refuse: true} })
		vm := f.vm(guavadispatch.WithRetryBudget(0.1, 5))
		const n = 200
		for range n {
			_, err := vm.Run(t.Context(), booking(""), &caller{})
			if got := outcome(t, err); got.Ran != guavaretry.NotExecuted {
				t.Fatalf("got %+v, want not executed", got)
			}
		}
		if got := len(f.pool.sent); got < n || got > n+n/10+5 {
			t.Errorf("got %d attempts for %d requests, want at most the budget of 10%% + 5 more", got, n)
		}
		if vm.Stats().BudgetExhausted == 0 {
			t.Error("retry budget never exhausted: the test has no effect")
		}
	})
}

// TestLastFailure guards against reporting a request as not executed when an earlier attempt may have been executed,
// and against a second attempt at a server that has just failed because the others are busy.
func TestLastFailure(t *testing.T) {
	for name, tt := range map[string]struct {
		first behaviour
		want  guavaretry.Execution
	}{
		"first may have been executed": {behaviour{crash: 0}, guavaretry.ExecutionUnknown},
		"none executed":                {behaviour{refuse: true}, guavaretry.NotExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(4)
				f.setAll(func(guavaback.Attempt) behaviour {
					if len(f.pool.sent) == 1 {
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
				attempts := map[string]int{}
				for _, a := range f.pool.sent {
					attempts[a.Address]++
				}
				if diff := cmp.Diff(map[string]int{"e0": 1, "e1": 1, "e2": 1, "e3": 1}, attempts); diff != "" {
					t.Error("attempts (-want +got):\n" + diff)
				}
			})
		})
	}
}

// TestDeadlineAtAdmission guards against a leaked admission when a request is admitted at the moment at which its
// deadline passes.
func TestDeadlineAtAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: time.Second} })
		vm := f.vm()
		for range 8 {
			for i := range 128 {
				r := booking("")
				r.Body = fmt.Append(nil, i)
				if i >= 64 {
					r.Deadline = time.Now().Add(time.Second)
				}
				go vm.Run(t.Context(), r, &caller{}) //nolint:errcheck // only the admissions are checked
				synctest.Wait()
			}
			time.Sleep(5 * time.Second)
			if n := vm.Stats().Active["service/booking"]; n != 0 {
				t.Fatalf("got %d admissions with nothing running, want 0", n)
			}
		}
	})
}

// TestNoHealthFailure guards against servers marked unhealthy because callers disconnect or because they are full.
func TestNoHealthFailure(t *testing.T) {
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
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{status: 429} })
		for range 12 {
			if _, err := vm.Run(t.Context(), completion("x"), &caller{}); err == nil {
				t.Fatal("full engines served a request")
			}
		}
		if n := vm.Stats().HealthChanges; n != 0 {
			t.Errorf("got %d health changes, want 0", n)
		}
	})
}

// TestDeadline guards against attempts that cannot complete before the deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: time.Second} })
		vm := f.vm()
		for range 20 {
			if _, err := vm.Run(t.Context(), booking(""), &caller{}); err != nil {
				t.Fatal(err)
			}
		}
		sent := len(f.pool.sent)
		r := booking("")
		r.Deadline = time.Now().Add(100 * time.Millisecond)
		_, err := vm.Run(t.Context(), r, &caller{})
		if diff := cmp.Diff(failure{"deadline", guavaretry.NotExecuted}, outcome(t, err)); diff != "" {
			t.Error(diff)
		}
		if len(f.pool.sent) != sent {
			t.Error("request sent although it could not complete before its deadline")
		}
	})
}

// TestQueueFull guards against an unbounded queue, and against a rejection that does not report that nothing was
// executed.
func TestQueueFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: 5 * time.Second} })
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
			t.Errorf("got %v waiting and %v active, want 3 and 16", s.Waiting, s.Active)
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

// TestLeaving guards against new requests for a leaving server.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.setLeaving("s0")
		vm := f.vm()
		for range 30 {
			if _, err := vm.Run(t.Context(), booking(""), &caller{}); err != nil {
				t.Fatal(err)
			}
		}
		for _, a := range f.pool.sent {
			if a.Address == "s0" {
				t.Fatal("request sent to a leaving server")
			}
		}
	})
}

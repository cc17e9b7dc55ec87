package guavadispatch_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavahealth"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavaplatform"
)

// TestToken guards against requests above the rate limit that are executed, and against requests without a client
// account that need a token.
func TestToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		vm, over, anonymous := f.vm(), booking(""), booking("")
		over.Account, anonymous.Account = "over", ""
		_, err := vm.Run(t.Context(), over, &caller{})
		if diff := cmp.Diff(failure{"rate_limited", guavaretry.NotExecuted}, outcome(t, err)); diff != "" {
			t.Error(diff)
		}
		var e *guavadispatch.Error
		if errors.As(err, &e) && (e.Status != 429 || e.RetryAfter != 3*time.Second) {
			t.Errorf("got status %d and retry after %v, want 429 and 3s", e.Status, e.RetryAfter)
		}
		if _, err := vm.Run(t.Context(), anonymous, &caller{}); err != nil || len(f.pool.sent) != 1 {
			t.Errorf("request without an account: error %v, %d attempts, want nil and 1", err, len(f.pool.sent))
		}
	})
}

// TestObserve guards against load reports, arrival announcements, poll failures and configurations that have no effect
// on routing.
func TestObserve(t *testing.T) {
	for name, tt := range map[string]struct {
		observe func(f *fleet, vm *guavadispatch.Pipeline)
		avoided string
	}{
		"load report": {func(_ *fleet, vm *guavadispatch.Pipeline) {
			vm.ObserveLoad("e0", guavaback.Load{Running: 8, Waiting: 20, Slots: 8})
		}, "e0"},
		"arrivals":      {func(_ *fleet, vm *guavadispatch.Pipeline) { vm.ObserveArrivals(map[string]int{"e1": 90}) }, "e1"},
		"poll failures": {func(_ *fleet, vm *guavadispatch.Pipeline) { failPolls(vm, "e2", 3) }, "e2"},
		"leaving":       {func(f *fleet, _ *guavadispatch.Pipeline) { f.setLeaving("e3") }, "e3"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(4)
				vm := f.vm()
				for _, e := range []string{"e0", "e1", "e2", "e3"} {
					vm.ObserveLoad(e, guavaback.Load{Slots: 8})
				}
				time.Sleep(time.Millisecond)
				tt.observe(f, vm)
				for range 30 {
					if _, err := vm.Run(t.Context(), completion("x"), &caller{}); err != nil {
						t.Fatal(err)
					}
				}
				if slices.ContainsFunc(f.pool.sent, func(a guavaback.Attempt) bool { return a.Address == tt.avoided }) {
					t.Errorf("request sent to %s, which is to be avoided", tt.avoided)
				}
				sent := 0
				for _, n := range vm.TakeArrivals() {
					sent += n
				}
				if sent != 30 {
					t.Errorf("got %d announced requests, want 30", sent)
				}
			})
		})
	}
}

func failPolls(vm *guavadispatch.Pipeline, server string, n int) {
	for range n {
		vm.ObservePollFailure(server)
	}
	if vm.Health(server) != guavahealth.Ejected {
		panic("poll failures did not eject the server: the test has no effect")
	}
}

// TestDrain guards against a drain that ends while requests run or results are unrecorded, and against one that never
// ends.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: time.Second} })
		f.table.commitErrors = append([]error{nil}, slices.Repeat([]error{guavaplatform.ErrUnavailable}, 5)...)
		vm, start := f.vm(), time.Now()
		go vm.Run(t.Context(), booking("k"), &caller{}) //nolint:errcheck // the result is checked in the table
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := vm.Drain(short); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("drain of a busy VM: %v", err)
		}
		if err := vm.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		// The response takes 1 s, and the backoff of the 5 failed attempts to record it 50 + 100 + 200 + 400 + 800 ms.
		if d := time.Since(start); d != 2550*time.Millisecond {
			t.Errorf("drained after %v, want 2.55s", d)
		}
		if _, err := f.vm().Run(t.Context(), booking("k"), &caller{}); err != nil || len(f.pool.sent) != 1 {
			t.Errorf("retry after the drain: error %v, sent %d times, want nil and 1", err, len(f.pool.sent))
		}
	})
}

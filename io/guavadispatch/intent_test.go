package guavadispatch_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavaplatform"
)

// TestIntent guards against a second execution of a non-idempotent call, and against a false report of no execution,
// when a VM fails shortly before or after sending, the table is down, or the response to a commit is lost. The retry
// goes to a second VM.
func TestIntent(t *testing.T) {
	unknown := failure{"outcome_unknown", guavaretry.ExecutionUnknown}
	refused := failure{"intent_unavailable", guavaretry.NotExecuted}
	tests := []struct {
		name string
		// prepare sets up the fault; repair ends it before the retry.
		prepare, repair func(f *fleet, l *vmLink)
		first, retry    failure
		// executions is the number of times that a server received the call.
		executions int
	}{
		{"well", nil, nil, failure{}, failure{}, 1},
		{"VM fails between commit and send", func(_ *fleet, l *vmLink) { l.failAfterCommit = true }, nil, failure{"retry_budget", guavaretry.NotExecuted}, unknown, 0},
		{"VM fails between send and record", func(_ *fleet, l *vmLink) { l.failAfterResponse = true }, nil, failure{}, unknown, 1},
		{"table down", func(f *fleet, _ *vmLink) { f.table.down = true }, nil, refused, refused, 0},
		{"table down, then up", func(f *fleet, _ *vmLink) { f.table.down = true }, func(f *fleet, _ *vmLink) { f.table.down = false }, refused, failure{}, 1},
		{"commit unavailable", func(f *fleet, _ *vmLink) { f.table.commitErrors = []error{guavaplatform.ErrUnavailable} }, nil, refused, failure{}, 1},
		{"commit response lost after the write", func(f *fleet, _ *vmLink) { f.table.commitErrors = []error{errResponseLost} }, nil, failure{}, failure{}, 1},
		{"commit request lost before the write", func(f *fleet, _ *vmLink) { f.table.commitErrors = []error{guavaplatform.ErrUnknown} }, nil, failure{}, failure{}, 1},
		{
			"commit responses lost until the timeout", func(f *fleet, _ *vmLink) {
				f.table.commitErrors = slices.Repeat([]error{guavaplatform.ErrUnknown}, 10)
			}, nil, refused, failure{}, 1,
		},
		{"response to recording lost", func(f *fleet, _ *vmLink) { f.table.commitErrors = []error{nil, errResponseLost} }, nil, failure{}, failure{}, 1},
		{
			"recording fails 6 times", func(f *fleet, _ *vmLink) {
				f.table.commitErrors = slices.Insert(slices.Repeat([]error{guavaplatform.ErrUnavailable}, 6), 0, error(nil))
			}, nil, failure{}, failure{}, 1,
		},
		{
			"server crashes during execution", func(f *fleet, _ *vmLink) { f.setFirst(behaviour{crash: 0}) }, nil,
			failure{"backend_failed", guavaretry.ExecutionUnknown},
			unknown, 1,
		},
		{
			"every server refuses the connection", func(f *fleet, _ *vmLink) {
				f.setAll(func(guavaback.Attempt) behaviour { return behaviour{refuse: true} })
			}, func(f *fleet, _ *vmLink) { f.setAll(nil) }, failure{"retry_budget", guavaretry.NotExecuted}, failure{}, 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				l := &vmLink{table: f.table, pool: f.pool}
				if tt.prepare != nil {
					tt.prepare(f, l)
				}
				vm := f.vmWith(l, l, guavadispatch.WithRetryBudget(0, 0))
				first, err := vm.Run(t.Context(), booking("k1"), &caller{})
				if diff := cmp.Diff(tt.first, outcome(t, err)); diff != "" {
					t.Error("first (-want +got):\n" + diff)
				}
				if tt.repair != nil {
					tt.repair(f, l)
				}
				time.Sleep(10 * time.Second)
				retried, err := f.vm().Run(t.Context(), booking("k1"), &caller{})
				if diff := cmp.Diff(tt.retry, outcome(t, err)); diff != "" {
					t.Error("retry (-want +got):\n" + diff)
				}
				if err == nil && tt.first == (failure{}) {
					if diff := cmp.Diff(first, retried); diff != "" {
						t.Error("result of the retry (-first +retry):\n" + diff)
					}
				}
				if len(f.pool.sent) != tt.executions {
					t.Errorf("sent %d times, want %d", len(f.pool.sent), tt.executions)
				}
				// Background writes of the failed VM end at their timeout.
				if err := vm.Drain(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestIntentRace guards against several VMs that execute the same call at once, and against a key that is accepted for
// a different request.
func TestIntentRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.setAll(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: 100 * time.Millisecond} })
		bodies := make(chan string, 10)
		for range 10 {
			vm := f.vm()
			go func() {
				response, err := vm.Run(t.Context(), booking("k2"), &caller{})
				if got := outcome(t, err); got != (failure{}) && got.Ran != guavaretry.ExecutionUnknown {
					t.Errorf("got %+v", got)
				}
				bodies <- string(response.Body)
			}()
		}
		result := ""
		for range 10 {
			if b := <-bodies; b != "" && result != "" && b != result {
				t.Errorf("got two results: %s and %s", result, b)
			} else if b != "" {
				result = b
			}
		}
		if len(f.pool.sent) != 1 || result == "" {
			t.Errorf("sent %d times with result %q, want once with a result", len(f.pool.sent), result)
		}
		other := booking("k2")
		other.Body = []byte("square 13")
		_, err := f.vm().Run(t.Context(), other, &caller{})
		if diff := cmp.Diff(failure{"idempotency_mismatch", guavaretry.NotExecuted}, outcome(t, err)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestIntentStream guards against a retried stream that receives another text than the first one.
func TestIntentStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.setFirst(behaviour{crash: 4})
		r := completion("x")
		r.Route.Idempotent, r.IdempotencyKey = false, "k3"
		texts := make([]string, 0, 2)
		for range 2 {
			c := &caller{}
			if _, err := f.vm().Run(t.Context(), r, c); err != nil {
				t.Fatal(err)
			}
			texts = append(texts, c.text.String())
			time.Sleep(time.Second)
		}
		if len(f.pool.sent) != 2 || texts[0] != texts[1] || texts[0] == "" {
			t.Errorf("got %d attempts and texts %q, want 2 attempts and equal texts", len(f.pool.sent), texts)
		}
	})
}

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

// TestIntent guards against a second run of a non-idempotent call, and against a false "none", when a VM is lost
// around sending, the store is down, or the answer of a commit is lost. A resend goes to a second VM.
func TestIntent(t *testing.T) {
	unknown := failure{"outcome_unknown", guavaretry.ExecutionUnknown}
	refused := failure{"intent_unavailable", guavaretry.NotExecuted}
	tests := []struct {
		name string
		// prepare sets up the fault; repair ends it before the resend.
		prepare, repair func(f *fleet, l *link)
		first, resend   failure
		// runs is the number of times that a server got the call.
		runs int
	}{
		{"well", nil, nil, failure{}, failure{}, 1},
		{"VM lost between commit and send", func(_ *fleet, l *link) { l.afterCommit = true }, nil, failure{"retry_budget", guavaretry.NotExecuted}, unknown, 0},
		{"VM lost between send and record", func(_ *fleet, l *link) { l.afterReply = true }, nil, failure{}, unknown, 1},
		{"store down", func(f *fleet, _ *link) { f.table.down = true }, nil, refused, refused, 0},
		{"store down, then up", func(f *fleet, _ *link) { f.table.down = true }, func(f *fleet, _ *link) { f.table.down = false }, refused, failure{}, 1},
		{"commit unavailable", func(f *fleet, _ *link) { f.table.fails = []error{guavaplatform.ErrUnavailable} }, nil, refused, failure{}, 1},
		{"commit answer lost after the write", func(f *fleet, _ *link) { f.table.fails = []error{errLost} }, nil, failure{}, failure{}, 1},
		{"commit answer lost before the write", func(f *fleet, _ *link) { f.table.fails = []error{guavaplatform.ErrUnknown} }, nil, failure{}, failure{}, 1},
		{
			"commit answers lost until the end", func(f *fleet, _ *link) {
				f.table.fails = slices.Repeat([]error{guavaplatform.ErrUnknown}, 10)
			}, nil, refused, failure{}, 1,
		},
		{"record answer lost", func(f *fleet, _ *link) { f.table.fails = []error{nil, errLost} }, nil, failure{}, failure{}, 1},
		{
			"record fails for a while", func(f *fleet, _ *link) {
				f.table.fails = slices.Insert(slices.Repeat([]error{guavaplatform.ErrUnavailable}, 6), 0, error(nil))
			}, nil, failure{}, failure{}, 1,
		},
		{
			"server dies while running", func(f *fleet, _ *link) { f.once(behaviour{crash: 0}) }, nil,
			failure{"backend_failed", guavaretry.ExecutionUnknown},
			unknown, 1,
		},
		{
			"no server took the call", func(f *fleet, _ *link) {
				f.each(func(guavaback.Attempt) behaviour { return behaviour{refuse: true} })
			}, func(f *fleet, _ *link) { f.each(nil) }, failure{"retry_budget", guavaretry.NotExecuted}, failure{}, 2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				l := &link{table: f.table, pool: f.pool}
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
				again, err := f.vm().Run(t.Context(), booking("k1"), &caller{})
				if diff := cmp.Diff(tt.resend, outcome(t, err)); diff != "" {
					t.Error("resend (-want +got):\n" + diff)
				}
				if err == nil && tt.first == (failure{}) {
					if diff := cmp.Diff(first, again); diff != "" {
						t.Error("the resend got another result:\n" + diff)
					}
				}
				if len(f.pool.tried) != tt.runs {
					t.Errorf("sent %d times, want %d", len(f.pool.tried), tt.runs)
				}
				// Background work of the lost VM ends by itself.
				if err := vm.Drain(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestIntentRace guards against two VMs that run the same call at once, and a caller that reuses a key.
func TestIntentRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.each(func(guavaback.Attempt) behaviour { return behaviour{crash: -1, delay: 100 * time.Millisecond} })
		bodies := make(chan string, 10)
		for range 10 {
			vm := f.vm()
			go func() {
				answer, err := vm.Run(t.Context(), booking("k2"), &caller{})
				if got := outcome(t, err); got != (failure{}) && got.Ran != guavaretry.ExecutionUnknown {
					t.Errorf("got %+v", got)
				}
				bodies <- string(answer.Body)
			}()
		}
		ran := ""
		for range 10 {
			if b := <-bodies; b != "" && ran != "" && b != ran {
				t.Errorf("two results: %s and %s", ran, b)
			} else if b != "" {
				ran = b
			}
		}
		if len(f.pool.tried) != 1 || ran == "" {
			t.Errorf("sent %d times, result %q", len(f.pool.tried), ran)
		}
		other := booking("k2")
		other.Body = []byte("square 13")
		_, err := f.vm().Run(t.Context(), other, &caller{})
		if diff := cmp.Diff(failure{"idempotency_mismatch", guavaretry.NotExecuted}, outcome(t, err)); diff != "" {
			t.Error(diff)
		}
	})
}

// TestIntentStream guards against a resend of a stream that gets another text than the first caller.
func TestIntentStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.once(behaviour{crash: 4})
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
		if len(f.pool.tried) != 2 || texts[0] != texts[1] || texts[0] == "" {
			t.Errorf("%d attempts, texts %q", len(f.pool.tried), texts)
		}
	})
}

package guavajob_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavajob"
	"guavaridge/core/guavaretry"
)

// TestChooserOrder guards against a later deadline that goes before an earlier one of the same client account.
func TestChooserOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		c := guavajob.NewChooser()
		jobs := []guavajob.Candidate{
			{Job: "late", Account: "a", Deadline: now.Add(2 * time.Hour), Left: 9000},
			{Job: "early", Account: "a", Deadline: now.Add(time.Hour), Left: 9000},
		}
		if i := c.Next(jobs, now); jobs[i].Job != "early" {
			t.Errorf("%s goes first", jobs[i].Job)
		}
		if i := c.Next(nil, now); i != -1 {
			t.Errorf("choice %d among no jobs", i)
		}
	})
}

// TestChooserShare guards against a large job with an early deadline that starves a small one, of another client account
// or of its own, and against weights that do not count.
func TestChooserShare(t *testing.T) {
	tests := []struct {
		name   string
		small  guavajob.Candidate
		within int // chunks claimed before the small job's turn
	}{
		{"other account", guavajob.Candidate{Account: "b", Left: 10}, 4},
		{"same account", guavajob.Candidate{Account: "a", Left: 10}, 4},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := guavajob.NewChooser()
				x.small.Job, x.small.Deadline = "small", time.Now().Add(24*time.Hour)
				jobs := []guavajob.Candidate{{Job: "large", Account: "a", Deadline: time.Now().Add(time.Hour), Left: 590_000}, x.small}
				for n := range x.within + 1 {
					i := c.Next(jobs, time.Now())
					if jobs[i].Job == "small" {
						return
					}
					if n == x.within {
						t.Errorf("%d chunks of the large job were claimed first", n+1)
					}
					c.Charge(jobs[i].Account, 500, time.Now())
					time.Sleep(time.Second)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		c := guavajob.NewChooser()
		jobs := []guavajob.Candidate{
			{Job: "one", Account: "a", Weight: 1, Deadline: time.Now().Add(time.Hour), Left: 590_000},
			{Job: "three", Account: "b", Weight: 3, Deadline: time.Now().Add(2 * time.Hour), Left: 590_000},
		}
		claims := map[string]int{}
		for range 400 {
			i := c.Next(jobs, time.Now())
			claims[jobs[i].Job]++
			c.Charge(jobs[i].Account, 500, time.Now())
			time.Sleep(time.Second)
		}
		if n := claims["three"]; n < 270 || n > 330 {
			t.Errorf("the account with three quarters of the weight got %d of 400 chunks", n)
		}
	})
}

// TestWatch guards against a chunk that is taken over while its owner still may act: before the full length of the lease
// was seen without a renewal.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := guavajob.NewLeaseMonitor()
		for range 5 {
			if w.Expired("k", 1, time.Now()) {
				t.Fatal("lapsed early")
			}
			time.Sleep(guavajob.LeaseDuration / 6)
		}
		if w.Expired("k", 2, time.Now()) {
			t.Error("lapsed in spite of a renewal")
		}
		time.Sleep(guavajob.LeaseDuration)
		if !w.Expired("k", 2, time.Now()) {
			t.Error("not lapsed after the length of the lease")
		}
	})
}

// TestItem guards against attempts that are repeated although they must not be, that are counted although nothing ran,
// or that go on without end.
func TestItem(t *testing.T) {
	crash := guavajob.Outcome{Ran: guavaretry.ExecutionUnknown, Crash: true}
	refused := guavajob.Outcome{Ran: guavaretry.NotExecuted}
	fail := guavajob.Outcome{Ran: guavaretry.Executed, Status: 500}
	tests := []struct {
		name       string
		repeatable bool
		outcomes   []guavajob.Outcome
		state      guavajob.ItemState
		attempts   int
	}{
		{"answer", true, []guavajob.Outcome{{Ran: guavaretry.Executed, Status: 200}}, guavajob.ItemDone, 1},
		{"request is wrong", true, []guavajob.Outcome{{Ran: guavaretry.Executed, Status: 400}}, guavajob.ItemDone, 1},
		{"four failures", true, []guavajob.Outcome{fail, fail, fail, fail}, guavajob.ItemFailed, 4},
		{"yields do not count", true, []guavajob.Outcome{{Ran: guavaretry.ExecutionUnknown, Yielded: true}, fail}, guavajob.ItemPending, 1},
		{"refusals do not count", true, []guavajob.Outcome{refused, refused, refused, refused, refused}, guavajob.ItemPending, 0},
		{"one crash", true, []guavajob.Outcome{crash}, guavajob.ItemSuspect, 1},
		{"second crash, perhaps of an online request", true, []guavajob.Outcome{crash, crash}, guavajob.ItemSuspect, 2},
		{"third crash alone", true, []guavajob.Outcome{crash, crash, crash}, guavajob.ItemFailed, 3},
		{"cleared alone", true, []guavajob.Outcome{crash, {Ran: guavaretry.Executed, Status: 200}}, guavajob.ItemDone, 2},
		{"call may have run", false, []guavajob.Outcome{crash}, guavajob.ItemUnknown, 1},
		{"call answered with an error", false, []guavajob.Outcome{fail}, guavajob.ItemDone, 1},
		{"overloaded service", false, []guavajob.Outcome{{Ran: guavaretry.Executed, Status: 503}}, guavajob.ItemDone, 1},
		{"call certainly not run", false, []guavajob.Outcome{refused}, guavajob.ItemPending, 0},
		{"cancelled call may have run", false, []guavajob.Outcome{{Ran: guavaretry.ExecutionUnknown, Cancelled: true}}, guavajob.ItemUnknown, 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			i := guavajob.NewItem()
			for _, o := range x.outcomes {
				if !i.Send("e") {
					t.Fatalf("item is %s and cannot be sent", i.State)
				}
				i.EndAttempt(o, x.repeatable, time.Now())
			}
			if i.State != x.state || i.Attempts != x.attempts {
				t.Errorf("item is %s after %d attempts, want %s after %d", i.State, i.Attempts, x.state, x.attempts)
			}
		})
	}
}

// TestStates guards against rows that leave a final state or change without owner.
func TestStates(t *testing.T) {
	now := time.Now()
	claimed, err := guavajob.Chunk{}.WithClaim("a", now, "1")
	if err != nil {
		t.Fatal(err)
	}
	again, err := claimed.WithClaim("b", now, "2")
	if err != nil || again.Epoch != claimed.Epoch+1 {
		t.Errorf("epoch %d after %d, %v", again.Epoch, claimed.Epoch, err)
	}
	done, err := again.WithResult(guavajob.ChunkSubmit, "r", "", guavajob.Counts{Total: 1, Completed: 1}, "3")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := done.WithClaim("c", now, "4"); !errors.Is(err, guavajob.ErrInvalidTransition) {
		t.Errorf("a finished chunk was claimed: %v", err)
	}
	job := guavajob.Job{State: guavajob.JobRunning, Models: []string{"m", "n"}, ChunkModels: "aab"}
	ended, err := job.WithEvent(guavajob.JobFinish, now, "5")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ended.WithEvent(guavajob.JobCancel, now, "6"); !errors.Is(err, guavajob.ErrInvalidTransition) {
		t.Errorf("a completed job was cancelled: %v", err)
	}
	if d := cmp.Diff([]string{"m", "m", "n"}, []string{job.Model(0), job.Model(1), job.Model(2)}); d != "" {
		t.Errorf("models of the chunks (-want +got):\n%s", d)
	}
}

// TestIdentity guards against two jobs that share an identifier because their parts run into each other.
func TestIdentity(t *testing.T) {
	if guavajob.ContentKey("a", "bc", "x", "/") == guavajob.ContentKey("ab", "c", "x", "/") {
		t.Error("two client accounts share a key")
	}
	if guavajob.CallerKey("a", "k") == guavajob.CallerKey("b", "k") {
		t.Error("two client accounts share an idempotency key")
	}
}

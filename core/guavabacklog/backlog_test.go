package guavabacklog_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaridge/core/guavabacklog"
)

var start = time.UnixMilli(1_000_000)

// TestDecide guards against jobs that exceed the limit because a copy of the jobs table misses the newest jobs, and
// against jobs refused for tokens that no longer wait.
func TestDecide(t *testing.T) {
	due := start.Add(10 * time.Second)
	recent, _ := guavabacklog.Backlog{}.With("new", 400, start)
	again, _ := guavabacklog.Backlog{}.With("job", 800, start)
	without, _ := recent.Without("new", start)
	cases := []struct {
		name    string
		backlog guavabacklog.Backlog
		jobs    []guavabacklog.Job
		tokens  int
		after   time.Duration
		fits    bool
		waiting int
		retry   time.Duration
	}{
		{name: "empty", tokens: 1000, fits: true},
		{name: "larger than the limit", tokens: 1001},
		{name: "fits beside a job", jobs: []guavabacklog.Job{{ID: "a", Waiting: 600, Deadline: due}}, tokens: 400, fits: true, waiting: 600},
		{name: "half of a job has to finish", jobs: []guavabacklog.Job{{ID: "a", Waiting: 600, Deadline: due}}, tokens: 700, waiting: 600, retry: 5 * time.Second},
		{
			name: "two jobs release together", tokens: 760, waiting: 900, retry: 6 * time.Second,
			jobs: []guavabacklog.Job{{ID: "a", Waiting: 600, Deadline: due}, {ID: "b", Waiting: 300, Deadline: start.Add(5 * time.Second)}},
		},
		{name: "the copy misses a job", backlog: recent, tokens: 601, waiting: 400, retry: 200 * time.Millisecond},
		{name: "the copy has the job, which has progressed", backlog: recent, jobs: []guavabacklog.Job{{ID: "new", Waiting: 100, Deadline: due}}, tokens: 900, fits: true, waiting: 100},
		{name: "the copy has the job, which is closed", backlog: recent, jobs: []guavabacklog.Job{{ID: "new"}}, tokens: 1000, fits: true},
		{name: "the job was never created", backlog: recent, tokens: 1000, after: guavabacklog.RecentTime, fits: true},
		{name: "same job again", backlog: again, tokens: 800, fits: true},
		{name: "given back", backlog: without, tokens: 1000, fits: true},
	}
	for _, c := range cases {
		d := c.backlog.Decide("job", c.tokens, 1000, c.jobs, start.Add(c.after))
		if d.Fits != c.fits || d.Waiting != c.waiting || (d.RetryAfter-c.retry).Abs() > 10*time.Millisecond {
			t.Errorf("%s: got fits %t, %d waiting, retry after %v, want %t, %d, %v", c.name, d.Fits, d.Waiting, d.RetryAfter, c.fits, c.waiting, c.retry)
		}
	}
}

// TestNeverOverLimit guards against accepted tokens beyond the limit in any order of submissions, results and updates
// of the VMs' copies, and against a refusal while all copies are current and the job fits.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, vms = 1000, 3
		now := start
		var backlog guavabacklog.Backlog
		store := map[string]guavabacklog.Job{}
		copies := [vms]map[string]guavabacklog.Job{}
		update := func(v int) {
			copies[v] = map[string]guavabacklog.Job{}
			for id, j := range store {
				copies[v][id] = j
			}
		}
		var updated [vms]time.Time
		failed := 0
		for v := range vms {
			update(v)
			updated[v] = now
		}
		total := func() int {
			sum := 0
			for _, j := range store {
				sum += j.Waiting
			}
			return sum
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			v := rapid.IntRange(0, vms-1).Draw(t, "vm")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // results
				for id, j := range store {
					j.Waiting = j.Waiting * rapid.IntRange(0, 10).Draw(t, "left") / 10
					store[id] = j
				}
			case 1:
				update(v)
				updated[v] = now
			default:
				if now.Sub(updated[v]) > guavabacklog.MaxStaleness {
					update(v)
					updated[v] = now
				}
				id, tokens := fmt.Sprintf("job-%d", n), rapid.IntRange(1, 600).Draw(t, "tokens")
				jobs := make([]guavabacklog.Job, 0, len(copies[v]))
				for _, j := range copies[v] {
					jobs = append(jobs, j)
				}
				d := backlog.Decide(id, tokens, limit, jobs, now)
				if !d.Fits {
					if failed == 0 && updated[v].Equal(now) && total()+tokens <= limit {
						t.Fatalf("a job of %d tokens was refused beside %d that wait, the limit is %d", tokens, total(), limit)
					}
					continue
				}
				backlog, _ = backlog.With(id, tokens, now)
				if rapid.IntRange(0, 9).Draw(t, "created") == 0 {
					failed++ // the VM failed before it created the job
					continue
				}
				store[id] = guavabacklog.Job{ID: id, Waiting: tokens, Deadline: now.Add(18 * time.Second)}
				if got := total(); got > limit {
					t.Fatalf("%d tokens wait, the limit is %d", got, limit)
				}
			}
		}
	})
}

// TestRelease guards against a VM that gives back the reservation of a job that another VM has accepted: the job is in no
// other VM's copy of the jobs table yet, so the account's other jobs would exceed the limit.
func TestRelease(t *testing.T) {
	later := start.Add(time.Second)
	first, own := guavabacklog.Backlog{}.With("job", 800, start)
	if !own {
		t.Error("first reservation: not the caller's own")
	}
	if next, ok := first.Without("job", start); !ok || len(next.Recent) != 0 {
		t.Errorf("own reservation given back: got %v, %t", next, ok)
	}
	second, own := first.With("job", 800, later)
	if own {
		t.Error("second reservation for the job: the caller's own, want that of two VMs")
	}
	if next, ok := second.Without("job", start); ok || len(next.Recent) != 1 {
		t.Errorf("given back by the first VM after the second has reserved: got %v, %t", next, ok)
	}
	if d := second.Decide("other", 300, 1000, nil, later); d.Fits {
		t.Error("another job fits beside the reservation")
	}
	if _, own := second.With("job", 800, later.Add(guavabacklog.RecentTime)); !own {
		t.Error("reservation after the earlier ones have lapsed: not the caller's own")
	}
}

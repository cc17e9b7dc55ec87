package guavabatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
)

// TestServerCrash guards against items that are lost when a backend server dies with them in flight.
func TestServerCrash(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0", "e1", "e2")
		job := f.submit(a, "print", "n", lines("x", 1000, chatPath, "m"), chatPath)
		for range 3 {
			time.Sleep(4100 * time.Millisecond)
			f.servers.crash("e0")
		}
		f.complete(a, f.wait(a, job.ID, 10*time.Minute), "x", 1000)
	})
}

// TestPoison guards against an item that crashes every server it runs on and takes others with it, holds up its job, or
// never ends.
func TestPoison(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		f.servers.fault = func(server, item string, _ int) (int, error) {
			if item != "x7" {
				return 0, nil
			}
			time.Sleep(300 * time.Millisecond)
			f.servers.crash(server)
			return 0, &guavaback.Error{Ran: guavaretry.ExecutionUnknown, Crash: true, Err: errors.New("connection reset")}
		}
		a := f.start("a", "e0", "e1", "e2", "e3")
		job := f.submit(a, "print", "n", lines("x", 1000, chatPath, "m"), chatPath)
		ended := f.wait(a, job.ID, 3*time.Minute)
		if want := (guavajob.Counts{Total: 1000, Completed: 999, Failed: 1}); ended.Counts != want {
			t.Errorf("counts %+v, want %+v", ended.Counts, want)
		}
		if code := f.results(a, job.ID)["id-7"]; code != "server_crashed" {
			t.Errorf("the item ended with %q", code)
		}
		if n := f.servers.sent["x7"]; n > guavajob.MaxAttempts {
			t.Errorf("the item was sent %d times", n)
		}
	})
}

// TestAttempts guards against an item that is sent more than four times, always to the same server, or without end.
func TestAttempts(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		f.servers.fault = func(_, item string, _ int) (int, error) {
			if item == "x3" {
				return 500, nil
			}
			return 0, nil
		}
		a := f.start("a", "e0", "e1", "e2", "e3")
		job := f.submit(a, "print", "n", lines("x", 100, chatPath, "m"), chatPath)
		ended := f.wait(a, job.ID, 3*time.Minute)
		if want := (guavajob.Counts{Total: 100, Completed: 99, Failed: 1}); ended.Counts != want {
			t.Errorf("counts %+v, want %+v", ended.Counts, want)
		}
		servers := 0
		for _, items := range f.servers.on {
			servers += min(items["x3"], 1)
		}
		if n := f.servers.sent["x3"]; n != guavajob.MaxAttempts || servers != 4 {
			t.Errorf("the item was sent %d times to %d servers", n, servers)
		}
	})
}

// TestOverload guards against items that end with an error because servers refused them while overloaded.
func TestOverload(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		f.servers.fault = func(_, _ string, send int) (int, error) {
			if send <= 6 {
				return 503, nil
			}
			return 0, nil
		}
		a := f.start("a", "e0", "e1")
		job := f.submit(a, "print", "n", lines("x", 100, chatPath, "m"), chatPath)
		f.complete(a, f.wait(a, job.ID, 10*time.Minute), "x", 100)
	})
}

// TestYield guards against a reduced grant that is not followed at once, and against progress that is thrown away.
func TestYield(t *testing.T) {
	run(t, 8*time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0")
		job := f.submit(a, "print", "n", lines("x", 16, chatPath, "m"), chatPath)
		waitUntil(func() bool { return f.servers.started() == 16 })
		time.Sleep(5 * time.Second)
		a.grants.set()
		time.Sleep(50 * time.Millisecond)
		f.servers.mu.Lock()
		if n := len(f.servers.alive["e0"]); n != 0 {
			t.Errorf("%d streams run 50 ms after the grant has ended", n)
		}
		f.servers.mu.Unlock()
		a.grants.set(a.grantOf("e0", 16))
		resumed := time.Now()
		f.complete(a, f.wait(a, job.ID, time.Minute), "x", 16)
		if d := time.Since(resumed); d > 6*time.Second {
			t.Errorf("the resumed items took %s more, want 4 s", d)
		}
		var b strings.Builder
		if err := a.service.Results(t.Context(), "", job.ID, "results", &b); err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(b.String(), "x5 "); n != 0 {
			t.Errorf("malformed text")
		}
		if !strings.Contains(b.String(), `"content":"x50 x51 x52 x53 "`) {
			t.Errorf("text of a resumed item is not whole: %s", b.String())
		}
	})
}

// TestAtMostOnce guards against a second run of items on a route that is not idempotent.
func TestAtMostOnce(t *testing.T) {
	const path = "/v1/book"
	tests := []struct {
		name  string
		fault func(f *fleet, a *vm)
		lost  int // most items that may end as unknown
	}{
		{"no fault", func(*fleet, *vm) {}, 0},
		{"VM lost", func(f *fleet, a *vm) { f.kill(a) }, 100},
		{"VM leaves", func(_ *fleet, a *vm) { a.stop() }, 100},
		{"VM paused", func(_ *fleet, a *vm) {
			a.gate.pause()
			time.Sleep(3 * time.Minute)
			a.gate.resume()
		}, 100},
		{"service dies", func(f *fleet, _ *vm) { f.servers.crash("b0") }, 16},
		{"answers lost", func(f *fleet, _ *vm) { f.platform.LoseResponsesWithProbability(0.5, 3) }, 0},
		{"commits lost", func(f *fleet, _ *vm) { f.platform.LoseCommits(20) }, 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			run(t, time.Second, func(t *testing.T, f *fleet) {
				a := f.start("a", "b0")
				job := f.submit(a, "print", "n", lines("x", 1000, path, ""), path)
				waitUntil(func() bool { return f.servers.answered() > 250 })
				x.fault(f, a)
				b := f.start("b", "b0")
				ended := f.wait(b, job.ID, 20*time.Minute)
				unknown := 0
				results := f.results(b, job.ID)
				for i := range 1000 {
					item := fmt.Sprintf("x%d", i)
					code, ok := results[fmt.Sprintf("id-%d", i)]
					if n := f.servers.sent[item]; n > 1 {
						t.Errorf("item %s was sent %d times", item, n)
					}
					switch {
					case !ok:
						t.Errorf("item %s has no result", item)
					case code == "outcome_unknown":
						unknown++
					case code != "" || f.servers.done[item] != 1:
						t.Errorf("item %s ended with %q and was run %d times", item, code, f.servers.done[item])
					}
				}
				if unknown > x.lost || ended.Counts != (guavajob.Counts{Total: 1000, Completed: 1000 - unknown, Failed: unknown}) {
					t.Errorf("%d items are unknown, at most %d are allowed; counts %+v", unknown, x.lost, ended.Counts)
				}
			})
		})
	}
}

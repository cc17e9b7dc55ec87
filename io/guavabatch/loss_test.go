package guavabatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavajob"
)

// TestLoss guards against accepted items that are lost, or counted twice, when their owner fails, is paused
// beyond its lease expiry, or is disconnected from the platform. Another VM runs from the start.
func TestLoss(t *testing.T) {
	tests := []struct {
		name string
		// fault injects the fault at VM a, which owns chunks of the job.
		fault func(f *fleet, a *vm)
	}{
		{"failed right after acknowledging", func(f *fleet, a *vm) { f.kill(a) }},
		{"failed after claiming", func(f *fleet, a *vm) {
			waitUntil(func() bool { return a.runner.Stats().Claimed > 0 })
			f.kill(a)
		}},
		{"failed in the middle of a chunk", func(f *fleet, a *vm) {
			waitUntil(func() bool { return f.servers.responses() > 100 })
			f.kill(a)
		}},
		{"failed between results and row", func(f *fleet, a *vm) {
			written := make(chan struct{}, 100)
			a.gate.put = func(key string) {
				if strings.HasSuffix(key, "/results") {
					f.platform.PartitionVM("a", true)
					written <- struct{}{}
				}
			}
			<-written
			f.kill(a)
		}},
		{"grants revoked in the middle of a chunk", func(f *fleet, a *vm) {
			waitUntil(func() bool { return f.servers.responses() > 100 })
			a.grants.set()
		}},
		{"drained in the middle of a chunk", func(f *fleet, a *vm) {
			waitUntil(func() bool { return f.servers.responses() > 100 })
			a.stop()
		}},
		{"paused past its lease", func(f *fleet, a *vm) {
			waitUntil(func() bool { return f.servers.responses() > 100 })
			a.gate.pause()
			time.Sleep(3 * time.Minute)
			a.gate.resume()
		}},
		{"paused past its lease after writing the results", func(f *fleet, a *vm) {
			a.gate.put = func(key string) {
				if strings.HasSuffix(key, "/results") {
					a.gate.pass()
				}
			}
			waitUntil(func() bool { return f.servers.responses() > 490 })
			a.gate.pause()
			time.Sleep(3 * time.Minute)
			a.gate.resume()
		}},
		{"disconnected from the platform", func(f *fleet, a *vm) {
			waitUntil(func() bool { return f.servers.responses() > 100 })
			f.platform.PartitionVM("a", true)
			time.Sleep(5 * time.Minute)
			f.platform.PartitionVM("a", false)
		}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			run(t, time.Second, func(t *testing.T, f *fleet) {
				a := f.start("a", "e0", "e1")
				job := f.submit(a, "print", "night.jsonl", lines("x", 1200, chatPath, "m"), chatPath)
				b := f.start("b", "e2", "e3")
				x.fault(f, a)
				f.complete(b, f.wait(b, job.ID, 20*time.Minute), "x", 1200)
			})
		})
	}
}

// TestPlatform guards against items lost or counted twice while the platform fails for every VM.
func TestPlatform(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
		clear func(f *fleet)
	}{
		{"down", func(f *fleet) { f.platform.SetDown(true) }, func(f *fleet) { f.platform.SetDown(false) }},
		{"slow", func(f *fleet) { f.platform.SetDelay(4 * time.Second) }, func(f *fleet) { f.platform.SetDelay(0) }},
		{"slower than the call timeout", func(f *fleet) { f.platform.SetDelay(8 * time.Second) }, func(f *fleet) { f.platform.SetDelay(0) }},
		{"half of the responses lost", func(f *fleet) { f.platform.LoseResponsesWithProbability(0.5, 7) }, func(f *fleet) { f.platform.LoseResponsesWithProbability(0, 0) }},
		{"commits lost", func(f *fleet) { f.platform.LoseCommits(10) }, func(*fleet) {}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			run(t, time.Second, func(t *testing.T, f *fleet) {
				a := f.start("a", "e0", "e1")
				f.start("b", "e2", "e3")
				job := f.submit(a, "print", "night.jsonl", lines("x", 3000, chatPath, "m"), chatPath)
				waitUntil(func() bool { return f.servers.responses() > 100 })
				x.fault(f)
				time.Sleep(10 * time.Minute)
				x.clear(f)
				f.complete(a, f.wait(a, job.ID, 20*time.Minute), "x", 3000)
			})
		})
	}
}

// TestResumedOwner guards against a paused owner that writes rows after it resumes, or whose result is counted,
// although another VM runs the chunk or has finished it.
func TestResumedOwner(t *testing.T) {
	atResults := func(a *vm) {
		a.gate.put = func(key string) {
			if strings.HasSuffix(key, "/results") {
				a.gate.pause()
			}
		}
	}
	beforeRow := func(a *vm) { a.gate.pauseBefore = `"state":"done"` }
	ended := func(f *fleet, b *vm, id string) { f.wait(b, id, 5*time.Minute) }
	running := func(f *fleet, _ *vm, _ string) { waitUntil(func() bool { return f.servers.responses() > 600 }) }
	tests := []struct {
		name  string
		pause func(a *vm)
		until func(f *fleet, b *vm, id string)
	}{
		{"results written, job ended meanwhile", atResults, ended},
		{"results written, chunk running elsewhere", atResults, running},
		{"before the row, job ended meanwhile", beforeRow, ended},
		{"before the row, chunk running elsewhere", beforeRow, running},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			run(t, time.Second, func(t *testing.T, f *fleet) {
				a := f.start("a", "e0", "e1")
				x.pause(a)
				job := f.submit(a, "print", "n", lines("x", 500, chatPath, "m"), chatPath)
				waitUntil(a.gate.isPaused)
				b := f.start("b", "e2", "e3")
				x.until(f, b, job.ID)
				before, err := f.platform.Scan(t.Context(), "", "", 1000)
				if err != nil {
					t.Fatal(err)
				}
				a.gate.put = nil
				a.gate.resume()
				time.Sleep(time.Second)
				after, err := f.platform.Scan(t.Context(), "", "", 1000)
				if err != nil {
					t.Fatal(err)
				}
				if d := cmp.Diff(before, after); d != "" {
					t.Errorf("rows changed after the pause (-before +after):\n%s", d)
				}
				f.complete(b, f.wait(b, job.ID, 5*time.Minute), "x", 500)
				if s := a.runner.Stats(); s.Submitted != 0 || s.Lost != 1 {
					t.Errorf("the paused owner submitted %d chunks and lost %d, want 0 and 1", s.Submitted, s.Lost)
				}
			})
		})
	}
}

// TestClaimAfterCancel guards against a chunk that is claimed after its job was cancelled, by a VM that read the
// job before the cancellation and was paused right before its commit.
func TestClaimAfterCancel(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a, b := f.start("a"), f.start("b", "e0")
		b.gate.pauseBefore = `"state":"claimed"`
		job := f.submit(a, "print", "n", lines("x", 500, chatPath, "m"), chatPath)
		waitUntil(b.gate.isPaused)
		if _, err := a.service.Cancel(t.Context(), "print", job.ID); err != nil {
			t.Fatal(err)
		}
		f.wait(a, job.ID, time.Minute)
		b.gate.resume()
		time.Sleep(time.Minute)
		if n := f.platform.Rows("chunk/"); n != 0 || f.servers.started() != 0 {
			t.Errorf("%d chunks were claimed and %d items sent after the end of the job, want 0 and 0", n, f.servers.started())
		}
	})
}

// TestAcceptLate guards against a job that is run twice, because a VM that was paused right before accepting it resumes
// after another VM has accepted and run it.
func TestAcceptLate(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a, b := f.start("a", "e0", "e1"), f.start("b")
		b.gate.pauseBefore = "jobkey/"
		late := make(chan guavajob.Job)
		go func() { late <- f.submit(b, "print", "n", lines("x", 500, chatPath, "m"), chatPath) }()
		waitUntil(b.gate.isPaused)
		job := f.submit(a, "print", "n", lines("x", 500, chatPath, "m"), chatPath)
		f.complete(a, f.wait(a, job.ID, 5*time.Minute), "x", 500)
		b.gate.resume()
		if again := <-late; again.ID != job.ID || again.State != guavajob.JobCompleted {
			t.Errorf("the late VM returned job %s, %s, want the completed job", again.ID, again.State)
		}
		time.Sleep(time.Minute)
		if n := f.servers.responses(); n != 500 || f.platform.Rows("active/") != 0 {
			t.Errorf("got %d responses and %d active jobs, want 500 and 0", n, f.platform.Rows("active/"))
		}
	})
}

// TestLeaseExpiry guards against an owner that sends items after its lease has expired during an outage.
func TestLeaseExpiry(t *testing.T) {
	run(t, 4*time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0")
		job := f.submit(a, "print", "night.jsonl", lines("x", 1000, chatPath, "m"), chatPath)
		waitUntil(func() bool { return f.servers.responses() > 16 })
		f.platform.SetDown(true)
		down := time.Now()
		time.Sleep(5 * time.Minute)
		sends := f.servers.lastSends() // those after the outage are allowed
		f.platform.SetDown(false)
		if len(sends) == 0 {
			t.Error("no item was sent before the outage")
		}
		for item, at := range sends {
			if at.Sub(down) > 30*time.Second {
				t.Errorf("item %s was sent %s into the outage, want at most 30 s", item, at.Sub(down))
			}
		}
		f.complete(a, f.wait(a, job.ID, 5*time.Minute), "x", 1000)
	})
}

func waitUntil(f func() bool) {
	for !f() {
		time.Sleep(100 * time.Millisecond)
	}
}

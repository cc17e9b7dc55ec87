package guavabatch_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavabatch"
)

// TestCancel guards against items that are sent after their job was cancelled, and against counts that differ from the
// results when the cancellation races with the end of items, chunks and the job.
func TestCancel(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, 16 * time.Second, 31 * time.Second, 32 * time.Second, 33 * time.Second, 2 * time.Minute} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, time.Second, func(t *testing.T, f *fleet) {
				a := f.start("a", "e0", "e1")
				b := f.start("b", "e2", "e3") // reads the cancellation from the table only
				job := f.submit(a, "print", "night.jsonl", lines("x", 1900, chatPath, "m"), chatPath)
				time.Sleep(after)
				cancelled := time.Now()
				if _, err := a.service.Cancel(t.Context(), "print", job.ID); err != nil {
					if !errors.Is(err, guavabatch.ErrFinal) {
						t.Fatalf("cancel: %v", err)
					}
					f.complete(b, f.wait(b, job.ID, time.Minute), "x", 1900)
					return
				}
				ended := f.wait(b, job.ID, 2*time.Minute)
				for item, at := range f.servers.lastSends() {
					if at.Sub(cancelled) > 3*time.Second {
						t.Errorf("item %s was sent %s after the cancellation", item, at.Sub(cancelled))
					}
				}
				got := map[string]int{}
				for _, code := range f.results(b, job.ID) {
					got[code]++
				}
				if want := (guavajob.Counts{Total: 1900, Completed: got[""]}); ended.Counts != want || ended.State != guavajob.JobCancelled {
					t.Errorf("job is %s with %+v, want cancelled with %+v", ended.State, ended.Counts, want)
				}
				if got[""]+got["batch_cancelled"] != 1900 {
					t.Errorf("results by code: %v, want 1900 in total", got)
				}
				if got[""] != f.servers.total {
					t.Errorf("got %d results, want %d, the items that the servers completed", got[""], f.servers.total)
				}
			})
		})
	}
}

// TestCancelLostOwner guards against a cancelled job that never ends because the owner of a chunk failed.
func TestCancelLostOwner(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a, b := f.start("a", "e0", "e1"), f.start("b")
		job := f.submit(a, "print", "night.jsonl", lines("x", 1000, chatPath, "m"), chatPath)
		waitUntil(func() bool { return f.servers.responses() > 100 })
		f.kill(a)
		if _, err := b.service.Cancel(t.Context(), "print", job.ID); err != nil {
			t.Fatal(err)
		}
		if ended := f.wait(b, job.ID, 2*time.Minute); ended.Counts.Completed != 0 || len(f.results(b, job.ID)) != 1000 {
			t.Errorf("got counts %+v and %d results, want 0 completed and 1000 results", ended.Counts, len(f.results(b, job.ID)))
		}
	})
}

// TestDeadline guards against a job that continues after its deadline, or whose unfinished items get no result.
func TestDeadline(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0")
		file, err := a.service.Upload(t.Context(), "print", "n", "batch", strings.NewReader(lines("x", 1000, chatPath, "m")))
		if err != nil {
			t.Fatal(err)
		}
		job, err := a.service.Submit(t.Context(), guavabatch.Submission{Account: "print", File: file.ID, Path: chatPath, Window: "10s"})
		if err != nil {
			t.Fatal(err)
		}
		ended := f.wait(a, job.ID, time.Minute)
		got := map[string]int{}
		for _, code := range f.results(a, job.ID) {
			got[code]++
		}
		if ended.State != guavajob.JobExpired || got[""] != ended.Counts.Completed || got[""]+got["batch_expired"] != 1000 {
			t.Errorf("job is %s with %+v, results %v, want expired with 1000 results that match the counts", ended.State, ended.Counts, got)
		}
	})
}

// TestResent guards against a job that runs twice because its submission was repeated, also at two VMs at the same
// time.
func TestResent(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		f.platform.SetDelay(50 * time.Millisecond)
		vms := []*vm{f.start("a", "e0", "e1"), f.start("b", "e2", "e3")}
		ids := make([]string, 4)
		var g sync.WaitGroup
		for i := range ids {
			g.Go(func() {
				ids[i] = f.submit(vms[i%2], "print", "night.jsonl", lines("x", 1000, chatPath, "m"), chatPath).ID
			})
		}
		g.Wait()
		f.complete(vms[0], f.wait(vms[0], ids[0], 5*time.Minute), "x", 1000)
		late := f.submit(vms[1], "print", "night.jsonl", lines("x", 1000, chatPath, "m"), chatPath)
		for _, id := range append(ids[1:], late.ID) {
			if id != ids[0] {
				t.Errorf("want job %s, got job %s for the repeated submission", ids[0], id)
			}
		}
		if f.servers.total != 1000 {
			t.Errorf("the servers completed %d items, want 1000", f.servers.total)
		}
	})
}

// TestIdempotencyKey guards against an idempotency key that returns the job of another client account, or a job with
// other content.
func TestIdempotencyKey(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a")
		submit := func(account, name, prefix string) (string, error) {
			file, err := a.service.Upload(t.Context(), account, name, "batch", strings.NewReader(lines(prefix, 3, chatPath, "m")))
			if err != nil {
				t.Fatal(err)
			}
			job, err := a.service.Submit(t.Context(), guavabatch.Submission{Account: account, File: file.ID, Path: chatPath, Key: "k"})
			return job.ID, err
		}
		first, err := submit("print", "n", "x")
		if err != nil {
			t.Fatal(err)
		}
		if again, err := submit("print", "n", "x"); again != first || err != nil {
			t.Errorf("repeated submission: got %s, %v, want %s", again, err, first)
		}
		if _, err := submit("print", "n", "other"); err == nil {
			t.Error("the key was accepted with other content, want an error")
		}
		if other, err := submit("chalk", "n", "x"); other == first || err != nil {
			t.Errorf("other client account: got job %s, %v, want a separate job", other, err)
		}
	})
}

// TestTwoJobs guards against results that are mixed up between jobs whose items have the same custom_id.
func TestTwoJobs(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0", "e1")
		f.start("b", "e2", "e3")
		one := f.submit(a, "print", "n", lines("x", 700, chatPath, "m"), chatPath)
		two := f.submit(a, "chalk", "n", lines("y", 700, chatPath, "n"), chatPath)
		f.complete(a, f.wait(a, one.ID, 5*time.Minute), "x", 700)
		f.complete(a, f.wait(a, two.ID, 5*time.Minute), "y", 700)
		for kind, id := range map[string]string{"x": one.ID, "y": two.ID} {
			var b strings.Builder
			if err := a.service.Results(t.Context(), "", id, guavabatch.ResultLines, &b); err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(b.String(), `"content":"`+kind); n != 700 {
				t.Errorf("job of %s: got %d results with its own text, want 700", kind, n)
			}
		}
	})
}

// TestInvalidLines guards against invalid lines that fail the whole job, are run, or are reported without line and
// reason.
func TestInvalidLines(t *testing.T) {
	valid := strings.TrimSpace(lines("x", 1, chatPath, "m"))
	content := strings.Join([]string{
		valid, `{"custom_id":`, "", strings.Replace(valid, "id-0", "", 1), strings.Replace(valid, chatPath, "/v1/other", 1),
		strings.Replace(valid, `"m"`, `"unheard"`, 1), strings.Replace(valid, "POST", "GET", 1),
		`{"custom_id":"long","body":"` + strings.Repeat("a", guavabatch.MaxLineBytes) + `"}`,
	}, "\n")
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0")
		job := f.submit(a, "print", "n", content, chatPath)
		got := map[int]string{}
		for _, b := range job.InvalidLines {
			got[b.Line] = b.Code
			if b.Reason == "" {
				t.Errorf("line %d has no reason", b.Line)
			}
		}
		want := map[int]string{
			2: guavajob.CodeJSON, 4: guavajob.CodeID, 5: guavajob.CodeURL, 6: guavajob.CodeModel,
			7: guavajob.CodeMethod, 8: guavajob.CodeTooLong,
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("invalid lines (-want +got):\n%s", d)
		}
		ended := f.wait(a, job.ID, time.Minute)
		if want := (guavajob.Counts{Total: 7, Completed: 1, Failed: 6}); ended.Counts != want {
			t.Errorf("got counts %+v, want %+v", ended.Counts, want)
		}
		var b strings.Builder
		if err := a.service.Results(t.Context(), "", job.ID, guavabatch.ErrorLines, &b); err != nil {
			t.Fatal(err)
		}
		for line := range want {
			if !strings.Contains(b.String(), fmt.Sprintf(`"line":%d`, line)) {
				t.Errorf("line %d is not in the error file", line)
			}
		}
	})
}

// TestByteOrderMark guards against a byte order mark that makes the first line invalid.
func TestByteOrderMark(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0")
		job := f.submit(a, "print", "n", "\ufeff"+lines("x", 2, chatPath, "m"), chatPath)
		if len(job.InvalidLines) > 0 {
			t.Errorf("got invalid lines %+v, want none", job.InvalidLines)
		}
	})
}

// TestDuplicateIdentifiers guards against indistinguishable results: two lines with the same custom_id are rejected.
func TestDuplicateIdentifiers(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0")
		content := lines("x", 20, chatPath, "m")
		content += strings.SplitAfter(content, "\n")[6]
		file, err := a.service.Upload(t.Context(), "print", "n", "batch", strings.NewReader(content))
		if err != nil {
			t.Fatal(err)
		}
		_, err = a.service.Submit(t.Context(), guavabatch.Submission{Account: "print", File: file.ID, Path: chatPath})
		if !errors.Is(err, guavabatch.ErrInvalid) || !strings.Contains(err.Error(), "lines 7 and 21") {
			t.Errorf("got %v, want an invalid job with lines 7 and 21", err)
		}
	})
}

// TestFairness guards against a job with many items that delays a small job of another client account.
func TestFairness(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0", "e1")
		f.submit(a, "print", "n", lines("x", 50_000, chatPath, "m"), chatPath)
		time.Sleep(30 * time.Second)
		small := f.submit(a, "chalk", "n", lines("y", 10, chatPath, "m"), chatPath)
		f.wait(a, small.ID, 2*time.Minute)
	})
}

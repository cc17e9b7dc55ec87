package guavajobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaprogress"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavajobs"
	"guavaridge/io/guavaplatform"
)

// table is a store with one row.
type table struct {
	guavaplatform.RevisionTable
	row  guavaplatform.Row
	read func() // called at each read
}

// Read implements guavaplatform.Table.
func (t table) Read(context.Context, string) (guavaplatform.Row, error) {
	if t.read != nil {
		t.read()
	}
	return t.row, nil
}

// codec encodes a page as its total, its number of results and the position of the next page.
type codec struct{ guavajobs.Codec }

// Page implements guavajobs.Codec.
func (codec) Page(total int, results []guavaprogress.Result, next int) ([]byte, error) {
	return fmt.Appendf(nil, "%d %d %d", total, len(results), next), nil
}

// TestListingBehindJob guards against a page of results that reports 0 items for an existing job. A listing that was
// read before the job's row was written removed the job from the index while a request waited for its results.
func TestListingBehindJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value, err := json.Marshal(guavaprogress.Job{ID: "j", Account: "red", Total: 7})
		if err != nil {
			t.Fatal(err)
		}
		jobs := guavajobs.New(guavajobs.Dependencies{
			Table: table{row: guavaplatform.Row{Key: "jobs/0/j", Value: value, Revision: 20}}, Codec: codec{},
			Stale: func() bool { return false }, Confirmed: time.Now, MaxStaleness: time.Second, Logger: hclog.NewNullLogger(),
		})
		defer jobs.Close()
		other := guavaplatform.Row{Key: "jobs/1/other", Value: []byte(`{"id":"other","total":1}`), Revision: 10}
		for _, listing := range [][]guavaplatform.RowChange{nil, {{Row: other}}} {
			var w fasthttp.RequestCtx
			done := make(chan struct{})
			go func() {
				defer close(done)
				jobs.Serve(t.Context(), &w, guavagate.Request{
					Operation: guavagate.JobResults, Job: "j", Wait: time.Second,
				}, "red")
			}()
			synctest.Wait()
			jobs.Apply(listing, true)
			<-done
			if got := string(w.Response.Body()); got != "7 0 0" {
				t.Errorf("page %q, want 7 items, no results, next 0", got)
			}
		}
	})
}

// TestAbsentOwner guards against the takeover of a job from a live owner by a VM whose list does not have the owner's
// current incarnation yet, and against a late takeover.
func TestAbsentOwner(t *testing.T) {
	const before, now, after = 1000, 2000, 3000 // incarnations; the job's is now
	cases := []struct {
		name   string
		listed uint64 // the owner's incarnation in the list of VMs, 0 if not listed
		linked uint64 // the incarnation at the other end of the link, 0 if not linked
		never  bool
		want   time.Duration // time until the takeover starts
	}{
		{name: "linked, not listed yet", linked: now, never: true},
		{name: "linked, listed before its restart", linked: now, listed: before, never: true},
		{name: "linked, listed", linked: now, listed: now, never: true},
		{name: "neither listed nor linked", want: 2 * time.Second},
		{name: "listed, not linked", listed: now, want: 2 * time.Second},
		{name: "restarted", listed: after, linked: after, want: 250 * time.Millisecond},
		{name: "restarted, not listed yet", listed: now, linked: after, want: 250 * time.Millisecond},
		{name: "restarted with its clock set back", listed: before, linked: before, want: 250 * time.Millisecond},
		{name: "restarted with its clock set back, not linked", listed: before, want: 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				value, err := json.Marshal(guavaprogress.Job{ID: "j", Account: "red", Total: 7, Owner: "vm-1", Incarnation: now})
				if err != nil {
					t.Fatal(err)
				}
				row := guavaplatform.Row{Key: "jobs/0/j", Value: value, Revision: 20}
				taken := make(chan time.Time, 100)
				self := guavamember.Identity{Name: "vm-0", Incarnation: 1}
				jobs := guavajobs.New(guavajobs.Dependencies{
					Self: self, Codec: codec{}, Logger: hclog.NewNullLogger(),
					Table:  table{row: guavaplatform.Row{Key: row.Key}, read: func() { taken <- time.Now() }},
					Config: func() *guavatraffic.Config { return &guavatraffic.Config{} },
					Linked: func(string) uint64 { return c.linked },
				})
				defer jobs.Close()
				vms := []guavamember.Identity{self}
				if c.listed > 0 {
					vms = append(vms, guavamember.Identity{Name: "vm-1", Incarnation: c.listed})
				}
				jobs.SetVMs(vms)
				jobs.Apply([]guavaplatform.RowChange{{Row: row}}, true)
				began := time.Now()
				ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
				defer stop()
				jobs.Run(ctx, func([]string) {})
				select {
				case at := <-taken:
					if took := at.Sub(began); c.never || took > c.want {
						t.Errorf("takeover after %v, want %v (never: %t)", took, c.want, c.never)
					}
				default:
					if !c.never {
						t.Errorf("no takeover, want one after %v", c.want)
					}
				}
			})
		})
	}
}

// TestCostOfChecks guards against checks for abandoned jobs whose cost grows with the number of VMs: every VM checks
// every open job several times a second, so that in a fleet of hundreds the checks took most of the processor time.
func TestCostOfChecks(t *testing.T) {
	allocated := func(vms int) uint64 {
		var before, after runtime.MemStats
		synctest.Test(t, func(t *testing.T) {
			jobs := guavajobs.New(guavajobs.Dependencies{
				Self: guavamember.Identity{Name: "vm-0", Incarnation: 1}, Codec: codec{}, Logger: hclog.NewNullLogger(),
				Config: func() *guavatraffic.Config { return &guavatraffic.Config{} },
				Linked: func(string) uint64 { return 1 },
			})
			defer jobs.Close()
			list := make([]guavamember.Identity, 0, vms)
			for i := range vms {
				list = append(list, guavamember.Identity{Name: fmt.Sprintf("vm-%d", i), Incarnation: 1})
			}
			jobs.SetVMs(list)
			rows := make([]guavaplatform.RowChange, 0, 30)
			for i := range 30 {
				value, err := json.Marshal(guavaprogress.Job{ID: fmt.Sprintf("j%d", i), Total: 7, Owner: "vm-1", Incarnation: 1})
				if err != nil {
					t.Fatal(err)
				}
				rows = append(rows, guavaplatform.RowChange{Row: guavaplatform.Row{Key: fmt.Sprintf("jobs/0/j%d", i), Value: value, Revision: 20}})
			}
			jobs.Apply(rows, true)
			ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
			defer stop()
			runtime.ReadMemStats(&before)
			jobs.Run(ctx, func([]string) {})
			runtime.ReadMemStats(&after)
		})
		return after.TotalAlloc - before.TotalAlloc
	}
	allocated(30) // the first run also allocates what the runtime keeps
	if few, many := allocated(30), allocated(300); many > 2*few {
		t.Errorf("checks of 30 jobs for 20 s allocate %d bytes with 30 VMs and %d with 300, want less than twice as much", few, many)
	}
}

// conflictingTable is a store with one row whose first commit fails with a conflict, and the read that follows with it.
// It records the keys of all commits.
type conflictingTable struct {
	guavaplatform.RevisionTable
	row     guavaplatform.Row
	commits []string
	reads   int
}

// Read implements guavaplatform.Table.
func (t *conflictingTable) Read(context.Context, string) (guavaplatform.Row, error) {
	if t.reads++; t.reads == 2 {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	return t.row, nil
}

// CommitAt implements guavaplatform.RevisionTable.
func (t *conflictingTable) CommitAt(_ context.Context, _ []guavaplatform.Check, writes []guavaplatform.Write) (uint64, error) {
	t.commits = append(t.commits, writes[0].Key)
	if len(t.commits) == 1 {
		return 0, guavaplatform.ErrConflict
	}
	return 30, nil
}

// TestEndAfterFailedRead guards against an end of a job that is acknowledged but not written: after a conflict and a
// failed read, the commit wrote the row of a job without ID.
func TestEndAfterFailedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value, err := json.Marshal(guavaprogress.Job{ID: "j", Account: "red", Total: 7})
		if err != nil {
			t.Fatal(err)
		}
		store := &conflictingTable{row: guavaplatform.Row{Key: "jobs/0/j", Value: value, Revision: 20}}
		jobs := guavajobs.New(guavajobs.Dependencies{Table: store, Codec: codec{}, Logger: hclog.NewNullLogger()})
		defer jobs.Close()
		var w fasthttp.RequestCtx
		jobs.Serve(t.Context(), &w, guavagate.Request{Operation: guavagate.JobEnd, Job: "j"}, "red")
		if got := w.Response.StatusCode(); got != fasthttp.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
		for i, key := range store.commits {
			if key != store.commits[0] {
				t.Errorf("commit %d: got row %q, want the job's row %q", i, key, store.commits[0])
			}
		}
	})
}

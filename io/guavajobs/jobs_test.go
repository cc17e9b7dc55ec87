package guavajobs_test

import (
	"context"
	"encoding/json"
	"fmt"
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

// table is a store that holds one job.
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

// codec writes pages as their numbers.
type codec struct{ guavajobs.Codec }

// Page implements guavajobs.Codec.
func (codec) Page(total int, results []guavaprogress.Result, next int) ([]byte, error) {
	return fmt.Appendf(nil, "%d %d %d", total, len(results), next), nil
}

// TestListingBehindJob guards against a job that is said to have no items because a listing that was read before its row was
// written is applied while its results are waited for.
func TestListingBehindJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value, err := json.Marshal(guavaprogress.Job{ID: "j", Account: "red", Total: 7})
		if err != nil {
			t.Fatal(err)
		}
		jobs := guavajobs.New(guavajobs.Dependencies{
			Table: table{row: guavaplatform.Row{Key: "jobs/0/j", Value: value, Revision: 20}}, Codec: codec{},
			Stale: func() bool { return false }, Confirmed: time.Now, Settle: time.Second, Logger: hclog.NewNullLogger(),
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

// TestAbsentOwner guards against a take-over of a job whose owner lives, by a VM that does not know the owner yet, and
// against one that is late.
func TestAbsentOwner(t *testing.T) {
	const before, now, after = 1000, 2000, 3000 // incarnations; the job's is now
	cases := []struct {
		name   string
		listed uint64 // the owner's incarnation in the list of VMs, 0 for none
		linked uint64 // that of the process at the other end of the link, 0 for none
		never  bool
		want   time.Duration // until the take-over begins
	}{
		{name: "linked, not listed yet", linked: now, never: true},
		{name: "linked, listed before its restart", linked: now, listed: before, never: true},
		{name: "linked, listed", linked: now, listed: now, never: true},
		{name: "neither listed nor linked", want: 2 * time.Second},
		{name: "listed, not linked", listed: now, want: 2 * time.Second},
		{name: "started again", listed: after, linked: after, want: 250 * time.Millisecond},
		{name: "started again, not listed yet", listed: now, linked: after, want: 250 * time.Millisecond},
		{name: "started again with its clock set back", listed: before, linked: before, want: 250 * time.Millisecond},
		{name: "started again with its clock set back, not linked", listed: before, want: 2 * time.Second},
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
						t.Errorf("taken over after %v, want %v (never: %t)", took, c.want, c.never)
					}
				default:
					if !c.never {
						t.Errorf("not taken over, want after %v", c.want)
					}
				}
			})
		})
	}
}

package guavaview_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaview"
)

// feed is a table of which each question gets the next answer. The last one is waited for until the end.
type feed struct {
	rows    []guavaplatform.Row
	at      uint64
	answers []answer
}

type answer struct {
	changes []guavaplatform.RowChange
	next    uint64
}

// Snapshot implements guavaplatform.Feed.
func (f *feed) Snapshot(context.Context, string, []string) ([]guavaplatform.Row, uint64, error) {
	return f.rows, f.at, nil
}

// Changes implements guavaplatform.Feed.
func (f *feed) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]guavaplatform.RowChange, uint64, error) {
	if len(f.answers) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	a := f.answers[0]
	f.answers = f.answers[1:]
	return a.changes, a.next, nil
}

const table, key = "jobs", "jobs/0/a"

func row(value string, revision uint64) guavaplatform.Row {
	return guavaplatform.Row{Key: key, Value: []byte(value), Revision: revision}
}

func write(value string, revision uint64) guavaplatform.RowChange {
	return guavaplatform.RowChange{Row: row(value, revision)}
}

func removal(revision uint64) guavaplatform.RowChange {
	return guavaplatform.RowChange{Row: guavaplatform.Row{Key: key, Revision: revision}, Removed: true}
}

// start runs a follower and returns it once it has loaded the table and taken in all answers, with what it published.
func start(t *testing.T, f *feed) (*guavaview.Follower, func() []guavaview.Delta) {
	t.Helper()
	var published []guavaview.Delta
	v := guavaview.New(f, table, []string{"0"}, time.Second, func([]guavaplatform.RowChange, bool) {}, hclog.NewNullLogger())
	v.Share(nil, func(d guavaview.Delta) { published = append(published, d) })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		v.Run(ctx)
		close(done)
	}()
	synctest.Wait()
	return v, func() []guavaview.Delta {
		time.Sleep(time.Second) // in which the feed tells what it has left
		stop()
		<-done
		return published
	}
}

// value returns the row of a copy.
func value(t *testing.T, v *guavaview.Follower) string {
	t.Helper()
	c, ok := v.Export(0)
	if !ok || len(c.Rows) == 0 {
		return ""
	}
	return string(c.Rows[0].Value)
}

// TestDeltas guards against a copy that differs from the reader's after deltas of one or two readers, in any order in which
// links can bring them. Every reader begins with the row "listed 1" of revision 5 at position 5.
func TestDeltas(t *testing.T) {
	first := []answer{{[]guavaplatform.RowChange{write("listed 2", 6)}, 6}, {[]guavaplatform.RowChange{write("listed 33", 8)}, 8}}
	merged := []answer{{[]guavaplatform.RowChange{write("listed 33", 8)}, 8}}
	twice := []answer{{[]guavaplatform.RowChange{write("listed 2", 6), write("listed 33", 8)}, 8}}
	gone := []answer{{[]guavaplatform.RowChange{write("listed 2", 6)}, 6}, {[]guavaplatform.RowChange{removal(7)}, 7}}
	again := []answer{{[]guavaplatform.RowChange{removal(7), write("listed 0", 9)}, 9}}
	type step struct {
		reader, delta int
		want          guavaview.DeltaResult
	}
	for _, c := range []struct {
		name    string
		readers [][]answer
		steps   []step
		want    string
	}{
		{"one reader", [][]answer{first}, []step{{0, 0, guavaview.Applied}, {0, 1, guavaview.Applied}}, "listed 33"},
		{"a lost delta", [][]answer{first}, []step{{0, 1, guavaview.Behind}}, "listed 1"},
		{"the same delta twice", [][]answer{first}, []step{{0, 0, guavaview.Applied}, {0, 0, guavaview.Applied}}, "listed 2"},
		{"a row twice in a delta", [][]answer{twice}, []step{{0, 0, guavaview.Applied}}, "listed 33"},
		{"two readers", [][]answer{first, twice}, []step{{1, 0, guavaview.Applied}, {0, 0, guavaview.Applied}}, "listed 33"},
		{
			"a second reader merged what the first told in part",
			[][]answer{first, merged},
			[]step{{0, 0, guavaview.Applied}, {1, 0, guavaview.Overlapping}, {0, 1, guavaview.Applied}},
			"listed 33",
		},
		{
			"a change before a removal comes after it",
			[][]answer{gone, gone},
			[]step{{0, 0, guavaview.Applied}, {0, 1, guavaview.Applied}, {1, 0, guavaview.Applied}},
			"",
		},
		{"a row that comes back", [][]answer{again}, []step{{0, 0, guavaview.Applied}}, "listed 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := func() *feed { return &feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 5} }
				told := make([][]guavaview.Delta, 0, len(c.readers))
				for _, answers := range c.readers {
					f := base()
					f.answers = answers
					_, end := start(t, f)
					told = append(told, end())
				}
				v, end := start(t, base())
				defer end()
				for i, s := range c.steps {
					if d := cmp.Diff(s.want, v.ApplyDelta(told[s.reader][s.delta])); d != "" {
						t.Errorf("step %d (-want +got):\n%s", i, d)
					}
				}
				if d := cmp.Diff(c.want, value(t, v)); d != "" {
					t.Errorf("row (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestBeacon guards against a copy that is taken for incomplete because the store counts changes to other tables, and against
// one that is taken for complete although a row was removed before the reader began.
func TestBeacon(t *testing.T) {
	for _, c := range []struct {
		name   string
		reader feed
		want   guavaview.DeltaResult
	}{
		{"nothing changed since", feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 5, answers: []answer{{nil, 9}, {nil, 12}}}, guavaview.Applied},
		{"a change", feed{at: 5, answers: []answer{{[]guavaplatform.RowChange{write("listed 2", 9)}, 12}}}, guavaview.Behind},
		{"a removal before the reader began", feed{at: 9}, guavaview.Behind},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, end := start(t, &c.reader)
				defer end()
				beacon, ok := reader.Heartbeat(time.Now())
				if !ok {
					t.Fatal("the reader shows nothing")
				}
				v, end := start(t, &feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 5})
				defer end()
				if d := cmp.Diff(c.want, v.ApplyDelta(beacon)); d != "" {
					t.Fatalf("beacon (-want +got):\n%s", d)
				}
				position, _ := v.Position()
				want := uint64(5)
				if c.want == guavaview.Applied {
					want = 12
				}
				if position != want {
					t.Errorf("position %d, want %d", position, want)
				}
			})
		})
	}
}

// TestCopyAfterListing guards against whole tables that travel to every VM when all have just listed them.
func TestCopyAfterListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, end := start(t, &feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 9})
		defer end()
		if c, ok := reader.Export(7); ok {
			t.Errorf("a VM that listed the same row at position 7 gets %+v", c)
		}
		if _, ok := reader.Export(4); !ok {
			t.Error("a VM without the row gets nothing")
		}
	})
}

// TestPauseAfterChanges guards against a call to the store, and a message to each subscriber, for every commit to a busy table.
func TestPauseAfterChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{at: 1}
		for i := range uint64(100) {
			f.answers = append(f.answers, answer{[]guavaplatform.RowChange{write("listed", 2+i)}, 2 + i})
		}
		_, end := start(t, f)
		if told := end(); len(told) < 10 || len(told) > 21 {
			t.Errorf("%d messages in a second, want one each 50 ms", len(told))
		}
	})
}

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

// feed is a table whose Changes returns one response per call. After the last one it blocks until its context ends.
type feed struct {
	rows      []guavaplatform.Row
	at        uint64
	responses []response
}

type response struct {
	changes []guavaplatform.RowChange
	next    uint64
}

// Snapshot implements guavaplatform.Feed.
func (f *feed) Snapshot(context.Context, string, []string) ([]guavaplatform.Row, uint64, error) {
	return f.rows, f.at, nil
}

// Changes implements guavaplatform.Feed.
func (f *feed) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]guavaplatform.RowChange, uint64, error) {
	if len(f.responses) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	r := f.responses[0]
	f.responses = f.responses[1:]
	return r.changes, r.next, nil
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

// start runs a follower and returns it once it has loaded the table. The returned function stops the follower after it
// has applied all responses, and returns the deltas that it published.
func start(t *testing.T, f *feed) (*guavaview.Follower, func() []guavaview.Delta) {
	t.Helper()
	var published []guavaview.Delta
	v := guavaview.New(f, table, []string{"0"}, time.Second, func([]guavaplatform.RowChange, bool) {}, hclog.NewNullLogger())
	v.SetReplication(nil, func(d guavaview.Delta) { published = append(published, d) })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		v.Run(ctx)
		close(done)
	}()
	synctest.Wait()
	return v, func() []guavaview.Delta {
		time.Sleep(time.Second) // until the feed has returned all responses
		stop()
		<-done
		return published
	}
}

// value returns the value of the row, empty if there is none.
func value(t *testing.T, v *guavaview.Follower) string {
	t.Helper()
	c, ok := v.Export(0)
	if !ok || len(c.Rows) == 0 {
		return ""
	}
	return string(c.Rows[0].Value)
}

// TestDeltas guards against a copy that differs from the reader's after deltas of one or two readers, in any order in
// which links can deliver them. Every reader begins with the row "listed 1" of revision 5 at position 5.
func TestDeltas(t *testing.T) {
	first := []response{{[]guavaplatform.RowChange{write("listed 2", 6)}, 6}, {[]guavaplatform.RowChange{write("listed 33", 8)}, 8}}
	merged := []response{{[]guavaplatform.RowChange{write("listed 33", 8)}, 8}}
	twice := []response{{[]guavaplatform.RowChange{write("listed 2", 6), write("listed 33", 8)}, 8}}
	removed := []response{{[]guavaplatform.RowChange{write("listed 2", 6)}, 6}, {[]guavaplatform.RowChange{removal(7)}, 7}}
	recreated := []response{{[]guavaplatform.RowChange{removal(7), write("listed 0", 9)}, 9}}
	type step struct {
		reader, delta int
		want          guavaview.DeltaResult
	}
	for _, c := range []struct {
		name    string
		readers [][]response
		steps   []step
		want    string
	}{
		{"one reader", [][]response{first}, []step{{0, 0, guavaview.Applied}, {0, 1, guavaview.Applied}}, "listed 33"},
		{"a delta was lost", [][]response{first}, []step{{0, 1, guavaview.Behind}}, "listed 1"},
		{"the same delta twice", [][]response{first}, []step{{0, 0, guavaview.Applied}, {0, 0, guavaview.Applied}}, "listed 2"},
		{"a row twice in a delta", [][]response{twice}, []step{{0, 0, guavaview.Applied}}, "listed 33"},
		{"two readers", [][]response{first, twice}, []step{{1, 0, guavaview.Applied}, {0, 0, guavaview.Applied}}, "listed 33"},
		{
			"a second reader merged changes of which the first sent a part",
			[][]response{first, merged},
			[]step{{0, 0, guavaview.Applied}, {1, 0, guavaview.Overlapping}, {0, 1, guavaview.Applied}},
			"listed 33",
		},
		{
			"a change is delivered after a later removal",
			[][]response{removed, removed},
			[]step{{0, 0, guavaview.Applied}, {0, 1, guavaview.Applied}, {1, 0, guavaview.Applied}},
			"",
		},
		{"a row is created again", [][]response{recreated}, []step{{0, 0, guavaview.Applied}}, "listed 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := func() *feed { return &feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 5} }
				published := make([][]guavaview.Delta, 0, len(c.readers))
				for _, responses := range c.readers {
					f := base()
					f.responses = responses
					_, end := start(t, f)
					published = append(published, end())
				}
				v, end := start(t, base())
				defer end()
				for i, s := range c.steps {
					if d := cmp.Diff(s.want, v.ApplyDelta(published[s.reader][s.delta])); d != "" {
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

// TestHeartbeat guards against a copy that counts as incomplete because changes to other tables advance the store's
// position, and against one that counts as complete although a row was removed before the reader's first snapshot.
func TestHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		reader feed
		want   guavaview.DeltaResult
	}{
		{"no change", feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 5, responses: []response{{nil, 9}, {nil, 12}}}, guavaview.Applied},
		{"a change", feed{at: 5, responses: []response{{[]guavaplatform.RowChange{write("listed 2", 9)}, 12}}}, guavaview.Behind},
		{"a removal before the first snapshot", feed{at: 9}, guavaview.Behind},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, end := start(t, &c.reader)
				defer end()
				heartbeat, ok := reader.Heartbeat(time.Now())
				if !ok {
					t.Fatal("got no heartbeat from the reader")
				}
				v, end := start(t, &feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 5})
				defer end()
				if d := cmp.Diff(c.want, v.ApplyDelta(heartbeat)); d != "" {
					t.Fatalf("result (-want +got):\n%s", d)
				}
				position, _ := v.Position()
				want := uint64(5)
				if c.want == guavaview.Applied {
					want = 12
				}
				if position != want {
					t.Errorf("got position %d, want %d", position, want)
				}
			})
		})
	}
}

// TestExportAfterSnapshot guards against complete tables being sent to every VM after all have just read them from the
// store.
func TestExportAfterSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, end := start(t, &feed{rows: []guavaplatform.Row{row("listed 1", 5)}, at: 9})
		defer end()
		if c, ok := reader.Export(7); ok {
			t.Errorf("got %+v for a VM that has read the same row at position 7, want nothing", c)
		}
		if _, ok := reader.Export(4); !ok {
			t.Error("got nothing for a VM without the row, want a snapshot")
		}
	})
}

// TestBatchDelay guards against a call to the store, and a message to each subscriber, for every commit to a busy
// table.
func TestBatchDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{at: 1}
		for i := range uint64(100) {
			f.responses = append(f.responses, response{[]guavaplatform.RowChange{write("listed", 2+i)}, 2 + i})
		}
		_, end := start(t, f)
		if deltas := end(); len(deltas) < 10 || len(deltas) > 21 {
			t.Errorf("got %d messages in 1 s, want one every 50 ms", len(deltas))
		}
	})
}

// truncatingFeed is a table without history. It counts its snapshots.
type truncatingFeed struct{ snapshots int }

// callDuration is the time that a call of the feed takes.
const callDuration = 2 * time.Millisecond

// Snapshot implements guavaplatform.Feed.
func (f *truncatingFeed) Snapshot(context.Context, string, []string) ([]guavaplatform.Row, uint64, error) {
	time.Sleep(callDuration)
	f.snapshots++
	return nil, uint64(f.snapshots), nil //nolint:gosec // small
}

// Changes implements guavaplatform.Feed.
func (*truncatingFeed) Changes(context.Context, string, uint64, time.Duration) ([]guavaplatform.RowChange, uint64, error) {
	time.Sleep(callDuration)
	return nil, 0, guavaplatform.ErrTruncated
}

// TestStoreWithoutHistory guards against a follower that reads the table again without a pause while the store keeps no
// history, and against one that no longer follows it.
func TestStoreWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f truncatingFeed
		follower := guavaview.New(&f, table, []string{""}, time.Second, func([]guavaplatform.RowChange, bool) {}, hclog.NewNullLogger())
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		follower.Run(ctx)
		if f.snapshots < 20 || f.snapshots > 40 {
			t.Errorf("got %d snapshots in 20 s, want 20 to 40", f.snapshots)
		}
	})
}

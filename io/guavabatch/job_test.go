package guavabatch_test

import (
	"testing"
	"time"
)

// TestJob guards against items that are lost or run twice without any fault.
func TestJob(t *testing.T) {
	run(t, time.Second, func(t *testing.T, f *fleet) {
		a := f.start("a", "e0", "e1")
		job := f.submit(a, "print", "night.jsonl", lines("x", 1000, chatPath, "m"), chatPath)
		before := f.platform.Counts()
		f.complete(a, f.wait(a, job.ID, 5*time.Minute), "x", 1000)
		for item, n := range f.servers.sent {
			if n != 1 {
				t.Errorf("item %s was sent %d times, want 1", item, n)
			}
		}
		after := f.platform.Counts()
		t.Logf("writes %d, object writes %d", after.Writes-before.Writes, after.ObjectWrites-before.ObjectWrites)
	})
}

// TestWrites guards against too many writes to the table for leases and intents: the limit is 20 rows per 1,000 items.
func TestWrites(t *testing.T) {
	tests := []struct {
		name, path, model, server string
		itemTime                  time.Duration
		items                     int
	}{
		{"completions", chatPath, "m", "e0", 4 * time.Second, 4000},
		{"non-idempotent route", "/v1/book", "", "b0", time.Second, 4000},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			run(t, x.itemTime, func(t *testing.T, f *fleet) {
				a := f.start("a", x.server)
				a.grants.set(a.grantOf(x.server, 64))
				job := f.submit(a, "print", "night.jsonl", lines("x", x.items, x.path, x.model), x.path)
				f.complete(a, f.wait(a, job.ID, time.Hour), "x", x.items)
				c := f.platform.Counts()
				writes, reads := float64(c.Writes)*1000/float64(x.items), float64(c.Reads)*1000/float64(x.items)
				t.Logf("per 1,000 items: %.1f writes, %.1f reads, %.1f objects written, %.1f read", writes, reads,
					float64(c.ObjectWrites)*1000/float64(x.items), float64(c.ObjectReads)*1000/float64(x.items))
				if writes >= 20 {
					t.Errorf("got %.1f writes per 1,000 items, want fewer than 20", writes)
				}
			})
		})
	}
}

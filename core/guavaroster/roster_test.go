package guavaroster_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaroster"
	"guavaridge/core/guavatraffic"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func names(r *guavaroster.Roster) []string {
	return slices.Sorted(maps.Keys(r.ByID()))
}

// TestRemovals guards against servers that stay in the list after their entry was removed while the store was
// available, and against servers that are removed because they could not renew their entry during an outage of the
// store.
func TestRemovals(t *testing.T) {
	cases := []struct {
		name    string
		failure time.Duration // when the store last failed, 0 for never
		removed time.Duration
		leaving bool
		checked time.Duration
		want    []string
	}{
		{"store available", 0, 10 * time.Second, false, 10 * time.Second, []string{"b"}},
		{"just after an outage", 9 * time.Second, 10 * time.Second, false, 10 * time.Second, []string{"a", "b"}},
		{"not renewed after an outage", 9 * time.Second, 10 * time.Second, false, 12 * time.Second, []string{"b"}},
		{"had announced that it is leaving", 9 * time.Second, 10 * time.Second, true, 10 * time.Second, []string{"b"}},
		{"long after an outage", 2 * time.Second, 10 * time.Second, false, 10 * time.Second, []string{"b"}},
	}
	for _, c := range cases {
		r := guavaroster.New()
		r.Put(guavatraffic.Server{ID: "a", Leaving: c.leaving})
		r.Put(guavatraffic.Server{ID: "b"})
		if c.failure > 0 {
			r.RecordStoreFailure(epoch.Add(c.failure))
		}
		r.Remove(epoch.Add(c.removed), "a")
		r.Expire(epoch.Add(c.checked))
		if diff := cmp.Diff(c.want, names(r)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestReturn guards against a server that is removed although it renews its entry after an outage.
func TestReturn(t *testing.T) {
	r := guavaroster.New()
	r.Put(guavatraffic.Server{ID: "a"})
	r.RecordStoreFailure(epoch)
	r.Replace(epoch.Add(time.Second), nil)
	r.Put(guavatraffic.Server{ID: "a"})
	if r.Expire(epoch.Add(time.Minute)); len(names(r)) != 1 {
		t.Error("the server is gone, want it listed")
	}
}

// TestRenewals guards against VMs that process all servers again because of unchanged entries.
func TestRenewals(t *testing.T) {
	r := guavaroster.New()
	s := guavatraffic.Server{ID: "a", Slots: 8, Born: 1}
	if !r.Put(s) || r.Put(s) || r.Replace(epoch, []guavatraffic.Server{s}) {
		t.Error("an unchanged entry changes the list, or a new one does not")
	}
	s.Leaving = true
	if !r.Put(s) || !r.Replace(epoch, nil) || r.Remove(epoch, "a") {
		t.Error("a leaving server or a removal does not change the list, or a second removal does")
	}
}

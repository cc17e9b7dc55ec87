package guavaroster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaroster"
	"guavaridge/core/guavatraffic"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func names(r *guavaroster.Roster) []string {
	servers := r.List().Servers()
	list := make([]string, 0, len(servers))
	for _, s := range servers {
		list = append(list, s.ID)
	}
	slices.Sort(list)
	return list
}

// TestRemovals guards against servers that stay in the list after their entry was removed while the store was
// available, or too long after an outage, and against servers that are removed because they could not renew their entry during an
// outage of the store.
func TestRemovals(t *testing.T) {
	type outage struct{ failed, returned, away time.Duration }
	const s = time.Second
	cases := []struct {
		name    string
		outages []outage // failed is 0 if this VM saw no failure, returned if the store has not returned
		removed time.Duration
		leaving bool
		checked time.Duration
		want    []string
	}{
		{"store available", nil, 10 * s, false, 10 * s, []string{"b"}},
		{"during an outage", []outage{{failed: 9 * s}}, 10 * s, false, 10 * s, []string{"a", "b"}},
		{"during an outage, not renewed", []outage{{failed: 9 * s}}, 10 * s, false, 12 * s, []string{"b"}},
		{"during an outage, had announced that it is leaving", []outage{{failed: 9 * s}}, 10 * s, true, 10 * s, []string{"b"}},
		{"just after an outage", []outage{{5 * s, 9500 * time.Millisecond, 6 * s}}, 10 * s, false, 10 * s, []string{"a", "b"}},
		{"just after an outage, in time to renew", []outage{{5 * s, 9500 * time.Millisecond, 6 * s}}, 10 * s, false, 11700 * time.Millisecond, []string{"a", "b"}},
		{"just after an outage, not renewed", []outage{{5 * s, 9500 * time.Millisecond, 6 * s}}, 10 * s, false, 11800 * time.Millisecond, []string{"b"}},
		{"just after an outage, had announced that it is leaving", []outage{{5 * s, 9500 * time.Millisecond, 6 * s}}, 10 * s, true, 10 * s, []string{"b"}},
		{"when servers have renewed", []outage{{5 * s, 9500 * time.Millisecond, 6 * s}}, 11800 * time.Millisecond, false, 11800 * time.Millisecond, []string{"b"}},
		{"3 s after a long outage", []outage{{5 * s, 100 * s, 96 * s}}, 103 * s, false, 103 * s, []string{"b"}},
		{"long after an outage", []outage{{2 * s, 3 * s, 5 * s}}, 10 * s, false, 10 * s, []string{"b"}},
		{"after a silent connection", []outage{{9 * s, 9300 * time.Millisecond, 1700 * time.Millisecond}}, 9400 * time.Millisecond, false, 9400 * time.Millisecond, []string{"b"}},
		{"between two outages", []outage{{2 * s, 7 * s, 6 * s}, {failed: 8 * s}}, 7500 * time.Millisecond, false, 20 * s, []string{"a", "b"}},
		{"after two outages", []outage{{2 * s, 7 * s, 6 * s}, {8 * s, 12 * s, 5 * s}}, 12500 * time.Millisecond, false, 14 * s, []string{"a", "b"}},
		{"after two outages, not renewed", []outage{{2 * s, 7 * s, 6 * s}, {8 * s, 12 * s, 5 * s}}, 12500 * time.Millisecond, false, 14300 * time.Millisecond, []string{"b"}},
		{"after a response without a failure here", []outage{{returned: 9500 * time.Millisecond, away: 3 * s}}, 9600 * time.Millisecond, false, 11700 * time.Millisecond, []string{"a", "b"}},
		{"after a usual pause between responses", []outage{{returned: 9500 * time.Millisecond, away: 1800 * time.Millisecond}}, 9600 * time.Millisecond, false, 9600 * time.Millisecond, []string{"b"}},
		{"interrupted for a second", []outage{{2 * s, 7 * s, 6 * s}, {8 * s, 9 * s, s}}, 9 * s, false, 10 * s, []string{"a", "b"}},
		{"interrupted for a second, not renewed", []outage{{2 * s, 7 * s, 6 * s}, {8 * s, 9 * s, s}}, 9 * s, false, 10300 * time.Millisecond, []string{"b"}},
	}
	for _, c := range cases {
		r := guavaroster.New()
		r.Put(guavatraffic.Server{ID: "a", Leaving: c.leaving})
		r.Put(guavatraffic.Server{ID: "b"})
		removed := false
		remove := func(now time.Duration) {
			if !removed && c.removed <= now {
				r.Remove(epoch.Add(c.removed), "a")
				removed = true
			}
		}
		for _, o := range c.outages {
			if o.failed > 0 {
				remove(o.failed - 1)
				r.RecordStoreFailure(epoch.Add(o.failed))
			}
			if o.returned > 0 {
				remove(o.returned - 1)
				r.RecordStoreResponse(epoch.Add(o.returned), o.away)
			}
		}
		remove(c.checked)
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

// leaving returns the IDs of the listed servers that are leaving.
func leaving(r *guavaroster.Roster) []string {
	var list []string
	for _, s := range r.List().Servers() {
		if s.Leaving {
			list = append(list, s.ID)
		}
	}
	slices.Sort(list)
	return list
}

// TestNotice guards against a server that is used again although it said that it is leaving, because its entry changes,
// lapses or returns, and against a server that is not used after a restart because of its previous process.
func TestNotice(t *testing.T) {
	first := guavatraffic.Server{ID: "a", Service: "m", Address: "10.0.0.1:80", Born: 1}
	restarted, moved, warm := first, first, first
	restarted.Born, moved.Address, warm.Cold = 2, "10.0.0.2:80", time.Second
	other := guavatraffic.Server{ID: "b", Service: "m", Address: "10.0.0.3:80", Born: 1}
	lapse := func(r *guavaroster.Roster, now time.Time) {
		r.RecordStoreFailure(now)
		r.Replace(now, []guavatraffic.Server{other})
		r.Expire(now.Add(time.Minute))
	}
	cases := []struct {
		name   string
		notice guavatraffic.Incarnation
		change func(r *guavaroster.Roster)
		want   []string
	}{
		{"no change", first.Incarnation(), func(*guavaroster.Roster) {}, []string{"a"}},
		{"entry changed", first.Incarnation(), func(r *guavaroster.Roster) { r.Put(warm) }, []string{"a"}},
		{"entry lapsed", first.Incarnation(), func(r *guavaroster.Roster) { lapse(r, epoch) }, nil},
		{"entry lapsed and back", first.Incarnation(), func(r *guavaroster.Roster) {
			lapse(r, epoch)
			r.Put(first)
		}, []string{"a"}},
		{"restarted", first.Incarnation(), func(r *guavaroster.Roster) { r.Put(restarted) }, nil},
		{"restarted at another address", first.Incarnation(), func(r *guavaroster.Roster) { r.Put(moved) }, nil},
		{"notice before the entry", restarted.Incarnation(), func(r *guavaroster.Roster) { r.Put(restarted) }, []string{"a"}},
		{"late notice of the previous process", restarted.Incarnation(), func(r *guavaroster.Roster) {
			r.Put(moved)
			r.RecordNotice(first.Incarnation())
		}, nil},
		{"start time unknown", guavatraffic.Incarnation{ID: "a", Address: first.Address}, func(r *guavaroster.Roster) { r.Put(warm) }, []string{"a"}},
		{"start time unknown, another address", guavatraffic.Incarnation{ID: "a", Address: moved.Address}, func(*guavaroster.Roster) {}, nil},
		{"unknown server", guavatraffic.Incarnation{ID: "c", Born: 1}, func(*guavaroster.Roster) {}, nil},
	}
	for _, c := range cases {
		r := guavaroster.New()
		r.Put(first)
		r.Put(other)
		r.RecordNotice(c.notice)
		c.change(r)
		if diff := cmp.Diff(c.want, leaving(r)); diff != "" {
			t.Errorf("%s: leaving servers (-want +got):\n%s", c.name, diff)
		}
		if r.RecordNotice(c.notice) && c.notice.Born != 0 {
			t.Errorf("%s: the second notice counts as new", c.name)
		}
	}
}

// TestStatus guards against requests that are sent to a server that is leaving, of another service or not in the list,
// and against a notice that is ignored because the coordinator knew of a restart earlier than this VM.
func TestStatus(t *testing.T) {
	server := guavatraffic.Server{ID: "a", Service: "m", Address: "10.0.0.1:80", Born: 1}
	restarted, drained := server, server
	restarted.Born, drained.Leaving = 2, true
	cases := []struct {
		name    string
		entry   guavatraffic.Server
		notice  guavatraffic.Incarnation
		service string
		server  guavatraffic.Incarnation
		want    guavaroster.Status
	}{
		{"usable", server, guavatraffic.Incarnation{}, "m", server.Incarnation(), guavaroster.Usable},
		{"start time unknown", server, guavatraffic.Incarnation{}, "m", guavatraffic.Incarnation{ID: "a", Address: server.Address}, guavaroster.Usable},
		{"other service", server, guavatraffic.Incarnation{}, "n", server.Incarnation(), guavaroster.Unknown},
		{"not listed", server, guavatraffic.Incarnation{}, "m", guavatraffic.Incarnation{ID: "b", Born: 1}, guavaroster.Unknown},
		{"leaving by its entry", drained, guavatraffic.Incarnation{}, "m", server.Incarnation(), guavaroster.Leaving},
		{"notice", server, server.Incarnation(), "m", server.Incarnation(), guavaroster.Leaving},
		{"notice, start time unknown", server, server.Incarnation(), "m", guavatraffic.Incarnation{ID: "a", Address: server.Address}, guavaroster.Leaving},
		{"notice of a restarted server before its entry", server, restarted.Incarnation(), "m", restarted.Incarnation(), guavaroster.Leaving},
		{"restarted since the notice", restarted, server.Incarnation(), "m", restarted.Incarnation(), guavaroster.Usable},
	}
	for _, c := range cases {
		r := guavaroster.New()
		r.Put(c.entry)
		r.RecordNotice(c.notice)
		if got := r.List().Status(c.service, c.server); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestNoticesAreBounded guards against notices of servers that are gone that use up memory, and against the loss of the
// notice of a server that is still listed.
func TestNoticesAreBounded(t *testing.T) {
	r := guavaroster.New()
	listed := guavatraffic.Server{ID: "listed", Service: "m", Born: 1}
	r.Put(listed)
	r.RecordNotice(listed.Incarnation())
	const gone = 5000
	incarnation := func(n int) guavatraffic.Incarnation {
		return guavatraffic.Incarnation{ID: "a", Born: int64(n + 1)}
	}
	for n := range gone {
		r.RecordNotice(incarnation(n))
	}
	kept := 0
	for n := range gone {
		if r.List().HasNotice(incarnation(n)) {
			kept++
		}
	}
	if kept < 100 || kept > 1000 || !r.List().HasNotice(incarnation(gone-1)) {
		t.Errorf("%d notices of servers that are gone are kept, want the newest 100 to 1000", kept)
	}
	if got := r.List().Notices("m"); len(got) != 1 || got[0] != listed.Incarnation() {
		t.Errorf("notices of listed servers: got %v, want that of %v", got, listed.Incarnation())
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

// TestEvacuation guards against servers of an evacuated domain that count as usable, also those whose entries arrive later, and
// against servers that count as warm when their domain is taken back.
func TestEvacuation(t *testing.T) {
	const coldTime = 3 * time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := guavaroster.New()
	s := guavatraffic.Server{ID: "s", Service: "m", Address: "10.0.0.1:80", Domain: "b", Born: 1}
	r.Put(s)
	cold := func(string) time.Duration { return coldTime }
	status := func(s guavatraffic.Server) guavaroster.Status { return r.List().Status("m", s.Incarnation()) }
	if got := status(s); got != guavaroster.Usable {
		t.Errorf("before the evacuation: got status %v, want usable", got)
	}
	if !r.SetEvacuated(now, []string{"b"}, cold) || r.SetEvacuated(now, []string{"b"}, cold) {
		t.Error("got another number of changes than one")
	}
	late := guavatraffic.Server{ID: "late", Service: "m", Address: "10.0.0.2:80", Domain: "b", Born: 1}
	r.Put(late)
	if a, b := status(s), status(late); a != guavaroster.Leaving || b != guavaroster.Leaving {
		t.Errorf("evacuated: got status %v and %v, want leaving", a, b)
	}
	r.SetEvacuated(now, nil, cold)
	r.Put(s) // the same entry again
	if got := status(s); got != guavaroster.Usable {
		t.Errorf("taken back: got status %v, want usable", got)
	}
	if e, _ := r.Entry("s"); !e.ColdUntil.Equal(now.Add(coldTime)) {
		t.Errorf("taken back: cold until %v, want for %v", e.ColdUntil, coldTime)
	}
}

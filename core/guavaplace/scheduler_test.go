package guavaplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
)

// epoch is an arbitrary start of time for tests without a clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// servers returns n servers of the service with a number of places each, alternating between two failure domains.
func servers(n, slots int) []guavatraffic.Server {
	list := make([]guavatraffic.Server, 0, n)
	for i := range n {
		list = append(list, guavatraffic.Server{
			ID: fmt.Sprintf("s%d", i), Service: "m", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots,
			Domain: string(rune('a' + i%2)), Born: 1,
		})
	}
	return list
}

func newScheduler(n, slots int) *guavaplace.Scheduler {
	s := guavaplace.New()
	s.SetServers(epoch, servers(n, slots), guavatraffic.Service{Name: "m"})
	return s
}

func online(n uint64) guavaplace.Request {
	return guavaplace.Request{
		Key: guavaplace.Key{VM: "v", Number: n}, Class: guavaplace.Online, Domain: "a",
		Start: 300 * time.Millisecond, Patience: 1500 * time.Millisecond,
	}
}

func batch(n uint64, due time.Duration) guavaplace.Request {
	return guavaplace.Request{
		Key: guavaplace.Key{VM: "v", Number: n}, Class: guavaplace.Batch, Priority: 2, Domain: "a", Due: due, Work: 1500,
	}
}

// actions returns what was decided, as "number action".
func actions(decisions []guavaplace.Decision) []string {
	list := make([]string, 0, len(decisions))
	for _, d := range decisions {
		list = append(list, fmt.Sprintf("%d %s", d.Key.Number, d.Action))
	}
	return list
}

func want(t *testing.T, what string, got []guavaplace.Decision, wanted ...string) {
	t.Helper()
	if diff := cmp.Diff(wanted, actions(got)); diff != "" && len(wanted)+len(got) > 0 {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// TestOnlineTakesPlaceOfBatch guards against online requests that wait behind batch items.
func TestOnlineTakesPlaceOfBatch(t *testing.T) {
	s := newScheduler(1, 2)
	want(t, "first item", s.Submit(epoch, batch(1, 18*time.Second)), "1 run")
	want(t, "second item", s.Submit(epoch, batch(2, 20*time.Second)), "2 run")
	want(t, "online request", s.Submit(at(time.Millisecond), online(3)), "2 yield", "3 run")
	want(t, "next online request", s.Submit(at(2*time.Millisecond), online(4)), "1 yield", "4 run")
	want(t, "one too many", s.Submit(at(3*time.Millisecond), online(5)), "5 refuse")
}

// TestNearlyDoneItemKeepsItsPlace guards against the loss of a run that would have ended in time.
func TestNearlyDoneItemKeepsItsPlace(t *testing.T) {
	s := newScheduler(1, 1)
	r := batch(1, 2*time.Second)
	r.Made, r.Work = 1400, 100
	want(t, "item", s.Submit(epoch, r), "1 run")
	got := s.Submit(at(time.Millisecond), online(2))
	for _, d := range got {
		if d.Action == guavaplace.Yield {
			t.Error("an item that is nearly done and has little time gave its place")
		}
	}
}

// TestBatchStartsWithoutFurtherEvents guards against items that wait forever for a place that became free when a
// suspension ran out: after the last online request nothing else would look.
func TestBatchStartsWithoutFurtherEvents(t *testing.T) {
	s := newScheduler(1, 1)
	want(t, "item", s.Submit(epoch, batch(1, 18*time.Second)), "1 run")
	s.Release(at(time.Millisecond), guavaplace.Report{Key: guavaplace.Key{VM: "v", Number: 1}, Outcome: guavaplace.ConnectionLost})
	want(t, "item again", s.Submit(at(2*time.Millisecond), batch(2, 18*time.Second)), "2 wait")
	if s.Pause() == 0 {
		t.Fatal("an item waits, and nobody is told to look again")
	}
	want(t, "after the suspension", s.Tick(at(time.Second)), "2 run")
	if p := s.Pause(); p != 0 {
		t.Errorf("nothing waits, but Tick is wanted after %v", p)
	}
}

// TestItemsBeginByTurns guards against the items of all jobs that are sent to engines at once, after a start of all VMs, so
// that an online request waits until the engine has read the prompts of all of them.
func TestItemsBeginByTurns(t *testing.T) {
	s := newScheduler(1, 8)
	want(t, "first", s.Submit(epoch, batch(1, 18*time.Second)), "1 run")
	want(t, "second", s.Submit(epoch, batch(2, 18*time.Second)), "2 run")
	want(t, "third", s.Submit(epoch, batch(3, 18*time.Second)), "3 wait")
	want(t, "online", s.Submit(epoch, online(4)), "4 run")
	want(t, "no item has begun", s.Tick(at(30*time.Millisecond)))
	s.Started(at(40*time.Millisecond), guavaplace.Key{VM: "v", Number: 1}, nil)
	want(t, "the first has begun", s.Tick(at(50*time.Millisecond)), "3 run")
}

// TestRefusalComesEarly guards against callers that are kept waiting although they cannot be served in time, and against
// all of them coming back at the same moment.
func TestRefusalComesEarly(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range uint64(4) {
		want(t, "filling", s.Submit(epoch, online(n)), fmt.Sprintf("%d run", n))
	}
	seen := map[time.Duration]bool{}
	for n := uint64(10); n < 20; n++ {
		got := s.Submit(at(time.Millisecond), online(n))
		want(t, "overload", got, fmt.Sprintf("%d refuse", n))
		if after := got[0].After; after <= 0 || seen[after] {
			t.Errorf("request %d is told to come back after %v, like another", n, after)
		}
		seen[got[0].After] = true
	}
}

// TestNewcomerGoesFirst guards against newcomers that wait behind callers which come back, until they cannot be on time and
// come back themselves; what is left goes to those that have come back.
func TestNewcomerGoesFirst(t *testing.T) {
	s := newScheduler(1, 1)
	first := online(1)
	want(t, "filling", s.Submit(epoch, first), "1 run")
	returning, newcomer := online(2), online(3)
	newcomer.Start, returning.Start = 2*time.Second, time.Second
	returning.Returning = true
	want(t, "returning", s.Submit(at(300*time.Millisecond), returning), "2 wait")
	want(t, "newcomer", s.Submit(at(310*time.Millisecond), newcomer), "3 wait")
	got := s.Release(at(400*time.Millisecond), guavaplace.Report{Key: first.Key, Outcome: guavaplace.Done})
	want(t, "place", got, "3 run")
	got = s.Release(at(500*time.Millisecond), guavaplace.Report{Key: newcomer.Key, Outcome: guavaplace.Done})
	want(t, "next place", got, "2 run")
}

// TestLeavingServerGetsNothing guards against requests to servers that drain.
func TestLeavingServerGetsNothing(t *testing.T) {
	s := newScheduler(2, 1)
	list := servers(2, 1)
	list[0].Leaving = true
	s.SetServers(epoch, list, guavatraffic.Service{})
	got := s.Submit(epoch, online(1))
	want(t, "request", got, "1 run")
	if got[0].Server != "s1" {
		t.Errorf("sent to %s, which leaves", got[0].Server)
	}
	want(t, "second request", s.Submit(epoch, online(2)), "2 refuse")
}

// TestFailedServerIsTriedByOne guards against many requests that go to a server which does not answer, and against a server
// that is never tried again.
func TestFailedServerIsTriedByOne(t *testing.T) {
	s := newScheduler(1, 8)
	s.Submit(epoch, online(1))
	s.Release(at(time.Millisecond), guavaplace.Report{Key: online(1).Key, Outcome: guavaplace.TimedOut})
	want(t, "during the suspension", s.Submit(at(2*time.Millisecond), online(2)), "2 refuse")
	want(t, "trial", s.Submit(at(time.Second), online(3)), "3 run")
	want(t, "beside the trial", s.Submit(at(time.Second), online(4)), "4 refuse")
	s.Release(at(1100*time.Millisecond), guavaplace.Report{Key: online(3).Key, Outcome: guavaplace.Done})
	want(t, "after the trial", s.Submit(at(1200*time.Millisecond), online(5)), "5 run")
	want(t, "and more", s.Submit(at(1200*time.Millisecond), online(6)), "6 run")
}

// TestCutOffDomain guards against requests that find out one by one that the servers of another failure domain cannot be
// reached, and against a domain that is not used again once it can.
func TestCutOffDomain(t *testing.T) {
	s := newScheduler(8, 4) // four servers in each of the domains a and b
	now := epoch
	failed := 0
	for n := range uint64(40) {
		now = now.Add(5 * time.Millisecond)
		r := online(n)
		if n%8 != 0 {
			r.Domain = "b" // fills the servers of b first
		}
		got := s.Submit(now, r)
		if got[0].Action != guavaplace.Run {
			continue
		}
		outcome := guavaplace.Done
		if far := got[0].Server == "s1" || got[0].Server == "s3" || got[0].Server == "s5" || got[0].Server == "s7"; far && r.Domain == "a" {
			outcome = guavaplace.Unreachable
			failed++
		}
		if outcome == guavaplace.Unreachable || n%3 == 0 {
			s.Release(now.Add(time.Millisecond), guavaplace.Report{Key: r.Key, Outcome: outcome})
		}
	}
	if failed > 2 {
		t.Errorf("%d requests of domain a went to servers of b, which it cannot reach", failed)
	}
	s.RemoveVM(now, "v")
	for n := range uint64(20) {
		s.Submit(now.Add(5*time.Second), online(100+n))
	}
	held := s.Stats().Online
	if held < 20 {
		t.Errorf("%d of 20 requests run although all servers can be tried again", held)
	}
}

// TestTrialThatYields guards against a path that stays closed because the request that tried it gave its place away.
func TestTrialThatYields(t *testing.T) {
	s := guavaplace.New()
	list := servers(4, 1)
	list = []guavatraffic.Server{list[1], list[3]} // both in domain b
	s.SetServers(epoch, list, guavatraffic.Service{})
	for n := range uint64(2) {
		s.Submit(epoch, online(n))
	}
	for n := range uint64(2) {
		s.Release(at(time.Millisecond), guavaplace.Report{Key: online(n).Key, Outcome: guavaplace.Unreachable})
	}
	want(t, "trial", s.Submit(at(time.Second), batch(5, 18*time.Second)), "5 run")
	want(t, "yields", s.Submit(at(1001*time.Millisecond), online(6)), "6 refuse")
	s.Withdraw(at(1002*time.Millisecond), batch(5, 0).Key)
	want(t, "next trial", s.Submit(at(1100*time.Millisecond), online(7)), "7 run")
}

// TestForeignLoadCounts guards against a scheduler that fills places which others have taken.
func TestForeignLoadCounts(t *testing.T) {
	s := newScheduler(1, 2)
	want(t, "request", s.Submit(epoch, online(1)), "1 run")
	s.Started(at(time.Millisecond), online(1).Key, &guavaplace.Load{Running: 2, Slots: 2})
	want(t, "full with others", s.Submit(at(2*time.Millisecond), online(2)), "2 refuse")
	want(t, "word out of date", s.Submit(at(2*time.Second), online(3)), "3 run")
}

// TestForgetFreesPlaces guards against places that stay taken after the VM that had them is gone.
func TestForgetFreesPlaces(t *testing.T) {
	s := newScheduler(1, 1)
	s.Submit(epoch, online(1))
	other := batch(2, 18*time.Second)
	other.Key.VM = "w"
	want(t, "item of another VM", s.Submit(epoch, other), "2 wait")
	want(t, "VM gone", s.RemoveVM(at(2*time.Second), "v"), "2 run")
}

// TestRestoredRunsTakePlaces guards against a new coordinator that fills places which requests of before still have.
func TestRestoredRunsTakePlaces(t *testing.T) {
	s := newScheduler(1, 1)
	s.Restore(epoch, guavaplace.ActiveRun{Request: online(1), Server: "s0", Age: 100 * time.Millisecond})
	want(t, "request", s.Submit(at(time.Millisecond), online(2)), "2 refuse")
	s.Release(at(2*time.Millisecond), guavaplace.Report{Key: online(1).Key, Outcome: guavaplace.Done})
	want(t, "after the release", s.Submit(at(3*time.Millisecond), online(3)), "3 run")
}

// TestReturns guards against new callers that are taken for returning ones after the time limit of a route was changed.
func TestReturns(t *testing.T) {
	var r guavaplace.RetryDetector
	for range 20 {
		if r.Observe(5 * time.Second) {
			t.Fatal("a new caller counts as returning")
		}
	}
	if !r.Observe(4 * time.Second) {
		t.Error("a caller with less time than usual does not count as returning")
	}
	for range 200 {
		r.Observe(3 * time.Second)
	}
	if r.Observe(3 * time.Second) {
		t.Error("after a change of the limit, new callers count as returning")
	}
}

// TestMostServersFail guards against a service that refuses nearly everything because most of its servers fail most runs: no
// more of them are held to one request at a time than the rest can stand in for.
func TestMostServersFail(t *testing.T) {
	cases := []struct{ failing, places int }{{0, 16}, {1, 13}, {2, 10}, {3, 10}, {4, 10}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d of 4", c.failing), func(t *testing.T) {
			s := newScheduler(4, 4)
			number := uint64(0)
			// Each server that fails gets enough runs to be known for it.
			for i := range c.failing {
				for range 8 {
					number++
					r := online(number)
					for j := range 4 {
						if j != i {
							r.Avoid = append(r.Avoid, fmt.Sprintf("s%d", j))
						}
					}
					want(t, "run", s.Submit(epoch, r), fmt.Sprintf("%d run", number))
					s.Release(epoch, guavaplace.Report{Key: r.Key, Outcome: guavaplace.Failed})
				}
			}
			filled := 0
			for range 16 {
				number++
				item := batch(number, 18*time.Second)
				if actions(s.Submit(epoch, item))[0] == fmt.Sprintf("%d run", number) {
					s.Started(epoch, item.Key, nil) // items begin by turns
					filled++
				}
			}
			if filled != c.places {
				t.Errorf("%d items run, want %d", filled, c.places)
			}
			served := 0
			for range 10 {
				number++
				for _, d := range s.Submit(epoch, online(number)) {
					if d.Action == guavaplace.Run {
						served++
					}
				}
			}
			if served < 8 {
				t.Errorf("%d of 10 online requests run beside batch items, want 8", served)
			}
		})
	}
}

// TestCrashIsOneFailure guards against a server that is held to one request at a time after it comes back, because all the
// runs that its end cut off counted against it.
func TestCrashIsOneFailure(t *testing.T) {
	s := newScheduler(4, 8)
	runs := map[string][]guavaplace.Key{}
	for n := range uint64(32) {
		got := s.Submit(epoch, online(n))
		runs[got[0].Server] = append(runs[got[0].Server], got[0].Key)
	}
	for _, k := range runs["s0"] {
		s.Release(at(100*time.Millisecond), guavaplace.Report{Key: k, Outcome: guavaplace.ConnectionLost})
	}
	for n := uint64(100); n < 108; n++ {
		s.Submit(at(10*time.Second), batch(n, 18*time.Second))
		s.Started(at(10*time.Second), guavaplace.Key{VM: "v", Number: n}, nil) // items begin by turns
		if n == 100 {
			s.Release(at(11*time.Second), guavaplace.Report{Key: guavaplace.Key{VM: "v", Number: n}, Outcome: guavaplace.Done})
		}
	}
	got := s.Submit(at(12*time.Second), batch(108, 18*time.Second))
	want(t, "the eighth request on the server", got, "108 run")
}

// TestSmallRequestPassesLargeOne guards against requests that are passed over because one that needs more memory found no
// place.
func TestSmallRequestPassesLargeOne(t *testing.T) {
	s := guavaplace.New()
	s.SetServers(epoch, servers(1, 3), guavatraffic.Service{Name: "m", Memory: 1000})
	first, large, small := online(1), online(2), online(3)
	first.Tokens, large.Tokens, small.Tokens = 500, 900, 300
	large.Start, small.Start = time.Second, 2*time.Second
	want(t, "first", s.Submit(epoch, first), "1 run")
	want(t, "large", s.Submit(epoch, large), "2 wait")
	want(t, "small", s.Submit(epoch, small), "3 wait")
	want(t, "later", s.Tick(at(10*time.Millisecond)), "3 run")
}

// TestSilentServerIsNoLastResort guards against requests that are sent to servers which break off or are silent because the
// others are full: such a try takes the time in which another place may become free. VMs of another failure domain, which have
// not been there themselves, learn of it from the share of failures only.
func TestSilentServerIsNoLastResort(t *testing.T) {
	for _, c := range []struct {
		outcome guavaplace.Outcome
		want    string
	}{{guavaplace.Failed, "run"}, {guavaplace.TimedOut, "refuse"}} {
		s := newScheduler(3, 2)
		now, number := time.Duration(0), uint64(0)
		submit := func(domain string, avoid ...string) []guavaplace.Decision {
			number++
			r := online(number)
			r.Domain, r.Avoid = domain, avoid
			return s.Submit(at(now), r)
		}
		for range 8 {
			now += 3 * time.Second
			d := submit("a", "s1", "s2")[0]
			s.Release(at(now), guavaplace.Report{Key: d.Key, Outcome: c.outcome})
		}
		now += 3 * time.Second
		for range 5 { // one on s0, which is limited, four on the others
			if d := submit("b")[0]; d.Action != guavaplace.Run {
				t.Fatalf("filling: %s", d.Action)
			}
		}
		if d := submit("b")[0]; string(d.Action) != c.want {
			t.Errorf("after runs that ended %s: %s, want %s", c.outcome, d.Action, c.want)
		}
	}
}

// TestFullerThanPlaces guards against engines that queue what two VMs have sent while both decided, so that online requests
// wait there behind batch items.
func TestFullerThanPlaces(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range uint64(6) {
		r := batch(n, 18*time.Second)
		r.Work = 1000 + 100*float64(n)
		s.Restore(epoch, guavaplace.ActiveRun{Request: r, Server: "s0"})
	}
	r := online(6)
	s.Restore(epoch, guavaplace.ActiveRun{Request: r, Server: "s0"})
	want(t, "after the take-over", s.Tick(epoch), "5 yield", "4 yield", "3 yield")
	want(t, "online request", s.Submit(at(time.Millisecond), online(7)), "2 yield", "7 run")
}

package guavaplace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

// epoch is the arbitrary start of time in these tests, which use no clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// servers returns n servers of a service with a number of slots each, alternating between failure domains a and b.
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
	s := guavaplace.New(guavapoison.NewCrashTracker())
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

// actions returns the decisions in the form "number action".
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

// TestOnlinePreemptsBatch guards against online requests that wait behind batch items.
func TestOnlinePreemptsBatch(t *testing.T) {
	s := newScheduler(1, 2)
	want(t, "first item", s.Submit(epoch, batch(1, 18*time.Second)), "1 run")
	want(t, "second item", s.Submit(epoch, batch(2, 20*time.Second)), "2 run")
	want(t, "online request", s.Submit(at(time.Millisecond), online(3)), "2 yield", "3 run")
	want(t, "next online request", s.Submit(at(2*time.Millisecond), online(4)), "1 yield", "4 run")
	want(t, "no batch item left", s.Submit(at(3*time.Millisecond), online(5)), "5 refuse")
}

// TestNearlyDoneItemIsNotPreempted guards against preempting an item that would have met its deadline and has little
// left to do.
func TestNearlyDoneItemIsNotPreempted(t *testing.T) {
	s := newScheduler(1, 1)
	r := batch(1, 2*time.Second)
	r.Made, r.Work = 1400, 100
	want(t, "item", s.Submit(epoch, r), "1 run")
	got := s.Submit(at(time.Millisecond), online(2))
	for _, d := range got {
		if d.Action == guavaplace.Yield {
			t.Error("an item that is nearly done and has little slack yields")
		}
	}
}

// TestBatchStartsWithoutFurtherEvents guards against items that wait forever for a slot that becomes free when a
// circuit breaker's backoff ends: after the last online request, no other call would dispatch them.
func TestBatchStartsWithoutFurtherEvents(t *testing.T) {
	s := newScheduler(1, 1)
	want(t, "item", s.Submit(epoch, batch(1, 18*time.Second)), "1 run")
	s.Release(at(time.Millisecond), guavaplace.Report{Key: guavaplace.Key{VM: "v", Number: 1}, Outcome: guavaplace.ConnectionLost})
	want(t, "item again", s.Submit(at(2*time.Millisecond), batch(2, 18*time.Second)), "2 wait")
	if s.Pause() == 0 {
		t.Fatal("Pause: got 0, want Tick to be called again while an item waits")
	}
	want(t, "after the backoff", s.Tick(at(time.Second)), "2 run")
	if p := s.Pause(); p != 0 {
		t.Errorf("Pause: got Tick after %v, want 0 as nothing waits", p)
	}
}

// TestUnstartedItemsAreLimited guards against sending the items of all jobs to the engines at once after a restart of
// all VMs, which makes an online request wait until the engine has read all their prompts.
func TestUnstartedItemsAreLimited(t *testing.T) {
	s := newScheduler(1, 8)
	want(t, "first", s.Submit(epoch, batch(1, 18*time.Second)), "1 run")
	want(t, "second", s.Submit(epoch, batch(2, 18*time.Second)), "2 run")
	want(t, "third", s.Submit(epoch, batch(3, 18*time.Second)), "3 wait")
	want(t, "online", s.Submit(epoch, online(4)), "4 run")
	want(t, "no response has begun", s.Tick(at(30*time.Millisecond)))
	s.Started(at(40*time.Millisecond), guavaplace.Key{VM: "v", Number: 1}, nil)
	want(t, "the first response has begun", s.Tick(at(50*time.Millisecond)), "3 run")
}

// TestOverloadRefusesAtOnce guards against callers that wait although they cannot be served in time, and against
// retries of all of them at the same moment.
func TestOverloadRefusesAtOnce(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range uint64(4) {
		want(t, "filling", s.Submit(epoch, online(n)), fmt.Sprintf("%d run", n))
	}
	seen := map[time.Duration]bool{}
	for n := uint64(10); n < 20; n++ {
		got := s.Submit(at(time.Millisecond), online(n))
		want(t, "overload", got, fmt.Sprintf("%d refuse", n))
		if after := got[0].After; after <= 0 || seen[after] {
			t.Errorf("request %d: told to retry after %v, want a positive time unlike those of the others", n, after)
		}
		seen[got[0].After] = true
	}
}

// TestNewRequestPrecedesRetry guards against new requests that wait behind retries until they miss their target and
// have to be retried themselves. Retries get the slots that remain.
func TestNewRequestPrecedesRetry(t *testing.T) {
	s := newScheduler(1, 1)
	first := online(1)
	want(t, "filling", s.Submit(epoch, first), "1 run")
	returning, fresh := online(2), online(3)
	fresh.Start, returning.Start = 2*time.Second, time.Second
	returning.Returning = true
	want(t, "retry", s.Submit(at(300*time.Millisecond), returning), "2 wait")
	want(t, "new request", s.Submit(at(310*time.Millisecond), fresh), "3 wait")
	got := s.Release(at(400*time.Millisecond), guavaplace.Report{Key: first.Key, Outcome: guavaplace.Done})
	want(t, "first free slot", got, "3 run")
	got = s.Release(at(500*time.Millisecond), guavaplace.Report{Key: fresh.Key, Outcome: guavaplace.Done})
	want(t, "next free slot", got, "2 run")
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
		t.Errorf("sent to %s, want s1 as s0 leaves", got[0].Server)
	}
	want(t, "second request", s.Submit(epoch, online(2)), "2 refuse")
}

// TestFailedServerGetsOneProbe guards against many requests to a server that does not respond, and against a server
// that is never probed again.
func TestFailedServerGetsOneProbe(t *testing.T) {
	s := newScheduler(1, 8)
	s.Submit(epoch, online(1))
	s.Release(at(time.Millisecond), guavaplace.Report{Key: online(1).Key, Outcome: guavaplace.TimedOut})
	want(t, "during the backoff", s.Submit(at(2*time.Millisecond), online(2)), "2 refuse")
	want(t, "probe", s.Submit(at(time.Second), online(3)), "3 run")
	want(t, "during the probe", s.Submit(at(time.Second), online(4)), "4 refuse")
	s.Release(at(1100*time.Millisecond), guavaplace.Report{Key: online(3).Key, Outcome: guavaplace.Done})
	want(t, "after the probe", s.Submit(at(1200*time.Millisecond), online(5)), "5 run")
	want(t, "next request", s.Submit(at(1200*time.Millisecond), online(6)), "6 run")
}

// TestProbeEndsWithFirstByte guards against items that wait for the end of a probe's response, which takes many seconds
// for a stream, although its beginning shows that the server works. The response to a request that was sent before the
// failure shows nothing.
func TestProbeEndsWithFirstByte(t *testing.T) {
	s := newScheduler(1, 8)
	want(t, "run that outlives the failure", s.Submit(epoch, batch(1, time.Minute)), "1 run")
	want(t, "run that fails", s.Submit(epoch, batch(2, time.Minute)), "2 run")
	s.Release(at(time.Millisecond), guavaplace.Report{Key: batch(2, 0).Key, Outcome: guavaplace.ConnectionLost})
	want(t, "probe", s.Submit(at(time.Second), batch(3, time.Minute)), "3 run")
	want(t, "item", s.Submit(at(time.Second), batch(4, time.Minute)), "4 wait")
	s.Started(at(1100*time.Millisecond), batch(1, 0).Key, nil)
	want(t, "first byte of the older run", s.Tick(at(1100*time.Millisecond)))
	s.Started(at(1200*time.Millisecond), batch(3, 0).Key, nil)
	want(t, "first byte of the probe", s.Tick(at(1200*time.Millisecond)), "4 run")
	want(t, "before the first byte of the next", s.Submit(at(1200*time.Millisecond), batch(5, time.Minute)), "5 wait")
}

// TestOnlyAvoidedServerLeft guards against a batch item that is never placed because it avoids the only server with a
// free slot, and against one that is placed there before another server has had time to take it.
func TestOnlyAvoidedServerLeft(t *testing.T) {
	s := newScheduler(2, 1)
	want(t, "other item", s.Submit(epoch, batch(1, 20*time.Second)), "1 run") // on s0, which is in its domain
	item := batch(2, 20*time.Second)
	item.Avoid = []string{"s1"}
	want(t, "item", s.Submit(epoch, item), "2 wait")
	want(t, "soon after", s.Tick(at(900*time.Millisecond)))
	got := s.Tick(at(1100 * time.Millisecond))
	want(t, "later", got, "2 run")
	if len(got) == 1 && got[0].Server != "s1" {
		t.Errorf("got server %s, want s1", got[0].Server)
	}
}

// TestUnreachableDomain guards against requests that find the servers of an unreachable failure domain one by one, and
// against a domain that is not used again once it is reachable.
func TestUnreachableDomain(t *testing.T) {
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
		t.Errorf("%d requests of domain a sent to servers of b, which it cannot reach, want at most 2", failed)
	}
	s.RemoveVM(now, "v")
	for n := range uint64(20) {
		s.Submit(now.Add(5*time.Second), online(100+n))
	}
	running := s.Stats().Online
	if running < 20 {
		t.Errorf("%d of 20 requests run although all servers can be probed again, want 20", running)
	}
}

// TestWithdrawnProbe guards against a path that stays suspended because the request that probed it was withdrawn.
func TestWithdrawnProbe(t *testing.T) {
	s := guavaplace.New(guavapoison.NewCrashTracker())
	list := servers(4, 1)
	list = []guavatraffic.Server{list[1], list[3]} // both in domain b
	s.SetServers(epoch, list, guavatraffic.Service{})
	for n := range uint64(2) {
		s.Submit(epoch, online(n))
	}
	for n := range uint64(2) {
		s.Release(at(time.Millisecond), guavaplace.Report{Key: online(n).Key, Outcome: guavaplace.Unreachable})
	}
	want(t, "probe", s.Submit(at(time.Second), batch(5, 18*time.Second)), "5 run")
	want(t, "online request during the probe", s.Submit(at(1001*time.Millisecond), online(6)), "6 refuse")
	s.Withdraw(at(1002*time.Millisecond), batch(5, 0).Key)
	want(t, "next probe", s.Submit(at(1100*time.Millisecond), online(7)), "7 run")
}

// TestForeignLoadCounts guards against a scheduler that fills slots which requests of others occupy.
func TestForeignLoadCounts(t *testing.T) {
	s := newScheduler(1, 2)
	want(t, "request", s.Submit(epoch, online(1)), "1 run")
	s.Started(at(time.Millisecond), online(1).Key, &guavaplace.Load{Running: 2, Slots: 2})
	want(t, "full with requests of others", s.Submit(at(2*time.Millisecond), online(2)), "2 refuse")
	want(t, "load report out of date", s.Submit(at(2*time.Second), online(3)), "3 run")
}

// TestRemoveVMFreesSlots guards against slots that stay occupied after their VM has failed.
func TestRemoveVMFreesSlots(t *testing.T) {
	s := newScheduler(1, 1)
	s.Submit(epoch, online(1))
	other := batch(2, 18*time.Second)
	other.Key.VM = "w"
	want(t, "item of another VM", s.Submit(epoch, other), "2 wait")
	want(t, "VM gone", s.RemoveVM(at(2*time.Second), "v"), "2 run")
}

// TestRestoredRunsOccupySlots guards against a new coordinator that fills slots which earlier requests still occupy.
func TestRestoredRunsOccupySlots(t *testing.T) {
	s := newScheduler(1, 1)
	s.Restore(epoch, guavaplace.ActiveRun{Request: online(1), Server: "s0", Age: 100 * time.Millisecond})
	want(t, "request", s.Submit(at(time.Millisecond), online(2)), "2 refuse")
	s.Release(at(2*time.Millisecond), guavaplace.Report{Key: online(1).Key, Outcome: guavaplace.Done})
	want(t, "after the release", s.Submit(at(3*time.Millisecond), online(3)), "3 run")
}

// TestRetryDetector guards against taking new requests for retries after the time limit of a route has changed.
func TestRetryDetector(t *testing.T) {
	var r guavaplace.RetryDetector
	for range 20 {
		if r.Observe(5 * time.Second) {
			t.Fatal("a new request counts as a retry")
		}
	}
	if !r.Observe(4 * time.Second) {
		t.Error("a request with less time than the majority does not count as a retry")
	}
	for range 200 {
		r.Observe(3 * time.Second)
	}
	if r.Observe(3 * time.Second) {
		t.Error("after a change of the limit, new callers count as retries")
	}
}

// TestMostServersFail guards against a service that refuses nearly all requests because most of its servers fail most
// runs: only as many servers are limited to one request at a time as the others can replace.
func TestMostServersFail(t *testing.T) {
	cases := []struct{ failing, slots int }{{0, 16}, {1, 13}, {2, 10}, {3, 10}, {4, 10}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d of 4", c.failing), func(t *testing.T) {
			s := newScheduler(4, 4)
			number := uint64(0)
			// Each failing server gets enough runs to be recognized.
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
					s.Started(epoch, item.Key, nil) // lets the next item start
					filled++
				}
			}
			if filled != c.slots {
				t.Errorf("%d items run, want %d", filled, c.slots)
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
				t.Errorf("%d of 10 online requests run beside batch items, want at least 8", served)
			}
		})
	}
}

// TestCrashIsOneFailure guards against a restarted server that is limited to one request at a time because all the runs
// that its crash cut off counted as failures.
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
		s.Started(at(10*time.Second), guavaplace.Key{VM: "v", Number: n}, nil) // lets the next item start
		if n == 100 {
			s.Release(at(11*time.Second), guavaplace.Report{Key: guavaplace.Key{VM: "v", Number: n}, Outcome: guavaplace.Done})
		}
	}
	got := s.Submit(at(12*time.Second), batch(108, 18*time.Second))
	want(t, "the eighth request on the server", got, "108 run")
}

// TestSmallRequestPassesLargeOne guards against requests that are skipped because one that needs more memory did not
// fit.
func TestSmallRequestPassesLargeOne(t *testing.T) {
	s := guavaplace.New(guavapoison.NewCrashTracker())
	s.SetServers(epoch, servers(1, 3), guavatraffic.Service{Name: "m", Memory: 1000})
	first, large, small := online(1), online(2), online(3)
	first.Tokens, large.Tokens, small.Tokens = 500, 900, 300
	large.Start, small.Start = time.Second, 2*time.Second
	want(t, "first", s.Submit(epoch, first), "1 run")
	want(t, "large", s.Submit(epoch, large), "2 wait")
	want(t, "small", s.Submit(epoch, small), "3 wait")
	want(t, "later", s.Tick(at(10*time.Millisecond)), "3 run")
}

// TestTimedOutServerIsNoFallback guards against requests sent to servers that lose connections or time out because the
// other servers are full: such an attempt takes the time in which another slot may become free. VMs of another failure
// domain, which have not sent requests to these servers, know them only by their failure ratio.
func TestTimedOutServerIsNoFallback(t *testing.T) {
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
		for range 5 { // 1 on s0, which is limited, 4 on the others
			if d := submit("b")[0]; d.Action != guavaplace.Run {
				t.Fatalf("filling: %s", d.Action)
			}
		}
		if d := submit("b")[0]; string(d.Action) != c.want {
			t.Errorf("after runs that ended with %s: got %s, want %s", c.outcome, d.Action, c.want)
		}
	}
}

// TestExcessRunsYield guards against engines that queue what two VMs sent while both coordinated the service, so that
// online requests wait there behind batch items.
func TestExcessRunsYield(t *testing.T) {
	s := newScheduler(1, 4)
	for n := range uint64(6) {
		r := batch(n, 18*time.Second)
		r.Work = 1000 + 100*float64(n)
		s.Restore(epoch, guavaplace.ActiveRun{Request: r, Server: "s0"})
	}
	r := online(6)
	s.Restore(epoch, guavaplace.ActiveRun{Request: r, Server: "s0"})
	want(t, "after the takeover", s.Tick(epoch), "5 yield", "4 yield", "3 yield")
	want(t, "online request", s.Submit(at(time.Millisecond), online(7)), "2 yield", "7 run")
}

// TestGrantNamesIncarnation guards against grants that do not tell a restarted server from its previous process, so that
// a VM would apply what the server says in its response to the wrong one, and against grants of a server that said that
// it is leaving.
func TestGrantNamesIncarnation(t *testing.T) {
	s := newScheduler(2, 4)
	list := servers(2, 4)
	list[0].Born, list[1].Leaving = 7, true
	s.SetServers(at(time.Millisecond), list, guavatraffic.Service{Name: "m"})
	for n := range uint64(4) {
		d := s.Submit(at(2*time.Millisecond), online(n))
		if len(d) != 1 || d[0].Action != guavaplace.Run || d[0].Server != "s0" || d[0].Born != 7 {
			t.Errorf("request %d: got %+v, want a run on s0 started at 7", n, d)
		}
	}
}

// TestUnknownClass guards against a message of a VM of another version that ends the process of the coordinator, and
// those of the VMs that follow it as coordinator.
func TestUnknownClass(t *testing.T) {
	s := newScheduler(1, 1)
	unknown := online(1)
	unknown.Class = "unknown"
	want(t, "submission", s.Submit(epoch, unknown), "1 run")
	s.Started(epoch, unknown.Key, nil)
	second := online(2)
	second.Start = 3 * time.Second
	want(t, "second submission", s.Submit(epoch, second), "2 wait")
	want(t, "end of the run", s.Release(epoch.Add(10*time.Millisecond), guavaplace.Report{Key: unknown.Key, Outcome: guavaplace.Done}), "2 run")
	held := online(3)
	held.Class = ""
	s.Restore(epoch, guavaplace.ActiveRun{Request: held, Server: "s0"})
	want(t, "removal of the VM", s.RemoveVM(epoch, "v"))
}

// TestRepeatsGoFirst guards against requests that are refused after a failed attempt, which leaves their callers with a failure, while
// new requests, whose callers can return, get the slots of a service in overload.
func TestRepeatsGoFirst(t *testing.T) {
	s := newScheduler(1, 1)
	want(t, "the only slot", s.Submit(epoch, online(1)), "1 run")
	want(t, "waits for it", s.Submit(at(time.Millisecond), online(2)), "2 refuse")
	repeat := online(3)
	repeat.Repeat, repeat.Start = true, 0
	want(t, "repeat without time to its target", s.Submit(at(2*time.Millisecond), repeat), "3 wait")
	waiting := online(4)
	waiting.Start = time.Second
	want(t, "new request with time", s.Submit(at(3*time.Millisecond), waiting), "4 wait")
	want(t, "slot is free", s.Release(at(100*time.Millisecond), guavaplace.Report{Key: online(1).Key, Outcome: guavaplace.Done}), "3 run")
	want(t, "slot is free again", s.Release(at(200*time.Millisecond), guavaplace.Report{Key: repeat.Key, Outcome: guavaplace.Done}), "4 run")
}

package guavaplace_test

import (
	"fmt"
	"testing"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

// TestAnswersAreReportedAtOnce guards against a part of prompts that is banned because answers to requests with it take longer
// than it takes a server to lose several of them.
func TestAnswersAreReportedAtOnce(t *testing.T) {
	const part = 9
	s := newScheduler(4, 4)
	now := epoch
	request := func(n uint64, class guavaplace.Class) guavaplace.Request {
		r := online(n)
		if class == guavaplace.Batch {
			r = batch(n, 18*time.Second)
		}
		r.Content, r.Parts = 100+n, []uint64{part}
		return r
	}
	run := func(n uint64, class guavaplace.Class) (watched bool) {
		t.Helper()
		got := s.Submit(now, request(n, class))
		want(t, "request", got, fmt.Sprintf("%d run", n))
		return len(got) == 1 && got[0].Watched
	}
	lose := func(n uint64) {
		now = now.Add(300 * time.Millisecond)
		s.Release(now, guavaplace.Report{Key: request(n, guavaplace.Online).Key, Outcome: guavaplace.ConnectionLost})
		now = now.Add(time.Second)
	}
	if run(1, guavaplace.Online) {
		t.Error("an online request is watched before any run was lost")
	}
	if !run(2, guavaplace.Batch) {
		t.Error("a batch item with shared parts is not watched")
	}
	lose(1)
	for n := uint64(3); n < 9; n += 2 {
		if !run(n, guavaplace.Online) {
			t.Errorf("request %d is not watched after a run with its part was lost", n)
		}
		s.Begun(now, request(n, guavaplace.Online).Key)
		run(n+1, guavaplace.Online)
		lose(n + 1)
	}
	want(t, "after answers in between", s.Submit(now, request(20, guavaplace.Online)), "20 run")
}

// TestCrashingRequest guards against requests that keep crashing servers, by retries or from the queue, and against
// refusing requests whose servers only drained.
func TestCrashingRequest(t *testing.T) {
	const content = 7
	service := guavatraffic.Service{Name: "m"}
	for _, c := range []struct {
		name    string
		leaving bool // the servers announce that they drain
		content uint64
		refused bool
	}{
		{"servers crash", false, content, true},
		{"servers leave", true, content, false},
		{"requests without content name", false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			crashes := guavapoison.NewCrashTracker()
			s := guavaplace.New(crashes)
			list := servers(1, 1)
			s.SetServers(epoch, list, service)
			request := func(n uint64) guavaplace.Request {
				r := online(n)
				r.Content, r.Start, r.Patience = c.content, 3*time.Second, 3*time.Second
				return r
			}
			now := epoch
			for n := range uint64(3) {
				want(t, "run", s.Submit(now, request(n)), []string{"0 run", "1 run", "2 run"}[n])
				now = now.Add(100 * time.Millisecond)
				if n == 2 {
					want(t, "during the third run", s.Submit(now, request(10)), "10 wait")
				}
				list[0].Leaving = c.leaving
				s.SetServers(now, list, service)
				got := s.Release(now, guavaplace.Report{Key: request(n).Key, Outcome: guavaplace.ConnectionLost})
				if n == 2 && c.refused {
					want(t, "from the queue", got, "10 refuse")
				}
				now = now.Add(time.Second)
				list[0].Leaving = false
				list[0].Born++
				if n < 2 {
					s.SetServers(now, list, service)
				}
			}
			got := s.SetServers(now, list, service)
			if !c.refused {
				want(t, "after three runs", got, "10 run")
				return
			}
			bans := crashes.TakeChanges()
			if n := len(bans); n == 0 || bans[n-1].ID() != content || bans[n-1].Until.Sub(now) < 50*time.Minute {
				t.Errorf("bans to pass on: got %+v, want one of content 7 for at least 50 minutes", bans)
			}
			if list := crashes.TakeChanges(); len(list) > 0 {
				t.Errorf("bans to pass on, again: got %+v, want none", list)
			}
			got = s.Submit(now, request(11))
			want(t, "the same request again", got, "11 refuse")
			if got[0].Reason != guavaplace.CrashReason || got[0].After < 50*time.Minute {
				t.Errorf("refused for %s with reason %q, want at least 50m and the crash reason", got[0].After, got[0].Reason)
			}
			want(t, "another request", s.Submit(now, online(12)), "12 run")
		})
	}
}

// TestTrialOfLapsedBan guards against several requests that are sent when a ban lapses, also from the queue, and against a ban that
// lasts because the one request that was chosen found no slot.
func TestTrialOfLapsedBan(t *testing.T) {
	crashes := guavapoison.NewCrashTracker()
	s := guavaplace.New(crashes)
	s.SetServers(epoch, servers(1, 2), guavatraffic.Service{Name: "m"})
	crashes.Merge(epoch, []guavapoison.Ban{{Traits: []uint64{9}, Until: at(time.Minute), Changed: epoch}})
	request := func(n uint64) guavaplace.Request {
		r := online(n)
		r.Content, r.Parts = 100+n, []uint64{9}
		r.Start, r.Patience = 3*time.Second, 3*time.Second
		return r
	}
	want(t, "during the ban", s.Submit(epoch, request(1)), "1 refuse")
	want(t, "first slot", s.Submit(at(time.Minute), online(2)), "2 run")
	want(t, "second slot", s.Submit(at(time.Minute), online(3)), "3 run")
	want(t, "without a slot", s.Submit(at(time.Minute), request(4)), "4 refuse")
	s.Release(at(time.Minute), guavaplace.Report{Key: online(2).Key, Outcome: guavaplace.Done})
	want(t, "trial", s.Submit(at(time.Minute), request(5)), "5 run")
	want(t, "beside the trial", s.Submit(at(time.Minute), request(6)), "6 refuse")
	item := batch(7, 18*time.Second)
	item.Parts = []uint64{9}
	want(t, "item beside the trial", s.Submit(at(time.Minute), item), "7 refuse")
	s.Release(at(61*time.Second), guavaplace.Report{Key: request(5).Key, Outcome: guavaplace.Done, Begun: true})
	want(t, "after an answer", s.Submit(at(61*time.Second), request(8)), "8 run")
}

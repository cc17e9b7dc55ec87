package guavaplace_test

import (
	"testing"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
)

// TestCrashingRequest guards against requests that go on crashing servers, when they come again or from the queue, and
// against others that are refused although their servers only left.
func TestCrashingRequest(t *testing.T) {
	const content = 7
	service := guavatraffic.Service{Name: "m"}
	for _, c := range []struct {
		name    string
		leaving bool // the servers announce that they leave
		content uint64
		refused bool
	}{
		{"servers crash", false, content, true},
		{"servers leave", true, content, false},
		{"requests without name", false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(1, 1)
			list := servers(1, 1)
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
					want(t, "beside the third run", s.Submit(now, request(10)), "10 wait")
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
			if list := s.PendingBans(now); len(list) != 1 || list[0].Content != content || list[0].Left < 50*time.Minute {
				t.Errorf("told to others: %+v", list)
			}
			if list := s.PendingBans(now); len(list) > 0 {
				t.Errorf("told again: %+v", list)
			}
			got = s.Submit(now, request(11))
			want(t, "the same request again", got, "11 refuse")
			if got[0].Reason != guavaplace.CrashReason || got[0].After < 50*time.Minute {
				t.Errorf("refused for %s because of %q", got[0].After, got[0].Reason)
			}
			want(t, "another request", s.Submit(now, online(12)), "12 run")
		})
	}
}

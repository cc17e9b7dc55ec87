package guavaplace_test

import (
	"testing"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

// TestColdDomain guards against cold servers that get more requests in a second than they tolerate when a domain comes back during
// a wave, against refusals while warm servers have room, and against servers that stay limited after they have warmed up. The load
// is a wave of 150 requests a second, of which two of three domains would carry all.
func TestColdDomain(t *testing.T) {
	const (
		tolerated = 7
		coldTime  = 3 * time.Second
		runTime   = 200 * time.Millisecond
		interval  = time.Second / 150
	)
	s := guavaplace.New(guavapoison.NewCrashTracker())
	list := servers(12, 4)
	cold := map[string]bool{}
	for i := range list {
		if i%3 == 0 {
			list[i].Cold, list[i].ColdUntil = coldTime, at(coldTime)
			cold[list[i].ID] = true
		}
	}
	s.SetServers(epoch, list, guavatraffic.Service{Name: "m", ColdStarts: tolerated})
	type end struct {
		at  time.Time
		key guavaplace.Key
	}
	var ends []end
	starts := map[string][]time.Time{}
	refused, n := 0, uint64(0)
	record := func(now time.Time, decisions []guavaplace.Decision) {
		for _, d := range decisions {
			switch d.Action {
			case guavaplace.Run:
				starts[d.Server] = append(starts[d.Server], now)
				ends = append(ends, end{at: now.Add(runTime), key: d.Key})
			case guavaplace.Refuse:
				refused++
			default:
			}
		}
	}
	for now := epoch; now.Before(at(2 * coldTime)); now = now.Add(interval) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := ends[0]
			ends = ends[1:]
			record(now, s.Release(now, guavaplace.Report{Key: e.key, Outcome: guavaplace.Done}))
		}
		n++
		record(now, s.Submit(now, online(n)))
		record(now, s.Tick(now))
	}
	after := 0
	for id, times := range starts {
		for i, first := range times {
			if first.After(at(coldTime)) {
				after += map[bool]int{true: 1}[cold[id]]
				continue
			}
			k := i
			for k < len(times) && times[k].Sub(first) < time.Second && times[k].Before(at(coldTime)) {
				k++
			}
			if cold[id] && k-i > tolerated {
				t.Fatalf("cold server %s has begun %d requests in a second, want %d at most", id, k-i, tolerated)
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d requests were refused, want none", refused)
	}
	if after < 100 {
		t.Errorf("warmed-up servers have begun %d requests, want their share", after)
	}
}

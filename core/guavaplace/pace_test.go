package guavaplace_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

// unevenLoad is a wave of streams on servers of different pace. It returns the mean time that runs take, relative to the usual time,
// and the number of requests that were refused. In each of its seconds half of the servers turn slow in turn, if noisy.
func unevenLoad(t *testing.T, reports, noisy bool) (mean float64, refused int) {
	t.Helper()
	const (
		usual    = 400 * time.Millisecond
		slots    = 4
		duration = 18 * time.Second
		step     = 5 * time.Millisecond
	)
	paces := []float64{0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6}
	s := guavaplace.New(guavapoison.NewCrashTracker())
	s.SetServers(epoch, servers(len(paces), slots), guavatraffic.Service{Name: "m"})
	paceOf := func(now time.Time, server string) float64 {
		i := int(server[1] - '0')
		p := paces[i]
		if noisy && (int(now.Sub(epoch)/time.Second)+i)%6 == 0 {
			p *= 2.5
		}
		return p
	}
	type end struct {
		at     time.Time
		key    guavaplace.Key
		server string
	}
	var ends []end
	n, runs, total := uint64(0), 0, 0.0
	record := func(now time.Time, decisions []guavaplace.Decision) {
		for _, d := range decisions {
			switch d.Action {
			case guavaplace.Run:
				p := paceOf(now, d.Server)
				runs++
				total += p
				ends = append(ends, end{at: now.Add(time.Duration(p * float64(usual))), key: d.Key, server: d.Server})
				load := &guavaplace.Load{Slots: slots}
				for _, e := range ends {
					load.Running += map[bool]int{true: 1}[e.server == d.Server]
				}
				if reports {
					load.Pace = p
				}
				s.Started(now, d.Key, load)
			case guavaplace.Refuse:
				refused++
			default:
			}
		}
	}
	arrivals := 0.0
	for now := epoch; now.Before(at(duration)); now = now.Add(step) {
		slices.SortFunc(ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key.Number, b.key.Number)) })
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := ends[0]
			ends = ends[1:]
			record(now, s.Release(now, guavaplace.Report{Key: e.key, Outcome: guavaplace.Done}))
		}
		rate := 0.383
		if now.Sub(epoch)%(5800*time.Millisecond) >= 3400*time.Millisecond {
			rate = 1.87
		}
		for arrivals += 45 * rate * step.Seconds(); arrivals >= 1; arrivals-- {
			n++
			record(now, s.Submit(now, online(n)))
		}
		record(now, s.Tick(now))
	}
	return total / float64(runs), refused
}

// TestUnevenServers guards against requests that run on slow servers while faster ones have room, and against refusals in a wave that
// the service could carry if its fast servers were used first. The upper mark is the mean run time if each request ran on the fastest
// slots that the wave needs: 0.6 of the usual between the crests, where 17 requests a second arrive, and 0.79 in them, where 84 arrive
// and the slots of the fast and the usual servers take 50 and 30.
func TestUnevenServers(t *testing.T) {
	const upperMark = 0.75
	for _, noisy := range []bool{false, true} {
		t.Run(fmt.Sprintf("noisy %t", noisy), func(t *testing.T) {
			blind, refusedBlind := unevenLoad(t, false, noisy)
			mean, refused := unevenLoad(t, true, noisy)
			t.Logf("mean run time %.2f of the usual, %d refused; without reports of the pace %.2f, %d", mean, refused, blind, refusedBlind)
			if mean >= blind {
				t.Errorf("runs take %.2f of the usual time, and %.2f without reports of the pace", mean, blind)
			}
			if !noisy && mean > 1.05*upperMark {
				t.Errorf("runs take %.2f of the usual time, want at most 5%% more than the %.2f of the fastest slots", mean, upperMark)
			}
			if refused > refusedBlind {
				t.Errorf("%d requests were refused, and %d without reports of the pace", refused, refusedBlind)
			}
		})
	}
}

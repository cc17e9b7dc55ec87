package guavaplace

import "time"

// recordCrash updates the crash counts of an online request's content with the outcome of its run. Jobs handle batch
// items that crash servers themselves.
func (s *Scheduler) recordCrash(now time.Time, r *run, o Outcome) {
	switch o {
	case ConnectionLost, TimedOut:
		if r.server.Leaving {
			return // a leaving server interrupts its remaining runs without crashing
		}
		s.crashes.RecordBroken(now, r.request.Content, r.server.ID, r.startedAt, o == TimedOut)
	case Done, Failed:
		s.crashes.RecordAnswered(r.request.Content)
	case Unreachable, Misdirected, Shed, Cancelled: // not executed, or ended by its caller
	}
}

// refuseCrashing refuses a request that crashes servers or is suspected of it, and reports whether it did.
func (s *Scheduler) refuseCrashing(now time.Time, w *waitingRequest) bool {
	remaining, crashes := s.crashes.RefusedFor(now, w.Content)
	if remaining == 0 {
		return false
	}
	reason := "servers broke off"
	if crashes {
		reason = CrashReason
	}
	s.decide(Decision{Key: w.Key, Action: Refuse, After: remaining, Reason: reason, Waited: now.Sub(w.arrivedAt)})
	return true
}

// Ban is the remaining time for which requests with the same content are refused because they crash servers.
type Ban struct {
	Content uint64
	Left    time.Duration
}

// PendingBans returns the bans recorded since the last call, to be forwarded to other schedulers.
func (s *Scheduler) PendingBans(now time.Time) []Ban {
	list := make([]Ban, 0, len(s.pendingBans))
	for _, content := range s.pendingBans {
		remaining, _ := s.crashes.RefusedFor(now, content)
		list = append(list, Ban{Content: content, Left: remaining})
	}
	s.pendingBans = nil
	return list
}

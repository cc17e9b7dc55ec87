package guavaplace

import "time"

// tally counts how a run of an online request ended. Batch items are held back by their job.
func (s *Scheduler) tally(now time.Time, r *run, o Outcome) {
	switch o {
	case ConnectionLost, TimedOut:
		if r.server.Leaving {
			return // it ends what is left there
		}
		s.crashes.RecordBroken(now, r.request.Content, r.server.ID, r.began, o == TimedOut)
	case Done, Failed:
		s.crashes.RecordAnswered(r.request.Content)
	case Unreachable, Misdirected, Shed, Cancelled: // it has not run, or its caller ended it
	}
}

// refuseCrashing refuses a request that crashes servers, or may do so, and reports whether it did.
func (s *Scheduler) refuseCrashing(now time.Time, w *waiting) bool {
	left, crashes := s.crashes.RefusedFor(now, w.Content)
	if left == 0 {
		return false
	}
	reason := "servers broke off"
	if crashes {
		reason = CrashReason
	}
	s.decide(Decision{Key: w.Key, Action: Refuse, After: left, Reason: reason, Waited: now.Sub(w.arrived)})
	return true
}

// Ban says for how long requests of a content are refused because they crash servers.
type Ban struct {
	Content uint64
	Left    time.Duration
}

// PendingBans returns the requests that turned out to crash servers since it was last called, for whoever else decides.
func (s *Scheduler) PendingBans(now time.Time) []Ban {
	list := make([]Ban, 0, len(s.crashing))
	for _, content := range s.crashing {
		left, _ := s.crashes.RefusedFor(now, content)
		list = append(list, Ban{Content: content, Left: left})
	}
	s.crashing = nil
	return list
}

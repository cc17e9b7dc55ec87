package guavaplace

import (
	"fmt"
	"time"

	"guavaridge/core/guavapoison"
)

// recordCrash passes the outcome of a run to the tracker of crashes. begun reports that the server got beyond the begin of
// its answer.
func (s *Scheduler) recordCrash(now time.Time, r *run, o Outcome, begun bool) {
	x := guavapoison.Run{
		Server: r.server.ID, Began: r.startedAt, Content: r.request.Content, Parts: r.request.Parts,
		Item: r.request.Class == Batch,
	}
	switch {
	case begun:
		s.crashes.RecordAnswered(now, x)
	case o == Done, o == Failed:
		// The request does not crash servers. Whether a part of its prompt does is open, since the server may have rejected
		// the request before it used them.
		s.crashes.RecordUndecided(now, x, true)
		x.Parts = nil
		s.crashes.RecordAnswered(now, x)
	case o == ConnectionLost, o == TimedOut:
		if r.server.Leaving {
			return // a leaving server interrupts its remaining runs without crashing
		}
		x.ID = fmt.Sprintf("%s/%d", r.request.Key.VM, r.request.Key.Number)
		s.crashes.RecordLost(now, x, o == TimedOut)
	case o == Unreachable, o == Misdirected, o == Shed:
		s.crashes.RecordUndecided(now, x, false)
	case o == Cancelled, o == Malformed:
		s.crashes.RecordUndecided(now, x, true)
	}
}

// refuseCrashing refuses a request that crashes servers or is suspected of it, and reports whether it did.
func (s *Scheduler) refuseCrashing(now time.Time, w *waitingRequest) bool {
	v, remaining := s.crashes.Check(now, w.Content, w.Parts)
	if v != guavapoison.Refuse {
		return false
	}
	s.decide(Decision{Key: w.Key, Action: Refuse, After: remaining, Reason: CrashReason, Waited: now.Sub(w.arrivedAt)})
	return true
}

// try decides about a request whose ban has lapsed: it runs at once, or is refused. It reports whether it did so.
func (s *Scheduler) try(now time.Time, w *waitingRequest) bool {
	if v, _ := s.crashes.Check(now, w.Content, w.Parts); v != guavapoison.Try {
		return false
	}
	if !s.scheduleFree(now, w) {
		s.refuse(now, w, "overload")
		return true
	}
	s.crashes.BeginTrial(now, w.Content, w.Parts)
	return true
}

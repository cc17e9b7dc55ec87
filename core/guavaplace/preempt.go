package guavaplace

import (
	"slices"
	"time"
)

// yieldSlack is the slack from which a nearly done batch item can be preempted and still meet its deadline.
const yieldSlack = 2500 * time.Millisecond

// schedule runs an online request on a free slot, on the slot of a batch item that it preempts, or on a limited server.
func (s *Scheduler) schedule(now time.Time, w *waitingRequest) bool {
	return s.scheduleFree(now, w) || s.preempt(now, w) || s.scheduleLimited(now, w)
}

// scheduleLimited runs a request that fits on no other server on a limited server whose failures are mostly error
// responses: these arrive fast enough for another attempt, while waiting in the queue for a healthy server may miss the
// target. Limited servers that lose connections or time out are not used, because such failures take too long. A
// request that has failed before waits for a healthy server.
func (s *Scheduler) scheduleLimited(now time.Time, w *waitingRequest) bool {
	if len(w.Avoid) > 0 {
		return false
	}
	var best *server
	for _, v := range s.servers {
		if v.limited && v.errorRatio > failureThreshold && s.canSend(now, v, w.Domain) &&
			v.fitsUpTo(now, &w.Request, v.slots()) && (best == nil || v.failureRatio < best.failureRatio) {
			best = v
		}
	}
	if best == nil {
		return false
	}
	s.start(now, w, best)
	return true
}

// preempt runs a request on the slot of a batch item, which yields.
func (s *Scheduler) preempt(now time.Time, w *waitingRequest) bool {
	var victim *run
	for _, r := range s.runs {
		if r.request.Class != Batch || !s.canSend(now, r.server, w.Domain) || slices.Contains(w.Avoid, r.server.ID) ||
			r.server.isSlow() || r.server.limited || s.byID[r.server.ID] != r.server ||
			r.server.used(now) > r.server.slots() {
			continue
		}
		if slack := r.slack(); slack >= 0 && slack < yieldSlack && isRunNearlyDone(now, r) {
			continue
		}
		if victim == nil || yieldsBefore(r, victim) {
			victim = r
		}
	}
	if victim == nil {
		return false
	}
	s.removeRun(victim)
	s.decide(Decision{Key: victim.request.Key, Action: Yield})
	s.start(now, w, victim.server)
	return true
}

// evictExcess preempts batch items on servers with more runs than slots. Servers get excess runs when several VMs
// coordinate the service at the same time, after a restart of all VMs or during a network partition, and one of them
// then takes over all runs. Engines queue the excess, and online requests would wait there behind batch items for
// seconds.
func (s *Scheduler) evictExcess() {
	for _, v := range s.servers {
		for len(v.runs) > v.slots() {
			var victim *run
			for _, r := range v.runs {
				if r.request.Class == Batch && (victim == nil || yieldsBefore(r, victim)) {
					victim = r
				}
			}
			if victim == nil {
				break
			}
			s.removeRun(victim)
			s.decide(Decision{Key: victim.request.Key, Action: Yield})
		}
	}
}

// isRunNearlyDone reports whether little work of a running batch item remains.
func isRunNearlyDone(now time.Time, r *run) bool {
	done := 1.0
	if length := r.expectedEnd.Sub(r.startedAt); length > 0 {
		done = min(now.Sub(r.startedAt).Seconds()/length.Seconds(), 1)
	}
	return (1-done)*r.request.Work <= nearlyDoneShare*(r.request.Made+r.request.Work)
}

// yieldsBefore reports whether a is preempted rather than b: items that miss their deadline anyway first, then those
// with the latest expected end.
func yieldsBefore(a, b *run) bool {
	if late := a.slack() < 0; late != (b.slack() < 0) {
		return late
	}
	if !a.expectedEnd.Equal(b.expectedEnd) {
		return a.expectedEnd.After(b.expectedEnd)
	}
	return a.request.Key.Number > b.request.Key.Number
}

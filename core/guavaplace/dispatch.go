package guavaplace

import (
	"math"
	"slices"
	"time"
)

// dispatch assigns free slots to waiting requests in this order: online requests that can start in time, batch items
// that are nearly done, late online requests, other batch items that can meet their deadline, and the remaining batch
// items.
func (s *Scheduler) dispatch(now time.Time) {
	s.expire(now)
	s.evictExcess()
	unplaced := shortage{}
	s.online = slices.DeleteFunc(s.online, func(w *waitingRequest) bool {
		if unplaced.covers(w) {
			return false
		}
		yieldCount := s.counts.Yields
		ok := s.schedule(now, w)
		switch {
		case !ok:
			unplaced.record(w)
		case s.counts.Yields != yieldCount:
			clear(unplaced) // the preempted item may have freed more memory than the request uses
		}
		return ok
	})
	unplaced = shortage{}
	scheduleWaiting := func(w *waitingRequest) bool {
		if unplaced.covers(w) {
			return false
		}
		ok := s.scheduleFree(now, w)
		if !ok {
			unplaced.record(w)
		}
		return ok
	}
	s.batch = slices.DeleteFunc(s.batch, func(w *waitingRequest) bool {
		return isNearlyDone(&w.Request) && !w.isLate(now) && scheduleWaiting(w)
	})
	s.late = slices.DeleteFunc(s.late, scheduleWaiting)
	if len(s.online) > 0 {
		return
	}
	if len(s.batch) == 0 {
		return
	}
	slots := s.freeSlots(now) - int(math.Round(s.arrivalRateAt(now)*headroomWindow.Seconds()))
	for _, late := range [...]bool{false, true} {
		s.batch = slices.DeleteFunc(s.batch, func(w *waitingRequest) bool {
			if slots <= 0 || w.isLate(now) != late || !scheduleWaiting(w) {
				return false
			}
			slots--
			return true
		})
	}
}

// shortage records, for each failure domain, the smallest memory request for which no server had room, so that the many
// requests waiting in an overload do not each search the same full servers. It stays valid while only further slots are
// taken.
type shortage map[string]int

func (n shortage) covers(w *waitingRequest) bool {
	minTokens, ok := n[w.Domain]
	return ok && w.Tokens >= minTokens
}

// record adds a request that fits on no server. Requests that avoid servers are ignored, as they say nothing about
// those servers.
func (n shortage) record(w *waitingRequest) {
	if len(w.Avoid) > 0 {
		return
	}
	if minTokens, ok := n[w.Domain]; !ok || w.Tokens < minTokens {
		n[w.Domain] = w.Tokens
	}
}

// expire refuses requests found to crash servers, and late requests that have reached their maximum wait. It moves
// online requests that can no longer start in time to the late ones. Batch items that have waited for avoidTime may run
// on any server.
func (s *Scheduler) expire(now time.Time) {
	if s.crashes.HasBans() {
		refused := func(w *waitingRequest) bool { return s.refuseCrashing(now, w) }
		s.online, s.late = slices.DeleteFunc(s.online, refused), slices.DeleteFunc(s.late, refused)
		s.batch = slices.DeleteFunc(s.batch, refused)
	}
	s.online = slices.DeleteFunc(s.online, func(w *waitingRequest) bool {
		if now.Before(w.startBy) {
			return false
		}
		s.late = append(s.late, w)
		return true
	})
	s.late = slices.DeleteFunc(s.late, func(w *waitingRequest) bool {
		if now.Before(w.refuseAt) {
			return false
		}
		s.refuse(now, w, "patience")
		return true
	})
	for _, w := range s.batch {
		if now.Sub(w.arrivedAt) >= avoidTime {
			w.Avoid = nil
		}
	}
}

// scheduleFree runs a request on the best server with a free slot and reports whether there is one.
func (s *Scheduler) scheduleFree(now time.Time, w *waitingRequest) bool {
	var best *server
	var score float64
	for _, v := range s.servers {
		if !s.canSend(now, v, w.Domain) || !v.fits(now, &w.Request) {
			continue
		}
		if p := v.score(now, &w.Request); best == nil || p < score {
			best, score = v, p
		}
	}
	if best == nil {
		return false
	}
	s.start(now, w, best)
	return true
}

func (s *Scheduler) start(now time.Time, w *waitingRequest, v *server) {
	r := s.newRun(now, w, v)
	s.runs[w.Key] = r
	v.add(r)
	v.recordColdStart(now)
	s.paths.startProbe(w.Domain, v.Domain)
	s.decide(Decision{
		Key: w.Key, Action: Run, Server: v.ID, Address: v.Address, Born: v.Born,
		Waited: now.Sub(w.arrivedAt), Expected: s.estimate(w.Class).firstByte(),
		Watched: (w.Class == Batch && len(w.Parts) > 0) || s.crashes.IsSuspect(w.Parts),
	})
}

func (s *Scheduler) newRun(startedAt time.Time, w *waitingRequest, v *server) *run {
	e := s.estimate(w.Class)
	duration := e.duration(w.Work)
	if w.Class == Batch {
		duration = e.remaining(w.Work)
	}
	duration = time.Duration(float64(duration) * v.pace.mean())
	return &run{
		request: w.Request, server: v, startedAt: startedAt, expectedEnd: startedAt.Add(duration), deadline: w.deadline,
	}
}

func (s *Scheduler) removeRun(r *run) {
	delete(s.runs, r.request.Key)
	r.server.remove(r)
	s.paths.endProbe(r.request.Domain, r.server.Domain)
}

// reachable reports whether VMs in the failure domain can send to any server.
func (s *Scheduler) reachable(now time.Time, domain string) bool {
	return slices.ContainsFunc(s.servers, func(v *server) bool { return s.canSend(now, v, domain) })
}

// canSend reports whether VMs in the failure domain can send to the server.
func (s *Scheduler) canSend(now time.Time, v *server, domain string) bool {
	return v.accepts(now, domain) && s.paths.allows(now, domain, v.Domain)
}

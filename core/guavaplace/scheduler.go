package guavaplace

import (
	"cmp"
	"slices"
	"time"

	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

const (
	// onlineTickInterval bounds how much a refusal may be delayed, and batchTickInterval how long a slot that waiting
	// batch items could use may stay free.
	onlineTickInterval = 10 * time.Millisecond
	batchTickInterval  = 50 * time.Millisecond
)

// Scheduler assigns requests to the servers of one service. It is not safe for concurrent use.
type Scheduler struct {
	servers   []*server // sorted by ID
	byID      map[string]*server
	runs      map[Key]*run
	online    []*waitingRequest // can still start in time, by compareOnline
	late      []*waitingRequest // online requests that can no longer start in time
	batch     []*waitingRequest // by compareBatch
	estimates map[Class]*estimate
	paths     paths
	crashes   *guavapoison.CrashTracker

	nextRetry   time.Time // the time after which the next refused caller may retry
	retrySpread float64   // position of the last retry time between minRetryAfter and maxRetryAfter, 0 to 1

	arrivalRate float64 // online requests per second, as of lastArrival
	lastArrival time.Time

	counts    Stats
	decisions []Decision
}

// New returns a scheduler without servers. It records crashes of servers in the tracker, which other schedulers may share,
// and refuses the requests that the tracker bans.
func New(t *guavapoison.CrashTracker) *Scheduler {
	return &Scheduler{
		byID: map[string]*server{}, runs: map[Key]*run{}, paths: newPaths(), crashes: t,
		estimates: map[Class]*estimate{Online: {}, Batch: {}},
	}
}

// SetServers replaces the list of servers. Runs on servers that are no longer listed continue. A server that restarted
// under the same ID is a new server.
func (s *Scheduler) SetServers(now time.Time, list []guavatraffic.Server, service guavatraffic.Service) []Decision {
	byID := make(map[string]*server, len(list))
	servers := make([]*server, 0, len(list))
	for _, l := range list {
		if l.Slots == 0 {
			l.Slots = service.Slots
		}
		known := s.byID[l.ID]
		if known == nil || known.Born != l.Born || known.Address != l.Address {
			known = newServer(l, service.Memory)
		}
		known.Server, known.memory, known.maxColdStarts = l, service.Memory, service.ColdStarts
		byID[l.ID] = known
		servers = append(servers, known)
	}
	for id, old := range s.byID {
		if byID[id] != old && !old.Leaving {
			s.crashes.ServerEnded(now, id)
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	s.servers, s.byID = servers, byID
	limitFailing(s.servers)
	return s.Tick(now)
}

// Submit adds a request and returns a decision about it. If the decision is Wait, a later call returns the next one.
func (s *Scheduler) Submit(now time.Time, r Request) []Decision {
	s.resetDecisions()
	w := newWaitingRequest(now, r, s.estimate(r.Class))
	if s.refuseCrashing(now, w) {
		return s.decisions
	}
	if r.Spare {
		if !s.hasSpareRoom(now) || !s.scheduleFree(now, w) {
			s.decide(Decision{Key: r.Key, Action: Refuse, After: maxRetryAfter, Reason: "no spare room"})
		}
		return s.decisions
	}
	if s.try(now, w) {
		return s.decisions
	}
	if r.Class == Batch {
		s.batch = insert(s.batch, w, compareBatch)
		s.dispatch(now)
		if _, running := s.runs[r.Key]; !running {
			s.decide(Decision{Key: r.Key, Action: Wait})
		}
		return s.decisions
	}
	s.admit(now, w)
	return s.decisions
}

// admit decides about a new online request.
func (s *Scheduler) admit(now time.Time, w *waitingRequest) {
	s.recordArrival(now)
	ahead := s.ahead(w)
	if ahead == 0 && s.schedule(now, w) {
		return
	}
	if !s.startsInTime(now, w, ahead) && (!w.Repeat || !s.reachable(now, w.Domain)) {
		if !w.Returning || !s.reachable(now, w.Domain) {
			s.refuse(now, w, "overload")
			return
		}
		s.late = append(s.late, w)
	} else {
		s.online = insert(s.online, w, compareOnline)
	}
	s.decide(Decision{Key: w.Key, Action: Wait})
}

// Started records the arrival of the first byte of a response, and the load that the server reported with it, if any.
func (s *Scheduler) Started(now time.Time, k Key, l *Load) {
	r := s.runs[k]
	if r == nil {
		return
	}
	if !r.responding {
		r.server.breakers[r.request.Domain].recordFirstByte(r.startedAt)
		s.paths.recordFirstByte(r.startedAt, r.request.Domain, r.server.Domain)
	}
	if !r.responding && !r.silent {
		s.estimate(r.request.Class).firstByteSeconds.add(now.Sub(r.startedAt).Seconds())
	}
	r.responding = true
	if l != nil {
		r.server.foreignLoad, r.server.loadReportedAt = max(l.Running+l.Waiting-len(r.server.runs), 0), now
		r.server.pace.report(now, l.Pace)
	}
}

// Begun records that the server of a run has got beyond the begin of its answer.
func (s *Scheduler) Begun(now time.Time, k Key) {
	if r := s.runs[k]; r != nil {
		s.recordCrash(now, r, Done, true)
	}
}

// Silent records that no byte of a response to a run has arrived in time. The run goes on, since its server may be sound:
// it keeps its slot, and its outcome counts as that of any other.
func (s *Scheduler) Silent(now time.Time, k Key) []Decision {
	s.resetDecisions()
	r := s.runs[k]
	if r == nil || r.silent {
		return nil
	}
	r.silent = true
	r.server.recordOutcome(now, r, TimedOut)
	if p := r.server.breakers[r.request.Domain]; p != nil {
		p.probing = false // the next probe need not wait for the end of this run
	}
	limitFailing(s.servers)
	s.recordCrash(now, r, TimedOut, false)
	s.dispatch(now)
	return s.decisions
}

// Release ends a run and returns the decisions about requests that can now start.
func (s *Scheduler) Release(now time.Time, p Report) []Decision {
	s.resetDecisions()
	r := s.runs[p.Key]
	if r == nil {
		return nil
	}
	s.removeRun(r)
	elapsed := now.Sub(r.startedAt)
	if p.Outcome == Done && elapsed > 0 && !r.silent && (p.Work > 0 || r.request.Class == Online) {
		e := s.estimate(r.request.Class)
		elapsed = time.Duration(float64(elapsed) / r.server.pace.mean())
		expected := e.duration(r.request.Work)
		if p.Work > 0 && e.secondsPerToken.known {
			expected = e.remaining(p.Work)
		}
		r.server.slowdown.add(elapsed.Seconds() / max(expected.Seconds(), 0.001))
		e.add(elapsed, r.request.Work, p.Work)
	}
	if !r.silent || p.Outcome != TimedOut { // else it is recorded already
		r.server.recordOutcome(now, r, p.Outcome)
		limitFailing(s.servers)
		s.paths.recordOutcome(now, r.request.Domain, r.server, p.Outcome)
		s.recordCrash(now, r, p.Outcome, p.Begun)
	}
	s.dispatch(now)
	return s.decisions
}

// Running returns the server and the request of a run, and whether there is one.
func (s *Scheduler) Running(k Key) (server string, q Request, ok bool) {
	r := s.runs[k]
	if r == nil {
		return "", Request{}, false
	}
	return r.server.ID, r.request, true
}

// Withdraw removes a waiting request, or ends its run without recording an outcome for the server.
func (s *Scheduler) Withdraw(now time.Time, k Key) []Decision {
	if _, ok := s.runs[k]; ok {
		return s.Release(now, Report{Key: k, Outcome: Cancelled})
	}
	s.resetDecisions()
	s.removeWaiting(func(w *waitingRequest) bool { return w.Key == k })
	return s.decisions
}

// Restore adds a run that began before its VM switched to this scheduler.
func (s *Scheduler) Restore(now time.Time, a ActiveRun) {
	server := s.byID[a.Server]
	if server == nil || s.runs[a.Request.Key] != nil {
		return
	}
	startedAt := now.Add(-a.Age)
	r := s.newRun(startedAt, newWaitingRequest(now, a.Request, s.estimate(a.Request.Class)), server)
	r.responding = true
	s.runs[r.request.Key] = r
	server.add(r)
}

// RemoveVM removes all waiting and running requests of a VM that has terminated or switched to another scheduler.
func (s *Scheduler) RemoveVM(now time.Time, vm string) []Decision {
	s.resetDecisions()
	for k, r := range s.runs {
		if k.VM == vm {
			s.removeRun(r)
		}
	}
	s.removeWaiting(func(w *waitingRequest) bool { return w.Key.VM == vm })
	s.dispatch(now)
	return s.decisions
}

// Tick dispatches waiting requests and refuses those that have waited too long.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.resetDecisions()
	s.dispatch(now)
	for i := 0; i < len(s.online); i++ {
		w := s.online[i]
		if w.reviewed || now.Before(w.reviewAt) {
			continue
		}
		w.reviewed = true
		if !w.Returning && !s.startsInTime(now, w, i) {
			s.online = slices.Delete(s.online, i, i+1)
			i--
			s.refuse(now, w, "overload")
		}
	}
	return s.decisions
}

// Pause returns the time after which Tick must be called, 0 if nothing waits. Slots become free without any call when a
// circuit breaker lets requests through again or a server's reported load expires.
func (s *Scheduler) Pause() time.Duration {
	switch {
	case len(s.online)+len(s.late) > 0:
		return onlineTickInterval
	case len(s.batch) > 0:
		return batchTickInterval
	}
	return 0
}

// estimate returns the estimate of a class. VMs of another version may submit requests of classes that this version does
// not know; they are handled as online requests.
func (s *Scheduler) estimate(c Class) *estimate {
	if e := s.estimates[c]; e != nil {
		return e
	}
	return s.estimates[Online]
}

func (s *Scheduler) resetDecisions() { s.decisions = nil }

func (s *Scheduler) decide(d Decision) {
	s.decisions = append(s.decisions, d)
	switch d.Action {
	case Run:
		s.counts.Granted++
	case Refuse:
		s.counts.Refused++
	case Yield:
		s.counts.Yields++
	case Wait:
	}
}

func insert(list []*waitingRequest, w *waitingRequest, compare func(a, b *waitingRequest) int) []*waitingRequest {
	i, _ := slices.BinarySearchFunc(list, w, compare)
	return slices.Insert(list, i, w)
}

func (s *Scheduler) removeWaiting(match func(w *waitingRequest) bool) {
	s.online = slices.DeleteFunc(s.online, match)
	s.late = slices.DeleteFunc(s.late, match)
	s.batch = slices.DeleteFunc(s.batch, match)
}

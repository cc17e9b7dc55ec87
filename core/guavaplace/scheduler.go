package guavaplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

const (
	// yieldSlack is the slack that lets a running batch item give its place to an online request and still end in time.
	yieldSlack = 2500 * time.Millisecond
	// nearlyDone is the part of a batch item that may be left for it to keep its place against online requests.
	nearlyDone = 0.2
	// leastSlack is the slack below which a batch item that has not begun counts as late.
	leastSlack = 500 * time.Millisecond
	// headroomTime is the time whose usual online arrivals find free places: batch items that would have to give way again
	// at once are not started.
	headroomTime = 60 * time.Millisecond
	// rateTime is the time over which the rate of online arrivals is averaged.
	rateTime = 400 * time.Millisecond
	// reviewShare of the time to start is when a waiting online request is judged once more. A refusal within a quarter
	// of the target lets the caller come back and still be served well.
	reviewShare = 5
	// overrun is the share of an average run that one past its expected end is expected to last still.
	overrun = 0.1
	// onlinePause bounds how late the refusal of a waiting request is, and batchPause how long a place may stay free that
	// batch items wait for.
	onlinePause = 10 * time.Millisecond
	batchPause  = 50 * time.Millisecond
	// startMargin is added to the expected time to the first byte, for the way between VM and server.
	startMargin = 10 * time.Millisecond
	// leastAfter and mostAfter bound the time after which a refused caller comes back.
	leastAfter = 300 * time.Millisecond
	mostAfter  = 1500 * time.Millisecond
	// returnShare is the part of the places that become free which returning callers may fill, so that they do not meet
	// a queue of their own.
	returnShare = 0.35
	// goldenRatio is the step of a sequence whose numbers modulo 1 stay far from each other.
	goldenRatio = 0.618033988749895
)

// Scheduler decides for the servers of one service. It is not safe for concurrent use.
type Scheduler struct {
	servers []*server // by ID
	byID    map[string]*server
	runs    map[Key]*run
	online  []*waiting // on time, in the order of their turn
	late    []*waiting // online, too late to be on time, by arrival
	batch   []*waiting // by the time they must start
	kinds   map[Class]*estimate
	paths   paths
	crashes *guavapoison.Tally
	// crashing are requests, by content, that turned out to crash servers since Crashing was called.
	crashing []uint64
	returns  time.Time // when the next refused caller may come back
	spread   float64   // place of the last one between the bounds

	arrivals float64 // a second, as of arrived
	arrived  time.Time

	counts Stats
	out    []Decision
}

// New returns a scheduler without servers.
func New() *Scheduler {
	return &Scheduler{
		byID: map[string]*server{}, runs: map[Key]*run{}, paths: newPaths(), crashes: guavapoison.NewTally(),
		kinds: map[Class]*estimate{Online: {}, Batch: {}},
	}
}

// SetServers replaces the list of servers. Runs on servers that are no longer listed go on. A server that started again
// under its ID is a new one.
func (s *Scheduler) SetServers(now time.Time, list []guavatraffic.Server, service guavatraffic.Service) []Decision {
	byID := make(map[string]*server, len(list))
	servers := make([]*server, 0, len(list))
	for _, l := range list {
		if l.Slots == 0 {
			l.Slots = service.Slots
		}
		old := s.byID[l.ID]
		if old == nil || old.Born != l.Born || old.Address != l.Address {
			old = newServer(l, service.Memory)
		}
		old.Server, old.memory = l, service.Memory
		byID[l.ID] = old
		servers = append(servers, old)
	}
	for id, old := range s.byID {
		if byID[id] != old && !old.Leaving {
			s.crashing = append(s.crashing, s.crashes.Ended(now, id)...)
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	s.servers, s.byID = servers, byID
	limit(s.servers)
	return s.Tick(now)
}

// Submit takes in a request and decides about it at once; a request that waits is decided about later.
func (s *Scheduler) Submit(now time.Time, r Request) []Decision {
	s.begin()
	w := newWaiting(now, r, s.kinds[r.Class])
	if r.Class == Batch {
		s.batch = insert(s.batch, w, compareBatch)
		s.fill(now)
		if _, runs := s.runs[r.Key]; !runs {
			s.decide(Decision{Key: r.Key, Action: Wait})
		}
		return s.out
	}
	s.admit(now, w)
	return s.out
}

// admit decides about a new online request.
func (s *Scheduler) admit(now time.Time, w *waiting) {
	s.arrive(now)
	if s.refuseCrashing(now, w) {
		return
	}
	ahead := s.ahead(w)
	if ahead == 0 && s.place(now, w) {
		return
	}
	if !s.startsInTime(now, w, ahead) {
		if !w.Returning || !s.reachable(now, w.Domain) {
			s.refuse(now, w, "overload")
			return
		}
		s.late = append(s.late, w)
	} else {
		s.online = insert(s.online, w, compareTurn)
	}
	s.decide(Decision{Key: w.Key, Action: Wait})
}

// Started says that the first byte of a run's answer has arrived, with the server's word about its load.
func (s *Scheduler) Started(now time.Time, k Key, l *Load) {
	r := s.runs[k]
	if r == nil {
		return
	}
	if !r.started {
		r.started = true
		s.kinds[r.request.Class].starts.add(now.Sub(r.began).Seconds())
	}
	if l != nil {
		r.server.foreign, r.server.heard = max(l.Running+l.Waiting-len(r.server.runs), 0), now
	}
}

// Release ends a run.
func (s *Scheduler) Release(now time.Time, p Report) []Decision {
	s.begin()
	r := s.runs[p.Key]
	if r == nil {
		return nil
	}
	s.drop(r)
	held := now.Sub(r.began)
	if p.Outcome == Done && held > 0 {
		e := s.kinds[r.request.Class]
		expected := e.length(r.request.Work)
		if p.Work > 0 && e.pace.known {
			expected = e.remaining(p.Work)
		}
		r.server.speed.add(held.Seconds() / max(expected.Seconds(), 0.001))
		e.add(held, r.request.Work, p.Work)
	}
	r.server.note(now, r, p.Outcome)
	limit(s.servers)
	s.paths.end(now, r.request.Domain, r.server, p.Outcome)
	s.tally(now, r, p.Outcome)
	s.fill(now)
	return s.out
}

// Withdraw removes a request that waits, or ends its run without a word about the server.
func (s *Scheduler) Withdraw(now time.Time, k Key) []Decision {
	if _, ok := s.runs[k]; ok {
		return s.Release(now, Report{Key: k, Outcome: Cancelled})
	}
	s.begin()
	s.remove(func(w *waiting) bool { return w.Key == k })
	return s.out
}

// Restore takes in a run that began before the VM turned to this scheduler.
func (s *Scheduler) Restore(now time.Time, h Held) {
	server := s.byID[h.Server]
	if server == nil || s.runs[h.Request.Key] != nil {
		return
	}
	began := now.Add(-h.Age)
	r := s.newRun(began, newWaiting(now, h.Request, s.kinds[h.Request.Class]), server)
	r.started = true
	s.runs[r.request.Key] = r
	server.add(r)
}

// Forget drops all that a VM has waiting or running, after it has gone or turned to another scheduler.
func (s *Scheduler) Forget(now time.Time, vm string) []Decision {
	s.begin()
	for k, r := range s.runs {
		if k.VM == vm {
			s.drop(r)
		}
	}
	s.remove(func(w *waiting) bool { return w.Key.VM == vm })
	s.fill(now)
	return s.out
}

// Tick decides about requests whose time has come.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.begin()
	s.fill(now)
	for i := 0; i < len(s.online); i++ {
		w := s.online[i]
		if w.reviewed || now.Before(w.review) {
			continue
		}
		w.reviewed = true
		if !w.Returning && !s.startsInTime(now, w, i) {
			s.online = slices.Delete(s.online, i, i+1)
			i--
			s.refuse(now, w, "overload")
		}
	}
	return s.out
}

// Pause returns after which time Tick must be called, 0 if nothing waits. Places become free without any call when a
// suspension or a server's word about its load runs out.
func (s *Scheduler) Pause() time.Duration {
	switch {
	case len(s.online)+len(s.late) > 0:
		return onlinePause
	case len(s.batch) > 0:
		return batchPause
	}
	return 0
}

func (s *Scheduler) begin() { s.out = nil }

func (s *Scheduler) decide(d Decision) {
	s.out = append(s.out, d)
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

// fill gives free places to what waits: online requests that can be on time, batch items that are nearly done, late online
// requests, other batch items that can be in time, and the rest.
func (s *Scheduler) fill(now time.Time) {
	s.expire(now)
	s.shed()
	none := shortage{}
	s.online = slices.DeleteFunc(s.online, func(w *waiting) bool {
		if none.covers(w) {
			return false
		}
		yields := s.counts.Yields
		ok := s.place(now, w)
		switch {
		case !ok:
			none.note(w)
		case s.counts.Yields != yields:
			clear(none) // the item that gave its place may have had more memory than the request took
		}
		return ok
	})
	none = shortage{}
	free := func(w *waiting) bool {
		if none.covers(w) {
			return false
		}
		ok := s.placeFree(now, w)
		if !ok {
			none.note(w)
		}
		return ok
	}
	s.batch = slices.DeleteFunc(s.batch, func(w *waiting) bool {
		return isNearlyDone(&w.Request) && !w.isLate(now) && free(w)
	})
	s.late = slices.DeleteFunc(s.late, free)
	if len(s.online) > 0 {
		return
	}
	if len(s.batch) == 0 {
		return
	}
	places := s.free(now) - int(math.Round(s.rate(now)*headroomTime.Seconds()))
	for _, late := range [...]bool{false, true} {
		s.batch = slices.DeleteFunc(s.batch, func(w *waiting) bool {
			if places <= 0 || w.isLate(now) != late || !free(w) {
				return false
			}
			places--
			return true
		})
	}
}

// shortage holds, for each failure domain, the least memory for which no place was found, so that the many requests that
// wait in an overload do not all look through the same full servers. Places taken meanwhile leave it true.
type shortage map[string]int

func (n shortage) covers(w *waiting) bool {
	least, ok := n[w.Domain]
	return ok && w.Tokens >= least
}

// note takes in a request that found no place. One that must avoid servers says nothing of the others.
func (n shortage) note(w *waiting) {
	if len(w.Avoid) > 0 {
		return
	}
	if least, ok := n[w.Domain]; !ok || w.Tokens < least {
		n[w.Domain] = w.Tokens
	}
}

// expire refuses requests that turned out to crash servers and those whose patience has ended, and moves online requests that
// can no longer be on time to the late ones.
func (s *Scheduler) expire(now time.Time) {
	if !s.crashes.IsEmpty() {
		is := func(w *waiting) bool { return s.refuseCrashing(now, w) }
		s.online, s.late = slices.DeleteFunc(s.online, is), slices.DeleteFunc(s.late, is)
	}
	s.online = slices.DeleteFunc(s.online, func(w *waiting) bool {
		if now.Before(w.startBy) {
			return false
		}
		s.late = append(s.late, w)
		return true
	})
	s.late = slices.DeleteFunc(s.late, func(w *waiting) bool {
		if now.Before(w.until) {
			return false
		}
		s.refuse(now, w, "patience")
		return true
	})
}

// placeFree runs a request on a free place.
func (s *Scheduler) placeFree(now time.Time, w *waiting) bool {
	var best *server
	var score float64
	for _, v := range s.servers {
		if !s.open(now, v, w.Domain) || !v.fits(now, &w.Request) {
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

func (s *Scheduler) start(now time.Time, w *waiting, v *server) {
	r := s.newRun(now, w, v)
	s.runs[w.Key] = r
	v.add(r)
	s.paths.begin(w.Domain, v.Domain)
	s.decide(Decision{
		Key: w.Key, Action: Run, Server: v.ID, Address: v.Address, Waited: now.Sub(w.arrived),
		Expected: s.kinds[w.Class].first(),
	})
}

func (s *Scheduler) newRun(began time.Time, w *waiting, v *server) *run {
	e := s.kinds[w.Class]
	length := e.length(w.Work)
	if w.Class == Batch {
		length = e.remaining(w.Work)
	}
	return &run{request: w.Request, server: v, began: began, end: began.Add(length), due: w.due}
}

func (s *Scheduler) drop(r *run) {
	delete(s.runs, r.request.Key)
	r.server.remove(r)
	s.paths.leave(r.request.Domain, r.server.Domain)
}

// reachable reports whether any server takes requests of VMs in the domain.
func (s *Scheduler) reachable(now time.Time, domain string) bool {
	return slices.ContainsFunc(s.servers, func(v *server) bool { return s.open(now, v, domain) })
}

// open reports whether a VM of the domain may send to the server.
func (s *Scheduler) open(now time.Time, v *server, domain string) bool {
	return v.open(now, domain) && s.paths.isOpen(now, domain, v.Domain)
}

func insert(list []*waiting, w *waiting, compare func(a, b *waiting) int) []*waiting {
	i, _ := slices.BinarySearchFunc(list, w, compare)
	return slices.Insert(list, i, w)
}

func (s *Scheduler) remove(is func(w *waiting) bool) {
	s.online = slices.DeleteFunc(s.online, is)
	s.late = slices.DeleteFunc(s.late, is)
	s.batch = slices.DeleteFunc(s.batch, is)
}

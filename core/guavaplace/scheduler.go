package guavaplace

import (
	"cmp"
	"slices"
	"time"

	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

const (
	// onlinePause bounds how late the refusal of a waiting request is, and batchPause how long a place may stay free that
	// batch items wait for.
	onlinePause = 10 * time.Millisecond
	batchPause  = 50 * time.Millisecond
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
	crashes *guavapoison.CrashCounter
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
		byID: map[string]*server{}, runs: map[Key]*run{}, paths: newPaths(), crashes: guavapoison.NewCrashCounter(),
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
			s.crashing = append(s.crashing, s.crashes.ServerEnded(now, id)...)
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
func (s *Scheduler) Restore(now time.Time, h ActiveRun) {
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

// RemoveVM drops all that a VM has waiting or running, after it has gone or turned to another scheduler.
func (s *Scheduler) RemoveVM(now time.Time, vm string) []Decision {
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

func insert(list []*waiting, w *waiting, compare func(a, b *waiting) int) []*waiting {
	i, _ := slices.BinarySearchFunc(list, w, compare)
	return slices.Insert(list, i, w)
}

func (s *Scheduler) remove(is func(w *waiting) bool) {
	s.online = slices.DeleteFunc(s.online, is)
	s.late = slices.DeleteFunc(s.late, is)
	s.batch = slices.DeleteFunc(s.batch, is)
}

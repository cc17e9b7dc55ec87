package guavaplace

import (
	"cmp"
	"slices"
	"time"

	"guavaridge/core/guavatraffic"
)

const (
	// defaultSlots is used for servers that announce no number of places.
	defaultSlots = 8
	// foreignTime is how long a server's own word about its load counts beside what this scheduler placed there.
	foreignTime = 400 * time.Millisecond
	// memoryShare of an engine's memory is given out, since lengths of outputs are estimates.
	memoryShare = 0.95
	// mostBeginning is the number of batch items on a server whose answers have not begun: engines read prompts in order of
	// arrival, and an online request waits for those before it. Two keep an engine reading while one of them begins.
	mostBeginning = 2
	// affinityKept is the number of prompt parts remembered for each server.
	affinityKept = 64
	// failureWeight is the weight of a new outcome in a server's share of failures.
	failureWeight = 0.2
	// failing is the share of failures from which a server gets one request at a time, as long as the servers limited so
	// hold at most limitedShare of the places of the service: the rest must carry the load.
	failing      = 0.5
	limitedShare = 0.5
	// slowFactor is how many times longer than usual a server's runs last until it counts as slow.
	slowFactor = 2.0
)

// run is a request on a server.
type run struct {
	request Request
	server  *server
	began   time.Time
	end     time.Time // expected
	due     time.Time // of a batch item
	started bool
}

// slack is the time between the expected end of a batch item and the time at which its result is due.
func (r *run) slack() time.Duration { return r.due.Sub(r.end) }

// share is the part of recent runs that ended in a certain way, a moving average.
type share float64

func (s *share) add(counts bool) {
	*s *= 1 - failureWeight
	if counts {
		*s += failureWeight
	}
}

type server struct {
	guavatraffic.Server
	memory   int
	runs     map[Key]*run
	tokens   int
	foreign  int // places used by others
	heard    time.Time
	paused   map[string]*suspension // by failure domain of the VM that sends
	failures share                  // of recent runs that failed
	errors   share                  // of recent runs that failed with an answer, which is known soon
	broke    time.Time              // when the last run that counts was cut off
	limited  bool                   // gets one request at a time
	speed    average                // length of runs as a multiple of what was expected
	parts    []uint64               // shared prompt parts seen lately, newest last
}

func newServer(s guavatraffic.Server, memory int) *server {
	return &server{Server: s, memory: memory, runs: map[Key]*run{}, paused: map[string]*suspension{}}
}

func (s *server) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

func (s *server) used(now time.Time) int {
	n := len(s.runs)
	if now.Sub(s.heard) < foreignTime {
		n += s.foreign
	}
	return n
}

// open reports whether the server itself takes requests of VMs in the domain.
func (s *server) open(now time.Time, domain string) bool {
	return !s.Leaving && s.paused[domain].isOpen(now)
}

// fits reports whether the server has a free place and memory for the request. One that is limited runs a single request.
func (s *server) fits(now time.Time, r *Request) bool {
	if r.Class == Batch && s.beginning() >= mostBeginning {
		return false
	}
	return s.fitsUpTo(now, r, s.most())
}

// most is the number of requests that the server runs at a time.
func (s *server) most() int {
	if s.limited {
		return 1
	}
	return s.slots()
}

// beginning returns the number of batch items whose answers have not begun.
func (s *server) beginning() int {
	n := 0
	for _, r := range s.runs {
		if r.request.Class == Batch && !r.started {
			n++
		}
	}
	return n
}

func (s *server) fitsUpTo(now time.Time, r *Request, most int) bool {
	if s.used(now) >= most || slices.Contains(r.Avoid, s.ID) {
		return false
	}
	return s.memory == 0 || len(s.runs) == 0 || float64(s.tokens+r.Tokens) <= memoryShare*float64(s.memory)
}

// score ranks servers that fit; less is better. The share of places in use leads. A server that is slow or fails part of
// its requests stands behind all that do not; a kept prompt part and the same failure domain decide between equals.
func (s *server) score(now time.Time, r *Request) float64 {
	v := float64(s.used(now)) / float64(s.slots())
	if s.isSlow() {
		v += 2
	}
	v += 2 * float64(s.failures)
	if s.Cold > 0 {
		v += 0.5
	}
	if r.Affinity != 0 && slices.Contains(s.parts, r.Affinity) {
		v -= 0.2
	}
	if s.Domain == r.Domain {
		v -= 0.1
	}
	return v
}

func (s *server) isSlow() bool { return s.speed.or(1) > slowFactor }

func (s *server) add(r *run) {
	s.runs[r.request.Key] = r
	s.tokens += r.request.Tokens
	if p := s.paused[r.request.Domain]; p != nil {
		p.trial = true
	}
	if a := r.request.Affinity; a != 0 {
		if i := slices.Index(s.parts, a); i >= 0 {
			s.parts = slices.Delete(s.parts, i, i+1)
		} else if len(s.parts) >= affinityKept {
			s.parts = slices.Delete(s.parts, 0, 1)
		}
		s.parts = append(s.parts, a)
	}
}

func (s *server) remove(r *run) {
	if _, ok := s.runs[r.request.Key]; !ok {
		return
	}
	delete(s.runs, r.request.Key)
	s.tokens -= r.request.Tokens
	if p := s.paused[r.request.Domain]; p != nil {
		p.trial = false
	}
}

// note takes in how a run ended.
func (s *server) note(now time.Time, r *run, o Outcome) {
	domain := r.request.Domain
	switch o {
	case Done:
		delete(s.paused, domain)
		s.failures.add(false)
		s.errors.add(false)
	case Failed:
		delete(s.paused, domain)
		s.failures.add(true)
		s.errors.add(true)
	case Shed:
		// The server is full with what others sent; its own word will say for how long.
		s.foreign, s.heard = max(s.foreign, s.slots()-len(s.runs)), now
	case Unreachable, ConnectionLost, TimedOut, Misdirected:
		// A server that stops ends all its runs together: they are one failure.
		if (o == ConnectionLost || o == TimedOut) && !r.began.Before(s.broke) {
			s.failures.add(true)
			s.errors.add(false)
			s.broke = now
		}
		p := s.paused[domain]
		if p == nil {
			p = &suspension{}
			s.paused[domain] = p
		}
		p.fail(now)
	case Cancelled:
	}
}

// limit chooses the servers that get one request at a time: those that fail most of their runs, the worst first.
//
// It answers the pattern in which a part of the servers fails most runs while the rest works, and the one in which most of
// them do: then a limit on all would refuse nearly everything, and sharing the load loses less.
func limit(servers []*server) {
	if !slices.ContainsFunc(servers, func(v *server) bool { return v.limited || v.failures > failing }) {
		return // the usual case, met after each run
	}
	worst := slices.SortedStableFunc(slices.Values(servers), func(a, b *server) int {
		return cmp.Compare(b.failures, a.failures)
	})
	left := 0.0
	for _, v := range servers {
		left += limitedShare * float64(v.slots())
	}
	for _, v := range worst {
		left -= float64(v.slots())
		v.limited = v.failures > failing && left >= 0
	}
}

package guavaplace

import (
	"cmp"
	"slices"
	"time"

	"guavaridge/core/guavatraffic"
)

const (
	// defaultSlots is the number of slots of a server that announces none.
	defaultSlots = 8
	// foreignLoadTTL is how long the load that a server reported counts in addition to the runs of this scheduler.
	foreignLoadTTL = 400 * time.Millisecond
	// memoryShare is the share of an engine's memory that is allocated. The rest covers output lengths above their
	// estimates.
	memoryShare = 0.95
	// maxUnstartedItems limits the batch items on a server whose responses have not begun. Engines process prompts in
	// order of arrival, so an online request waits for those ahead of it. With 2, an engine has a prompt to process
	// while the other item starts.
	maxUnstartedItems = 2
	// maxPrefixes is the number of prompt prefixes remembered for each server.
	maxPrefixes = 64
	// failureWeight is the weight of a new outcome in a server's failure ratio.
	failureWeight = 0.2
	// failureThreshold is the failure ratio above which a server is limited to one request at a time. The limited
	// servers may have at most maxLimitedShare of the slots of the service: the others must carry the load.
	failureThreshold = 0.5
	maxLimitedShare  = 0.5
	// slowFactor is the ratio of actual to expected run time above which a server counts as slow.
	slowFactor = 2.0
)

// run is a request that a server executes.
type run struct {
	request     Request
	server      *server
	startedAt   time.Time
	expectedEnd time.Time
	deadline    time.Time // of a batch item
	responding  bool
	silent      bool // no byte of a response has arrived in time
}

// slack is the time between the expected end of a batch item and its deadline.
func (r *run) slack() time.Duration { return r.deadline.Sub(r.expectedEnd) }

// movingRatio is the ratio of recent runs with a certain outcome, as an exponential moving average.
type movingRatio float64

func (s *movingRatio) add(matches bool) {
	*s *= 1 - failureWeight
	if matches {
		*s += failureWeight
	}
}

type server struct {
	guavatraffic.Server
	memory             int
	runs               map[Key]*run
	tokens             int
	foreignLoad        int // slots used by requests that this scheduler did not send, as of loadReportedAt
	loadReportedAt     time.Time
	breakers           map[string]*breaker // by failure domain of the sending VM
	failureRatio       movingRatio         // failed runs, with or without a response
	errorRatio         movingRatio         // runs that failed with a response; these fail fast
	lastConnectionLoss time.Time           // when a connection loss or timeout was last counted
	limited            bool                // runs one request at a time
	slowdown           average             // actual run time divided by the expected one
	pace               pace                // how long work takes there, as reported
	prefixes           []uint64            // recently used prompt prefixes, newest last
	coldStarts         []time.Time         // of the runs of the last second that began while the server was cold
	maxColdStarts      int                 // 0 if there is no limit
}

func newServer(s guavatraffic.Server, memory int) *server {
	return &server{Server: s, memory: memory, runs: map[Key]*run{}, breakers: map[string]*breaker{}}
}

func (s *server) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

func (s *server) used(now time.Time) int {
	n := len(s.runs)
	if now.Sub(s.loadReportedAt) < foreignLoadTTL {
		n += s.foreignLoad
	}
	return n
}

// accepts reports whether the server can take requests from VMs in the failure domain.
func (s *server) accepts(now time.Time, domain string) bool {
	return !s.Leaving && s.breakers[domain].allows(now) && s.toleratesStart(now)
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// coldWindow is the time over which the starts on a cold server are counted.
const coldWindow = time.Second

// toleratesStart reports whether the server is warm or has begun fewer runs in the last second than it tolerates while it is cold. A
// domain that comes back cold gets its share of the load as fast as its servers tolerate it.
func (s *server) toleratesStart(now time.Time) bool {
	if s.maxColdStarts == 0 || !s.isCold(now) {
		return true
	}
	recent := 0
	for _, at := range s.coldStarts {
		if now.Sub(at) < coldWindow {
			recent++
		}
	}
	return recent < s.maxColdStarts
}

// recordColdStart records the start of a run on a cold server.
func (s *server) recordColdStart(now time.Time) {
	if s.maxColdStarts == 0 || !s.isCold(now) {
		s.coldStarts = nil
		return
	}
	s.coldStarts = append(slices.DeleteFunc(s.coldStarts, func(at time.Time) bool { return now.Sub(at) >= coldWindow }), now)
}

// fits reports whether the server has a free slot and enough memory for the request, within its concurrency limit.
func (s *server) fits(now time.Time, r *Request) bool {
	if r.Class == Batch && s.unstartedItems() >= maxUnstartedItems {
		return false
	}
	return s.fitsUpTo(now, r, s.concurrencyLimit())
}

// concurrencyLimit is the number of requests that the server may run at a time.
func (s *server) concurrencyLimit() int {
	if s.limited {
		return 1
	}
	return s.slots()
}

// unstartedItems returns the number of batch items whose responses have not begun.
func (s *server) unstartedItems() int {
	n := 0
	for _, r := range s.runs {
		if r.request.Class == Batch && !r.responding {
			n++
		}
	}
	return n
}

func (s *server) fitsUpTo(now time.Time, r *Request, limit int) bool {
	if s.used(now) >= limit || slices.Contains(r.Avoid, s.ID) {
		return false
	}
	return s.memory == 0 || len(s.runs) == 0 || float64(s.tokens+r.Tokens) <= memoryShare*float64(s.memory)
}

// score ranks servers that fit; lower is better. The share of slots in use dominates, or for online requests, where servers report
// their pace, how soon the request would be done. A slow or failing server ranks behind healthy ones; a cached prefix and the same
// failure domain break ties.
func (s *server) score(now time.Time, r *Request) float64 {
	v := float64(s.used(now)) / float64(s.slots())
	if r.Class != Batch && s.pace.isKnown() {
		v = s.pace.at(now) * (1 + v) / 2
	}
	if s.isSlow() {
		v += 2
	}
	v += 2 * float64(s.failureRatio)
	if s.isCold(now) {
		v += 0.5
	}
	if r.Affinity != 0 && slices.Contains(s.prefixes, r.Affinity) {
		v -= 0.2
	}
	if s.Domain == r.Domain {
		v -= 0.1
	}
	return v
}

func (s *server) isSlow() bool { return s.slowdown.or(1) > slowFactor }

func (s *server) add(r *run) {
	s.runs[r.request.Key] = r
	s.tokens += r.request.Tokens
	if p := s.breakers[r.request.Domain]; p != nil {
		p.probing = true
	}
	if a := r.request.Affinity; a != 0 {
		if i := slices.Index(s.prefixes, a); i >= 0 {
			s.prefixes = slices.Delete(s.prefixes, i, i+1)
		} else if len(s.prefixes) >= maxPrefixes {
			s.prefixes = slices.Delete(s.prefixes, 0, 1)
		}
		s.prefixes = append(s.prefixes, a)
	}
}

func (s *server) remove(r *run) {
	if _, ok := s.runs[r.request.Key]; !ok {
		return
	}
	delete(s.runs, r.request.Key)
	s.tokens -= r.request.Tokens
	if p := s.breakers[r.request.Domain]; p != nil {
		p.probing = false
	}
}

// recordOutcome updates the server's health with the outcome of a run.
func (s *server) recordOutcome(now time.Time, r *run, o Outcome) {
	domain := r.request.Domain
	switch o {
	case Done:
		delete(s.breakers, domain)
		s.failureRatio.add(false)
		s.errorRatio.add(false)
	case Failed:
		delete(s.breakers, domain)
		s.failureRatio.add(true)
		s.errorRatio.add(true)
	case Shed:
		// The server is assumed to be filled by requests that this scheduler did not send, until its next load report.
		s.foreignLoad, s.loadReportedAt = max(s.foreignLoad, s.slots()-len(s.runs)), now
	case Unreachable, ConnectionLost, TimedOut, Misdirected, Malformed:
		// A server that stops interrupts all of its runs at once, which counts as one failure.
		if (o == ConnectionLost || o == TimedOut || o == Malformed) && !r.startedAt.Before(s.lastConnectionLoss) {
			s.failureRatio.add(true)
			s.errorRatio.add(false)
			s.lastConnectionLoss = now
		}
		p := s.breakers[domain]
		if p == nil {
			p = &breaker{}
			s.breakers[domain] = p
		}
		p.fail(now)
	case Cancelled:
	}
}

// limitFailing chooses the servers that run one request at a time: those that fail most of their runs, highest failure
// ratio first.
//
// The limit keeps requests away from a few failing servers while the rest works. When most servers fail, a limit on all
// of them would refuse nearly all requests, which loses more than spreading the load over them.
func limitFailing(servers []*server) {
	if !slices.ContainsFunc(servers, func(v *server) bool { return v.limited || v.failureRatio > failureThreshold }) {
		return // the common case, checked after each run
	}
	byFailures := slices.SortedStableFunc(slices.Values(servers), func(a, b *server) int {
		return cmp.Compare(b.failureRatio, a.failureRatio)
	})
	remaining := 0.0
	for _, v := range servers {
		remaining += maxLimitedShare * float64(v.slots())
	}
	for _, v := range byFailures {
		remaining -= float64(v.slots())
		v.limited = v.failureRatio > failureThreshold && remaining >= 0
	}
}

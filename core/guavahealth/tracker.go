package guavahealth

import (
	"slices"
	"sync"
	"time"

	"guavaridge/core/guavaconfig"
)

const (
	// failuresToEject is the number of consecutive failures after which a server is ejected.
	failuresToEject = 3
	// successesToClear is the number of consecutive successes after which a suspect server is healthy again.
	successesToClear = 3
	// errorRateToEject is the fraction of failed attempts at which a server is ejected, once minSamples attempts have
	// been observed.
	errorRateToEject = 0.5
	minSamples       = 10
	// smoothing is the weight of one attempt in the moving averages.
	smoothing = 0.1
	// A server is slow when its latency is more than slowFactor times the median of its pool and at least slowFloor,
	// below which differences do not matter to callers.
	slowFactor = 4
	slowFloor  = 200 * time.Millisecond
	// medianInterval is the minimum time between computations of a pool's median, to limit their cost.
	medianInterval = time.Second
	// ejectionBase is the duration of the first ejection. It doubles with each further consecutive ejection up to
	// ejectionMax.
	ejectionBase = 2 * time.Second
	ejectionMax  = 60 * time.Second
	// probationDuration is the time in which a server's share of traffic grows from probationShare to 1 after an
	// ejection.
	probationDuration = 10 * time.Second
	probationShare    = 0.05
	// penaltyBase is the penalty after one failure. It doubles with each further consecutive failure up to penaltyMax.
	// A penalty is applied for as long as its own length after the last failure.
	penaltyBase = 250 * time.Millisecond
	penaltyMax  = 8 * time.Second
	// failureWindow is the time after which earlier failures no longer count as consecutive, so that a rarely used
	// server is not ejected for single failures hours apart.
	failureWindow = 30 * time.Second
)

// Outcome is the result of one attempt, as far as it concerns the health of the server.
type Outcome struct {
	// Failed is true for connection errors, crashes, timeouts and 5xx statuses.
	Failed bool
	// Latency is the time to the first token, or to the response of a plain service; 0 when unknown.
	Latency time.Duration
}

// Change is a transition of a server between states.
type Change struct {
	Server   string
	From, To State
}

// Tracker holds the health of all backend servers as seen by this VM. It may be used concurrently.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*server
	pools    map[string]*pool
	onChange func(Change)
}

type server struct {
	state          State
	pools          []string
	failures       int // consecutive
	successes      int // consecutive
	samples        int
	errorRate      float64
	latency        float64 // seconds
	lastFailure    time.Time
	ejectedUntil   time.Time // end of the ejection
	probationStart time.Time // start of the probation
	ejections      int       // consecutive
}

type pool struct {
	members  []string
	median   float64 // seconds
	medianAt time.Time
}

// NewTracker returns a tracker without servers. The tracker calls onChange, if not nil, on each state transition. It
// holds its lock during the call, so onChange must not call the tracker.
func NewTracker(onChange func(Change)) *Tracker {
	return &Tracker{servers: map[string]*server{}, pools: map[string]*pool{}, onChange: onChange}
}

// Configure sets the servers and their pools. A pool consists of the servers of a service or model in one failure
// domain. Servers that were configured before keep their health.
func (t *Tracker) Configure(servers []guavaconfig.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldServers := t.servers
	t.servers, t.pools = make(map[string]*server, len(servers)), map[string]*pool{}
	for _, b := range servers {
		s := oldServers[b.Name]
		if s == nil {
			s = &server{state: chart.Start()}
		}
		s.pools = poolNames(b)
		for _, name := range s.pools {
			p := t.pools[name]
			if p == nil {
				p = &pool{}
				t.pools[name] = p
			}
			p.members = append(p.members, b.Name)
		}
		t.servers[b.Name] = s
	}
}

func poolNames(b guavaconfig.BackendServer) []string {
	if b.Service != "" {
		return []string{b.Domain + "/service/" + b.Service}
	}
	names := make([]string, 0, len(b.Models))
	for _, m := range b.Models {
		names = append(names, b.Domain+"/model/"+m)
	}
	return names
}

// Observe records the outcome of an attempt.
func (t *Tracker) Observe(name string, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return
	}
	now := time.Now()
	t.applyElapsed(name, s, now)
	s.samples++
	if o.Failed {
		s.failures, s.successes, s.lastFailure = s.failures+1, 0, now
		s.errorRate += smoothing * (1 - s.errorRate)
	} else {
		s.failures, s.successes = 0, s.successes+1
		s.errorRate -= smoothing * s.errorRate
		if v := o.Latency.Seconds(); v > 0 && s.latency == 0 {
			s.latency = v
		} else if v > 0 {
			s.latency += smoothing * (v - s.latency)
		}
	}
	t.updateState(name, s, o, now)
}

func (t *Tracker) updateState(name string, s *server, o Outcome, now time.Time) {
	unhealthy := s.failures >= failuresToEject ||
		s.samples >= minSamples && s.errorRate >= errorRateToEject ||
		s.samples >= minSamples && t.isSlow(s, now)
	switch s.state {
	case Healthy:
		if o.Failed || unhealthy {
			t.transition(name, s, eventFault)
		}
		if unhealthy {
			t.eject(name, s, now)
		}
	case Suspect:
		if unhealthy {
			t.eject(name, s, now)
		} else if s.successes >= successesToClear {
			t.transition(name, s, eventClear)
		}
	case Probation:
		if o.Failed {
			t.eject(name, s, now)
			if s.state == Probation {
				t.transition(name, s, eventFault)
			}
		}
	}
}

// eject ejects the server unless more than a third of one of its pools would then be ejected.
func (t *Tracker) eject(name string, s *server, now time.Time) {
	for _, n := range s.pools {
		p, ejected := t.pools[n], 1
		for _, m := range p.members {
			if t.servers[m].state == Ejected {
				ejected++
			}
		}
		if 3*ejected > len(p.members) {
			return
		}
	}
	t.transition(name, s, eventEject)
	s.ejectedUntil = now.Add(min(ejectionBase<<min(s.ejections, 10), ejectionMax))
	s.ejections++
}

// isSlow reports whether the server's latency is at least slowFloor and exceeds slowFactor times the median of one of
// its pools.
func (t *Tracker) isSlow(s *server, now time.Time) bool {
	if s.latency < slowFloor.Seconds() {
		return false
	}
	for _, n := range s.pools {
		p := t.pools[n]
		if now.Sub(p.medianAt) >= medianInterval {
			p.medianAt, p.median = now, t.median(p)
		}
		if p.median > 0 && s.latency > slowFactor*p.median {
			return true
		}
	}
	return false
}

func (t *Tracker) median(p *pool) float64 {
	var v []float64
	for _, m := range p.members {
		if l := t.servers[m].latency; l > 0 {
			v = append(v, l)
		}
	}
	// With fewer than 3 servers the median does not show which one is slow.
	if len(v) < 3 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// applyElapsed applies the transitions that depend on time alone: the ends of the failure window, an ejection and a
// probation.
func (t *Tracker) applyElapsed(name string, s *server, now time.Time) {
	if now.Sub(s.lastFailure) > failureWindow {
		s.failures = 0
	}
	if s.state == Ejected && !now.Before(s.ejectedUntil) {
		t.transition(name, s, eventRetry)
		s.probationStart = now
		// The averages are reset because they describe the time before the ejection.
		s.failures, s.successes, s.samples, s.errorRate, s.latency = 0, 0, 0, 0, 0
	}
	if s.state == Probation && now.Sub(s.probationStart) >= probationDuration && s.successes >= successesToClear {
		t.transition(name, s, eventClear)
		s.ejections = 0
	}
}

func (t *Tracker) transition(name string, s *server, e event) {
	next, ok := chart.Next(s.state, e)
	if !ok || next == s.state {
		return
	}
	c := Change{Server: name, From: s.state, To: next}
	s.state = next
	if t.onChange != nil {
		t.onChange(c)
	}
}

// State returns the state of a server. An unknown server is healthy.
func (t *Tracker) State(name string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return Healthy
	}
	t.applyElapsed(name, s, time.Now())
	return s.state
}

// Share returns the share of its normal traffic that a server may receive, 0 to 1, and the penalty to add to its
// predicted time to first token. The penalty diverts traffic from a failing server that is not ejected because too much
// of its pool is ejected. It expires, so that the server receives requests again.
func (t *Tracker) Share(name string) (share float64, penalty time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return 1, 0
	}
	now := time.Now()
	t.applyElapsed(name, s, now)
	if s.failures > 0 {
		penalty = min(penaltyBase<<min(s.failures-1, 10), penaltyMax)
		if now.Sub(s.lastFailure) > penalty {
			penalty = 0
		}
	}
	switch s.state {
	case Ejected:
		return 0, penalty
	case Probation:
		return min(1, probationShare+(1-probationShare)*float64(now.Sub(s.probationStart))/float64(probationDuration)), penalty
	}
	return 1, penalty
}

package guavaplace

import "time"

const (
	// minBackoff and maxBackoff bound the backoff between a failure and the next probe.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// pathFailureWindow is the time within which pathFailureServers servers of a failure domain must be found
	// unreachable from another domain to suspend the path between the two.
	pathFailureWindow  = time.Second
	pathFailureServers = 2
)

// breaker is a circuit breaker for a server or a path. After each backoff, it lets a single request through as a probe,
// and after the first byte of its response the next one. A complete response removes the breaker.
type breaker struct {
	until   time.Time
	backoff time.Duration
	probing bool
}

// allows reports whether a request may be sent. A nil breaker allows all.
func (p *breaker) allows(now time.Time) bool {
	return p == nil || (!now.Before(p.until) && !p.probing)
}

// fail starts a backoff, twice as long as the last one up to maxBackoff. Failures during a backoff are ignored.
func (p *breaker) fail(now time.Time) {
	if now.Before(p.until) {
		return
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.until = now.Add(p.backoff)
}

// recordFirstByte ends a probe whose response has begun. Responses to requests that were sent before the last failure
// are ignored.
func (p *breaker) recordFirstByte(startedAt time.Time) {
	if p != nil && !startedAt.Before(p.until) {
		p.probing = false
	}
}

// path leads from the VMs of one failure domain to the servers of another.
type path struct{ from, to string }

// paths detects network partitions between failure domains. A single unreachable server says little about the network;
// once several servers of a domain are unreachable from another at the same time, the rest need not be probed one by
// one.
type paths struct {
	failed   map[path]map[string]time.Time // last time that each server was unreachable, by server ID
	breakers map[path]*breaker
}

func newPaths() paths {
	return paths{failed: map[path]map[string]time.Time{}, breakers: map[path]*breaker{}}
}

func (p paths) allows(now time.Time, from, to string) bool {
	return p.breakers[path{from, to}].allows(now)
}

// startProbe marks a request as the probe of a suspended path. endProbe ends the probe, and recordOutcome updates the
// state of the path with the outcome of a request.
func (p paths) startProbe(from, to string) {
	if s := p.breakers[path{from, to}]; s != nil {
		s.probing = true
	}
}

func (p paths) endProbe(from, to string) {
	if s := p.breakers[path{from, to}]; s != nil {
		s.probing = false
	}
}

// recordFirstByte records that the response to a request that was sent at startedAt has begun.
func (p paths) recordFirstByte(startedAt time.Time, from, to string) {
	p.breakers[path{from, to}].recordFirstByte(startedAt)
}

func (p paths) recordOutcome(now time.Time, from string, v *server, o Outcome) {
	key := path{from, v.Domain}
	s := p.breakers[key]
	switch o {
	case Done, Failed, Shed, Misdirected:
		delete(p.breakers, key)
		delete(p.failed, key)
	case Unreachable:
		if from == v.Domain {
			return
		}
		if p.failed[key] == nil {
			p.failed[key] = map[string]time.Time{}
		}
		p.failed[key][v.ID] = now
		for id, at := range p.failed[key] {
			if now.Sub(at) > pathFailureWindow {
				delete(p.failed[key], id)
			}
		}
		if s == nil && len(p.failed[key]) >= pathFailureServers {
			s = &breaker{}
			p.breakers[key] = s
		}
		if s != nil {
			s.fail(now)
		}
	case Cancelled, ConnectionLost, TimedOut, Malformed:
	}
}

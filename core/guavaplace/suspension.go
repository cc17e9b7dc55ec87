package guavaplace

import "time"

const (
	// leastSuspension and mostSuspension bound the pause after failures before a single request tries again.
	leastSuspension = 200 * time.Millisecond
	mostSuspension  = 2 * time.Second
	// pathWindow is the time within which failures of different servers count together against the path to their failure
	// domain, and pathServers how many of them it takes.
	pathWindow  = time.Second
	pathServers = 2
)

// suspension keeps requests away from what failed. After each pause a single request tries again.
type suspension struct {
	until time.Time
	pause time.Duration
	trial bool
}

// isOpen reports whether a request may go ahead. A nil suspension is open.
func (p *suspension) isOpen(now time.Time) bool {
	return p == nil || (!now.Before(p.until) && !p.trial)
}

// fail begins a pause, twice as long as the last one.
func (p *suspension) fail(now time.Time) {
	if now.Before(p.until) {
		return
	}
	p.pause = min(max(2*p.pause, leastSuspension), mostSuspension)
	p.until = now.Add(p.pause)
}

// path leads from the VMs of one failure domain to the servers of another.
type path struct{ from, to string }

// paths tells domains that are cut off from each other: a request that finds one server unreachable says little, but
// several servers of a domain that cannot be reached from another at the same time need not be tried one by one.
type paths struct {
	failed    map[path]map[string]time.Time // when servers could not be reached
	suspended map[path]*suspension
}

func newPaths() paths {
	return paths{failed: map[path]map[string]time.Time{}, suspended: map[path]*suspension{}}
}

func (p paths) isOpen(now time.Time, from, to string) bool {
	return p.suspended[path{from, to}].isOpen(now)
}

// begin notes that a request goes along a path, leave that it no longer does, and end how that went.
func (p paths) begin(from, to string) {
	if s := p.suspended[path{from, to}]; s != nil {
		s.trial = true
	}
}

func (p paths) leave(from, to string) {
	if s := p.suspended[path{from, to}]; s != nil {
		s.trial = false
	}
}

func (p paths) end(now time.Time, from string, v *server, o Outcome) {
	key := path{from, v.Domain}
	s := p.suspended[key]
	switch o {
	case Done, Failed, Shed, Misdirected:
		delete(p.suspended, key)
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
			if now.Sub(at) > pathWindow {
				delete(p.failed[key], id)
			}
		}
		if s == nil && len(p.failed[key]) >= pathServers {
			s = &suspension{}
			p.suspended[key] = s
		}
		if s != nil {
			s.fail(now)
		}
	case Cancelled, ConnectionLost, TimedOut:
	}
}

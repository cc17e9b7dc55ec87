package guavafill

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// LimiterSet holds the Limiters of the backend servers to which a VM sends batch work. It is safe for concurrent use.
type LimiterSet struct {
	mu         sync.Mutex
	limiters   map[string]*Limiter
	lastLimits map[string]int
	changed    chan struct{}
}

// NewLimiterSet returns a LimiterSet without servers.
func NewLimiterSet() *LimiterSet {
	return &LimiterSet{limiters: make(map[string]*Limiter), lastLimits: make(map[string]int), changed: make(chan struct{})}
}

// SetServers sets the servers to which this VM sends batch work.
func (p *LimiterSet) SetServers(servers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range servers {
		if p.limiters[s] == nil {
			p.limiters[s] = &Limiter{}
		}
	}
	for s := range p.limiters {
		if !slices.Contains(servers, s) {
			delete(p.limiters, s)
			delete(p.lastLimits, s)
		}
	}
	p.notify()
}

// Arrive records online requests sent to a server by any VM.
func (p *LimiterSet) Arrive(server string, n int) {
	p.update(server, func(l *Limiter, now time.Time) { l.Arrive(n, now) })
}

// Depart records the end of online requests sent to a server by any VM. Callers report either all departures or none.
func (p *LimiterSet) Depart(server string, n int) {
	p.update(server, func(l *Limiter, now time.Time) { l.Depart(n, now) })
}

// Report records a load report.
func (p *LimiterSet) Report(server string, running, waiting, slots int, age time.Duration) {
	p.update(server, func(l *Limiter, now time.Time) { l.Report(running, waiting, slots, age, now) })
}

// SetLatencyRatio records the ratio of the online first-token latency of a server's model to its target.
func (p *LimiterSet) SetLatencyRatio(server string, ratio float64) {
	p.update(server, func(l *Limiter, _ time.Time) { l.SetLatencyRatio(ratio) })
}

// SetUrgency records the urgency of the most urgent job on a server, 0 to 1.
func (p *LimiterSet) SetUrgency(server string, urgency float64) {
	p.update(server, func(l *Limiter, _ time.Time) { l.SetUrgency(urgency) })
}

// SetInFlight records the number of batch streams in flight on a server from now on.
func (p *LimiterSet) SetInFlight(server string, streams int) {
	p.update(server, func(l *Limiter, now time.Time) { l.SetInFlight(streams, now) })
}

// OnlineRunning returns how many of the running streams in a server's load report are online requests.
func (p *LimiterSet) OnlineRunning(server string, running int, age time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.limiters[server]; l != nil {
		return l.OnlineRunning(running, age, time.Now())
	}
	return running
}

// update changes the state of a Limiter, and notifies the waiters when its limit changes.
func (p *LimiterSet) update(server string, change func(*Limiter, time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limiters[server]
	if l == nil {
		return
	}
	now := time.Now()
	change(l, now)
	if n := l.Limit(now); n != p.lastLimits[server] {
		p.lastLimits[server] = n
		p.notify()
	}
}

// notify wakes all that wait on Changed, by closing the channel. The caller holds p.mu.
func (p *LimiterSet) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Grants returns the maximum number of streams for each server, ordered by server name.
func (p *LimiterSet) Grants() []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	grants := make([]Grant, 0, len(p.limiters))
	for s, l := range p.limiters {
		p.lastLimits[s] = l.Limit(now)
		grants = append(grants, Grant{Server: s, Streams: p.lastLimits[s]})
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Server, b.Server) })
	return grants
}

// Changed returns a channel that is closed when a grant changes after the call.
func (p *LimiterSet) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

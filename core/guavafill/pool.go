package guavafill

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// LimiterSet holds the Fillers of the backend servers that a VM sends batch work to. It may be used concurrently.
type LimiterSet struct {
	mu      sync.Mutex
	fillers map[string]*Limiter
	last    map[string]int
	changed chan struct{}
}

// NewLimiterSet returns a Pool without servers.
func NewLimiterSet() *LimiterSet {
	return &LimiterSet{fillers: make(map[string]*Limiter), last: make(map[string]int), changed: make(chan struct{})}
}

// SetServers names the servers that this VM sends batch work to from now on.
func (p *LimiterSet) SetServers(servers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range servers {
		if p.fillers[s] == nil {
			p.fillers[s] = &Limiter{}
		}
	}
	for s := range p.fillers {
		if !slices.Contains(servers, s) {
			delete(p.fillers, s)
			delete(p.last, s)
		}
	}
	p.notify()
}

// Arrive records online requests sent to a server by any VM.
func (p *LimiterSet) Arrive(server string, n int) {
	p.with(server, func(f *Limiter, now time.Time) { f.Arrive(n, now) })
}

// Depart records the end of online requests sent to a server by any VM. It is called for all of them or for none.
func (p *LimiterSet) Depart(server string, n int) {
	p.with(server, func(f *Limiter, now time.Time) { f.Depart(n, now) })
}

// Report records a load report.
func (p *LimiterSet) Report(server string, running, waiting, slots int, age time.Duration) {
	p.with(server, func(f *Limiter, now time.Time) { f.Report(running, waiting, slots, age, now) })
}

// SetLatencyRatio records the online first-token latency of a server's model as a part of its target.
func (p *LimiterSet) SetLatencyRatio(server string, part float64) {
	p.with(server, func(f *Limiter, _ time.Time) { f.SetLatencyRatio(part) })
}

// Urge records the urgency of the jobs on a server.
func (p *LimiterSet) Urge(server string, urgency float64) {
	p.with(server, func(f *Limiter, _ time.Time) { f.SetUrgency(urgency) })
}

// Holding records the batch streams that a server holds from now on.
func (p *LimiterSet) Holding(server string, streams int) {
	p.with(server, func(f *Limiter, now time.Time) { f.SetInFlight(streams, now) })
}

// OnlineRunning returns how many running streams of a server's report that are online requests.
func (p *LimiterSet) OnlineRunning(server string, running int, age time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fillers[server]; f != nil {
		return f.OnlineRunning(running, age, time.Now())
	}
	return running
}

// with changes a Filler and tells the waiters when its streams change by it.
func (p *LimiterSet) with(server string, change func(*Limiter, time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fillers[server]
	if f == nil {
		return
	}
	now := time.Now()
	change(f, now)
	if n := f.Limit(now); n != p.last[server] {
		p.last[server] = n
		p.notify()
	}
}

// notify closes the present channel. p.mu is held.
func (p *LimiterSet) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Grants returns the streams that each server may hold now, in the order of the names.
func (p *LimiterSet) Grants() []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	grants := make([]Grant, 0, len(p.fillers))
	for s, f := range p.fillers {
		p.last[s] = f.Limit(now)
		grants = append(grants, Grant{Server: s, Streams: p.last[s]})
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

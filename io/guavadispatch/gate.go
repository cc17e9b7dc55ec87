package guavadispatch

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"guavaridge/core/guavaqueue"
	"guavaridge/core/guavaroute"
)

const (
	// startPerServer is the number of requests per backend server that the VMs of a domain start with, unless the
	// servers have reported more slots.
	startPerServer = 16
	// servicePerServer is the same for plain services on each VM. They report no slots, so only their refusals
	// (429, 503) limit them.
	servicePerServer = 64
	// awayPart is the part of its own window that a VM starts with in other domains when its own has no place.
	awayPart = 0.25
	// leastWindow keeps a VM probing for capacity.
	leastWindow = 4
)

// gates holds the admission queue of each model and plain service.
type gates struct {
	mu   sync.Mutex
	open map[string]*gate
}

// gate is an admission queue with the callers that wait in it.
type gate struct {
	mu    sync.Mutex
	queue *guavaqueue.Queue[chan error]
}

func (p *Pipeline) gate(c *call) *gate {
	name := guavaroute.PoolName(c.route.Service, c.route.Model)
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	g := p.gates.open[name]
	if g == nil {
		wait := p.options.queueWait
		if c.Route.Service != "" {
			// The target of the first token says nothing about plain services: their deadline alone counts.
			wait = math.MaxInt64
		}
		size := p.startWindow(c.route)
		away := guavaqueue.NewRestartingWindow(size*awayPart, leastWindow)
		g = &gate{queue: guavaqueue.New[chan error](guavaqueue.NewWindow(size, leastWindow), away, p.options.queueLength, wait)}
		p.gates.open[name] = g
	}
	return g
}

// startWindow is this VM's part of the domain's servers. Congestion corrects it.
func (p *Pipeline) startWindow(q guavaroute.Request) float64 {
	own, all := p.router.ServerCounts(q)
	if own == 0 {
		own = all
	}
	if q.Service != "" {
		return float64(own * servicePerServer)
	}
	share := 1
	if f, ok := p.snapshot().Domain(p.domain); ok && f.VMSlots > 0 {
		share = f.VMSlots
	}
	return float64(max(p.router.Slots(q), own*startPerServer)) / float64(share)
}

// enter waits for a place to run. The caller leaves it afterwards.
func (p *Pipeline) enter(ctx context.Context, c *call) (*place, error) {
	own, all := p.router.ServerCounts(c.route)
	if all == 0 {
		return nil, c.fail(503, "no_server", time.Second, errNoServer)
	}
	g, fast := p.gate(c), p.router.ServiceTimeP5(c.route)
	it := &guavaqueue.Item[chan error]{Account: c.Account, Weight: p.weight(c.Account), Deadline: c.Deadline, Value: make(chan error, 1)}
	g.mu.Lock()
	// Plain services are limited by their refusals alone, which say nothing about other domains.
	g.queue.AllowCrossDomain(own > 0 && all > own && c.Route.Service == "")
	verdict, evicted, wait := g.queue.Offer(it, fast)
	g.mu.Unlock()
	if evicted != nil {
		evicted.Value <- errEvicted
	}
	switch verdict {
	case guavaqueue.Run:
		return &place{gate: g, away: it.Away}, nil
	case guavaqueue.Full:
		return nil, c.fail(503, "queue_full", max(wait, time.Second), errFull)
	case guavaqueue.Late:
		return nil, c.fail(504, "deadline", wait, fmt.Errorf("deadline cannot be met: predicted wait %v, least time to run %v", wait, fast))
	case guavaqueue.Queued:
	}
	p.counters.queued.Add(1)
	late := time.NewTimer(time.Until(c.Deadline) - fast)
	defer late.Stop()
	var err error
	select {
	case err = <-it.Value:
		if err != nil {
			return nil, c.fail(503, "queue_full", max(wait, time.Second), err)
		}
		return &place{gate: g, away: it.Away}, nil
	case <-late.C:
		err = c.fail(504, "deadline", 0, errLate)
	case <-ctx.Done():
		err = p.ended(ctx, c)
	}
	g.mu.Lock()
	left := g.queue.Remove(it)
	g.mu.Unlock()
	if !left && <-it.Value == nil {
		(&place{gate: g, away: it.Away}).leave()
	}
	return nil, err
}

func (p *Pipeline) weight(account string) float64 {
	if a, ok := p.snapshot().Account(account); ok {
		return a.Weight
	}
	return 1
}

// place is the right to run one request.
type place struct {
	*gate
	away bool
}

// leave gives the place back and lets waiting requests in.
func (l *place) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.End(l.away)
	l.admit()
}

// first tells the window whether a request found congestion.
func (l *place) first(congested bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.FirstToken(l.away, congested)
	l.admit()
}

// admit lets waiting requests in as far as the window allows.
func (g *gate) admit() {
	for it := g.queue.Next(); it != nil; it = g.queue.Next() {
		it.Value <- nil
	}
}

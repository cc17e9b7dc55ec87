// Package guavapoll polls the engines that a VM is responsible for in its failure domain, for load reports and cache
// events.
package guavapoll

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaback"
)

// Polling parameters.
const (
	// Period is the interval between polls of an engine.
	Period = time.Second
	// roundTimeout is below Period, so that an unresponsive engine does not delay the next round.
	roundTimeout = 800 * time.Millisecond
	// maxConcurrentPolls limits the number of polls in flight.
	maxConcurrentPolls = 16
)

// Observer receives the results of polls.
type Observer interface {
	// ObserveLoad is called with each load report.
	ObserveLoad(server string, l guavaback.Load)
	// ObserveEvents is called with cache events in the order of their sequence numbers.
	ObserveEvents(server string, events []guavaback.CacheEvent)
	// ObservePollFailure is called when an engine fails to respond to a poll for its load.
	ObservePollFailure(server string)
}

// Poller polls the engines of its failure domain whose polling VM it is. Use New.
type Poller struct {
	client   guavaback.Client
	snapshot func() *guavaconfig.Snapshot
	owns     func(server string) bool
	domain   string
	observer Observer
	lastSeq  map[string]uint64 // sequence number of the last cache event, by server
	polls    atomic.Int64
	failures atomic.Int64
}

// New returns a poller. owns reports whether this VM is currently the polling VM of a backend server.
func New(client guavaback.Client, snapshot func() *guavaconfig.Snapshot, owns func(string) bool, domain string, o Observer) *Poller {
	return &Poller{client: client, snapshot: snapshot, owns: owns, domain: domain, observer: o, lastSeq: map[string]uint64{}}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	t := time.NewTicker(Period)
	defer t.Stop()
	for {
		p.pollOwned(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Polls returns the number of polls since the start and how many of them failed.
func (p *Poller) Polls() (total, failed int64) { return p.polls.Load(), p.failures.Load() }

// pollResult is the result of one poll of an engine.
type pollResult struct {
	server string
	load   guavaback.Load
	events []guavaback.CacheEvent
	err    error
}

func (p *Poller) pollOwned(ctx context.Context) {
	owned := p.ownedEngines()
	results := make([]pollResult, len(owned))
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for i, b := range owned {
		from := p.lastSeq[b.Name]
		g.Go(func() error {
			results[i] = p.poll(ctx, b, from)
			return nil
		})
	}
	_ = g.Wait() // no function returns an error: failures are part of the results
	for _, r := range results {
		p.report(r)
	}
}

// ownedEngines returns the engines to poll and discards the sequence numbers of all others.
func (p *Poller) ownedEngines() []guavaconfig.BackendServer {
	var owned []guavaconfig.BackendServer
	next := make(map[string]uint64)
	for _, b := range p.snapshot().Declarations().Servers {
		if b.Service != "" || b.Domain != p.domain || !p.owns(b.Name) {
			continue
		}
		owned = append(owned, b)
		next[b.Name] = p.lastSeq[b.Name]
	}
	p.lastSeq = next
	return owned
}

func (p *Poller) poll(ctx context.Context, b guavaconfig.BackendServer, from uint64) pollResult {
	r := pollResult{server: b.Name}
	if r.load, r.err = p.client.Load(ctx, b.Address); r.err != nil {
		return r
	}
	// Cache events are hints: failing to read them is not a poll failure.
	r.events, _ = p.client.Events(ctx, b.Address, from)
	return r
}

func (p *Poller) report(r pollResult) {
	p.polls.Add(1)
	if r.err != nil {
		p.failures.Add(1)
		p.observer.ObservePollFailure(r.server)
		return
	}
	p.observer.ObserveLoad(r.server, r.load)
	if len(r.events) > 0 {
		p.lastSeq[r.server] = r.events[len(r.events)-1].Seq
		p.observer.ObserveEvents(r.server, r.events)
	}
}

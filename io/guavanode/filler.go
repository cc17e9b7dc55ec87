package guavanode

import (
	"context"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/io/guavadispatch"
)

// fillFeed tells the fill policy which backend servers this VM sends batch work to, and which online requests came.
type fillFeed struct {
	pool     *guavafill.LimiterSet
	pipeline *guavadispatch.Pipeline
	snapshot func() *guavaconfig.Snapshot
	owns     func(server string) bool
	domain   string
	arrivals *arrivalBook
	running  map[string]int
}

func newFillFeed(pool *guavafill.LimiterSet, p *guavadispatch.Pipeline, snapshot func() *guavaconfig.Snapshot, owns func(string) bool,
	domain string, arrivals *arrivalBook,
) *fillFeed {
	return &fillFeed{pool: pool, pipeline: p, snapshot: snapshot, owns: owns, domain: domain, arrivals: arrivals, running: map[string]int{}}
}

const (
	// arrivalPeriod leaves 30 of the 50 ms in which batch work yields to a burst of online requests. An idle VM spends most of
	// its processor time on being woken, so a shorter period is not free.
	arrivalPeriod = 20 * time.Millisecond
	// ownPeriod is the time between looks at which servers are owned.
	ownPeriod = 500 * time.Millisecond
	// serviceCalls is the number of calls that a plain service, which reports no slots, is taken to bear at once.
	serviceCalls = 8
)

// run feeds the pool until ctx ends.
func (f *fillFeed) run(ctx context.Context) error {
	arrivals, own := time.NewTicker(arrivalPeriod), time.NewTicker(ownPeriod)
	defer arrivals.Stop()
	defer own.Stop()
	f.own()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-own.C:
			f.own()
		case <-arrivals.C:
			f.arrive(ctx)
		}
	}
}

// own names the servers that this VM sends batch work to.
func (f *fillFeed) own() {
	var servers []string
	var services []string
	for _, b := range f.snapshot().Declarations().Servers {
		if b.Domain != f.domain || b.Leaving || !f.owns(b.Name) {
			continue
		}
		servers = append(servers, b.Name)
		if b.Service != "" {
			services = append(services, b.Name)
		}
	}
	f.pool.SetServers(servers)
	for _, s := range services {
		f.pool.Report(s, f.running[s], 0, serviceCalls, 0)
	}
}

// arrive passes on online requests of this VM that began or ended since the last call.
func (f *fillFeed) arrive(ctx context.Context) {
	sent := f.pipeline.TakeArrivals()
	f.running = f.pipeline.Running()
	f.arrivals.look(ctx, sent, f.running)
}

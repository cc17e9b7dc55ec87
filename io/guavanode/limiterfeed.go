package guavanode

import (
	"context"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/io/guavadispatch"
)

// limiterFeed tells the limiters of batch work which backend servers this VM sends batch work to, and which online
// requests start and end there.
type limiterFeed struct {
	limiters *guavafill.LimiterSet
	pipeline *guavadispatch.Pipeline
	snapshot func() *guavaconfig.Snapshot
	owns     func(server string) bool
	domain   string
	arrivals *arrivalTracker
	running  map[string]int
}

func newLimiterFeed(limiters *guavafill.LimiterSet, p *guavadispatch.Pipeline, snapshot func() *guavaconfig.Snapshot, owns func(string) bool,
	domain string, arrivals *arrivalTracker,
) *limiterFeed {
	return &limiterFeed{limiters: limiters, pipeline: p, snapshot: snapshot, owns: owns, domain: domain, arrivals: arrivals, running: map[string]int{}}
}

const (
	// arrivalPeriod is the time between checks for new online requests. It leaves 30 of the 50 ms in which batch work
	// yields to a burst of online requests. A shorter period costs CPU: an idle VM spends most of its CPU time on
	// wake-ups.
	arrivalPeriod = 20 * time.Millisecond
	// serversPeriod is the time between updates of the servers that this VM owns.
	serversPeriod = 500 * time.Millisecond
	// serviceSlots is the number of slots assumed for a plain service, which reports none.
	serviceSlots = 8
)

// run updates the limiters until ctx ends.
func (f *limiterFeed) run(ctx context.Context) error {
	arrivals, servers := time.NewTicker(arrivalPeriod), time.NewTicker(serversPeriod)
	defer arrivals.Stop()
	defer servers.Stop()
	f.updateServers()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-servers.C:
			f.updateServers()
		case <-arrivals.C:
			f.updateArrivals(ctx)
		}
	}
}

// updateServers sets the servers that this VM sends batch work to.
func (f *limiterFeed) updateServers() {
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
	f.limiters.SetServers(servers)
	for _, s := range services {
		f.limiters.Report(s, f.running[s], 0, serviceSlots, 0)
	}
}

// updateArrivals reports online requests of this VM that started or ended since the last call.
func (f *limiterFeed) updateArrivals(ctx context.Context) {
	sent := f.pipeline.TakeArrivals()
	f.running = f.pipeline.Running()
	f.arrivals.update(ctx, sent, f.running)
}

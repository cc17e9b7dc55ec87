package guavanode

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavamember"
	"guavaridge/core/guavapoison"
	"guavaridge/io/guavapeer"
)

const (
	// announcePeriod is the time between looks for crash reports to announce. A caller can resend a poison request at
	// once, so waiting for the exchange (1 s) would let it crash further servers.
	announcePeriod = 50 * time.Millisecond
	// headTimeout bounds the question for a VM's configuration version.
	headTimeout = 500 * time.Millisecond
	// listFresh is the age up to which the platform's list tells that a VM no longer exists.
	listFresh = 30 * time.Second
	// headsAtOnce bounds the questions in flight.
	headsAtOnce = 64
)

// reportBook holds the crash reports that other VMs have been told of or have told.
type reportBook struct {
	mu    sync.Mutex
	known map[guavapoison.Report]bool
}

func newReportBook() *reportBook { return &reportBook{known: map[guavapoison.Report]bool{}} }

// received notes reports of other VMs, which are not announced again.
func (b *reportBook) received(reports []guavapoison.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.known[r] = true
	}
}

// fresh returns the reports that were not known and forgets those that are no longer current.
func (b *reportBook) fresh(current []guavapoison.Report) []guavapoison.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[guavapoison.Report]bool, len(current))
	var fresh []guavapoison.Report
	for _, r := range current {
		if !b.known[r] {
			fresh = append(fresh, r)
		}
		known[r] = true
	}
	b.known = known
	return fresh
}

// announce tells other VMs of crashed requests at once, until ctx ends.
func (n *Node) announce(ctx context.Context) error {
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if fresh := n.reports.fresh(n.pipeline.PoisonReports()); len(fresh) > 0 {
				n.peer.Announce(ctx, guavapeer.Payload{Poison: fresh})
			}
		}
	}
}

// spreadCancel tells other VMs of a cancelled job at once.
func (n *Node) spreadCancel(job string) {
	go n.peer.Announce(context.Background(), guavapeer.Payload{Cancels: []string{job}})
}

// Heads implements guavaoperator.Confirmations: it asks every known VM for its version. VMs that do not answer have 0.
func (n *Node) Heads() map[string]uint64 {
	heads := map[string]uint64{n.settings.Name: n.holder.Head()}
	ctx, cancel := context.WithTimeout(context.Background(), headTimeout)
	defer cancel()
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(headsAtOnce)
	for _, m := range n.table.Others() {
		// A VM that is gone from the exchange can be cut off and serve on. It counts until the platform's list drops it.
		if m.State == guavamember.Dead && n.table.Absent(m.Name, 0, listFresh) {
			continue
		}
		g.Go(func() error {
			head, err := n.peer.FetchHead(ctx, m.Identity)
			if err != nil {
				head = 0
			}
			mu.Lock()
			defer mu.Unlock()
			heads[m.Name] = head
			return nil
		})
	}
	_ = g.Wait() // a VM that does not answer counts as not confirmed
	return heads
}

// peerState returns the configuration of another VM, for a start while the platform is down.
func (n *Node) peerState(ctx context.Context) (*guavaconfig.Snapshot, error) {
	state, err := n.peer.FetchConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	return guavaconfig.DecodeSnapshot(state)
}

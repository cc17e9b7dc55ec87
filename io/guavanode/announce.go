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
	// announcePeriod is the time between checks for new crash reports. They are not left to the exchange (1 s), because a
	// caller that retries a poison request at once could crash further servers meanwhile.
	announcePeriod = 50 * time.Millisecond
	// headTimeout bounds the requests for the configuration versions of other VMs.
	headTimeout = 500 * time.Millisecond
	// maxListAge is the maximum age of the platform's VM list. A VM missing from a list up to this age no longer exists.
	maxListAge = 30 * time.Second
	// maxConcurrentHeads bounds the concurrent requests for configuration versions.
	maxConcurrentHeads = 64
)

// reportSet holds the crash reports that were sent to or received from other VMs.
type reportSet struct {
	mu    sync.Mutex
	known map[guavapoison.Report]bool
}

func newReportSet() *reportSet { return &reportSet{known: map[guavapoison.Report]bool{}} }

// markKnown records reports of other VMs, which are not announced again.
func (b *reportSet) markKnown(reports []guavapoison.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range reports {
		b.known[r] = true
	}
}

// takeNew returns the reports that are not in the set, adds them, and removes those that are not in current.
func (b *reportSet) takeNew(current []guavapoison.Report) []guavapoison.Report {
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

// announce sends new crash reports to other VMs every announcePeriod until ctx ends.
func (n *Node) announce(ctx context.Context) error {
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			if fresh := n.reports.takeNew(n.pipeline.PoisonReports()); len(fresh) > 0 {
				n.peer.Announce(ctx, guavapeer.Payload{Poison: fresh})
			}
		}
	}
}

// announceCancel sends the ID of a cancelled job to other VMs immediately.
func (n *Node) announceCancel(job string) {
	go n.peer.Announce(context.Background(), guavapeer.Payload{Cancels: []string{job}})
}

// Heads implements guavaoperator.Confirmations. It requests the configuration version of every known VM; VMs that do not
// respond have version 0.
func (n *Node) Heads() map[string]uint64 {
	heads := map[string]uint64{n.settings.Name: n.holder.Head()}
	ctx, cancel := context.WithTimeout(context.Background(), headTimeout)
	defer cancel()
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentHeads)
	for _, m := range n.table.Others() {
		// A VM that is dead in the table may be partitioned and still serve, so it counts until it is missing from the
		// platform's list.
		if m.State == guavamember.Dead && n.table.Absent(m.Name, 0, maxListAge) {
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
	_ = g.Wait() // the functions return no errors
	return heads
}

// fetchPeerSnapshot returns the configuration of another VM. It is used on a start while the platform is down.
func (n *Node) fetchPeerSnapshot(ctx context.Context) (*guavaconfig.Snapshot, error) {
	state, err := n.peer.FetchConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	return guavaconfig.DecodeSnapshot(state)
}

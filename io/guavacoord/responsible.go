package guavacoord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
)

const (
	// maxLinkSilence is the time without a message on a link after which its VM is not chosen. It covers two heartbeats.
	maxLinkSilence = 450 * time.Millisecond
	// suspectDuration is how long a VM that did not reply in time is not chosen.
	suspectDuration = time.Second
	// startupTime is how long after its start a VM waits for links before it decides in place of VMs ranked before it, so
	// that VMs that start at the same time don't all decide. Links within a region are up within some tens of
	// milliseconds.
	startupTime = 600 * time.Millisecond
	// startupPollInterval is the interval at which awaitPeers checks for a link.
	startupPollInterval = 10 * time.Millisecond
)

// pickShard returns the name of the shard to which a request of a service is submitted. It is chosen at random, since
// shards are alike and a VM does not know which of them has free slots.
func (c *Client) pickShard(service string) string {
	c.mu.Lock()
	n := max(c.shards[service], 1)
	c.mu.Unlock()
	return guavaplace.Shard{Service: service, Index: rand.IntN(n), Count: n}.String() //nolint:gosec // a spread, no secret
}

func serviceKey(service string) string { return "service/" + service }

func groupKey(g int) string { return fmt.Sprintf("rates/%d", g) }

// rank returns the names of all VMs in the order of preference for a key, and caches them. Large VMs come first.
func (c *Client) rank(key string) []string {
	if r, ok := c.ranks[key]; ok {
		return r
	}
	largest := 0.0
	for _, v := range c.vms {
		largest = max(largest, v.Cores)
	}
	var large, small []guavamember.Identity
	for _, v := range c.vms {
		if v.Cores >= largest/2 {
			large = append(large, v.Identity)
		} else {
			small = append(small, v.Identity)
		}
	}
	var names []string
	for _, v := range slices.Concat(guavamember.Rank(key, large), guavamember.Rank(key, small)) {
		names = append(names, v.Name)
	}
	c.ranks[key] = names
	return names
}

// responsibleVM returns the first reachable VM in the ranking of a key. This VM counts as reachable.
func (c *Client) responsibleVM(key string) string {
	now := time.Now()
	for _, vm := range c.rank(key) {
		if vm == c.self.Name {
			return vm
		}
		if now.Before(c.suspects[vm]) {
			continue
		}
		if l := c.mesh.Link(vm); l != nil && l.SinceReceived() < maxLinkSilence {
			return vm
		}
	}
	return c.self.Name
}

// suspect excludes a VM that did not reply in time for suspectDuration and closes the link to it.
func (c *Client) suspect(vm string) {
	c.mu.Lock()
	c.suspects[vm] = time.Now().Add(suspectDuration)
	c.mu.Unlock()
	c.logger.Warn("no answer in time", "peer", vm, "within", replyTimeout.Milliseconds())
	c.failPending(func(p *pendingRequest) bool { return p.vm == vm })
	c.mesh.CloseLink(vm)
	c.announceGroups(false) // a new owner grants few tokens until it knows which VMs use it
}

// awaitPeers waits until a VM that is ranked before this one for a key is linked, at most until startupTime after the
// start.
func (c *Client) awaitPeers(ctx context.Context, key string) {
	select {
	case <-c.startupDone:
		return
	default:
	}
	for {
		c.mu.Lock()
		isFallback := c.responsibleVM(key) == c.self.Name && c.rank(key)[0] != c.self.Name
		c.mu.Unlock()
		if !isFallback {
			return
		}
		select {
		case <-c.startupDone:
			return
		case <-ctx.Done():
			return
		case <-time.After(startupPollInterval):
		}
	}
}

// updateCoordinator returns the coordinator of a shard. If it has changed, the previous one is told to drop the
// requests of this VM, and the new one receives the list of those that run, and of those that were lost lately: the previous
// one may have failed before it could count them.
func (c *Client) updateCoordinator(service string) string {
	c.mu.Lock()
	vm, previous := c.responsibleVM(serviceKey(service)), c.coordinators[service]
	if vm == previous {
		c.mu.Unlock()
		return vm
	}
	c.coordinators[service] = vm
	now := time.Now()
	var list []guavaplace.ActiveRun
	for _, p := range c.active {
		if p.service == service {
			list = append(list, guavaplace.ActiveRun{Request: p.request, Server: p.Server, Age: now.Sub(p.start)})
		}
	}
	var lost []lostRun
	for _, r := range c.lostRuns {
		if r.release.Service == service && now.Sub(r.end) <= lostRunTTL {
			r.run.Age = now.Sub(r.start)
			list, lost = append(list, r.run), append(lost, r)
		}
	}
	c.mu.Unlock()
	c.logger.Info("coordinator changed", "service", service, "peer", vm, "before", previous, "held", len(list))
	if previous != "" {
		c.send(previous, leave{Service: service})
		c.failPending(func(p *pendingRequest) bool { return p.service == service && p.vm == previous })
	}
	c.send(vm, join{Service: service, Held: list, Notices: c.notices.Notices(guavaplace.ParseShard(service).Service)})
	for _, r := range lost {
		c.send(vm, r.release)
	}
	return vm
}

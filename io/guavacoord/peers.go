package guavacoord

import (
	"maps"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaquota"
)

const (
	// linkedCandidates is the number of linked VMs that each VM wants at the head of the ranking of each shard and group.
	linkedCandidates = 2
	// unreachableAfter is how long a VM must be without a link before links to VMs that are ranked after it replace it. It
	// exceeds several attempts to connect.
	unreachableAfter = 1500 * time.Millisecond
	// missingTime is how long a VM must have had no link with the VM to which all keep one before it counts as missing.
	missingTime = 10 * time.Second
)

// updatePeers sets the VMs to which links are kept: those at the head of the ranking of each shard and group that can be reached,
// and extraPeers. All VMs then choose the same one, also when those ranked first are lost.
func (c *Client) updatePeers() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := make(map[string]guavamember.Identity, len(c.vms))
	for _, v := range c.vms {
		byName[v.Name] = v.Identity
	}
	keys := make([]string, 0, 1+len(c.services)+guavaquota.Groups)
	keys = append(keys, "copy/"+c.self.Name)
	for _, s := range c.services {
		n := max(c.shards[s], 1)
		for k := range n {
			keys = append(keys, serviceKey(guavaplace.Shard{Service: s, Index: k, Count: n}.String()))
		}
	}
	for g := range guavaquota.Groups {
		keys = append(keys, groupKey(g))
	}
	wanted := map[string]guavamember.Identity{}
	for _, k := range keys {
		for _, vm := range guavamember.Candidates(c.rank(k), linkedCandidates, func(vm string) guavamember.Reachability {
			return c.reachability(now, vm)
		}) {
			wanted[vm] = byName[vm]
		}
	}
	for _, vm := range c.extraPeers {
		if id, ok := byName[vm]; ok {
			wanted[vm] = id
		}
	}
	delete(wanted, c.self.Name)
	for vm := range wanted {
		if c.mesh.Link(vm) != nil {
			delete(c.unlinkedSince, vm)
		} else if c.unlinkedSince[vm].IsZero() {
			c.unlinkedSince[vm] = now
		}
	}
	maps.DeleteFunc(c.unlinkedSince, func(vm string, _ time.Time) bool {
		_, ok := wanted[vm]
		return !ok
	})
	if !maps.Equal(wanted, c.peers) {
		c.peers = wanted
		list := make([]guavamember.Identity, 0, len(wanted))
		for _, v := range wanted {
			list = append(list, v)
		}
		c.mesh.SetPeers(list)
	}
}

// reachability returns whether a VM can be reached. c.mu must be locked.
func (c *Client) reachability(now time.Time, vm string) guavamember.Reachability {
	since, unlinked := c.unlinkedSince[vm]
	switch {
	case vm == c.self.Name || c.mesh.Link(vm) != nil:
		return guavamember.Reachable
	case unlinked && now.Sub(since) >= unreachableAfter:
		return guavamember.Unreachable
	}
	return guavamember.Untried
}

// presence is what a VM knows of the others as the owner of the first group of client accounts, to which every VM that can keeps a
// link.
type presence struct {
	since    time.Time // when this VM became the owner, zero while it is not
	lastSeen map[string]time.Time
}

// observePresence records which VMs have a link with this one.
func (c *Client) observePresence(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.presence
	if c.owners[0] != c.self.Name {
		p.since = time.Time{}
		clear(p.lastSeen)
		return
	}
	if p.since.IsZero() {
		p.since = now
	}
	listed := make(map[string]bool, len(c.vms))
	for _, v := range c.vms {
		listed[v.Name] = true
		if v.Name == c.self.Name || c.incoming[v.Name] != nil || c.mesh.Link(v.Name) != nil {
			p.lastSeen[v.Name] = now
		}
	}
	maps.DeleteFunc(p.lastSeen, func(vm string, _ time.Time) bool { return !listed[vm] })
}

// Missing returns the listed VMs that have had no link with this one for missingTime, and whether this VM can tell: it has been the
// owner to which all VMs keep links for as long. If no VM that all owners know uses it, it waits until those which don't know of the
// VMs here grant nothing.
func (c *Client) Missing(now time.Time) (list []string, ok bool) {
	after := missingTime
	if !c.local.hasEstablished(now) {
		after = guavaquota.JoinTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.presence.since.IsZero() || now.Sub(c.presence.since) < after {
		return nil, false
	}
	for _, v := range c.vms {
		if now.Sub(c.presence.lastSeen[v.Name]) >= after {
			list = append(list, v.Name)
		}
	}
	return list, true
}

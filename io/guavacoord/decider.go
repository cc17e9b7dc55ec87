package guavacoord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaquota"
)

const (
	// quietTime is the silence of a link after which its VM is not asked. It covers two pings.
	quietTime = 450 * time.Millisecond
	// suspectTime is how long a VM that did not answer is not asked again.
	suspectTime = time.Second
	// standbys is the number of VMs, best first, to which links are kept for each service and group.
	standbys = 2
	// settleTime is how long after its start a VM waits for links before it decides itself. Links of a region are up within
	// some tens of milliseconds; when all VMs start at once, each would decide as if it were alone.
	settleTime = 600 * time.Millisecond
	// settleStep is the pause between looks for a link until then.
	settleStep = 10 * time.Millisecond
)

// link keeps links to the VMs that come first for the shards and groups of accounts, and to others that were asked for.
func (c *Client) link() {
	c.mu.Lock()
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
	wanted := map[string]bool{}
	for _, k := range keys {
		rank := c.rank(k)
		for _, vm := range rank[:min(standbys, len(rank))] {
			wanted[vm] = true
		}
	}
	for _, vm := range c.also {
		wanted[vm] = true
	}
	c.mu.Unlock()
	var want []guavamember.Identity
	for vm := range wanted {
		if id, ok := byName[vm]; ok {
			want = append(want, id)
		}
	}
	c.mesh.SetPeers(want)
}

// shard returns the name of the shard that a request of a service goes to. It is drawn at random: shards are alike, and a VM
// does not know which has room.
func (c *Client) shard(service string) string {
	c.mu.Lock()
	n := max(c.shards[service], 1)
	c.mu.Unlock()
	return guavaplace.Shard{Service: service, Index: rand.IntN(n), Count: n}.String() //nolint:gosec // a spread, no secret
}

func serviceKey(service string) string { return "service/" + service }

func groupKey(g int) string { return fmt.Sprintf("rates/%d", g) }

// rank orders the VMs that may decide for a key, best first.
func (c *Client) rank(key string) []string {
	if r, ok := c.ranks[key]; ok {
		return r
	}
	most := 0.0
	for _, v := range c.vms {
		most = max(most, v.Cores)
	}
	var large, small []guavamember.Identity
	for _, v := range c.vms {
		if v.Cores >= most/2 {
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

// decider returns the best VM for a key that can be reached: this one, if no other before it can.
func (c *Client) decider(key string) string {
	now := time.Now()
	for _, vm := range c.rank(key) {
		if vm == c.self.Name {
			return vm
		}
		if now.Before(c.suspects[vm]) {
			continue
		}
		if l := c.mesh.Link(vm); l != nil && l.SinceReceived() < quietTime {
			return vm
		}
	}
	return c.self.Name
}

// suspect stops asking a VM for a while.
func (c *Client) suspect(vm string) {
	c.mu.Lock()
	c.suspects[vm] = time.Now().Add(suspectTime)
	c.mu.Unlock()
	c.logger.Warn("no answer in time", "peer", vm, "within", replyTime.Milliseconds())
	c.abandon(func(p *pending) bool { return p.vm == vm })
	c.mesh.CloseLink(vm)
	c.adopt(false) // a new owner of rates gives out little until it knows who turns to it
}

// settle waits, shortly after the start, for a link to a VM that comes before this one for a key.
func (c *Client) settle(ctx context.Context, key string) {
	select {
	case <-c.settled:
		return
	default:
	}
	for {
		c.mu.Lock()
		alone := c.decider(key) == c.self.Name && c.rank(key)[0] != c.self.Name
		c.mu.Unlock()
		if !alone {
			return
		}
		select {
		case <-c.settled:
			return
		case <-ctx.Done():
			return
		case <-time.After(settleStep):
		}
	}
}

// turn returns the coordinator of a service. When it is another than before, the one before is left and the new one is
// told what this VM has running.
func (c *Client) turn(service string) string {
	c.mu.Lock()
	vm, before := c.decider(serviceKey(service)), c.current[service]
	if vm == before {
		c.mu.Unlock()
		return vm
	}
	c.current[service] = vm
	now := time.Now()
	var list []guavaplace.ActiveRun
	for _, p := range c.held {
		if p.service == service {
			list = append(list, guavaplace.ActiveRun{Request: p.request, Server: p.Server, Age: now.Sub(p.began)})
		}
	}
	c.mu.Unlock()
	c.logger.Info("turned to another coordinator", "service", service, "peer", vm, "before", before, "held", len(list))
	if before != "" {
		c.send(before, leave{Service: service})
		c.abandon(func(p *pending) bool { return p.service == service && p.vm == before })
	}
	c.send(vm, join{Service: service, Held: list})
	return vm
}

package guavacoord

import (
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/io/guavamesh"
)

// send passes a message to a VM, which may be this one. It must not be called with the lock held.
func (c *Client) send(vm string, message any) {
	if vm == c.self.Name {
		c.local.receive(vm, message)
		return
	}
	if l := c.mesh.Link(vm); l != nil {
		l.Send(message)
	}
}

// answer delivers a coordinator's message to a VM.
func (c *Client) answer(vm string, message any) {
	if vm == c.self.Name {
		c.receive(vm, message)
		return
	}
	c.mu.Lock()
	l := c.links[vm]
	c.mu.Unlock()
	if l != nil {
		l.Send(message)
	}
}

// LinkUp implements guavamesh.Handler.
func (c *Client) LinkUp(l *guavamesh.Link) {
	if !l.Outgoing {
		c.mu.Lock()
		c.links[l.Peer.Name] = l
		c.mu.Unlock()
	}
	c.mu.Lock()
	list := c.bans.list(time.Now())
	c.mu.Unlock()
	if len(list) > 0 {
		l.Send(banned{List: list})
	}
	if l.Outgoing {
		c.adopt(false)
	}
	c.extra.LinkUp(l)
}

// LinkDown implements guavamesh.Handler.
func (c *Client) LinkDown(l *guavamesh.Link) {
	if l.Outgoing {
		c.mu.Lock()
		for service, vm := range c.current {
			if vm == l.Peer.Name {
				delete(c.current, service) // it forgets what this VM has running, and must be told again
			}
		}
		c.mu.Unlock()
		c.abandon(func(p *pending) bool { return p.vm == l.Peer.Name })
	} else {
		c.mu.Lock()
		last := c.links[l.Peer.Name] == l
		if last {
			delete(c.links, l.Peer.Name)
		}
		c.mu.Unlock()
		if last {
			c.local.lost(l.Peer.Name)
		}
	}
	c.extra.LinkDown(l)
}

// Receive implements guavamesh.Handler.
func (c *Client) Receive(l *guavamesh.Link, message any) {
	switch m := message.(type) {
	case nil:
	case decided, given:
		c.receive(l.Peer.Name, message)
	case banned:
		c.ban(l, m.List)
	case submit, withdraw, started, release, join, leave, adopt, take:
		c.local.receive(l.Peer.Name, message)
	default:
		c.extra.Receive(l, message)
	}
}

// receive takes in a coordinator's answer.
func (c *Client) receive(vm string, message any) {
	switch m := message.(type) {
	case decided:
		for _, d := range m.Decisions {
			c.decide(vm, m.Service, d)
		}
	case given:
		c.mu.Lock()
		answer := c.takes[m.Number]
		delete(c.takes, m.Number)
		c.mu.Unlock()
		if answer != nil {
			answer <- m
		}
	}
}

// decide takes in a decision about a request of this VM.
func (c *Client) decide(vm, service string, d guavaplace.Decision) {
	c.mu.Lock()
	p, held := c.pending[d.Key], c.held[d.Key]
	c.mu.Unlock()
	switch {
	case p != nil && p.vm == vm:
		select {
		case p.events <- event{decision: d}:
		default:
			c.logger.Error("more decisions than a request can have", "service", service, "action", d.Action)
		}
	case held != nil && d.Action == guavaplace.Yield:
		held.giveUp()
	case d.Action == guavaplace.Run && held == nil:
		// The request was given up while the decision was on its way.
		report := guavaplace.Report{Key: d.Key, Outcome: guavaplace.Cancelled}
		go c.send(vm, release{Service: service, Report: report})
	}
}

// abandon tells waiting requests that their coordinator is lost.
func (c *Client) abandon(is func(p *pending) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if is(p) {
			select {
			case p.events <- event{lost: true}:
			default: // it has another event to take, and finds out later
			}
		}
	}
}

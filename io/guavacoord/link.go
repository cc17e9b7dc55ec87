package guavacoord

import (
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/io/guavamesh"
)

// send sends a message to the coordinator of a VM, which may be this one. c.mu must not be locked.
func (c *Client) send(vm string, message any) {
	if vm == c.self.Name {
		c.local.handle(vm, message)
		return
	}
	if l := c.mesh.Link(vm); l != nil {
		l.Send(message)
	}
}

// deliver sends a message of this VM's coordinator to a VM, which may be this one.
func (c *Client) deliver(vm string, message any) {
	if vm == c.self.Name {
		c.handleReply(vm, message)
		return
	}
	c.mu.Lock()
	l := c.incoming[vm]
	c.mu.Unlock()
	if l != nil {
		l.Send(message)
	}
}

// LinkUp implements guavamesh.Handler.
func (c *Client) LinkUp(l *guavamesh.Link) {
	if !l.Outgoing {
		c.addIncoming(l)
	}
	now := time.Now()
	if bans, losses := c.crashes.Bans(), c.crashes.Losses(now); len(bans)+len(losses) > 0 {
		l.Send(encodeBans(now, bans).withLosses(now, losses))
	}
	if l.Outgoing {
		c.announceGroups(false)
	}
	c.next.LinkUp(l)
}

// LinkDown implements guavamesh.Handler.
func (c *Client) LinkDown(l *guavamesh.Link) {
	if l.Outgoing {
		c.mu.Lock()
		for service, vm := range c.coordinators {
			if vm == l.Peer.Name {
				delete(c.coordinators, service) // it drops the requests of this VM, so it needs a new join
			}
		}
		c.mu.Unlock()
		c.failPending(func(p *pendingRequest) bool { return p.vm == l.Peer.Name })
	} else {
		c.removeIncoming(l)
	}
	c.next.LinkDown(l)
}

// addIncoming records a link that a peer opened. If the peer opened an earlier one, its end has not been noticed yet:
// the peer has given up the requests that it made on that link, or its process was restarted, so they are dropped.
func (c *Client) addIncoming(l *guavamesh.Link) {
	c.incomingMu.Lock()
	defer c.incomingMu.Unlock()
	c.mu.Lock()
	earlier := c.incoming[l.Peer.Name]
	c.incoming[l.Peer.Name] = l
	c.mu.Unlock()
	if earlier != nil {
		earlier.Close()
		c.local.removeRequests(l.Peer.Name)
	}
}

// removeIncoming drops the requests of the peer of a link that has ended, unless it has opened another link.
func (c *Client) removeIncoming(l *guavamesh.Link) {
	c.incomingMu.Lock()
	defer c.incomingMu.Unlock()
	c.mu.Lock()
	newest := c.incoming[l.Peer.Name] == l
	if newest {
		delete(c.incoming, l.Peer.Name)
	}
	c.mu.Unlock()
	if newest {
		c.local.removeVM(l.Peer.Name)
	}
}

// handleIncoming passes a message for this VM's coordinator to it. Messages that arrive after the peer has opened
// another link are dropped.
func (c *Client) handleIncoming(l *guavamesh.Link, message any) {
	c.incomingMu.RLock()
	defer c.incomingMu.RUnlock()
	c.mu.Lock()
	newest := c.incoming[l.Peer.Name] == l
	c.mu.Unlock()
	if newest {
		c.local.handle(l.Peer.Name, message)
	}
}

// Receive implements guavamesh.Handler.
func (c *Client) Receive(l *guavamesh.Link, message any) {
	switch m := message.(type) {
	case nil:
	case decided, given, settled:
		c.handleReply(l.Peer.Name, message)
	case banned:
		c.mergeBans(l, m.decode(time.Now()))
		c.mergeLosses(l, m)
	case submit, withdraw, started, release, join, leave, adopt, take:
		c.handleIncoming(l, message)
	default:
		c.next.Receive(l, message)
	}
}

// handleReply processes a message of a coordinator.
func (c *Client) handleReply(vm string, message any) {
	switch m := message.(type) {
	case decided:
		for _, d := range m.Decisions {
			c.handleDecision(vm, m.Service, d)
		}
	case given:
		c.mu.Lock()
		reply := c.tokenRequests[m.Number]
		delete(c.tokenRequests, m.Number)
		c.mu.Unlock()
		if reply != nil {
			reply <- m
		}
	case settled:
		c.onSettled(m.Listed)
	}
}

// handleDecision processes a decision about a request of this VM.
func (c *Client) handleDecision(vm, service string, d guavaplace.Decision) {
	c.mu.Lock()
	p, active := c.pending[d.Key], c.active[d.Key]
	c.mu.Unlock()
	switch {
	case p != nil && p.vm == vm:
		select {
		case p.events <- event{decision: d}:
		default:
			c.logger.Error("decision dropped: event queue of the request is full", "service", service, "action", d.Action)
		}
	case active != nil && d.Action == guavaplace.Yield:
		active.requestYield()
	case d.Action == guavaplace.Run && active == nil:
		// The request was withdrawn before the decision arrived.
		report := guavaplace.Report{Key: d.Key, Outcome: guavaplace.Cancelled}
		go c.send(vm, release{Service: service, Report: report})
	}
}

// failPending notifies the waiting requests that match of the failure of their coordinator.
func (c *Client) failPending(match func(p *pendingRequest) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if match(p) {
			select {
			case p.events <- event{coordinatorLost: true}:
			default: // the queue is full; the request notices the failure later
			}
		}
	}
}

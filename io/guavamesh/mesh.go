// Package guavamesh carries messages between the VMs of a deployment over TCP, encoded with encoding/gob. Each VM opens
// links only to the peers that it needs.
package guavamesh

import (
	"context"
	"encoding/gob"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavamember"
)

const (
	// dialTimeout bounds an attempt to connect to a VM. VMs of one region are a few milliseconds apart.
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff between attempts to connect to a VM.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// linksPerVM is the number of links that each known VM may have with this one. A VM that was restarted has further ones for
	// some seconds. minLinks is the smallest limit of the links, before VMs are known.
	linksPerVM = 4
	minLinks   = 64
)

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	gob.Register(greeting{})
}

// Handler handles the events of links. Its methods are called from the goroutines of the links.
type Handler interface {
	// LinkUp is called when a link is established.
	LinkUp(l *Link)
	// Receive handles a message, nil for a heartbeat.
	Receive(l *Link, message any)
	// LinkDown is called after a link has ended.
	LinkDown(l *Link)
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Mesh maintains links to peers and accepts links from other VMs.
type Mesh struct {
	self    guavamember.Identity
	dial    Dial
	handler Handler
	budget  *guavabudget.Budget
	logger  hclog.Logger

	mu      sync.Mutex
	links   map[string]*Link // outgoing, by VM
	peers   map[string]guavamember.Identity
	dialing map[string]bool
	closed  bool
	limit   int                // of active
	active  map[*Link]struct{} // in both directions
	done    chan struct{}
	running sync.WaitGroup
}

// New returns a mesh without links. Large messages use the memory of received while they arrive.
func New(self guavamember.Identity, dial Dial, h Handler, received *guavabudget.Budget, l hclog.Logger) *Mesh {
	return &Mesh{
		self: self, dial: dial, handler: h, budget: received, logger: l, limit: minLinks,
		links: map[string]*Link{}, peers: map[string]guavamember.Identity{}, dialing: map[string]bool{},
		active: map[*Link]struct{}{}, done: make(chan struct{}),
	}
}

// Serve accepts links until the listener or the mesh is closed.
func (m *Mesh) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return // the VM stops
			}
			m.logger.Warn("accept of a link failed", "error", err)
			time.Sleep(minBackoff)
			continue
		}
		ok := m.start(func() {
			l := newLink(c, false, m.budget)
			if err := l.handshake(m.self); err != nil {
				c.Close()
				return
			}
			m.run(l)
		})
		if !ok {
			c.Close()
			return
		}
	}
}

// start starts a goroutine that Close waits for, unless the mesh is closed. A WaitGroup panics if it is used again
// while Wait returns.
func (m *Mesh) start(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Go(f)
	return true
}

// SetPeers sets the VMs to which links are maintained. Outgoing links to others are closed.
func (m *Mesh) SetPeers(vms []guavamember.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[string]guavamember.Identity, len(vms))
	for _, v := range vms {
		if v.Name != m.self.Name {
			peers[v.Name] = v
		}
	}
	m.peers = peers
	for name, l := range m.links {
		// The old link does not lead to a VM that was restarted or replaced at a new address.
		if p, ok := peers[name]; !ok || p.Address != l.Peer.Address {
			l.Close()
		}
	}
	for name := range peers {
		if m.links[name] == nil && !m.dialing[name] && !m.closed {
			m.dialing[name] = true
			m.running.Go(func() { m.maintain(name) })
		}
	}
}

// SetFleet sets the number of VMs that may have links with this one.
func (m *Mesh) SetFleet(vms int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = max(linksPerVM*vms, minLinks)
}

// Link returns the link to a VM, nil while there is none.
func (m *Mesh) Link(vm string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[vm]
}

// Broadcast sends a message on all links except one, which may be nil.
func (m *Mesh) Broadcast(except *Link, message any) {
	m.mu.Lock()
	links := slices.Collect(maps.Keys(m.active))
	m.mu.Unlock()
	for _, l := range links {
		if l != except {
			l.Send(message)
		}
	}
}

// CloseLink closes the link to an unresponsive VM. It is established again when the VM answers a handshake.
func (m *Mesh) CloseLink(vm string) {
	if l := m.Link(vm); l != nil {
		l.Close()
	}
}

// Close ends all links and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	if !m.closed {
		m.closed = true
		close(m.done)
	}
	for l := range m.active {
		l.Close()
	}
	m.mu.Unlock()
	m.running.Wait()
}

// maintain keeps the link to a peer open, with exponential backoff, until the peer is removed or the mesh is closed.
func (m *Mesh) maintain(name string) {
	backoff := minBackoff
	for {
		m.mu.Lock()
		vm, ok := m.peers[name]
		if !ok || m.closed {
			delete(m.dialing, name)
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		if m.open(vm) {
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff):
		case <-m.done:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// open establishes a link, runs it until it ends and reports whether it was established.
func (m *Mesh) open(vm guavamember.Identity) bool {
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	c, err := m.dial(ctx, "tcp", vm.Address)
	stop()
	if err != nil {
		return false
	}
	l := newLink(c, true, m.budget)
	if err := l.handshake(m.self); err != nil || l.Peer.Name != vm.Name {
		c.Close()
		return false
	}
	l.Peer.Address = vm.Address
	m.run(l)
	return true
}

// run registers a link and serves it until it ends.
func (m *Mesh) run(l *Link) {
	m.mu.Lock()
	if m.closed || !l.Outgoing && len(m.active) >= m.limit {
		m.mu.Unlock()
		l.Close()
		return
	}
	if p, ok := l.conn.(interface{ Protect() }); ok {
		p.Protect()
	}
	m.active[l] = struct{}{}
	if l.Outgoing {
		m.links[l.Peer.Name] = l
	}
	m.mu.Unlock()
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		l.close(err)
	}
	m.handler.LinkUp(l)
	m.running.Go(l.writeLoop)
	l.readLoop(func(message any) { m.handler.Receive(l, message) })
	m.mu.Lock()
	delete(m.active, l)
	if m.links[l.Peer.Name] == l {
		delete(m.links, l.Peer.Name)
	}
	m.mu.Unlock()
	m.handler.LinkDown(l)
	if l.Outgoing {
		m.logger.Info("link lost", "peer", l.Peer.Name, "cause", l.err)
	}
}

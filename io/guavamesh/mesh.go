// Package guavamesh carries messages between the VMs of a deployment over TCP, encoded by encoding/gob. Links are opened
// only to the VMs that this one needs.
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

	"guavaridge/core/guavamember"
)

const (
	// dialTime bounds an attempt to reach a VM. VMs of one region are a few milliseconds apart.
	dialTime = 500 * time.Millisecond
	// leastPause and mostPause bound the wait between attempts to reach a VM.
	leastPause = 100 * time.Millisecond
	mostPause  = time.Second
)

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	gob.Register(greeting{})
}

// Handler takes in what happens on links. Its methods are called from the links' own goroutines.
type Handler interface {
	// LinkUp says that a link is up.
	LinkUp(l *Link)
	// Receive takes in a message, nil for one that only shows that the peer lives.
	Receive(l *Link, message any)
	// LinkDown says that a link has ended.
	LinkDown(l *Link)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Mesh keeps links to other VMs and accepts theirs.
type Mesh struct {
	self    guavamember.Identity
	dial    Dial
	handler Handler
	logger  hclog.Logger

	mu      sync.Mutex
	links   map[string]*Link // outgoing, by VM
	wanted  map[string]guavamember.Identity
	dialing map[string]bool
	closed  bool
	all     map[*Link]struct{}
	done    chan struct{}
	running sync.WaitGroup
}

// New returns a mesh without links.
func New(self guavamember.Identity, dial Dial, h Handler, l hclog.Logger) *Mesh {
	return &Mesh{
		self: self, dial: dial, handler: h, logger: l,
		links: map[string]*Link{}, wanted: map[string]guavamember.Identity{}, dialing: map[string]bool{},
		all: map[*Link]struct{}{}, done: make(chan struct{}),
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
			time.Sleep(leastPause)
			continue
		}
		m.running.Go(func() {
			l := newLink(c, false)
			if err := l.greet(m.self); err != nil {
				c.Close()
				return
			}
			m.run(l)
		})
	}
}

// SetPeers sets the VMs to which links are kept. Links to others are closed.
func (m *Mesh) SetPeers(vms []guavamember.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]guavamember.Identity, len(vms))
	for _, v := range vms {
		if v.Name != m.self.Name {
			wanted[v.Name] = v
		}
	}
	m.wanted = wanted
	for name, l := range m.links {
		// A VM that started again, or that another has replaced, is no longer behind the old link.
		if w, ok := wanted[name]; !ok || w.Address != l.Peer.Address {
			l.Close()
		}
	}
	for name := range wanted {
		if m.links[name] == nil && !m.dialing[name] && !m.closed {
			m.dialing[name] = true
			m.running.Go(func() { m.keep(name) })
		}
	}
}

// Link returns the link to a VM, nil while there is none.
func (m *Mesh) Link(vm string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[vm]
}

// Broadcast sends a message on all links but one, which may be nil.
func (m *Mesh) Broadcast(but *Link, message any) {
	m.mu.Lock()
	links := slices.Collect(maps.Keys(m.all))
	m.mu.Unlock()
	for _, l := range links {
		if l != but {
			l.Send(message)
		}
	}
}

// CloseLink closes the link to a VM that does not answer. It is opened again when the VM greets.
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
	for l := range m.all {
		l.Close()
	}
	m.mu.Unlock()
	m.running.Wait()
}

// keep opens a link again and again while it is wanted.
func (m *Mesh) keep(name string) {
	pause := leastPause
	for {
		m.mu.Lock()
		vm, ok := m.wanted[name]
		if !ok || m.closed {
			delete(m.dialing, name)
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		if m.open(vm) {
			pause = leastPause
		}
		select {
		case <-time.After(pause):
		case <-m.done:
		}
		pause = min(2*pause, mostPause)
	}
}

// open opens a link, serves it to its end and reports whether there was one.
func (m *Mesh) open(vm guavamember.Identity) bool {
	ctx, stop := context.WithTimeout(context.Background(), dialTime)
	c, err := m.dial(ctx, "tcp", vm.Address)
	stop()
	if err != nil {
		return false
	}
	l := newLink(c, true)
	if err := l.greet(m.self); err != nil || l.Peer.Name != vm.Name {
		c.Close()
		return false
	}
	l.Peer.Address = vm.Address
	m.run(l)
	return true
}

// run serves a link to its end.
func (m *Mesh) run(l *Link) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		l.Close()
		return
	}
	m.all[l] = struct{}{}
	if l.Outgoing {
		m.links[l.Peer.Name] = l
	}
	m.mu.Unlock()
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		l.close(err)
	}
	m.handler.LinkUp(l)
	m.running.Go(l.send)
	l.receive(func(message any) { m.handler.Receive(l, message) })
	m.mu.Lock()
	delete(m.all, l)
	if m.links[l.Peer.Name] == l {
		delete(m.links, l.Peer.Name)
	}
	m.mu.Unlock()
	m.handler.LinkDown(l)
	if l.Outgoing {
		m.logger.Info("link lost", "peer", l.Peer.Name, "cause", l.err)
	}
}

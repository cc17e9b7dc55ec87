// Package guavanetwork is an in-memory network for tests and the demo, with partitions between failure domains.
package guavanetwork

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// bufferSize is the number of bytes that a connection holds in each direction before a write blocks.
const bufferSize = 256 << 10

// Network connects listeners and dialers by address. Every address belongs to a site: a failure domain or the platform.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[link]bool
	conns     map[*conn]struct{}
}

// link is an unordered pair of sites.
type link struct{ a, b string }

func newLink(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// New returns an empty network without partitions.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, cuts: map[link]bool{}, conns: map[*conn]struct{}{}}
}

// ErrRefused is returned by Dial when nothing listens on the address.
var ErrRefused = errors.New("connection refused")

// Site is the network as seen from one site.
type Site struct {
	network *Network
	name    string
}

// Site returns the network as seen from a site.
func (n *Network) Site(name string) *Site { return &Site{network: n, name: name} }

// Listen opens an address at the site.
func (s *Site) Listen(address string) (net.Listener, error) { return s.network.Listen(s.name, address) }

// Dial connects from the site. It has the signature of net.Dialer.DialContext.
func (s *Site) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return s.network.Dial(ctx, s.name, address)
}

// Listen opens an address at a site. It fails when the address is in use.
func (n *Network) Listen(site, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, errors.Newf("listen on %s: address in use", address)
	}
	l := &listener{network: n, site: site, address: address, queue: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects from a site to an address. Across a partition it blocks until ctx ends, as a lost packet would.
func (n *Network) Dial(ctx context.Context, site, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	cut := ok && n.cuts[newLink(site, l.site)]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Newf("dial %s: %w", address, ErrRefused)
	}
	if cut {
		<-ctx.Done()
		return nil, errors.Newf("dial %s: %w", address, ctx.Err())
	}
	client, server := n.pair(site, l)
	var err error
	select {
	case l.queue <- server:
		return client, nil
	case <-l.done:
		err = errors.Newf("dial %s: %w", address, ErrRefused)
	case <-ctx.Done():
		err = errors.Newf("dial %s: %w", address, ctx.Err())
	}
	_ = client.Close()
	_ = server.Close()
	return nil, err
}

func (n *Network) pair(site string, l *listener) (client, server *conn) {
	near, far := newStreams()
	path := newLink(site, l.site)
	client = &conn{stream: near, network: n, link: path, local: address(site), remote: address(l.address)}
	server = &conn{stream: far, network: n, link: path, local: address(l.address), remote: address(site)}
	n.mu.Lock()
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	n.mu.Unlock()
	return client, server
}

// Partition separates two sites: what is written on connections between them is lost and new connections hang.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newLink(a, b)
	n.cuts[l] = true
	for c := range n.conns {
		if c.link == l {
			c.lost.Store(true)
		}
	}
}

// Heal joins two sites again. Connections that lost bytes are closed.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	l := newLink(a, b)
	delete(n.cuts, l)
	var broken []*conn
	for c := range n.conns {
		if c.link == l && c.lost.Load() {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

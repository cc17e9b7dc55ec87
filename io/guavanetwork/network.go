// Package guavanetwork is an in-memory network for tests and benchmarks, with partitions between failure domains.
package guavanetwork

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// bufferSize is the number of bytes that a connection buffers in each direction before a write blocks.
const bufferSize = 256 << 10

// Network connects dialers to listeners by address. Every address belongs to a site: a failure domain or the platform.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	partitions map[link]bool
	conns      map[*conn]struct{}
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
	return &Network{listeners: map[string]*listener{}, partitions: map[link]bool{}, conns: map[*conn]struct{}{}}
}

// ErrRefused is wrapped by the error of Dial when nothing listens on the address.
var ErrRefused = errors.New("connection refused")

// Site listens and dials on behalf of one site.
type Site struct {
	network *Network
	name    string
}

// Site returns the Site with the given name.
func (n *Network) Site(name string) *Site { return &Site{network: n, name: name} }

// Listen listens on an address at the site.
func (s *Site) Listen(address string) (net.Listener, error) { return s.network.Listen(s.name, address) }

// Dial connects from the site. It has the signature of net.Dialer.DialContext.
func (s *Site) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return s.network.Dial(ctx, s.name, address)
}

// Listen listens on an address at a site. It fails when the address is in use.
func (n *Network) Listen(site, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, errors.Newf("listen on %s: %w", address, syscall.EADDRINUSE)
	}
	l := &listener{network: n, site: site, address: address, queue: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects from a site to an address. Across a partition it blocks until ctx ends, as when packets are dropped.
func (n *Network) Dial(ctx context.Context, site, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	partitioned := ok && n.partitions[newLink(site, l.site)]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Newf("dial %s: %w", address, ErrRefused)
	}
	if partitioned {
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
	clientEnd, serverEnd := newStreams()
	sites := newLink(site, l.site)
	client = &conn{stream: clientEnd, network: n, link: sites, local: address(site), remote: address(l.address)}
	server = &conn{stream: serverEnd, network: n, link: sites, local: address(l.address), remote: address(site)}
	n.mu.Lock()
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	n.mu.Unlock()
	return client, server
}

// Partition separates two sites: bytes written on connections between them are discarded and new connections hang.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newLink(a, b)
	n.partitions[l] = true
	for c := range n.conns {
		if c.link == l {
			c.partitioned.Store(true)
		}
	}
}

// Heal ends the partition between two sites and closes the connections that it affected.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	l := newLink(a, b)
	delete(n.partitions, l)
	var affected []*conn
	for c := range n.conns {
		if c.link == l && c.partitioned.Load() {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		_ = c.Close()
	}
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

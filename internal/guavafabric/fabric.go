// Package guavafabric connects many VMs inside one process, counts their bytes and injects faults. It serves tests
// and benchmarks only.
package guavafabric

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavanetwork"
)

var errCut = errors.New("no route")

// Count holds the bytes of one VM.
type Count struct {
	Sent, Received, Writes atomic.Int64
}

// Fabric is a network of VMs that are known by address. It is safe for concurrent use.
type Fabric struct {
	memory *guavanetwork.Network // nil over TCP

	mu        sync.Mutex
	listeners map[string]net.Listener
	counts    map[string]*Count
	conns     map[*conn]bool
	// fault is read on each read and write, where a lock would hold up a fleet of 341 VMs.
	fault atomic.Pointer[fault]
}

// fault says which pairs of VMs are cut.
type fault struct {
	cut     func(a, b string) bool
	changed chan struct{} // closed when another fault takes its place
}

func newFault(cut func(a, b string) bool) *fault {
	return &fault{
		cut:     func(a, b string) bool { return cut != nil && (cut(a, b) || cut(b, a)) },
		changed: make(chan struct{}),
	}
}

// New returns a fabric over loopback TCP, or in memory.
func New(tcp bool) *Fabric {
	f := &Fabric{listeners: map[string]net.Listener{}, counts: map[string]*Count{}, conns: map[*conn]bool{}}
	f.fault.Store(newFault(nil))
	if !tcp {
		f.memory = guavanetwork.New()
	}
	return f
}

// Listen returns the listener of a VM.
func (f *Fabric) Listen(address string) (net.Listener, error) {
	l, err := f.open(address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[address] = l
	return l, nil
}

func (f *Fabric) open(address string) (net.Listener, error) {
	if f.memory == nil {
		return net.Listen("tcp", "127.0.0.1:0")
	}
	return f.memory.Listen(address, address)
}

func (f *Fabric) connect(ctx context.Context, from, to string, l net.Listener) (net.Conn, error) {
	if f.memory == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
	}
	return f.memory.Dial(ctx, from, to)
}

// Dialer returns the function with which a VM connects to others.
func (f *Fabric) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		f.mu.Lock()
		l, cut := f.listeners[to], f.fault.Load().cut(from, to)
		f.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, errCut
		}
		if l == nil {
			return nil, errors.Newf("connection to %s refused", to)
		}
		inner, err := f.connect(ctx, from, to, l)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, f: f, from: from, to: to, closed: make(chan struct{})}
		c.near, c.far = f.Count(from), f.Count(to)
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		return c, nil
	}
}

// Count returns the counters of a VM.
func (f *Fabric) Count(address string) *Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.counts[address]
	if !ok {
		c = &Count{}
		f.counts[address] = c
	}
	return c
}

// Connections returns the number of open connections.
func (f *Fabric) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Partition stalls the existing connections between the pairs of VMs for which cut is true in either order, and lets no
// new ones through. A nil function heals everything.
func (f *Fabric) Partition(cut func(a, b string) bool) {
	close(f.fault.Swap(newFault(cut)).changed)
}

// Kill closes the listener and all connections of a VM, as the end of its process does.
func (f *Fabric) Kill(address string) {
	f.mu.Lock()
	l := f.listeners[address]
	delete(f.listeners, address)
	var dead []*conn
	for c := range f.conns {
		if c.from == address || c.to == address {
			dead = append(dead, c)
		}
	}
	f.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range dead {
		_ = c.Close()
	}
}

// conn is the dialling end of a connection. Both directions pass through it, so it counts for both VMs.
type conn struct {
	net.Conn
	f         *Fabric
	from, to  string
	near, far *Count
	once      sync.Once
	closed    chan struct{}
}

// Read waits while the connection is cut.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.near.Received.Add(int64(n))
	c.far.Sent.Add(int64(n))
	if werr := c.wait(); werr != nil {
		return 0, werr
	}
	return n, err
}

// Write waits while the connection is cut.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.near.Sent.Add(int64(n))
	c.near.Writes.Add(1)
	c.far.Received.Add(int64(n))
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.f.mu.Lock()
		delete(c.f.conns, c)
		c.f.mu.Unlock()
	})
	return c.Conn.Close()
}

func (c *conn) wait() error {
	for {
		fault := c.f.fault.Load()
		if !fault.cut(c.from, c.to) {
			return nil
		}
		select {
		case <-fault.changed:
		case <-c.closed:
			return errCut
		}
	}
}

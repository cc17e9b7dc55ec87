// Package guavafabric is a network between many VMs in one process that counts their bytes and injects faults. It is
// for tests and benchmarks only.
package guavafabric

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavanetwork"
)

var errPartitioned = errors.New("no route")

// Count holds the sent and received bytes and the writes of one VM.
type Count struct {
	Sent, Received, Writes atomic.Int64
}

// Fabric is a network of VMs identified by address. It is safe for concurrent use.
type Fabric struct {
	memory *guavanetwork.Network // nil over TCP

	mu        sync.Mutex
	listeners map[string]net.Listener
	counts    map[string]*Count
	conns     map[*conn]bool
	// partition is read on each read and write. It is atomic because a lock would slow down a fleet of 341 VMs.
	partition atomic.Pointer[partition]
}

// partition defines the pairs of VMs that are separated.
type partition struct {
	separates func(a, b string) bool
	replaced  chan struct{} // closed when another partition replaces this one
}

func newPartition(separated func(a, b string) bool) *partition {
	return &partition{
		separates: func(a, b string) bool { return separated != nil && (separated(a, b) || separated(b, a)) },
		replaced:  make(chan struct{}),
	}
}

// New returns a fabric over loopback TCP if tcp is true, or else in memory.
func New(tcp bool) *Fabric {
	f := &Fabric{listeners: map[string]net.Listener{}, counts: map[string]*Count{}, conns: map[*conn]bool{}}
	f.partition.Store(newPartition(nil))
	if !tcp {
		f.memory = guavanetwork.New()
	}
	return f
}

// Listen opens and returns the listener of a VM.
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

// Dialer returns the dial function of a VM.
func (f *Fabric) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		f.mu.Lock()
		l, separated := f.listeners[to], f.partition.Load().separates(from, to)
		f.mu.Unlock()
		if separated {
			<-ctx.Done()
			return nil, errPartitioned
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

// Partition separates the pairs of VMs for which separated is true in either order. Existing connections between them
// block, and new ones are not established. A nil function ends all partitions.
func (f *Fabric) Partition(separated func(a, b string) bool) {
	close(f.partition.Swap(newPartition(separated)).replaced)
}

// Kill closes the listener and all connections of a VM, as when its process ends.
func (f *Fabric) Kill(address string) {
	f.mu.Lock()
	l := f.listeners[address]
	delete(f.listeners, address)
	var conns []*conn
	for c := range f.conns {
		if c.from == address || c.to == address {
			conns = append(conns, c)
		}
	}
	f.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// conn is the dialing end of a connection. Both directions pass through it, so it counts the bytes of both VMs.
type conn struct {
	net.Conn
	f         *Fabric
	from, to  string
	near, far *Count // of from and to
	once      sync.Once
	closed    chan struct{}
}

// Read blocks while the two VMs are separated.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.near.Received.Add(int64(n))
	c.far.Sent.Add(int64(n))
	if werr := c.wait(); werr != nil {
		return 0, werr
	}
	return n, err
}

// Write blocks while the two VMs are separated.
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
		p := c.f.partition.Load()
		if !p.separates(c.from, c.to) {
			return nil
		}
		select {
		case <-p.replaced:
		case <-c.closed:
			return errPartitioned
		}
	}
}

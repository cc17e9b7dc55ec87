// Package guavapool keeps connections to backend servers between exchanges.
package guavapool

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of a connection's buffers in bytes. Every open stream holds them, so they are small; the one for reading
// bounds the size of an answer's header.
const (
	readSize  = 8 << 10
	writeSize = 4 << 10
)

// Connection is a connection to a backend server that carries one exchange at a time.
type Connection struct {
	net.Conn
	Reader *bufio.Reader
	Writer *bufio.Writer
	// Written counts the bytes that the kernel took of the current exchange.
	Written int64
	// Reused reports whether an exchange went before.
	Reused bool

	// IdleTime is how long the server keeps the connection open without use, 0 if it does not say.
	IdleTime time.Duration

	since time.Time
	probe prober
}

// idleMargin is the part of a server's idle time that is not used, since its timer starts before this one.
const idleMargin = 0.3

func (c *Connection) life(most time.Duration) time.Duration {
	if c.IdleTime <= 0 {
		return most
	}
	return min(most, time.Duration((1-idleMargin)*float64(c.IdleTime)))
}

func newConnection(c net.Conn) *Connection {
	n := &Connection{Conn: c}
	n.Reader = bufio.NewReaderSize(c, readSize)
	n.Writer = bufio.NewWriterSize(n, writeSize)
	n.probe = newProber(c)
	return n
}

// Write implements io.Writer.
func (c *Connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Written += int64(n)
	return n, err
}

// fresh reports whether nothing has arrived on an idle connection: neither its end nor bytes that no request
// asked for, such as a late answer.
func (c *Connection) fresh() bool {
	return c.Reader.Buffered() == 0 && c.probe.quiet()
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counters counts what a pool did. The fields may be read at any time.
type Counters struct {
	// Dials counts connections opened.
	Dials atomic.Uint64
	// Stale counts idle connections that the backend server had closed.
	Stale atomic.Uint64
}

// Pool opens connections and keeps idle ones by address, last used first out.
type Pool struct {
	dial        Dial
	dialTimeout time.Duration
	age         time.Duration
	limit       int
	counters    *Counters

	mu     sync.Mutex
	idle   map[string][]*Connection
	timer  *time.Timer
	closed bool
}

// New returns an empty pool. An attempt to open a connection ends after dialTimeout. A connection stays open
// without use for at most age, and at most limit of them are kept for each address.
func New(dial Dial, dialTimeout, age time.Duration, limit int, counters *Counters) *Pool {
	return &Pool{
		dial: dial, dialTimeout: dialTimeout, age: age, limit: limit, counters: counters,
		idle: map[string][]*Connection{},
	}
}

// SetLimit changes how many idle connections are kept for each address. Those beyond it are closed when
// they are put back or have been idle for too long.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// take returns the connection used last, or nil.
func (p *Pool) take(address string) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// Put keeps a connection whose exchange is complete.
func (p *Pool) Put(address string, c *Connection) {
	c.since, c.Written, c.Reused = time.Now(), 0, true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if p.closed || len(list) >= p.limit {
		c.Close()
		return
	}
	p.idle[address] = append(list, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.age, p.sweep)
	}
}

// sweep closes connections that were idle for too long and comes again while there are others.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Now().Add(-p.age)
	left := false
	for address, list := range p.idle {
		old := 0
		for old < len(list) && !list[old].since.After(limit) {
			list[old].Close()
			old++
		}
		list = append(list[:0], list[old:]...)
		if len(list) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address], left = list, true
	}
	p.timer = nil
	if left && !p.closed {
		p.timer = time.AfterFunc(p.age/2, p.sweep)
	}
}

// Close closes all idle connections, and from then on each one that is put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}

// Connect returns an idle connection that is still fresh, or a new one.
func (p *Pool) Connect(ctx context.Context, address string) (*Connection, error) {
	return p.ConnectWithin(ctx, address, p.age)
}

// ConnectWithin is Connect with a bound on how long the connection may have been idle. A server may close a connection
// while a request is on its way to it, which leaves open whether the request ran.
func (p *Pool) ConnectWithin(ctx context.Context, address string, idle time.Duration) (*Connection, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.since) < min(idle, c.life(p.age)) && c.fresh() {
			return c, nil
		}
		p.counters.Stale.Add(1)
		c.Close()
	}
	return p.Open(ctx, address)
}

// Open returns a new connection.
func (p *Pool) Open(ctx context.Context, address string) (*Connection, error) {
	ctx, stop := context.WithTimeout(ctx, p.dialTimeout)
	defer stop()
	p.counters.Dials.Add(1)
	c, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return newConnection(c), nil
}

// Package guavapool pools idle connections to backend servers.
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

// Sizes of a connection's buffers in bytes. They are small because every open stream occupies both. The size of the
// read buffer is also the maximum size of a response header.
const (
	readBufferSize  = 8 << 10
	writeBufferSize = 4 << 10
)

// Connection is a connection to a backend server that carries one exchange at a time.
type Connection struct {
	net.Conn
	Reader *bufio.Reader
	Writer *bufio.Writer
	// Written is the number of bytes of the current request that were written to the socket.
	Written int64
	// Reused reports whether the connection has carried an exchange before.
	Reused bool

	// IdleTime is the idle timeout that the server announced, or 0 if it announced none.
	IdleTime time.Duration

	idleSince time.Time
	probe     prober
}

// idleMargin is the share of the server's idle timeout in which a connection is no longer used, because the server's
// timer starts before that of the pool.
const idleMargin = 0.3

func (c *Connection) maxIdle(limit time.Duration) time.Duration {
	if c.IdleTime <= 0 {
		return limit
	}
	return min(limit, time.Duration((1-idleMargin)*float64(c.IdleTime)))
}

func newConnection(c net.Conn) *Connection {
	n := &Connection{Conn: c}
	n.Reader = bufio.NewReaderSize(c, readBufferSize)
	n.Writer = bufio.NewWriterSize(n, writeBufferSize)
	n.probe = newProber(c)
	return n
}

// Write implements io.Writer.
func (c *Connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Written += int64(n)
	return n, err
}

// isUsable reports whether an idle connection is open and has no unread data, such as a late response to an earlier
// request.
func (c *Connection) isUsable() bool {
	return c.Reader.Buffered() == 0 && c.probe.isIdle()
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counters counts events of a pool. The fields may be read concurrently.
type Counters struct {
	// Dials counts attempts to open a connection.
	Dials atomic.Uint64
	// Stale counts idle connections that were closed instead of reused: closed by the server, with unread data, or idle
	// for too long.
	Stale atomic.Uint64
}

// Pool opens connections and keeps idle ones by address. It reuses the most recently used one first. Its methods may be
// called concurrently.
type Pool struct {
	dial          Dial
	dialTimeout   time.Duration
	maxIdle       time.Duration
	maxPerAddress int
	counters      *Counters

	mu     sync.Mutex
	idle   map[string][]*Connection
	timer  *time.Timer
	closed bool
}

// New returns an empty pool. An attempt to open a connection fails after dialTimeout. Connections are reused when idle
// for less than maxIdle, and at most maxPerAddress idle ones are kept for each address.
func New(dial Dial, dialTimeout, maxIdle time.Duration, maxPerAddress int, counters *Counters) *Pool {
	return &Pool{
		dial: dial, dialTimeout: dialTimeout, maxIdle: maxIdle, maxPerAddress: maxPerAddress, counters: counters,
		idle: map[string][]*Connection{},
	}
}

// SetLimit sets the maximum number of idle connections for each address. It closes no connection: those above the limit
// are closed when they are put back or have been idle for too long.
func (p *Pool) SetLimit(maxPerAddress int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxPerAddress = maxPerAddress
}

// take removes and returns the most recently used connection to an address, or returns nil if there is none.
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

// Put returns a connection to the pool after its exchange is complete. It closes the connection if the pool is closed
// or at its limit.
func (p *Pool) Put(address string, c *Connection) {
	c.idleSince, c.Written, c.Reused = time.Now(), 0, true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if p.closed || len(list) >= p.maxPerAddress {
		c.Close()
		return
	}
	p.idle[address] = append(list, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.maxIdle, p.sweep)
	}
}

// sweep closes connections that have been idle for too long, and schedules the next sweep while others are left.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-p.maxIdle)
	remaining := false
	for address, list := range p.idle {
		expired := 0
		for expired < len(list) && !list[expired].idleSince.After(oldest) {
			list[expired].Close()
			expired++
		}
		list = append(list[:0], list[expired:]...)
		if len(list) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address], remaining = list, true
	}
	p.timer = nil
	if remaining && !p.closed {
		p.timer = time.AfterFunc(p.maxIdle/2, p.sweep)
	}
}

// Close closes all idle connections. Connections that are put back afterwards are closed as well.
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

// Connect returns an idle connection that is still usable, or a new one.
func (p *Pool) Connect(ctx context.Context, address string) (*Connection, error) {
	return p.ConnectWithin(ctx, address, p.maxIdle)
}

// ConnectWithin is like Connect, but reuses only connections that have been idle for less than maxIdle. If a server
// closes an idle connection while a request is being sent over it, whether the request was executed is unknown.
func (p *Pool) ConnectWithin(ctx context.Context, address string, maxIdle time.Duration) (*Connection, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < min(maxIdle, c.maxIdle(p.maxIdle)) && c.isUsable() {
			return c, nil
		}
		p.counters.Stale.Add(1)
		c.Close()
	}
	return p.Open(ctx, address)
}

// Open opens a new connection. It fails after the dial timeout.
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

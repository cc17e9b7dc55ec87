// Package guavalisten accepts callers' connections, bounds their number, and detects when a caller disconnects.
package guavalisten

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Past is a deadline that makes a blocked read return.
var Past = time.Unix(1, 0)

// Options configure a Listener.
type Options struct {
	// Limit is the maximum number of open connections.
	Limit int
	// LimitWaiting makes Limit apply to the connections without those that are protected.
	LimitWaiting bool
	// WriteTimeout bounds the time for which a caller reads none of the bytes sent.
	WriteTimeout time.Duration
	// Timeouts, if set, returns how long the head of a request may take from its first byte, and how long a connection may wait for
	// that byte. They bound the read deadlines that the HTTP server sets; 0 means no bound.
	Timeouts func() (head, idle time.Duration)
	// TLS, if set, is the TLS configuration of all connections.
	TLS *tls.Config
	// RejectResponse is sent unchanged on connections over the limit, which are then closed. With TLS, nothing is sent.
	RejectResponse string
	// Rejected counts the connections over the limit.
	Rejected *atomic.Uint64
	// EvictAfter, if above 0, makes room for a connection over the limit by closing the one that has waited for a complete request
	// for longest, and at least for this time.
	EvictAfter time.Duration
	// Evicted counts the connections that were closed to make room; nil if EvictAfter is 0.
	Evicted *atomic.Uint64
}

// Listener bounds the number of connections and wraps each in a Connection.
type Listener struct {
	net.Listener
	options Options
	once    sync.Once

	mu    sync.Mutex
	conns map[*Connection]struct{}
}

// New returns a listener that accepts from ln.
func New(ln net.Listener, o Options) *Listener {
	return &Listener{Listener: ln, options: o, conns: map[*Connection]struct{}{}}
}

// rejectWriteTimeout bounds the write of Options.RejectResponse, which fits into any socket buffer.
const rejectWriteTimeout = 50 * time.Millisecond

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Connection{Conn: raw, listener: l, done: make(chan struct{}, 1), writeTimeout: l.options.WriteTimeout}
		c.waiting.Store(time.Now().UnixNano())
		l.mu.Lock()
		full := len(l.conns) >= l.options.Limit && !l.evict()
		if !full {
			l.conns[c] = struct{}{}
		}
		l.mu.Unlock()
		if !full {
			if l.options.TLS != nil {
				c.Conn = tls.Server(raw, l.options.TLS)
			}
			return c, nil
		}
		l.options.Rejected.Add(1)
		if l.options.TLS == nil && raw.SetWriteDeadline(time.Now().Add(rejectWriteTimeout)) == nil {
			_, _ = raw.Write([]byte(l.options.RejectResponse)) // the connection is closed either way
		}
		raw.Close()
	}
}

// evict closes the connection that has waited for a complete request for longest. It returns false if none may be closed. The
// caller holds mu.
func (l *Listener) evict() bool {
	if l.options.EvictAfter <= 0 {
		return false
	}
	var victim *Connection
	oldest := time.Now().Add(-l.options.EvictAfter).UnixNano()
	for c := range l.conns {
		if since := c.waiting.Load(); since != protected && since <= oldest {
			victim, oldest = c, since
		}
	}
	if victim == nil {
		return false
	}
	delete(l.conns, victim)
	victim.Conn.Close()
	l.options.Evicted.Add(1)
	return true
}

// Close implements net.Listener. It may be called more than once, since both the front and its HTTP server close it.
func (l *Listener) Close() (err error) {
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// CloseConnections closes all connections at once.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	conns := make([]*Connection, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.closeNow() // nothing is left to do for the connection
	}
}

// Connection is a caller's connection. While a request runs, it can be watched for the caller's disconnect.
type Connection struct {
	net.Conn
	listener     *Listener
	writeTimeout time.Duration
	deadlineSet  time.Time // when the write deadline was last set
	linger       atomic.Bool
	headBegun    atomic.Bool  // bytes have arrived since the connection began to wait
	headTimed    atomic.Bool  // the time for the head has been set since then
	waiting      atomic.Int64 // Unix time in ns since when the connection waits for a complete request, or protected

	mu        sync.Mutex
	timer     *time.Timer
	watchID   uint64 // of the current watch, so that the timer of an earlier one has no effect
	watching  bool
	stopping  bool
	buffered  int // bytes in readAhead, 0 or 1
	readAhead [1]byte
	err       error // error of the watch's read
	done      chan struct{}
}

// protected says that a connection is not closed to make room for another.
const protected = 0

// Protect keeps the connection from being closed to make room for another one, until SetIdle.
func (c *Connection) Protect() {
	c.waiting.Store(protected)
	if l := c.listener; l.options.LimitWaiting {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}
}

// SetIdle records that the connection waits for a request from now on.
func (c *Connection) SetIdle() {
	c.headBegun.Store(false)
	c.headTimed.Store(false)
	c.waiting.Store(time.Now().UnixNano())
}

// SetReadDeadline implements net.Conn. The HTTP server calls it before it waits for a request, when the first byte has arrived, and
// when the head is complete; the last call is for the body.
func (c *Connection) SetReadDeadline(t time.Time) error {
	if c.listener.options.Timeouts != nil && c.waiting.Load() != protected && !c.headTimed.Load() {
		head, idle := c.listener.options.Timeouts()
		limit := idle
		if c.headBegun.Load() {
			limit = head
			c.headTimed.Store(true)
		}
		if end := time.Now().Add(limit); limit > 0 && (t.IsZero() || t.After(end)) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// watchDelay is the time after which the watch of a request begins. Shorter requests end before a cancellation would
// matter, and save the cost of the watch.
const watchDelay = 20 * time.Millisecond

// Watch calls onClose if the caller closes the connection before Unwatch. Until then, nothing else may read.
func (c *Connection) Watch(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchID++
	id := c.watchID
	c.timer = time.AfterFunc(watchDelay, func() { c.startRead(id, onClose) })
}

// startRead reads one byte ahead in a goroutine, unless the watch has ended.
func (c *Connection) startRead(id uint64, onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != c.watchID || c.buffered > 0 || c.err != nil {
		return
	}
	if c.SetReadDeadline(time.Time{}) != nil {
		return
	}
	c.watching, c.stopping = true, false
	go func() {
		n, err := c.Conn.Read(c.readAhead[:])
		c.mu.Lock()
		stopping := c.stopping
		c.buffered = n
		if err != nil && !stopping {
			c.err = err
		}
		c.mu.Unlock()
		if err != nil && !stopping {
			onClose()
		}
		c.done <- struct{}{}
	}()
}

// Unwatch ends the watch and waits for its read.
func (c *Connection) Unwatch() {
	c.mu.Lock()
	c.watchID++
	if c.timer != nil {
		c.timer.Stop()
	}
	if !c.watching {
		c.mu.Unlock()
		return
	}
	c.stopping = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(Past) // fails only on a closed connection, whose read has ended
	<-c.done
	c.mu.Lock()
	c.watching = false
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
}

// Read implements net.Conn.
func (c *Connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.buffered > 0 && len(p) > 0 {
		p[0], c.buffered = c.readAhead[0], 0
		c.headBegun.Store(true)
		c.mu.Unlock()
		return 1, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.headBegun.Load() {
		c.headBegun.Store(true)
	}
	return n, err
}

// Write implements net.Conn. The write deadline moves on with the writes, so that a stream may last long, but a caller
// that does not read is disconnected. The deadline is set again only after 1/8 of writeTimeout, which saves a tenth of
// the time of a write, so a caller has at least 7/8 of writeTimeout.
func (c *Connection) Write(p []byte) (int, error) {
	if now := time.Now(); now.Sub(c.deadlineSet) > c.writeTimeout/8 {
		if err := c.SetWriteDeadline(now.Add(c.writeTimeout)); err != nil {
			return 0, err
		}
		c.deadlineSet = now
	}
	return c.Conn.Write(p)
}

// Bounds of what is read and discarded before a connection with unread bytes is closed. Closing it at once would reset
// it, and the caller might lose the response that states the reason.
const (
	lingerTimeout  = time.Second
	lingerMaxBytes = 4 << 20
)

// Linger makes Close read and discard what the caller still sends, within lingerTimeout and lingerMaxBytes.
func (c *Connection) Linger() { c.linger.Store(true) }

// Close implements net.Conn.
func (c *Connection) Close() error {
	if c.linger.Swap(false) && c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerMaxBytes) // the connection is closed in any case
	}
	return c.closeNow()
}

func (c *Connection) closeNow() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Package guavalisten accepts callers' connections, bounds their number, and tells when a caller leaves.
package guavalisten

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Past is a deadline that wakes a blocked read.
var Past = time.Unix(1, 0)

// Options set up a Listener.
type Options struct {
	// Limit is the largest number of open connections.
	Limit int
	// WriteTimeout is how long a caller may leave sent bytes unread.
	WriteTimeout time.Duration
	// TLS, if set, is spoken on each connection.
	TLS *tls.Config
	// RejectResponse is sent as it is on connections over the limit, which are then closed.
	RejectResponse string
	// Rejected counts connections over the limit.
	Rejected *atomic.Uint64
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

// rejectTime bounds the sending of Options.TooMany, which fits into any socket buffer.
const rejectTime = 50 * time.Millisecond

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Connection{Conn: raw, listener: l, done: make(chan struct{}, 1), writeTime: l.options.WriteTimeout}
		l.mu.Lock()
		full := len(l.conns) >= l.options.Limit
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
		if l.options.TLS == nil && raw.SetWriteDeadline(time.Now().Add(rejectTime)) == nil {
			_, _ = raw.Write([]byte(l.options.RejectResponse)) // the connection is closed either way
		}
		raw.Close()
	}
}

// Close implements net.Listener. Both the front and its server close it.
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
		_ = c.closeNow() // there is nothing left to do for it
	}
}

// Connection is a caller's connection that can be watched for its end while its request runs.
type Connection struct {
	net.Conn
	listener  *Listener
	writeTime time.Duration
	armed     time.Time // when the write deadline was last set
	lingers   atomic.Bool

	mu       sync.Mutex
	timer    *time.Timer
	turn     uint64 // number of the watch, so that an old timer does not begin a new one
	watching bool
	stopping bool
	held     int // bytes in early, 0 or 1
	early    [1]byte
	err      error // what the watch read after the early byte
	done     chan struct{}
}

// watchAfter is the time after which a request is watched. Shorter ones end before a cancellation would matter,
// and save the cost of the watch.
const watchAfter = 20 * time.Millisecond

// Watch calls gone when the caller closes the connection before Unwatch. Until then, nothing else may read.
func (c *Connection) Watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	turn := c.turn
	c.timer = time.AfterFunc(watchAfter, func() { c.begin(turn, gone) })
}

// begin reads ahead, unless Unwatch came first.
func (c *Connection) begin(turn uint64, gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if turn != c.turn || c.held > 0 || c.err != nil {
		return
	}
	if c.SetReadDeadline(time.Time{}) != nil {
		return
	}
	c.watching, c.stopping = true, false
	go func() {
		n, err := c.Conn.Read(c.early[:])
		c.mu.Lock()
		stopping := c.stopping
		c.held = n
		if err != nil && !stopping {
			c.err = err
		}
		c.mu.Unlock()
		if err != nil && !stopping {
			gone()
		}
		c.done <- struct{}{}
	}()
}

// Unwatch ends a watch and waits for it.
func (c *Connection) Unwatch() {
	c.mu.Lock()
	c.turn++
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
	if c.held > 0 && len(p) > 0 {
		p[0], c.held = c.early[0], 0
		c.mu.Unlock()
		return 1, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. The deadline moves on with the writes, so that a long stream may take its time but
// a caller that reads nothing is let go. It is moved only now and then, which saves a tenth of a write's time, so
// a caller has at least 7/8 of writeTime.
func (c *Connection) Write(p []byte) (int, error) {
	if now := time.Now(); now.Sub(c.armed) > c.writeTime/8 {
		if err := c.SetWriteDeadline(now.Add(c.writeTime)); err != nil {
			return 0, err
		}
		c.armed = now
	}
	return c.Conn.Write(p)
}

// Bounds of what is read and dropped before a connection with unread bytes is closed. To close it at once would
// reset it, and the caller might lose the answer that says why.
const (
	lingerTime = time.Second
	lingerSize = 4 << 20
)

// Linger makes Close take in what the caller still sends.
func (c *Connection) Linger() { c.lingers.Store(true) }

// Close implements net.Conn.
func (c *Connection) Close() error {
	if c.lingers.Swap(false) && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerSize) // the connection is closed in any case
	}
	return c.closeNow()
}

func (c *Connection) closeNow() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

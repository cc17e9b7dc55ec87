package guavanetwork

import (
	"net"
	"sync"
	"sync/atomic"
)

// address is the address of a connection's end in the in-memory network.
type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	*stream
	network       *Network
	link          link
	local, remote address
	partitioned   atomic.Bool
}

// Write implements net.Conn. Across a partition it discards the bytes and reports no error.
func (c *conn) Write(p []byte) (int, error) {
	if c.partitioned.Load() {
		return len(p), nil
	}
	return c.stream.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.removeConn(c)
	return c.stream.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// listener accepts connections to one address.
type listener struct {
	network *Network
	site    string
	address string
	queue   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// Relisten listens on the same address again after Close.
func (l *listener) Relisten() (net.Listener, error) { return l.network.Listen(l.site, l.address) }

package guavapool_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"guavaridge/io/guavapool"
)

// countingConn counts the calls of Close in closed.
type countingConn struct {
	net.Conn
	closed *int
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	*c.closed++
	return c.Conn.Close() //nolint:wrapcheck // passed on
}

// TestLimit guards against more idle connections than the limit, also after the limit was lowered. With too many
// connections, a server resets those of other VMs.
func TestLimit(t *testing.T) {
	closed := 0
	dial := func(context.Context, string, string) (net.Conn, error) {
		c, _ := net.Pipe()
		return &countingConn{Conn: c, closed: &closed}, nil
	}
	p := guavapool.New(dial, time.Second, time.Minute, 4, &guavapool.Counters{})
	defer p.Close()
	put := func(n int) {
		list := make([]*guavapool.Connection, 0, n)
		for range n {
			c, err := p.Open(t.Context(), "server")
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, c)
		}
		for _, c := range list {
			p.Put("server", c)
		}
	}
	put(6)
	if closed != 2 {
		t.Errorf("%d of 6 connections closed at a limit of 4, want 2", closed)
	}
	p.SetLimit(1)
	put(3)
	if closed != 5 {
		t.Errorf("%d of 3 connections closed after the limit was lowered to 1, want 3", closed-2)
	}
}

// TestUnusableConnections guards against the reuse of a connection on which a server has sent a late copy of its
// response, or that it has closed: the next request would fail, or get what is not its own.
func TestUnusableConnections(t *testing.T) {
	cases := []struct {
		name  string
		after func(c net.Conn) error // what the server does after its response
		reuse bool
	}{
		{name: "nothing", after: func(net.Conn) error { return nil }, reuse: true},
		{name: "late bytes", after: func(c net.Conn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
			return err //nolint:wrapcheck // reported as it is
		}},
		{name: "closed", after: net.Conn.Close},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			var dialer net.Dialer
			var counters guavapool.Counters
			p := guavapool.New(dialer.DialContext, time.Second, time.Minute, 4, &counters)
			defer p.Close()
			first, err := p.Connect(t.Context(), ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			server, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			p.Put(ln.Addr().String(), first)
			if err := c.after(server); err != nil {
				t.Fatal(err)
			}
			if !c.reuse {
				waitReadable(t, first)
			}
			second, err := p.Connect(t.Context(), ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close()
			if second.Reused != c.reuse {
				t.Errorf("reused: %t, want %t", second.Reused, c.reuse)
			}
		})
	}
}

// waitReadable returns when the connection has bytes to read or its end.
func waitReadable(t *testing.T, c *guavapool.Connection) {
	t.Helper()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // a descriptor fits
		return !errors.Is(err, syscall.EAGAIN)
	}); err != nil {
		t.Fatal(err)
	}
}

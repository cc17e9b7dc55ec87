package guavapool_test

import (
	"context"
	"net"
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

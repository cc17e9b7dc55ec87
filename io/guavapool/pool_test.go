package guavapool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"guavaridge/io/guavapool"
)

// closing counts its closings.
type closing struct {
	net.Conn
	closed *int
}

// Close implements net.Conn.
func (c *closing) Close() error {
	*c.closed++
	return c.Conn.Close() //nolint:wrapcheck // passed on
}

// TestLimit guards against idle connections beyond the limit, also after it was lowered: a server would reset those of other
// VMs.
func TestLimit(t *testing.T) {
	closed := 0
	dial := func(context.Context, string, string) (net.Conn, error) {
		c, _ := net.Pipe()
		return &closing{Conn: c, closed: &closed}, nil
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
		t.Errorf("%d of 6 connections closed, want 2 beyond the limit", closed)
	}
	p.SetLimit(1)
	put(3)
	if closed != 5 {
		t.Errorf("%d connections closed, want all 3 that were put back after the limit was lowered", closed-2)
	}
}

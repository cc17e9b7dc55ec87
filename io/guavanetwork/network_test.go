package guavanetwork_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/io/guavanetwork"
)

// echo answers one byte per byte received.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			b := make([]byte, 1)
			for {
				if _, err := c.Read(b); err != nil {
					return
				}
				if _, err := c.Write(b); err != nil {
					return
				}
			}
		}()
	}
}

// TestPartition guards against a stand-in network whose cut still lets bytes or connections through.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := guavanetwork.New()
		l, err := n.Listen("b", "10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		go echo(l)
		c, err := n.Dial(t.Context(), "a", "10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		roundTrip := func(c net.Conn) error {
			if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				return err
			}
			if _, err := c.Write([]byte("x")); err != nil {
				return err
			}
			_, err := c.Read(make([]byte, 1))
			return err
		}
		if err := roundTrip(c); err != nil {
			t.Fatalf("before the cut: %v", err)
		}
		n.Partition("a", "b")
		if err := roundTrip(c); err == nil {
			t.Error("bytes crossed the cut")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Dial(ctx, "a", "10.0.0.1:1"); err == nil {
			t.Error("a connection crossed the cut")
		}
		n.Heal("a", "b")
		if c, err = n.Dial(t.Context(), "a", "10.0.0.1:1"); err != nil {
			t.Fatalf("after healing: %v", err)
		}
		if err := roundTrip(c); err != nil {
			t.Errorf("after healing: %v", err)
		}
		_ = c.Close()
		_ = l.Close()
		if _, err := n.Dial(t.Context(), "a", "10.0.0.1:1"); err == nil {
			t.Error("connected to a closed listener")
		}
	})
}

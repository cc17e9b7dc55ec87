package guavanetwork_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/io/guavanetwork"
)

// echo writes back each byte received.
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

// TestPartition guards against a partition that lets bytes or new connections through, or persists after Heal.
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
			t.Fatalf("round trip before the partition: %v", err)
		}
		n.Partition("a", "b")
		if err := roundTrip(c); err == nil {
			t.Error("bytes crossed the partition")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Dial(ctx, "a", "10.0.0.1:1"); err == nil {
			t.Error("a connection crossed the partition")
		}
		n.Heal("a", "b")
		if c, err = n.Dial(t.Context(), "a", "10.0.0.1:1"); err != nil {
			t.Fatalf("dial after Heal: %v", err)
		}
		if err := roundTrip(c); err != nil {
			t.Errorf("round trip after Heal: %v", err)
		}
		_ = c.Close()
		_ = l.Close()
		if _, err := n.Dial(t.Context(), "a", "10.0.0.1:1"); err == nil {
			t.Error("dial to a closed listener: got no error")
		}
	})
}

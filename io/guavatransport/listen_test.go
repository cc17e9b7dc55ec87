package guavatransport_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/io/guavatransport"
)

// busyNetwork is a network whose addresses fail with an error until a time.
type busyNetwork struct {
	guavatransport.Network
	err   error
	until time.Time
}

func (n busyNetwork) Listen(address string) (net.Listener, error) {
	if time.Now().Before(n.until) {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", n.err)}
	}
	return n.Network.Listen(address)
}

// TestListen guards against a process that ends because a connection holds its port for a moment, and against one that
// waits for a port without a bound or for an address that it will never get.
func TestListen(t *testing.T) {
	tests := []struct {
		name string
		err  error
		held time.Duration // how long the address fails
		// minTook and maxTook bound the time that Listen takes.
		minTook, maxTook time.Duration
		ok               bool
	}{
		{name: "free", ok: true},
		{name: "held for 2 s", err: syscall.EADDRINUSE, held: 2 * time.Second, minTook: 2 * time.Second, maxTook: 2100 * time.Millisecond, ok: true},
		{name: "held for good", err: syscall.EADDRINUSE, held: time.Hour, minTook: 3 * time.Second, maxTook: 6 * time.Second},
		{name: "not allowed", err: syscall.EACCES, held: time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				n := busyNetwork{Network: guavatransport.TCP(), err: test.err, until: start.Add(test.held)}
				ln, err := guavatransport.Listen(t.Context(), n, "127.0.0.1:0", hclog.NewNullLogger())
				if took := time.Since(start); took < test.minTook || took > test.maxTook {
					t.Errorf("took %v, want %v to %v", took, test.minTook, test.maxTook)
				}
				if (err == nil) != test.ok || (err != nil && !errors.Is(err, test.err)) {
					t.Errorf("got error %v, want success: %v", err, test.ok)
				}
				if err == nil {
					ln.Close()
				}
			})
		})
	}
	t.Run("cancelled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			n := busyNetwork{Network: guavatransport.TCP(), err: syscall.EADDRINUSE, until: start.Add(time.Hour)}
			if _, err := guavatransport.Listen(ctx, n, "127.0.0.1:0", hclog.NewNullLogger()); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got error %v, want %v", err, context.DeadlineExceeded)
			}
			if took := time.Since(start); took != time.Second {
				t.Errorf("took %v, want 1s", took)
			}
		})
	})
}

package guavatransport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// listenTimeout bounds the wait for a port that another socket holds, such as one of the predecessor of a process
	// that was killed and restarted at once, or an outgoing connection.
	listenTimeout = 5 * time.Second
	// listenRetryInterval is the pause between attempts to listen on such a port.
	listenRetryInterval = 50 * time.Millisecond
)

// Listen opens a listener on the network. While the address is in use, it tries again until listenTimeout has passed or
// ctx ends.
func Listen(ctx context.Context, n Network, address string, logger hclog.Logger) (net.Listener, error) {
	start := time.Now()
	for attempt := 1; ; attempt++ {
		ln, err := n.Listen(address)
		switch {
		case err == nil:
			if attempt > 1 {
				logger.Info("listening after retries", "address", address, "attempts", attempt, "ms", time.Since(start).Milliseconds())
			}
			return ln, nil
		case !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) >= listenTimeout:
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		case attempt == 1:
			logger.Warn("address in use, retrying", "address", address, "within", listenTimeout.Milliseconds(), "error", err)
		}
		select {
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return nil, fmt.Errorf("listen on %s: %w", address, context.Cause(ctx))
		}
	}
}

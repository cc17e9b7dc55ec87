package guavalisten

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept. Without a pause, a process without free
	// file descriptors would use a core for calls that fail.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
	// acceptLogInterval is the minimum time between log lines of failed accepts.
	acceptLogInterval = time.Second
)

// closedErrors are the errors of a socket that accepts no more connections.
var closedErrors = []error{
	net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT,
}

// RetryListener retries failed accepts, such as those without a free file descriptor. HTTP and gRPC servers end at
// most of these errors, and the process with them.
type RetryListener struct {
	net.Listener
	logger   hclog.Logger
	failures *atomic.Uint64
	once     sync.Once
	closed   chan struct{}

	mu       sync.Mutex
	loggedAt time.Time
}

// Retry returns a listener that accepts from ln and counts failures.
func Retry(ln net.Listener, l hclog.Logger, failures *atomic.Uint64) *RetryListener {
	return &RetryListener{Listener: ln, logger: l, failures: failures, closed: make(chan struct{})}
}

// Accept implements net.Listener. It returns an error only if the listener is closed.
func (l *RetryListener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := l.Listener.Accept()
		if err == nil || slices.ContainsFunc(closedErrors, func(e error) bool { return errors.Is(err, e) }) {
			return c, err //nolint:wrapcheck // servers compare the error with net.ErrClosed
		}
		l.recordFailure(err)
		select {
		case <-time.After(backoff):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener. It may be called more than once.
func (l *RetryListener) Close() (err error) {
	l.once.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err //nolint:wrapcheck // the error names the listener
}

// recordFailure counts a failure and logs it, at most once per acceptLogInterval.
func (l *RetryListener) recordFailure(err error) {
	total := l.failures.Add(1)
	now := time.Now()
	l.mu.Lock()
	due := now.Sub(l.loggedAt) >= acceptLogInterval
	if due {
		l.loggedAt = now
	}
	l.mu.Unlock()
	if due {
		l.logger.Warn("accept failed, retrying", "address", l.Addr().String(), "failures", total, "error", err)
	}
}

package guavaback

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavapool"
)

// Headers between VMs and backend servers.
const (
	// HeaderID carries the identifier of an attempt, in requests and responses.
	HeaderID = "X-Request-Id"
	// HeaderResume carries the number of tokens of a stream that were already delivered to the caller.
	HeaderResume = "X-Resume-Tokens"
	// HeaderLoad carries the load report "running,waiting,slots,kv" in responses of engines.
	HeaderLoad = "X-Load"
	// HeaderDeadline carries the time remaining until the deadline of a request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
)

var (
	// ErrFenced means that an engine refused an order because its epoch is older than one the engine has seen.
	ErrFenced = errors.New("order refused: the engine has seen a newer epoch")
	// ErrIDMismatch means that a response carries the identifier of another attempt, or none, or that a stream with
	// events of other attempts lacks its own final event.
	ErrIDMismatch = errors.New("response identifier does not match the attempt")
	// ErrStreamTruncated means that a stream ended before its final event [DONE].
	ErrStreamTruncated = errors.New("stream ended before [DONE]")
)

// Counters holds the counters of a client. The fields may be read at any time.
type Counters struct {
	guavapool.Counters
	// Dropped counts responses and events discarded because they carried another identifier.
	Dropped atomic.Uint64
	// Cancels counts calls of /cancel.
	Cancels atomic.Uint64
}

// Option changes a default of New.
type Option func(*httpClient)

// WithDial sets how connections are opened. The default is a net.Dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *httpClient) { c.dial = dial }
}

// WithDialTimeout sets the timeout for opening a connection. The default is one second.
func WithDialTimeout(d time.Duration) Option { return func(c *httpClient) { c.dialTimeout = d } }

// WithIdle sets how long an idle connection stays open, and the maximum number of idle connections per backend server.
// The time must be shorter than the idle timeout of the backend servers. The defaults are 20 s and 256.
func WithIdle(d time.Duration, limit int) Option {
	return func(c *httpClient) { c.idleTime, c.idleLimit = d, limit }
}

// WithBodyLimit sets the maximum size of a response body in bytes. The default is 64 MiB.
func WithBodyLimit(n int) Option { return func(c *httpClient) { c.bodyLimit = n } }

// WithCounters sets the counters that the client updates.
func WithCounters(counters *Counters) Option { return func(c *httpClient) { c.counters = counters } }

const (
	// cancelTimeout bounds a call of /cancel. A server that does not respond by then is stuck or lost the call.
	cancelTimeout = 2 * time.Second
	// cancelWindow bounds the retries of /cancel for an attempt. It is longer than engines usually hang.
	cancelWindow = 30 * time.Second
	// cancelInterval is the pause between two calls of /cancel for an attempt: a few decoding steps of an engine.
	cancelInterval = 200 * time.Millisecond
	// maxCancelNotFound is the number of 404 responses of /cancel after which an attempt whose response has not begun
	// counts as ended. The request and /cancel use separate connections, so the first calls may overtake the request.
	maxCancelNotFound = 3
)

type httpClient struct {
	dial        guavapool.Dial
	dialTimeout time.Duration
	idleTime    time.Duration
	idleLimit   int
	bodyLimit   int
	counters    *Counters
	pool        *guavapool.Pool
	cancels     sync.WaitGroup
	closed      context.Context
	close       context.CancelFunc
}

// New returns a client of backend servers. It does not retry requests.
func New(options ...Option) Client {
	c := &httpClient{
		dial:        (&net.Dialer{}).DialContext,
		dialTimeout: time.Second,
		idleTime:    20 * time.Second,
		idleLimit:   256,
		bodyLimit:   64 << 20,
		counters:    &Counters{},
	}
	for _, o := range options {
		o(c)
	}
	c.closed, c.close = context.WithCancel(context.Background())
	c.pool = guavapool.New(c.dial, c.dialTimeout, c.idleTime, c.idleLimit, &c.counters.Counters)
	return c
}

// Close implements Client. It waits for the calls of /cancel in flight, which are not retried.
func (c *httpClient) Close() {
	c.close()
	c.cancels.Wait()
	c.pool.Close()
}

// Do implements Client.
func (c *httpClient) Do(ctx context.Context, a Attempt, sink Sink) (Response, error) {
	start := time.Now()
	x := exchange{client: c, attempt: &a, sink: sink}
	response, err := x.run(ctx)
	if err == nil {
		return response, nil
	}
	e := &Error{Execution: guavaretry.NotExecuted, Elapsed: time.Since(start), Err: err, Text: a.Text, Tokens: a.Tokens}
	if x.sent {
		e.Execution = guavaretry.ExecutionUnknown
		e.Crash = x.connectionFailed && ctx.Err() == nil
		e.Text, e.Tokens = x.text(), a.Tokens+x.tokens
		if isCompletionPath(a.Path) && !e.Crash {
			c.cancelInBackground(a.Address, a.ID, x.headReceived)
		}
	}
	if ctx.Err() != nil {
		e.Err = fmt.Errorf("attempt ended: %w", context.Cause(ctx))
	}
	return Response{}, e
}

// isCompletionPath reports whether path is a completion endpoint. Only engines have these, and only engines support
// /cancel.
func isCompletionPath(path string) bool {
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// cancelInBackground cancels an attempt without blocking its caller. A call of /cancel that fails, or that reaches the
// engine before the request does, is retried.
func (c *httpClient) cancelInBackground(address, id string, headReceived bool) {
	c.cancels.Go(func() {
		deadline := time.Now().Add(cancelWindow)
		notFound := 0
		for time.Now().Before(deadline) {
			found, err := c.cancelOnce(address, id)
			switch {
			case found:
				return
			case err == nil:
				if notFound++; headReceived || notFound == maxCancelNotFound {
					return
				}
			case errors.Is(err, syscall.ECONNREFUSED):
				// The engine process has ended, and the attempt with it.
				return
			}
			select {
			case <-time.After(cancelInterval):
			case <-c.closed.Done():
				return
			}
		}
	})
}

// cancelOnce makes one call of /cancel within cancelTimeout. It reports whether the engine found the attempt.
func (c *httpClient) cancelOnce(address, id string) (found bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return c.cancel(ctx, address, id)
}

// Cancel implements Client.
func (c *httpClient) Cancel(ctx context.Context, address, id string) error {
	_, err := c.cancel(ctx, address, id)
	return err
}

// cancel requests that an engine end an attempt. It reports whether the engine found the attempt.
func (c *httpClient) cancel(ctx context.Context, address, id string) (found bool, err error) {
	c.counters.Cancels.Add(1)
	body, err := json.Marshal(map[string]string{"id": id})
	if err != nil {
		return false, fmt.Errorf("encode body of /cancel: %w", err)
	}
	status, _, err := c.call(ctx, fasthttp.MethodPost, address, "/cancel", body)
	if err != nil {
		return false, fmt.Errorf("cancel attempt at %s: %w", address, err)
	}
	// 404: the engine does not run the attempt, so there is nothing to cancel.
	if status != fasthttp.StatusOK && status != fasthttp.StatusNotFound {
		return false, fmt.Errorf("cancel attempt at %s: got status %d, want 200 or 404", address, status)
	}
	return status == fasthttp.StatusOK, nil
}

// Load implements Client.
func (c *httpClient) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	if err := c.get(ctx, address, "/load", &l); err != nil {
		return Load{}, fmt.Errorf("read load report of %s: %w", address, err)
	}
	return l, nil
}

// Events implements Client.
func (c *httpClient) Events(ctx context.Context, address string, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	if err := c.get(ctx, address, "/events?from="+strconv.FormatUint(from, 10), &events); err != nil {
		return nil, fmt.Errorf("read cache events of %s: %w", address, err)
	}
	return events, nil
}

// Order implements Client.
func (c *httpClient) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, response, err := c.call(ctx, fasthttp.MethodPost, address, "/orders", body)
	switch {
	case err != nil:
		return fmt.Errorf("send order to %s: %w", address, err)
	case status == fasthttp.StatusConflict:
		return fmt.Errorf("send order to %s: %w", address, ErrFenced)
	case status != fasthttp.StatusOK:
		return fmt.Errorf("send order to %s: got status %d, want 200: %.200s", address, status, response)
	}
	return nil
}

func (c *httpClient) get(ctx context.Context, address, path string, v any) error {
	status, body, err := c.call(ctx, fasthttp.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("got status %d, want 200: %.200s", status, body)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// call sends a control request, whose response carries no identifier. It returns the status and the body.
func (c *httpClient) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	x := exchange{client: c, control: true, attempt: &Attempt{
		Address: address, Method: method, Path: path, Body: body,
		Header: map[string]string{"Content-Type": "application/json"},
	}}
	response, err := x.run(ctx)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return 0, nil, err
	}
	return response.Status, response.Body, nil
}

// parseLoad parses the value of HeaderLoad. It returns the zero value if v is malformed.
func parseLoad(v string) Load {
	parts := strings.Split(v, ",")
	if len(parts) != 4 {
		return Load{}
	}
	var n [3]int
	for i := range n {
		var err error
		if n[i], err = strconv.Atoi(strings.TrimSpace(parts[i])); err != nil || n[i] < 0 {
			return Load{}
		}
	}
	kv, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64)
	if err != nil || !(kv >= 0 && kv <= 1) {
		return Load{}
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2], KV: kv}
}

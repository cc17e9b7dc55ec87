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
	// HeaderID carries the identifier of an attempt, in requests and answers.
	HeaderID = "X-Request-Id"
	// HeaderResume carries the number of tokens that were already delivered of a stream.
	HeaderResume = "X-Resume-Tokens"
	// HeaderLoad carries "running,waiting,slots,kv" in answers of engines.
	HeaderLoad = "X-Load"
	// HeaderDeadline carries the milliseconds that are left for a request.
	HeaderDeadline = "X-Deadline-Ms"
)

var (
	// ErrFenced means that an engine refused an order because its epoch is old.
	ErrFenced = errors.New("the engine has seen a newer epoch")
	// ErrIDMismatch means that a backend server answered with the identifier of another attempt.
	ErrIDMismatch = errors.New("the answer belongs to another request")
	// ErrStreamTruncated means that a stream ended before its last event.
	ErrStreamTruncated = errors.New("the stream ended early")
)

// Counters counts what a client did. The fields may be read at any time.
type Counters struct {
	guavapool.Counters
	// Dropped counts answers and events that carried another identifier.
	Dropped atomic.Uint64
	// Cancels counts attempts cancelled at engines.
	Cancels atomic.Uint64
}

// Option changes a default of New.
type Option func(*backend)

// WithDial sets how connections are opened. The default is a net.Dialer.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(b *backend) { b.dial = dial }
}

// WithDialTimeout sets the longest time for opening a connection. The default is one second.
func WithDialTimeout(d time.Duration) Option { return func(b *backend) { b.dialTimeout = d } }

// WithIdle sets how long a connection stays open without use, and how many such connections are kept per
// backend server. The time must be shorter than the idle time of the backend servers. The defaults are 20 s
// and 256.
func WithIdle(d time.Duration, limit int) Option {
	return func(b *backend) { b.idleTime, b.idleLimit = d, limit }
}

// WithBodyLimit sets the largest body of an answer in bytes. The default is 64 MiB.
func WithBodyLimit(n int) Option { return func(b *backend) { b.bodyLimit = n } }

// WithCounters sets where the client counts.
func WithCounters(c *Counters) Option { return func(b *backend) { b.counters = c } }

const (
	// cancelTimeout bounds a call of /cancel: a server that does not answer by then has lost the request or is stuck.
	cancelTimeout = 2 * time.Second
	// cancelWindow is the time for which an attempt is cancelled again: longer than engines usually hang.
	cancelWindow = 30 * time.Second
	// cancelPause is the time between two calls of /cancel for an attempt: a few steps of an engine.
	cancelPause = 200 * time.Millisecond
	// cancelChecks is the number of answers "no such request" that end the cancelling of an attempt without an answer. Its
	// request travels on a connection of its own, so that the first cancel may arrive before it.
	cancelChecks = 3
)

type backend struct {
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

// New returns a client of backend servers. It never repeats a request.
func New(options ...Option) Client {
	b := &backend{
		dial:        (&net.Dialer{}).DialContext,
		dialTimeout: time.Second,
		idleTime:    20 * time.Second,
		idleLimit:   256,
		bodyLimit:   64 << 20,
		counters:    &Counters{},
	}
	for _, o := range options {
		o(b)
	}
	b.closed, b.close = context.WithCancel(context.Background())
	b.pool = guavapool.New(b.dial, b.dialTimeout, b.idleTime, b.idleLimit, &b.counters.Counters)
	return b
}

// Close implements Client. It waits for calls of /cancel under way, which are not made again.
func (b *backend) Close() {
	b.close()
	b.cancels.Wait()
	b.pool.Close()
}

// Do implements Client.
func (b *backend) Do(ctx context.Context, a Attempt, sink Sink) (Response, error) {
	start := time.Now()
	x := exchange{backend: b, attempt: &a, sink: sink}
	answer, err := x.run(ctx)
	if err == nil {
		return answer, nil
	}
	e := &Error{Execution: guavaretry.NotExecuted, Elapsed: time.Since(start), Err: err, Text: a.Text, Tokens: a.Tokens}
	if x.sent {
		e.Execution = guavaretry.ExecutionUnknown
		e.Crash = x.broken && ctx.Err() == nil
		e.Text, e.Tokens = x.text(), a.Tokens+x.tokens
		if completes(a.Path) && !e.Crash {
			b.cancelLater(a.Address, a.ID, x.answered)
		}
	}
	if ctx.Err() != nil {
		e.Err = fmt.Errorf("attempt ended: %w", context.Cause(ctx))
	}
	return Response{}, e
}

// completes reports whether a path is one of the completion paths of engines, which know /cancel.
func completes(path string) bool {
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

// cancelLater cancels an attempt without making its caller wait. A call that gets no answer, or that reaches an engine
// before the request does, is made again.
func (b *backend) cancelLater(address, id string, answered bool) {
	b.cancels.Go(func() {
		until := time.Now().Add(cancelWindow)
		unknown := 0
		for time.Now().Before(until) {
			known, err := b.cancelOnce(address, id)
			switch {
			case known:
				return
			case err == nil:
				if unknown++; answered || unknown == cancelChecks {
					return
				}
			case errors.Is(err, syscall.ECONNREFUSED):
				// Nothing listens: the engine has ended, and the attempt with it.
				return
			}
			select {
			case <-time.After(cancelPause):
			case <-b.closed.Done():
				return
			}
		}
	})
}

// cancelOnce makes one call of /cancel. It reports whether the engine knew the attempt.
func (b *backend) cancelOnce(address, id string) (known bool, err error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	return b.cancel(ctx, address, id)
}

// Cancel implements Client.
func (b *backend) Cancel(ctx context.Context, address, id string) error {
	_, err := b.cancel(ctx, address, id)
	return err
}

// cancel asks an engine to end an attempt. It reports whether the engine knew the attempt.
func (b *backend) cancel(ctx context.Context, address, id string) (known bool, err error) {
	b.counters.Cancels.Add(1)
	body, err := json.Marshal(map[string]string{"id": id})
	if err != nil {
		return false, fmt.Errorf("encode cancel: %w", err)
	}
	status, _, err := b.call(ctx, fasthttp.MethodPost, address, "/cancel", body)
	if err != nil {
		return false, fmt.Errorf("cancel at %s: %w", address, err)
	}
	// An engine that does not know the attempt has nothing to cancel.
	if status != fasthttp.StatusOK && status != fasthttp.StatusNotFound {
		return false, fmt.Errorf("cancel at %s: status %d", address, status)
	}
	return status == fasthttp.StatusOK, nil
}

// Load implements Client.
func (b *backend) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	if err := b.get(ctx, address, "/load", &l); err != nil {
		return Load{}, fmt.Errorf("read load of %s: %w", address, err)
	}
	return l, nil
}

// Events implements Client.
func (b *backend) Events(ctx context.Context, address string, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	if err := b.get(ctx, address, "/events?from="+strconv.FormatUint(from, 10), &events); err != nil {
		return nil, fmt.Errorf("read cache events of %s: %w", address, err)
	}
	return events, nil
}

// Order implements Client.
func (b *backend) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	status, answer, err := b.call(ctx, fasthttp.MethodPost, address, "/orders", body)
	switch {
	case err != nil:
		return fmt.Errorf("order to %s: %w", address, err)
	case status == fasthttp.StatusConflict:
		return fmt.Errorf("order to %s: %w", address, ErrFenced)
	case status != fasthttp.StatusOK:
		return fmt.Errorf("order to %s: status %d: %.200s", address, status, answer)
	}
	return nil
}

func (b *backend) get(ctx context.Context, address, path string, v any) error {
	status, body, err := b.call(ctx, fasthttp.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %.200s", status, body)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// call sends a control request, whose answer needs no identifier.
func (b *backend) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	x := exchange{backend: b, control: true, attempt: &Attempt{
		Address: address, Method: method, Path: path, Body: body,
		Header: map[string]string{"Content-Type": "application/json"},
	}}
	answer, err := x.run(ctx)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return 0, nil, err
	}
	return answer.Status, answer.Body, nil
}

// parseLoad reads the value of HeaderLoad. A malformed value counts as no report.
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

package guavagate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavahedge"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaroster"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavasend"
	"guavaridge/io/guavatransport"
)

// Admission grants reservations on servers and rate limit tokens.
type Admission interface {
	Acquire(ctx context.Context, service string, r guavaplace.Request) (*guavacoord.Reservation, error)
	Token(ctx context.Context, account string) (t guavacoord.Token, ok bool, after time.Duration)
	// Return returns the token of a request that was not executed and never will be. The zero Token is ignored.
	Return(t guavacoord.Token)
}

// Submission is a request to run a job, and what the configuration by which it is accepted says of it.
type Submission struct {
	Request Request
	Config  *guavatraffic.Config
	Route   guavatraffic.Route
	Account string
}

// Jobs serves the operations on batch jobs.
type Jobs interface {
	// Submit submits a job.
	Submit(ctx context.Context, w *fasthttp.RequestCtx, s Submission)
	// Serve handles the other operations.
	Serve(ctx context.Context, w *fasthttp.RequestCtx, r Request, account string)
}

// Dependencies are the collaborators of a Gateway.
type Dependencies struct {
	Protocol  Protocol
	Admission Admission
	Jobs      Jobs
	Sender    *guavasend.Sender
	// Bodies is the memory for bodies of requests, by account.
	Bodies *guavabudget.Shares[string]
	// Config returns the configuration in force, nil while there is none.
	Config func() *guavatraffic.Config
	// Stale reports whether the configuration may be out of date: the store is unavailable, or something refers to a newer one.
	Stale func() bool
	// Status returns whether a server accepts requests for the service, by this VM's own server list.
	Status func(service string, server guavatraffic.Incarnation) guavaroster.Status
	// Hedge returns the limit of copies for a route; nil means that none are sent.
	Hedge func(route string) guavahedge.Policy
	// Metrics record the course of requests.
	Metrics Metrics
	Logger  hclog.Logger
}

// Metrics are functions that record the course of requests. Those that are nil record nothing.
type Metrics struct {
	// Wait records the wait for a reservation, FirstByte the time to the first byte of the response, Total that to its
	// end.
	Wait, FirstByte, Total func(seconds float64)
	// FirstByteDeviation records how much later the first byte arrived than the coordinator expected at the grant.
	FirstByteDeviation func(seconds float64)
	Ended              func(e Ending)
}

// withDefaults replaces nil functions with no-ops.
func (m Metrics) withDefaults() Metrics {
	for _, f := range [...]*func(float64){&m.Wait, &m.FirstByte, &m.Total, &m.FirstByteDeviation} {
		if *f == nil {
			*f = func(float64) {}
		}
	}
	if m.Ended == nil {
		m.Ended = func(Ending) {}
	}
	return m
}

// Counters are the counters of a Gateway. The fields may be read at any time.
type Counters struct {
	Requests, Answered, Refused, Tokens, Limited, Failed, Disconnected, Retried, Resumed, Silences, Rejected atomic.Uint64
	// OverLimit counts the requests that exceeded a limit of the configuration, OverMemory those for which the VM had no memory,
	// and Evicted the connections that were closed to make room for others.
	OverLimit, OverMemory, Evicted atomic.Uint64
	// Hedged counts the copies of slow requests that were sent, HedgesWon those that responded first, and HedgesHeld those that
	// the limit or a lack of spare room has prevented.
	Hedged, HedgesWon, HedgesHeld atomic.Uint64
}

const (
	// maxHeaderSize bounds the header of a request, in bytes, unless the configuration does; callers stay below it.
	maxHeaderSize = 16 << 10
	// maxBodySize bounds the body of a request, in bytes, unless the configuration does.
	maxBodySize = 8 << 20
	// readTimeout bounds the time for reading the head of a request unless the configuration sets a shorter one, and that for
	// reading its body.
	readTimeout = 10 * time.Second
	// idleTimeout is how long idle connections stay open unless the configuration sets a shorter time. timeoutMargin is added to
	// the times of the configuration, so that a VM that was frozen closes no connection whose caller has kept to them.
	idleTimeout   = 75 * time.Second
	timeoutMargin = 5 * time.Second
	// unreadTimeout is how long after the deadline of a request its caller may read a response that is held for it.
	unreadTimeout = 10 * time.Second
	// unknownRetryAfter is the Retry-After time of a VM without a current configuration. The retry reaches another VM.
	unknownRetryAfter = 30 * time.Millisecond
	// closeTimeout bounds the time in which the requests that Close ends may still respond.
	closeTimeout = 100 * time.Millisecond
	// closePollInterval is the interval at which Close checks whether there are such requests.
	closePollInterval = 5 * time.Millisecond
	// lastWriteTime is left for writing the responses of such requests, which the HTTP server does after they have ended.
	lastWriteTime = 20 * time.Millisecond
)

// Causes of the cancellation of a request.
var (
	errDisconnected = errors.New("the caller has disconnected")
	errDeadline     = errors.New("the deadline of the request has passed")
	errClosing      = errors.New("the VM is closing")
)

// Gateway is the HTTP server for callers.
type Gateway struct {
	Dependencies
	Counters Counters

	http     *fasthttp.Server
	base     context.Context
	stop     context.CancelCauseFunc
	draining atomic.Bool
	drainEnd atomic.Pointer[time.Time] // when Close follows a drain, nil if unknown
	running  atomic.Int64

	mu             sync.Mutex
	listeners      []*guavalisten.Listener
	retryDetectors map[string]*guavaplace.RetryDetector // by route
	hedgers        map[string]*guavahedge.Hedger        // by route
}

// New returns a gateway that serves no listener yet. It serves at most the given number of connections at a time.
func New(d Dependencies, connections int) *Gateway {
	d.Metrics = d.Metrics.withDefaults()
	g := &Gateway{Dependencies: d, retryDetectors: map[string]*guavaplace.RetryDetector{}, hedgers: map[string]*guavahedge.Hedger{}}
	g.base, g.stop = context.WithCancelCause(context.Background())
	g.http = &fasthttp.Server{
		Handler:            g.handle,
		Logger:             discardLogger{},
		ReadBufferSize:     maxHeaderSize,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		StreamRequestBody:  true,
		MaxRequestBodySize: maxBodySize,
		ErrorHandler:       g.handleReadError,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: readTimeout} // for the body
		},
		ConnState:                    setIdle,
		Concurrency:                  connections + 1,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		ReduceMemoryUsage:            true,
		CloseOnShutdown:              true,
	}
	return g
}

// Timeouts returns how long the head of a request may take, and how long a connection may stay idle, by the configuration in
// force; 0 if it sets no time.
func (g *Gateway) Timeouts() (head, idle time.Duration) {
	c := g.Config()
	if c == nil {
		return 0, 0
	}
	if head = c.Limits.HeaderTime; head > 0 {
		head += timeoutMargin
	}
	if idle = c.Limits.IdleTime; idle > 0 {
		idle += timeoutMargin
	}
	return head, idle
}

// Serve accepts connections until Shutdown or Close. It returns nil after Drain.
func (g *Gateway) Serve(l *guavalisten.Listener) error {
	g.mu.Lock()
	g.listeners = append(g.listeners, l)
	g.mu.Unlock()
	err := g.http.Serve(l)
	if g.draining.Load() {
		return nil
	}
	return err //nolint:wrapcheck // the caller says which listener it was
}

// Drain makes responses close their connections, so that callers send further requests to other VMs, and refuses
// requests that may last until the given time, at which the gateway will be closed.
func (g *Gateway) Drain(end time.Time) {
	g.drainEnd.Store(&end)
	g.draining.Store(true)
}

// outlastsDrain reports whether a request with the given deadline may still run when the gateway is closed.
func (g *Gateway) outlastsDrain(deadline time.Time) bool {
	end := g.drainEnd.Load()
	return end != nil && deadline.After(*end) // by the steady clock
}

// Shutdown closes idle connections and waits for the others to end, at most until ctx ends. A caller that sends a
// request while its idle connection is closed learns that the request was not read.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the HTTP server: %w", err)
	}
	return nil
}

// Running returns the number of requests that are being served.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Close ends all requests and connections. Requests without a response get one first.
func (g *Gateway) Close() {
	g.draining.Store(true)
	g.stop(errClosing)
	for end := time.Now().Add(closeTimeout); g.Running() > 0 && time.Now().Before(end); {
		time.Sleep(closePollInterval)
	}
	time.Sleep(lastWriteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		_ = l.Close() // a listener that fails to close takes no connections either
		l.CloseConnections()
	}
}

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	c := &call{gate: g, ctx: ctx, arrived: time.Now()}
	c.conn, _ = ctx.Conn().(*guavalisten.Connection)
	defer c.recoverPanic()
	guavatransport.IgnoreTrailers(&ctx.Request.Header)
	c.request = g.Protocol.DecodeRequest(&ctx.Request.Header)
	g.Counters.Requests.Add(1)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	c.serve()
}

// handleReadError responds to a request whose head could not be read.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var (
		timeout net.Error
		small   *fasthttp.ErrSmallBuffer
	)
	switch {
	case errors.As(err, &small):
		g.Counters.OverLimit.Add(1)
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// setIdle tells a connection that its request has ended.
func setIdle(c net.Conn, s fasthttp.ConnState) {
	if w, ok := c.(*guavalisten.Connection); ok && s == fasthttp.StateIdle {
		w.SetIdle()
	}
}

// detectRetry reports whether a request of the route is a retry of a refused one, by its remaining time.
func (g *Gateway) detectRetry(route string, remaining time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.retryDetectors[route]
	if r == nil {
		r = &guavaplace.RetryDetector{}
		g.retryDetectors[route] = r
	}
	return r.Observe(remaining)
}

// discardLogger drops the log lines of the HTTP server, which are about errors of callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

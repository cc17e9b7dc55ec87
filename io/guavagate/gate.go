package guavagate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavasend"
)

// Admission gives out places on servers and tokens of rates.
type Admission interface {
	Acquire(ctx context.Context, service string, r guavaplace.Request) (*guavacoord.Reservation, error)
	Token(ctx context.Context, account string) (t guavacoord.Token, ok bool, after time.Duration)
	// Return takes back the token of a request that has not run and never will. That of a request without one does nothing.
	Return(t guavacoord.Token)
}

// Jobs serves the operations on batch jobs.
type Jobs interface {
	// Submit takes in a job.
	Submit(ctx context.Context, w *fasthttp.RequestCtx, r Request, route guavatraffic.Route, account string)
	// Serve answers the other operations.
	Serve(ctx context.Context, w *fasthttp.RequestCtx, r Request, account string)
}

// Dependencies are what a Gate works with.
type Dependencies struct {
	Protocol  Protocol
	Admission Admission
	Jobs      Jobs
	Sender    *guavasend.Sender
	// Config returns the configuration in force, nil while there is none.
	Config func() *guavatraffic.Config
	// Stale reports whether the configuration may be out of date because the store does not answer.
	Stale func() bool
	// Usable reports whether this VM itself knows the server as one that takes requests for the service.
	Usable func(service, server string) bool
	// Metrics take in how requests went.
	Metrics Metrics
	Logger  hclog.Logger
}

// Metrics take in how requests went. Functions that are missing take in nothing.
type Metrics struct {
	// Wait takes in the time for a place, FirstByte that to the first byte of the answer, Total that to its end.
	Wait, FirstByte, Total func(seconds float64)
	// FirstByteDeviation takes in by how much the first byte came later than expected when the place was granted.
	FirstByteDeviation func(seconds float64)
	Ended              func(e Ending)
}

// withDefaults returns metrics whose missing functions do nothing.
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

// Counters counts what a Gate did. The fields may be read at any time.
type Counters struct {
	Requests, Answered, Refused, Tokens, Limited, Failed, Disconnected, Retried, Resumed, Rejected atomic.Uint64
}

const (
	// headerSize bounds a request's header in bytes until a configuration says otherwise; callers stay below.
	headerSize = 16 << 10
	// bodySize bounds a request's body in bytes in the same way.
	bodySize = 8 << 20
	// readTime bounds the time for reading a whole request.
	readTime = 10 * time.Second
	// idleTime is how long connections stay open without use if the configuration sets no time, and idleExtra how much
	// longer than that time, so that the caller ends them first.
	idleTime  = 75 * time.Second
	idleExtra = 5 * time.Second
	// unknownAfter is when the caller of a VM that knows no configuration yet may come back. Its next try reaches another VM.
	unknownAfter = 30 * time.Millisecond
)

// Errors that end a request.
var (
	errGone     = errors.New("the caller has left")
	errDeadline = errors.New("the time of the request is over")
	errClosing  = errors.New("the VM is closing")
)

// Gateway serves callers.
type Gateway struct {
	Dependencies
	Counters Counters

	http     *fasthttp.Server
	base     context.Context
	stop     context.CancelCauseFunc
	draining atomic.Bool
	running  atomic.Int64

	mu        sync.Mutex
	listeners []*guavalisten.Listener
	returns   map[string]*guavaplace.RetryDetector // by route
}

// New returns a gate that serves nothing yet. It accepts at most connections at a time.
func New(d Dependencies, connections int) *Gateway {
	d.Metrics = d.Metrics.withDefaults()
	g := &Gateway{Dependencies: d, returns: map[string]*guavaplace.RetryDetector{}}
	g.base, g.stop = context.WithCancelCause(context.Background())
	g.http = &fasthttp.Server{
		Handler:                      g.handle,
		Logger:                       quietLogger{},
		ReadBufferSize:               headerSize,
		ReadTimeout:                  readTime,
		IdleTimeout:                  idleTime,
		MaxRequestBodySize:           bodySize,
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

// Serve accepts callers until Drain or Close.
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

// Drain tells callers to take their next requests elsewhere.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Shutdown closes idle connections and waits for the others to end, at most until ctx ends. Callers whose next request
// crosses the closing of an idle connection know that it was not read.
func (g *Gateway) Shutdown(ctx context.Context) error {
	if err := g.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down the gate: %w", err)
	}
	return nil
}

// Running returns the number of requests that are being served.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Close ends all requests and connections.
func (g *Gateway) Close() {
	g.draining.Store(true)
	g.stop(errClosing)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		_ = l.Close() // a listener that fails to close takes no connections either
		l.CloseConnections()
	}
}

func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	c := &call{gate: g, ctx: ctx, request: g.Protocol.DecodeRequest(&ctx.Request.Header), arrived: time.Now()}
	g.Counters.Requests.Add(1)
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	c.serve()
}

// isReturning reports whether a request of the route comes back after a refusal.
func (g *Gateway) isReturning(route string, left time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.returns[route]
	if r == nil {
		r = &guavaplace.RetryDetector{}
		g.returns[route] = r
	}
	return r.Observe(left)
}

// quietLogger drops the server's own lines, which callers cause.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

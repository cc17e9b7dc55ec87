// Package guavafront is the HTTP server for callers: it authenticates requests and passes them on to a dispatcher.
package guavafront

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavacertificate"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavalisten"
)

// Handler serves a path for an authenticated client account. It reads the request body from
// ctx.RequestBodyStream(), since the body may be streamed.
type Handler func(ctx *fasthttp.RequestCtx, account string)

// Dependencies are the components that a Front uses.
type Dependencies struct {
	// Snapshot returns the current configuration.
	Snapshot   func() *guavaconfig.Snapshot
	Dispatcher guavadispatch.Dispatcher
	// Files and Batches serve /v1/files and /v1/batches; a nil handler responds with 404.
	Files, Batches Handler
	Logger         hclog.Logger
}

// Counters counts events of a Front. The fields may be read concurrently.
type Counters struct {
	Requests atomic.Uint64
	// Refused counts requests that were rejected before dispatch.
	Refused atomic.Uint64
	// Denied counts refused requests that failed authentication or authorization. They are included in Refused.
	Denied atomic.Uint64
	// Ended counts running requests that were cancelled because their key was withdrawn.
	Ended atomic.Uint64
	// Disconnected counts callers that disconnected before their response was complete.
	Disconnected atomic.Uint64
	// Rejected counts connections rejected at the connection limit.
	Rejected atomic.Uint64
	// Panics counts panics in request handling.
	Panics atomic.Uint64
}

type config struct {
	maxBody        int
	maxFile        int
	maxHeader      int
	maxConnections int
	headerTimeout  time.Duration
	bodyTimeout    time.Duration
	fileTimeout    time.Duration
	idleTimeout    time.Duration
	writeTimeout   time.Duration
	defaultTimeout time.Duration
	drainGrace     time.Duration
	certFile       string
	keyFile        string
	counters       *Counters
}

// Option changes a default of New.
type Option func(*config)

// WithBodyLimit sets the maximum size in bytes of a request body and of an uploaded file. The defaults are
// 16 MiB and 4 GiB.
func WithBodyLimit(body, file int) Option {
	return func(c *config) { c.maxBody, c.maxFile = body, file }
}

// WithHeaderLimit sets the maximum size of a request header in bytes. The default is 16 KiB.
func WithHeaderLimit(n int) Option { return func(c *config) { c.maxHeader = n } }

// WithConnectionLimit sets the maximum number of open connections. The default is 20,000.
func WithConnectionLimit(n int) Option { return func(c *config) { c.maxConnections = n } }

// WithReadTimeouts sets the timeouts for reading a header, a body, and an uploaded file. The defaults are
// 10 s, 60 s and 30 min.
func WithReadTimeouts(header, body, file time.Duration) Option {
	return func(c *config) { c.headerTimeout, c.bodyTimeout, c.fileTimeout = header, body, file }
}

// WithIdleTimeout sets how long a connection stays open between requests. The default of 75 s is longer than
// the 60 s after which common load balancers close idle connections, so that the load balancer closes first.
func WithIdleTimeout(d time.Duration) Option { return func(c *config) { c.idleTimeout = d } }

// WithWriteTimeout sets how long a write may wait for a caller that does not read. The default is 30 s.
func WithWriteTimeout(d time.Duration) Option { return func(c *config) { c.writeTimeout = d } }

// WithDeadline sets the timeout of requests for which neither the caller nor the route sets one. The default is 10 min.
func WithDeadline(d time.Duration) Option { return func(c *config) { c.defaultTimeout = d } }

// WithDrainGrace sets how long Drain keeps serving open connections, with a Connection: close header in each
// response, before it closes idle ones. The default is 2 s.
func WithDrainGrace(d time.Duration) Option { return func(c *config) { c.drainGrace = d } }

// WithTLS serves TLS with a certificate and key from PEM files, which are reloaded when they change.
func WithTLS(certFile, keyFile string) Option {
	return func(c *config) { c.certFile, c.keyFile = certFile, keyFile }
}

// WithCounters sets the counters that the Front updates.
func WithCounters(counters *Counters) Option { return func(c *config) { c.counters = counters } }

// tooManyConnections is the raw HTTP response sent on connections over the limit.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 117\r\n\r\n" +
	`{"error":{"message":"too many connections","type":"server_error","param":null,"code":"overloaded","ran":"none"}}    ` + "\n"

// Front is an HTTP server for callers.
type Front struct {
	Dependencies
	config
	http        *fasthttp.Server
	tls         *tls.Config
	running     *requestTracker
	baseContext context.Context
	cancelBase  context.CancelCauseFunc
	draining    atomic.Bool

	mu        sync.Mutex
	listeners []*guavalisten.Listener
}

// New returns a Front. Serve starts it on a listener.
func New(d Dependencies, options ...Option) (*Front, error) {
	if d.Snapshot == nil || d.Dispatcher == nil {
		return nil, errors.New("front: a snapshot function and a dispatcher are required")
	}
	if d.Logger == nil {
		d.Logger = hclog.NewNullLogger()
	}
	f := &Front{Dependencies: d, running: newRequestTracker(), config: config{
		maxBody: 16 << 20, maxFile: 4 << 30, maxHeader: 16 << 10, maxConnections: 20_000,
		headerTimeout: 10 * time.Second, bodyTimeout: time.Minute, fileTimeout: 30 * time.Minute,
		idleTimeout:  75 * time.Second,
		writeTimeout: 30 * time.Second, defaultTimeout: 10 * time.Minute, drainGrace: 2 * time.Second, counters: &Counters{},
	}}
	for _, o := range options {
		o(&f.config)
	}
	if f.certFile != "" {
		c, err := guavacertificate.New(f.certFile, f.keyFile, d.Logger)
		if err != nil {
			return nil, fmt.Errorf("front: load TLS certificate: %w", err)
		}
		f.tls = &tls.Config{GetCertificate: c.GetCertificate, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	}
	f.baseContext, f.cancelBase = context.WithCancelCause(context.Background())
	f.http = &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.handleError,
		HeaderReceived:               f.headerReceived,
		Logger:                       debugLogger{d.Logger},
		ReadBufferSize:               f.maxHeader,
		ReadTimeout:                  f.headerTimeout,
		IdleTimeout:                  f.idleTimeout,
		MaxRequestBodySize:           f.maxBody,
		Concurrency:                  f.maxConnections + 1,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
	}
	return f, nil
}

// Serve accepts connections on ln until Drain or Close. It may be called for several listeners.
func (f *Front) Serve(ln net.Listener) error {
	l := guavalisten.New(ln, guavalisten.Options{
		Limit: f.maxConnections, WriteTimeout: f.writeTimeout, TLS: f.tls,
		RejectResponse: tooManyConnections, Rejected: &f.counters.Rejected,
	})
	f.mu.Lock()
	if f.draining.Load() {
		f.mu.Unlock()
		return ln.Close()
	}
	f.listeners = append(f.listeners, l)
	f.mu.Unlock()
	if err := f.http.Serve(l); err != nil && !f.draining.Load() {
		return fmt.Errorf("front: serve: %w", err)
	}
	return nil
}

// Ready reports whether the front accepts new connections.
func (f *Front) Ready() bool { return !f.draining.Load() }

// Admin returns the handler of /healthz and /readyz for the admin address.
func (f *Front) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !f.Ready() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	return mux
}

// Refresh applies the current configuration to running requests. It cancels those whose key was withdrawn or may
// no longer use their route. It has to be called after each change of the snapshot.
func (f *Front) Refresh() {
	if n := f.running.cancelInvalid(f.Snapshot()); n > 0 {
		f.counters.Ended.Add(uint64(n)) //nolint:gosec // n is not negative
		f.Logger.Info("ended requests whose key was withdrawn", "requests", n)
	}
}

// Running returns the number of requests that are being served.
func (f *Front) Running() int { return f.running.len() }

// Drain stops accepting connections, waits for running requests and streams, and closes all connections. If ctx
// is done first, Drain cancels the remaining requests and returns an error.
func (f *Front) Drain(ctx context.Context) error {
	f.closeListeners()
	timer := time.NewTimer(f.drainGrace)
	defer timer.Stop()
	tick := time.NewTicker(max(f.drainGrace/20, time.Millisecond))
	defer tick.Stop()
	for waiting := true; waiting && f.connectionCount() > 0; {
		select {
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-tick.C:
		}
	}
	err := f.http.ShutdownWithContext(ctx)
	if err != nil {
		f.cancelRunning()
	}
	f.Close()
	if err != nil {
		return fmt.Errorf("front: drain: %w", err)
	}
	return nil
}

const (
	// cancelTimeout is the maximum wait for cancelled requests to send their error response.
	cancelTimeout = time.Second
	// cancelPollInterval is the interval of polling for their end, and the time allowed for sending the last bytes.
	cancelPollInterval = 20 * time.Millisecond
)

// cancelRunning cancels all requests, which then send an error response.
func (f *Front) cancelRunning() {
	f.cancelBase(errClosing)
	for range cancelTimeout / cancelPollInterval {
		if f.running.len() == 0 {
			break
		}
		time.Sleep(cancelPollInterval)
	}
	time.Sleep(cancelPollInterval)
}

// Close cancels all requests and closes all connections at once.
func (f *Front) Close() {
	f.closeListeners()
	f.cancelBase(errClosing)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.listeners {
		l.CloseConnections()
	}
}

func (f *Front) connectionCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.listeners {
		n += l.Len()
	}
	return n
}

func (f *Front) closeListeners() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining.Store(true)
	for _, l := range f.listeners {
		_ = l.Close() // a listener that fails to close accepts no connections either
	}
}

// debugLogger logs messages of the HTTP server at debug level, since callers cause most of them.
type debugLogger struct{ logger hclog.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) {
	if l.logger.IsDebug() {
		l.logger.Debug(fmt.Sprintf(format, args...))
	}
}

// Package guavafront is the HTTP interface for callers.
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

// Handler serves a path for an authenticated client account. The body may be a stream: it is read from
// ctx.RequestBodyStream().
type Handler func(ctx *fasthttp.RequestCtx, account string)

// Dependencies are what a Front works with.
type Dependencies struct {
	// Snapshot returns the configuration in force.
	Snapshot   func() *guavaconfig.Snapshot
	Dispatcher guavadispatch.Dispatcher
	// Files and Batches serve /v1/files and /v1/batches; nil answers 404.
	Files, Batches Handler
	Logger         hclog.Logger
}

// Counters counts what a Front did. The fields may be read at any time.
type Counters struct {
	Requests atomic.Uint64
	// Refused counts requests refused before they were dispatched.
	Refused atomic.Uint64
	// Denied counts those of them without a valid key.
	Denied atomic.Uint64
	// Ended counts running requests ended because their key was withdrawn.
	Ended atomic.Uint64
	// Vanished counts callers that left before their answer was complete.
	Vanished atomic.Uint64
	// Rejected counts connections over the limit.
	Rejected atomic.Uint64
	// Panics counts panics of handlers.
	Panics atomic.Uint64
}

type limits struct {
	body        int
	file        int
	header      int
	connections int
	headerTime  time.Duration
	bodyTime    time.Duration
	fileTime    time.Duration
	idleTime    time.Duration
	writeTime   time.Duration
	deadline    time.Duration
	grace       time.Duration
	certFile    string
	keyFile     string
	counters    *Counters
}

// Option changes a default of New.
type Option func(*limits)

// WithBodyLimit sets the largest body in bytes, and that of an uploaded file. The defaults are 16 MiB and 4 GiB.
func WithBodyLimit(body, file int) Option { return func(l *limits) { l.body, l.file = body, file } }

// WithHeaderLimit sets the largest header in bytes. The default is 16 KiB.
func WithHeaderLimit(n int) Option { return func(l *limits) { l.header = n } }

// WithConnectionLimit sets the largest number of open connections. The default is 20,000.
func WithConnectionLimit(n int) Option { return func(l *limits) { l.connections = n } }

// WithReadTimes sets how long a caller may take to send a header, a body, and an uploaded file. The defaults are
// 10 s, 60 s and 30 min.
func WithReadTimes(header, body, file time.Duration) Option {
	return func(l *limits) { l.headerTime, l.bodyTime, l.fileTime = header, body, file }
}

// WithIdleTime sets how long a connection stays open between requests. The default is 75 s, longer than
// the 60 s after which common load balancers give up idle connections, so that they close first.
func WithIdleTime(d time.Duration) Option { return func(l *limits) { l.idleTime = d } }

// WithWriteTime sets how long a caller may leave sent bytes unread. The default is 30 s.
func WithWriteTime(d time.Duration) Option { return func(l *limits) { l.writeTime = d } }

// WithDeadline sets the time for a request whose caller and route give none. The default is 10 min.
func WithDeadline(d time.Duration) Option { return func(l *limits) { l.deadline = d } }

// WithDrainGrace sets how long a drain keeps serving open connections, telling callers to close them, before it
// closes idle ones. The default is 2 s.
func WithDrainGrace(d time.Duration) Option { return func(l *limits) { l.grace = d } }

// WithTLS serves TLS with a certificate and key from PEM files, which are read again when they change.
func WithTLS(certFile, keyFile string) Option {
	return func(l *limits) { l.certFile, l.keyFile = certFile, keyFile }
}

// WithCounters sets where the front counts.
func WithCounters(c *Counters) Option { return func(l *limits) { l.counters = c } }

// tooMany is sent on connections over the limit.
const tooMany = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 117\r\n\r\n" +
	`{"error":{"message":"too many connections","type":"server_error","param":null,"code":"overloaded","ran":"none"}}    ` + "\n"

// Front serves callers.
type Front struct {
	Dependencies
	limits
	http     *fasthttp.Server
	tls      *tls.Config
	running  *tracker
	base     context.Context
	stop     context.CancelCauseFunc
	draining atomic.Bool

	mu        sync.Mutex
	listeners []*guavalisten.Listener
}

// New returns a front that serves nothing yet.
func New(d Dependencies, options ...Option) (*Front, error) {
	if d.Snapshot == nil || d.Dispatcher == nil {
		return nil, errors.New("front: a snapshot function and a dispatcher are required")
	}
	if d.Logger == nil {
		d.Logger = hclog.NewNullLogger()
	}
	f := &Front{Dependencies: d, running: newTracker(), limits: limits{
		body: 16 << 20, file: 4 << 30, header: 16 << 10, connections: 20_000,
		headerTime: 10 * time.Second, bodyTime: time.Minute, fileTime: 30 * time.Minute, idleTime: 75 * time.Second,
		writeTime: 30 * time.Second, deadline: 10 * time.Minute, grace: 2 * time.Second, counters: &Counters{},
	}}
	for _, o := range options {
		o(&f.limits)
	}
	if f.certFile != "" {
		c, err := guavacertificate.New(f.certFile, f.keyFile, d.Logger)
		if err != nil {
			return nil, fmt.Errorf("front: %w", err)
		}
		f.tls = &tls.Config{GetCertificate: c.GetCertificate, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	}
	f.base, f.stop = context.WithCancelCause(context.Background())
	f.http = &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.handleError,
		HeaderReceived:               f.headerReceived,
		Logger:                       quietLogger{d.Logger},
		ReadBufferSize:               f.header,
		ReadTimeout:                  f.headerTime,
		IdleTimeout:                  f.idleTime,
		MaxRequestBodySize:           f.body,
		Concurrency:                  f.connections + 1,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
	}
	return f, nil
}

// Serve accepts callers on ln until Drain or Close. It may be called for several listeners.
func (f *Front) Serve(ln net.Listener) error {
	l := guavalisten.New(ln, guavalisten.Options{
		Limit: f.connections, WriteTimeout: f.writeTime, TLS: f.tls, RejectResponse: tooMany, Rejected: &f.counters.Rejected,
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

// Ready reports whether the front takes new connections.
func (f *Front) Ready() bool { return !f.draining.Load() }

// Admin serves /healthz and /readyz for the admin address.
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

// Refresh applies the configuration in force to running requests: those whose key was withdrawn, or may no
// longer use their route, end. It is called after each change of the snapshot.
func (f *Front) Refresh() {
	if n := f.running.endInvalid(f.Snapshot()); n > 0 {
		f.counters.Ended.Add(uint64(n)) //nolint:gosec // n is not negative
		f.Logger.Info("ended requests whose key was withdrawn", "requests", n)
	}
}

// Running returns the number of requests that are being served.
func (f *Front) Running() int { return f.running.len() }

// Drain stops taking connections, lets running requests and streams end, and closes all connections. When ctx
// ends first, the remaining requests are ended.
func (f *Front) Drain(ctx context.Context) error {
	f.closeListeners()
	timer := time.NewTimer(f.grace)
	defer timer.Stop()
	tick := time.NewTicker(max(f.grace/20, time.Millisecond))
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
		f.endRunning()
	}
	f.Close()
	if err != nil {
		return fmt.Errorf("front: drain: %w", err)
	}
	return nil
}

const (
	// endTime bounds the wait for ended requests to tell their callers.
	endTime = time.Second
	// endStep is the time between looks at them, and the time for the last bytes to leave.
	endStep = 20 * time.Millisecond
)

// endRunning ends all requests with an error to their callers.
func (f *Front) endRunning() {
	f.stop(errClosing)
	for range endTime / endStep {
		if f.running.len() == 0 {
			break
		}
		time.Sleep(endStep)
	}
	time.Sleep(endStep)
}

// Close ends all requests and connections at once.
func (f *Front) Close() {
	f.closeListeners()
	f.stop(errClosing)
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
		_ = l.Close() // a listener that fails to close takes no connections either
	}
}

// quietLogger passes the server's lines on at debug level, since most are caused by callers.
type quietLogger struct{ logger hclog.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, args ...any) {
	if l.logger.IsDebug() {
		l.logger.Debug(fmt.Sprintf(format, args...))
	}
}

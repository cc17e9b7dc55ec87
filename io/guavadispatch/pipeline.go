package guavadispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavahealth"
	"guavaridge/core/guavalimit"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaqueue"
	"guavaridge/core/guavaretry"
	"guavaridge/core/guavaroute"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavaplatform"
)

const (
	// defaultDeadline applies to requests for which neither the caller nor the route sets a deadline.
	defaultDeadline = 60 * time.Second
	// defaultTokenWait is the maximum wait for a rate-limit token. It covers a few round trips between VMs.
	defaultTokenWait = 300 * time.Millisecond
	// defaultFirstEventTimeout and defaultGapTimeout are the times without an event after which a stream counts as
	// broken, before the first event and between events. The latency targets are 1.6 s and 34 ms, but an engine that
	// processes a long prompt pauses its other streams.
	defaultFirstEventTimeout = 10 * time.Second
	defaultGapTimeout        = 3 * time.Second
	// defaultRecordTimeout limits the background recording of a result.
	defaultRecordTimeout = 2 * time.Minute
	// prefixBlocks is the maximum number of prompt blocks used for cache affinity, 8 KiB in total.
	prefixBlocks = 32
	// suspectPollInterval is the interval at which a request checks whether an identical one, suspected of crashing
	// servers, has ended.
	suspectPollInterval = 20 * time.Millisecond
)

// Pipeline is the Dispatcher of a VM. It is safe for concurrent use.
type Pipeline struct {
	snapshot func() *guavaconfig.Snapshot
	client   guavaback.Client
	limiter  guavalimit.Limiter
	table    guavaplatform.Table
	domain   string
	log      hclog.Logger

	router          *guavaroute.Router
	health          *guavahealth.Tracker
	poison          *guavapoison.Registry
	budget          *guavaretry.Budget
	intents         *intentLog
	admissionQueues admissionQueues
	options         options
	counters        counters
	attemptPrefix   string
	lastAttempt     atomic.Uint64
	configureMu     sync.Mutex
	configured      atomic.Pointer[guavaconfig.Snapshot]
	running         workCounter
}

type options struct {
	tokenWait                     time.Duration
	firstEventTimeout, gapTimeout time.Duration
	recordTimeout                 time.Duration
	queueLength                   int
	queueWait                     time.Duration
	retryRatio                    float64
	retryReserve                  float64
	routerOptions                 []guavaroute.Option
	ignoreResponseLoads           bool
}

// Option configures a Pipeline.
type Option func(*options)

// WithTokenWait sets the maximum wait for a rate-limit token.
func WithTokenWait(d time.Duration) Option { return func(o *options) { o.tokenWait = d } }

// WithStallTimeouts sets the times without an event after which a stream counts as broken, before the first event and
// between events.
func WithStallTimeouts(first, gap time.Duration) Option {
	return func(o *options) { o.firstEventTimeout, o.gapTimeout = first, gap }
}

// WithoutResponseLoads ignores the load that engines report with their responses. That load includes batch streams,
// which only the VM that sends them can distinguish from online requests.
func WithoutResponseLoads() Option { return func(o *options) { o.ignoreResponseLoads = true } }

// WithRecordTimeout limits the background recording of the result of a non-idempotent call.
func WithRecordTimeout(d time.Duration) Option { return func(o *options) { o.recordTimeout = d } }

// WithQueueLength sets the maximum number of requests that wait per model or service.
func WithQueueLength(n int) Option { return func(o *options) { o.queueLength = n } }

// WithQueueWait sets the maximum predicted wait in the queue of a model.
func WithQueueWait(d time.Duration) Option { return func(o *options) { o.queueWait = d } }

// WithRetryBudget sets the ratio of retries to requests and the maximum number of retries that may accumulate.
func WithRetryBudget(ratio, reserve float64) Option {
	return func(o *options) { o.retryRatio, o.retryReserve = ratio, reserve }
}

// WithRouterOptions adds options of the router.
func WithRouterOptions(opts ...guavaroute.Option) Option {
	return func(o *options) { o.routerOptions = append(o.routerOptions, opts...) }
}

// New returns the request pipeline of a VM in the given failure domain.
func New(snapshot func() *guavaconfig.Snapshot, client guavaback.Client, limiter guavalimit.Limiter,
	table guavaplatform.Table, domain string, log hclog.Logger, opts ...Option,
) *Pipeline {
	o := options{
		tokenWait: defaultTokenWait, firstEventTimeout: defaultFirstEventTimeout, gapTimeout: defaultGapTimeout,
		recordTimeout: defaultRecordTimeout, queueLength: guavaqueue.DefaultMaxLength, queueWait: guavaqueue.DefaultMaxWait,
		retryRatio: guavaretry.DefaultRatio, retryReserve: guavaretry.DefaultReserve,
	}
	for _, f := range opts {
		f(&o)
	}
	p := &Pipeline{
		snapshot: snapshot, client: client, limiter: limiter, table: table, domain: domain, log: log,
		poison: guavapoison.NewRegistry(), budget: guavaretry.NewBudget(o.retryRatio, o.retryReserve),
		admissionQueues: admissionQueues{byName: map[string]*admissionQueue{}}, options: o, attemptPrefix: randomID(8),
	}
	p.health = guavahealth.NewTracker(func(c guavahealth.Change) {
		p.counters.healthChanges.Add(1)
		log.Info("server health changed", "server", c.Server, "from", string(c.From), "to", string(c.To))
	})
	p.router = guavaroute.NewRouter(domain, append([]guavaroute.Option{guavaroute.WithHealth(routerHealth{p})}, o.routerOptions...)...)
	p.intents = newIntentLog(table, log, o.recordTimeout, &p.running)
	return p
}

// randomID returns n random bytes in hexadecimal.
func randomID(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// attemptID returns an identifier that is unique among the attempts of all VMs.
func (p *Pipeline) attemptID() string {
	return p.attemptPrefix + "-" + strconv.FormatUint(p.lastAttempt.Add(1), 10)
}

// routerHealth implements guavaroute.Health from health tracking and poison detection.
type routerHealth struct{ p *Pipeline }

// suspectPenalty is added to the expected latency of a server that runs a request suspected of crashing servers, so
// that other requests go elsewhere.
const suspectPenalty = 20 * time.Second

// Share implements guavaroute.Health.
func (u routerHealth) Share(server string) (float64, time.Duration) {
	share, penalty := u.p.health.Share(server)
	if u.p.poison.HasSuspect(server) {
		penalty += suspectPenalty
	}
	return share, penalty
}

// refresh applies a new configuration to routing and health tracking.
func (p *Pipeline) refresh() {
	s := p.snapshot()
	if s == p.configured.Load() {
		return
	}
	p.configureMu.Lock()
	defer p.configureMu.Unlock()
	if p.router.Configure(s) {
		p.health.Configure(s.Declarations().Servers)
	}
	p.configured.Store(s)
}

// call is a request in the pipeline, with its state.
type call struct {
	Request
	fingerprint guavapoison.Fingerprint
	route       guavaroute.Request
	output      *callerStream
	// execution is the strongest execution state of the attempts so far, see strongerExecution.
	execution guavaretry.Execution
}

func (c *call) newError(status int, code string, retryAfter time.Duration, err error) *Error {
	return &Error{Status: status, Code: code, Execution: c.execution, RetryAfter: retryAfter, Err: err}
}

// Run implements Dispatcher.
func (p *Pipeline) Run(ctx context.Context, r Request, sink guavaback.Sink) (guavaback.Response, error) {
	p.running.add(1)
	defer p.running.add(-1)
	p.counters.requests.Add(1)
	p.refresh()
	if r.Deadline.IsZero() {
		limit := defaultDeadline
		if r.Route.Deadline > 0 {
			limit = time.Duration(r.Route.Deadline) * time.Millisecond
		}
		r.Deadline = time.Now().Add(limit)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	c := &call{
		Request: r, fingerprint: fingerprint(r), execution: guavaretry.NotExecuted,
		output: newCallerStream(sink, r.Route.Service == ""),
		route:  guavaroute.Request{Model: r.Model, Adapter: r.Adapter, Service: r.Route.Service},
	}
	if r.Route.Service == "" {
		c.route.Prefixes = guavaback.Prefixes(r.Model, r.Prompt, prefixBlocks)
	}
	response, err := p.process(ctx, c)
	if err != nil {
		p.countFailure(err)
		return guavaback.Response{}, err
	}
	p.counters.answered.Add(1)
	return response, nil
}

// fingerprint identifies identical requests for poison detection. It covers method and path for plain services only: an
// engine ignores the query, so a caller could vary it to get a rejected request through.
func fingerprint(r Request) guavapoison.Fingerprint {
	if r.Route.Service == "" {
		return guavapoison.NewFingerprint(r.Route.Name, r.Body)
	}
	return guavapoison.NewFingerprint(r.Route.Name+" "+r.Method+" "+r.Path, r.Body)
}

// Errors of the request path are allocated once, because errors.New collects a stack trace.
var (
	errPoison           = errors.New("an equal request crashed several backend servers")
	errRateLimited      = errors.New("the client account is above its rate")
	errNoServer         = errors.New("no backend server serves this request")
	errNoServerLeft     = errors.New("no backend server is available for this request")
	errQueueFull        = errors.New("too many requests wait for this model")
	errEvicted          = errors.New("evicted from the queue in favor of a client account with fewer queued requests")
	errDeadlineInQueue  = errors.New("deadline cannot be met after the wait in the queue")
	errDeadlineTooClose = errors.New("expected service time exceeds the time to the deadline")
	errDeadline         = errors.New("deadline exceeded")
)

func (p *Pipeline) process(ctx context.Context, c *call) (guavaback.Response, error) {
	if p.poison.Refused(c.fingerprint) {
		return guavaback.Response{}, c.newError(422, "poison_request", 0, errPoison)
	}
	if err := p.takeToken(ctx, c); err != nil {
		return guavaback.Response{}, err
	}
	recorded := !c.Route.Idempotent && c.IdempotencyKey != ""
	c.output.recording = recorded
	if recorded {
		if response, found, err := p.intents.lookup(ctx, c); found || err != nil {
			return response, err
		}
	}
	// Requests identical to a running suspect wait here, before admission, so that they occupy no capacity.
	release, ok := p.poison.Reserve(c.fingerprint)
	for ; !ok; release, ok = p.poison.Reserve(c.fingerprint) {
		if err := p.pause(ctx, c, suspectPollInterval); err != nil {
			return guavaback.Response{}, err
		}
		if p.poison.Refused(c.fingerprint) {
			return guavaback.Response{}, c.newError(422, "poison_request", 0, errPoison)
		}
	}
	defer release()
	adm, err := p.admit(ctx, c)
	if err != nil {
		return guavaback.Response{}, err
	}
	defer adm.release()
	c.route.Away = adm.crossDomain
	if recorded {
		if response, found, err := p.intents.claim(ctx, c); found || err != nil {
			return response, err
		}
	}
	p.budget.Deposit()
	response, err := p.sendWithRetries(ctx, c, adm)
	if recorded {
		p.intents.settle(c, response, err)
	}
	return response, err
}

// takeToken waits for a rate-limit token of the client account, up to the token wait.
func (p *Pipeline) takeToken(ctx context.Context, c *call) error {
	if c.Account == "" {
		return nil
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, p.options.tokenWait)
	defer cancel()
	if ok, wait := p.limiter.Take(timeoutCtx, c.Account); !ok {
		return c.newError(429, "rate_limited", wait, errRateLimited)
	}
	return nil
}

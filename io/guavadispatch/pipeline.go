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
	// defaultDeadline holds for requests whose caller and route give none.
	defaultDeadline = 60 * time.Second
	// defaultTokenWait is the longest wait for a rate-limit token. It covers a few rounds between VMs.
	defaultTokenWait = 300 * time.Millisecond
	// defaultFirst and defaultGap are the times without an event after which a stream counts as broken, before the
	// first event and between events. The targets are 1.6 s and 34 ms; a batch that takes in a long prompt pauses
	// the other streams.
	defaultFirst = 10 * time.Second
	defaultGap   = 3 * time.Second
	// defaultRecordTime bounds the background recording of results.
	defaultRecordTime = 2 * time.Minute
	// prefixBlocks is the number of blocks of a prompt that count for affinity, 8 KiB.
	prefixBlocks = 32
	// suspectPoll is the interval at which a request waits for the end of an equal suspect.
	suspectPoll = 20 * time.Millisecond
)

// Pipeline is the Dispatcher of a VM. It may be used concurrently.
type Pipeline struct {
	snapshot func() *guavaconfig.Snapshot
	client   guavaback.Client
	limiter  guavalimit.Limiter
	table    guavaplatform.Table
	domain   string
	log      hclog.Logger

	router    *guavaroute.Router
	health    *guavahealth.Tracker
	poison    *guavapoison.Registry
	budget    *guavaretry.Budget
	intents   *intents
	gates     gates
	options   options
	counters  counters
	prefix    string
	attempts  atomic.Uint64
	configure sync.Mutex
	current   atomic.Pointer[guavaconfig.Snapshot]
	running   tracker
}

type options struct {
	tokenWait   time.Duration
	stall, gap  time.Duration
	recordTime  time.Duration
	queueLength int
	queueWait   time.Duration
	ratio       float64
	reserve     float64
	route       []guavaroute.Option
	noAnswers   bool
}

// Option changes a Pipeline.
type Option func(*options)

// WithTokenWait sets the longest wait for a rate-limit token.
func WithTokenWait(d time.Duration) Option { return func(o *options) { o.tokenWait = d } }

// WithStallTimeouts sets the times without an event after which a stream counts as broken, before the first event and between
// events.
func WithStallTimeouts(first, gap time.Duration) Option {
	return func(o *options) { o.stall, o.gap = first, gap }
}

// WithoutResponseLoads ignores the load that engines report with their answers. It includes batch streams, which only the
// VM that sends them can tell from online requests.
func WithoutResponseLoads() Option { return func(o *options) { o.noAnswers = true } }

// WithRecordTimeout bounds the background recording of the results of non-idempotent calls.
func WithRecordTimeout(d time.Duration) Option { return func(o *options) { o.recordTime = d } }

// WithQueueLength sets the number of requests that may wait per model.
func WithQueueLength(n int) Option { return func(o *options) { o.queueLength = n } }

// WithQueueWait sets the longest predicted wait in the queue of a model.
func WithQueueWait(d time.Duration) Option { return func(o *options) { o.queueWait = d } }

// WithRetryBudget sets the part of the traffic that may be retries and how many may be saved up.
func WithRetryBudget(ratio, reserve float64) Option {
	return func(o *options) { o.ratio, o.reserve = ratio, reserve }
}

// WithRouterOptions passes options to the router.
func WithRouterOptions(opts ...guavaroute.Option) Option {
	return func(o *options) { o.route = append(o.route, opts...) }
}

// New returns the request pipeline of a VM in the failure domain.
func New(snapshot func() *guavaconfig.Snapshot, client guavaback.Client, limiter guavalimit.Limiter,
	table guavaplatform.Table, domain string, log hclog.Logger, opts ...Option,
) *Pipeline {
	o := options{
		tokenWait: defaultTokenWait, stall: defaultFirst, gap: defaultGap, recordTime: defaultRecordTime,
		queueLength: guavaqueue.DefaultMaxLength, queueWait: guavaqueue.DefaultMaxWait, ratio: guavaretry.DefaultRatio, reserve: guavaretry.DefaultReserve,
	}
	for _, f := range opts {
		f(&o)
	}
	p := &Pipeline{
		snapshot: snapshot, client: client, limiter: limiter, table: table, domain: domain, log: log,
		poison: guavapoison.NewRegistry(), budget: guavaretry.NewBudget(o.ratio, o.reserve),
		gates: gates{open: map[string]*gate{}}, options: o, prefix: randomID(8),
	}
	p.health = guavahealth.NewTracker(func(c guavahealth.Change) {
		p.counters.health.Add(1)
		log.Info("health changed", "server", c.Server, "from", string(c.From), "to", string(c.To))
	})
	p.router = guavaroute.NewRouter(domain, append([]guavaroute.Option{guavaroute.WithHealth(usable{p})}, o.route...)...)
	p.intents = newIntents(table, log, o.recordTime, &p.running)
	return p
}

// randomID returns n random bytes in hexadecimal.
func randomID(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// attemptID returns an identifier that no other attempt of any VM has.
func (p *Pipeline) attemptID() string {
	return p.prefix + "-" + strconv.FormatUint(p.attempts.Add(1), 10)
}

// usable tells the router how a server may be used.
type usable struct{ p *Pipeline }

// suspectPenalty keeps other requests away from a server that runs a suspect.
const suspectPenalty = 20 * time.Second

// Share implements guavaroute.Health.
func (u usable) Share(server string) (float64, time.Duration) {
	share, penalty := u.p.health.Share(server)
	if u.p.poison.HasSuspect(server) {
		penalty += suspectPenalty
	}
	return share, penalty
}

// refresh passes a new configuration to routing and health.
func (p *Pipeline) refresh() {
	s := p.snapshot()
	if s == p.current.Load() {
		return
	}
	p.configure.Lock()
	defer p.configure.Unlock()
	if p.router.Configure(s) {
		p.health.Configure(s.Declarations().Servers)
	}
	p.current.Store(s)
}

// call is a request on its way through the pipeline.
type call struct {
	Request
	print guavapoison.Fingerprint
	route guavaroute.Request
	out   *stream
	// ran is the strongest run state of the attempts so far.
	ran guavaretry.Execution
}

func (c *call) fail(status int, code string, wait time.Duration, err error) *Error {
	return &Error{Status: status, Code: code, Execution: c.ran, RetryAfter: wait, Err: err}
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
		Request: r, print: fingerprint(r), ran: guavaretry.NotExecuted, out: newStream(sink, r.Route.Service == ""),
		route: guavaroute.Request{Model: r.Model, Adapter: r.Adapter, Service: r.Route.Service},
	}
	if r.Route.Service == "" {
		c.route.Prefixes = guavaback.Prefixes(r.Model, r.Prompt, prefixBlocks)
	}
	answer, err := p.run(ctx, c)
	if err != nil {
		p.count(err)
		return guavaback.Response{}, err
	}
	p.counters.answered.Add(1)
	return answer, nil
}

// fingerprint covers method and path of plain services only: an engine ignores the query, and a caller could
// vary it to get a refused request through.
func fingerprint(r Request) guavapoison.Fingerprint {
	if r.Route.Service == "" {
		return guavapoison.NewFingerprint(r.Route.Name, r.Body)
	}
	return guavapoison.NewFingerprint(r.Route.Name+" "+r.Method+" "+r.Path, r.Body)
}

// Errors on the path of each request are made once: errors.New collects a stack.
var (
	errPoison   = errors.New("an equal request crashed several backend servers")
	errRate     = errors.New("the client account is above its rate")
	errNoServer = errors.New("no backend server serves this request")
	errNoneLeft = errors.New("no backend server is left to try")
	errFull     = errors.New("too many requests wait for this model")
	errEvicted  = errors.New("displaced by a client account with less queued")
	errLate     = errors.New("deadline cannot be met after waiting")
	errNoTime   = errors.New("no attempt can end before the deadline")
	errDeadline = errors.New("deadline exceeded")
)

func (p *Pipeline) run(ctx context.Context, c *call) (guavaback.Response, error) {
	if p.poison.Refused(c.print) {
		return guavaback.Response{}, c.fail(422, "poison_request", 0, errPoison)
	}
	if err := p.token(ctx, c); err != nil {
		return guavaback.Response{}, err
	}
	recorded := !c.Route.Idempotent && c.IdempotencyKey != ""
	c.out.keep = recorded
	if recorded {
		if answer, found, err := p.intents.find(ctx, c); found || err != nil {
			return answer, err
		}
	}
	// Copies of a suspect wait here, where they hold no place.
	release, ok := p.poison.Reserve(c.print)
	for ; !ok; release, ok = p.poison.Reserve(c.print) {
		if err := p.pause(ctx, c, suspectPoll); err != nil {
			return guavaback.Response{}, err
		}
		if p.poison.Refused(c.print) {
			return guavaback.Response{}, c.fail(422, "poison_request", 0, errPoison)
		}
	}
	defer release()
	l, err := p.enter(ctx, c)
	if err != nil {
		return guavaback.Response{}, err
	}
	defer l.leave()
	c.route.Away = l.away
	if recorded {
		if answer, found, err := p.intents.claim(ctx, c); found || err != nil {
			return answer, err
		}
	}
	p.budget.Deposit()
	answer, err := p.send(ctx, c, l)
	if recorded {
		p.intents.settle(c, answer, err)
	}
	return answer, err
}

// token takes a rate-limit token of the client account.
func (p *Pipeline) token(ctx context.Context, c *call) error {
	if c.Account == "" {
		return nil
	}
	short, cancel := context.WithTimeout(ctx, p.options.tokenWait)
	defer cancel()
	if ok, wait := p.limiter.Take(short, c.Account); !ok {
		return c.fail(429, "rate_limited", wait, errRate)
	}
	return nil
}

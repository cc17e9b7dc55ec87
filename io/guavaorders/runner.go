// Package guavaorders sends orders to the engines of a failure domain while this VM owns the domain's lease. An order
// tells an engine its desired models, version or adapters.
package guavaorders

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalease"
	"guavaridge/core/guavaorder"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavaplatform"
)

const (
	interval = time.Second
	// pollInterval is the interval at which the load reports of engines are read. Reports are used up to
	// guavaorder.MaxReportAge, three times as long.
	pollInterval = 5 * time.Second
	pollTimeout  = 2 * time.Second
	maxPolls     = 16
	// orderTimeout bounds the sending of an order. It is below the safety margin of a lease, so that an order that was
	// begun under the lease ends before another VM can acquire the lease.
	orderTimeout = 5 * time.Second
	// DefaultMaxOutstanding is the default for the maximum number of outstanding orders in a failure domain.
	DefaultMaxOutstanding = 4
	// DefaultTakeoverDelay is how long a new lease owner waits before it sends orders to engines that ignore epochs: a
	// quarter of a lease of 30 s, after which orders that the previous owner began under its lease have ended.
	DefaultTakeoverDelay = 7500 * time.Millisecond
)

// Engines reads load reports from engines and sends orders to them. guavaback.Client implements it.
type Engines interface {
	Load(ctx context.Context, address string) (guavaback.Load, error)
	Order(ctx context.Context, address string, o guavaback.Order) error
}

// Counts holds the counters of a runner.
type Counts struct {
	Sent    int64 // orders that engines accepted
	Unknown int64 // orders without a response, which may have been executed
	Failed  int64 // orders that did not reach an engine, were refused, or whose weights could not be fetched
	Fenced  int64 // orders refused because the engine knows a newer epoch
	Expired int64 // orders not sent because the lease had ended
	Fetched int64 // weights that were fetched
}

// Runner reconciles the engines of one failure domain with their desired state.
type Runner struct {
	domain         string
	engines        Engines
	weights        guavaplatform.Weights
	config         *guavaconfig.Holder
	grant          func() guavalease.Grant
	remoteReports  func(server string) (guavaorder.Report, bool)
	maxOutstanding int
	takeoverDelay  time.Duration
	logger         hclog.Logger

	mu          sync.Mutex // guards planner and fencedEpoch
	planner     *guavaorder.Planner
	fencedEpoch uint64 // highest epoch whose orders an engine refused

	fetching chan struct{} // semaphore for one fetch of weights at a time
	sent     atomic.Int64
	unknown  atomic.Int64
	failed   atomic.Int64
	fenced   atomic.Int64
	expired  atomic.Int64
	fetched  atomic.Int64
}

// Option configures a Runner.
type Option func(*Runner)

// WithReports sets a source of load reports of engines in other failure domains. Rollouts that proceed domain by domain
// need them.
func WithReports(f func(server string) (guavaorder.Report, bool)) Option {
	return func(r *Runner) { r.remoteReports = f }
}

// WithMaxOutstanding sets the maximum number of outstanding orders.
func WithMaxOutstanding(n int) Option { return func(r *Runner) { r.maxOutstanding = n } }

// WithTakeoverDelay sets how long a new lease owner waits before it sends orders to engines that ignore epochs.
func WithTakeoverDelay(d time.Duration) Option { return func(r *Runner) { r.takeoverDelay = d } }

// WithLogger sets the logger.
func WithLogger(l hclog.Logger) Option { return func(r *Runner) { r.logger = l } }

// New returns a runner for a failure domain. Grant returns the current grant of the domain's lease.
func New(
	domain string, engines Engines, weights guavaplatform.Weights,
	config *guavaconfig.Holder, grant func() guavalease.Grant, opts ...Option,
) *Runner {
	r := &Runner{
		domain:         domain,
		engines:        engines,
		weights:        weights,
		config:         config,
		grant:          grant,
		remoteReports:  func(string) (guavaorder.Report, bool) { return guavaorder.Report{}, false },
		maxOutstanding: DefaultMaxOutstanding,
		takeoverDelay:  DefaultTakeoverDelay,
		logger:         hclog.NewNullLogger(),
		planner:        guavaorder.New(domain),
		fetching:       make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Counts returns the counters.
func (r *Runner) Counts() Counts {
	return Counts{
		Sent: r.sent.Load(), Unknown: r.unknown.Load(), Failed: r.failed.Load(),
		Fenced: r.fenced.Load(), Expired: r.expired.Load(), Fetched: r.fetched.Load(),
	}
}

// Blocked returns the servers that differ from their desired state and get no order, with the reason.
func (r *Runner) Blocked() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Blocked()
}

// Run reconciles until ctx ends, and returns when the outstanding orders have ended.
func (r *Runner) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var polled time.Time
	for {
		if r.updateEpoch() {
			if time.Since(polled) >= pollInterval {
				polled = time.Now()
				r.poll(ctx)
			}
			for _, o := range r.plan() {
				group.Go(func() { r.finish(o, r.send(ctx, o)) })
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// updateEpoch passes the state of the lease and the configuration to the planner, and reports whether this VM may send
// orders.
func (r *Runner) updateEpoch() bool {
	g := r.grant()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !g.Valid() || g.Epoch <= r.fencedEpoch {
		if r.planner.Epoch() != 0 {
			r.logger.Info("orders stopped", "domain", r.domain, "epoch", r.planner.Epoch())
			r.planner.Stop()
		}
		return false
	}
	if r.planner.Epoch() != g.Epoch {
		r.logger.Info("orders started", "domain", r.domain, "epoch", g.Epoch)
		r.planner.Lead(g.Epoch, time.Now().Add(r.takeoverDelay))
	}
	r.planner.Configure(r.config.Snapshot())
	return true
}

// poll passes the load reports of all engines to the planner: it reads those of the local domain from the engines, and
// those of other domains from the source set by WithReports.
func (r *Runner) poll(ctx context.Context) {
	slots := make(chan struct{}, maxPolls)
	var group sync.WaitGroup
	for _, b := range r.config.Snapshot().Declarations().Servers {
		if b.Service != "" {
			continue
		}
		if b.Domain != r.domain {
			if report, ok := r.remoteReports(b.Name); ok {
				r.report(b.Name, report)
			}
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			load, err := r.engines.Load(ctx, b.Address)
			if err != nil {
				return // the planner sends no orders to engines without a fresh report
			}
			at := time.Now().Add(-time.Duration(load.Age) * time.Millisecond)
			r.report(b.Name, guavaorder.Report{Models: load.Models, Adapters: load.Adapters, At: at})
		})
	}
	group.Wait()
}

func (r *Runner) report(server string, report guavaorder.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.Report(server, report)
}

func (r *Runner) plan() []guavaorder.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Next(r.maxOutstanding - r.planner.Outstanding())
}

func (r *Runner) finish(o guavaorder.Order, outcome guavaorder.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.Done(o, outcome)
}

// send fetches the weights of an order and sends the order. It checks the lease right before sending, since a fetch may
// take longer than the lease.
func (r *Runner) send(ctx context.Context, o guavaorder.Order) guavaorder.Outcome {
	for _, name := range o.Loads {
		if err := r.fetch(ctx, name, o.Epoch); err != nil {
			r.failed.Add(1)
			r.logger.Warn("weight fetch failed", "server", o.Server, "weights", name, "error", err)
			return guavaorder.Failed
		}
	}
	g := r.grant()
	if !g.Valid() || g.Epoch != o.Epoch {
		r.expired.Add(1)
		return guavaorder.Failed
	}
	ctx, cancel := context.WithTimeout(ctx, min(orderTimeout, g.Remaining()))
	defer cancel()
	err := r.engines.Order(ctx, o.Address, guavaback.Order{Epoch: o.Epoch, Kind: o.Kind, Want: o.Want})
	var requestErr *guavaback.Error
	switch {
	case err == nil:
		r.sent.Add(1)
		r.logger.Info("order sent", "server", o.Server, "kind", o.Kind, "want", o.Want, "epoch", o.Epoch)
		return guavaorder.Accepted
	case errors.Is(err, guavaback.ErrFenced):
		// Another VM has owned the lease since, so no more orders may be sent under this epoch.
		r.fenced.Add(1)
		r.logger.Warn("order fenced", "server", o.Server, "epoch", o.Epoch)
		r.mu.Lock()
		r.fencedEpoch = max(r.fencedEpoch, o.Epoch)
		r.mu.Unlock()
		return guavaorder.Failed
	case ctx.Err() != nil, errors.As(err, &requestErr) && requestErr.Execution != guavaretry.NotExecuted:
		r.unknown.Add(1)
		return guavaorder.Unknown
	default:
		r.failed.Add(1)
		return guavaorder.Failed
	}
}

// fetch fetches weights from the weight store. Fetches run one at a time, which limits the rate of orders to that of the
// store.
func (r *Runner) fetch(ctx context.Context, name string, epoch uint64) error {
	select {
	case r.fetching <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.fetching }()
	// During a long wait another VM may have acquired the lease. That VM fetches the weights itself.
	if g := r.grant(); !g.Valid() || g.Epoch != epoch {
		return errors.New("lease ended while waiting for another fetch")
	}
	if _, err := r.weights.Fetch(ctx, name); err != nil {
		return errors.Newf("fetch weights %s: %w", name, err)
	}
	r.fetched.Add(1)
	return nil
}

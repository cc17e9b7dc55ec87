// Package guavaorders sends orders to the engines of a failure domain while this VM holds the domain's lease.
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
	tick = time.Second
	// pollEvery is the time between two load reports of an engine. Reports count for guavaorder.FreshFor, three times
	// as long.
	pollEvery   = 5 * time.Second
	pollTimeout = 2 * time.Second
	pollers     = 16
	// orderTimeout bounds the sending of an order. It is below the margin of a lease, so that an act that was begun in
	// time ends before another VM may take the lease.
	orderTimeout = 5 * time.Second
	// DefaultMaxOutstanding is the number of orders that are outstanding at once in a failure domain.
	DefaultMaxOutstanding = 4
	// DefaultTakeoverDelay is how long a new holder waits before it sends orders to engines that ignore epochs: a quarter of a
	// lease of 30 s, in which an act of the earlier holder that was begun in time has ended.
	DefaultTakeoverDelay = 7500 * time.Millisecond
)

// Engines is the part of guavaback.Client that orders need.
type Engines interface {
	Load(ctx context.Context, address string) (guavaback.Load, error)
	Order(ctx context.Context, address string, o guavaback.Order) error
}

// Counts counts what a runner did.
type Counts struct {
	Sent    int64 // orders that engines accepted
	Unknown int64 // orders whose answer was lost
	Failed  int64 // orders that engines did not get or refused
	Fenced  int64 // orders refused because of a newer epoch
	Expired int64 // orders that were not sent because the lease had ended
	Fetched int64 // weights fetched
}

// Runner reconciles the engines of one failure domain with the declared state.
type Runner struct {
	domain   string
	engines  Engines
	weights  guavaplatform.Weights
	holder   *guavaconfig.Holder
	grant    func() guavalease.Grant
	reports  func(server string) (guavaorder.Report, bool)
	parallel int
	settle   time.Duration
	logger   hclog.Logger

	mu      sync.Mutex // guards planner and fenced
	planner *guavaorder.Planner
	fenced  uint64 // highest epoch that an engine refused

	fetching chan struct{} // one fetch at a time
	sent     atomic.Int64
	lost     atomic.Int64
	failed   atomic.Int64
	refused  atomic.Int64
	expired  atomic.Int64
	fetched  atomic.Int64
}

// Option sets up a Runner.
type Option func(*Runner)

// WithReports adds reports of engines in other failure domains, which rollouts need where domains take turns.
func WithReports(f func(server string) (guavaorder.Report, bool)) Option {
	return func(r *Runner) { r.reports = f }
}

// WithMaxOutstanding sets the number of orders that are outstanding at once.
func WithMaxOutstanding(n int) Option { return func(r *Runner) { r.parallel = n } }

// WithTakeoverDelay sets how long a new holder waits before it sends orders to engines that ignore epochs.
func WithTakeoverDelay(d time.Duration) Option { return func(r *Runner) { r.settle = d } }

// WithLogger sets the logger of orders.
func WithLogger(l hclog.Logger) Option { return func(r *Runner) { r.logger = l } }

// New returns a runner for a failure domain. Grant returns the permission of the domain's lease.
func New(
	domain string, engines Engines, weights guavaplatform.Weights,
	holder *guavaconfig.Holder, grant func() guavalease.Grant, opts ...Option,
) *Runner {
	r := &Runner{
		domain:   domain,
		engines:  engines,
		weights:  weights,
		holder:   holder,
		grant:    grant,
		reports:  func(string) (guavaorder.Report, bool) { return guavaorder.Report{}, false },
		parallel: DefaultMaxOutstanding,
		settle:   DefaultTakeoverDelay,
		logger:   hclog.NewNullLogger(),
		planner:  guavaorder.New(domain),
		fetching: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Counts returns the counters.
func (r *Runner) Counts() Counts {
	return Counts{
		Sent: r.sent.Load(), Unknown: r.lost.Load(), Failed: r.failed.Load(),
		Fenced: r.refused.Load(), Expired: r.expired.Load(), Fetched: r.fetched.Load(),
	}
}

// Blocked returns why servers that differ from their declared state get no order.
func (r *Runner) Blocked() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Blocked()
}

// Run reconciles until ctx ends and the orders under way have ended.
func (r *Runner) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var polled time.Time
	for {
		if r.lead() {
			if time.Since(polled) >= pollEvery {
				polled = time.Now()
				r.poll(ctx)
			}
			for _, o := range r.plan() {
				group.Go(func() { r.done(o, r.give(ctx, o)) })
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// lead brings the planner up to date with the lease and reports whether this VM leads.
func (r *Runner) lead() bool {
	g := r.grant()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !g.Valid() || g.Epoch <= r.fenced {
		if r.planner.Epoch() != 0 {
			r.logger.Info("orders stopped", "domain", r.domain, "epoch", r.planner.Epoch())
			r.planner.Stop()
		}
		return false
	}
	if r.planner.Epoch() != g.Epoch {
		r.logger.Info("orders begin", "domain", r.domain, "epoch", g.Epoch)
		r.planner.Lead(g.Epoch, time.Now().Add(r.settle))
	}
	r.planner.Configure(r.holder.Snapshot())
	return true
}

// poll reads the load reports of the domain's engines and takes over those of other domains.
func (r *Runner) poll(ctx context.Context) {
	slots := make(chan struct{}, pollers)
	var group sync.WaitGroup
	for _, b := range r.holder.Snapshot().Declarations().Servers {
		if b.Service != "" {
			continue
		}
		if b.Domain != r.domain {
			if report, ok := r.reports(b.Name); ok {
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
				return // an engine without a fresh report gets no orders
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
	return r.planner.Next(r.parallel - r.planner.Outstanding())
}

func (r *Runner) done(o guavaorder.Order, result guavaorder.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.Done(o, result)
}

// give fetches the weights of an order and sends it, if the lease still holds right before.
func (r *Runner) give(ctx context.Context, o guavaorder.Order) guavaorder.Outcome {
	for _, name := range o.Loads {
		if err := r.fetch(ctx, name, o.Epoch); err != nil {
			r.failed.Add(1)
			r.logger.Warn("weights not fetched", "server", o.Server, "weights", name, "error", err)
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
	var attempt *guavaback.Error
	switch {
	case err == nil:
		r.sent.Add(1)
		r.logger.Info("order sent", "server", o.Server, "kind", o.Kind, "want", o.Want, "epoch", o.Epoch)
		return guavaorder.Accepted
	case errors.Is(err, guavaback.ErrFenced):
		// Another VM has led since; nothing more may be sent under this epoch.
		r.refused.Add(1)
		r.logger.Warn("order fenced", "server", o.Server, "epoch", o.Epoch)
		r.mu.Lock()
		r.fenced = max(r.fenced, o.Epoch)
		r.mu.Unlock()
		return guavaorder.Failed
	case ctx.Err() != nil, errors.As(err, &attempt) && attempt.Execution != guavaretry.NotExecuted:
		r.lost.Add(1)
		return guavaorder.Unknown
	default:
		r.failed.Add(1)
		return guavaorder.Failed
	}
}

// fetch waits for the weight store, one fetch at a time, so that loads go no faster than it delivers.
func (r *Runner) fetch(ctx context.Context, name string, epoch uint64) error {
	select {
	case r.fetching <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.fetching }()
	// After a long wait the lease may have passed on; its new holder fetches for itself.
	if g := r.grant(); !g.Valid() || g.Epoch != epoch {
		return errors.New("the lease has ended")
	}
	if _, err := r.weights.Fetch(ctx, name); err != nil {
		return errors.Newf("fetch %s: %w", name, err)
	}
	r.fetched.Add(1)
	return nil
}

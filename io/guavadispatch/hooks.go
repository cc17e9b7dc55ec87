package guavadispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavahealth"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaroute"
	"guavaridge/io/guavaback"
)

// ObserveLoad records a load report of a server, received by a poll, in a peer's digest or with a response.
func (p *Pipeline) ObserveLoad(server string, l guavaback.Load) {
	p.refresh()
	p.router.ObserveLoad(server, guavaroute.Report{
		Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, KV: l.KV, Models: l.Models, Adapters: l.Adapters,
		At: time.Now().Add(-time.Duration(l.Age) * time.Millisecond),
	})
}

// ObserveArrivals records the number of requests per server that a peer has sent since its last announcement.
func (p *Pipeline) ObserveArrivals(sent map[string]int) {
	p.refresh()
	for server, n := range sent {
		p.router.ObserveArrivals(server, n)
	}
}

// ObserveEvents records cache events of a server.
func (p *Pipeline) ObserveEvents(server string, events []guavaback.CacheEvent) {
	p.refresh()
	for _, e := range events {
		p.router.ObservePrefix(server, e.Prefix, e.Op == "add")
	}
}

// ObservePollFailure records that a server did not respond to a poll of its load.
func (p *Pipeline) ObservePollFailure(server string) {
	p.refresh()
	p.health.Observe(server, guavahealth.Outcome{Failed: true})
}

// TakeArrivals returns the number of requests that this VM has sent to each server since the last call.
func (p *Pipeline) TakeArrivals() map[string]int { return p.router.TakeArrivals() }

// PoisonReports returns the reports on requests that crash servers, for the other VMs.
func (p *Pipeline) PoisonReports() []guavapoison.Report { return p.poison.Reports() }

// MergePoison merges the poison reports of a peer.
func (p *Pipeline) MergePoison(reports []guavapoison.Report) { p.poison.Merge(reports) }

// Running returns the number of requests in flight per server.
func (p *Pipeline) Running() map[string]int { return p.router.Running() }

// Health returns the health state of a server.
func (p *Pipeline) Health(server string) guavahealth.State { return p.health.State(server) }

// Drain waits until all requests have ended and their results are recorded, or ctx ends.
func (p *Pipeline) Drain(ctx context.Context) error {
	select {
	case <-p.running.idle():
		return nil
	case <-ctx.Done():
		return errors.Newf("drain: %d requests or result writes still running: %w", p.running.count(), ctx.Err())
	}
}

// workCounter counts requests and background writes that are running.
type workCounter struct {
	mu   sync.Mutex
	n    int
	done chan struct{}
}

func (t *workCounter) add(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n += n; t.n == 0 && t.done != nil {
		close(t.done)
		t.done = nil
	}
}

func (t *workCounter) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// idle returns a channel that is closed once the count is 0.
func (t *workCounter) idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == 0 {
		c := make(chan struct{})
		close(c)
		return c
	}
	if t.done == nil {
		t.done = make(chan struct{})
	}
	return t.done
}

// Stats holds counters since the start of the VM and current sizes.
type Stats struct {
	Requests, Answered, Attempts, Retries, Resumes uint64
	// Queued counts requests that had to wait for admission.
	Queued uint64
	// HealthChanges counts changes of the health state of servers, and BudgetExhausted the requests that got no further
	// attempt because the retry budget was exhausted.
	HealthChanges, BudgetExhausted uint64
	// Failures counts rejected and failed requests by Error.Code.
	Failures map[string]uint64
	// Waiting is the number of queued and Active that of admitted requests; ConcurrencyLimits is the concurrency limit.
	// The keys are models ("model/<name>") and plain services ("service/<name>").
	Waiting, Active, ConcurrencyLimits map[string]int
	// Running counts requests in the pipeline and results that are still being recorded.
	Running int
}

type counters struct {
	requests, answered, attempts, retries, resumes, queued, healthChanges, budgetExhausted atomic.Uint64

	mu       sync.Mutex
	failures map[string]uint64
}

func (p *Pipeline) countFailure(err error) {
	code := "internal"
	var e *Error
	if errors.As(err, &e) {
		code = e.Code
	}
	p.counters.mu.Lock()
	defer p.counters.mu.Unlock()
	if p.counters.failures == nil {
		p.counters.failures = map[string]uint64{}
	}
	p.counters.failures[code]++
}

// Stats returns the counters.
func (p *Pipeline) Stats() Stats {
	c := &p.counters
	s := Stats{
		Requests: c.requests.Load(), Answered: c.answered.Load(), Attempts: c.attempts.Load(), Retries: c.retries.Load(),
		Resumes: c.resumes.Load(), Queued: c.queued.Load(), HealthChanges: c.healthChanges.Load(), BudgetExhausted: c.budgetExhausted.Load(),
		Failures: map[string]uint64{}, Waiting: map[string]int{}, Active: map[string]int{}, ConcurrencyLimits: map[string]int{},
		Running: p.running.count(),
	}
	c.mu.Lock()
	for code, n := range c.failures {
		s.Failures[code] = n
	}
	c.mu.Unlock()
	p.admissionQueues.mu.Lock()
	defer p.admissionQueues.mu.Unlock()
	for name, q := range p.admissionQueues.byName {
		q.mu.Lock()
		s.Waiting[name], s.Active[name], s.ConcurrencyLimits[name] = q.queue.Len(), q.queue.Running(), q.queue.ConcurrencyLimit()
		q.mu.Unlock()
	}
	return s
}

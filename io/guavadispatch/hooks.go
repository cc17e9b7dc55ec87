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

// ObserveLoad takes in the load report of a server, from its polling, a peer's digest or an answer.
func (p *Pipeline) ObserveLoad(server string, l guavaback.Load) {
	p.refresh()
	p.router.ObserveLoad(server, guavaroute.Report{
		Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, KV: l.KV, Models: l.Models, Adapters: l.Adapters,
		At: time.Now().Add(-time.Duration(l.Age) * time.Millisecond),
	})
}

// ObserveArrivals takes in the requests per server that a peer announced since its last announcement.
func (p *Pipeline) ObserveArrivals(sent map[string]int) {
	p.refresh()
	for server, n := range sent {
		p.router.ObserveArrivals(server, n)
	}
}

// ObserveEvents takes in cache events of a server.
func (p *Pipeline) ObserveEvents(server string, events []guavaback.CacheEvent) {
	p.refresh()
	for _, e := range events {
		p.router.ObservePrefix(server, e.Prefix, e.Op == "add")
	}
}

// ObservePollFailure takes in that a server did not answer a poll of its load.
func (p *Pipeline) ObservePollFailure(server string) {
	p.refresh()
	p.health.Observe(server, guavahealth.Outcome{Failed: true})
}

// TakeArrivals returns this VM's sends per server since the last call.
func (p *Pipeline) TakeArrivals() map[string]int { return p.router.TakeArrivals() }

// PoisonReports returns what other VMs should know of requests that crash servers.
func (p *Pipeline) PoisonReports() []guavapoison.Report { return p.poison.Reports() }

// MergePoison takes in the reports of a peer.
func (p *Pipeline) MergePoison(reports []guavapoison.Report) { p.poison.Merge(reports) }

// Running returns the number of running requests per server.
func (p *Pipeline) Running() map[string]int { return p.router.Running() }

// Health returns the state of a server.
func (p *Pipeline) Health(server string) guavahealth.State { return p.health.State(server) }

// Drain waits until all requests have ended and their results are recorded, or ctx ends.
func (p *Pipeline) Drain(ctx context.Context) error {
	select {
	case <-p.running.idle():
		return nil
	case <-ctx.Done():
		return errors.Newf("%d requests still run: %w", p.running.count(), ctx.Err())
	}
}

// tracker counts running work.
type tracker struct {
	mu   sync.Mutex
	n    int
	done chan struct{}
}

func (t *tracker) add(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n += n; t.n == 0 && t.done != nil {
		close(t.done)
		t.done = nil
	}
}

func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// idle returns a channel that is closed once nothing runs.
func (t *tracker) idle() <-chan struct{} {
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

// Stats are counters since the start of the VM and present sizes.
type Stats struct {
	Requests, Answered, Attempts, Retries, Resumes uint64
	// Queued requests waited for a place.
	Queued uint64
	// HealthChanges counts changes of state of servers, and BudgetExhausted attempts that the spent retry budget forbade.
	HealthChanges, BudgetExhausted uint64
	// Failures counts failures by their code.
	Failures map[string]uint64
	// Waiting, Active and ConcurrencyLimits are by model ("model/<name>") or plain service ("service/<name>").
	Waiting, Active, ConcurrencyLimits map[string]int
	// Running counts requests in the pipeline and results still being recorded.
	Running int
}

type counters struct {
	requests, answered, attempts, retries, resumes, queued, health, budget atomic.Uint64

	mu      sync.Mutex
	refused map[string]uint64
}

func (p *Pipeline) count(err error) {
	code := "internal"
	var e *Error
	if errors.As(err, &e) {
		code = e.Code
	}
	p.counters.mu.Lock()
	defer p.counters.mu.Unlock()
	if p.counters.refused == nil {
		p.counters.refused = map[string]uint64{}
	}
	p.counters.refused[code]++
}

// Stats returns the counters.
func (p *Pipeline) Stats() Stats {
	c := &p.counters
	s := Stats{
		Requests: c.requests.Load(), Answered: c.answered.Load(), Attempts: c.attempts.Load(), Retries: c.retries.Load(),
		Resumes: c.resumes.Load(), Queued: c.queued.Load(), HealthChanges: c.health.Load(), BudgetExhausted: c.budget.Load(),
		Failures: map[string]uint64{}, Waiting: map[string]int{}, Active: map[string]int{}, ConcurrencyLimits: map[string]int{},
		Running: p.running.count(),
	}
	c.mu.Lock()
	for code, n := range c.refused {
		s.Failures[code] = n
	}
	c.mu.Unlock()
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	for name, g := range p.gates.open {
		g.mu.Lock()
		s.Waiting[name], s.Active[name], s.ConcurrencyLimits[name] = g.queue.Len(), g.queue.Running(), g.queue.ConcurrencyLimit()
		g.mu.Unlock()
	}
	return s
}

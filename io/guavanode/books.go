package guavanode

import (
	"maps"
	"sync"
	"time"

	"guavaridge/core/guavafill"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavapeer"
)

// loadBook holds the load reports of the backend servers that this VM polls, for the exchange.
type loadBook struct {
	pipeline *guavadispatch.Pipeline
	fill     *guavafill.LimiterSet

	mu      sync.Mutex
	reports map[string]loadReport
}

// loadReport is a load report and the time at which it was true.
type loadReport struct {
	load guavaback.Load
	at   time.Time
}

// loadKept is the age after which a report is no longer sent.
const loadKept = 5 * time.Second

func newLoadBook(p *guavadispatch.Pipeline, fill *guavafill.LimiterSet) *loadBook {
	return &loadBook{pipeline: p, fill: fill, reports: map[string]loadReport{}}
}

// ObserveLoad implements guavapoll.Observer.
func (b *loadBook) ObserveLoad(server string, l guavaback.Load) {
	age := time.Duration(l.Age) * time.Millisecond
	b.fill.Report(server, l.Running, l.Waiting, l.Slots, age)
	// Batch streams yield at once, so routing and admission, here and on other VMs, must not take them for load.
	l.Running = b.fill.OnlineRunning(server, l.Running, age)
	b.pipeline.ObserveLoad(server, l)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[server] = loadReport{load: l, at: time.Now().Add(-time.Duration(l.Age) * time.Millisecond)}
}

// ObserveEvents implements guavapoll.Observer.
func (b *loadBook) ObserveEvents(server string, events []guavaback.CacheEvent) {
	b.pipeline.ObserveEvents(server, events)
}

// ObservePollFailure implements guavapoll.Observer.
func (b *loadBook) ObservePollFailure(server string) {
	b.pipeline.ObservePollFailure(server)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reports, server)
}

// digest returns the reports for the exchange.
func (b *loadBook) digest() []guavapeer.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(b.reports, func(_ string, r loadReport) bool { return now.Sub(r.at) >= loadKept })
	digest := make([]guavapeer.Load, 0, len(b.reports))
	for server, r := range b.reports {
		digest = append(digest, guavapeer.Load{
			Server: server, Running: uint32(max(0, r.load.Running)), Waiting: uint32(max(0, r.load.Waiting)),
			Slots: uint32(max(0, r.load.Slots)), KV: r.load.KV, Age: now.Sub(r.at),
		})
	}
	return digest
}

// cancelBook holds jobs cancelled lately, which the exchange spreads.
type cancelBook struct {
	stop   func(job string)
	spread func(job string)

	mu   sync.Mutex
	jobs map[string]time.Time
}

// cancelKept is how long a cancelled job is spread; later claims are refused by the table.
const cancelKept = 30 * time.Second

func newCancelBook() *cancelBook {
	return &cancelBook{jobs: map[string]time.Time{}, stop: func(string) {}, spread: func(string) {}}
}

// NotifyCancel implements guavabatch.CancelNotifier.
func (b *cancelBook) NotifyCancel(job string) {
	b.mu.Lock()
	b.jobs[job] = time.Now()
	b.mu.Unlock()
	b.stop(job)
	b.spread(job)
}

// received stops a job that another VM reported as cancelled.
func (b *cancelBook) received(jobs []string) {
	for _, j := range jobs {
		b.stop(j)
	}
}

// recent returns the jobs to spread.
func (b *cancelBook) recent() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(b.jobs, func(_ string, at time.Time) bool { return now.Sub(at) >= cancelKept })
	jobs := make([]string, 0, len(b.jobs))
	for j := range b.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

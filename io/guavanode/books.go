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

// loadReports holds the load reports of the backend servers that this VM polls, for the exchange.
type loadReports struct {
	pipeline *guavadispatch.Pipeline
	limiters *guavafill.LimiterSet

	mu      sync.Mutex
	reports map[string]loadReport
}

// loadReport is a load report with the time at which the backend server made it.
type loadReport struct {
	load guavaback.Load
	at   time.Time
}

// loadReportMaxAge is the age from which a report is not sent.
const loadReportMaxAge = 5 * time.Second

func newLoadReports(p *guavadispatch.Pipeline, limiters *guavafill.LimiterSet) *loadReports {
	return &loadReports{pipeline: p, limiters: limiters, reports: map[string]loadReport{}}
}

// ObserveLoad implements guavapoll.Observer.
func (s *loadReports) ObserveLoad(server string, l guavaback.Load) {
	age := time.Duration(l.Age) * time.Millisecond
	s.limiters.Report(server, l.Running, l.Waiting, l.Slots, age)
	// Batch streams yield immediately to online requests, so they must not count as load in routing and admission, on
	// this and other VMs.
	l.Running = s.limiters.OnlineRunning(server, l.Running, age)
	s.pipeline.ObserveLoad(server, l)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[server] = loadReport{load: l, at: time.Now().Add(-time.Duration(l.Age) * time.Millisecond)}
}

// ObserveEvents implements guavapoll.Observer.
func (s *loadReports) ObserveEvents(server string, events []guavaback.CacheEvent) {
	s.pipeline.ObserveEvents(server, events)
}

// ObservePollFailure implements guavapoll.Observer.
func (s *loadReports) ObservePollFailure(server string) {
	s.pipeline.ObservePollFailure(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reports, server)
}

// recent returns the reports to send in the exchange.
func (s *loadReports) recent() []guavapeer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.reports, func(_ string, r loadReport) bool { return now.Sub(r.at) >= loadReportMaxAge })
	recent := make([]guavapeer.Load, 0, len(s.reports))
	for server, r := range s.reports {
		recent = append(recent, guavapeer.Load{
			Server: server, Running: uint32(max(0, r.load.Running)), Waiting: uint32(max(0, r.load.Waiting)),
			Slots: uint32(max(0, r.load.Slots)), KV: r.load.KV, Age: now.Sub(r.at),
		})
	}
	return recent
}

// cancelledJobs holds recently cancelled jobs, which the exchange sends to other VMs.
type cancelledJobs struct {
	stop     func(job string)
	announce func(job string)

	mu   sync.Mutex
	jobs map[string]time.Time
}

// cancelRetention is how long a cancelled job is sent to other VMs. The table rejects claims of the job after that.
const cancelRetention = 30 * time.Second

func newCancelledJobs() *cancelledJobs {
	return &cancelledJobs{jobs: map[string]time.Time{}, stop: func(string) {}, announce: func(string) {}}
}

// NotifyCancel implements guavabatch.CancelNotifier.
func (c *cancelledJobs) NotifyCancel(job string) {
	c.mu.Lock()
	c.jobs[job] = time.Now()
	c.mu.Unlock()
	c.stop(job)
	c.announce(job)
}

// stopAll stops jobs that another VM reported as cancelled.
func (c *cancelledJobs) stopAll(jobs []string) {
	for _, j := range jobs {
		c.stop(j)
	}
}

// recent returns the jobs to send to other VMs.
func (c *cancelledJobs) recent() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.jobs, func(_ string, at time.Time) bool { return now.Sub(at) >= cancelRetention })
	jobs := make([]string, 0, len(c.jobs))
	for j := range c.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

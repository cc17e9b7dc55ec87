package guavaedge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"guavaridge/io/guavacalls"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavametrics"
)

// timeBounds are the upper bounds in seconds of histogram buckets for durations, dense around the latency targets of
// online requests.
var timeBounds = []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5}

// deviationBounds are the upper bounds in seconds for deviations from an expected time, negative for earlier ones.
var deviationBounds = []float64{-0.5, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}

// metricsReadTimeout bounds the reading of the headers of a request for metrics.
const metricsReadTimeout = 2 * time.Second

// requestMetrics registers the histograms and counters of requests.
func requestMetrics(m *guavametrics.Metrics) (guavagate.Metrics, error) {
	var t guavagate.Metrics
	for _, h := range [...]struct {
		observe    *func(float64)
		name, help string
		bounds     []float64
	}{
		{&t.Wait, "guavaridge_place_wait", "time until a request got a place on a server or was refused", timeBounds},
		{&t.FirstByte, "guavaridge_first_byte", "time from the arrival of a request to the first byte of its answer", timeBounds},
		{&t.Total, "guavaridge_answer", "time from the arrival of a request to the end of its answer", timeBounds},
		{
			&t.FirstByteDeviation, "guavaridge_first_byte_deviation",
			"time from the grant of a place to the first byte, less what the coordinator expected", deviationBounds,
		},
	} {
		var err error
		if *h.observe, err = m.Histogram(h.name, h.help, "s", h.bounds...); err != nil {
			return guavagate.Metrics{}, fmt.Errorf("metrics: %w", err)
		}
	}
	count, err := m.LabelledCounter("guavaridge_ended", "requests by kind of route or operation, outcome and cause",
		"kind", "outcome", "cause")
	if err != nil {
		return guavagate.Metrics{}, fmt.Errorf("metrics: %w", err)
	}
	t.Ended = func(e guavagate.Ending) { count(e.Kind, string(e.Outcome), e.Cause) }
	return t, nil
}

// storeCallMetrics registers the histogram of store calls.
func storeCallMetrics(m *guavametrics.Metrics) (guavacalls.Record, error) {
	record, err := m.LabelledHistogram("guavaridge_store_call", "time of a call of the store, by kind and result", "s",
		[]string{"kind", "result"}, timeBounds...)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return func(kind, result string, took time.Duration) { record(took.Seconds(), kind, result) }, nil
}

// CountDropped registers the counter of dropped log lines.
func (e *Edge) CountDropped(read func() uint64) error {
	if err := e.metrics.Counter("guavaridge_log_lines_dropped", "log lines over the budget of the settings",
		func() int64 { return int64(read()) }); err != nil { //nolint:gosec // small
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

// registerMetrics registers the counters and gauges of the process. They have no labels for accounts or identifiers, so
// that the number of series is fixed.
func (e *Edge) registerMetrics(m *guavametrics.Metrics) error {
	g, l := &e.gate.Counters, &e.batch.Counters
	counters := []struct {
		name, help string
		value      *atomic.Uint64
	}{
		{"guavaridge_requests", "requests of callers", &g.Requests},
		{"guavaridge_answered", "requests answered by a server", &g.Answered},
		{"guavaridge_refused", "requests refused that have not run", &g.Refused},
		{"guavaridge_tokens", "requests within the rate of their account", &g.Tokens},
		{"guavaridge_limited", "requests beyond the rate of their account", &g.Limited},
		{"guavaridge_failed", "requests that failed after they may have run", &g.Failed},
		{"guavaridge_vanished", "callers that left", &g.Disconnected},
		{"guavaridge_repeated", "requests sent to another server", &g.Retried},
		{"guavaridge_resumed", "streams that went on at another server", &g.Resumed},
		{"guavaridge_servers_silent", "silences of servers for which another server was sought", &g.Silences},
		{"guavaridge_connections_rejected", "connections over the limit", &g.Rejected},
		{"guavaridge_connections_evicted", "connections closed to make room for others", &g.Evicted},
		{"guavaridge_requests_over_limit", "requests over a limit of the configuration", &g.OverLimit},
		{"guavaridge_requests_over_memory", "requests refused for lack of memory", &g.OverMemory},
		{"guavaridge_hedges_sent", "copies of slow requests", &g.Hedged},
		{"guavaridge_hedges_won", "copies of slow requests that responded first", &g.HedgesWon},
		{"guavaridge_hedges_held", "copies of slow requests prevented by the limit or for lack of spare room", &g.HedgesHeld},
		{"guavaridge_accepts_failed", "accepts of connections that failed and were retried", &e.acceptFailures},
		{"guavaridge_answers_over_budget", "answers of servers that were larger than the memory for them", &e.sender.OverBudget},
		{"guavaridge_jobs", "jobs that this VM began to run", &l.Jobs},
		{"guavaridge_jobs_adopted", "jobs taken over from other VMs", &l.Adopted},
		{"guavaridge_jobs_refused", "jobs refused because the store or this VM could not accept them", &l.Refused},
		{"guavaridge_jobs_over_limit", "jobs refused beyond the waiting tokens of their account", &l.OverLimit},
		{"guavaridge_items_succeeded", "items listed with their text", &l.Succeeded},
		{"guavaridge_items_dead", "items given up", &l.Dead},
		{"guavaridge_items_yielded", "runs that gave way to online requests", &l.Yields},
		{"guavaridge_items_resumed", "runs that broke off and went on", &l.Resumed},
	}
	for _, c := range counters {
		if err := m.Counter(c.name, c.help, func() int64 { return int64(c.value.Load()) }); err != nil { //nolint:gosec // small
			return fmt.Errorf("metrics: %w", err)
		}
	}
	gauges := []struct {
		name, help string
		read       func() int64
	}{
		{"guavaridge_running", "requests being served", func() int64 { return int64(e.gate.Running()) }},
		{"guavaridge_buffer_bytes", "memory held by bodies of requests and responses", func() int64 { return int64(e.buffers.Used()) }},
		{"guavaridge_jobs_running", "jobs that this VM runs", func() int64 { return int64(e.batch.Running()) }},
		{"guavaridge_config_version", "configuration in force", func() int64 {
			if c := e.registry.config.Load(); c != nil {
				return int64(c.Version) //nolint:gosec // versions are small
			}
			return 0
		}},
		{"guavaridge_store_silence_ms", "time for which the store has not answered", func() int64 {
			return e.config.Outage(time.Now()).Milliseconds()
		}},
		{"guavaridge_server_list_silence_ms", "time for which nothing was heard of changes to the list of servers", func() int64 {
			return e.servers.Outage(time.Now()).Milliseconds()
		}},
		{"guavaridge_vm_list_silence_ms", "time for which nothing was heard of changes to the list of VMs", func() int64 {
			return e.vms.Outage(time.Now()).Milliseconds()
		}},
		{"guavaridge_servers", "backend servers known", func() int64 { return int64(e.registry.servers.Load().Len()) }},
		{"guavaridge_servers_evacuated", "backend servers of evacuated failure domains", func() int64 {
			evacuated, _ := e.registry.countServers()
			return evacuated
		}},
		{"guavaridge_servers_cold", "backend servers that are cold", func() int64 {
			_, cold := e.registry.countServers()
			return cold
		}},
		{"guavaridge_vms", "VMs known", func() int64 { return int64(e.registry.countListed()) }},
		{"guavaridge_bans", "bans of requests that crash servers", func() int64 { return int64(e.client.Bans()) }},
		{"guavaridge_goroutines", "goroutines of the process", func() int64 { return int64(runtime.NumGoroutine()) }},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.help, g.read); err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	return nil
}

// serveMetrics serves /metrics until ctx ends.
func (e *Edge) serveMetrics(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", e.metrics.Handler())
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: metricsReadTimeout, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: probeTimeout,
		MaxHeaderBytes: maxProbeSize,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // the process exits in any case
	defer stop()
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}

package guavanode

import "github.com/cockroachdb/errors"

// registerMetrics registers the VM's counters and gauges.
func (n *Node) registerMetrics() error {
	type value struct {
		name, help string
		read       func() int64
	}
	counters := []value{
		{"requests", "Requests of callers.", func() int64 { return int64(n.frontCounters.Requests.Load()) }},
		{"refused", "Requests refused before they were dispatched.", func() int64 { return int64(n.frontCounters.Refused.Load()) }},
		{"denied", "Requests without a valid key.", func() int64 { return int64(n.frontCounters.Denied.Load()) }},
		{"ended", "Running requests ended because their key was withdrawn.", func() int64 { return int64(n.frontCounters.Ended.Load()) }},
		{"vanished", "Callers that left before their answer was complete.", func() int64 { return int64(n.frontCounters.Disconnected.Load()) }},
		{"answered", "Requests answered by a backend server.", func() int64 { return int64(n.pipeline.Stats().Answered) }},
		{"accepts_failed", "Accepts of connections that failed and were retried.", func() int64 { return int64(n.acceptFailures.Load()) }},
		{"attempts", "Attempts sent to backend servers.", func() int64 { return int64(n.pipeline.Stats().Attempts) }},
		{"retries", "Attempts after the first of a request.", func() int64 { return int64(n.pipeline.Stats().Retries) }},
		{"resumes", "Streams resumed on another backend server.", func() int64 { return int64(n.pipeline.Stats().Resumes) }},
		{"ejections", "Changes of state of backend servers.", func() int64 { return int64(n.pipeline.Stats().HealthChanges) }},
		{"dropped", "Answers and events with another identifier.", func() int64 { return int64(n.backendCounters.Dropped.Load()) }},
		{"items", "Batch items completed.", func() int64 { return int64(n.batchRunner.Stats().Completed) }},
		{"yields", "Batch streams cancelled for online requests.", func() int64 { return int64(n.batchRunner.Stats().Yielded) }},
		{"chunks", "Chunks whose results were submitted.", func() int64 { return int64(n.batchRunner.Stats().Submitted) }},
		{"takes", "Requests for tokens sent to other VMs.", func() int64 { return int64(n.rateLimiter.Stats().Asked) }},
		{"polls", "Load reports asked for.", func() int64 { asked, _ := n.poller.Polls(); return asked }},
	}
	gauges := []value{
		{"running", "Requests being served.", func() int64 { return int64(n.front.Running()) }},
		{"version", "Configuration version in force.", func() int64 { return int64(n.holder.Head()) }},
		{"members", "Live VMs of the own failure domain.", func() int64 { return int64(len(n.table.Alive(n.settings.Domain))) }},
	}
	for _, c := range counters {
		if err := n.metrics.Counter(c.name, c.help, c.read); err != nil {
			return errors.Newf("register metrics: %w", err)
		}
	}
	for _, c := range gauges {
		if err := n.metrics.Gauge(c.name, c.help, c.read); err != nil {
			return errors.Newf("register metrics: %w", err)
		}
	}
	return nil
}

package guavagate

import (
	"cmp"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavatraffic"
)

// Outcome is how a request of a caller ended.
type Outcome string

// The outcomes of requests.
const (
	// Answered requests got the complete response of a server, or of this VM about a job.
	Answered Outcome = "answered"
	// Rejected requests named an unknown route, key or job, or were malformed.
	Rejected Outcome = "rejected"
	// Refused requests were not executed; their callers were told when to retry.
	Refused Outcome = "refused"
	// Failed requests may have been executed and got no response of a server.
	Failed Outcome = "failed"
	// Truncated requests got only a part of a streamed response.
	Truncated Outcome = "broken"
	// Disconnected requests were cancelled since their caller disconnected.
	Disconnected Outcome = "left"
)

// Causes of requests that end without a response, where neither the scheduler nor a job gives one. Log lines contain
// the text of the error instead.
const (
	causeServer   = "server failed"
	causeAttempts = "no attempt left"
	causeNoServer = "no server for the rest"
	causeDeadline = "deadline"
	causeClosing  = "VM closing"
	causePanic    = "panic"
	causeNone     = ""
)

// Ending describes how a request ended. Each field has few values, since they are the labels of a metric.
type Ending struct {
	// Kind is that of the route, or the name of an operation on jobs; it is empty if no route was found.
	Kind    string
	Outcome Outcome
	// Cause says in a word or two why there was no response.
	Cause string
}

// recordOutcome passes the outcome of the request to the metrics.
func (c *call) recordOutcome(o Outcome, cause string) {
	kind := string(c.route.Kind)
	if c.request.Operation != Forward {
		kind = string(c.request.Operation)
	}
	c.gate.Metrics.Ended(Ending{Kind: kind, Outcome: o, Cause: cause})
}

// recordJobOutcome passes the outcome of a request about a job, which follows from its status, to the metrics.
func (c *call) recordJobOutcome() {
	o := Failed
	switch status := c.ctx.Response.StatusCode(); {
	case status < fasthttp.StatusMultipleChoices:
		o = Answered
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		o = Refused
	case status < fasthttp.StatusInternalServerError:
		o = Rejected
	}
	c.recordOutcome(o, causeNone)
}

// isStream reports whether the response is relayed while it arrives.
func (c *call) isStream(status int) bool {
	return c.route.Kind == guavatraffic.Stream && status == fasthttp.StatusOK
}

// refuse responds that the request was not executed, and returns its token.
func (c *call) refuse(status int, after time.Duration, reason string) {
	c.gate.Counters.Refused.Add(1)
	c.gate.Admission.Return(c.token)
	c.ctx.SetStatusCode(status)
	c.gate.Protocol.SetRetryAfter(&c.ctx.Response.Header, after)
	c.log("refused", "status", status, "cause", reason, "after", after.Milliseconds())
	c.recordOutcome(Refused, reason)
}

// fail responds without a statement about whether the request was executed. If there is a detail, the log contains it
// instead of the cause.
func (c *call) fail(status int, cause, detail string) {
	c.gate.Counters.Failed.Add(1)
	c.ctx.SetStatusCode(status)
	c.log("failed", "status", status, "cause", cmp.Or(detail, cause))
	c.recordOutcome(Failed, cause)
}

// callerDisconnected ends a request whose caller has disconnected.
func (c *call) callerDisconnected() {
	c.gate.Counters.Disconnected.Add(1)
	c.ctx.SetConnectionClose()
	c.ctx.SetStatusCode(fasthttp.StatusBadGateway) // for a caller that has closed only its sending side
	c.log("caller disconnected")
	c.recordOutcome(Disconnected, causeNone)
}

// log writes a line about the request with the fields that identify it and explain the decision.
func (c *call) log(event string, fields ...any) {
	fields = append([]any{
		"id", c.request.ID, "route", c.route.Name, "account", c.account, "server", c.server,
		"ms", time.Since(c.arrived).Milliseconds(), "waited", c.waited.Milliseconds(),
	}, fields...)
	if !c.deadline.IsZero() {
		fields = append(fields, "left", time.Until(c.deadline).Milliseconds())
	}
	c.gate.Logger.Info(event, fields...)
}

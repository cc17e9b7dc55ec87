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
	// Answered requests got the whole answer of a server, or of this VM about a job.
	Answered Outcome = "answered"
	// Rejected requests named a route, key or job that there is none of, or were malformed.
	Rejected Outcome = "rejected"
	// Refused requests have not run; their callers were told when to come back.
	Refused Outcome = "refused"
	// Failed requests may have run and got no answer of a server.
	Failed Outcome = "failed"
	// Truncated requests got a part of a stream.
	Truncated Outcome = "broken"
	// Disconnected requests lost their caller.
	Disconnected Outcome = "left"
)

// Causes for which requests end without an answer, where neither the scheduler nor a job gives one. Log lines hold the text
// of the error instead.
const (
	causeServer = "server failed"
	causeNone   = ""
)

// Ending is how a request ended. Its fields take few values each, so that they can be labels of a metric.
type Ending struct {
	// Kind is that of the route, or the name of an operation on jobs; it is empty without a route.
	Kind    string
	Outcome Outcome
	// Cause says in a word or two why there was no answer.
	Cause string
}

// ended counts how the request ended.
func (c *call) ended(o Outcome, cause string) {
	kind := string(c.route.Kind)
	if c.request.Operation != Forward {
		kind = string(c.request.Operation)
	}
	c.gate.Metrics.Ended(Ending{Kind: kind, Outcome: o, Cause: cause})
}

// endedJob counts how a request about a job ended.
func (c *call) endedJob() {
	o := Failed
	switch status := c.ctx.Response.StatusCode(); {
	case status < fasthttp.StatusMultipleChoices:
		o = Answered
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		o = Refused
	case status < fasthttp.StatusInternalServerError:
		o = Rejected
	}
	c.ended(o, causeNone)
}

// isStream reports whether the answer is passed on as it arrives.
func (c *call) isStream(status int) bool {
	return c.route.Kind == guavatraffic.Stream && status == fasthttp.StatusOK
}

// refuse answers that the request has not run.
func (c *call) refuse(status int, after time.Duration, reason string) {
	c.gate.Counters.Refused.Add(1)
	c.gate.Admission.Return(c.token)
	c.ctx.SetStatusCode(status)
	c.gate.Protocol.SetRetryAfter(&c.ctx.Response.Header, after)
	c.log("refused", "status", status, "cause", reason, "after", after.Milliseconds())
	c.ended(Refused, reason)
}

// fail answers without a promise about whether the request ran. The log holds the detail if there is one.
func (c *call) fail(status int, cause, detail string) {
	c.gate.Counters.Failed.Add(1)
	c.ctx.SetStatusCode(status)
	c.log("failed", "status", status, "cause", cmp.Or(detail, cause))
	c.ended(Failed, cause)
}

// vanished ends a request whose caller has left.
func (c *call) vanished() {
	c.gate.Counters.Disconnected.Add(1)
	c.ctx.SetConnectionClose()
	c.log("caller left")
	c.ended(Disconnected, causeNone)
}

// log writes a line about the request with what decided it.
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

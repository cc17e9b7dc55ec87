package guavagate

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavalisten"
)

const (
	// defaultLeft is the time of a request whose caller and route give none.
	defaultLeft = 10 * time.Second
	// submitShare and lastSubmitShare are the parts of its time for which the submission of a job waits for the store: a third,
	// as callers use for Retry-After, and for a caller that has come back what leaves the answer time to reach it.
	submitShare     = 0.33
	lastSubmitShare = 0.8
)

// call is one request of a caller.
type call struct {
	gate    *Gateway
	ctx     *fasthttp.RequestCtx
	request Request
	arrived time.Time
	config  *guavatraffic.Config
	route   guavatraffic.Route
	account string
	service string
	message fasthttp.Request

	run       context.Context
	cancel    context.CancelCauseFunc
	watched   *guavalisten.Connection
	deadline  time.Time
	returning bool
	avoid     []string
	content   uint64 // sum of the fingerprint
	runs      int    // servers on which it may have run
	tries     int
	waited    time.Duration
	server    string
	token     guavacoord.Token // of the account's rate, if it has one
}

// serve answers the request, or leaves a stream behind that does.
func (c *call) serve() {
	if !c.resolve() {
		return
	}
	c.begin()
	if c.request.Operation != Forward {
		defer c.end()
		c.gate.Jobs.Serve(c.run, c.ctx, c.request, c.account)
		c.endedJob()
		return
	}
	if c.route.Kind == guavatraffic.Batch {
		defer c.end()
		c.submit()
		c.log("submission", "status", c.ctx.Response.StatusCode())
		c.endedJob()
		return
	}
	if streaming := c.limitAndDispatch(); !streaming {
		c.end()
	}
}

// submit hands a job in. While the store does not answer, a first try leaves its caller time for another VM, which may reach
// the store; a last one waits longer for the store's return.
func (c *call) submit() {
	share := submitShare
	if c.returning {
		share = lastSubmitShare
	}
	limit := time.Duration(share * float64(time.Until(c.deadline)))
	ctx, stop := context.WithTimeoutCause(c.run, limit, errDeadline)
	defer stop()
	c.gate.Jobs.Submit(ctx, c.ctx, c.request, c.route, c.account)
}

// resolve finds the route and the client account, or answers why there is none.
func (c *call) resolve() bool {
	g := c.gate
	c.config = g.Config()
	if c.config == nil {
		c.refuse(fasthttp.StatusServiceUnavailable, unknownAfter, "no configuration")
		return false
	}
	var ok bool
	if c.route, ok = c.config.Route(c.request.Host, c.request.Path); !ok && c.request.Operation == Forward {
		c.unknown(fasthttp.StatusNotFound, "no route")
		return false
	}
	if c.request.Operation == Forward && c.route.Open {
		return true
	}
	if !c.config.HasAccounts() {
		return true
	}
	a, ok := c.config.Account(c.request.Key)
	if !ok {
		c.unknown(fasthttp.StatusUnauthorized, "unknown key")
		return false
	}
	c.account = a.Name
	return true
}

// unknown answers for a route or key that the configuration does not hold. A VM whose configuration may be out of date
// cannot know that.
func (c *call) unknown(status int, reason string) {
	if c.gate.Stale() {
		c.refuse(fasthttp.StatusServiceUnavailable, unknownAfter, reason+", configuration out of date")
		return
	}
	c.ctx.SetStatusCode(status)
	c.log("refused", "status", status, "cause", reason, "version", c.config.Version)
	c.ended(Rejected, reason)
}

// begin sets the request's time limit and watches for its caller to leave.
func (c *call) begin() {
	g := c.gate
	g.running.Add(1)
	left := c.request.Timeout
	if c.route.Timeout > 0 && (left <= 0 || left > c.route.Timeout) {
		left = c.route.Timeout
	}
	if left <= 0 {
		left = defaultLeft
	}
	if c.request.Operation == Forward && c.request.Timeout > 0 {
		c.returning = g.isReturning(c.route.Name, c.request.Timeout)
	}
	c.deadline = c.arrived.Add(left)
	run, cancel := context.WithCancelCause(g.base)
	run, stop := context.WithDeadlineCause(run, c.deadline, errDeadline)
	c.run, c.cancel = run, func(cause error) {
		cancel(cause)
		stop()
	}
	if w, ok := c.ctx.Conn().(*guavalisten.Connection); ok {
		c.watched = w
		w.Watch(func() { cancel(errGone) })
	}
}

// end undoes begin.
func (c *call) end() {
	if c.watched != nil {
		c.watched.Unwatch()
	}
	c.cancel(nil)
	c.gate.running.Add(-1)
}

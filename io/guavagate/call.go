package guavagate

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavatransport"
)

const (
	// defaultTimeout applies to requests for which neither the caller nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// submitShare and retrySubmitShare are the fractions of the remaining time for which the submission of a job waits for
	// the store: a third for a first attempt, as callers use for Retry-After, and more for a retry, which still leaves the
	// response time to reach the caller.
	submitShare      = 0.33
	retrySubmitShare = 0.8
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
	// outgoingMu serializes reads of the message's header, which change its internal state.
	outgoingMu sync.Mutex
	body       []byte
	held       *guavabudget.SharedHolder[string] // memory of the body, nil if it holds none

	runCtx         context.Context
	cancel         context.CancelCauseFunc // nil before begin
	interrupt      context.CancelCauseFunc // ends the current attempt
	ended          bool
	conn           *guavalisten.Connection
	deadline       time.Time
	isRetry        bool
	avoid          []string
	fingerprintSum uint64
	executions     int // number of attempts that may have been executed
	unexecuted     int // number of attempts that were not executed, without those of leaving servers
	waited         time.Duration
	server         string
	replacement    *guavacoord.Reservation // for the next attempt, nil if it has to be acquired
	token          guavacoord.Token        // of the account's rate limit, if it has one
}

// serve responds to the request. A streamed response is completed later, when the HTTP server reads its body.
func (c *call) serve() {
	if !c.checkFields() || !c.resolve() {
		return
	}
	if c.request.Operation == Forward && c.route.Kind != guavatraffic.Batch {
		// Before the body is read, which adds its trailer section to the header. The HTTP server may reuse the header while a stream
		// is still being relayed. Request.CopyTo would also copy the parsed URI, whose path is normalized, and Request.Write would
		// send that instead of the one received.
		c.ctx.Request.Header.CopyTo(&c.message.Header)
	}
	if !c.readBody() {
		return
	}
	if c.conn != nil {
		c.conn.Protect()
	}
	c.begin()
	if c.request.Operation == Forward && c.route.Kind != guavatraffic.Batch && c.gate.outlastsDrain(c.deadline) {
		c.refuse(fasthttp.StatusServiceUnavailable, unknownRetryAfter, "draining")
		c.end()
		return
	}
	if c.request.Operation != Forward {
		defer c.end()
		c.gate.Jobs.Serve(c.runCtx, c.ctx, c.request, c.account)
		c.holdResponse()
		c.recordJobOutcome()
		return
	}
	if c.route.Kind == guavatraffic.Batch {
		defer c.end()
		c.submit()
		c.log("submission", "status", c.ctx.Response.StatusCode())
		c.recordJobOutcome()
		return
	}
	if streaming := c.limitAndDispatch(); !streaming {
		c.end()
	}
}

// checkFields checks the names of the request's header fields, of which the HTTP server accepts some that servers may read differently.
// If there is a malformed one, it rejects the request and returns false.
func (c *call) checkFields() bool {
	if err := guavatransport.CheckFields(c.ctx.Request.Header.RawHeaders()); err != nil {
		c.closeAfterResponse()
		c.reject(fasthttp.StatusBadRequest, causeBroken)
		return false
	}
	return true
}

// submit submits a job. While the store is unavailable, a first attempt leaves its caller time to retry on another VM,
// which may reach the store. A retry waits longer for the store to recover.
func (c *call) submit() {
	share := submitShare
	if c.isRetry {
		share = retrySubmitShare
	}
	limit := time.Duration(share * float64(time.Until(c.deadline)))
	ctx, stop := context.WithTimeoutCause(c.runCtx, limit, errDeadline)
	defer stop()
	c.ctx.Request.SetBodyRaw(c.body)
	c.gate.Jobs.Submit(ctx, c.ctx, Submission{Request: c.request, Config: c.config, Route: c.route, Account: c.account})
}

// resolve finds the route and the client account. If there is none, it responds with the reason and returns false.
func (c *call) resolve() bool {
	g := c.gate
	c.config = g.Config()
	if c.config == nil {
		c.refuse(fasthttp.StatusServiceUnavailable, unknownRetryAfter, "no configuration")
		return false
	}
	var ok bool
	if c.route, ok = c.config.Route(c.request.Host, c.request.Path); !ok && c.request.Operation == Forward {
		c.rejectUnknown(fasthttp.StatusNotFound, "no route")
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
		c.rejectUnknown(fasthttp.StatusUnauthorized, "unknown key")
		return false
	}
	c.account = a.Name
	return true
}

// rejectUnknown rejects a request whose route or key is not in the configuration. If the configuration may be out of
// date, the request is refused with a time to retry instead.
func (c *call) rejectUnknown(status int, reason string) {
	if c.gate.Stale() {
		c.refuse(fasthttp.StatusServiceUnavailable, unknownRetryAfter, reason+", configuration out of date")
		return
	}
	c.ctx.SetStatusCode(status)
	c.log("refused", "status", status, "cause", reason, "version", c.config.Version)
	c.recordOutcome(Rejected, reason)
}

// begin sets the request's deadline and cancels the request if its caller disconnects.
func (c *call) begin() {
	g := c.gate
	g.running.Add(1)
	timeout := c.request.Timeout
	if c.route.Timeout > 0 && (timeout <= 0 || timeout > c.route.Timeout) {
		timeout = c.route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.request.Operation == Forward && c.request.Timeout > 0 {
		c.isRetry = g.detectRetry(c.route.Name, c.request.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	runCtx, cancel := context.WithCancelCause(g.base)
	runCtx, stop := context.WithDeadlineCause(runCtx, c.deadline, errDeadline)
	c.runCtx, c.cancel = runCtx, func(cause error) {
		cancel(cause)
		stop()
	}
	if c.conn != nil {
		c.conn.Watch(func() { cancel(errDisconnected) })
	}
}

// end releases what begin set up. Later calls do nothing.
func (c *call) end() {
	if c.cancel == nil || c.ended {
		return
	}
	c.ended = true
	if c.held != nil {
		c.held.Set(0)
	}
	if c.replacement != nil {
		c.replacement.Release(guavaplace.Cancelled, 0)
	}
	if c.conn != nil {
		c.conn.Unwatch()
	}
	c.cancel(nil)
	c.gate.running.Add(-1)
}

// recoverPanic responds with status 500 if the handler panics. Like net/http, it confines the fault to the connection;
// fasthttp does not, so that the process would end with all of its requests. The request may have been executed.
func (c *call) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	c.gate.Counters.Failed.Add(1)
	c.gate.Logger.Error("panic while serving a request", "id", c.request.ID, "panic", v, "stack", string(debug.Stack()))
	// Response.Reset would also reset the settings of the HTTP server.
	response := &c.ctx.Response
	response.ResetBody()
	response.ImmediateHeaderFlush = false
	var names []string
	for name := range response.Header.All() {
		names = append(names, string(name))
	}
	for _, name := range names {
		response.Header.Del(name)
	}
	c.ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	c.ctx.SetConnectionClose()
	c.recordOutcome(Failed, causePanic)
	c.end()
}

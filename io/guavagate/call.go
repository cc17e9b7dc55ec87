package guavagate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavasend"
	"guavaridge/io/guavatransport"
)

const (
	// defaultLeft is the time of a request whose caller and route give none.
	defaultLeft = 10 * time.Second
	// lateShare and returningShare are the parts of its time for which a request may wait for a place in vain. What comes back
	// gets no further try here, but more than half of its time is left for its caller to do without.
	lateShare      = 0.3
	returningShare = 0.4
	// submitShare and lastSubmitShare are the parts of its time for which the submission of a job waits for the store: a third,
	// as callers use for Retry-After, and for a caller that has come back what leaves the answer time to reach it.
	submitShare     = 0.33
	lastSubmitShare = 0.8
	// idleOnce bounds how long a connection for a request that may run only once may have been idle.
	idleOnce = 400 * time.Millisecond
	// idleMore bounds it for others.
	idleMore = 2 * time.Second
	// silentTargets is the time, as a multiple of the route's target, without a byte of an answer after which a server
	// counts as silent.
	silentTargets = 2
	// leastSilent is the shortest such time.
	leastSilent = 300 * time.Millisecond
	// placeTries bounds how often a request that has not run gets another place.
	placeTries = 4
	// bufferSize is the size in bytes of the buffer for reading answers.
	bufferSize = 4 << 10
	// answerSize bounds an answer that is not a stream, in bytes.
	answerSize = 32 << 20
	// usualAfter is when to come back where no better time is known.
	usualAfter = 250 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	gate    *Gate
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
	left := c.request.Left
	if c.route.Timeout > 0 && (left <= 0 || left > c.route.Timeout) {
		left = c.route.Timeout
	}
	if left <= 0 {
		left = defaultLeft
	}
	if c.request.Operation == Forward && c.request.Left > 0 {
		c.returning = g.isReturning(c.route.Name, c.request.Left)
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

// limitAndDispatch takes a token of the account's rate and runs the request. It returns true when a stream answers.
func (c *call) limitAndDispatch() bool {
	g := c.gate
	if a := c.config.Accounts[c.account]; a.Rate > 0 {
		token, ok, after := g.Admission.Token(c.run, c.account)
		if !ok {
			g.Counters.Limited.Add(1)
			c.refuse(fasthttp.StatusTooManyRequests, after, "rate")
			return false
		}
		g.Counters.Tokens.Add(1)
		c.token = token
	}
	c.service = c.route.Service(c.request.ID)
	// The server may use the context again for its own ends while a stream is still being passed on.
	c.ctx.Request.CopyTo(&c.message)
	for {
		streaming, again := c.try()
		if !again {
			return streaming
		}
		g.Counters.Repeated.Add(1)
	}
}

// try gets a place and sends the request. Again is true when it may go to another server.
func (c *call) try() (streaming, again bool) {
	place, err := c.acquire()
	if err != nil {
		c.noPlace(err)
		return false, false
	}
	x, err := c.send(place, c.request.Received)
	if err != nil {
		return false, c.sendFailed(place, err)
	}
	answer := c.gate.Wire.Answer(&x.Response.Header)
	place.Started(answer.Load)
	c.gate.Metrics.First(time.Since(c.arrived).Seconds())
	c.gate.Metrics.Deviation((time.Since(c.arrived) - c.waited - place.Expected).Seconds())
	switch {
	case answer.Misdirected:
		x.Close()
		place.Release(guavaplace.Misdirected, 0)
		return false, c.notRun("misdirected")
	case answer.NotRun:
		x.Close()
		place.Release(guavaplace.Shed, 0)
		return false, c.notRun("shed")
	case c.isStream(x.Response.StatusCode()):
		return c.stream(x, place)
	}
	return false, c.whole(x, place)
}

// acquire waits for a place on a server that this VM itself knows as usable: the VM that decides may be cut off from the
// store.
func (c *call) acquire() (*guavacoord.Place, error) {
	g := c.gate
	r := guavaplace.Request{
		Class: guavaplace.Online, Priority: c.config.Priority(c.route, c.account), Returning: c.returning,
		Tokens: c.request.Tokens, Work: float64(c.request.Output), Affinity: c.request.Affinity,
	}
	if c.request.Hint > 0 {
		r.Work = float64(c.request.Hint)
	}
	if c.content == 0 {
		c.content = c.fingerprint().Sum()
	}
	r.Content = c.content
	for {
		now := time.Now()
		left := c.deadline.Sub(now)
		share := lateShare
		if c.returning {
			share = returningShare
		}
		r.Start = c.route.Target - now.Sub(c.arrived)
		r.Patience = time.Duration(share * float64(left))
		r.Avoid = c.avoid
		place, err := g.Admission.Acquire(c.run, c.service, r)
		c.waited = time.Since(c.arrived)
		g.Metrics.Wait(time.Since(now).Seconds())
		if err != nil {
			return nil, fmt.Errorf("place on %s: %w", c.service, err)
		}
		if g.Usable(c.service, place.Server) {
			c.server = place.Server
			return place, nil
		}
		place.Release(guavaplace.Cancelled, 0)
		c.avoid = append(c.avoid, place.Server)
		if c.tries++; c.tries >= placeTries {
			return nil, &guavacoord.RefusalError{After: usualAfter, Reason: "servers unknown here"}
		}
	}
}

// fingerprint names the request by its caller's account, method, address and body.
func (c *call) fingerprint() guavapoison.Fingerprint {
	h := &c.message.Header
	name := fmt.Sprintf("%s %s %s%s", c.account, h.Method(), c.request.Host, h.RequestURI())
	return guavapoison.NewFingerprint(name, c.message.Body())
}

// noPlace answers that there was no place in time.
func (c *call) noPlace(err error) {
	var refusal *guavacoord.RefusalError
	switch {
	case errors.Is(err, errGone):
		c.vanished()
	case c.runs > 0:
		c.fail(fasthttp.StatusBadGateway, "no place for another try", causeNone)
	case errors.As(err, &refusal):
		c.refuse(fasthttp.StatusServiceUnavailable, refusal.After, refusal.Reason)
	default:
		c.refuse(fasthttp.StatusServiceUnavailable, usualAfter, "no place in time")
	}
}

// silent is the time without a byte of an answer after which a server counts as silent.
func (c *call) silent() time.Duration {
	return max(time.Duration(silentTargets*float64(c.route.Target)), leastSilent)
}

// send sends the request to the place's server and reads the head of the answer.
func (c *call) send(place *guavacoord.Place, received int) (*guavasend.Exchange, error) {
	q := &fasthttp.Request{}
	c.message.CopyTo(q)
	guavatransport.StripHop(&q.Header) // before headers are set that it might name
	c.gate.Wire.Prepare(&q.Header, Outgoing{
		Server: place.Server, Account: c.account, Left: time.Until(c.deadline), Received: received,
	})
	r := guavasend.Request{
		Address: place.Address, ID: c.request.ID, IDHeader: c.gate.Wire.IDHeader(), Message: q, Idle: idleOnce,
	}
	// A request that may run once waits for its answer as long as its caller does; its silence is only reported.
	report := time.AfterFunc(c.silent(), func() { place.Release(guavaplace.Silent, 0) })
	defer report.Stop()
	if c.route.Repeatable() {
		r.Idle, r.Quiet, r.Repeatable = idleMore, c.silent(), true
	}
	return c.gate.Sender.Send(c.run, r) //nolint:wrapcheck // sendFailed takes it apart
}

// sendFailed decides what follows a failed exchange, and returns whether to try another server.
func (c *call) sendFailed(place *guavacoord.Place, err error) bool {
	var failure *guavasend.Error
	if !errors.As(err, &failure) {
		failure = &guavasend.Error{Sent: true, Err: err}
	}
	ended := c.run.Err() != nil
	switch {
	case ended:
		place.Release(guavaplace.Cancelled, 0)
	case !failure.Sent:
		place.Release(guavaplace.Unreachable, 0)
	case failure.Quiet:
		place.Release(guavaplace.Silent, 0)
	default:
		place.Release(guavaplace.Broken, 0)
	}
	switch {
	case errors.Is(err, errGone):
		c.vanished()
		return false
	case !failure.Sent && !ended:
		return c.notRun("unreachable")
	case !failure.Sent && c.runs == 0:
		c.refuse(fasthttp.StatusServiceUnavailable, usualAfter, "not sent in time")
		return false
	case ended:
		c.fail(fasthttp.StatusGatewayTimeout, "no answer in time", causeNone)
		return false
	}
	return c.ran(err.Error())
}

// notRun decides about another server for a request that has not run.
func (c *call) notRun(reason string) bool {
	c.avoid = append(c.avoid, c.server)
	c.tries++
	if c.tries < placeTries && c.run.Err() == nil {
		c.log("try again", "cause", reason, "server", c.server)
		return true
	}
	if c.runs > 0 {
		c.fail(fasthttp.StatusBadGateway, reason, causeNone)
	} else {
		c.refuse(fasthttp.StatusServiceUnavailable, usualAfter, reason)
	}
	return false
}

// ran decides about another server for a request that may have run.
func (c *call) ran(reason string) bool {
	c.runs++
	c.avoid = append(c.avoid, c.server)
	if c.route.Repeatable() && c.runs < c.route.Attempts && c.run.Err() == nil {
		c.log("repeat", "cause", reason, "server", c.server, "runs", c.runs)
		return true
	}
	c.fail(fasthttp.StatusBadGateway, causeServer, reason)
	return false
}

// refuse answers that the request has not run.
func (c *call) refuse(status int, after time.Duration, reason string) {
	c.gate.Counters.Refused.Add(1)
	c.gate.Admission.Return(c.token)
	c.ctx.SetStatusCode(status)
	c.gate.Wire.Retry(&c.ctx.Response.Header, after)
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
	c.gate.Counters.Vanished.Add(1)
	c.ctx.SetConnectionClose()
	c.log("caller left")
	c.ended(Left, causeNone)
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

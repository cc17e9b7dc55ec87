package guavagate

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavasend"
	"guavaridge/io/guavatransport"
)

const (
	// lateShare and returningShare are the parts of its time for which a request may wait for a place in vain. What comes back
	// gets no further try here, but more than half of its time is left for its caller to do without.
	lateShare      = 0.3
	returningShare = 0.4
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
	// usualAfter is when to come back where no better time is known.
	usualAfter = 250 * time.Millisecond
)

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
		g.Counters.Retried.Add(1)
	}
}

// try gets a place and sends the request. Again is true when it may go to another server.
func (c *call) try() (streaming, again bool) {
	place, err := c.acquire()
	if err != nil {
		c.noPlace(err)
		return false, false
	}
	x, err := c.send(place, c.request.LastEventID)
	if err != nil {
		return false, c.sendFailed(place, err)
	}
	answer := c.gate.Protocol.DecodeResponse(&x.Response.Header)
	place.Started(answer.Load)
	c.gate.Metrics.FirstByte(time.Since(c.arrived).Seconds())
	c.gate.Metrics.FirstByteDeviation((time.Since(c.arrived) - c.waited - place.Expected).Seconds())
	switch {
	case answer.Misdirected:
		x.Close()
		place.Release(guavaplace.Misdirected, 0)
		return false, c.notRun("misdirected")
	case answer.NotExecuted:
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
func (c *call) acquire() (*guavacoord.Reservation, error) {
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

// silent is the time without a byte of an answer after which a server counts as silent.
func (c *call) silent() time.Duration {
	return max(time.Duration(silentTargets*float64(c.route.Target)), leastSilent)
}

// send sends the request to the place's server and reads the head of the answer.
func (c *call) send(place *guavacoord.Reservation, received int) (*guavasend.Exchange, error) {
	q := &fasthttp.Request{}
	c.message.CopyTo(q)
	guavatransport.StripHop(&q.Header) // before headers are set that it might name
	c.gate.Protocol.Prepare(&q.Header, ForwardInfo{
		Server: place.Server, Account: c.account, Timeout: time.Until(c.deadline), LastEventID: received,
	})
	r := guavasend.Request{
		Address: place.Address, ID: c.request.ID, IDHeader: c.gate.Protocol.IDHeader(), Message: q, MaxIdle: idleOnce,
	}
	// A request that may run once waits for its answer as long as its caller does; its silence is only reported.
	report := time.AfterFunc(c.silent(), func() { place.Release(guavaplace.TimedOut, 0) })
	defer report.Stop()
	if c.route.Repeatable() {
		r.MaxIdle, r.HeaderTimeout, r.Repeatable = idleMore, c.silent(), true
	}
	return c.gate.Sender.Send(c.run, r) //nolint:wrapcheck // sendFailed takes it apart
}

// sendFailed decides what follows a failed exchange, and returns whether to try another server.
func (c *call) sendFailed(place *guavacoord.Reservation, err error) bool {
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
	case failure.TimedOut:
		place.Release(guavaplace.TimedOut, 0)
	default:
		place.Release(guavaplace.ConnectionLost, 0)
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

package guavagate

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaroster"
	"guavaridge/core/guavasilence"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavasend"
)

const (
	// maxWaitShare and retryMaxWaitShare are the fractions of its remaining time that a request may wait for a
	// reservation. A retry waits longer, since it gets no further attempt here, but leaves its caller more than half of
	// the time for an alternative.
	maxWaitShare      = 0.3
	retryMaxWaitShare = 0.4
	// nonRepeatableMaxIdle bounds the idle time of a reused connection for a request that must not be repeated.
	nonRepeatableMaxIdle = 400 * time.Millisecond
	// repeatableMaxIdle bounds the idle time of a reused connection for other requests.
	repeatableMaxIdle = 2 * time.Second
	// maxUnexecuted bounds the number of attempts of a request that are not executed.
	maxUnexecuted = 4
	// defaultRetryAfter is the Retry-After time if no better one is known.
	defaultRetryAfter = 250 * time.Millisecond
)

// limitAndDispatch applies the rate limit of the account and runs the request. It returns whether the response is
// streamed.
func (c *call) limitAndDispatch() bool {
	g := c.gate
	if a := c.config.Accounts[c.account]; a.Rate > 0 {
		token, ok, after := g.Admission.Token(c.runCtx, c.account)
		if !ok {
			g.Counters.Limited.Add(1)
			c.refuse(fasthttp.StatusTooManyRequests, after, "rate")
			return false
		}
		g.Counters.Tokens.Add(1)
		c.token = token
	}
	c.service = c.route.Service(c.request.ID)
	c.message.SetBodyRaw(c.body)
	c.fingerprintSum = c.fingerprint().Sum()
	for {
		streaming, retry := c.attempt()
		if !retry {
			return streaming
		}
		g.Counters.Retried.Add(1)
	}
}

// attempt acquires a reservation and sends the request. It returns whether the response is streamed, and whether to
// retry on another server.
func (c *call) attempt() (streaming, retry bool) {
	reservation, err := c.nextReservation(c.isRetry)
	if err != nil {
		c.failAcquire(err)
		return false, false
	}
	x, reservation, err := c.sendHedged(reservation)
	if err != nil {
		return false, c.handleSendError(reservation, err)
	}
	info := c.gate.Protocol.DecodeResponse(&x.Response.Header)
	reservation.Started(info.Load, info.Leaving)
	c.gate.Metrics.FirstByte(time.Since(c.arrived).Seconds())
	c.gate.Metrics.FirstByteDeviation((time.Since(c.arrived) - c.waited - reservation.Expected).Seconds())
	retryRefused := c.retryUnexecuted
	if x.Resent {
		retryRefused = c.retryPossiblyExecuted // a refusal does not say that the request was not executed when it was sent before
	}
	switch {
	case info.Misdirected:
		x.Close()
		reservation.Release(c.request.MisdirectedOutcome(), 0)
		return false, retryRefused("misdirected")
	case info.NotExecuted:
		x.Close()
		reservation.Release(guavaplace.Shed, 0)
		if info.Leaving && !x.Resent {
			c.unexecuted-- // not counted: the coordinator no longer grants the server, so each is tried once at most
		}
		return false, retryRefused("shed")
	case c.isStream(x.Response.StatusCode()):
		return c.relayStream(x, reservation)
	}
	return false, c.relayBuffered(x, reservation)
}

// nextReservation returns the reservation for the next attempt. See acquire for patient.
func (c *call) nextReservation(patient bool) (*guavacoord.Reservation, error) {
	reservation := c.replacement
	c.replacement = nil
	// A slow caller may have kept a stream from its replacement for some time.
	if reservation != nil && c.gate.Status(c.service, reservation.Incarnation()) != guavaroster.Usable {
		reservation.Release(guavaplace.Cancelled, 0)
		reservation = nil
	}
	if reservation == nil {
		begin := time.Now()
		var err error
		reservation, err = c.acquire(c.runCtx, c.avoid, patient)
		c.waited = time.Since(c.arrived)
		c.gate.Metrics.Wait(time.Since(begin).Seconds())
		if err != nil {
			return nil, err
		}
	}
	c.server = reservation.Server
	return reservation, nil
}

// acquire waits for a reservation on a server that this VM itself knows to be usable, since the coordinator may be
// partitioned from the store. A patient request waits in overload: it is a retry, or its caller can't be told to retry.
func (c *call) acquire(ctx context.Context, avoid []string, patient bool) (*guavacoord.Reservation, error) {
	g := c.gate
	r := guavaplace.Request{
		Class: guavaplace.Online, Priority: c.config.Priority(c.route, c.account), Returning: patient, Repeat: c.executions > 0,
		Tokens: c.request.Tokens, Work: float64(c.request.Output), Affinity: c.request.Affinity,
		Content: c.fingerprintSum, Parts: guavapoison.PartTraits(c.request.Parts),
	}
	if c.request.Hint > 0 {
		r.Work = float64(c.request.Hint)
	}
	for unusable := 0; ; {
		now := time.Now()
		remaining := c.deadline.Sub(now)
		share := maxWaitShare
		if patient || r.Repeat {
			share = retryMaxWaitShare
		}
		r.Start = c.route.Target - now.Sub(c.arrived)
		r.Patience = time.Duration(share * float64(remaining))
		r.Avoid = avoid
		reservation, err := g.Admission.Acquire(ctx, c.service, r)
		if err != nil {
			return nil, fmt.Errorf("acquire a reservation on %s: %w", c.service, err)
		}
		status := g.Status(c.service, reservation.Incarnation())
		if status == guavaroster.Usable {
			return reservation, nil
		}
		reservation.Release(guavaplace.Cancelled, 0)
		avoid = append(slices.Clip(avoid), reservation.Server)
		if status == guavaroster.Leaving {
			continue // not counted: many servers may leave at once, and each is granted to the request once at most
		}
		if unusable++; unusable >= maxUnexecuted {
			return nil, &guavacoord.RefusalError{After: defaultRetryAfter, Reason: "servers unknown here"}
		}
	}
}

// fingerprint identifies the request by its account, method, host, URI and body.
func (c *call) fingerprint() guavapoison.Fingerprint {
	h := &c.message.Header
	name := fmt.Sprintf("%s %s %s%s", c.account, h.Method(), c.request.Host, h.RequestURI())
	return guavapoison.NewFingerprint(name, c.message.Body())
}

// send sends the request to the server of the reservation and reads the status and headers of the response, which are
// the given phase.
func (c *call) send(
	ctx context.Context, reservation *guavacoord.Reservation, lastEventID int, p guavasilence.Phase,
) (*guavasend.Exchange, error) {
	r := c.outgoing(reservation, lastEventID)
	// The coordinator learns of a silent server also if the request waits for it until its deadline.
	report := time.AfterFunc(guavasilence.ResponseTimeout(c.route), reservation.Silent)
	defer report.Stop()
	// The exchange ends with this context; its end releases the context of the attempt, that of the call at the latest.
	ctx, interrupt := context.WithCancelCause(ctx)
	c.interrupt = interrupt
	watch := c.watchSilence(p, interrupt)
	x, err := c.gate.Sender.Send(ctx, r)
	if interrupted := watch.stop(); interrupted && err == nil {
		x.Close()
		return nil, &guavasend.Error{Sent: true, Err: errSilent}
	}
	return x, err //nolint:wrapcheck // handleSendError unwraps it
}

// outgoing returns the request as it is sent to the server of a reservation.
func (c *call) outgoing(reservation *guavacoord.Reservation, lastEventID int) guavasend.Request {
	c.outgoingMu.Lock()
	defer c.outgoingMu.Unlock()
	q := &fasthttp.Request{}
	q.SetBodyRaw(c.message.Body())
	c.gate.Protocol.Prepare(&q.Header, &c.message.Header, ForwardInfo{
		Server: reservation.Server, Account: c.account, Timeout: time.Until(c.deadline), LastEventID: lastEventID,
		Fields: c.request.Fields,
	})
	r := guavasend.Request{
		Address: reservation.Address, ID: c.request.ID, IDHeader: c.gate.Protocol.IDHeader(), Message: q,
		MaxIdle: nonRepeatableMaxIdle, Repeatable: c.route.Repeatable(),
	}
	if r.Repeatable {
		r.MaxIdle = repeatableMaxIdle
	}
	return r
}

// outcome returns the outcome of an attempt that failed with err.
func (c *call) outcome(err error) guavaplace.Outcome {
	switch outcome := guavasend.Outcome(err); {
	case c.runCtx.Err() != nil, errors.Is(err, errNoRest):
		return guavaplace.Cancelled
	case outcome != guavaplace.Unreachable && errors.Is(err, errSilent):
		return guavaplace.TimedOut
	default:
		return outcome
	}
}

// handleSendError handles a failed exchange and returns whether to retry on another server.
func (c *call) handleSendError(reservation *guavacoord.Reservation, err error) bool {
	var failure *guavasend.Error
	if !errors.As(err, &failure) {
		failure = &guavasend.Error{Sent: true, Err: err}
	}
	ended := c.runCtx.Err() != nil
	reservation.Release(c.outcome(err), 0)
	switch {
	case errors.Is(err, errDisconnected):
		c.callerDisconnected()
		return false
	case !failure.Sent && !ended:
		return c.retryUnexecuted("unreachable")
	case !failure.Sent && c.executions == 0:
		c.refuse(fasthttp.StatusServiceUnavailable, defaultRetryAfter, "not sent in time")
		return false
	case ended:
		c.fail(fasthttp.StatusGatewayTimeout, "no answer in time", causeNone)
		return false
	}
	return c.retryPossiblyExecuted(err.Error())
}

// retryUnexecuted returns whether to retry a request that was not executed. Otherwise it responds with the failure.
func (c *call) retryUnexecuted(reason string) bool {
	c.avoid = append(c.avoid, c.server)
	c.unexecuted++
	if c.unexecuted < maxUnexecuted && c.runCtx.Err() == nil {
		c.log("retry on another server", "cause", reason, "server", c.server)
		return true
	}
	if c.executions > 0 {
		c.fail(fasthttp.StatusBadGateway, reason, causeNone)
	} else {
		c.refuse(fasthttp.StatusServiceUnavailable, defaultRetryAfter, reason)
	}
	return false
}

// retryPossiblyExecuted returns whether to retry a request that may have been executed. Otherwise it responds with the
// failure.
func (c *call) retryPossiblyExecuted(reason string) bool {
	c.executions++
	c.avoid = append(c.avoid, c.server)
	if c.route.Repeatable() && c.executions < c.route.Attempts && c.runCtx.Err() == nil {
		c.log("repeat", "cause", reason, "server", c.server, "runs", c.executions)
		return true
	}
	c.fail(fasthttp.StatusBadGateway, causeServer, reason)
	return false
}

// failAcquire responds to a request that got no reservation.
func (c *call) failAcquire(err error) {
	var refusal *guavacoord.RefusalError
	switch {
	case errors.Is(err, errDisconnected):
		c.callerDisconnected()
	case c.executions > 0:
		c.fail(fasthttp.StatusBadGateway, "no place for another try", causeNone)
	case errors.As(err, &refusal):
		c.refuse(fasthttp.StatusServiceUnavailable, refusal.After, refusal.Reason)
	default:
		c.refuse(fasthttp.StatusServiceUnavailable, defaultRetryAfter, "no place in time")
	}
}

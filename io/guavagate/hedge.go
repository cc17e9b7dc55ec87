package guavagate

import (
	"context"
	"errors"
	"time"

	"guavaridge/core/guavahedge"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaroster"
	"guavaridge/core/guavasilence"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavasend"
)

// errHedgeLost ends the slower of a request and its copy.
var errHedgeLost = errors.New("the other server responded first")

// hedgedSend is the result of sending a request or its copy.
type hedgedSend struct {
	exchange    *guavasend.Exchange
	reservation *guavacoord.Reservation
	err         error
}

// hedger returns the hedger of the request's route, nil if no copy of the request may be sent: exactly-once requests, those with one
// attempt left, and those that failed before get none.
func (c *call) hedger() *guavahedge.Hedger {
	g := c.gate
	if g.Hedge == nil || !c.route.Repeatable() || c.executions > 0 || c.route.Attempts < 2 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.hedgers[c.route.Name]
	if h == nil {
		p := g.Hedge(c.route.Name)
		if p.Share <= 0 {
			return nil
		}
		h = guavahedge.New(p)
		g.hedgers[c.route.Name] = h
	}
	return h
}

// sendHedged sends the request to the server of the reservation and, if that is slow and the route's limit allows it, a copy to another
// one. It returns the first response with its reservation; the other run is cancelled and counts nowhere as a failure. If both fail,
// the result is that of the first server.
func (c *call) sendHedged(first *guavacoord.Reservation) (*guavasend.Exchange, *guavacoord.Reservation, error) {
	h := c.hedger()
	if h == nil {
		x, err := c.send(c.runCtx, first, c.request.LastEventID, guavasilence.Headers)
		return x, first, err
	}
	begin := time.Now()
	delay := c.lockedHedge(h.Request)
	ctx, cancel := c.sendContext()
	done := make(chan hedgedSend, 1)
	go func() {
		x, err := c.send(ctx, first, c.request.LastEventID, guavasilence.Headers)
		done <- hedgedSend{exchange: x, reservation: first, err: err}
	}()
	var due <-chan time.Time // never, if no copy may be sent
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		due = timer.C
	}
	var r hedgedSend
	copied := false
	select {
	case r = <-done:
	case <-due:
		r, copied = c.hedge(h, first, done, cancel)
	}
	if took := time.Since(begin); r.err == nil || copied {
		c.lockedHedge(func() time.Duration {
			h.Observe(took)
			return 0
		})
	}
	return r.exchange, r.reservation, r.err
}

// sendContext returns the context of a run, which ends with that of the request at the latest.
func (c *call) sendContext() (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(c.runCtx)
}

// lockedHedge calls a method of a hedger, which other requests of the route use too.
func (c *call) lockedHedge(f func() time.Duration) time.Duration {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return f()
}

// hedge sends a copy, if the limit and the servers have room for it, and returns the first response, and whether a copy was sent.
// cancel ends the run on the first server, whose end done receives.
func (c *call) hedge(
	h *guavahedge.Hedger, first *guavacoord.Reservation, done chan hedgedSend, cancel context.CancelCauseFunc,
) (r hedgedSend, sent bool) {
	if !c.takeHedge(h) {
		c.gate.Counters.HedgesHeld.Add(1)
		return <-done, false
	}
	ctx, cancelCopy := c.sendContext()
	copied := make(chan hedgedSend, 1)
	go func() { copied <- c.sendCopy(ctx, first.Server, cancelCopy) }()
	var other hedgedSend
	copyWon := false
	select {
	case r = <-done:
		if r.err == nil {
			cancelCopy(errHedgeLost)
		}
		other = <-copied
	case other = <-copied:
		if copyWon = other.err == nil && c.isUsable(other); copyWon {
			cancel(errHedgeLost)
		}
		r = <-done
	}
	c.countHedge(h, other)
	if !copyWon && (r.err == nil || other.err != nil) {
		c.endLoser(other)
		return r, other.reservation != nil
	}
	c.endLoser(r)
	// The response of the copy is the one that later waits interrupt.
	c.interrupt, c.server = cancelCopy, other.reservation.Server
	c.gate.Counters.HedgesWon.Add(1)
	c.log("copy responded first", "first", first.Server)
	return other, true
}

// takeHedge reports whether the route's limit allows a copy now.
func (c *call) takeHedge(h *guavahedge.Hedger) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return h.Take()
}

// sendCopy sends the request to another server that has room for it at once. A copy whose server is silent too ends.
func (c *call) sendCopy(ctx context.Context, avoid string, cancel context.CancelCauseFunc) hedgedSend {
	limit := time.AfterFunc(guavasilence.ResponseTimeout(c.route), func() { cancel(errSilent) })
	defer limit.Stop()
	reservation, err := c.gate.Admission.Acquire(ctx, c.service, guavaplace.Request{
		Class: guavaplace.Online, Priority: c.config.Priority(c.route, c.account), Spare: true, Tokens: c.request.Tokens,
		Work: float64(c.request.Output), Affinity: c.request.Affinity, Content: c.fingerprintSum, Avoid: []string{avoid},
		Start: time.Until(c.deadline), Patience: time.Until(c.deadline),
	})
	if err != nil {
		return hedgedSend{err: err}
	}
	if c.gate.Status(c.service, reservation.Incarnation()) != guavaroster.Usable {
		reservation.Release(guavaplace.Cancelled, 0)
		return hedgedSend{err: &guavacoord.RefusalError{Reason: "server unknown here"}}
	}
	c.gate.Counters.Hedged.Add(1)
	x, err := c.gate.Sender.Send(ctx, c.outgoing(reservation, c.request.LastEventID))
	return hedgedSend{exchange: x, reservation: reservation, err: err}
}

// countHedge counts a copy that was sent as an attempt, and gives the others back to the limit.
func (c *call) countHedge(h *guavahedge.Hedger, other hedgedSend) {
	if other.reservation != nil {
		c.executions++
		return
	}
	c.gate.Counters.HedgesHeld.Add(1)
	c.lockedHedge(func() time.Duration {
		h.Return()
		return 0
	})
}

// isUsable reports whether a response is one to the request, and not a refusal or a failure that another server may not have.
func (c *call) isUsable(s hedgedSend) bool {
	info := c.gate.Protocol.DecodeResponse(&s.exchange.Response.Header)
	return !info.Misdirected && !info.NotExecuted && s.exchange.Response.StatusCode() < 500
}

// endLoser ends the run of the slower server. It counts as a failure only if it had failed by itself.
func (c *call) endLoser(s hedgedSend) {
	if s.exchange != nil {
		s.exchange.Close()
	}
	if s.reservation == nil {
		return
	}
	outcome := guavaplace.Cancelled
	if s.err != nil && !errors.Is(s.err, errHedgeLost) {
		outcome = c.outcome(s.err)
	}
	s.reservation.Release(outcome, 0)
}

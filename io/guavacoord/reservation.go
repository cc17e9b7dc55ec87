package guavacoord

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

// Reservation is the right to run one request on a server. It must be released.
type Reservation struct {
	// Server and Address are those of the server.
	Server  string
	Address string
	// Born is the server's start time as known to the coordinator, 0 if unknown.
	Born int64
	// Coordinator is the VM that decided, and Waited the time that the request waited there.
	Coordinator string
	Waited      time.Duration
	// Expected is the time from the decision to the first byte of the response that the coordinator expects.
	Expected time.Duration

	client      *Client
	service     string
	request     guavaplace.Request
	start       time.Time
	yield       chan struct{}
	yieldOnce   sync.Once
	releaseOnce sync.Once
	begun       atomic.Bool
	watched     bool
}

// Yield returns a channel that is closed when a batch item is preempted by an online request.
func (p *Reservation) Yield() <-chan struct{} { return p.yield }

func (p *Reservation) requestYield() { p.yieldOnce.Do(func() { close(p.yield) }) }

// Incarnation identifies the process of the server.
func (p *Reservation) Incarnation() guavatraffic.Incarnation {
	return guavatraffic.Incarnation{ID: p.Server, Address: p.Address, Born: p.Born}
}

// notice returns the leaving notice of the server, if there is one.
func (p *Reservation) notice() []guavatraffic.Incarnation {
	if i := p.Incarnation(); p.client.notices.HasNotice(i) {
		return []guavatraffic.Incarnation{i}
	}
	return nil
}

// Started reports that the first byte of the response has arrived, with the load that the server reported, if any, and
// whether it said that it is leaving.
func (p *Reservation) Started(l *guavaplace.Load, leaving bool) {
	if leaving {
		p.client.notices.RecordNotices([]guavatraffic.Incarnation{p.Incarnation()})
	}
	m := started{Service: p.service, Key: p.request.Key, Notices: p.notice()}
	if l != nil {
		m.Load, m.Known = *l, true
	}
	p.client.sendToCoordinator(p.service, m)
}

// Begun reports that the server got beyond the begin of its answer: at once if the coordinator has asked for it, else with
// Release.
func (p *Reservation) Begun() {
	if p.begun.Swap(true) {
		return
	}
	p.client.crashes.RecordSound(p.request.Parts)
	if p.watched {
		p.client.sendToCoordinator(p.service, started{Service: p.service, Key: p.request.Key, Notices: p.notice(), Begun: true})
	}
}

// Silent reports that no byte of a response has arrived in time. The request may go on.
func (p *Reservation) Silent() {
	p.client.sendToCoordinator(p.service, release{
		Service: p.service, Report: guavaplace.Report{Key: p.request.Key, Outcome: guavaplace.TimedOut}, Continues: true,
	})
}

// Release releases the reservation; later calls do nothing. Work is the number of output tokens that were generated.
func (p *Reservation) Release(o guavaplace.Outcome, work float64) {
	p.releaseOnce.Do(func() {
		c := p.client
		m := release{
			Service: p.service, Notices: p.notice(),
			Report: guavaplace.Report{Key: p.request.Key, Outcome: o, Work: work, Begun: p.begun.Load()},
		}
		c.mu.Lock()
		delete(c.active, p.request.Key)
		if o == guavaplace.ConnectionLost && !m.Report.Begun {
			c.keepLostRun(lostRun{run: guavaplace.ActiveRun{Request: p.request, Server: p.Server}, start: p.start, end: time.Now(), release: m})
		}
		c.mu.Unlock()
		c.sendToCoordinator(p.service, m)
	})
}

const (
	// lostRunTTL is how long a lost run is reported to further coordinators. It exceeds the time after which a VM notices that
	// its coordinator has failed.
	lostRunTTL = 2 * time.Second
	// maxLostRuns bounds the lost runs that are kept for further coordinators.
	maxLostRuns = 200
)

// lostRun is a run whose server broke off, which the coordinator to which it was reported may not have been able to count.
type lostRun struct {
	run        guavaplace.ActiveRun
	start, end time.Time
	release    release
}

// keepLostRun keeps a lost run for further coordinators. c.mu must be locked.
func (c *Client) keepLostRun(r lostRun) {
	c.lostRuns = slices.DeleteFunc(c.lostRuns, func(old lostRun) bool { return r.end.Sub(old.end) > lostRunTTL })
	if len(c.lostRuns) < maxLostRuns {
		c.lostRuns = append(c.lostRuns, r)
	}
}

// sendToCoordinator sends a message to the coordinator of a shard.
func (c *Client) sendToCoordinator(service string, message any) {
	c.mu.Lock()
	vm := c.coordinators[service]
	c.mu.Unlock()
	c.send(vm, message)
}

// Acquire waits for a reservation on a server of the service. It returns a *RefusalError if the request is refused or
// no coordinator decides. The key of r is set by Acquire.
func (c *Client) Acquire(ctx context.Context, service string, r guavaplace.Request) (*Reservation, error) {
	start := time.Now()
	original := r
	service = c.pickShard(service)
	if v, remaining := c.crashes.Check(start, r.Content, r.Parts); v == guavapoison.Refuse {
		return nil, &RefusalError{After: remaining, Reason: guavaplace.CrashReason}
	}
	for range maxAttempts {
		waited := time.Since(start)
		r.Start, r.Patience, r.Due = original.Start-waited, original.Patience-waited, original.Due-waited
		p, err := c.acquireOnce(ctx, service, r)
		if !errors.Is(err, errCoordinatorLost) {
			return p, err
		}
	}
	return nil, &RefusalError{After: suspectDuration, Reason: "no coordinator"}
}

// acquireOnce submits a request to the current coordinator and waits for the decision.
func (c *Client) acquireOnce(ctx context.Context, service string, r guavaplace.Request) (*Reservation, error) {
	c.awaitPeers(ctx, serviceKey(service))
	vm := c.updateCoordinator(service)
	p := &pendingRequest{service: service, vm: vm, events: make(chan event, 4)}
	c.mu.Lock()
	c.lastNumber++
	r.Key = guavaplace.Key{VM: c.self.Name, Number: c.lastNumber}
	c.pending[r.Key] = p
	c.mu.Unlock()
	c.send(vm, submit{Service: service, Request: r})
	d, yields, err := c.awaitDecision(ctx, p, r)
	if err != nil || d.Action != guavaplace.Run {
		c.mu.Lock()
		delete(c.pending, r.Key)
		c.mu.Unlock()
	}
	switch {
	case err != nil:
		c.send(vm, withdraw{Service: service, Key: r.Key})
		return nil, err
	case d.Action == guavaplace.Refuse:
		return nil, &RefusalError{After: d.After, Reason: d.Reason}
	}
	reservation := &Reservation{
		Server: d.Server, Address: d.Address, Born: d.Born, Coordinator: vm, Waited: d.Waited, Expected: d.Expected, watched: d.Watched,
		client: c, service: service, request: r, start: time.Now(), yield: make(chan struct{}),
	}
	c.mu.Lock()
	delete(c.pending, r.Key)
	c.active[r.Key] = reservation
	changed := c.coordinators[service] != vm
	c.mu.Unlock()
	select {
	case e := <-p.events: // arrived between the decision and the entry in c.active
		yields = yields || e.decision.Action == guavaplace.Yield
	default:
	}
	if yields {
		reservation.requestYield()
	}
	if changed {
		// The coordinator changed before the decision arrived; the new one does not know of the reservation. The request may
		// have reached the previous one after the message that this VM has left it.
		c.send(vm, release{Service: service, Report: guavaplace.Report{Key: r.Key, Outcome: guavaplace.Cancelled}})
		c.sendToCoordinator(service, join{Service: service, Held: []guavaplace.ActiveRun{{Request: r, Server: d.Server}}})
	}
	return reservation, nil
}

// awaitDecision waits for the decision about a request, other than Wait. It also returns whether the request has to
// yield at once, since decisions can arrive out of order.
func (c *Client) awaitDecision(
	ctx context.Context, p *pendingRequest, r guavaplace.Request,
) (d guavaplace.Decision, yields bool, err error) {
	reply := time.NewTimer(replyTimeout)
	defer reply.Stop()
	if p.vm == c.self.Name {
		reply.Stop()
	}
	for {
		select {
		case e := <-p.events:
			switch {
			case e.coordinatorLost:
				return guavaplace.Decision{}, false, errCoordinatorLost
			case e.decision.Action == guavaplace.Yield:
				yields = true
			case e.decision.Action != guavaplace.Wait:
				return e.decision, yields, nil
			case r.Class == guavaplace.Online:
				reply.Reset(max(r.Patience, 0) + decisionGrace)
			default:
				reply.Stop()
			}
		case <-reply.C:
			c.suspect(p.vm)
			return guavaplace.Decision{}, false, errCoordinatorLost
		case <-ctx.Done():
			return guavaplace.Decision{}, false, context.Cause(ctx)
		}
	}
}

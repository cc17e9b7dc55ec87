package guavacoord

import (
	"context"
	"errors"
	"sync"
	"time"

	"guavaridge/core/guavaplace"
)

// Reservation is the right to run one request on a server. It must be released.
type Reservation struct {
	// Server and Address say where the request runs.
	Server  string
	Address string
	// Coordinator is the VM that decided, and Waited the time that it took.
	Coordinator string
	Waited      time.Duration
	// Expected is the time from the decision to the first byte of the answer, as the coordinator expects it.
	Expected time.Duration

	client  *Client
	service string
	request guavaplace.Request
	began   time.Time
	yield   chan struct{}
	once    sync.Once
	release sync.Once
}

// Yield is closed when a batch item has to give its place to an online request.
func (p *Reservation) Yield() <-chan struct{} { return p.yield }

func (p *Reservation) giveUp() { p.once.Do(func() { close(p.yield) }) }

// Started says that the first byte of the answer has arrived, with the load that the server told, if any.
func (p *Reservation) Started(l *guavaplace.Load) {
	m := started{Service: p.service, Key: p.request.Key}
	if l != nil {
		m.Load, m.Known = *l, true
	}
	p.client.toCurrent(p.service, m)
}

// Release gives the place back. Work is the number of tokens of output that were made.
func (p *Reservation) Release(o guavaplace.Outcome, work float64) {
	p.release.Do(func() {
		c := p.client
		c.mu.Lock()
		delete(c.held, p.request.Key)
		c.mu.Unlock()
		c.toCurrent(p.service, release{
			Service: p.service, Report: guavaplace.Report{Key: p.request.Key, Outcome: o, Work: work},
		})
	})
}

func (c *Client) toCurrent(service string, message any) {
	c.mu.Lock()
	vm := c.current[service]
	c.mu.Unlock()
	c.send(vm, message)
}

// Acquire waits for a place on a server of the service. It returns a *RefusalError when there is none in time. The request's
// key is set here.
func (c *Client) Acquire(ctx context.Context, service string, r guavaplace.Request) (*Reservation, error) {
	begin := time.Now()
	wanted := r
	service = c.shard(service)
	if left := c.banLeft(r.Content); left > 0 {
		return nil, &RefusalError{After: left, Reason: guavaplace.CrashReason}
	}
	for range tries {
		waited := time.Since(begin)
		r.Start, r.Patience, r.Due = wanted.Start-waited, wanted.Patience-waited, wanted.Due-waited
		p, err := c.ask(ctx, service, r)
		if !errors.Is(err, errLost) {
			return p, err
		}
	}
	return nil, &RefusalError{After: suspectTime, Reason: "no coordinator"}
}

// ask submits a request to the coordinator and waits for its decision.
func (c *Client) ask(ctx context.Context, service string, r guavaplace.Request) (*Reservation, error) {
	c.settle(ctx, serviceKey(service))
	vm := c.turn(service)
	p := &pending{service: service, vm: vm, events: make(chan event, 4)}
	c.mu.Lock()
	c.number++
	r.Key = guavaplace.Key{VM: c.self.Name, Number: c.number}
	c.pending[r.Key] = p
	c.mu.Unlock()
	c.send(vm, submit{Service: service, Request: r})
	d, yields, err := c.await(ctx, p, r)
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
	place := &Reservation{
		Server: d.Server, Address: d.Address, Coordinator: vm, Waited: d.Waited, Expected: d.Expected,
		client: c, service: service, request: r, began: time.Now(), yield: make(chan struct{}),
	}
	c.mu.Lock()
	delete(c.pending, r.Key)
	c.held[r.Key] = place
	moved := c.current[service] != vm
	c.mu.Unlock()
	select {
	case e := <-p.events: // came between the decision and the entry in held
		yields = yields || e.decision.Action == guavaplace.Yield
	default:
	}
	if yields {
		place.giveUp()
	}
	if moved {
		// The coordinator changed while the decision was on its way; the new one does not know of the place.
		c.toCurrent(service, join{Service: service, Held: []guavaplace.ActiveRun{{Request: r, Server: d.Server}}})
	}
	return place, nil
}

// await returns the decision about a request, other than that it waits, and whether the place has to be given back at
// once: decisions can overtake each other.
func (c *Client) await(
	ctx context.Context, p *pending, r guavaplace.Request,
) (d guavaplace.Decision, yields bool, err error) {
	reply := time.NewTimer(replyTime)
	defer reply.Stop()
	if p.vm == c.self.Name {
		reply.Stop()
	}
	for {
		select {
		case e := <-p.events:
			switch {
			case e.lost:
				return guavaplace.Decision{}, false, errLost
			case e.decision.Action == guavaplace.Yield:
				yields = true
			case e.decision.Action != guavaplace.Wait:
				return e.decision, yields, nil
			case r.Class == guavaplace.Online:
				reply.Reset(max(r.Patience, 0) + overTime)
			default:
				reply.Stop()
			}
		case <-reply.C:
			c.suspect(p.vm)
			return guavaplace.Decision{}, false, errLost
		case <-ctx.Done():
			return guavaplace.Decision{}, false, context.Cause(ctx)
		}
	}
}

package guavadispatch

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"guavaridge/core/guavaqueue"
	"guavaridge/core/guavaroute"
)

const (
	// initialSlotsPerServer is the number of concurrent requests per backend server that the VMs of a domain together
	// start with, unless the servers have reported more slots.
	initialSlotsPerServer = 16
	// initialServiceSlotsPerServer is the same for plain services, for each VM. They report no slots, so only their 429
	// and 503 responses reduce the window.
	initialServiceSlotsPerServer = 64
	// crossDomainRatio is the ratio of the initial cross-domain window to the local one. The cross-domain window is
	// used while the local domain is full.
	crossDomainRatio = 0.25
	// minWindow is the smallest window: with it a VM still probes for capacity.
	minWindow = 4
)

// admissionQueues holds the admission queue of each model and plain service.
type admissionQueues struct {
	mu     sync.Mutex
	byName map[string]*admissionQueue
}

// admissionQueue is the admission queue of one model or service. The value of a queued item is the channel on which the
// waiting call receives nil on admission or its error.
type admissionQueue struct {
	mu    sync.Mutex
	queue *guavaqueue.Queue[chan error]
}

func (p *Pipeline) admissionQueue(c *call) *admissionQueue {
	name := guavaroute.PoolName(c.route.Service, c.route.Model)
	p.admissionQueues.mu.Lock()
	defer p.admissionQueues.mu.Unlock()
	q := p.admissionQueues.byName[name]
	if q == nil {
		wait := p.options.queueWait
		if c.Route.Service != "" {
			// The time-to-first-token target does not apply to plain services: only their deadline limits the wait.
			wait = math.MaxInt64
		}
		size := p.initialWindow(c.route)
		crossDomainWindow := guavaqueue.NewRestartingWindow(size*crossDomainRatio, minWindow)
		q = &admissionQueue{queue: guavaqueue.New[chan error](
			guavaqueue.NewWindow(size, minWindow), crossDomainWindow, p.options.queueLength, wait,
		)}
		p.admissionQueues.byName[name] = q
	}
	return q
}

// initialWindow returns this VM's share of the capacity of its domain's servers. Congestion signals adjust the window
// later.
func (p *Pipeline) initialWindow(q guavaroute.Request) float64 {
	local, total := p.router.ServerCounts(q)
	if local == 0 {
		local = total
	}
	if q.Service != "" {
		return float64(local * initialServiceSlotsPerServer)
	}
	share := 1
	if f, ok := p.snapshot().Domain(p.domain); ok && f.VMSlots > 0 {
		share = f.VMSlots
	}
	return float64(max(p.router.Slots(q), local*initialSlotsPerServer)) / float64(share)
}

// admit waits until the request may run. The caller releases the admission afterwards.
func (p *Pipeline) admit(ctx context.Context, c *call) (*admission, error) {
	local, total := p.router.ServerCounts(c.route)
	if total == 0 {
		return nil, c.newError(503, "no_server", time.Second, errNoServer)
	}
	q, serviceTime := p.admissionQueue(c), p.router.ServiceTimeP5(c.route)
	item := &guavaqueue.Item[chan error]{Account: c.Account, Weight: p.weight(c.Account), Deadline: c.Deadline, Value: make(chan error, 1)}
	q.mu.Lock()
	// Only 429 and 503 responses limit plain services, and these say nothing about the capacity of other domains.
	q.queue.AllowCrossDomain(local > 0 && total > local && c.Route.Service == "")
	decision, evicted, wait := q.queue.Offer(item, serviceTime)
	q.mu.Unlock()
	if evicted != nil {
		evicted.Value <- errEvicted
	}
	switch decision {
	case guavaqueue.Run:
		return &admission{admissionQueue: q, crossDomain: item.Away}, nil
	case guavaqueue.Full:
		return nil, c.newError(503, "queue_full", max(wait, time.Second), errQueueFull)
	case guavaqueue.Late:
		return nil, c.newError(504, "deadline", wait,
			fmt.Errorf("deadline cannot be met: predicted wait %v, minimum service time %v", wait, serviceTime))
	case guavaqueue.Queued:
	}
	p.counters.queued.Add(1)
	deadlineTimer := time.NewTimer(time.Until(c.Deadline) - serviceTime)
	defer deadlineTimer.Stop()
	var err error
	select {
	case err = <-item.Value:
		if err != nil {
			return nil, c.newError(503, "queue_full", max(wait, time.Second), err)
		}
		return &admission{admissionQueue: q, crossDomain: item.Away}, nil
	case <-deadlineTimer.C:
		err = c.newError(504, "deadline", 0, errDeadlineInQueue)
	case <-ctx.Done():
		err = p.contextError(ctx, c)
	}
	q.mu.Lock()
	removed := q.queue.Remove(item)
	q.mu.Unlock()
	if !removed && <-item.Value == nil {
		(&admission{admissionQueue: q, crossDomain: item.Away}).release()
	}
	return nil, err
}

func (p *Pipeline) weight(account string) float64 {
	if a, ok := p.snapshot().Account(account); ok {
		return a.Weight
	}
	return 1
}

// admission is the permission to run one request. It counts against the window until release.
type admission struct {
	*admissionQueue
	crossDomain bool
}

// release ends the admission and admits waiting requests.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.End(a.crossDomain)
	a.admitWaiting()
}

// observeFirstToken reports to the window whether the request met congestion, and admits waiting requests.
func (a *admission) observeFirstToken(congested bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.FirstToken(a.crossDomain, congested)
	a.admitWaiting()
}

// admitWaiting admits waiting requests as far as the window allows. The caller holds mu.
func (q *admissionQueue) admitWaiting() {
	for item := q.queue.Next(); item != nil; item = q.queue.Next() {
		item.Value <- nil
	}
}

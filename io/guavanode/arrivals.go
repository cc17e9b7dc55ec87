package guavanode

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"guavaridge/core/guavafill"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavapeer"
)

const (
	// arrivalRate bounds the announcements per second. At about 115 bytes each they take a fifth of the 10 KB/s that a VM
	// may spend on control traffic. Arrivals above the rate are combined with later ones.
	arrivalRate = 20
	// arrivalBurst is the number of announcements that may be sent at once for a burst of requests to several servers.
	arrivalBurst = 10
)

// arrivalTracker reports the online requests that this VM sends to backend servers to the VMs that send batch work to
// the same servers.
type arrivalTracker struct {
	limiters *guavafill.LimiterSet
	owner    func(server string) (guavamember.Member, bool)
	self     string
	send     func(ctx context.Context, to guavamember.Identity, arrivals []guavapeer.Arrival) error
	limiter  *rate.Limiter

	mu         sync.Mutex
	unreported map[string]uint32             // requests sent since the last exchange message, by server
	pending    map[string]*guavapeer.Arrival // not announced yet, by server
	running    map[string]int                // at the last update, by server
}

func newArrivalTracker(limiters *guavafill.LimiterSet, self string, owner func(string) (guavamember.Member, bool),
	send func(context.Context, guavamember.Identity, []guavapeer.Arrival) error,
) *arrivalTracker {
	return &arrivalTracker{
		limiters: limiters, self: self, owner: owner, send: send, limiter: rate.NewLimiter(arrivalRate, arrivalBurst),
		unreported: map[string]uint32{}, pending: map[string]*guavapeer.Arrival{}, running: map[string]int{},
	}
}

// update records the requests sent per server since the last call and those in flight now, and announces the
// differences.
func (t *arrivalTracker) update(ctx context.Context, sent, running map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, n := range sent {
		t.unreported[server] += uint32(max(0, n))
		t.running[server] += n
		t.add(server, n, 0)
	}
	for server, n := range t.running {
		if ended := n - running[server]; ended > 0 {
			t.add(server, 0, ended)
		}
	}
	t.running = running
	for len(t.pending) > 0 && t.limiter.Allow() {
		t.announce(ctx)
	}
}

// add counts requests that arrived at a server and requests that ended there.
func (t *arrivalTracker) add(server string, arrived, ended int) {
	m, ok := t.owner(server)
	if !ok {
		return // no live VM of the server's failure domain is known
	}
	if m.Name == t.self {
		t.limiters.Arrive(server, arrived)
		t.limiters.Depart(server, ended)
		return
	}
	p := t.pending[server]
	if p == nil {
		p = &guavapeer.Arrival{Server: server}
		t.pending[server] = p
	}
	p.Arrived += uint32(max(0, arrived))
	p.Ended += uint32(max(0, ended))
}

// announce sends all pending counts of one VM to it: the VM with the most arrivals.
func (t *arrivalTracker) announce(ctx context.Context) {
	owners := map[string]guavamember.Member{}
	arrived := map[string]uint32{}
	var busiest string
	for server, p := range t.pending {
		m, ok := t.owner(server)
		if !ok {
			delete(t.pending, server)
			continue
		}
		owners[server] = m
		if arrived[m.Name] += p.Arrived; busiest == "" || arrived[m.Name] > arrived[busiest] {
			busiest = m.Name
		}
	}
	var to guavamember.Identity
	var arrivals []guavapeer.Arrival
	for server, m := range owners {
		if m.Name == busiest {
			to = m.Identity
			arrivals = append(arrivals, *t.pending[server])
			delete(t.pending, server)
		}
	}
	if len(arrivals) > 0 {
		// The error is ignored: the server's next load report corrects the counts.
		go func() { _ = t.send(ctx, to, arrivals) }()
	}
}

// takeUnreported returns this VM's requests per server since its last call.
func (t *arrivalTracker) takeUnreported() map[string]uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	unreported := t.unreported
	t.unreported = map[string]uint32{}
	return unreported
}

// receive handles an announcement of another VM.
func (t *arrivalTracker) receive(_ guavamember.Identity, arrivals []guavapeer.Arrival) {
	for _, a := range arrivals {
		t.limiters.Arrive(a.Server, int(a.Arrived))
		t.limiters.Depart(a.Server, int(a.Ended))
	}
}

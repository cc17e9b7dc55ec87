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
	// may spend on control. What it holds back is sent later, together with what has come since.
	arrivalRate = 20
	// arrivalBurst lets a burst of requests to several servers be announced at once.
	arrivalBurst = 10
)

// arrivalBook tells the VMs that send batch work to backend servers of the online requests that this VM sends there.
type arrivalBook struct {
	fill    *guavafill.LimiterSet
	owner   func(server string) (guavamember.Member, bool)
	self    string
	tell    func(ctx context.Context, to guavamember.Identity, arrivals []guavapeer.Arrival) error
	limiter *rate.Limiter

	mu       sync.Mutex
	exchange map[string]uint32             // requests sent by server, for the next exchange
	pending  map[string]*guavapeer.Arrival // by server
	running  map[string]int                // at the last look, by server
}

func newArrivalBook(fill *guavafill.LimiterSet, self string, owner func(string) (guavamember.Member, bool),
	tell func(context.Context, guavamember.Identity, []guavapeer.Arrival) error,
) *arrivalBook {
	return &arrivalBook{
		fill: fill, self: self, owner: owner, tell: tell, limiter: rate.NewLimiter(arrivalRate, arrivalBurst),
		exchange: map[string]uint32{}, pending: map[string]*guavapeer.Arrival{}, running: map[string]int{},
	}
}

// look takes in the requests sent per server since the last look and those that run now.
func (b *arrivalBook) look(ctx context.Context, sent, running map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, n := range sent {
		b.exchange[server] += uint32(max(0, n))
		b.running[server] += n
		b.add(server, n, 0)
	}
	for server, n := range b.running {
		if ended := n - running[server]; ended > 0 {
			b.add(server, 0, ended)
		}
	}
	b.running = running
	for len(b.pending) > 0 && b.limiter.Allow() {
		b.announce(ctx)
	}
}

// add counts requests that arrived at a server and that ended there.
func (b *arrivalBook) add(server string, arrived, ended int) {
	m, ok := b.owner(server)
	if !ok {
		return // no VM of the server's failure domain is known to live
	}
	if m.Name == b.self {
		b.fill.Arrive(server, arrived)
		b.fill.Depart(server, ended)
		return
	}
	p := b.pending[server]
	if p == nil {
		p = &guavapeer.Arrival{Server: server}
		b.pending[server] = p
	}
	p.Arrived += uint32(max(0, arrived))
	p.Ended += uint32(max(0, ended))
}

// announce tells the VM with most arrivals of all that concerns it.
func (b *arrivalBook) announce(ctx context.Context) {
	owners := map[string]guavamember.Member{}
	arrived := map[string]uint32{}
	var most string
	for server, p := range b.pending {
		m, ok := b.owner(server)
		if !ok {
			delete(b.pending, server)
			continue
		}
		owners[server] = m
		if arrived[m.Name] += p.Arrived; most == "" || arrived[m.Name] > arrived[most] {
			most = m.Name
		}
	}
	var to guavamember.Identity
	var arrivals []guavapeer.Arrival
	for server, m := range owners {
		if m.Name == most {
			to = m.Identity
			arrivals = append(arrivals, *b.pending[server])
			delete(b.pending, server)
		}
	}
	if len(arrivals) > 0 {
		// A lost announcement is made good by the server's next load report.
		go func() { _ = b.tell(ctx, to, arrivals) }()
	}
}

// take returns this VM's requests per server since the last exchange.
func (b *arrivalBook) take() map[string]uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.exchange
	b.exchange = map[string]uint32{}
	return taken
}

// told takes in an announcement of another VM.
func (b *arrivalBook) told(_ guavamember.Identity, arrivals []guavapeer.Arrival) {
	for _, a := range arrivals {
		b.fill.Arrive(a.Server, int(a.Arrived))
		b.fill.Depart(a.Server, int(a.Ended))
	}
}

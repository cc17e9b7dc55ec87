package guavapeer

import (
	"context"
	"sync"

	"guavaridge/core/guavamember"
	"guavaridge/io/guavaschema"
)

// Announce sends the poison reports and cancelled jobs of a payload immediately, to the same VMs as Push. VMs that it
// does not reach receive them with the next exchange messages.
func (p *Peer) Announce(ctx context.Context, content Payload) {
	near, far := p.recipients()
	p.announce(ctx, content, near, far)
}

// AnnounceNear is like Announce but sends to the VMs of the local failure domain only.
func (p *Peer) AnnounceNear(ctx context.Context, content Payload) {
	near, _ := p.recipients()
	p.announce(ctx, content, near, nil)
}

// announce sends to the VMs in near, and to those in far, which forward the announcement inside their domain.
func (p *Peer) announce(ctx context.Context, content Payload, near, far []guavamember.Member) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	send := func(m guavamember.Member, forward bool) {
		client, err := p.client(m.Address)
		if err != nil {
			return
		}
		// The error is ignored: the next exchange message carries the same content.
		_, _ = client.Announce(ctx, &guavaschema.PeerAnnouncement{
			Self: identityMessage(p.self), Poison: poisonMessages(content.Poison), Cancels: content.Cancels, Spread: forward,
			Submitted: content.Submitted,
		})
	}
	for _, m := range near {
		wg.Go(func() { send(m, false) })
	}
	for _, m := range far {
		wg.Go(func() { send(m, true) })
	}
	wg.Wait()
}

// Announce handles an announcement and forwards it inside the domain if the sender requests it.
func (s *server) Announce(_ context.Context, r *guavaschema.PeerAnnouncement) (*guavaschema.PeerAnnounceReply, error) {
	content := Payload{Poison: poisonReports(r.GetPoison()), Cancels: r.GetCancels(), Submitted: r.GetSubmitted()}
	if s.p.Hooks.Receive != nil {
		s.p.Hooks.Receive(identityOf(r.GetSelf()), content)
	}
	if s.p.Hooks.ReceiveArrivals != nil && len(r.GetArrivals()) > 0 {
		arrivals := make([]Arrival, 0, len(r.GetArrivals()))
		for _, a := range r.GetArrivals() {
			arrivals = append(arrivals, Arrival{Server: a.GetServer(), Arrived: a.GetArrived(), Ended: a.GetEnded()})
		}
		s.p.Hooks.ReceiveArrivals(identityOf(r.GetSelf()), arrivals)
	}
	if r.GetSpread() {
		near, _ := s.p.recipients()
		s.p.background(func(ctx context.Context) { s.p.announce(ctx, content, near, nil) })
	}
	return &guavaschema.PeerAnnounceReply{Head: s.p.Changes.Head()}, nil
}

// Arrival counts online requests that were sent to a backend server and requests that ended there.
type Arrival struct {
	Server         string
	Arrived, Ended uint32
}

// AnnounceArrivals reports online requests to the VM that sends batch work to the same backend servers.
func (p *Peer) AnnounceArrivals(ctx context.Context, to guavamember.Identity, arrivals []Arrival) error {
	client, err := p.client(to.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	m := &guavaschema.PeerAnnouncement{Self: identityMessage(p.self)}
	for _, a := range arrivals {
		m.Arrivals = append(m.Arrivals, &guavaschema.PeerArrival{Server: a.Server, Arrived: a.Arrived, Ended: a.Ended})
	}
	_, err = client.Announce(ctx, m)
	return err
}

// FetchHead returns the configuration version of another VM.
func (p *Peer) FetchHead(ctx context.Context, to guavamember.Identity) (uint64, error) {
	client, err := p.client(to.Address)
	if err != nil {
		return 0, err
	}
	reply, err := client.Announce(ctx, &guavaschema.PeerAnnouncement{Self: identityMessage(p.self)})
	if err != nil {
		return 0, err
	}
	return reply.GetHead(), nil
}

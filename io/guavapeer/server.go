package guavapeer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavaschema"
)

// server implements the gRPC service that other VMs call.
type server struct {
	guavaschema.UnimplementedPeerServer
	p *Peer
}

// Exchange receives heartbeats from one VM. It responds to the first message, to requests for known members and to
// every message from another domain.
func (s *server) Exchange(stream grpc.BidiStreamingServer[guavaschema.PeerMessage, guavaschema.PeerMessage]) error {
	var d decoder
	e := newEncoder(s.p.self)
	for first := true; ; first = false {
		m, err := stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // the stream ended; the sender opens a new one
		}
		in, err := d.decode(m)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if !s.p.receive(stream.Context(), in) {
			return status.Error(codes.FailedPrecondition, "a later process of this VM is known")
		}
		if !first && !in.requestMembers && in.from.Domain == s.p.self.Domain {
			continue
		}
		s.p.mu.Lock()
		h := heartbeat{counter: s.p.counter, payload: s.p.payloads[in.from.Domain]}
		s.p.mu.Unlock()
		o := s.p.compose(in.from, h, true)
		o.loans = 0 // only heartbeats carry loans; responses do not
		if in.requestMembers {
			o.known = s.p.Table.KnownMembers(in.from.Domain, contactsPerDomain)
		}
		if err := stream.Send(e.encode(o)); err != nil {
			return nil //nolint:nilerr // the sender opens a new stream
		}
		s.p.messagesSent.Add(1)
	}
}

// receive handles one message. It returns false if the sender's process has been replaced by a later one.
func (p *Peer) receive(_ context.Context, in incoming) bool {
	now := time.Now()
	changes, ok := p.Table.RecordHeartbeat(in.from, in.counter, in.draining)
	p.notifyChanges(changes)
	if !ok {
		return false
	}
	p.mu.Lock()
	s := p.lastReceived[in.from.Name]
	fresh := in.from.Incarnation > s.incarnation || in.counter > s.counter
	if fresh {
		p.lastReceived[in.from.Name] = received{incarnation: in.from.Incarnation, counter: in.counter, at: now}
	}
	echoed := p.sentTimes[in.echo%sentHistory]
	p.mu.Unlock()

	p.Table.AddMembers(in.known)
	if in.from.Domain != p.self.Domain {
		p.notifyChanges(p.Table.MergeUpdates(in.from.Name, in.updates))
	} else if p.Pool != nil && fresh && echoed.counter == in.echo && in.echo != 0 {
		p.Pool.Contact(echoed.at)
		p.Pool.Lent(in.from, in.loans, echoed.at.Add(in.age))
	}
	if p.Hooks.Receive != nil && fresh {
		p.Hooks.Receive(in.from, in.payload)
	}
	if in.head > p.Changes.Head() {
		p.catchUp(in.from)
	}
	return true
}

// Take grants tokens from the pool to another VM.
func (s *server) Take(_ context.Context, r *guavaschema.PeerTakeRequest) (*guavaschema.PeerTakeReply, error) {
	if s.p.Pool == nil {
		return nil, status.Error(codes.Unimplemented, "no pool")
	}
	requests := make([]guavalimit.TokenRequest, 0, len(r.GetTakes()))
	for _, t := range r.GetTakes() {
		requests = append(requests, guavalimit.TokenRequest{
			Account: t.GetAccount(), Sequence: t.GetSequence(),
			Held: t.GetHeld(), Need: int(t.GetNeed()), Want: int(t.GetWant()), Part: t.GetPart(), Returned: t.GetReturned(),
		})
	}
	requester := guavamember.Identity{Name: r.GetTaker(), Incarnation: r.GetIncarnation()}
	reply := &guavaschema.PeerTakeReply{}
	for _, g := range s.p.Pool.Grant(guavalimit.ProcessName(requester), requests) {
		reply.Grants = append(reply.Grants, &guavaschema.PeerGrant{
			Amount: g.Amount, Wait: uint32(g.Wait.Milliseconds()), Report: g.Report, Left: g.Left, Rate: g.Rate,
		})
	}
	return reply, nil
}

// RequestTokens requests tokens from the pool of another VM.
func (p *Peer) RequestTokens(ctx context.Context, to guavamember.Identity, requests []guavalimit.TokenRequest) ([]guavalimit.Grant, error) {
	client, err := p.client(to.Address)
	if err != nil {
		return nil, err
	}
	r := &guavaschema.PeerTakeRequest{Taker: p.self.Name, Incarnation: p.self.Incarnation}
	for _, t := range requests {
		r.Takes = append(r.Takes, &guavaschema.PeerTake{
			Account: t.Account, Sequence: t.Sequence, Held: t.Held, Need: uint32(t.Need), Want: uint32(t.Want),
			Part: t.Part, Returned: t.Returned,
		})
	}
	reply, err := client.Take(ctx, r)
	if err != nil {
		return nil, err
	}
	grants := make([]guavalimit.Grant, 0, len(requests))
	for _, g := range reply.GetGrants() {
		grants = append(grants, guavalimit.Grant{
			Amount: g.GetAmount(), Wait: time.Duration(g.GetWait()) * time.Millisecond, Report: g.GetReport(),
			Left: g.GetLeft(), Rate: g.GetRate(),
		})
	}
	return grants, nil
}

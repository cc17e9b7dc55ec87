package guavapeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavaschema"
)

const (
	// pushTimeout bounds one push. A VM that misses a push fetches the versions after the next exchange message.
	pushTimeout = time.Second
	// fetchDelay is the maximum delay of a fetch, in which a push of the same versions may still arrive.
	fetchDelay = 200 * time.Millisecond
	// fetchTimeout bounds one fetch.
	fetchTimeout = 2 * time.Second
	// maxFetchVersions is the maximum number of versions in one response.
	maxFetchVersions = 100
	// maxConfigurationBytes is the maximum size of an encoded configuration; 6,900 client accounts with keys take about 2 MB.
	maxConfigurationBytes = 64 << 20
)

// Push sends changes that this VM accepted to all VMs of its domain and to two VMs of every other domain. It
// returns the names of the VMs that confirmed, once all have replied or pushTimeout has passed.
func (p *Peer) Push(ctx context.Context, changes []guavaconfig.Change) []string {
	near, far := p.recipients()
	return p.push(ctx, changes, near, far)
}

// recipients returns all VMs of the local domain, and two VMs of every other domain.
func (p *Peer) recipients() (near, far []guavamember.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.Table.Others() {
		if m.Domain == p.self.Domain {
			near = append(near, m)
		} else if slices.Contains(p.contacts[m.Domain].names, m.Name) {
			far = append(far, m)
		}
	}
	return near, far
}

// push sends changes to the VMs in near, and to those in far, which forward them inside their domain.
func (p *Peer) push(ctx context.Context, changes []guavaconfig.Change, near, far []guavamember.Member) []string {
	if len(changes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	head := changes[len(changes)-1].Version
	confirmed := make(chan string, len(near)+len(far))
	send := func(m guavamember.Member, forward bool) {
		client, err := p.client(m.Address)
		if err != nil {
			confirmed <- ""
			return
		}
		reply, err := client.Push(ctx, &guavaschema.PeerPushRequest{Changes: changeMessages(changes), Spread: forward})
		if err != nil || reply.GetHead() < head {
			confirmed <- ""
			return
		}
		confirmed <- m.Name
	}
	for _, m := range near {
		go send(m, false)
	}
	for _, m := range far {
		go send(m, true)
	}
	var names []string
	for range cap(confirmed) {
		if name := <-confirmed; name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Push applies changes and forwards new ones inside the domain if the sender requests it.
func (s *server) Push(_ context.Context, r *guavaschema.PeerPushRequest) (*guavaschema.PeerPushReply, error) {
	changes := changesOf(r.GetChanges())
	before := s.p.Changes.Head()
	if err := s.p.Changes.Accept(changes); err != nil {
		// Versions are missing before these changes; they are fetched after the next exchange message.
		return &guavaschema.PeerPushReply{Head: s.p.Changes.Head()}, nil //nolint:nilerr // see above
	}
	if head := s.p.Changes.Head(); head > before && r.GetSpread() {
		var near []guavamember.Member
		for _, m := range s.p.Table.Others() {
			if m.Domain == s.p.self.Domain {
				near = append(near, m)
			}
		}
		s.p.background(func(ctx context.Context) { s.p.push(ctx, changes, near, nil) })
	}
	return &guavaschema.PeerPushReply{Head: s.p.Changes.Head()}, nil
}

// Fetch returns the versions after a given version, or the whole configuration.
func (s *server) Fetch(_ context.Context, r *guavaschema.PeerFetchRequest) (*guavaschema.PeerFetchReply, error) {
	if r.GetWhole() {
		if s.p.Hooks.Configuration == nil {
			return nil, status.Error(codes.Unimplemented, "no configuration")
		}
		return &guavaschema.PeerFetchReply{State: s.p.Hooks.Configuration()}, nil
	}
	limit := int(r.GetLimit())
	if limit <= 0 || limit > maxFetchVersions {
		limit = maxFetchVersions
	}
	changes, ok := s.p.Changes.After(r.GetAfter(), limit)
	return &guavaschema.PeerFetchReply{Changes: changeMessages(changes), Snapshot: !ok}, nil
}

// FetchConfiguration returns the whole configuration from the first VM that replies; VMs of the local domain are
// tried first.
func (p *Peer) FetchConfiguration(ctx context.Context) ([]byte, error) {
	others := p.Table.Others()
	slices.SortStableFunc(others, func(a, b guavamember.Member) int { return p.domainRank(a) - p.domainRank(b) })
	for _, m := range others {
		if m.State == guavamember.Dead {
			continue
		}
		state, err := p.fetchConfiguration(ctx, m.Address)
		if err == nil && len(state) > 0 {
			return state, nil
		}
	}
	return nil, status.Error(codes.Unavailable, "no VM answered with a configuration")
}

// domainRank returns 0 for a VM of the local domain, else 1.
func (p *Peer) domainRank(m guavamember.Member) int {
	if m.Domain == p.self.Domain {
		return 0
	}
	return 1
}

func (p *Peer) fetchConfiguration(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Fetch(ctx, &guavaschema.PeerFetchRequest{Whole: true}, grpc.MaxCallRecvMsgSize(maxConfigurationBytes))
	if err != nil {
		return nil, err
	}
	return reply.GetState(), nil
}

// catchUp fetches the missing versions from a VM with a later version. Only one fetch runs at a time.
func (p *Peer) catchUp(from guavamember.Identity) {
	p.mu.Lock()
	fetching := p.fetching
	p.fetching = true
	p.mu.Unlock()
	if fetching {
		return
	}
	p.background(func(ctx context.Context) {
		select {
		case <-time.After(rand.N(fetchDelay)):
		case <-ctx.Done():
		}
		if err := p.fetch(ctx, from); err != nil && ctx.Err() == nil {
			p.Log.Warn("configuration fetch failed", "vm", from.Name, "error", err)
		}
		p.mu.Lock()
		p.fetching = false
		p.mu.Unlock()
	})
}

// background runs a function on a separate goroutine; its context ends when Run returns.
func (p *Peer) background(f func(context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spawn != nil {
		p.spawn(f)
	}
}

func (p *Peer) fetch(ctx context.Context, from guavamember.Identity) error {
	client, err := p.client(from.Address)
	if err != nil {
		return err
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		after := p.Changes.Head()
		reply, err := client.Fetch(callCtx, &guavaschema.PeerFetchRequest{After: after, Limit: maxFetchVersions})
		cancel()
		if err != nil {
			return err
		}
		if reply.GetSnapshot() {
			if p.Hooks.ReloadConfiguration != nil {
				p.Hooks.ReloadConfiguration()
			}
			return nil
		}
		if len(reply.GetChanges()) == 0 {
			return nil
		}
		if err := p.Changes.Accept(changesOf(reply.GetChanges())); err != nil {
			return err
		}
		if p.Changes.Head() <= after {
			return nil
		}
	}
}

// client returns the client for an address, on the connection of the exchange or else on a new one.
func (p *Peer) client(address string) (guavaschema.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		if p.spawn == nil {
			return nil, status.Error(codes.Unavailable, "not running")
		}
		l = p.newLink(address)
		p.links[address] = l
		p.spawn(l.run)
	}
	l.lastUsed = time.Now()
	if l.client == nil {
		return nil, status.Error(codes.Unavailable, "no connection")
	}
	return l.client, nil
}

func changeMessages(changes []guavaconfig.Change) []*guavaschema.PeerChange {
	ms := make([]*guavaschema.PeerChange, 0, len(changes))
	for _, c := range changes {
		ms = append(ms, &guavaschema.PeerChange{Version: c.Version, Data: c.Data})
	}
	return ms
}

func changesOf(ms []*guavaschema.PeerChange) []guavaconfig.Change {
	changes := make([]guavaconfig.Change, 0, len(ms))
	for _, m := range ms {
		changes = append(changes, guavaconfig.Change{Version: m.GetVersion(), Data: m.GetData()})
	}
	return changes
}

// Package guavapeer implements the protocol between VMs: the periodic exchange of heartbeats, the distribution of
// configuration, and requests for rate-limit tokens.
package guavapeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaschema"
)

// Periods of the exchange.
const (
	tickPeriod = 100 * time.Millisecond
	// contactPeriod is the mean time for which a VM of another domain stays a contact. A shorter period spreads updates
	// no faster and costs a new connection and a full list of the domain's VMs each time.
	contactPeriod     = 5 * time.Minute
	contactsPerDomain = 2
	// contactTimeout is how long an unresponsive VM stays a contact. Replacing it every round opened connections
	// faster than they were closed when a fleet of 341 VMs started on a busy machine.
	contactTimeout = 5 * time.Second
	// membersRequestPeriod is the time between requests for another VM's known members, which discover VMs and domains
	// that this VM does not know. For startupPeriod after the start, a request is sent every round.
	membersRequestPeriod = time.Minute
	startupPeriod        = 20 * time.Second
	// listPeriod is the mean time between reads of the platform's list.
	listPeriod = 10 * time.Second
	// sentHistory is the number of sent messages whose send time is kept, to be matched with echoes.
	sentHistory = 16
)

// Deps are the dependencies of a Peer. Machines, Pool and Hooks may be empty.
type Deps struct {
	Table    *guavamember.Table
	Changes  guavaconfig.ChangeLog
	Pool     Pool
	Hooks    Hooks
	Machines guavaplatform.Machines
	Log      hclog.Logger
	// Seeds are addresses of VMs to contact while the table does not contain them.
	Seeds []string
}

// Peer exchanges messages with the other VMs.
type Peer struct {
	Deps
	self         guavamember.Identity
	dial         []grpc.DialOption
	messagesSent atomic.Uint64

	mu    sync.Mutex
	links map[string]*link // by address
	// lastReceived is the last message received from each VM, by name; it is echoed to that VM.
	lastReceived map[string]received
	// sentTimes holds the send times of the last messages of this VM, by counter modulo sentHistory.
	sentTimes [sentHistory]sentTime
	counter   uint64
	contacts  map[string]contactSet
	// nextMembersRequest is the time of the next request for another VM's known members.
	nextMembersRequest, started time.Time
	fetching                    bool
	// payloads holds the payloads of the current round, by receiving domain.
	payloads map[string]Payload
	// spawn starts a goroutine that Run waits for; nil while Run is not running.
	spawn func(func(context.Context))
}

type received struct {
	incarnation, counter uint64
	at                   time.Time
}

type sentTime struct {
	counter uint64
	at      time.Time
}

type contactSet struct {
	names     []string
	replaceAt time.Time
	// changedAt is when names last changed.
	changedAt time.Time
}

// Option changes a default of a Peer.
type Option func(*Peer)

// WithDialOptions adds gRPC options for outgoing connections, for example credentials of mutual TLS.
func WithDialOptions(opts ...grpc.DialOption) Option {
	return func(p *Peer) { p.dial = append(p.dial, opts...) }
}

// New returns the Peer of the VM that owns the table.
func New(d Deps, opts ...Option) *Peer {
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	self := d.Table.Self()
	p := &Peer{
		Deps:         d,
		self:         self,
		dial:         append([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, dialOptions()...),
		links:        map[string]*link{},
		lastReceived: map[string]received{},
		contacts:     map[string]contactSet{},
		// The counter starts at the time in ms, so that a restarted process does not reuse counters and cannot mistake an
		// echo of its predecessor's message for one of its own.
		counter: self.Incarnation / uint64(time.Millisecond),
		started: time.Now(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Sent returns the number of exchange messages sent since the start, including responses.
func (p *Peer) Sent() uint64 { return p.messagesSent.Load() }

// Register adds the peer service to a gRPC server made with ServerOptions.
func (p *Peer) Register(s grpc.ServiceRegistrar) {
	guavaschema.RegisterPeerServer(s, &server{p: p})
}

// Run exchanges messages until ctx ends.
func (p *Peer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	p.mu.Lock()
	p.spawn = func(f func(context.Context)) { g.Go(func() error { f(ctx); return nil }) }
	p.mu.Unlock()
	g.Go(func() error { p.tick(ctx); return nil })
	g.Go(func() error { p.pollPlatformList(ctx); return nil })
	g.Go(func() error {
		t := time.NewTicker(guavamember.ExchangePeriod)
		defer t.Stop()
		for {
			p.round()
			select {
			case <-ctx.Done():
				p.mu.Lock()
				p.spawn = nil
				p.mu.Unlock()
				return nil
			case <-t.C:
			}
		}
	})
	return g.Wait()
}

func (p *Peer) tick(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.notifyChanges(p.Table.Tick())
		}
	}
}

// pollPlatformList periodically merges the platform's list of VMs into the table. If the platform is unreachable, the
// table stays unchanged.
func (p *Peer) pollPlatformList(ctx context.Context) {
	if p.Machines == nil {
		return
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, listPeriod)
		machines, err := p.Machines.Machines(callCtx)
		cancel()
		if err == nil {
			list := make([]guavamember.Listing, 0, len(machines))
			for _, m := range machines {
				list = append(list, guavamember.Listing(m))
			}
			p.notifyChanges(p.Table.MergePlatformList(list))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listPeriod/2 + rand.N(listPeriod)):
		}
	}
}

func (p *Peer) notifyChanges(changes []guavamember.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		p.Log.Info("VM changed state", "vm", c.Member.Name, "domain", c.Member.Domain, "from", c.From, "to", c.Member.State)
	}
	if p.Hooks.Changed != nil {
		p.Hooks.Changed(changes)
	}
}

// round sends one message to every VM of the local domain, to the contacts in the other domains and to the seeds
// that the table does not contain.
func (p *Peer) round() {
	if p.Pool != nil {
		p.Pool.Round()
	}
	targets := p.targets()
	payloads := map[string]Payload{}
	if p.Hooks.BuildPayload != nil {
		for _, domain := range targets {
			if _, ok := payloads[domain]; !ok && domain != "" {
				payloads[domain] = p.Hooks.BuildPayload(domain)
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counter++
	p.payloads = payloads
	now := time.Now()
	p.sentTimes[p.counter%sentHistory] = sentTime{counter: p.counter, at: now}
	for address, domain := range targets {
		l, ok := p.links[address]
		if !ok {
			l = p.newLink(address)
			p.links[address] = l
			p.spawn(l.run)
		}
		l.lastUsed = now
		requestMembers := now.After(p.nextMembersRequest)
		if requestMembers {
			// Map iteration order is random, so that each request goes to another VM.
			p.nextMembersRequest = now.Add(membersRequestPeriod)
			if now.Sub(p.started) < startupPeriod {
				p.nextMembersRequest = now.Add(guavamember.ExchangePeriod)
			}
		}
		l.post(heartbeat{counter: p.counter, payload: payloads[domain], requestMembers: requestMembers})
	}
	for address, l := range p.links {
		if now.Sub(l.lastUsed) > linkIdle {
			delete(p.links, address)
			l.stop()
		}
	}
}

// targets maps the addresses to send to, to their domains. The domain of a seed is empty until it is known.
func (p *Peer) targets() map[string]string {
	targets := map[string]string{}
	domains := map[string][]guavamember.Member{}
	for _, m := range p.Table.Others() {
		if m.Domain == p.self.Domain {
			targets[m.Address] = m.Domain
		} else {
			domains[m.Domain] = append(domains[m.Domain], m)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for domain, members := range domains {
		for _, m := range p.chooseContacts(domain, members) {
			targets[m.Address] = domain
		}
	}
	for _, s := range p.Seeds {
		if _, ok := p.Table.ByAddress(s); !ok && s != p.self.Address {
			targets[s] = ""
		}
	}
	return targets
}

// chooseContacts keeps the contacts in a domain while they are alive and replaces one of them after contactPeriod.
// In a domain without live VMs it chooses others every contactTimeout, so that VMs reconnect after a partition.
func (p *Peer) chooseContacts(domain string, members []guavamember.Member) []guavamember.Member {
	set := p.contacts[domain]
	if set.replaceAt.IsZero() {
		set.replaceAt = time.Now().Add(contactPeriod/2 + rand.N(contactPeriod))
	} else if time.Now().After(set.replaceAt) && len(set.names) > 0 {
		i := rand.IntN(len(set.names))
		set.names = slices.Delete(slices.Clone(set.names), i, i+1)
		set.replaceAt = time.Now().Add(contactPeriod/2 + rand.N(contactPeriod))
	}
	var kept, live, tried, rest []guavamember.Member
	for _, m := range members {
		switch {
		case m.State == guavamember.Alive && slices.Contains(set.names, m.Name):
			kept = append(kept, m)
		case m.State == guavamember.Alive:
			live = append(live, m)
		case slices.Contains(set.names, m.Name) && time.Since(set.changedAt) < contactTimeout:
			tried = append(tried, m)
		default:
			rest = append(rest, m)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	chosen := slices.Concat(kept, live, tried, rest)
	chosen = chosen[:min(len(chosen), contactsPerDomain)]
	names := make([]string, 0, len(chosen))
	for _, m := range chosen {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	if !slices.Equal(names, set.names) {
		set.names, set.changedAt = names, time.Now()
	}
	p.contacts[domain] = set
	return chosen
}

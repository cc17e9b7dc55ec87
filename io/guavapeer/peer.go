// Package guavapeer carries the messages between VMs.
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
	judgePeriod = 100 * time.Millisecond
	// contactPeriod is how long a VM of another domain stays a contact. A shorter period spreads news no faster
	// but costs a new connection and a full list of the domain's VMs each time.
	contactPeriod = 5 * time.Minute
	contacts      = 2
	// contactTry is how long a VM that does not answer stays a contact. Trying others every round opened connections
	// faster than they were closed when a fleet of 341 VMs started on a busy machine.
	contactTry = 5 * time.Second
	// askPeriod is the time between questions for all known VMs, which bring up VMs and domains that this VM has not
	// heard of. They are asked every round for startPeriod.
	askPeriod   = time.Minute
	startPeriod = 20 * time.Second
	// listPeriod is the mean time between reads of the platform's list.
	listPeriod = 10 * time.Second
	// history is the number of own messages whose time of sending is remembered for echoes.
	history = 16
)

// Deps are the dependencies of a Peer. Machines, Pool and Hooks may be empty.
type Deps struct {
	Table    *guavamember.Table
	Changes  guavaconfig.ChangeLog
	Pool     Pool
	Hooks    Hooks
	Machines guavaplatform.Machines
	Log      hclog.Logger
	// Seeds are addresses of VMs to contact while the table does not show them.
	Seeds []string
}

// Peer exchanges messages with the other VMs.
type Peer struct {
	Deps
	self     guavamember.Identity
	dial     []grpc.DialOption
	messages atomic.Uint64

	mu    sync.Mutex
	links map[string]*link // by address
	// seen is the last message of each VM, by name, for echoes.
	seen map[string]sight
	// sent holds the times of the last own messages, by counter.
	sent     [history]stamp
	counter  uint64
	contacts map[string]contactSet
	// askAll is the time of the next question for all known VMs.
	askAll, started time.Time
	fetching        bool
	// payloads are those of the current round, by receiving domain.
	payloads map[string]Payload
	// spawn runs a function until Run returns; nil while not running.
	spawn func(func(context.Context))
}

type sight struct {
	incarnation, counter uint64
	at                   time.Time
}

type stamp struct {
	counter uint64
	at      time.Time
}

type contactSet struct {
	names []string
	until time.Time
	// chosen is when names last changed.
	chosen time.Time
}

// Option changes a default of a Peer.
type Option func(*Peer)

// WithDialOptions adds gRPC options for outgoing connections, for example credentials of mutual TLS.
func WithDialOptions(opts ...grpc.DialOption) Option {
	return func(p *Peer) { p.dial = append(p.dial, opts...) }
}

// New returns a peer of the VM whose identity the table holds.
func New(d Deps, opts ...Option) *Peer {
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	self := d.Table.Self()
	p := &Peer{
		Deps:     d,
		self:     self,
		dial:     append([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, dialOptions()...),
		links:    map[string]*link{},
		seen:     map[string]sight{},
		contacts: map[string]contactSet{},
		// A counter that starts at the time in ms is never reused by a later process of the VM, so an echo of
		// an earlier process is never taken for an own one.
		counter: self.Incarnation / uint64(time.Millisecond),
		started: time.Now(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Sent returns the number of exchange messages sent since the start, answers included.
func (p *Peer) Sent() uint64 { return p.messages.Load() }

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
	g.Go(func() error { p.judge(ctx); return nil })
	g.Go(func() error { p.list(ctx); return nil })
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

func (p *Peer) judge(ctx context.Context) {
	t := time.NewTicker(judgePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.changed(p.Table.Tick())
		}
	}
}

// list merges the platform's list into the table. An unreachable platform leaves the table as it is.
func (p *Peer) list(ctx context.Context) {
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
			p.changed(p.Table.MergePlatformList(list))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listPeriod/2 + rand.N(listPeriod)):
		}
	}
}

func (p *Peer) changed(changes []guavamember.Change) {
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

// round sends one message to every VM of the own domain, to the contacts in the other domains and to the seeds
// that the table does not show.
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
	p.sent[p.counter%history] = stamp{counter: p.counter, at: now}
	for address, domain := range targets {
		l, ok := p.links[address]
		if !ok {
			l = p.newLink(address)
			p.links[address] = l
			p.spawn(l.run)
		}
		l.used = now
		all := now.After(p.askAll)
		if all {
			// The targets come in random order, so that knowledge spreads through all VMs.
			p.askAll = now.Add(askPeriod)
			if now.Sub(p.started) < startPeriod {
				p.askAll = now.Add(guavamember.ExchangePeriod)
			}
		}
		l.post(beat{counter: p.counter, payload: payloads[domain], all: all})
	}
	for address, l := range p.links {
		if now.Sub(l.used) > linkIdle {
			delete(p.links, address)
			l.stop()
		}
	}
}

// targets returns the addresses to send to, with the domain where it is known.
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
// In a domain without live VMs it tries others every contactTry, so that a partition heals.
func (p *Peer) chooseContacts(domain string, members []guavamember.Member) []guavamember.Member {
	set := p.contacts[domain]
	if set.until.IsZero() {
		set.until = time.Now().Add(contactPeriod/2 + rand.N(contactPeriod))
	} else if time.Now().After(set.until) && len(set.names) > 0 {
		i := rand.IntN(len(set.names))
		set.names = slices.Delete(slices.Clone(set.names), i, i+1)
		set.until = time.Now().Add(contactPeriod/2 + rand.N(contactPeriod))
	}
	var kept, live, tried, rest []guavamember.Member
	for _, m := range members {
		switch {
		case m.State == guavamember.Alive && slices.Contains(set.names, m.Name):
			kept = append(kept, m)
		case m.State == guavamember.Alive:
			live = append(live, m)
		case slices.Contains(set.names, m.Name) && time.Since(set.chosen) < contactTry:
			tried = append(tried, m)
		default:
			rest = append(rest, m)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	chosen := slices.Concat(kept, live, tried, rest)
	chosen = chosen[:min(len(chosen), contacts)]
	names := make([]string, 0, len(chosen))
	for _, m := range chosen {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	if !slices.Equal(names, set.names) {
		set.names, set.chosen = names, time.Now()
	}
	p.contacts[domain] = set
	return chosen
}

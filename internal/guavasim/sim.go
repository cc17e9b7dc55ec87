// Package guavasim runs the rate limiters of a fleet on a simulated network with faults. It is for tests only and runs
// in a testing/synctest bubble.
package guavasim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavapeer"
)

// Node is one VM of a simulation: the production limiter, membership table and slots on a simulated network.
type Node struct {
	s            *Sim
	ID           guavamember.Identity
	table        *guavamember.Table
	fleet        *guavalimit.FleetLimiter
	slots        *guavapeer.Slots
	ctx          context.Context // ends with the process
	cancel       context.CancelFunc
	mu           sync.Mutex
	resumed      chan struct{} // not nil while paused
	counter      uint64
	sent         map[uint64]time.Time
	heartbeats   map[string]heartbeat
	nextSlotStep time.Time // time of the next step of the slots
}

type heartbeat struct {
	incarnation, counter uint64
	at                   time.Time
}

// Sim is a fleet on a simulated network with faults. rnd is its only source of random numbers.
type Sim struct {
	ctx      context.Context
	wg       sync.WaitGroup
	platform *Platform
	snapshot *guavaconfig.Snapshot

	mu            sync.Mutex
	rnd           *rand.Rand
	nodes         []*Node // running, including paused ones
	partitioned   func(a, b *Node) bool
	messageLoss   float64
	delay         time.Duration // mean one-way delay
	Far           time.Duration // mean one-way delay between regions, if greater than delay
	Quick         bool          // heartbeats between domains arrive at once and without messages
	lateShare     float64       // share of messages that are up to 3 s late
	ended         bool          // messages are no longer delivered; VMs may send some after ctx has ended
	spent         map[string][]time.Time
	tokenRequests int
	requests      int
}

// New returns a fleet without VMs that runs until ctx ends.
func New(ctx context.Context, seed uint64, snapshot *guavaconfig.Snapshot) *Sim {
	return &Sim{
		ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 1)), snapshot: snapshot, delay: time.Millisecond,
		partitioned: func(_, _ *Node) bool { return false },
		spent:       map[string][]time.Time{},
		platform:    NewPlatform(seed),
	}
}

// RandFloat64 returns a random number in [0, 1).
func (s *Sim) RandFloat64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64()
}

// Start starts a VM.
func (s *Sim) Start(name, domain string) {
	n := &Node{
		s: s, ID: guavamember.Identity{Name: name, Domain: domain, Region: region(domain), Address: name + ":1", Incarnation: uint64(time.Now().UnixNano())},
		sent: map[uint64]time.Time{}, heartbeats: map[string]heartbeat{},
	}
	n.counter = n.ID.Incarnation / uint64(time.Millisecond)
	n.table = guavamember.NewTable(n.ID)
	n.fleet = guavalimit.NewFleetLimiter(n.table, n.send)
	n.fleet.SetPlan(guavalimit.NewPlan(s.snapshot, domain))
	n.slots = guavapeer.NewSlots(n.table, s.platform, n.fleet, nil)
	ctx, cancel := context.WithCancel(s.ctx)
	n.ctx, n.cancel = ctx, cancel
	s.mu.Lock()
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	s.platform.mu.Lock()
	delete(s.platform.endedAt, name)
	s.platform.mu.Unlock()
	offset := time.Duration(s.RandFloat64() * float64(time.Second))
	s.wg.Go(func() {
		time.Sleep(offset)
		for ctx.Err() == nil {
			n.wait()
			if ctx.Err() == nil {
				n.round(ctx)
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	})
	s.wg.Go(func() {
		for ctx.Err() == nil {
			n.wait()
			n.table.Tick()
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
}

// wait blocks while the VM is paused.
func (n *Node) wait() {
	n.mu.Lock()
	r := n.resumed
	n.mu.Unlock()
	if r != nil {
		<-r
	}
}

// Pause suspends the VM's process for a duration.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		return
	}
	r := make(chan struct{})
	n.resumed = r
	n.s.wg.Go(func() {
		select {
		case <-time.After(d):
		case <-n.s.ctx.Done():
		}
		n.mu.Lock()
		n.resumed = nil
		n.mu.Unlock()
		close(r)
	})
}

// Kill ends the process at once. The platform's list shows the VM until its lag has passed.
func (s *Sim) Kill(n *Node) {
	s.mu.Lock()
	for i := range s.nodes {
		if s.nodes[i] == n {
			s.nodes = append(s.nodes[:i:i], s.nodes[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	n.cancel()
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	s.platform.endedAt[n.ID.Name] = time.Now()
}

// Running returns the running VMs, including paused ones.
func (s *Sim) Running() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Node(nil), s.nodes...)
}

// round sends a VM's messages of one exchange period.
func (n *Node) round(ctx context.Context) {
	n.fleet.Round()
	n.mu.Lock()
	n.counter++
	counter := n.counter
	n.sent[counter] = time.Now()
	delete(n.sent, counter-16)
	n.mu.Unlock()
	for _, to := range n.s.Running() {
		if to == n {
			continue
		}
		if to.ID.Domain != n.ID.Domain && n.s.Quick {
			to.table.RecordHeartbeat(n.ID, counter, false)
			continue
		}
		n.mu.Lock()
		seen := n.heartbeats[to.ID.Name]
		n.mu.Unlock()
		age := time.Since(seen.at)
		var mask uint64
		if to.ID.Domain == n.ID.Domain && seen.counter != 0 && age < 1500*time.Millisecond {
			peer, _ := n.table.Member(to.ID.Name)
			mask = n.fleet.Offer(peer.Identity)
		}
		n.s.deliver(n, to, func() { to.receive(n.ID, counter, seen.counter, age, mask) })
	}
	if time.Now().After(n.nextSlotStep) {
		n.nextSlotStep = time.Now().Add(time.Duration((3 + 7*n.s.RandFloat64()) * float64(time.Second)))
		n.merge()
		_ = n.slots.Step(ctx)
	}
}

// merge merges the platform's list into the VM's membership table.
func (n *Node) merge() {
	p := n.s.platform
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	var list []guavamember.Listing
	for name, at := range p.endedAt {
		if time.Since(at) < p.listLag {
			list = append(list, guavamember.Listing{Name: name, Address: name + ":1", Domain: name[:1]})
		}
	}
	p.mu.Unlock()
	for _, o := range n.s.Running() {
		list = append(list, guavamember.Listing{Name: o.ID.Name, Address: o.ID.Address, Domain: o.ID.Domain})
	}
	n.table.MergePlatformList(list)
}

// deliver calls f after the message's delay, unless the message is lost.
func (s *Sim) deliver(from, to *Node, f func()) {
	s.mu.Lock()
	lost := s.partitioned(from, to) || s.rnd.Float64() < s.messageLoss
	mean := s.delay
	if from.ID.Region != to.ID.Region {
		mean = max(mean, s.Far)
	}
	d := mean/2 + time.Duration(s.rnd.ExpFloat64()*float64(mean/2))
	if s.rnd.Float64() < s.lateShare {
		d = time.Duration(s.rnd.Float64() * float64(3*time.Second))
	}
	defer s.mu.Unlock()
	if lost || s.ended {
		return
	}
	s.wg.Go(func() {
		time.Sleep(d)
		if to.wait(); to.ctx.Err() == nil { // a process killed while paused receives nothing
			f()
		}
	})
}

func (n *Node) receive(from guavamember.Identity, counter, echo uint64, age time.Duration, mask uint64) {
	if _, ok := n.table.RecordHeartbeat(from, counter, false); !ok {
		return
	}
	n.mu.Lock()
	s := n.heartbeats[from.Name]
	fresh := from.Incarnation > s.incarnation || counter > s.counter
	if fresh {
		n.heartbeats[from.Name] = heartbeat{incarnation: from.Incarnation, counter: counter, at: time.Now()}
	}
	at, ok := n.sent[echo]
	n.mu.Unlock()
	if ok && fresh && from.Domain == n.ID.Domain {
		n.fleet.Contact(at)
		n.fleet.Lent(from, mask, at.Add(age.Truncate(time.Millisecond)))
	}
}

// send sends token requests from one VM to another. A paused requester gets the response after its pause.
func (n *Node) send(ctx context.Context, to guavamember.Identity, takes []guavalimit.TokenRequest) ([]guavalimit.Grant, error) {
	n.s.mu.Lock()
	n.s.tokenRequests++
	n.s.mu.Unlock()
	var target *Node
	for _, o := range n.s.Running() {
		if o.ID == to {
			target = o
		}
	}
	if target == nil {
		return nil, errors.New("refused")
	}
	reply := make(chan []guavalimit.Grant, 1)
	n.s.deliver(n, target, func() {
		grants := target.fleet.Grant(guavalimit.ProcessName(n.ID), takes)
		n.s.deliver(target, n, func() { reply <- grants })
	})
	select {
	case g := <-reply:
		return g, nil
	case <-ctx.Done():
		n.wait()
		select {
		case g := <-reply: // arrived during the pause
			return g, nil
		default:
			return nil, ctx.Err()
		}
	}
}

// Request requests one token at a VM, waits for it at most maxWait, and records when it was granted.
func (s *Sim) Request(n *Node, account string, maxWait time.Duration) {
	s.wg.Go(func() {
		n.wait()
		ctx, cancel := context.WithTimeout(n.ctx, maxWait)
		defer cancel()
		if n.ctx.Err() != nil {
			return // killed while paused
		}
		ok, _ := n.fleet.Take(ctx, account)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ctx.Err() != nil {
			return
		}
		s.requests++
		if ok {
			s.spent[account] = append(s.spent[account], time.Now())
		}
	})
}

// Overrun returns the largest number of requests by which an account exceeded rate × time + burst in any window, and
// the time of that window's end after the account's first request.
func (s *Sim) Overrun(a guavaconfig.ClientAccount) (worst float64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spent := s.spent[a.Name]
	sort.Slice(spent, func(i, j int) bool { return spent[i].Before(spent[j]) })
	tokens := a.Burst
	for i, t := range spent {
		if i > 0 {
			tokens = min(a.Burst, tokens+a.Rate*t.Sub(spent[i-1]).Seconds())
		}
		tokens--
		if -tokens > worst {
			worst, at = -tokens, t.Sub(spent[0])
		}
	}
	return worst, at
}

// region returns the region of a domain. Domains a to d, e to h and i to k form one region each.
func region(domain string) string { return fmt.Sprint("r", (domain[0]-'a')/4) }

// Partition drops the messages between pairs of VMs for which separated is true.
func (s *Sim) Partition(separated func(a, b *Node) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = separated
}

// SetMessageFaults sets the share of messages that are lost, the share that are up to 3 s late, and the mean delay.
func (s *Sim) SetMessageFaults(loss, late float64, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messageLoss, s.lateShare, s.delay = loss, late, delay
}

// Platform returns the simulated platform.
func (s *Sim) Platform() *Platform { return s.platform }

// Counts returns the number of finished requests of all accounts, of requests of one account that got a token, and of
// token requests between VMs.
func (s *Sim) Counts(account string) (requests, admitted, takes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, len(s.spent[account]), s.tokenRequests
}

// Go runs f in a goroutine that Wait waits for.
func (s *Sim) Go(f func()) { s.wg.Go(f) }

// Wait ends all VMs and waits for their goroutines. It is called after ctx has ended.
func (s *Sim) Wait() {
	for _, n := range s.Running() {
		n.cancel()
	}
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.wg.Wait()
	time.Sleep(time.Second) // token requests in flight end by their timeout
}

// Declare returns a configuration with domains a, b, … that have a number of slots each.
func Declare(domains, slots int, accounts ...guavaconfig.ClientAccount) *guavaconfig.Snapshot {
	d := guavaconfig.Declarations{Accounts: accounts}
	for i := range domains {
		d.Domains = append(d.Domains, guavaconfig.FailureDomain{Name: string(rune('a' + i)), Region: region(string(rune('a' + i))), VMSlots: slots})
	}
	return guavaconfig.NewSnapshot(1, d)
}

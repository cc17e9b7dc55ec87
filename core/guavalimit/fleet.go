package guavalimit

import (
	"context"
	"strconv"
	"sync"
	"time"

	"guavaridge/core/guavamember"
)

// Sender sends takes to the pool of another VM.
type Sender func(ctx context.Context, to guavamember.Identity, takes []TokenRequest) ([]Grant, error)

// askTimeout ends a take whose tokens would have expired.
const askTimeout = TokenLifetime

// returnAfter is the time without requests after which tokens are given back: half of what they can be spent for.
const returnAfter = TokenLifetime / 2

// lostWait is the wait after a take without an answer.
const lostWait = 100 * time.Millisecond

// sweepRounds is the number of rounds between sweeps.
const sweepRounds = 10

// FleetLimiter limits the accounts' rates over all VMs. It joins the VM's slice, its pool and its tokens. It is safe for
// concurrent use.
type FleetLimiter struct {
	table *guavamember.Table
	self  string
	send  Sender

	mu     sync.Mutex
	plan   Plan
	slice  *Slice
	pool   *Pool
	taker  *Requester
	queues map[string]*queue
	// returning are the accounts whose tokens are about to be given back.
	returning map[string]bool
	rounds    int
	// pools holds the pooling VM of each group by domain, valid for the table's version.
	pools   map[string]*[Groups]guavamember.Identity
	poolsOf uint64
	stats   Stats
}

// queue is the set of requests that wait for a token of one account.
type queue struct {
	waiting int
	changed chan struct{} // closed when tokens may have arrived
}

// Stats counts what a Fleet did since its start.
type Stats struct {
	// Asked counts takes sent to other VMs; Own the tokens spent from the own slice.
	Asked, Own uint64
}

var _ Limiter = (*FleetLimiter)(nil)

// NewFleetLimiter returns the limiter of the VM whose identity the table holds. It admits nothing until Adopt was called.
func NewFleetLimiter(table *guavamember.Table, send Sender) *FleetLimiter {
	return &FleetLimiter{
		table: table, self: ProcessName(table.Self()), send: send,
		slice: NewSlice(), pool: NewPool(Plan{}), taker: NewRequester(), queues: map[string]*queue{}, returning: map[string]bool{},
		pools: map[string]*[Groups]guavamember.Identity{},
	}
}

// SetPlan puts a new plan in force.
func (f *FleetLimiter) SetPlan(p Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = p
	f.pool.SetPlan(p)
}

// Slots returns the number of slots that the own domain declares.
func (f *FleetLimiter) Slots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.Slots()
}

// Hold gives the VM a slot that the table records for this process by a claim sent at a time.
func (f *FleetLimiter) Hold(number int, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.AssignSlot(number, sent)
}

// Drop ends the use of the slot.
func (f *FleetLimiter) Drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.ReleaseSlot()
}

// Confirm records that the table showed the slot as held by this process at a time.
func (f *FleetLimiter) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.Confirm(at)
}

// Contact records that a VM of the own domain received a message sent at a time.
func (f *FleetLimiter) Contact(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.Contact(sent)
}

// Stats returns the counters.
func (f *FleetLimiter) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Round renews the loans of the own slice to the own pool.
func (f *FleetLimiter) Round() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool.UpdateLoans(f.self, f.offer(f.table.Self()), time.Now())
	if f.rounds++; f.rounds%sweepRounds == 0 {
		f.pool.Sweep()
		f.taker.Sweep()
	}
}

// Offer returns the groups that are lent to a VM of the own domain by a message composed now.
func (f *FleetLimiter) Offer(to guavamember.Identity) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offer(to)
}

func (f *FleetLimiter) offer(to guavamember.Identity) uint64 {
	pools := f.poolsIn(to.Domain)
	name := ProcessName(to)
	var mask uint64
	for g := range Groups {
		if pools[g].Name == to.Name && pools[g].Incarnation == to.Incarnation && f.slice.Lend(g, name, f.plan.Slots()) {
			mask |= 1 << g
		}
	}
	return mask
}

// Lent takes in the groups that a VM of the own domain lends by a message sent no earlier than sent.
func (f *FleetLimiter) Lent(from guavamember.Identity, mask uint64, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool.UpdateLoans(ProcessName(from), mask, sent)
}

// Grant serves takes of a process from the pool.
func (f *FleetLimiter) Grant(taker string, takes []TokenRequest) []Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	grants := make([]Grant, 0, len(takes))
	for _, t := range takes {
		grants = append(grants, f.pool.Grant(taker, t))
	}
	return grants
}

// poolsIn returns the pooling VMs of a domain in this VM's view, by rendezvous hash over its live VMs.
func (f *FleetLimiter) poolsIn(domain string) *[Groups]guavamember.Identity {
	if v := f.table.Version(); v != f.poolsOf {
		clear(f.pools)
		f.poolsOf = v
	}
	pools, ok := f.pools[domain]
	if !ok {
		pools = new([Groups]guavamember.Identity)
		alive := f.table.Alive(domain)
		for g := range pools {
			m, _ := guavamember.Rendezvous("limit/"+strconv.Itoa(g), alive)
			pools[g] = m.Identity
		}
		f.pools[domain] = pools
	}
	return pools
}

// sources returns the pools of an account, nearest first.
func (f *FleetLimiter) sources(account string) (names []string, ids []guavamember.Identity) {
	g := Group(account)
	for _, domain := range f.plan.Domains(account) {
		if id := f.poolsIn(domain)[g]; id.Name != "" {
			names = append(names, ProcessName(id))
			ids = append(ids, id)
		}
	}
	return names, ids
}

// Take takes one token of an account. It waits for one until ctx ends.
func (f *FleetLimiter) Take(ctx context.Context, account string) (ok bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share, known := f.plan.Share(account)
	if !known {
		return false, emptyWait
	}
	q, queued := f.queues[account]
	if !queued {
		q = &queue{changed: make(chan struct{})}
		f.queues[account] = q
	}
	q.waiting++
	defer func() {
		if q.waiting--; q.waiting == 0 {
			delete(f.queues, account)
			f.returnLater(account)
		}
	}()
	for {
		if f.taker.Spend(account) {
			f.reportSpent(account)
			return true, 0
		}
		if f.slice.Take(account, share, f.plan.Slots()) {
			f.stats.Own++
			return true, 0
		}
		names, ids := f.sources(account)
		if f.ask(account, q, names, ids) {
			continue
		}
		retry, quiet := f.taker.RetryAfter(account, names)
		if !quiet {
			retry = askTimeout
		}
		changed := q.changed
		f.mu.Unlock()
		timer := time.NewTimer(max(retry, time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		f.mu.Lock()
		if ctx.Err() != nil {
			if f.taker.Spend(account) {
				f.reportSpent(account)
				return true, 0
			}
			return false, max(retry, shortestWait)
		}
	}
}

// ask sends the next take of an account. It reports whether tokens may have arrived at once, from the own pool.
func (f *FleetLimiter) ask(account string, q *queue, names []string, ids []guavamember.Identity) bool {
	from, take, ok := f.taker.NextRequest(account, q.waiting, names)
	if !ok {
		return false
	}
	if from == f.self {
		f.taker.HandleGrant(from, take, time.Now(), f.pool.Grant(f.self, take))
		return true
	}
	for i, name := range names {
		if name == from {
			f.dispatch(ids[i], from, take)
		}
	}
	return false
}

// reportSpent tells pools that asked for it that tokens are spent.
func (f *FleetLimiter) reportSpent(account string) {
	if !f.taker.NeedsReport(account) {
		return
	}
	f.tell(account, f.taker.ReportSpent)
}

// tell sends the takes without need that next returns for the sources of an account. f.mu is held.
func (f *FleetLimiter) tell(account string, next func(account, from string) (TokenRequest, bool)) {
	names, ids := f.sources(account)
	for i, from := range names {
		take, ok := next(account, from)
		switch {
		case !ok:
		case from == f.self:
			f.taker.HandleGrant(from, take, time.Now(), f.pool.Grant(f.self, take))
		default:
			f.dispatch(ids[i], from, take)
		}
	}
}

// returnLater gives back what an account holds when nothing has waited for it for a while. Tokens that expire here would be
// lost to the account, whose requests may arrive at other VMs by then. f.mu is held.
func (f *FleetLimiter) returnLater(account string) {
	if f.returning[account] || !f.taker.HasTokens(account) {
		return
	}
	f.returning[account] = true
	time.AfterFunc(returnAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.returning, account)
		if _, waits := f.queues[account]; !waits {
			f.tell(account, f.taker.ReturnUnused)
		}
	})
}

// dispatch sends a take to another VM without waiting for the answer.
func (f *FleetLimiter) dispatch(to guavamember.Identity, from string, take TokenRequest) {
	f.stats.Asked++
	sent := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		grants, err := f.send(ctx, to, []TokenRequest{take})
		g := Grant{Wait: lostWait}
		if err == nil && len(grants) == 1 {
			g = grants[0]
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.taker.HandleGrant(from, take, sent, g)
		q, waits := f.queues[take.Account]
		if !waits {
			f.returnLater(take.Account)
			return
		}
		close(q.changed)
		q.changed = make(chan struct{})
	}()
}

package guavalimit

import (
	"context"
	"strconv"
	"sync"
	"time"

	"guavaridge/core/guavamember"
)

// Sender sends token requests to the pool of another VM.
type Sender func(ctx context.Context, to guavamember.Identity, requests []TokenRequest) ([]Grant, error)

// requestTimeout bounds a token request. Tokens granted later would have expired.
const requestTimeout = TokenLifetime

// returnDelay is the time without client requests after which tokens are returned: half of their lifetime.
const returnDelay = TokenLifetime / 2

// lostResponseWait is the wait after a token request without a response.
const lostResponseWait = 100 * time.Millisecond

// sweepRounds is the number of calls of Round between sweeps.
const sweepRounds = 10

// FleetLimiter limits the accounts' rates over all VMs. It combines the VM's slice, pool and requester. It is safe for
// concurrent use.
type FleetLimiter struct {
	table *guavamember.Table
	self  string
	send  Sender

	mu        sync.Mutex
	plan      Plan
	slice     *Slice
	pool      *Pool
	requester *Requester
	queues    map[string]*queue
	// returning is the set of accounts whose tokens are about to be returned.
	returning map[string]bool
	rounds    int
	// pools holds the VM that runs the pool of each group, by domain. It is valid for poolsVersion of the table.
	pools        map[string]*[Groups]guavamember.Identity
	poolsVersion uint64
	stats        Stats
}

// queue is the set of client requests that wait for a token of one account.
type queue struct {
	waiting int
	changed chan struct{} // closed when tokens may have arrived
}

// Stats holds the counters of a FleetLimiter.
type Stats struct {
	// Asked counts token requests sent to other VMs, and Own the tokens taken from the local slice.
	Asked, Own uint64
}

var _ Limiter = (*FleetLimiter)(nil)

// NewFleetLimiter returns the limiter of the VM whose identity the table holds. It admits nothing before SetPlan.
func NewFleetLimiter(table *guavamember.Table, send Sender) *FleetLimiter {
	return &FleetLimiter{
		table: table, self: ProcessName(table.Self()), send: send,
		slice: NewSlice(), pool: NewPool(Plan{}), requester: NewRequester(), queues: map[string]*queue{}, returning: map[string]bool{},
		pools: map[string]*[Groups]guavamember.Identity{},
	}
}

// SetPlan replaces the plan.
func (f *FleetLimiter) SetPlan(p Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = p
	f.pool.SetPlan(p)
}

// Slots returns the number of slots that the local failure domain declares.
func (f *FleetLimiter) Slots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan.Slots()
}

// Hold assigns the VM a slot that the table records for this process; sent is when the claim was sent.
func (f *FleetLimiter) Hold(number int, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.AssignSlot(number, sent)
}

// Drop releases the slot.
func (f *FleetLimiter) Drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.ReleaseSlot()
}

// Confirm records that the table showed this process as the owner of the slot at a time.
func (f *FleetLimiter) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slice.Confirm(at)
}

// Contact records that another VM of the local failure domain received a message that this VM sent at a time.
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

// Round renews the loans of the local slice to the local pool. It is called once a second.
func (f *FleetLimiter) Round() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool.UpdateLoans(f.self, f.offer(f.table.Self()), time.Now())
	if f.rounds++; f.rounds%sweepRounds == 0 {
		f.pool.Sweep()
		f.requester.Sweep()
	}
}

// Offer lends groups to the pools of a VM of the local failure domain and returns them as a bit mask for a message sent
// now.
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

// Lent records the groups that a VM of the local failure domain lends by a message sent no earlier than sent.
func (f *FleetLimiter) Lent(from guavamember.Identity, mask uint64, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool.UpdateLoans(ProcessName(from), mask, sent)
}

// Grant serves token requests of a process from the pool.
func (f *FleetLimiter) Grant(requester string, requests []TokenRequest) []Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	grants := make([]Grant, 0, len(requests))
	for _, r := range requests {
		grants = append(grants, f.pool.Grant(requester, r))
	}
	return grants
}

// poolsIn returns the VMs that run a domain's pools in this VM's view, by rendezvous hash over the live VMs.
func (f *FleetLimiter) poolsIn(domain string) *[Groups]guavamember.Identity {
	if v := f.table.Version(); v != f.poolsVersion {
		clear(f.pools)
		f.poolsVersion = v
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
		return false, noLoanWait
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
			f.scheduleReturn(account)
		}
	}()
	for {
		if f.requester.Spend(account) {
			f.reportSpent(account)
			return true, 0
		}
		if f.slice.Take(account, share, f.plan.Slots()) {
			f.stats.Own++
			return true, 0
		}
		names, ids := f.sources(account)
		if f.requestTokens(account, q, names, ids) {
			continue
		}
		retry, idle := f.requester.RetryAfter(account, names)
		if !idle {
			retry = requestTimeout
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
			if f.requester.Spend(account) {
				f.reportSpent(account)
				return true, 0
			}
			return false, max(retry, minWait)
		}
	}
}

// requestTokens sends the next token request of an account. It returns true if the local pool served it, so that tokens
// may be available now.
func (f *FleetLimiter) requestTokens(account string, q *queue, names []string, ids []guavamember.Identity) bool {
	from, request, ok := f.requester.NextRequest(account, q.waiting, names)
	if !ok {
		return false
	}
	if from == f.self {
		f.requester.HandleGrant(from, request, time.Now(), f.pool.Grant(f.self, request))
		return true
	}
	for i, name := range names {
		if name == from {
			f.dispatch(ids[i], from, request)
		}
	}
	return false
}

// reportSpent reports spent tokens to the pools that requested it.
func (f *FleetLimiter) reportSpent(account string) {
	if !f.requester.NeedsReport(account) {
		return
	}
	f.sendToPools(account, f.requester.ReportSpent)
}

// sendToPools sends the requests that next returns for the sources of an account. f.mu is held.
func (f *FleetLimiter) sendToPools(account string, next func(account, from string) (TokenRequest, bool)) {
	names, ids := f.sources(account)
	for i, from := range names {
		request, ok := next(account, from)
		switch {
		case !ok:
		case from == f.self:
			f.requester.HandleGrant(from, request, time.Now(), f.pool.Grant(f.self, request))
		default:
			f.dispatch(ids[i], from, request)
		}
	}
}

// scheduleReturn returns the tokens of an account if no client request waits for them after returnDelay. Tokens that
// expire here would be lost to the account, whose requests may arrive at other VMs by then. f.mu is held.
func (f *FleetLimiter) scheduleReturn(account string) {
	if f.returning[account] || !f.requester.HasTokens(account) {
		return
	}
	f.returning[account] = true
	time.AfterFunc(returnDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.returning, account)
		if _, waiting := f.queues[account]; !waiting {
			f.sendToPools(account, f.requester.ReturnUnused)
		}
	})
}

// dispatch sends a token request to another VM without waiting for the response.
func (f *FleetLimiter) dispatch(to guavamember.Identity, from string, request TokenRequest) {
	f.stats.Asked++
	sent := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		grants, err := f.send(ctx, to, []TokenRequest{request})
		g := Grant{Wait: lostResponseWait}
		if err == nil && len(grants) == 1 {
			g = grants[0]
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.requester.HandleGrant(from, request, sent, g)
		q, waiting := f.queues[request.Account]
		if !waiting {
			f.scheduleReturn(request.Account)
			return
		}
		close(q.changed)
		q.changed = make(chan struct{})
	}()
}

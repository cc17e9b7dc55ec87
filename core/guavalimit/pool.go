package guavalimit

import (
	"math"
	"time"
)

// Pool combines the slices that VMs of one domain lend to this process. It has one token bucket per active account,
// whose rate and capacity are the sums over the lent slices.
type Pool struct {
	plan   Plan
	groups [Groups]poolGroup
}

type poolGroup struct {
	loans   map[string]*poolLoan // by lending process
	buckets map[string]*poolBucket
}

// poolLoan is a slice lent to the pool. It counts towards rate and capacity from since to expires. Tokens are granted
// only within the capacity of loans that have not reached grantsUntil.
type poolLoan struct {
	since, grantsUntil, expires time.Time
}

// Wait times in grants.
const (
	minWait = 5 * time.Millisecond
	maxWait = 3 * time.Second
	// noLoanWait is the wait for a pool without loans, which may receive some with the next exchange of messages.
	noLoanWait = 500 * time.Millisecond
)

// NewPool returns an empty pool.
func NewPool(plan Plan) *Pool {
	p := &Pool{plan: plan}
	for g := range p.groups {
		p.groups[g] = poolGroup{loans: map[string]*poolLoan{}, buckets: map[string]*poolBucket{}}
	}
	return p
}

// SetPlan replaces the plan. Buckets are refilled by the old plan up to now.
func (p *Pool) SetPlan(plan Plan) {
	for g := range p.groups {
		p.advanceGroup(&p.groups[g])
	}
	p.plan = plan
}

// UpdateLoans sets the groups that a process lends, bit i of mask standing for group i. The process sent the message
// no earlier than sent.
func (p *Pool) UpdateLoans(from string, mask uint64, sent time.Time) {
	now := time.Now()
	grantsUntil, expires := sent.Add(grantDuration), sent.Add(LoanDuration)
	for i := range p.groups {
		g := &p.groups[i]
		l, known := g.loans[from]
		if known && !now.Before(l.expires) {
			p.advanceGroup(g)
			known = false
		}
		switch lent := mask>>i&1 == 1; {
		case lent && known:
			// The earlier loan has not expired yet, so the lender has not used the slice in between.
			if grantsUntil.After(l.grantsUntil) {
				l.grantsUntil, l.expires = grantsUntil, expires
			}
		case lent && now.Before(grantsUntil):
			p.advanceGroup(g)
			g.loans[from] = &poolLoan{since: now, grantsUntil: grantsUntil, expires: expires}
		case !lent && known:
			p.advanceGroup(g)
			delete(g.loans, from)
		}
	}
}

// advanceGroup refills all buckets of a group up to now, and removes idle buckets and expired loans. It runs before
// each change of the loans, so that a loan adds to a bucket only while it is valid.
func (p *Pool) advanceGroup(g *poolGroup) {
	now := time.Now()
	for account, b := range g.buckets {
		share, _ := p.plan.Share(account)
		b.advance(now, share, g.loans)
		if b.idle() {
			delete(g.buckets, account)
		}
	}
	for from, l := range g.loans {
		if !now.Before(l.expires) {
			delete(g.loans, from)
		}
	}
}

// Sweep deletes idle accounts and requesters.
func (p *Pool) Sweep() {
	for g := range p.groups {
		p.advanceGroup(&p.groups[g])
	}
}

// LoanCount returns the number of loans. A process that lends several groups counts once for each.
func (p *Pool) LoanCount() int {
	n := 0
	for i := range p.groups {
		n += len(p.groups[i].loans)
	}
	return n
}

// Grant serves the token request of a process.
func (p *Pool) Grant(requester string, r TokenRequest) Grant {
	share, ok := p.plan.Share(r.Account)
	if !ok {
		return Grant{Wait: noLoanWait}
	}
	now := time.Now()
	g := &p.groups[Group(r.Account)]
	b, ok := g.buckets[r.Account]
	if !ok {
		b = newPoolBucket(now, share, g.loans)
		g.buckets[r.Account] = b
	}
	b.advance(now, share, g.loans)
	if !b.report(requester, r.Sequence, r.Held, r.Returned, now) {
		return Grant{Wait: minWait}
	}
	granted := 0
	for _, l := range g.loans {
		if now.Before(l.grantsUntil) {
			granted++
		}
	}
	capacity := float64(granted) * share.Burst
	free := min(b.level, capacity-b.outstanding())
	whole := min(r.Need, int(math.Floor(free)))
	if extra := min(r.Want-r.Need, int(free)-whole, int(free)/(2*b.activeRequesters(now)+2)); extra > 0 {
		whole += extra
	}
	amount := max(float64(whole), min(r.Part, free), 0)
	b.grant(requester, amount, now)
	wait := noLoanWait
	rate := float64(granted) * share.Rate
	if rate > 0 {
		// Active requesters share the refill, so the wait grows with their number.
		wait = time.Duration((1 - min(b.level, 1)) / rate * float64(time.Second) * float64(b.activeRequesters(now)))
	}
	return Grant{
		Amount: amount,
		Wait:   min(max(wait, minWait), maxWait),
		Report: amount > 0 && 2*b.outstanding() > capacity,
		Left:   max(free-amount, 0),
		Rate:   rate,
	}
}

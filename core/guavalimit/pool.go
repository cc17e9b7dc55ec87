package guavalimit

import (
	"math"
	"time"
)

// Pool holds the slices that VMs of one domain lend to this process. It keeps one token bucket per active account,
// whose rate and capacity are the sums over the slices lent.
type Pool struct {
	plan   Plan
	groups [Groups]poolGroup
}

type poolGroup struct {
	loans   map[string]*poolLoan // by lending process
	buckets map[string]*poolBucket
}

// poolLoan is a slice lent to the pool. It counts into rate and capacity from since to lapse; tokens are granted
// only up to the capacity of loans before until.
type poolLoan struct {
	since, until, lapse time.Time
}

// Waiting times that a pool tells its takers.
const (
	shortestWait = 5 * time.Millisecond
	longestWait  = 3 * time.Second
	// emptyWait is for a pool without loans, which may get some with the next exchange.
	emptyWait = 500 * time.Millisecond
)

// NewPool returns an empty pool.
func NewPool(plan Plan) *Pool {
	p := &Pool{plan: plan}
	for g := range p.groups {
		p.groups[g] = poolGroup{loans: map[string]*poolLoan{}, buckets: map[string]*poolBucket{}}
	}
	return p
}

// SetPlan puts a new plan in force. Levels up to now follow the old plan.
func (p *Pool) SetPlan(plan Plan) {
	for g := range p.groups {
		p.settle(&p.groups[g])
	}
	p.plan = plan
}

// UpdateLoans takes in the groups that a process lends by a message that it sent no earlier than sent.
func (p *Pool) UpdateLoans(from string, mask uint64, sent time.Time) {
	now := time.Now()
	until, lapse := sent.Add(poolLength), sent.Add(LoanDuration)
	for i := range p.groups {
		g := &p.groups[i]
		l, known := g.loans[from]
		if known && !now.Before(l.lapse) {
			p.settle(g)
			known = false
		}
		switch lent := mask>>i&1 == 1; {
		case lent && known:
			// The lender has not used the slice since the earlier loan: the message arrived before that lapsed.
			if until.After(l.until) {
				l.until, l.lapse = until, lapse
			}
		case lent && now.Before(until):
			p.settle(g)
			g.loans[from] = &poolLoan{since: now, until: until, lapse: lapse}
		case !lent && known:
			p.settle(g)
			delete(g.loans, from)
		}
	}
}

// settle brings all buckets of a group up to now and removes loans that have lapsed. It runs before each change of
// the loans, so that a bucket never refills by a loan outside that loan's time.
func (p *Pool) settle(g *poolGroup) {
	now := time.Now()
	for account, b := range g.buckets {
		share, _ := p.plan.Share(account)
		b.advance(now, share, g.loans)
		if b.idle() {
			delete(g.buckets, account)
		}
	}
	for from, l := range g.loans {
		if !now.Before(l.lapse) {
			delete(g.loans, from)
		}
	}
}

// Sweep forgets idle accounts and takers.
func (p *Pool) Sweep() {
	for g := range p.groups {
		p.settle(&p.groups[g])
	}
}

// LoanCount returns the number of groups lent to the pool, counted once per lender.
func (p *Pool) LoanCount() int {
	n := 0
	for i := range p.groups {
		n += len(p.groups[i].loans)
	}
	return n
}

// Grant serves a take of a process.
func (p *Pool) Grant(taker string, t TokenRequest) Grant {
	share, ok := p.plan.Share(t.Account)
	if !ok {
		return Grant{Wait: emptyWait}
	}
	now := time.Now()
	g := &p.groups[Group(t.Account)]
	b, ok := g.buckets[t.Account]
	if !ok {
		b = newPoolBucket(now, share, g.loans)
		g.buckets[t.Account] = b
	}
	b.advance(now, share, g.loans)
	if !b.report(taker, t.Sequence, t.Held, t.Returned, now) {
		return Grant{Wait: shortestWait}
	}
	granted := 0
	for _, l := range g.loans {
		if now.Before(l.until) {
			granted++
		}
	}
	capacity := float64(granted) * share.Burst
	free := min(b.level, capacity-b.outstanding())
	whole := min(t.Need, int(math.Floor(free)))
	if extra := min(t.Want-t.Need, int(free)-whole, int(free)/(2*b.takers(now)+2)); extra > 0 {
		whole += extra
	}
	amount := max(float64(whole), min(t.Part, free), 0)
	b.grant(taker, amount, now)
	wait := emptyWait
	rate := float64(granted) * share.Rate
	if rate > 0 {
		// Takers that compete for the refill share it, so each is told to wait for its turn.
		wait = time.Duration((1 - min(b.level, 1)) / rate * float64(time.Second) * float64(b.takers(now)))
	}
	return Grant{
		Amount: amount,
		Wait:   min(max(wait, shortestWait), longestWait),
		Report: amount > 0 && 2*b.outstanding() > capacity,
		Left:   max(free-amount, 0),
		Rate:   rate,
	}
}

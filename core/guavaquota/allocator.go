// Package guavaquota keeps each client account within its rate and burst over all VMs.
//
// Each group of accounts is owned by one VM, which holds a token bucket per account and grants tokens to the VMs in
// small batches. In a network partition each part of the fleet has its own owner. Every owner refills only the share of
// the VMs that request tokens from it, so that all parts together stay within the rate.
package guavaquota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"guavaridge/core/guavatraffic"
)

const (
	// Groups is the number of account groups that may have different owners. It bounds the number of connections that a
	// VM keeps to owners.
	Groups = 4
	// overageFraction and slackFraction are the fractions of the tolerance that owners always use, so that tokens that
	// expire unused at one VM are not missing at another. The rest covers the moments in which two owners overlap.
	overageFraction = 0.5
	slackFraction   = 0.4
	// windowOverageFraction is the fraction of the overage that the tokens of a window may use. Below it, an account that uses up its
	// burst at once would be refused within its rate.
	windowOverageFraction = 0.7
	// A new owner doesn't know how many tokens the previous owner granted. It starts with the refill of
	// initialRefillTime and initialSlackFraction of the tolerance's slack. Together with the fractions above, this
	// stays within the tolerance when the owner changes twice in a window of 5 s for accounts of up to some 30
	// requests/s, and once for any account.
	initialRefillTime    = 250 * time.Millisecond
	initialSlackFraction = 0.15
	// minimumFraction is the fraction of the slack for tokens that owners grant beyond their shares, since these are less than
	// one.
	minimumFraction = 0.4
)

// Group returns the group of an account.
func Group(account string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account)) // never fails
	return int(h.Sum32() % Groups)
}

// Tolerance is how far an account may exceed its rate and burst because requests are counted over many VMs.
type Tolerance struct {
	// Overage is a fraction of rate and burst, and Slack a number of requests.
	Overage float64
	Slack   float64
	// Window is the time over which requests are counted, 0 for DefaultWindow.
	Window time.Duration
}

// window returns the time over which owners count tokens. A token may be used for TokenLifetime after it was granted, and the
// requests of the window that operators count may have got their tokens that much earlier.
func (t Tolerance) window() time.Duration { return cmp.Or(t.Window, DefaultWindow) + TokenLifetime }

// IsFresh reports whether a VM that started at the given time can have got tokens in the last window before its start.
func (t Tolerance) IsFresh(started, now time.Time) bool { return now.Sub(started) < t.window() }

// granted returns the number of tokens of an account that the VMs may get in a window. What is left of the tolerance covers
// tokens of VMs that were lost, which no report contains.
func (t Tolerance) granted(a guavatraffic.Account) float64 {
	return (a.Rate*cmp.Or(t.Window, DefaultWindow).Seconds() + a.Burst) * (1 + windowOverageFraction*t.Overage)
}

// Demand is a VM's request for tokens of an account.
type Demand struct {
	VM string
	// Recent is the number of tokens that the VM has got lately, as TokenCache.Recent says.
	Recent int
	// Own says that the VM is the owner itself.
	Own bool
	// Fresh says that the VM has started within the window of Tolerance.IsFresh.
	Fresh bool
	// Earlier is the last total that the VM got if it was from another owner, or else the zero value.
	Earlier Total
	Want    int
}

// Allocator is the owner's side: it grants tokens to the VMs. It is not safe for concurrent use.
type Allocator struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	share     float64
	maxShare  float64 // the largest share so far
}

type bucket struct {
	account guavatraffic.Account
	limiter *rate.Limiter
	// initial is the number of tokens that the account started with when this owner took over shares of it, less those
	// already granted.
	initial float64
	reports reports
	granted windowCounter
	shared  time.Time // when another VM than the owner last requested tokens
	earlier Total     // the newest total of an earlier owner
	// lastTotal is the number of tokens of all VMs in the window before the last Take, with those that it granted.
	lastTotal int
}

// NewAllocator returns an allocator without buckets, with a share of 1.
func NewAllocator(t Tolerance) *Allocator {
	return &Allocator{tolerance: t, buckets: map[string]*bucket{}, share: 1}
}

// SetShare sets the fraction of all rates that this owner refills, at most 1. It grants nothing with a share of 0.
func (a *Allocator) SetShare(now time.Time, share float64) {
	if share == a.share {
		return
	}
	added := max(share-a.maxShare, 0) // regained shares add none, or VMs that switch back and forth would add up
	a.share, a.maxShare = share, max(a.maxShare, share)
	for _, b := range a.buckets {
		a.setLimits(now, b)
		b.initial += a.initialTokens(b.account, added)
	}
}

// initialTokens returns the tokens that an owner starts with when it takes over a share of an account.
func (a *Allocator) initialTokens(account guavatraffic.Account, share float64) float64 {
	return share * (account.Rate*initialRefillTime.Seconds() + initialSlackFraction*a.tolerance.Slack)
}

// Take returns how many of the wanted tokens the account is granted, and the time until the next token if it is granted
// none. Beside the bucket, what the VMs have got from all owners in the last window bounds the grants: a series of owners, each
// with a new bucket, would exceed the tolerance.
func (a *Allocator) Take(now time.Time, account guavatraffic.Account, d Demand) (granted int, after time.Duration) {
	if account.Rate <= 0 {
		return d.Want, 0
	}
	if a.share <= 0 {
		return 0, a.tolerance.window() / windowSlots
	}
	b := a.buckets[account.Name]
	minimum := a.minimum(now, b, d)
	if b == nil {
		limit, burst := a.limits(account)
		a.maxShare = max(a.maxShare, a.share)
		b = &bucket{account: account, limiter: rate.NewLimiter(limit, burst), initial: max(a.initialTokens(account, a.share), float64(minimum)), reports: reports{}}
		b.limiter.AllowN(now, burst)
		a.buckets[account.Name] = b
	}
	if b.account.Rate != account.Rate || b.account.Burst != account.Burst {
		b.account = account
		a.setLimits(now, b)
	}
	if !d.Own {
		b.shared = now
	}
	level := max(b.limiter.TokensAt(now), 0)
	b.initial = min(b.initial, max(float64(b.limiter.Burst())-level, 0))
	b.reports[d.VM] = report{tokens: d.Recent, at: now, fresh: d.Fresh}
	if d.Earlier.At.After(b.earlier.At) {
		b.earlier = d.Earlier
	}
	b.lastTotal = b.total(now, a.tolerance.window(), a.share)
	share := a.tolerance.granted(account) * a.share
	room := int(share) - b.lastTotal
	if minimum > 0 {
		room = int(math.Ceil(share)) - b.lastTotal
	}
	granted = min(d.Want, int(level)+int(b.initial), room)
	if granted <= 0 {
		after = time.Duration(max(1-level, 0) / float64(b.limiter.Limit()) * float64(time.Second))
		if room <= 0 {
			after = max(after, a.tolerance.window()/windowSlots)
		}
		return 0, after
	}
	b.reports[d.VM] = report{tokens: d.Recent + granted, at: now, fresh: d.Fresh}
	b.granted.add(now, a.tolerance.window(), granted)
	b.lastTotal += granted
	initial := min(granted, int(b.initial))
	b.initial -= float64(initial)
	b.limiter.AllowN(now, granted-initial)
	return granted, 0
}

// minimum returns the least number of tokens that an account starts with, 0 or 1, however small its share. Owners of which each
// grants at least one token may be as many as the slack has room for, or such that other VMs have just turned to.
func (a *Allocator) minimum(now time.Time, b *bucket, d Demand) int {
	alone := d.Own && (b == nil || now.Sub(b.shared) > a.tolerance.window())
	if alone && a.share*minimumFraction*a.tolerance.Slack < 1 {
		return 0
	}
	return 1
}

// Total returns the number of tokens of an account that all VMs have got in the window before the last Take, as far as this owner
// knows.
func (a *Allocator) Total(account string) int {
	if b := a.buckets[account]; b != nil {
		return b.lastTotal
	}
	return 0
}

// total returns the number of tokens that all VMs have got in the last window. VMs that were lost and those that have not yet
// turned to this owner report none, but an earlier owner may have counted theirs. In a partition, this owner takes over its share
// of them.
func (b *bucket) total(now time.Time, window time.Duration, share float64) int {
	earlier := int(share * float64(b.earlier.left(now, window)))
	return max(b.reports.sum(now, window), earlier+b.granted.sum(now, window))
}

// setLimits sets a bucket to this owner's share of the account's rate and burst.
func (a *Allocator) setLimits(now time.Time, b *bucket) {
	limit, burst := a.limits(b.account)
	b.limiter.SetLimitAt(now, limit)
	b.limiter.SetBurstAt(now, burst)
}

// limits returns this owner's share of the account's rate and burst, including the part of the tolerance that owners
// always use.
func (a *Allocator) limits(account guavatraffic.Account) (rate.Limit, int) {
	factor := 1 + overageFraction*a.tolerance.Overage
	burst := (max(account.Burst, 1)*factor + slackFraction*a.tolerance.Slack) * a.share
	return rate.Limit(account.Rate * factor * a.share), max(int(math.Floor(burst)), 1)
}

// TokenCache is a VM's side: the unused tokens that it was granted for one account.
type TokenCache struct {
	tokens      []time.Time // expiry times, in ascending order
	deniedUntil time.Time   // the owner has no tokens before
	demand      average
	lastUse     time.Time
	received    windowCounter
	total       Total // of the owner that replied last
}

type average struct{ value float64 }

const (
	// TokenLifetime is how long tokens can be used after the request for them was sent.
	TokenLifetime = 400 * time.Millisecond
	// prefetchTime is the time for which tokens are requested in advance.
	prefetchTime = 150 * time.Millisecond
	// demandTimeConstant is the time constant of the average of an account's recent rate at this VM.
	demandTimeConstant = time.Second
)

// Use takes a token from the cache and returns the time until which it can be used. ok is false if there is none.
func (s *TokenCache) Use(now time.Time) (until time.Time, ok bool) {
	s.recordDemand(now)
	for len(s.tokens) > 0 {
		until, s.tokens = s.tokens[0], s.tokens[1:]
		if !now.After(until) {
			return until, true
		}
	}
	return time.Time{}, false
}

// Return puts back a token whose request was not executed, so that refusals in an overload do not use up the account's
// rate. The token still expires at the same time: otherwise tokens of requests that waited for long would be used in
// addition to those granted since.
func (s *TokenCache) Return(now, until time.Time) {
	if now.After(until) {
		return
	}
	i, _ := slices.BinarySearchFunc(s.tokens, until, time.Time.Compare)
	s.tokens = slices.Insert(s.tokens, i, until)
}

// RetryAfter returns the time until the owner may have tokens again, or 0 if a request can be sent now.
func (s *TokenCache) RetryAfter(now time.Time) time.Duration { return max(s.deniedUntil.Sub(now), 0) }

// ClearDenial clears the denial of an owner after another VM has become the owner.
func (s *TokenCache) ClearDenial() { s.deniedUntil = time.Time{} }

// Total returns the total of the owner that has replied last.
func (s *TokenCache) Total() Total { return s.total }

// Recent returns the number of tokens that this VM has got in the last window, from all owners.
func (s *TokenCache) Recent(now time.Time, t Tolerance) int { return s.received.sum(now, t.window()) }

// Want returns how many tokens to request when waiting client requests need them. It adds those expected within
// prefetchTime.
func (s *TokenCache) Want(waiting int) int {
	return waiting + int(s.demand.value*prefetchTime.Seconds())
}

// Add records the owner's response to a request that was sent at requested: the tokens granted, or the time after which
// the next one is available, and the total that it states.
func (s *TokenCache) Add(requested, now time.Time, granted int, after time.Duration, total Total, t Tolerance) {
	s.total = total
	if granted > 0 {
		s.received.add(now, t.window(), granted)
		for range granted {
			s.Return(now, requested.Add(TokenLifetime))
		}
		return
	}
	s.deniedUntil = now.Add(after)
}

// recordDemand updates the average of the account's rate at this VM.
func (s *TokenCache) recordDemand(now time.Time) {
	if !s.lastUse.IsZero() {
		s.demand.value *= math.Exp(-now.Sub(s.lastUse).Seconds() / demandTimeConstant.Seconds())
	}
	s.demand.value += 1 / demandTimeConstant.Seconds()
	s.lastUse = now
}

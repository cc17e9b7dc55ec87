// Package guavaquota keeps each client account within its rate and burst over all VMs.
//
// The account's owner, one VM for each group of accounts, holds a token bucket and gives out tokens in small batches. When
// VMs cannot reach each other, each part of the fleet has an owner of its own, and every owner refills only the share of
// the VMs that it hears, so that all parts together stay within the rate.
package guavaquota

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"guavaridge/core/guavatraffic"
)

const (
	// Groups is the number of groups of accounts that may have different owners. It bounds the connections that a VM
	// keeps for this.
	Groups = 4
	// overage and slack are the parts of the tolerance for counting over many VMs that owners use, so that tokens which
	// expire unused at some VM are not missing at another. The rest covers the moments in which two owners overlap.
	overage = 0.5
	slack   = 0.4
	// firstLevel is the time whose refill, and firstSlack the part of the tolerance's slack, that an owner starts with: the
	// tokens that an owner before it gave out are unknown. With what owners use of the tolerance all the time they stay
	// within it when the owner changes twice in a window of five seconds, for accounts of up to some 30 requests a second, and
	// once for any.
	firstLevel = 250 * time.Millisecond
	firstSlack = 0.15
)

// Group returns the group of an account.
func Group(account string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account)) // a hash takes all bytes
	return int(h.Sum32() % Groups)
}

// Tolerance is what operators allow an account beyond its rate and burst because it is counted over many VMs.
type Tolerance struct {
	// Overage is a share of rate and burst, and Slack a number of requests.
	Overage float64
	Slack   float64
}

// Allocator is the owner's side. It is not safe for concurrent use.
type Allocator struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	share     float64
	most      float64 // the largest share so far
}

type bucket struct {
	account guavatraffic.Account
	limiter *rate.Limiter
	// first are tokens for shares of the account that this owner took over, and that it has not given out.
	first float64
}

// NewAllocator returns a ledger without buckets.
func NewAllocator(t Tolerance) *Allocator {
	return &Allocator{tolerance: t, buckets: map[string]*bucket{}, share: 1}
}

// SetShare sets the part of all rates that this owner refills, above 0 and at most 1.
func (l *Allocator) SetShare(now time.Time, share float64) {
	if share == l.share {
		return
	}
	more := max(share-l.most, 0) // what comes back brings nothing, or VMs that turn back and forth would add up
	l.share, l.most = share, max(l.most, share)
	for _, b := range l.buckets {
		l.apply(now, b)
		b.first += l.firstTokens(b.account, more)
	}
}

// firstTokens returns what an owner that takes over a share of an account starts with.
func (l *Allocator) firstTokens(a guavatraffic.Account, share float64) float64 {
	return share * (a.Rate*firstLevel.Seconds() + firstSlack*l.tolerance.Slack)
}

// Take returns how many of the wanted tokens the account gets, and how long it is until the next one if it gets none.
func (l *Allocator) Take(now time.Time, a guavatraffic.Account, want int) (granted int, after time.Duration) {
	if a.Rate <= 0 {
		return want, 0
	}
	b := l.buckets[a.Name]
	if b == nil {
		limit, burst := l.limits(a)
		l.most = max(l.most, l.share)
		b = &bucket{account: a, limiter: rate.NewLimiter(limit, burst), first: max(l.firstTokens(a, l.share), 1)}
		b.limiter.AllowN(now, burst)
		l.buckets[a.Name] = b
	}
	if b.account.Rate != a.Rate || b.account.Burst != a.Burst {
		b.account = a
		l.apply(now, b)
	}
	level := max(b.limiter.TokensAt(now), 0)
	b.first = min(b.first, max(float64(b.limiter.Burst())-level, 0))
	granted = min(want, int(level)+int(b.first))
	if granted <= 0 {
		return 0, time.Duration((1 - level) / float64(b.limiter.Limit()) * float64(time.Second))
	}
	first := min(granted, int(b.first))
	b.first -= float64(first)
	b.limiter.AllowN(now, granted-first)
	return granted, 0
}

// apply sets a bucket to this owner's share of the account's rate and burst.
func (l *Allocator) apply(now time.Time, b *bucket) {
	limit, burst := l.limits(b.account)
	b.limiter.SetLimitAt(now, limit)
	b.limiter.SetBurstAt(now, burst)
}

// limits returns this owner's share of the account's rate and burst, with the part of the tolerance that owners use.
func (l *Allocator) limits(a guavatraffic.Account) (rate.Limit, int) {
	more := 1 + overage*l.tolerance.Overage
	burst := (max(a.Burst, 1)*more + slack*l.tolerance.Slack) * l.share
	return rate.Limit(a.Rate * more * l.share), max(int(math.Floor(burst)), 1)
}

// TokenCache is a VM's side: the tokens that it got for an account and has not used.
type TokenCache struct {
	tokens []time.Time // when each expires, the first to do so first
	denied time.Time   // no use in asking before
	asked  average
	last   time.Time
}

type average struct{ value float64 }

const (
	// TokenLifetime is how long tokens may be used after the request for them was sent.
	TokenLifetime = 400 * time.Millisecond
	// demandTime is the time for which tokens are fetched ahead.
	demandTime = 150 * time.Millisecond
	// demandMemory is the time over which an account's recent rate at this VM is averaged.
	demandMemory = time.Second
)

// Use takes a token from the stock. It returns until when the token may be used.
func (s *TokenCache) Use(now time.Time) (until time.Time, ok bool) {
	s.count(now)
	for len(s.tokens) > 0 {
		until, s.tokens = s.tokens[0], s.tokens[1:]
		if !now.After(until) {
			return until, true
		}
	}
	return time.Time{}, false
}

// Return takes back a token whose request has not run, so that refusals in an overload do not use up the rate of the account.
// It may be used for no longer than before: tokens that requests held while they waited would otherwise run beside those given
// out since.
func (s *TokenCache) Return(now, until time.Time) {
	if now.After(until) {
		return
	}
	i, _ := slices.BinarySearchFunc(s.tokens, until, time.Time.Compare)
	s.tokens = slices.Insert(s.tokens, i, until)
}

// RetryAfter returns how long it is until the owner may have tokens again, 0 if it is to be asked.
func (s *TokenCache) RetryAfter(now time.Time) time.Duration { return max(s.denied.Sub(now), 0) }

// ClearDenial drops the owner's word that it has no tokens, after another VM has become the owner.
func (s *TokenCache) ClearDenial() { s.denied = time.Time{} }

// Want returns how many tokens to ask for when waiting requests need them.
func (s *TokenCache) Want(waiting int) int {
	return waiting + int(s.asked.value*demandTime.Seconds())
}

// Add takes in the owner's answer to a question sent at the time asked.
func (s *TokenCache) Add(asked, now time.Time, granted int, after time.Duration) {
	if granted > 0 {
		for range granted {
			s.Return(now, asked.Add(TokenLifetime))
		}
		return
	}
	s.denied = now.Add(after)
}

// count keeps the account's rate at this VM.
func (s *TokenCache) count(now time.Time) {
	if !s.last.IsZero() {
		s.asked.value *= math.Exp(-now.Sub(s.last).Seconds() / demandMemory.Seconds())
	}
	s.asked.value += 1 / demandMemory.Seconds()
	s.last = now
}

package guavalimit

import (
	"slices"
	"time"
)

// poolBucket is the token bucket of one account in a pool. Its level plus the unspent tokens of all requesters never
// exceeds its capacity.
type poolBucket struct {
	level      float64
	updated    time.Time
	capacity   float64 // as of updated
	requesters map[string]*requesterState
	// unspent holds granted tokens not yet reported as spent, ordered by countedUntil.
	unspent []grantedBatch
}

// requesterState is the pool's record of one requester.
type requesterState struct {
	sequence    uint64
	lastRequest time.Time
}

// grantedBatch is the unspent part of the tokens granted for one TokenRequest.
type grantedBatch struct {
	requester    string
	amount       float64
	countedUntil time.Time
}

// newPoolBucket returns the bucket of an account that has none. An earlier bucket of the account was deleted only once
// it was idle, so no tokens are outstanding. The level is the sum of each lent slice's refill since its loan began, up
// to the slice's burst.
func newPoolBucket(now time.Time, share Share, loans map[string]*poolLoan) *poolBucket {
	b := &poolBucket{updated: now, requesters: map[string]*requesterState{}}
	for _, l := range loans {
		if now.Before(l.expires) {
			b.level += min(share.Burst, share.Rate*now.Sub(l.since).Seconds())
			b.capacity += share.Burst
		}
	}
	return b
}

// advance refills the bucket up to now, in steps that end where a batch stops counting or a loan expires. Refill that
// a full bucket cannot hold within a step is discarded.
func (b *poolBucket) advance(now time.Time, share Share, loans map[string]*poolLoan) {
	for b.updated.Before(now) {
		next := now
		if len(b.unspent) > 0 && b.unspent[0].countedUntil.Before(next) {
			next = b.unspent[0].countedUntil
		}
		for _, l := range loans {
			if l.expires.After(b.updated) && l.expires.Before(next) {
				next = l.expires
			}
		}
		n := 0
		for _, l := range loans {
			if l.expires.After(b.updated) {
				n++
			}
		}
		if next.After(b.updated) {
			b.refill(share.Rate*float64(n)*next.Sub(b.updated).Seconds(), share.Burst*float64(n))
			b.updated = next
		}
		for len(b.unspent) > 0 && !b.unspent[0].countedUntil.After(next) {
			b.unspent = b.unspent[1:]
		}
	}
	n := 0
	for _, l := range loans {
		if now.Before(l.expires) {
			n++
		}
	}
	b.refill(0, share.Burst*float64(n))
}

func (b *poolBucket) refill(tokens, capacity float64) {
	b.capacity = capacity
	b.level = max(0, min(b.level+tokens, capacity-b.outstanding()))
}

// outstanding returns the number of tokens that count as unspent.
func (b *poolBucket) outstanding() float64 {
	n := 0.0
	for _, l := range b.unspent {
		n += l.amount
	}
	return n
}

// report records the number of tokens that a requester holds and returns. Its other tokens count as spent, oldest
// first. It returns false for a request that arrives out of order: its numbers are out of date, and tokens granted for
// it would not be used.
func (b *poolBucket) report(requester string, sequence uint64, held, returned float64, now time.Time) bool {
	h, ok := b.requesters[requester]
	if !ok {
		h = &requesterState{}
		b.requesters[requester] = h
	}
	if sequence <= h.sequence {
		return false
	}
	h.sequence, h.lastRequest = sequence, now
	released := 0.0 // tokens spent or returned that still counted as unspent
	for i := len(b.unspent) - 1; i >= 0; i-- {
		if l := &b.unspent[i]; l.requester == requester {
			unspent := min(l.amount, held)
			released += l.amount - unspent
			l.amount = unspent
			held -= unspent
		}
	}
	b.level += min(max(returned, 0), released)
	b.unspent = slices.DeleteFunc(b.unspent, func(l grantedBatch) bool { return l.amount == 0 })
	return true
}

// grant moves tokens from the level to a requester.
func (b *poolBucket) grant(requester string, amount float64, now time.Time) {
	if amount > 0 {
		b.level -= amount
		b.unspent = append(b.unspent, grantedBatch{requester: requester, amount: amount, countedUntil: now.Add(unreportedLifetime)})
	}
}

// activeRequesters returns the number of requesters that sent a request within the last second, at least 1.
func (b *poolBucket) activeRequesters(now time.Time) int {
	n := 0
	for _, h := range b.requesters {
		if now.Sub(h.lastRequest) < time.Second {
			n++
		}
	}
	return max(n, 1)
}

// idle reports whether the bucket can be deleted: it is full, no tokens are outstanding, and no delayed request can
// be mistaken for a new one. It deletes requesters that are older than sequenceRetention.
func (b *poolBucket) idle() bool {
	for name, h := range b.requesters {
		if b.updated.Sub(h.lastRequest) >= sequenceRetention {
			delete(b.requesters, name)
		}
	}
	return b.level >= b.capacity && len(b.unspent) == 0 && len(b.requesters) == 0
}

// sequenceRetention is the time after a requester's last request during which its sequence number is retained. It is
// far above TokenLifetime, so tokens granted for a request that arrives later have expired at the requester.
const sequenceRetention = 10 * time.Second

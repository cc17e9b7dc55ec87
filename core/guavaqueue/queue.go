package guavaqueue

import "time"

const (
	// DefaultMaxLength is the largest number of requests that wait for one model on a VM. At the peak of
	// 18,000 requests/s over 340 VMs a VM takes 53 requests/s, so this is 1.2 s of work: a longer wait would miss
	// the target of 1.6 s to the first token anyway.
	DefaultMaxLength = 64
	// DefaultMaxWait is the longest predicted wait: half of the target of 1.6 s to the first token. Under overload a
	// longer queue would make every request miss the target instead of refusing some.
	DefaultMaxWait = 800 * time.Millisecond
)

// Verdict says what becomes of an offered request.
type Verdict string

// The verdicts of Offer.
const (
	Run    Verdict = "run"
	Queued Verdict = "hold"
	// Full means that the queue is full, or the wait too long, and the client account has its share of it.
	Full Verdict = "full"
	// Late means that the deadline cannot be met.
	Late Verdict = "late"
)

// Queue admits the requests of one model on one VM. It is not safe for concurrent use.
type Queue[T any] struct {
	fair   *Fair[T]
	window *Window
	away   *Window
	spread bool
	limit  int
	most   time.Duration
	ends   meter
}

// New returns a queue of at most limit waiting requests and predicted wait in front of a window for the VM's own failure
// domain and one for the others, which may be nil.
func New[T any](window, away *Window, limit int, wait time.Duration) *Queue[T] {
	return &Queue[T]{fair: NewFair[T](), window: window, away: away, limit: limit, most: wait, spread: away != nil}
}

// AllowCrossDomain allows or forbids the use of the places of the other domains, while they have servers.
func (q *Queue[T]) AllowCrossDomain(allowed bool) { q.spread = allowed && q.away != nil }

// begin takes a place, one of the other domains only when the own has none.
func (q *Queue[T]) begin() (away, ok bool) {
	if q.window.TryAcquire() {
		return false, true
	}
	return true, q.spread && q.away.TryAcquire()
}

func (q *Queue[T]) windowOf(away bool) *Window {
	if away {
		return q.away
	}
	return q.window
}

// Len returns the number of waiting requests, and Running that of running ones.
func (q *Queue[T]) Len() int { return q.fair.Len() }

// Running returns the number of running requests.
func (q *Queue[T]) Running() int {
	n := q.window.Running()
	if q.away != nil {
		n += q.away.Running()
	}
	return n
}

// ConcurrencyLimit returns the number of requests that may run at a time in the own domain.
func (q *Queue[T]) ConcurrencyLimit() int { return q.window.Size() }

// Offer admits, queues or refuses a request that is expected to run for the time expected. Evicted is a
// request that lost its place to this one and must be refused; wait is the predicted time in the queue.
func (q *Queue[T]) Offer(it *Item[T], expected time.Duration) (v Verdict, evicted *Item[T], wait time.Duration) {
	left := time.Until(it.Deadline)
	if expected >= left {
		return Late, nil, 0
	}
	if q.fair.Len() == 0 {
		if away, ok := q.begin(); ok {
			it.Away = away
			q.fair.Charge(it)
			return Run, nil, 0
		}
	}
	if wait = q.Wait(it); wait+expected > left {
		return Late, nil, wait
	}
	if wait > q.most {
		return Full, nil, wait
	}
	if q.fair.Len() >= q.limit {
		evicted = q.fair.EvictionCandidate()
		if evicted.Account == it.Account || q.fair.shareAfter(it) >= evicted.flow.length() {
			return Full, nil, wait
		}
		q.fair.Remove(evicted)
	}
	q.fair.Push(it)
	return Queued, evicted, wait
}

// Wait predicts the time that the item would wait; 0 while the service rate is unknown.
func (q *Queue[T]) Wait(it *Item[T]) time.Duration {
	pace, ok := q.ends.pace()
	if !ok {
		return 0
	}
	// The first in line waits for the end of a running request: half of an interval on average.
	wait := (q.fair.ahead(it.Account, it.Weight, it.Deadline) + 0.5) * pace
	// A client account above its share is overtaken by later arrivals of others, which its own pace tells.
	if own, n := q.fair.pace(it.Account, it.Deadline); n > 0 {
		wait = max(wait, own*float64(n))
	}
	return time.Duration(wait * float64(time.Second))
}

// Next returns the next waiting request that may run now, or nil.
func (q *Queue[T]) Next() *Item[T] {
	if q.fair.Len() == 0 {
		return nil
	}
	away, ok := q.begin()
	if !ok {
		return nil
	}
	it := q.fair.Pop()
	it.Away = away
	return it
}

// Remove removes a waiting request, and returns false when it no longer waits.
func (q *Queue[T]) Remove(it *Item[T]) bool { return q.fair.Remove(it) }

// FirstToken records the first token of a request in a place of the own or the other domains. Congested is true when it found
// a queue at its backend server.
func (q *Queue[T]) FirstToken(away, congested bool) { q.windowOf(away).FirstToken(congested) }

// End records that a request has ended.
func (q *Queue[T]) End(away bool) {
	q.ends.tick(q.fair.Len() > 0)
	q.windowOf(away).Release()
}

// shareAfter is the length of the item's client account relative to its weight, with the item.
func (q *Fair[T]) shareAfter(it *Item[T]) float64 {
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	if f := q.flows[it.Account]; f != nil {
		return float64(len(f.items)+1) / weight
	}
	return 1 / weight
}

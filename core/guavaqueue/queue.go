package guavaqueue

import "time"

const (
	// DefaultMaxLength is the maximum number of requests that wait for one model on a VM. At the peak of
	// 18,000 requests/s over 340 VMs a VM receives 53 requests/s, so a full queue is 1.2 s of work. A request that
	// waits longer misses the target of 1.6 s to the first token.
	DefaultMaxLength = 64
	// DefaultMaxWait is the maximum predicted wait: half of the target of 1.6 s to the first token. With a longer
	// wait, every request misses the target under overload; with this one, some requests are refused instead.
	DefaultMaxWait = 800 * time.Millisecond
)

// Verdict is the admission decision on a request.
type Verdict string

// The verdicts of Offer.
const (
	Run    Verdict = "run"
	Queued Verdict = "hold"
	// Full means that the predicted wait is too long, or that the queue is full and the client account already has its
	// share of it.
	Full Verdict = "full"
	// Late means that the predicted completion is after the deadline.
	Late Verdict = "late"
)

// Queue admits the requests of one model on one VM. It is not safe for concurrent use.
type Queue[T any] struct {
	fair               *Fair[T]
	local              *Window
	crossDomain        *Window
	crossDomainAllowed bool
	maxLen             int
	maxWait            time.Duration
	completions        intervalMeter
}

// New returns a queue that holds at most maxLen waiting requests and admits none with a predicted wait above maxWait.
// Local limits the concurrent requests to servers of the VM's failure domain, and crossDomain those to other failure
// domains; crossDomain may be nil.
func New[T any](local, crossDomain *Window, maxLen int, maxWait time.Duration) *Queue[T] {
	return &Queue[T]{fair: NewFair[T](), local: local, crossDomain: crossDomain, maxLen: maxLen, maxWait: maxWait, crossDomainAllowed: crossDomain != nil}
}

// AllowCrossDomain sets whether requests may be sent to other failure domains.
func (q *Queue[T]) AllowCrossDomain(allowed bool) {
	q.crossDomainAllowed = allowed && q.crossDomain != nil
}

// acquire reserves capacity for a request, in other failure domains only when the local window is full.
func (q *Queue[T]) acquire() (crossDomain, ok bool) {
	if q.local.TryAcquire() {
		return false, true
	}
	return true, q.crossDomainAllowed && q.crossDomain.TryAcquire()
}

func (q *Queue[T]) windowFor(crossDomain bool) *Window {
	if crossDomain {
		return q.crossDomain
	}
	return q.local
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.fair.Len() }

// Running returns the number of requests in flight.
func (q *Queue[T]) Running() int {
	n := q.local.Running()
	if q.crossDomain != nil {
		n += q.crossDomain.Running()
	}
	return n
}

// ConcurrencyLimit returns the maximum number of concurrent requests to the local failure domain.
func (q *Queue[T]) ConcurrencyLimit() int { return q.local.Size() }

// Offer admits, queues or refuses a request with the given expected run time. Evicted, if not nil, is a request that
// was removed from the queue in favour of this one, and the caller must refuse it. Wait is the predicted time in the
// queue.
func (q *Queue[T]) Offer(it *Item[T], expected time.Duration) (v Verdict, evicted *Item[T], wait time.Duration) {
	remaining := time.Until(it.Deadline)
	if expected >= remaining {
		return Late, nil, 0
	}
	if q.fair.Len() == 0 {
		if crossDomain, ok := q.acquire(); ok {
			it.Away = crossDomain
			q.fair.Charge(it)
			return Run, nil, 0
		}
	}
	if wait = q.Wait(it); wait+expected > remaining {
		return Late, nil, wait
	}
	if wait > q.maxWait {
		return Full, nil, wait
	}
	if q.fair.Len() >= q.maxLen {
		evicted = q.fair.EvictionCandidate()
		if evicted.Account == it.Account || q.fair.backlogWith(it) >= evicted.flow.backlog() {
			return Full, nil, wait
		}
		q.fair.Remove(evicted)
	}
	q.fair.Push(it)
	return Queued, evicted, wait
}

// Wait predicts the time that the item would wait in the queue. It returns 0 while the service rate is unknown.
func (q *Queue[T]) Wait(it *Item[T]) time.Duration {
	interval, ok := q.completions.mean()
	if !ok {
		return 0
	}
	// The first item waits for the next completion: half of an interval on average.
	wait := (q.fair.ahead(it.Account, it.Weight, it.Deadline) + 0.5) * interval
	// Later arrivals of other accounts overtake those of an account above its share. The account's own service
	// interval accounts for this.
	if accountInterval, n := q.fair.serviceInterval(it.Account, it.Deadline); n > 0 {
		wait = max(wait, accountInterval*float64(n))
	}
	return time.Duration(wait * float64(time.Second))
}

// Next removes and returns the next waiting request if there is capacity for it, or returns nil.
func (q *Queue[T]) Next() *Item[T] {
	if q.fair.Len() == 0 {
		return nil
	}
	crossDomain, ok := q.acquire()
	if !ok {
		return nil
	}
	it := q.fair.Pop()
	it.Away = crossDomain
	return it
}

// Remove removes a waiting request, and returns false when it is no longer waiting.
func (q *Queue[T]) Remove(it *Item[T]) bool { return q.fair.Remove(it) }

// FirstToken records the first token of a request. Congested is true when the request was queued at its backend server.
func (q *Queue[T]) FirstToken(crossDomain, congested bool) {
	q.windowFor(crossDomain).FirstToken(congested)
}

// End records that a request has ended.
func (q *Queue[T]) End(crossDomain bool) {
	q.completions.record(q.fair.Len() > 0)
	q.windowFor(crossDomain).Release()
}

// backlogWith returns the backlog of the item's client account relative to its weight, including the item.
func (q *Fair[T]) backlogWith(it *Item[T]) float64 {
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	if f := q.flows[it.Account]; f != nil {
		return float64(len(f.items)+1) / weight
	}
	return 1 / weight
}

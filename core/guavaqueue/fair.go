// Package guavaqueue admits requests: fair between client accounts by weight, earliest deadline first within one.
package guavaqueue

import (
	"container/heap"
	"time"
)

// Item is a queued value of a client account.
type Item[T any] struct {
	Account  string
	Weight   float64
	Deadline time.Time
	// Cost is the share of service that the item uses; 0 counts as 1.
	Cost  float64
	Value T
	// Away is set when the item runs in a place of the other domains.
	Away bool

	flow  *flow[T]
	index int // position in the flow's heap, or -1
}

// Fair is a queue that serves client accounts by virtual time (start-time fair queueing) and the items of one
// client account by deadline. It is not safe for concurrent use.
type Fair[T any] struct {
	flows   map[string]*flow[T]
	active  flowHeap[T]
	virtual float64
	length  int
}

// flow holds the items of one client account.
type flow[T any] struct {
	account string
	weight  float64
	start   float64 // virtual start time of the next item
	items   itemHeap[T]
	index   int // position in active, or -1
	pops    meter
}

// NewFair returns an empty queue.
func NewFair[T any]() *Fair[T] { return &Fair[T]{flows: map[string]*flow[T]{}} }

// Len returns the number of items.
func (q *Fair[T]) Len() int { return q.length }

// Push adds an item.
func (q *Fair[T]) Push(it *Item[T]) {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow[T]{account: it.Account, index: -1}
		q.flows[it.Account] = f
	}
	f.weight = it.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	it.flow = f
	heap.Push(&f.items, it)
	q.length++
	if f.index < 0 {
		// A client account that was idle gets no credit for that time.
		f.start = max(f.start, q.virtual)
		heap.Push(&q.active, f)
	}
}

// Pop removes the next item, or returns nil.
func (q *Fair[T]) Pop() *Item[T] {
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	it := f.items[0]
	q.virtual = f.start
	q.charge(f, it)
	q.Remove(it)
	f.pops.tick(len(f.items) > 0)
	return it
}

// Charge counts an item that was served without waiting.
func (q *Fair[T]) Charge(it *Item[T]) {
	f := q.flows[it.Account]
	if f == nil {
		f = &flow[T]{account: it.Account, index: -1}
		q.flows[it.Account] = f
	}
	f.weight = it.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	f.start = max(f.start, q.virtual)
	q.virtual = f.start
	q.charge(f, it)
}

func (q *Fair[T]) charge(f *flow[T], it *Item[T]) {
	cost := it.Cost
	if cost <= 0 {
		cost = 1
	}
	f.start += cost / f.weight
	if f.index >= 0 {
		heap.Fix(&q.active, f.index)
	}
}

// Remove takes an item out, and returns false when it is no longer queued.
func (q *Fair[T]) Remove(it *Item[T]) bool {
	f := it.flow
	if f == nil || it.index < 0 {
		return false
	}
	heap.Remove(&f.items, it.index)
	q.length--
	if len(f.items) == 0 {
		heap.Remove(&q.active, f.index)
	}
	// Flows whose virtual time has passed are forgotten: they would start at the current one anyway.
	if len(q.flows) > 2*len(q.active)+64 {
		for name, g := range q.flows {
			if g.index < 0 && g.start <= q.virtual {
				delete(q.flows, name)
			}
		}
	}
	return true
}

// EvictionCandidate returns the item with the latest deadline of the client account that has most items for its weight.
func (q *Fair[T]) EvictionCandidate() *Item[T] {
	var worst *flow[T]
	for _, f := range q.active {
		if worst == nil || f.length() > worst.length() || f.length() == worst.length() && f.account < worst.account {
			worst = f
		}
	}
	if worst == nil {
		return nil
	}
	last := worst.items[0]
	for _, it := range worst.items {
		if it.Deadline.After(last.Deadline) {
			last = it
		}
	}
	return last
}

// length is the number of items relative to the weight.
func (f *flow[T]) length() float64 { return float64(len(f.items)) / f.weight }

// pace returns the seconds between items served of the client account while it had others waiting, and how many of
// its items are due by the deadline; n is 0 while the pace is not known.
func (q *Fair[T]) pace(account string, deadline time.Time) (seconds float64, n int) {
	f := q.flows[account]
	if f == nil {
		return 0, 0
	}
	seconds, ok := f.pops.pace()
	if !ok {
		return 0, 0
	}
	for _, it := range f.items {
		if !it.Deadline.After(deadline) {
			n++
		}
	}
	return seconds, n
}

// ahead returns the number of items that are served before one of the account with the deadline, if the
// other client accounts keep their items.
func (q *Fair[T]) ahead(account string, weight float64, deadline time.Time) float64 {
	if weight <= 0 {
		weight = 1
	}
	own, start := 0, q.virtual
	if f := q.flows[account]; f != nil {
		start = max(start, f.start)
		for _, it := range f.items {
			if !it.Deadline.After(deadline) {
				own++
			}
		}
	}
	// The item starts at this virtual time; the others are served until their own start passes it.
	at := start + float64(own)/weight
	n := float64(own)
	for _, f := range q.active {
		if f.account != account {
			n += min(float64(len(f.items)), max(0, (at-f.start)*f.weight+1))
		}
	}
	return n
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.index = -1
	*h = old[:len(old)-1]
	return it
}

type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int           { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool { return h[i].start < h[j].start }
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.index = -1
	*h = old[:len(old)-1]
	return f
}

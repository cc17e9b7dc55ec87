// Package guavabudget bounds the memory that a VM uses for what servers send, over all requests.
//
// The load pattern that it answers: a server in trouble sends bytes without an end to many requests at once, and the
// small VM that buffers them runs out of memory, with all that it carries.
package guavabudget

import "sync/atomic"

// shareDivisor is the part of the budget that one holder may use: the whole budget divided by this number.
const shareDivisor = 4

// Budget is a number of bytes that is shared by any number of holders. Its methods may be called concurrently.
type Budget struct {
	limit int64
	most  int64 // of one holder
	used  atomic.Int64
}

// New returns a budget of the given number of bytes. One holder may use a quarter of it.
func New(limit int) *Budget { return &Budget{limit: int64(limit), most: int64(limit) / shareDivisor} }

// NewUndivided returns a budget of the given number of bytes. One holder may use all of it.
func NewUndivided(limit int) *Budget { return &Budget{limit: int64(limit), most: int64(limit)} }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Holder is the part of a budget that one request holds. It is not safe for concurrent use.
type Holder struct {
	budget *Budget
	held   int64
}

// Holder returns a holder of 0 bytes.
func (b *Budget) Holder() Holder { return Holder{budget: b} }

// Set changes the number of bytes that are held. It returns false, and changes nothing, if the holder's part or the
// whole budget would be exceeded. A smaller number always succeeds.
func (h *Holder) Set(bytes int) bool {
	n := int64(bytes)
	if n > h.held {
		if n > h.budget.most {
			return false
		}
		if h.budget.used.Add(n-h.held) > h.budget.limit {
			h.budget.used.Add(h.held - n)
			return false
		}
	} else {
		h.budget.used.Add(n - h.held)
	}
	h.held = n
	return true
}

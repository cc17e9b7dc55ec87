package guavaretry

import "sync"

const (
	// DefaultRatio is the maximum number of retries per first attempt on a VM.
	DefaultRatio = 0.1
	// DefaultReserve is the capacity of the token bucket. It allows retries on a VM with little traffic, and limits the
	// burst of retries after a period without any.
	DefaultReserve = 20
)

// Budget is a token bucket to which each first attempt adds ratio tokens and from which each retry takes one. It may be
// used concurrently.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	tokens  float64
}

// NewBudget returns a full budget. The number of retries never exceeds ratio × first attempts + reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Withdraw takes one token for a retry, or returns false when the budget is exhausted.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The tolerance allows for rounding errors of the repeated addition of the ratio.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

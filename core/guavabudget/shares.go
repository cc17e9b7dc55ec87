package guavabudget

import "sync"

// Shares bounds what the holders of one key use of a budget together, so that one key can't take the whole. Its methods may
// be called concurrently.
type Shares[K comparable] struct {
	budget *Budget
	most   int

	mu   sync.Mutex
	used map[K]int
}

// NewShares returns shares of b, of which the holders of a key use at most the given number of bytes.
func NewShares[K comparable](b *Budget, most int) *Shares[K] {
	return &Shares[K]{budget: b, most: most, used: map[K]int{}}
}

// Holder returns a holder of 0 bytes for a key.
func (s *Shares[K]) Holder(key K) *SharedHolder[K] {
	return &SharedHolder[K]{shares: s, key: key, holder: s.budget.Holder()}
}

// Len returns the number of keys whose holders hold bytes.
func (s *Shares[K]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.used)
}

// SharedHolder is the part of a budget that one request holds for a key. It is not safe for concurrent use.
type SharedHolder[K comparable] struct {
	shares *Shares[K]
	key    K
	holder Holder
}

// Set changes the number of bytes that are held. It returns false, and changes nothing, if the key's part or what Holder.Set
// checks would be exceeded. A smaller number always succeeds.
func (h *SharedHolder[K]) Set(bytes int) bool {
	held := int(h.holder.held)
	if bytes == held {
		return true
	}
	s := h.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.used[h.key] - held + bytes
	if bytes > held && used > s.most || !h.holder.Set(bytes) {
		return false
	}
	if s.used[h.key] = used; used == 0 {
		delete(s.used, h.key)
	}
	return true
}

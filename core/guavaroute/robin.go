package guavaroute

import (
	"slices"
	"sync"

	"guavaridge/core/guavaconfig"
)

// RoundRobin is the Policy that uses the servers of the local failure domain in turn. It is the baseline of the
// benchmarks.
type RoundRobin struct {
	mu     sync.Mutex
	domain string
	pools  map[string][]guavaconfig.BackendServer
	next   map[string]int
}

// NewRoundRobin returns a RoundRobin over the servers of a snapshot. Each pool starts at the server with index offset,
// modulo the size of the pool.
func NewRoundRobin(domain string, s *guavaconfig.Snapshot, offset int) *RoundRobin {
	r := &RoundRobin{domain: domain, pools: map[string][]guavaconfig.BackendServer{}, next: map[string]int{}}
	for _, b := range s.Declarations().Servers {
		if b.Leaving || b.Domain != domain {
			continue
		}
		for _, name := range poolNames(b) {
			r.pools[name] = append(r.pools[name], b)
			r.next[name] = offset
		}
	}
	return r
}

// Choose implements Policy.
func (r *RoundRobin) Choose(q Request) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := PoolName(q.Service, q.Model)
	for range r.pools[name] {
		b := r.pools[name][r.next[name]%len(r.pools[name])]
		r.next[name]++
		if !slices.Contains(q.Exclude, b.Name) {
			return Choice{Server: b}, true
		}
	}
	return Choice{}, false
}

package guavaroute

import (
	"time"
)

// maxArrivals limits the arrivals of one announcement, so that a faulty peer cannot make a server appear full for long.
const maxArrivals = 1000

func (r *Router) latenciesOf(name string) *latencies {
	l := r.latencies[name]
	if l == nil {
		l = &latencies{service: initialServiceTime, firstToken: initialFirstToken}
		r.latencies[name] = l
	}
	return l
}

// ObserveLoad records a load report of a server. Reports older than the last one and reports without slots are ignored.
func (r *Router) ObserveLoad(server string, l Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.views[server]
	if v == nil || l.At.Before(v.report.At) || l.Slots <= 0 {
		return
	}
	if l.Models == nil {
		l.Models = v.report.Models
	}
	if l.Adapters == nil {
		l.Adapters = v.report.Adapters
	}
	v.report = l
	load := float64(l.Running+l.Waiting) / float64(l.Slots)
	for _, name := range v.pools {
		if p := r.pools[name]; p != nil {
			p.averageLoad += smoothing * (load - p.averageLoad)
		}
	}
}

// ObserveArrivals records the number of requests that a peer has sent to a server since its last announcement.
func (r *Router) ObserveArrivals(server string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[server]; v != nil && n > 0 {
		v.peers.add(time.Now(), min(n, maxArrivals))
	}
}

// TakeArrivals returns the number of requests that this VM has sent per server since the last call, and resets it.
func (r *Router) TakeArrivals() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.arrivals
	r.arrivals = make(map[string]int, len(out))
	return out
}

// Sent records that a request was sent to the server.
func (r *Router) Sent(q Request, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.views[server]
	if v == nil {
		return
	}
	now := time.Now()
	v.running++
	v.own.add(now, 1)
	r.arrivals[server]++
	for _, id := range q.Prefixes {
		r.prefixes.add(id, server, now)
	}
}

// ObserveFirstToken records the observed time to first token, or to the response of a plain service.
func (r *Router) ObserveFirstToken(q Request, c Choice, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.latenciesOf(PoolName(q.Service, q.Model))
	// The time of a request that was queued does not reflect the prefill, so at most twice the average counts.
	l.firstToken += time.Duration(smoothing * float64(min(first, 2*l.firstToken)-l.firstToken))
	if v := r.views[c.Server.Name]; v != nil && c.Expected > 0 {
		ratio := min(max(float64(first)/float64(c.Expected), 0.25), 4)
		v.latencyRatio = min(max(v.latencyRatio*(1+smoothing*(ratio-1)), 0.25), 4)
	}
}

// Ended records the end of a request. Total is the time of the whole request, or 0 if it failed.
func (r *Router) Ended(q Request, server string, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[server]; v != nil && v.running > 0 {
		v.running--
	}
	if total > 0 {
		l := r.latenciesOf(PoolName(q.Service, q.Model))
		l.service += time.Duration(smoothing * float64(total-l.service))
		l.serviceP5 = quantile(l.serviceP5, total)
	}
}

// quantile returns the estimate of the 5% quantile after one more observation v.
func quantile(estimate, v time.Duration) time.Duration {
	const p, step = 0.05, 0.1
	switch {
	case estimate == 0:
		return v / 2
	case v < estimate:
		return estimate - time.Duration(step*(1-p)*float64(estimate))
	}
	return estimate + time.Duration(step*p*float64(estimate))
}

// ServiceTimeP5 returns the estimated 5th percentile of the time of a whole request in the pool: about 1 in 20 requests
// takes no longer. It is 0 before any request has ended. A request with less time until its deadline is not worth
// sending. With the mean, short responses would be refused because long ones raise it.
func (r *Router) ServiceTimeP5(q Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latenciesOf(PoolName(q.Service, q.Model)).serviceP5
}

// ServerCounts returns the number of servers that may serve the request in the local failure domain and in all of them.
func (r *Router) ServerCounts(q Request) (local, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[PoolName(q.Service, q.Model)]
	if p == nil {
		return 0, 0
	}
	return len(p.local), len(p.local) + len(p.remote)
}

// Slots returns the total number of slots reported by the servers of the request's pool in the local failure domain.
func (r *Router) Slots(q Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if p := r.pools[PoolName(q.Service, q.Model)]; p != nil {
		for _, m := range p.local {
			n += m.view.report.Slots
		}
	}
	return n
}

// ObservePrefix records that a server added the prompt prefix with this identifier to its cache, or evicted it.
func (r *Router) ObservePrefix(server, prefix string, cached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.views[server] == nil {
		return
	}
	if cached {
		r.prefixes.add(prefix, server, time.Now())
	} else {
		r.prefixes.remove(prefix, server)
	}
}

// Running returns the number of this VM's requests in flight per server.
func (r *Router) Running() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for name, v := range r.views {
		if v.running > 0 {
			out[name] = v.running
		}
	}
	return out
}

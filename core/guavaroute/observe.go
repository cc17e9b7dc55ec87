package guavaroute

import (
	"time"
)

// maxArrivals bounds one announcement, so that a faulty peer cannot make a server look full for long.
const maxArrivals = 1000

func (r *Router) timesOf(name string) *times {
	t := r.times[name]
	if t == nil {
		t = &times{service: startService, first: startFirst}
		r.times[name] = t
	}
	return t
}

// ObserveLoad takes in a load report of a server. A report older than the one held is ignored.
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
	part := float64(l.Running+l.Waiting) / float64(l.Slots)
	for _, name := range v.pools {
		if p := r.pools[name]; p != nil {
			p.average += smoothing * (part - p.average)
		}
	}
}

// ObserveArrivals takes in the number of requests that a peer sent to a server since its last announcement.
func (r *Router) ObserveArrivals(server string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[server]; v != nil && n > 0 {
		v.peers.add(time.Now(), min(n, maxArrivals))
	}
}

// TakeArrivals returns this VM's sends per server since the last call.
func (r *Router) TakeArrivals() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.arrivals
	r.arrivals = make(map[string]int, len(out))
	return out
}

// Sent records that a request was sent to the chosen server.
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

// ObserveFirstToken records the observed time to first token, or to the answer of a plain service.
func (r *Router) ObserveFirstToken(q Request, c Choice, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.timesOf(PoolName(q.Service, q.Model))
	// A request that queued says nothing about the prefill: it is weighed by at most twice the average.
	t.first += time.Duration(smoothing * float64(min(first, 2*t.first)-t.first))
	if v := r.views[c.Server.Name]; v != nil && c.Expected > 0 {
		ratio := min(max(float64(first)/float64(c.Expected), 0.25), 4)
		v.speed = min(max(v.speed*(1+smoothing*(ratio-1)), 0.25), 4)
	}
}

// Ended records the end of a request. Total is the time of the whole request, or 0 when it failed.
func (r *Router) Ended(q Request, server string, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[server]; v != nil && v.running > 0 {
		v.running--
	}
	if total > 0 {
		t := r.timesOf(PoolName(q.Service, q.Model))
		t.service += time.Duration(smoothing * float64(total-t.service))
		t.fast = quantile(t.fast, total)
	}
}

// quantile moves an estimate of the 5% quantile towards it by one observation.
func quantile(estimate, v time.Duration) time.Duration {
	const part, step = 0.05, 0.1
	switch {
	case estimate == 0:
		return v / 2
	case v < estimate:
		return estimate - time.Duration(step*(1-part)*float64(estimate))
	}
	return estimate + time.Duration(step*part*float64(estimate))
}

// ServiceTimeP5 returns the time within which about 1 in 20 requests of the pool ends; 0 before any has. A request with
// less time left is taken to be lost. The mean would refuse short answers for the sake of the long ones.
func (r *Router) ServiceTimeP5(q Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timesOf(PoolName(q.Service, q.Model)).fast
}

// ServerCounts returns the number of servers of the own domain that may serve the request, and of all domains.
func (r *Router) ServerCounts(q Request) (own, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[PoolName(q.Service, q.Model)]
	if p == nil {
		return 0, 0
	}
	return len(p.own), len(p.own) + len(p.others)
}

// Slots returns the sum of the slots that servers of the own domain reported for the request's pool, or 0.
func (r *Router) Slots(q Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if p := r.pools[PoolName(q.Service, q.Model)]; p != nil {
		for _, m := range p.own {
			n += m.view.report.Slots
		}
	}
	return n
}

// ObservePrefix takes in that a server added a prompt prefix, by its identifier, to its cache or dropped
// it.
func (r *Router) ObservePrefix(server, prefix string, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.views[server] == nil {
		return
	}
	if held {
		r.prefixes.add(prefix, server, time.Now())
	} else {
		r.prefixes.drop(prefix, server)
	}
}

// Running returns the number of this VM's requests per server.
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

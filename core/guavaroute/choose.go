package guavaroute

import (
	"slices"
	"time"
)

// Choose implements Policy. It compares a sample of servers of the local failure domain, one of them selected by prefix
// affinity. It considers servers of other failure domains only when no local one is predicted to meet the target, or
// when q.Away is set.
func (r *Router) Choose(q Request) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := PoolName(q.Service, q.Model)
	p := r.pools[name]
	if p == nil {
		return Choice{}, false
	}
	now := time.Now()
	l := r.latenciesOf(name)
	r.prefixMatches = r.prefixMatches[:0]
	if !q.Alone {
		r.prefixMatches = r.prefixes.find(r.prefixMatches, q.Prefixes, now)
	}
	if q.Away && !q.Alone {
		if c, rank, ok := r.bestOf(p, p.remote, q, l, now, false); ok && rank <= r.target/crossDomainTargetDivisor+l.firstToken {
			return c, true
		}
	}
	best, rank, ok := r.bestOf(p, p.local, q, l, now, true)
	// The target applies to the time beyond the average time to first token: a long prompt or a slow plain service
	// takes as long in another failure domain.
	if !ok || rank > r.target+l.firstToken {
		if other, otherRank, found := r.bestOf(p, p.remote, q, l, now, false); found && (!ok || otherRank < rank) {
			best, ok = other, true
		}
	}
	return best, ok
}

// bestOf returns the server with the lowest rank in a sample of the members, and its rank. The rank is the predicted
// time to first token plus penalties; for a request with q.Alone it depends on the number of other requests instead.
func (r *Router) bestOf(p *pool, members []*member, q Request, l *latencies, now time.Time, affinity bool) (Choice, time.Duration, bool) {
	r.sample = r.sample[:0]
	if q.Alone {
		for _, m := range members {
			if !slices.Contains(q.Exclude, m.server.Name) {
				r.sample = append(r.sample, m)
			}
		}
	} else {
		r.drawSample(p, members, q, affinity)
	}
	var (
		best     Choice
		bestRank time.Duration
		ties     int
	)
	for _, m := range r.sample {
		expected, hit := r.predict(p, m, q, l, now)
		rank := expected
		if q.Alone {
			// A crash of the server is to affect as few other requests as possible.
			n, _ := m.view.occupancy(now, l.service, p.averageLoad)
			rank = time.Duration(n * float64(isolationCost))
		}
		if r.health != nil {
			share, penalty := r.health.Share(m.server.Name)
			if share < 1 && r.random.Float64() >= share {
				// The server is used only if no other is available.
				penalty += time.Hour
			}
			rank += penalty
		}
		margin := time.Duration(float64(bestRank) * tieTolerance)
		switch {
		case ties == 0 || rank < bestRank-margin:
			ties = 1
		case rank <= bestRank+margin:
			if ties++; r.random.IntN(ties) != 0 {
				continue
			}
		default:
			continue
		}
		bestRank = rank
		best = Choice{Server: m.server, Expected: expected, Affinity: hit}
	}
	return best, bestRank, ties > 0
}

// drawSample fills r.sample with distinct members, the first by prefix affinity if affinity is true.
func (r *Router) drawSample(p *pool, members []*member, q Request, affinity bool) {
	if affinity {
		for _, a := range r.prefixMatches {
			m := p.byName[a.server]
			if m != nil && m.server.Domain == r.domain && !slices.Contains(q.Exclude, a.server) {
				r.sample = append(r.sample, m)
				break
			}
		}
	}
	if len(members) <= sampleSize {
		for _, m := range members {
			if !slices.Contains(q.Exclude, m.server.Name) && !slices.Contains(r.sample, m) {
				r.sample = append(r.sample, m)
			}
		}
		return
	}
	// Ejected servers are skipped in the first 3*sampleSize draws, so that the sample is full even if a third of the
	// pool is ejected.
	for draws := 0; len(r.sample) < sampleSize && draws < 4*sampleSize; draws++ {
		m := members[r.random.IntN(len(members))]
		if slices.Contains(r.sample, m) || slices.Contains(q.Exclude, m.server.Name) {
			continue
		}
		if r.health != nil && draws < 3*sampleSize {
			if share, _ := r.health.Share(m.server.Name); share == 0 {
				continue
			}
		}
		r.sample = append(r.sample, m)
	}
}

// predict returns the expected time to first token at a server, or to the response of a plain service, and whether the
// server is expected to have a prefix of the prompt in its cache.
func (r *Router) predict(p *pool, m *member, q Request, l *latencies, now time.Time) (time.Duration, bool) {
	v := m.view
	if q.Service != "" {
		// Plain services do not report their load, so it is estimated from this VM's own requests.
		return m.networkLatency + time.Duration(float64(l.firstToken)*v.latencyRatio*(1+float64(v.running))), false
	}
	prefill, hit := l.firstToken, false
	for _, a := range r.prefixMatches {
		if a.server == m.server.Name {
			prefill, hit = time.Duration(float64(prefill)*(1-prefixSaving*a.fraction)), true
			break
		}
	}
	occupied, deviation := v.occupancy(now, l.service, p.averageLoad)
	slots := v.slots()
	if v.report.Slots <= 0 {
		slots = defaultSlots
	}
	d := float64(prefill) * v.latencyRatio * (1 + fullBatchSlowdown*min(occupied, slots)/slots)
	d += excess(occupied+1-slots, deviation) / slots * float64(l.service) * v.latencyRatio
	total := m.networkLatency + time.Duration(d)
	model, adapter := v.loaded(q.Model, q.Adapter)
	if !model {
		total += modelLoadTime
	}
	if !adapter {
		total += adapterLoadTime
	}
	return total, hit
}

const (
	// prefixSaving is the fraction of the time to first token that a fully cached prompt saves.
	prefixSaving = 0.8
	// fullBatchSlowdown is the relative increase of the prefill time from an empty to a full batch.
	fullBatchSlowdown = 0.5
	// isolationCost is the rank per running request at a server, for requests suspected of crashing servers. It is
	// small enough that the load of the local failure domain does not move such a request to another one.
	isolationCost = time.Millisecond
	// crossDomainTargetDivisor divides the target for servers of other failure domains when the local one is full. They
	// must have spare capacity, or the overload would spread to their failure domain.
	crossDomainTargetDivisor = 4
	// defaultSlots is the assumed number of slots of an engine that has not reported its load yet.
	defaultSlots = 16
)

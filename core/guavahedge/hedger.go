// Package guavahedge decides when a request that may be repeated is sent to a second server, since the first one is slow.
//
// The load pattern that it answers: one of some servers turns slow or falls silent without an error, and the few requests that it holds
// are the slowest of all. When all servers are slow, as in a wave, a second copy only adds to the load, so copies are a small share of the
// requests.
package guavahedge

import (
	"slices"
	"time"
)

const (
	// window is the number of recent times from which the delay follows.
	window = 256
	// minSamples is the number of times without which no copy is sent.
	minSamples = 64
	// refreshInterval is the number of new times after which the delay is computed again.
	refreshInterval = 32
	// minDelay bounds the delay below, so that differences within a network's round trips send no copies.
	minDelay = 5 * time.Millisecond
	// maxSaved bounds the copies that a quiet time saves up for a burst.
	maxSaved = 4
)

// Policy is the operator's limit for the copies of a route's requests. The zero value sends none.
type Policy struct {
	// Share is the number of copies per request, from 0 to 1.
	Share float64
	// Quantile is the share of requests, by the time to their first byte, that get no copy, from 0 to 1.
	Quantile float64
}

// Hedger decides for the requests of one route on one VM. Each VM stays within the share, so all of them together do, also while they
// do not reach each other. It is not safe for concurrent use.
type Hedger struct {
	policy  Policy
	saved   float64 // copies that may be sent now
	times   []time.Duration
	next    int // index in times of the oldest one
	pending int // times since the delay was computed
	delay   time.Duration
}

// New returns a hedger that knows no times.
func New(p Policy) *Hedger { return &Hedger{policy: p} }

// Request records a request and returns the delay after which a copy of it may be sent, 0 if none may.
func (h *Hedger) Request() time.Duration {
	if h.policy.Share <= 0 {
		return 0
	}
	h.saved = min(h.saved+h.policy.Share, maxSaved)
	return h.delay
}

// Observe records the time to the first byte of a request that got no copy, or the time for which the first server of one with a copy
// was waited for at least. Without the latter, copies would hide the times that make the delay grow when all servers turn slow.
func (h *Hedger) Observe(d time.Duration) {
	if len(h.times) < window {
		h.times = append(h.times, d)
	} else {
		h.times[h.next] = d
		h.next = (h.next + 1) % window
	}
	if h.pending++; h.pending < refreshInterval || len(h.times) < minSamples {
		return
	}
	h.pending = 0
	sorted := slices.Sorted(slices.Values(h.times))
	h.delay = max(sorted[min(int(h.policy.Quantile*float64(len(sorted))), len(sorted)-1)], minDelay)
}

// Take reports whether a copy may be sent now, and counts it.
func (h *Hedger) Take() bool {
	if h.saved < 1 {
		return false
	}
	h.saved--
	return true
}

// Return gives back a copy that was not sent.
func (h *Hedger) Return() { h.saved = min(h.saved+1, maxSaved) }

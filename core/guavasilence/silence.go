// Package guavasilence decides how long a request waits for a backend server that sends nothing.
//
// A sound server may send nothing for a second or so and then go on, on all of its connections. A crashed one may look
// the same. So a response that has begun is given up only for a server that can take it over, never for the silence
// alone.
package guavasilence

import (
	"time"

	"guavaridge/core/guavatraffic"
)

const (
	// maxSound is the longest silence of a sound server: a second or so.
	maxSound = 2 * time.Second
	// moveAfter is the least silence after which a stream moves to another server. Callers give up after two seconds at
	// the earliest, so the rest is left for the move.
	moveAfter = 1500 * time.Millisecond
	// responseFactor is the response timeout as a multiple of the route's latency target.
	responseFactor = 2
	// minResponse is the minimum response timeout.
	minResponse = 300 * time.Millisecond
	// gapFactor is the pause between events that counts as a silence, as a multiple of the route's gap target.
	gapFactor = 2
)

// Phase is the part of a response that is awaited.
type Phase string

// Phases of a response.
const (
	// Headers are awaited after the request was sent.
	Headers Phase = "headers"
	// ResumedHeaders are awaited after the request for the rest of a stream was sent.
	ResumedHeaders Phase = "headers of the rest"
	// FirstEvent of a stream is awaited after its headers.
	FirstEvent Phase = "first event"
	// NextEvent of a stream is awaited after events that the caller may have received.
	NextEvent Phase = "next event"
)

// Limits bound a silence. At most one of them is set; the deadline of the request bounds the silence in any case.
type Limits struct {
	// Replace is the silence after which another server is sought while the wait goes on, 0 if the request must not be
	// sent to another one.
	Replace time.Duration
	// Fail is the silence after which the wait ends without another server, 0 for none.
	Fail time.Duration
}

// ResponseTimeout returns the time without a byte of a response after which a server of the route is reported as silent.
func ResponseTimeout(r guavatraffic.Route) time.Duration {
	return max(responseFactor*r.Target, minResponse)
}

// LimitsOf returns the limits of a request that was sent to the given number of servers that may have executed it,
// including the silent one.
//
// A request that has no attempt left waits for its last server. A caller that has received nothing yet may repeat the
// request, so that the wait ends when the server is no longer likely to be sound.
func LimitsOf(r guavatraffic.Route, p Phase, attempts int) Limits {
	if !r.Repeatable() {
		return Limits{}
	}
	last := attempts >= r.Attempts
	switch {
	case last && (p == NextEvent || p == ResumedHeaders):
		return Limits{}
	case last:
		return Limits{Fail: max(ResponseTimeout(r), maxSound)}
	case p == NextEvent:
		return Limits{Replace: max(gapFactor*r.GapTarget, moveAfter)}
	case p == FirstEvent:
		return Limits{Replace: max(gapFactor*r.GapTarget, ResponseTimeout(r))}
	}
	return Limits{Replace: ResponseTimeout(r)}
}

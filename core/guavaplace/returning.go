package guavaplace

import "time"

// RetryDetector tells callers that come back after a refusal from new ones by the time that they still have: most requests of a
// route are new and have the same time, those that come back have less. It is not safe for concurrent use.
type RetryDetector struct {
	usual time.Duration
	votes int
}

const (
	// returnMargin is by how much the time of a new caller may differ from the usual one.
	returnMargin = 60 * time.Millisecond
	// mostVotes bounds how long an old usual time outlives a change.
	mostVotes = 50
)

// Observe takes in the time of a request and reports whether its caller has come back.
func (r *RetryDetector) Observe(left time.Duration) bool {
	switch {
	case left > r.usual+returnMargin || left < r.usual-returnMargin:
		if r.votes--; r.votes < 0 {
			r.usual, r.votes = left, 1
		}
	case r.votes < mostVotes:
		r.votes++
	}
	return left < r.usual-returnMargin
}

package guavaplace

import "time"

// RetryDetector tells retries of refused requests from new requests by their remaining time: most requests of a route
// are new and have the same time, retries have less. It is not safe for concurrent use.
type RetryDetector struct {
	majority time.Duration // most frequent time, by majority vote
	votes    int
}

const (
	// retryMargin is the tolerance around the majority time within which a request counts as new.
	retryMargin = 60 * time.Millisecond
	// maxVotes bounds how many requests it takes to replace the majority time after a change.
	maxVotes = 50
)

// Observe records the remaining time of a request and reports whether the request is a retry.
func (r *RetryDetector) Observe(remaining time.Duration) bool {
	switch {
	case remaining > r.majority+retryMargin || remaining < r.majority-retryMargin:
		if r.votes--; r.votes < 0 {
			r.majority, r.votes = remaining, 1
		}
	case r.votes < maxVotes:
		r.votes++
	}
	return remaining < r.majority-retryMargin
}

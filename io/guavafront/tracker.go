package guavafront

import (
	"context"
	"errors"
	"sync"

	"guavaridge/core/guavaconfig"
)

// Causes of cancellation of a running request, set on its context.
var (
	errWithdrawn    = errors.New("the key was withdrawn")
	errDisconnected = errors.New("the caller has left")
	errDeadline     = errors.New("the deadline has passed")
	errClosing      = errors.New("the server is closing")
)

// trackedRequest is a running request and the key that authenticated it.
type trackedRequest struct {
	key    guavaconfig.Key
	route  string
	cancel context.CancelCauseFunc
}

// valid reports whether the key still exists in s and may use the route.
func (t *trackedRequest) valid(s *guavaconfig.Snapshot) bool {
	k, ok := s.Key(t.key.Name)
	return ok && k.Hash == t.key.Hash && k.Account == t.key.Account && allows(s, k, t.route)
}

// requestTracker holds the running requests that were authenticated by a key.
type requestTracker struct {
	mu       sync.Mutex
	requests map[*trackedRequest]struct{}
}

func newRequestTracker() *requestTracker {
	return &requestTracker{requests: map[*trackedRequest]struct{}{}}
}

func (t *requestTracker) add(r *trackedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r] = struct{}{}
}

func (t *requestTracker) remove(r *trackedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r)
}

func (t *requestTracker) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

// cancelInvalid cancels the requests that s no longer allows and returns their number.
func (t *requestTracker) cancelInvalid(s *guavaconfig.Snapshot) int {
	t.mu.Lock()
	var invalid []*trackedRequest
	for r := range t.requests {
		if !r.valid(s) {
			invalid = append(invalid, r)
			delete(t.requests, r)
		}
	}
	t.mu.Unlock()
	for _, r := range invalid {
		r.cancel(errWithdrawn)
	}
	return len(invalid)
}

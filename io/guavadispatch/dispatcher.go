// Package guavadispatch takes an authenticated request through admission, routing, attempts and retries.
package guavadispatch

import (
	"context"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
)

// Request is a parsed and authenticated request of a caller. Keys are already removed from Header, Path and Body.
type Request struct {
	ID string
	// Account is the client account, or "" on a route open to all.
	Account string
	Route   guavaconfig.Route
	// Model and Adapter are empty for plain services.
	Model   string
	Adapter string
	Method  string
	Path    string
	Header  map[string]string
	Body    []byte
	Stream  bool
	// IdempotencyKey is the caller's IdempotencyKey-Key, or "".
	IdempotencyKey string
	Deadline       time.Time
	// Prompt is the text whose prefix decides cache affinity.
	Prompt string
}

// Dispatcher runs requests. Run returns after the whole answer has been received; events of a stream go to
// sink as they arrive. A failure is a *Error.
type Dispatcher interface {
	Run(ctx context.Context, r Request, sink guavaback.Sink) (guavaback.Response, error)
}

// Error is a request that was refused or failed.
type Error struct {
	// Status is the HTTP status for the caller.
	Status int
	// Code is a short machine-readable reason, for example "rate_limited".
	Code      string
	Execution guavaretry.Execution
	// RetryAfter is the time after which a new try makes sense; 0 when unknown.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

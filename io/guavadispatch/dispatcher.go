// Package guavadispatch takes an authenticated request through rate limiting, admission, routing, attempts and retries.
package guavadispatch

import (
	"context"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
)

// Request is a parsed and authenticated request of a caller. API keys have been removed from Header, Path and Body.
type Request struct {
	ID string
	// Account is the client account, or "" on a route open to all callers.
	Account string
	Route   guavaconfig.Route
	// Model and Adapter are "" for plain services.
	Model   string
	Adapter string
	Method  string
	Path    string
	Header  map[string]string
	Body    []byte
	Stream  bool
	// IdempotencyKey is the value of the caller's Idempotency-Key header, or "".
	IdempotencyKey string
	Deadline       time.Time
	// Prompt is the text whose prefix is used for cache affinity.
	Prompt string
}

// Dispatcher runs requests. Run returns once the complete response has been received; events of a stream go to sink as
// they arrive. An error is a *Error.
type Dispatcher interface {
	Run(ctx context.Context, r Request, sink guavaback.Sink) (guavaback.Response, error)
}

// Error describes why a request was rejected or failed.
type Error struct {
	// Status is the HTTP status of the response to the caller.
	Status int
	// Code is a short machine-readable reason, for example "rate_limited".
	Code string
	// Execution states whether a backend server has executed the request.
	Execution guavaretry.Execution
	// RetryAfter is the time after which the caller may retry; 0 when unknown.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Package guavaback implements the HTTP client of backend servers: model engines and plain services.
package guavaback

import (
	"context"
	"time"

	"guavaridge/core/guavaretry"
)

// Attempt is one attempt to execute a request on one backend server.
type Attempt struct {
	// ID is sent as X-Request-Id. The response must carry the same value.
	ID string
	// Address is the IP address and port of the backend server.
	Address string
	Method  string
	// Path includes the query.
	Path string
	// Header holds the headers to forward, without the API keys of callers.
	Header map[string]string
	Body   []byte
	// Stream allows the response to be a stream of server-sent events. Without it the response is buffered.
	Stream bool
	// Text is the text that was already delivered of a stream that is being resumed, and Tokens its number of tokens.
	Text   string
	Tokens int
}

// Sink receives a streamed response while it arrives. An error from a method fails the attempt.
type Sink interface {
	// Head is called once per stream, before the first Event.
	Head(status int, header map[string]string) error
	// Event is called with the data of each server-sent event, except the final [DONE]. data is valid only during the
	// call.
	Event(data []byte) error
}

// Response is a complete response. For a stream, Body is empty and Tokens is the number of tokens delivered, including
// those of the attempts that it resumes.
type Response struct {
	Status int
	// Header holds the headers to forward to the caller. The values of a repeated header are joined by line feeds.
	Header map[string]string
	Body   []byte
	Tokens int
	// Load is the load reported in HeaderLoad. Load.Slots is 0 if there was no report.
	Load Load
}

// Load is the load report of a model engine.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	KV       float64  `json:"kv"`  // used fraction of the KV cache, 0 to 1
	Age      int64    `json:"age"` // milliseconds since the values were read
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// CacheEvent is one change of the prefix cache of an engine. Sequence numbers can have gaps.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // "add" or "drop"
	Prefix string `json:"prefix"`
}

// Order sets a part of the desired state of an engine. Kind is "model", "adapter", "version" or "role", and Want is
// the desired value. An engine refuses an order whose Epoch is older than one it has seen.
type Order struct {
	Epoch uint64 `json:"epoch"`
	Kind  string `json:"kind"`
	Want  string `json:"want"`
}

// Client sends attempts and orders to backend servers. Its methods are safe for concurrent use.
type Client interface {
	// Do sends one attempt and returns when the response is complete, ctx ends, or the attempt fails. Every error is
	// an *Error. An attempt that fails after it was sent is cancelled at the engine, unless the engine crashed.
	Do(ctx context.Context, a Attempt, sink Sink) (Response, error)
	// Cancel cancels the attempt with the given identifier at an engine.
	Cancel(ctx context.Context, address, id string) error
	// Load reads the load report of an engine.
	Load(ctx context.Context, address string) (Load, error)
	// Events reads the cache events of an engine whose sequence numbers are greater than from.
	Events(ctx context.Context, address string, from uint64) ([]CacheEvent, error)
	// Order sends an order to an engine. It returns ErrFenced if the engine has seen a newer epoch.
	Order(ctx context.Context, address string, o Order) error
	// Close closes idle connections and stops the retries of cancellations.
	Close()
}

// Error describes a failed attempt.
type Error struct {
	// Execution states whether the backend server may have executed the request.
	Execution guavaretry.Execution
	// Crash is true if the connection failed after a part of the request was sent, and ctx had not ended.
	Crash bool
	// Text and Tokens are the text and the number of tokens of a stream delivered until the failure, including those of
	// the attempts that it resumes.
	Text   string
	Tokens int
	// Elapsed is the time from the start of the attempt to the failure.
	Elapsed time.Duration
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Package guavaback is the client of backend servers: model engines and plain services.
package guavaback

import (
	"context"
	"time"

	"guavaridge/core/guavaretry"
)

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	// ID identifies the attempt on the wire (X-Request-Id); the answer must carry the same value.
	ID string
	// Address is the IP number and port of the backend server.
	Address string
	Method  string
	// Path includes the query.
	Path string
	// Header holds the headers to pass on; keys of callers are already removed.
	Header map[string]string
	Body   []byte
	// Stream asks for server-sent events.
	Stream bool
	// Text is the text already delivered of a stream that resumes, and Tokens its number of tokens.
	Text   string
	Tokens int
}

// Sink receives an answer while it arrives. An error from it ends the attempt.
type Sink interface {
	// Head is called once, before the first Event of a stream.
	Head(status int, header map[string]string) error
	// Event is called with the data of each server-sent event of a stream, without the final [DONE].
	Event(data []byte) error
}

// Response is a whole answer. For a stream Body is empty and Tokens counts the events delivered.
type Response struct {
	Status int
	// Header holds the headers for the caller. Values of a repeated header are joined by line feeds.
	Header map[string]string
	Body   []byte
	Tokens int
	// Load is the load that the backend server reported with the answer; Load.Slots is 0 without a report.
	Load Load
}

// Load is the load report of a model engine.
type Load struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	KV       float64  `json:"kv"`  // used part of the KV memory, 0 to 1
	Age      int64    `json:"age"` // milliseconds since the report was true
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// CacheEvent is one change of a prefix cache. Sequence numbers can have gaps.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // "add" or "drop"
	Prefix string `json:"prefix"`
}

// Order tells an engine the wanted state. Kind is "model", "adapter", "version" or "role".
type Order struct {
	Epoch uint64 `json:"epoch"`
	Kind  string `json:"kind"`
	Want  string `json:"want"`
}

// Client sends attempts and orders to backend servers. Every method may be called concurrently.
type Client interface {
	// Do sends one attempt and returns when the answer is complete, ctx ends, or the connection fails.
	// A failure is an *Error. When ctx ends, the attempt is cancelled at the engine.
	Do(ctx context.Context, a Attempt, sink Sink) (Response, error)
	// Cancel cancels an attempt at an engine by its identifier.
	Cancel(ctx context.Context, address, id string) error
	// Load reads the load report of an engine.
	Load(ctx context.Context, address string) (Load, error)
	// Events reads the cache events of an engine after sequence number from.
	Events(ctx context.Context, address string, from uint64) ([]CacheEvent, error)
	// Order sends an order to an engine. ErrFenced means that its epoch is older than one the engine has seen.
	Order(ctx context.Context, address string, o Order) error
	// Close ends idle connections.
	Close()
}

// Error is a failed attempt.
type Error struct {
	// Execution says whether the request can have run.
	Execution guavaretry.Execution
	// Crash is true when the connection broke while the backend server worked on the request.
	Crash bool
	// Text and Tokens tell how far a stream came before it broke.
	Text   string
	Tokens int
	// Elapsed is the time from sending to the failure.
	Elapsed time.Duration
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

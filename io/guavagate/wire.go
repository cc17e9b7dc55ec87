// Package guavagate takes requests from callers to backend servers: it finds the route and client account, waits for a
// place, sends the request, and passes the answer on.
package guavagate

import (
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
)

// Operation is what a caller asks for.
type Operation string

// The operations of callers.
const (
	// Forward passes the request to a server, or submits it as a job on a batch route.
	Forward Operation = "forward"
	// JobResults reads results of a job.
	JobResults Operation = "results"
	// JobEnd ends a job.
	JobEnd Operation = "end"
	// ItemBody reads the body of an item.
	ItemBody Operation = "item"
)

// Request is a caller's request, decoded.
type Request struct {
	Operation Operation
	ID        string
	Host      string
	// Target is the path and query as sent.
	Target string
	Path   string
	Key    string
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
	// Tokens is the memory that the request needs at most, and Output its part that is made.
	Tokens int
	Output int
	// Hint is the caller's estimate of the output, 0 if there is none.
	Hint int
	// Affinity is a hash of the prompt parts that other requests share, 0 for none.
	Affinity uint64
	// LastEventID is the number of the last event that the caller has of a stream, -1 for none.
	LastEventID int
	// Job, Item and After belong to operations on jobs. Wait is how long results may be waited for.
	Job   string
	Item  string
	After int
	Wait  time.Duration
}

// ForwardInfo is what is added to a request on its way to a server.
type ForwardInfo struct {
	Server      string
	Account     string
	Timeout     time.Duration
	LastEventID int // the last event that the caller has, -1 for none
}

// ResponseInfo is what a server says beside the answer itself.
type ResponseInfo struct {
	// NotExecuted answers state that the request did not run.
	NotExecuted bool
	// Misdirected answers come from another server than the one named.
	Misdirected bool
	Load        *guavaplace.Load
}

// Protocol translates messages.
type Protocol interface {
	// DecodeRequest decodes a caller's request.
	DecodeRequest(h *fasthttp.RequestHeader) Request
	// Prepare turns a caller's headers into those for a server.
	Prepare(h *fasthttp.RequestHeader, o ForwardInfo)
	// DecodeResponse decodes the head of a server's answer.
	DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// IDHeader is the name of the header with the identifier.
	IDHeader() string
	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(h *fasthttp.ResponseHeader, after time.Duration)
}

// Package guavagate is the reverse proxy between callers and backend servers. It finds the route and client account of
// a request, acquires a reservation on a server, sends the request and relays the response.
package guavagate

import (
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaplace"
)

// Operation is what a caller requests.
type Operation string

// The operations of callers.
const (
	// Forward forwards the request to a server, or submits it as a job on a batch route.
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
	// Timeout is how long the caller waits, 0 if unknown.
	Timeout time.Duration
	// Tokens is the maximum of engine memory that the request needs, in tokens, and Output the part for output tokens.
	Tokens int
	Output int
	// Hint is the caller's estimate of the number of output tokens, 0 if there is none.
	Hint int
	// Affinity is a hash of the prompt prefix that the request shares with others, 0 for none.
	Affinity uint64
	// Parts are the IDs of the prompt parts that the request shares with others, in order.
	Parts []string
	// LastEventID is the ID of the last event of the stream that the caller has received, -1 for none.
	LastEventID int
	// Fields are the headers that the caller decides and that a server gets exactly as they were decoded. See Protocol.Prepare.
	Fields []Field
	// Conditional requests may get the response of a misdirected one from the addressed server, if it does not meet their condition.
	Conditional bool
	// Job, Item and After belong to operations on jobs. Wait bounds the wait for results.
	Job   string
	Item  string
	After int
	Wait  time.Duration
}

// MisdirectedOutcome returns the outcome of a run that ended with the response to a misdirected request. If it may be due to a
// condition of the caller, it says nothing about the server.
func (r Request) MisdirectedOutcome() guavaplace.Outcome {
	if r.Conditional {
		return guavaplace.Cancelled
	}
	return guavaplace.Misdirected
}

// Field is a header of a request.
type Field struct{ Name, Value string }

// ForwardInfo is added to the headers of a request that is forwarded to a server.
type ForwardInfo struct {
	Server      string
	Account     string
	Timeout     time.Duration
	LastEventID int     // see Request.LastEventID
	Fields      []Field // see Request.Fields
}

// ResponseInfo is what the headers of a server's response state about it and the server.
type ResponseInfo struct {
	// NotExecuted reports that the server did not execute the request.
	NotExecuted bool
	// Misdirected reports that a different server than the addressed one responded.
	Misdirected bool
	// Leaving reports that the addressed server said that it is leaving.
	Leaving bool
	Load    *guavaplace.Load
}

// Protocol encodes and decodes the headers of requests and responses.
type Protocol interface {
	// DecodeRequest decodes a caller's request.
	DecodeRequest(h *fasthttp.RequestHeader) Request
	// Prepare sets h to the header of a request for a server, given the original one of a caller. Each header that the protocol
	// defines has one value at most in h, the one that o holds, whatever the caller has sent. Hop-by-hop headers are removed.
	Prepare(h, original *fasthttp.RequestHeader, o ForwardInfo)
	// DecodeResponse decodes the headers of a server's response.
	DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// IDHeader returns the name of the header that carries the request's ID.
	IDHeader() string
	// SetRetryAfter tells the caller when it may retry.
	SetRetryAfter(h *fasthttp.ResponseHeader, after time.Duration)
}

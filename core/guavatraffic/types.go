package guavatraffic

import "time"

// Kind determines how often a request of a route may be executed.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests are executed at most once for each attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream requests have a stream of events as response. They are executed at most once unless the route is
	// resumable.
	Stream Kind = "stream"
	// Batch routes accept jobs, whose items are executed later.
	Batch Kind = "batch"
)

// Route directs the requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Targets  []Target
	Priority int // 0 is the highest
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration
	// Target is the latency target of the response, or of the first event of a stream.
	Target time.Duration
	// GapTarget is the target for the time between two events of a stream.
	GapTarget time.Duration
	// CompletionTarget is the time from a job's first submission to the deadline of its results.
	CompletionTarget time.Duration
	// Retention is the time from a job's first submission after which its items may be abandoned.
	Retention time.Duration
	// WaitingTokens is the maximum number of tokens that an account may have waiting on a batch route, over all VMs; 0 for
	// no limit.
	WaitingTokens int
	// Attempts is the maximum number of servers on which one request may be executed.
	Attempts int
	// Open routes accept requests without a key.
	Open bool
	// Resumable streams may continue on another server after the last event received.
	Resumable bool
}

// Repeatable reports whether a request that may have been executed may be retried.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is a service with its weight on a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Memory is the capacity of a server's KV cache in tokens, 0 if the service runs no models.
	Memory int
	// Stride is the typical number of tokens in one event of a stream, 0 if unknown.
	Stride int
	// Slots is the concurrency limit of a server, 0 if only the servers announce it.
	Slots int
	// Connections is the number of connections that a server accepts from all callers together, 0 if there is no limit.
	Connections int
	// ColdTime is how long a server is slow after its start, and ColdRate the number of requests per second that it tolerates
	// meanwhile; 0 if it tolerates any.
	ColdTime time.Duration
	ColdRate float64
	// ColdStarts is the number of requests that one VM sends a cold server in a second at most, 0 if there is no limit.
	ColdStarts int
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // overrides that of a route, if set
	// Rate is the limit of requests per second over all VMs; 0 means no limit.
	Rate  float64
	Burst float64
}

// Limits are the limits on requests of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Server is a backend server as it announces itself.
type Server struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Leaving servers accept no new requests.
	Leaving bool
	// Cold is the remaining time of the server's warm-up, in which it is slow, as the server said.
	Cold time.Duration
	// ColdUntil is the end of the warm-up by the clock of this VM. The zero time says that the server is warm.
	ColdUntil time.Time
	// Born is the Unix time of the server's start in milliseconds, 0 if unknown. It distinguishes a restarted server
	// from the previous process with the same ID.
	Born int64
}

// Incarnation returns the identity of the server's process.
func (s Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, Address: s.Address, Born: s.Born}
}

// Incarnation identifies a process of a server. A server that restarts may keep its ID, its address or both.
type Incarnation struct {
	ID      string
	Address string
	Born    int64 // see Server.Born
}

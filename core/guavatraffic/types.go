package guavatraffic

import "time"

// Kind says how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests may run at most once for each attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a series of events. They run once unless the route is resumable.
	Stream Kind = "stream"
	// Batch routes take jobs, whose items run later.
	Batch Kind = "batch"
)

// Route leads requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Targets  []Target
	Priority int // 0 is the highest
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a stream, is on time.
	Target time.Duration
	// GapTarget is the longest pause between the events of a stream that is on time.
	GapTarget time.Duration
	// CompletionTarget is the time after a job's first submission within which its results are due.
	CompletionTarget time.Duration
	// Retention is the time after a job's first submission from which its items may be given up.
	Retention time.Duration
	// Attempts is the largest number of servers on which one request may run.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another server after the last event received.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again after it may have run.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Memory is the number of tokens that a server's memory holds, 0 if the service runs no models.
	Memory int
	// Stride is the number of tokens that an event of a stream usually holds, 0 if unknown.
	Stride int
	// Slots is the number of requests that a server runs at once, 0 if only the servers tell.
	Slots int
	// Connections is the number of connections that a server accepts from all callers together, 0 if there is no bound.
	Connections int
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // goes before that of a route, if set
	// Rate is the number of requests a second over all VMs; 0 means no limit.
	Rate  float64
	Burst float64
}

// Limits bound what callers may send.
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
	// Leaving servers take no new requests.
	Leaving bool
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
	// Born is the Unix time of the server's start in milliseconds, 0 if unknown. It tells a restarted server from its
	// predecessor of the same ID.
	Born int64
}

// Package guavaplace decides where, when and whether work runs on the backend servers of one service.
//
// One VM decides for a service at a time, so that the free places of all servers and everything that waits are seen
// together. Decisions depend on calls and the times passed to them only.
package guavaplace

import "time"

// Key identifies a request: the VM that asks and its number there.
type Key struct {
	VM     string
	Number uint64
}

// Class tells work that a caller waits for from batch items.
type Class string

// The classes of work.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// Request asks for a place on a server. Its times count from the moment of its submission, so that clocks of VMs
// need not agree.
type Request struct {
	Key      Key
	Class    Class
	Priority int    // 0 is the highest
	Domain   string // failure domain of the VM that asks
	// Start is the time after which the answer of an online request begins too late to be on time.
	Start time.Duration
	// Patience is the time after which an online request is refused.
	Patience time.Duration
	// Due is the time until a batch item's result is due.
	Due time.Duration
	// Returning requests were refused before and come again.
	Returning bool
	// Tokens is the memory that the request needs on an engine.
	Tokens int
	// Work is the expected number of tokens of output, 0 if unknown.
	Work float64
	// Made is the number of tokens of output that a batch item has from earlier runs.
	Made float64
	// Affinity is a hash of the prompt part that the request shares with others, 0 for none.
	Affinity uint64
	// Content names what an online request asks for, by the sum of its fingerprint, so that one that crashes servers is known
	// when it comes again; 0 if it has none.
	Content uint64
	// Avoid lists servers that the request has been to.
	Avoid []string
}

// Action is what happens to a request.
type Action string

// The actions of a Decision.
const (
	// Run sends the request to Server.
	Run Action = "run"
	// Wait says that the request waits; another decision follows.
	Wait Action = "wait"
	// Refuse answers that the request has not run and may come again after After.
	Refuse Action = "refuse"
	// Yield ends the running batch item, which may be submitted again with what is left of it.
	Yield Action = "yield"
)

// Decision is what the scheduler decided about a request.
type Decision struct {
	Key    Key
	Action Action
	// Server and Address say where a request runs.
	Server  string
	Address string
	// Expected is the time that a request which runs is expected to take from now to the first byte of its answer.
	Expected time.Duration
	// After is when a refused caller may come again.
	After time.Duration
	// Reason says in a word why a request was refused.
	Reason string
	// Waited is the time between submission and decision.
	Waited time.Duration
}

// CrashReason is the Reason for which a request is refused that crashes the servers which run it.
const CrashReason = "crashes servers"

// Outcome is how a run ended.
type Outcome string

// The outcomes of runs.
const (
	// Done runs ended with an answer of the server.
	Done Outcome = "done"
	// Cancelled runs were ended by the caller or by a Yield.
	Cancelled Outcome = "cancelled"
	// Shed runs were turned away by the server and have not run.
	Shed Outcome = "shed"
	// Unreachable servers did not accept a connection.
	Unreachable Outcome = "unreachable"
	// Misdirected runs reached another server at the address.
	Misdirected Outcome = "misdirected"
	// ConnectionLost runs lost their connection.
	ConnectionLost Outcome = "broken"
	// TimedOut runs got no byte of an answer in time.
	TimedOut Outcome = "silent"
	// Failed runs were answered with a server error.
	Failed Outcome = "failed"
)

// Load is what a server said of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Report ends a run.
type Report struct {
	Key     Key
	Outcome Outcome
	// Work is the number of tokens of output that the run made.
	Work float64
}

// ActiveRun is a run that a VM got a place for, possibly from another scheduler.
type ActiveRun struct {
	Request Request
	Server  string
	// Age is how long it has run.
	Age time.Duration
}

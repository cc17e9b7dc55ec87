// Package guavaplace decides where, when and whether work runs on the backend servers of one service.
//
// One VM, the coordinator, decides for a service at a time, so that it sees the free slots of all servers and all
// waiting requests together. Decisions depend only on the calls made and the times passed to them.
package guavaplace

import "time"

// Key identifies a request by the VM that submits it and a number that is unique there.
type Key struct {
	VM     string
	Number uint64
}

// Class separates interactive requests from batch items.
type Class string

// Request classes.
const (
	Online Class = "online"
	Batch  Class = "batch"
)

// Request is a request for a slot on a server. Its durations count from its submission, so that the clocks of the VMs
// need not agree.
type Request struct {
	Key      Key
	Class    Class
	Priority int    // 0 is the highest
	Domain   string // failure domain of the VM that submits the request
	// Start is the time within which the response to an online request has to begin to meet its latency target.
	Start time.Duration
	// Patience is the maximum wait: after it, an online request is refused.
	Patience time.Duration
	// Due is the time that remains until the deadline of a batch item's result.
	Due time.Duration
	// Returning marks a retry of a request that was refused before.
	Returning bool
	// Spare marks a copy of a running request. It gets a free slot while many are free, and is refused at once otherwise.
	Spare bool
	// Repeat marks a request after an attempt that may have been executed. Its caller can't be told to retry it.
	Repeat bool
	// Tokens is the engine memory that the request needs, in tokens.
	Tokens int
	// Work is the expected number of output tokens, 0 if unknown.
	Work float64
	// Made is the number of output tokens that earlier runs of a batch item have generated.
	Made float64
	// Affinity is a hash of the prompt prefix that the request shares with others, 0 for none.
	Affinity uint64
	// Content is the sum of the fingerprint of the request, by which a retry of a request that crashes servers is
	// recognized; 0 if it has none.
	Content uint64
	// Parts identify the prompt parts that the request shares with others, in order, as guavapoison.PartTraits returns
	// them.
	Parts []uint64
	// Avoid lists the servers that earlier attempts of the request were sent to. A batch item avoids them for avoidTime.
	Avoid []string
}

// Action is the kind of a Decision.
type Action string

// Actions of a Decision.
const (
	// Run sends the request to Server.
	Run Action = "run"
	// Wait puts the request into the queue; another decision follows.
	Wait Action = "wait"
	// Refuse rejects the request before execution; the caller may retry after After.
	Refuse Action = "refuse"
	// Yield preempts the running batch item, whose remaining work may be submitted again.
	Yield Action = "yield"
)

// Decision is the scheduler's decision about a request.
type Decision struct {
	Key    Key
	Action Action
	// Server and Address are those of the server that runs the request.
	Server  string
	Address string
	// Born is the start time of the server, as in guavatraffic.Server.
	Born int64
	// Expected is the expected time from now to the first byte of the response to a request that runs.
	Expected time.Duration
	// After is the time after which the caller of a refused request may retry.
	After time.Duration
	// Reason is a short text that says why a request was refused.
	Reason string
	// Waited is the time between submission and decision.
	Waited time.Duration
	// Watched asks the VM to report at once when the server gets beyond the begin of its answer: a part of the prompt is
	// suspected of crashing servers, or the answer takes long.
	Watched bool
}

// CrashReason is the Reason of decisions that refuse a request because it crashes the servers that run it.
const CrashReason = "crashes servers"

// Outcome is the way in which a run ended.
type Outcome string

// Outcomes of runs.
const (
	// Done means that the server completed its response.
	Done Outcome = "done"
	// Cancelled means that the caller or a Yield ended the run.
	Cancelled Outcome = "cancelled"
	// Shed means that the server rejected the request without executing it.
	Shed Outcome = "shed"
	// Unreachable means that the server did not accept a connection.
	Unreachable Outcome = "unreachable"
	// Misdirected means that a different server responded at the address.
	Misdirected Outcome = "misdirected"
	// ConnectionLost means that the connection broke during the run.
	ConnectionLost Outcome = "broken"
	// TimedOut means that no byte of a response arrived in time.
	TimedOut Outcome = "silent"
	// Malformed means that the server sent something that is no response to the request. It says nothing about the request.
	Malformed Outcome = "malformed"
	// Failed means that the server responded with a server error.
	Failed Outcome = "failed"
)

// Load is the load that a server reported in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the server's machine at this moment, relative to the usual time; 0 if unknown.
	Pace float64
}

// Report tells the scheduler how a run ended.
type Report struct {
	Key     Key
	Outcome Outcome
	// Work is the number of output tokens that the run generated.
	Work float64
	// Begun reports that the server got beyond the begin of its answer: what the request shares with others does not crash
	// the servers that run it.
	Begun bool
}

// ActiveRun is a run for which a VM uses a slot, possibly granted by another scheduler.
type ActiveRun struct {
	Request Request
	Server  string
	// Age is the time since the run began.
	Age time.Duration
}

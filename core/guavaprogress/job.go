// Package guavaprogress implements the state of batch jobs whose items are executed as streams, and the rules for
// retrying items and giving them up.
package guavaprogress

import "time"

// Job is the stored state of a job.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Route   string `json:"route"`
	// Service is the service to which the route led when the job was accepted.
	Service string `json:"service"`
	Host    string `json:"host"`
	// Version is the version of the configuration under which the job was accepted; 0 in jobs of builds that did not store it.
	Version uint64 `json:"version,omitempty"`
	Total   int    `json:"total"`
	// ResultCount is the number of results; they have the positions 0 to ResultCount-1.
	ResultCount int `json:"listed"`
	// WaitingTokens is the sum of Item.Tokens over the items without a result.
	WaitingTokens int `json:"tokens,omitempty"`
	// Ended is true when the client ended the job.
	Ended bool `json:"ended,omitempty"`
	// Owner is the VM that runs the job, and Incarnation identifies its process. Any VM may take over a job without owner.
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// Accepted, Deadline and RetainedUntil are in Unix milliseconds: when the job was accepted, by when the results are
	// expected, and when items without a result are given up.
	Accepted      int64 `json:"accepted"`
	Deadline      int64 `json:"due"`
	RetainedUntil int64 `json:"retained"`
	// ClosedAt is the Unix time in milliseconds of the last result or of the client's end of the job; 0 before.
	ClosedAt    int64 `json:"closed,omitempty"`
	MaxAttempts int   `json:"attempts"`
	Priority    int   `json:"priority"`
}

// IsOpen reports whether the job has unfinished items.
func (j Job) IsOpen() bool { return !j.Ended && j.ResultCount < j.Total }

// IsOwnedBy reports whether the process with this incarnation on the VM owns the job.
func (j Job) IsOwnedBy(vm string, incarnation uint64) bool {
	return j.Owner == vm && j.Incarnation == incarnation
}

// WithOwner returns the job with a new owner.
func (j Job) WithOwner(vm string, incarnation uint64) Job {
	j.Owner, j.Incarnation = vm, incarnation
	return j
}

// WithResults returns the job with more results, whose items have the given tokens. It is closed when it has all.
func (j Job) WithResults(more, tokens int, now time.Time) Job {
	j.ResultCount += more
	j.WaitingTokens = max(j.WaitingTokens-tokens, 0)
	if j.ResultCount >= j.Total && j.ClosedAt == 0 {
		j.ClosedAt = now.UnixMilli()
	}
	return j
}

// WithEnd returns the job as ended by its client.
func (j Job) WithEnd(now time.Time) Job {
	j.Ended = true
	if j.ClosedAt == 0 {
		j.ClosedAt = now.UnixMilli()
	}
	return j
}

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the maximum number of prompt and output tokens, which occupy memory on the server. Output is the maximum
	// number of output tokens.
	Tokens int
	Output int
	// Hint is the caller's estimate of the output tokens; 0 for none.
	Hint int
	// Affinity is a hash of the prompt prefix shared with other items; 0 for none.
	Affinity uint64
	// Parts are the IDs of the prompt parts shared with other items, in order.
	Parts []string
}

// State is the final state of an item.
type State string

// Final states of an item.
const (
	Succeeded State = "succeeded"
	Dead      State = "dead"
)

// Result is the stored result of an item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text"`
	// Object is the name of the object with the text, if the text is too long for a table row.
	Object string `json:"object,omitempty"`
	// Reason is why the item was given up.
	Reason string `json:"reason,omitempty"`
}

// Package guavaprogress implements the state of batch jobs whose items are executed as streams, and the rules for
// retrying items and giving them up.
package guavaprogress

import (
	"errors"
	"time"
)

// Job is the stored state of a job.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Route   string `json:"route"`
	// Service is the service that executes the items.
	Service string `json:"service"`
	Host    string `json:"host"`
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

// ErrOutOfOrder means that the number of an event does not follow that of the previous event.
var ErrOutOfOrder = errors.New("event out of order")

// Progress is the received part of an item's stream, with its counts of failures.
type Progress struct {
	text      []byte
	lastEvent int
	events    int
	// failures counts responses that report a failed execution. crashes counts consecutive attempts that broke off before
	// any event; it only paces retries, and is not saved.
	failures int
	crashes  int
}

// NewProgress returns the progress of an item without attempts.
func NewProgress() *Progress { return &Progress{lastEvent: -1} }

// SavedProgress is a Progress as it is stored.
type SavedProgress struct {
	Text     string `json:"text"`
	Last     int    `json:"last"`
	Events   int    `json:"events"`
	Failures int    `json:"failures"`
}

// Save returns the progress in the form in which it is stored.
func (p *Progress) Save() SavedProgress {
	return SavedProgress{Text: string(p.text), Last: p.lastEvent, Events: p.events, Failures: p.failures}
}

// Restore returns the Progress from its stored form.
func Restore(s SavedProgress) *Progress {
	return &Progress{text: []byte(s.Text), lastEvent: s.Last, events: s.Events, failures: s.Failures}
}

// LastEvent returns the number of the last event; -1 before the first.
func (p *Progress) LastEvent() int { return p.lastEvent }

// Events returns the number of received events.
func (p *Progress) Events() int { return p.events }

// Text returns the data of all events, separated by line feeds.
func (p *Progress) Text() string { return string(p.text) }

// TextSize returns the length of Text in bytes.
func (p *Progress) TextSize() int { return len(p.text) }

// AddEvent appends the data of an event. Event numbers are consecutive, with any first number; otherwise it returns
// ErrOutOfOrder.
func (p *Progress) AddEvent(id int, data []byte) error {
	if p.events > 0 && id != p.lastEvent+1 {
		return ErrOutOfOrder
	}
	if p.events > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, data...)
	p.lastEvent = id
	p.events++
	return nil
}

// Action is what to do with an item after a failed attempt.
type Action string

// Actions after a failed attempt.
const (
	// Retry resumes the item after its last event.
	Retry Action = "again"
	// RetryAfterDelay resumes the item after RetryDelay.
	RetryAfterDelay Action = "hold"
	// GiveUp ends the item in state Dead.
	GiveUp Action = "give up"
)

const (
	// RetryDelay is the delay before an item is retried whose attempts keep breaking off. It limits the load on servers
	// that restart in turn. It does not grow: the servers are at fault, so the item is due as soon as they have recovered.
	RetryDelay = time.Second
	// crashThreshold is the number of consecutive attempts without an event from which retries are delayed.
	crashThreshold = 3
)

// RecordFailure records a response that reports a failed execution, and returns GiveUp after the given number of them.
func (p *Progress) RecordFailure(maxAttempts int) Action {
	p.failures++
	if p.failures >= maxAttempts {
		return GiveUp
	}
	return Retry
}

// RecordCrash records an attempt that broke off, with the number of events it produced. Any event resets the count of
// crashes.
func (p *Progress) RecordCrash(events int) Action {
	if events > 0 {
		p.crashes = 0
		return Retry
	}
	p.crashes++
	if p.crashes >= crashThreshold {
		return RetryAfterDelay
	}
	return Retry
}

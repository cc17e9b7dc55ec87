// Package guavaprogress holds the states of batch jobs whose items run as streams, and the rules for when an item is done,
// sent again, or given up.
package guavaprogress

import (
	"errors"
	"time"
)

// Job is what is durable about a job.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Route   string `json:"route"`
	// Service runs the items.
	Service string `json:"service"`
	Host    string `json:"host"`
	Total   int    `json:"total"`
	// ResultCount is the number of results, which stand at positions 0 to ResultCount-1.
	ResultCount int `json:"listed"`
	// Ended jobs were ended by their client.
	Ended bool `json:"ended,omitempty"`
	// Owner is the VM that runs the job, and Incarnation the start of its process. An empty owner leaves the job to others.
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// Times in Unix milliseconds: when the job was accepted, when results are due, when items may be given up.
	Accepted      int64 `json:"accepted"`
	Deadline      int64 `json:"due"`
	RetainedUntil int64 `json:"retained"`
	// ClosedAt is when the job got its last result or was ended, 0 before.
	ClosedAt    int64 `json:"closed,omitempty"`
	MaxAttempts int   `json:"attempts"`
	Priority    int   `json:"priority"`
}

// IsOpen reports whether the job has items to run.
func (j Job) IsOpen() bool { return !j.Ended && j.ResultCount < j.Total }

// IsOwnedBy reports whether a process owns the job.
func (j Job) IsOwnedBy(vm string, incarnation uint64) bool {
	return j.Owner == vm && j.Incarnation == incarnation
}

// WithOwner returns the job with another owner.
func (j Job) WithOwner(vm string, incarnation uint64) Job {
	j.Owner, j.Incarnation = vm, incarnation
	return j
}

// WithResults returns the job with more results.
func (j Job) WithResults(more int, now time.Time) Job {
	j.ResultCount += more
	if j.ResultCount >= j.Total && j.ClosedAt == 0 {
		j.ClosedAt = now.UnixMilli()
	}
	return j
}

// WithEnd returns the job ended by its client.
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
	// Tokens is the memory that the item needs at most, and Output its part that is made.
	Tokens int
	Output int
	Hint   int
	// Affinity is a hash of the prompt parts that other items share, 0 for none.
	Affinity uint64
}

// State is the final state of an item.
type State string

// The final states.
const (
	Succeeded State = "succeeded"
	Dead      State = "dead"
)

// Result is a listed item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text"`
	// Object names the object that holds the text, if it is too long for a row.
	Object string `json:"object,omitempty"`
	// Reason says why an item was given up.
	Reason string `json:"reason,omitempty"`
}

// ErrOutOfOrder means that an event does not follow the one before.
var ErrOutOfOrder = errors.New("event out of order")

// Progress is what an item has so far.
type Progress struct {
	text   []byte
	last   int
	events int
	// failures counts answers that say that the item ran and failed,
	// crashes runs that ended without any event because the server died.
	failures int
	crashes  int
}

// NewProgress returns the progress of an item that has not run.
func NewProgress() *Progress { return &Progress{last: -1} }

// SavedProgress is progress as it is kept in the store.
type SavedProgress struct {
	Text     string `json:"text"`
	Last     int    `json:"last"`
	Events   int    `json:"events"`
	Failures int    `json:"failures"`
	Crashes  int    `json:"crashes"`
}

// Save returns the progress for the store.
func (p *Progress) Save() SavedProgress {
	return SavedProgress{Text: string(p.text), Last: p.last, Events: p.events, Failures: p.failures, Crashes: p.crashes}
}

// Restore returns the progress that was saved.
func Restore(s SavedProgress) *Progress {
	return &Progress{text: []byte(s.Text), last: s.Last, events: s.Events, failures: s.Failures, crashes: s.Crashes}
}

// LastEvent returns the number of the last event, -1 before the first.
func (p *Progress) LastEvent() int { return p.last }

// Events returns the number of events so far.
func (p *Progress) Events() int { return p.events }

// Text returns the data of all events, separated by line feeds.
func (p *Progress) Text() string { return string(p.text) }

// AddEvent takes in an event. Numbers of events follow each other without gaps; the first may be any.
func (p *Progress) AddEvent(id int, data []byte) error {
	if p.events > 0 && id != p.last+1 {
		return ErrOutOfOrder
	}
	if p.events > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, data...)
	p.last = id
	p.events++
	return nil
}

// Action is what follows a run.
type Action string

// The verdicts on items.
const (
	// Retry sends the item again, from where it stands.
	Retry Action = "again"
	// RetryAfterBackoff keeps the item back for a while: it seems to crash servers.
	RetryAfterBackoff Action = "hold"
	// GiveUp lists the item as dead.
	GiveUp Action = "give up"
)

const (
	// mostCrashes is the number of servers that an item may crash before it is held back.
	mostCrashes = 3
	// leastHold is the first time for which an item is held back: servers that go down and up by turns are back in it.
	// Further ones are holdGrowth times longer each, at most mostHold: 3, 12 and 30 s fit into a retention of a minute.
	leastHold  = 3 * time.Second
	holdGrowth = 4
	mostHold   = 30 * time.Second
)

// RecordFailure takes in an answer that says that the item ran and failed.
func (p *Progress) RecordFailure(attempts int) Action {
	p.failures++
	if p.failures >= attempts {
		return GiveUp
	}
	return Retry
}

// Backoff is how long an item that seems to crash servers is held back before a single further run. The first time is short:
// servers that come and go look the same, and a fleet in trouble recovers within seconds. Each further one is longer, so that an
// item which does crash servers gets three more runs in the retention of a minute.
func (p *Progress) Backoff() time.Duration {
	hold := leastHold
	for range p.crashes - mostCrashes {
		hold = min(holdGrowth*hold, mostHold)
	}
	return hold
}

// RecordCrash takes in a run that broke off, with the number of events that it had made.
func (p *Progress) RecordCrash(made int) Action {
	if made > 0 {
		p.crashes = 0
		return Retry
	}
	p.crashes++
	if p.crashes >= mostCrashes {
		return RetryAfterBackoff
	}
	return Retry
}

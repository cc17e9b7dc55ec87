package guavaprogress

import (
	"errors"
	"time"
)

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
	// partial is true if a part of the event after the last one has arrived, so that the text is not complete.
	partial bool
	// emptyRests counts the complete responses without an event to requests for the rest, since the last event, and stalls
	// all responses to them that brought no event.
	emptyRests int
	stalls     int
	// state and reason are those of the item's result, once it has one.
	state  State
	reason string
}

// NewProgress returns the progress of an item without attempts.
func NewProgress() *Progress { return &Progress{lastEvent: -1} }

// SavedProgress is a Progress as it is stored.
type SavedProgress struct {
	Text     string `json:"text"`
	Last     int    `json:"last"`
	Events   int    `json:"events"`
	Failures int    `json:"failures"`
	Partial  bool   `json:"partial,omitempty"`
	// State and Reason are those of a result that is not stored yet.
	State  State  `json:"state,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// IsValid reports whether a Progress can have this form.
func (s SavedProgress) IsValid() bool {
	// Events have consecutive numbers from 0 or above, and -1 stands for none.
	if s.Failures < 0 || s.Events < 0 || s.Last < s.Events-1 || (s.Events == 0) != (s.Last == -1) {
		return false
	}
	return s.State == "" || s.State == Dead || (s.State == Succeeded && s.Events > 0)
}

// Save returns the progress in the form in which it is stored.
func (p *Progress) Save() SavedProgress {
	return SavedProgress{
		Text: string(p.text), Last: p.lastEvent, Events: p.events, Failures: p.failures, Partial: p.partial,
		State: p.state, Reason: p.reason,
	}
}

// Restore returns the Progress from its stored form.
func Restore(s SavedProgress) *Progress {
	return &Progress{
		text: []byte(s.Text), lastEvent: s.Last, events: s.Events, failures: s.Failures, partial: s.Partial,
		state: s.State, reason: s.Reason,
	}
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
	p.partial, p.emptyRests, p.stalls = false, 0, 0
	return nil
}

// RecordPartialEvent records that a part of the event after the last one has arrived.
func (p *Progress) RecordPartialEvent() { p.partial = true }

// Finish records the item's result: Succeeded with the text received, or Dead for a reason.
func (p *Progress) Finish(s State, reason string) { p.state, p.reason = s, reason }

// Result returns the result of the item with the ID, and whether it has one.
func (p *Progress) Result(id string) (Result, bool) {
	r := Result{ID: id, State: p.state, Reason: p.reason}
	if p.state == Succeeded {
		r.Text = string(p.text)
	}
	return r, p.state != ""
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
	// Complete ends the item in state Succeeded.
	Complete Action = "done"
)

const (
	// RetryDelay is the delay before an item is retried whose attempts keep breaking off. It limits the load on servers
	// that restart in turn. It does not grow: the servers are at fault, so the item is due as soon as they have recovered.
	RetryDelay = time.Second
	// crashThreshold is the number of consecutive attempts without an event from which retries are delayed.
	crashThreshold = 3
	// minEmptyRests is the number of complete responses without an event from which the text counts as complete. A single
	// one may come from a faulty server.
	minEmptyRests = 2
	// maxStalls is the number of consecutive responses to requests for the rest, none of which brings an event or shows that
	// there is none, after which the item is executed again from its start.
	maxStalls = 3
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

// RecordEmptyRest records a response without an event to a request for the rest of the stream, and returns what to do next.
// The item may be complete: then the end of an earlier response was lost. delimited reports whether the response had a
// length or chunks. Others may have been broken off before their first event, and prove nothing.
func (p *Progress) RecordEmptyRest(delimited bool) Action {
	if delimited && !p.partial {
		if p.emptyRests++; p.emptyRests >= minEmptyRests {
			return Complete
		}
	}
	return p.stall()
}

// RecordWrongRest records a response to a request for the rest of the stream whose events do not follow the last one, and
// returns what to do next.
func (p *Progress) RecordWrongRest() Action { return p.stall() }

// stall counts a response that brings the item no nearer to its end. After too many, the item loses its events, since a
// response from the start shows its end.
func (p *Progress) stall() Action {
	if p.stalls++; p.stalls < maxStalls {
		return Retry
	}
	*p = Progress{lastEvent: -1, failures: p.failures}
	return RetryAfterDelay
}

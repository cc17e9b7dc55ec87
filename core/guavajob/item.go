package guavajob

import (
	"slices"
	"time"

	"guavaridge/core/guavaretry"
)

const (
	// MaxAttempts is the maximum number of attempts to execute an item.
	MaxAttempts = 4
	// MaxCrashes is the number of server crashes after which an item that ran alone fails. Alone means without other batch
	// items: an online request on the same server can still be the cause. guavapoison bans such a request after two
	// consecutive crashes, so a third one is attributed to the item.
	MaxCrashes = 3
	// MaxRefusals bounds the failures in which an overloaded or unreachable server did not execute the item. They do not
	// count as attempts. With a backoff of up to 30 s between them, the limit outlasts an outage of 45 minutes.
	MaxRefusals = 100
	// minRetryDelay and maxRetryDelay bound the backoff before a retry.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// Item is the state of one item of a claimed chunk.
type Item struct {
	State    ItemState
	Attempts int
	Crashes  int
	Refusals int
	// Tried are the servers to which the item was sent.
	Tried []string
	// Ready is the earliest time of the next attempt.
	Ready time.Time
	// Text and Tokens are what was received of a stream before it was cancelled or its connection failed.
	Text   string
	Tokens int
}

// NewItem returns a pending item without attempts.
func NewItem() Item { return Item{State: itemChart.Start()} }

// Outcome is the outcome of an attempt.
type Outcome struct {
	// Ran says whether the server may have executed the item; Executed with a Status for a complete response.
	Ran    guavaretry.Execution
	Status int
	Crash  bool
	// Yielded is true when the attempt was cancelled to free capacity for online traffic.
	Yielded bool
	// Cancelled and Expired are true when the attempt was stopped because its job was cancelled or missed its deadline.
	Cancelled bool
	Expired   bool
	Text      string
	Tokens    int
}

// Transition applies an event and reports whether the item's state allows it.
func (i *Item) Transition(e ItemEvent) bool {
	next, ok := itemChart.Next(i.State, e)
	if ok {
		i.State = next
	}
	return ok
}

// Send records the start of an attempt on a server. It returns false when the item's state does not allow it.
func (i *Item) Send(server string) bool {
	if !i.Transition(ItemSend) {
		return false
	}
	i.Attempts++
	if !slices.Contains(i.Tried, server) {
		i.Tried = append(i.Tried, server)
	}
	return true
}

// EndAttempt applies the outcome of an attempt that started with Send, and returns the resulting event. idempotent says
// whether the item's route is idempotent.
func (i *Item) EndAttempt(o Outcome, idempotent bool, now time.Time) ItemEvent {
	e := i.classify(o, idempotent, now)
	i.Transition(e)
	return e
}

func (i *Item) classify(o Outcome, idempotent bool, now time.Time) ItemEvent {
	i.saveProgress(o)
	responded := o.Status != 0
	// A service that is not idempotent may have executed a request that it responds to with 503.
	refused := o.Ran == guavaretry.NotExecuted || (idempotent && (o.Status == 429 || o.Status == 503))
	if responded && !refused && (o.Status < 500 || !idempotent) {
		return ItemRespond
	}
	if o.Ran != guavaretry.NotExecuted && !responded && !idempotent {
		return ItemMarkUnknown
	}
	switch {
	case o.Cancelled:
		return ItemCancel
	case o.Expired:
		return ItemExpire
	case o.Yielded:
		i.Attempts--
		return ItemYield
	case refused:
		i.Attempts--
		i.Refusals++
		i.scheduleRetry(i.Refusals, now)
		if i.Refusals >= MaxRefusals {
			return ItemExhaust
		}
		return ItemFail
	case o.Crash:
		i.Crashes++
		if i.Attempts >= MaxAttempts || (i.State == ItemRunningAlone && i.Crashes >= MaxCrashes) {
			return ItemExhaust
		}
		return ItemCrash
	case i.Attempts >= MaxAttempts:
		return ItemExhaust
	default:
		i.scheduleRetry(i.Attempts, now)
		return ItemFail
	}
}

// saveProgress stores the received part of a stream when it is longer than that of earlier attempts.
func (i *Item) saveProgress(o Outcome) {
	if o.Tokens > i.Tokens {
		i.Text, i.Tokens = o.Text, o.Tokens
	}
}

// scheduleRetry sets the time of the next attempt by exponential backoff after the nth failure.
func (i *Item) scheduleRetry(n int, now time.Time) {
	i.Ready = now.Add(min(minRetryDelay<<min(n-1, 20), maxRetryDelay))
}

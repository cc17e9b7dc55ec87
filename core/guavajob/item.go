package guavajob

import (
	"slices"
	"time"

	"guavaridge/core/guavaretry"
)

const (
	// MaxAttempts is the largest number of times that an item is sent to backend servers.
	MaxAttempts = 4
	// MaxCrashes is the number of crashes after which an item that crashed a server while it ran alone ends with an
	// error. Alone means without other batch work: an online request can be the cause. That is refused everywhere after
	// two crashes one after the other (guavapoison), so a third in a row is the item's own.
	MaxCrashes = 3
	// MaxRefusals bounds the answers "not run" of overloaded or unreachable servers. They do not count as attempts:
	// at a wait of up to 30 s this outlasts an outage of 45 minutes.
	MaxRefusals = 100
	// firstWait and lastWait bound the wait before an item is sent again.
	firstWait = 200 * time.Millisecond
	lastWait  = 30 * time.Second
)

// Item is the progress of one item of a claimed chunk.
type Item struct {
	State    ItemState
	Attempts int
	Crashes  int
	Refusals int
	// Tried are the servers that got the item.
	Tried []string
	// Ready is the earliest time of the next attempt.
	Ready time.Time
	// Text and Tokens are the part of a stream that was received before it was cancelled or broke.
	Text   string
	Tokens int
}

// NewItem returns an item that waits for its first attempt.
func NewItem() Item { return Item{State: itemChart.Start()} }

// Outcome is how an attempt ended.
type Outcome struct {
	// Ran says whether the attempt can have run; Done with a status for an answer.
	Ran    guavaretry.Execution
	Status int
	Crash  bool
	// Yielded is true when the attempt was cancelled for online traffic.
	Yielded bool
	// Cancelled and Expired are true when the attempt was ended because its job was cancelled or is overdue.
	Cancelled bool
	Expired   bool
	Text      string
	Tokens    int
}

// Transition applies an event and reports whether it is allowed in the item's state.
func (i *Item) Transition(e ItemEvent) bool {
	next, ok := itemChart.Next(i.State, e)
	if ok {
		i.State = next
	}
	return ok
}

// Send records that the item is sent to a server.
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

// EndAttempt applies the outcome of an attempt that started with Send, and returns the event that it amounts to.
// repeatable says whether the item's route is idempotent.
func (i *Item) EndAttempt(o Outcome, repeatable bool, now time.Time) ItemEvent {
	e := i.judge(o, repeatable, now)
	i.Transition(e)
	return e
}

func (i *Item) judge(o Outcome, repeatable bool, now time.Time) ItemEvent {
	i.keep(o)
	answered := o.Status != 0
	// A service whose calls may not be repeated can have run one that it answers with 503.
	refused := o.Ran == guavaretry.NotExecuted || (repeatable && (o.Status == 429 || o.Status == 503))
	if answered && !refused && (o.Status < 500 || !repeatable) {
		return ItemRespond
	}
	if o.Ran != guavaretry.NotExecuted && !answered && !repeatable {
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
		i.wait(i.Refusals, now)
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
		i.wait(i.Attempts, now)
		return ItemFail
	}
}

// keep stores the progress of a broken stream when it is longer than what was there before.
func (i *Item) keep(o Outcome) {
	if o.Tokens > i.Tokens {
		i.Text, i.Tokens = o.Text, o.Tokens
	}
}

// wait doubles the time to the next attempt with each of the n failures.
func (i *Item) wait(n int, now time.Time) {
	i.Ready = now.Add(min(firstWait<<min(n-1, 20), lastWait))
}

package guavaplace

import (
	"cmp"
	"time"
)

const (
	// nearlyDoneShare is the share of remaining work up to which a batch item counts as nearly done and may keep its
	// slot when an online request needs one.
	nearlyDoneShare = 0.2
	// minSlack is the slack below which a batch item that has not begun counts as late.
	minSlack = 500 * time.Millisecond
	// avoidTime is how long a batch item waits for a server that it does not avoid. Items have no maximum wait, so without
	// a limit an item would wait forever when the servers that it avoids are the only ones left.
	avoidTime = time.Second
	// reviewDivisor divides Start to give the time after which a waiting online request is checked once more. A refusal
	// within a quarter of the target leaves the caller time for a useful retry.
	reviewDivisor = 5
	// networkMargin is added to the expected time to the first byte for the network between VM and server.
	networkMargin = 10 * time.Millisecond
)

// waitingRequest is a request without a slot.
type waitingRequest struct {
	Request
	arrivedAt time.Time
	startBy   time.Time // latest start that meets the latency target or deadline
	refuseAt  time.Time // end of the maximum wait of an online request
	reviewAt  time.Time // when an online request is checked once more
	reviewed  bool
	deadline  time.Time // of a batch item
}

func newWaitingRequest(now time.Time, r Request, e *estimate) *waitingRequest {
	w := &waitingRequest{Request: r, arrivedAt: now}
	if r.Class == Batch {
		w.deadline = now.Add(r.Due)
		w.startBy = w.deadline.Add(-e.remaining(r.Work))
		return w
	}
	w.startBy = now.Add(r.Start - e.firstByte() - networkMargin)
	w.refuseAt = now.Add(r.Patience)
	w.reviewAt = now.Add(r.Start / reviewDivisor)
	if r.Repeat {
		w.startBy, w.reviewed = w.refuseAt, true
	}
	return w
}

// isNearlyDone reports whether a batch item has begun and little of its work remains.
func isNearlyDone(r *Request) bool { return r.Made > 0 && r.Work <= nearlyDoneShare*(r.Made+r.Work) }

// isLate reports whether a batch item can be expected to miss its deadline. An item that has not begun needs minSlack,
// because without it any further delay makes the item miss its deadline.
func (w *waitingRequest) isLate(now time.Time) bool {
	if w.Made > 0 {
		return w.startBy.Before(now)
	}
	return w.startBy.Before(now.Add(minSlack))
}

// compareBatch orders batch items by priority, then items that have begun by their remaining work, then the others by
// their latest start. In an overload this completes items that have begun instead of making all items a little late.
func compareBatch(a, b *waitingRequest) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if begun := a.Made > 0; begun != (b.Made > 0) {
		if begun {
			return -1
		}
		return 1
	}
	if a.Made > 0 {
		return cmp.Compare(a.Work, b.Work)
	}
	return a.startBy.Compare(b.startBy)
}

// compareOnline orders online requests by priority, then repeats before others, since a refusal leaves their callers with a failure, then
// new requests before retries, then by latest start. In an
// overload that lasts longer than callers wait, serving retries first would delay new requests until they miss their
// target, and nearly all callers would be served at their second attempt instead of the first.
func compareOnline(a, b *waitingRequest) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if a.Repeat != b.Repeat {
		if a.Repeat {
			return -1
		}
		return 1
	}
	if a.Returning != b.Returning {
		if b.Returning {
			return -1
		}
		return 1
	}
	return a.startBy.Compare(b.startBy)
}

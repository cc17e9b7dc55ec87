package guavagate

import (
	"context"
	"errors"
	"sync"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavasilence"
	"guavaridge/io/guavacoord"
)

// errSilent ends the wait for a server that has sent nothing for too long.
var errSilent = errors.New("server silent")

// Bounds of the pause before a reservation is requested again for a response that has no server, or only a silent one.
const (
	minSeekPause = 50 * time.Millisecond
	maxSeekPause = 250 * time.Millisecond
)

// silenceWatch bounds the wait for a server. While it seeks another one, the wait goes on; only a reservation on another
// server ends it.
type silenceWatch struct {
	call  *call
	phase guavasilence.Phase
	// interrupt ends the wait with an error.
	interrupt context.CancelCauseFunc

	timer *time.Timer // nil if the wait is bounded by the request's deadline only

	mu          sync.Mutex
	stopped     bool
	interrupted bool               // before it was stopped
	cancel      context.CancelFunc // of the search, nil if there is none
	done        chan struct{}      // closed at the end of the search
	replacement *guavacoord.Reservation
}

// watchSilence watches the wait for the current server until stop.
func (c *call) watchSilence(p guavasilence.Phase, interrupt context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{call: c, phase: p, interrupt: interrupt}
	switch limits := guavasilence.LimitsOf(c.route, p, c.executions+1); {
	case limits.Replace > 0:
		w.timer = time.AfterFunc(limits.Replace, w.seek)
	case limits.Fail > 0:
		w.timer = time.AfterFunc(limits.Fail, func() { w.end(nil) })
	}
	return w
}

// end interrupts the wait, for a reservation on another server or, if that is nil, for good. It reports false if the
// wait is over.
func (w *silenceWatch) end(replacement *guavacoord.Reservation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.interrupted {
		return false
	}
	w.interrupted, w.replacement = true, replacement
	w.interrupt(errSilent)
	return true
}

// seek requests a reservation on another server until there is one or the wait is over.
func (w *silenceWatch) seek() {
	w.mu.Lock()
	if w.stopped || w.interrupted {
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(w.call.runCtx)
	w.cancel, w.done = cancel, make(chan struct{})
	w.mu.Unlock()
	defer close(w.done)
	c := w.call
	c.gate.Counters.Silences.Add(1)
	c.log("server silent", "phase", string(w.phase), "runs", c.executions+1)
	avoid := append([]string{c.server}, c.avoid...)
	for ctx.Err() == nil {
		reservation, err := c.acquire(ctx, avoid, true)
		if err != nil {
			pauseSeek(ctx, err)
			continue
		}
		if !w.end(reservation) {
			reservation.Release(guavaplace.Cancelled, 0)
		}
		return
	}
}

// stop ends the watch. It reports whether the wait was interrupted, and stores the reservation on another server, if
// there is one, for the next attempt of the call.
func (w *silenceWatch) stop() (interrupted bool) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Lock()
	w.stopped = true
	cancel, done := w.cancel, w.done
	w.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
	if w.replacement != nil {
		w.call.replacement = w.replacement
	}
	return w.interrupted
}

// pauseSeek waits before the next request for a reservation, as long as the refusal says within bounds, or until ctx
// ends.
func pauseSeek(ctx context.Context, err error) {
	pause := minSeekPause
	if refusal := (*guavacoord.RefusalError)(nil); errors.As(err, &refusal) {
		pause = min(max(refusal.After, minSeekPause), maxSeekPause)
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

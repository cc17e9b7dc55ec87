package guavanode

import (
	"sync/atomic"
	"time"

	"guavaridge/core/guavalimit"
)

const (
	// slotWait is the time after which a VM without a slot takes requests all the same: it then lives on tokens of its pool.
	slotWait = 5 * time.Second
	// slotIdle is the time from the claim of a slot until its part of the rates can be used: loans of an earlier holder
	// lapse, and the next exchange lends the slice to the pool.
	slotIdle = guavalimit.LoanDuration + time.Second
)

// slotWatch passes the slot on to the limiter and remembers since when one is held.
type slotWatch struct {
	*guavalimit.FleetLimiter
	start      time.Time
	held       atomic.Int64 // since when a slot is held, in ns after start; 0 without one
	configured atomic.Int64 // when the first configuration came into force, in ns after start; 0 before
}

func newSlotWatch(f *guavalimit.FleetLimiter) *slotWatch {
	return &slotWatch{FleetLimiter: f, start: time.Now()}
}

func (w *slotWatch) now() int64 { return max(1, int64(time.Since(w.start))) }

// Hold implements guavapeer.SlotHolder.
func (w *slotWatch) Hold(number int, sent time.Time) {
	w.FleetLimiter.Hold(number, sent)
	w.held.Store(w.now())
}

// Drop implements guavapeer.SlotHolder.
func (w *slotWatch) Drop() {
	w.held.Store(0)
	w.FleetLimiter.Drop()
}

// adopted notes that a configuration is in force.
func (w *slotWatch) adopted() { w.configured.CompareAndSwap(0, w.now()) }

// ready reports whether requests can be expected to find tokens.
func (w *slotWatch) ready() bool {
	now, held, configured := w.now(), w.held.Load(), w.configured.Load()
	if configured == 0 {
		return false
	}
	return now-configured > int64(slotWait) || (held > 0 && now-held > int64(slotIdle))
}

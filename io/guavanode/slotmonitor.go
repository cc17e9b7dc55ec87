package guavanode

import (
	"sync/atomic"
	"time"

	"guavaridge/core/guavalimit"
)

const (
	// slotTimeout is the time after which a VM without a slot is ready; it then uses only tokens of its domain's pools.
	slotTimeout = 5 * time.Second
	// slotWarmup is the time from the claim of a slot until its share of the rates is usable: loans of an earlier owner
	// have to expire first, and then the next exchange message lends the slice to the pool.
	slotWarmup = guavalimit.LoanDuration + time.Second
)

// slotMonitor forwards the slot to the limiter and records since when this VM owns one.
type slotMonitor struct {
	*guavalimit.FleetLimiter
	start        time.Time
	ownedSince   atomic.Int64 // since when a slot is owned, in ns after start; 0 without one
	configuredAt atomic.Int64 // when the first configuration came into force, in ns after start; 0 before
}

func newSlotMonitor(f *guavalimit.FleetLimiter) *slotMonitor {
	return &slotMonitor{FleetLimiter: f, start: time.Now()}
}

func (m *slotMonitor) now() int64 { return max(1, int64(time.Since(m.start))) }

// Hold implements guavapeer.SlotHolder.
func (m *slotMonitor) Hold(number int, sent time.Time) {
	m.FleetLimiter.Hold(number, sent)
	m.ownedSince.Store(m.now())
}

// Drop implements guavapeer.SlotHolder.
func (m *slotMonitor) Drop() {
	m.ownedSince.Store(0)
	m.FleetLimiter.Drop()
}

// setConfigured records that a configuration is in force.
func (m *slotMonitor) setConfigured() { m.configuredAt.CompareAndSwap(0, m.now()) }

// ready reports whether tokens are expected to be available for requests.
func (m *slotMonitor) ready() bool {
	now, owned, configured := m.now(), m.ownedSince.Load(), m.configuredAt.Load()
	if configured == 0 {
		return false
	}
	return now-configured > int64(slotTimeout) || (owned > 0 && now-owned > int64(slotWarmup))
}

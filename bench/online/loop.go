// Package online simulates routing, admission and retries of online requests under load, on the virtual clock of
// testing/synctest.
package online

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Loop is a discrete-event loop. It sleeps from event to event, which advances the virtual clock inside a synctest
// bubble.
type Loop struct {
	start  time.Time
	events events
	count  int
}

// NewLoop returns a loop without events.
func NewLoop() *Loop { return &Loop{start: time.Now()} }

// After schedules a call of f after d.
func (l *Loop) After(d time.Duration, f func()) {
	l.count++
	heap.Push(&l.events, event{at: time.Now().Add(d), order: l.count, run: f})
}

// Every schedules calls of f at the interval, the first one after the offset.
func (l *Loop) Every(offset, interval time.Duration, f func()) {
	l.After(offset, func() {
		f()
		l.Every(interval, interval, f)
	})
}

// Run runs the events of the first d of simulated time.
func (l *Loop) Run(d time.Duration) {
	end := l.start.Add(d)
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		time.Sleep(time.Until(e.at))
		e.run()
	}
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// arrivals calls f as a Poisson process with the rate per second.
func arrivals(l *Loop, random *rand.Rand, rate float64, f func()) {
	l.After(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		f()
		arrivals(l, random, rate, f)
	})
}

// Quantiles returns the quantiles of the values. It sorts values in place.
func Quantiles(values []time.Duration, quantiles ...float64) []time.Duration {
	slices.Sort(values)
	out := make([]time.Duration, len(quantiles))
	for i, q := range quantiles {
		if len(values) > 0 {
			out[i] = values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)]
		}
	}
	return out
}

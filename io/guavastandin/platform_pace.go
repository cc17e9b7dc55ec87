package guavastandin

import (
	"slices"
	"time"

	"guavaridge/io/guavaplatform"
)

// maxQueueTime is the maximum time that a call waits for the rate limit before it is refused.
const maxQueueTime = time.Second

// pacer is a rate limiter that spaces units evenly.
type pacer struct {
	rate float64   // units per second; 0 means no limit
	next time.Time // start of the next reservation
}

// reserve reserves n units and returns the time to wait before using them. If the wait would exceed maxWait, it
// reserves nothing and returns false; a negative maxWait allows any wait.
func (p *pacer) reserve(n float64, maxWait time.Duration) (time.Duration, bool) {
	if p.rate <= 0 {
		return 0, true
	}
	now := time.Now()
	start := p.next
	if start.Before(now) {
		start = now
	}
	wait := start.Sub(now)
	if maxWait >= 0 && wait > maxWait {
		return 0, false
	}
	p.next = start.Add(time.Duration(n / p.rate * float64(time.Second)))
	return wait, true
}

// weightStore delivers weights one at a time at its rate.
type weightStore struct {
	rate  float64 // bytes per second; 0 means no limit
	sizes map[string]int64
	pacer pacer
}

// reserve reserves the delivery of the named weights and returns their size in bytes and the time until the delivery is
// complete.
func (w *weightStore) reserve(name string) (int64, time.Duration) {
	size, ok := w.sizes[name]
	if !ok {
		size = DefaultWeightSize
	}
	w.pacer.rate = w.rate
	wait, _ := w.pacer.reserve(float64(size), -1)
	if w.rate > 0 {
		wait += time.Duration(float64(size) / w.rate * float64(time.Second))
	}
	return size, wait
}

// machineList holds all versions of the VM list, because the visible version lags behind the newest.
type machineList struct {
	lag      time.Duration
	versions []machineVersion // oldest first
}

type machineVersion struct {
	since time.Time // when the list was set
	list  []guavaplatform.Machine
}

func (m *machineList) set(list []guavaplatform.Machine) {
	m.versions = append(m.versions, machineVersion{since: time.Now(), list: slices.Clone(list)})
}

// without returns a copy of the newest list without the named VM.
func (m *machineList) without(name string) []guavaplatform.Machine {
	if len(m.versions) == 0 {
		return nil
	}
	newest := slices.Clone(m.versions[len(m.versions)-1].list)
	return slices.DeleteFunc(newest, func(x guavaplatform.Machine) bool { return x.Name == name })
}

// visible returns the newest version that is at least as old as the lag. The first version is visible at once.
func (m *machineList) visible() []guavaplatform.Machine {
	if len(m.versions) == 0 {
		return nil
	}
	latest := time.Now().Add(-m.lag)
	i := len(m.versions) - 1
	for i > 0 && m.versions[i].since.After(latest) {
		i--
	}
	return slices.Clone(m.versions[i].list)
}

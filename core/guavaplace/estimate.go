package guavaplace

import "time"

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.05
	// firstHold and firstStart stand in for averages before the first sample.
	firstHold  = 400 * time.Millisecond
	firstStart = 40 * time.Millisecond
	// leastWeight and mostWeight bound how far the announced work moves the estimate of one run; announcements are right
	// at the median but often far off.
	leastWeight = 0.3
	mostWeight  = 3.0
	// trust is the part of an estimate that follows the announced work; the rest is the average.
	trust = 0.6
)

// average is an exponential moving average.
type average struct {
	value float64
	known bool
}

func (a *average) add(v float64) {
	if !a.known {
		a.value, a.known = v, true
		return
	}
	a.value += smoothing * (v - a.value)
}

func (a *average) or(v float64) float64 {
	if a.known {
		return a.value
	}
	return v
}

// estimate learns how long runs of a class hold their place.
type estimate struct {
	hold   average // seconds of whole runs
	work   average // announced tokens of these runs
	pace   average // seconds for each token made
	starts average // seconds from grant to first byte
}

// first is the expected time from a grant to the first byte of the answer.
func (e *estimate) first() time.Duration {
	return time.Duration(e.starts.or(firstStart.Seconds()) * float64(time.Second))
}

// length is the expected time for which a run holds its place.
func (e *estimate) length(work float64) time.Duration {
	mean := e.hold.or(firstHold.Seconds())
	weight := 1.0
	if work > 0 && e.work.or(0) > 0 {
		weight = min(max(work/e.work.value, leastWeight), mostWeight)
	}
	return time.Duration(mean * (1 - trust + trust*weight) * float64(time.Second))
}

// remaining is the expected time for tokens that are still to be made.
func (e *estimate) remaining(work float64) time.Duration {
	if !e.pace.known || work <= 0 {
		return e.length(work)
	}
	return e.first() + time.Duration(e.pace.value*work*float64(time.Second))
}

func (e *estimate) add(held time.Duration, announced, made float64) {
	e.hold.add(held.Seconds())
	e.work.add(announced)
	if made > 0 {
		e.pace.add(held.Seconds() / made)
	}
}

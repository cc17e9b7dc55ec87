package guavaplace

import "time"

const (
	// smoothing is the weight of a new sample in a moving average.
	smoothing = 0.05
	// defaultDuration and defaultFirstByte stand in for the averages before the first sample.
	defaultDuration  = 400 * time.Millisecond
	defaultFirstByte = 40 * time.Millisecond
	// minWeight and maxWeight bound the ratio of the announced work of a run to the mean, because announcements are
	// accurate at the median but often far off for a single run.
	minWeight = 0.3
	maxWeight = 3.0
	// announcedShare is the share of an estimate that follows the announced work; the rest is the mean.
	announcedShare = 0.6
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

// estimate predicts run times of a class from past runs.
type estimate struct {
	runSeconds       average // duration of complete runs
	announcedTokens  average // announced output tokens of these runs
	secondsPerToken  average // seconds per generated token
	firstByteSeconds average // time from the decision to the first byte
}

// firstByte returns the expected time from the decision to the first byte of the response.
func (e *estimate) firstByte() time.Duration {
	return time.Duration(e.firstByteSeconds.or(defaultFirstByte.Seconds()) * float64(time.Second))
}

// duration returns the expected time for which a run occupies its slot.
func (e *estimate) duration(work float64) time.Duration {
	mean := e.runSeconds.or(defaultDuration.Seconds())
	weight := 1.0
	if work > 0 && e.announcedTokens.or(0) > 0 {
		weight = min(max(work/e.announcedTokens.value, minWeight), maxWeight)
	}
	return time.Duration(mean * (1 - announcedShare + announcedShare*weight) * float64(time.Second))
}

// remaining returns the expected time to generate the given number of tokens.
func (e *estimate) remaining(work float64) time.Duration {
	if !e.secondsPerToken.known || work <= 0 {
		return e.duration(work)
	}
	return e.firstByte() + time.Duration(e.secondsPerToken.value*work*float64(time.Second))
}

func (e *estimate) add(elapsed time.Duration, announced, generated float64) {
	e.runSeconds.add(elapsed.Seconds())
	e.announcedTokens.add(announced)
	if generated > 0 {
		e.secondsPerToken.add(elapsed.Seconds() / generated)
	}
}

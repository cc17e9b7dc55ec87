package guavafill

import (
	"math"
	"time"
)

const (
	// maxStartReportAge is the age of the last load report from which no more streams are started, and maxReportAge the
	// age from which all are cancelled. Servers report once a second.
	maxStartReportAge = 5 * time.Second
	maxReportAge      = 15 * time.Second
	// rampInterval is the interval at which the limit may grow by slots/rampDivisor, and at least by one stream.
	rampInterval = 100 * time.Millisecond
	rampDivisor  = 8
	// minReserveFraction is the fraction of the reserve that is kept free by cancelling batch streams.
	minReserveFraction = 1.0 / 3
	// urgentFraction is the fraction of the reserve that the most urgent job may use.
	urgentFraction = 0.5
	// urgentLatencyRatio is the ratio of online latency to its target below which an urgent job may use the reserve.
	urgentLatencyRatio = 0.8
	// inFlightHistory is how long past numbers of batch streams are stored, to interpret delayed load reports.
	inFlightHistory = 3 * time.Second
	// maxSamples is the maximum number of samples of arrivals or departures between two reports.
	maxSamples = 1024
)

// Limiter computes the maximum number of concurrent batch streams on one backend server. It is not safe for concurrent
// use.
type Limiter struct {
	reserve            ReserveEstimator
	slots              int
	waiting            int
	online             float64   // running online requests at the time of the last report
	reportTime         time.Time // time for which the last report is valid
	arrivals           []sample  // since the last report
	departures         []sample  // since the last report
	departuresReported bool      // Depart was called
	// arrivalRate and onlineMean are exponentially weighted means of the online requests arriving per second and running.
	// onlineMean divided by arrivalRate is the mean duration of an online request, from which the departures since the
	// last report are estimated.
	arrivalRate, onlineMean float64
	inFlight                []sample
	lastLimit               int
	lastRamp                time.Time
	latencyRatio            float64
	urgency                 float64
}

type sample struct {
	at time.Time
	n  int
}

// Arrive records n online requests sent to the server.
func (l *Limiter) Arrive(n int, now time.Time) {
	l.reserve.Arrive(n, now)
	l.arrivals = appendSample(l.arrivals, n, now)
}

// Depart records the end of n online requests. Callers report either all departures or none; without any call, the
// departures since the last load report are estimated.
func (l *Limiter) Depart(n int, now time.Time) {
	l.departuresReported = true
	l.departures = appendSample(l.departures, n, now)
}

// SetInFlight records the number of batch streams in flight on the server from now on.
func (l *Limiter) SetInFlight(n int, now time.Time) {
	first := 0
	for first+1 < len(l.inFlight) && now.Sub(l.inFlight[first+1].at) > inFlightHistory {
		first++
	}
	l.inFlight = append(l.inFlight[first:], sample{now, n})
}

// Report records a load report that is age old. running includes batch streams. Reports that are older than the last
// one, or older than inFlightHistory, are ignored.
func (l *Limiter) Report(running, waiting, slots int, age time.Duration, now time.Time) {
	at := now.Add(-age)
	if at.Before(l.reportTime) || age > inFlightHistory {
		return
	}
	online := float64(max(0, running+waiting-l.inFlightAt(at)))
	if !l.reportTime.IsZero() {
		if d := at.Sub(l.reportTime).Seconds(); d > 0 {
			w := 1 - math.Exp2(-d/halfLife.Seconds())
			l.arrivalRate += w * (float64(sum(l.arrivals)-sum(since(l.arrivals, at)))/d - l.arrivalRate)
			l.onlineMean += w * (online - l.onlineMean)
		}
	} else {
		l.onlineMean = online
	}
	l.slots, l.waiting, l.online, l.reportTime = slots, waiting, online, at
	l.arrivals, l.departures = since(l.arrivals, at), since(l.departures, at)
}

// OnlineRunning returns how many of the running streams in a load report of this age are online requests.
func (l *Limiter) OnlineRunning(running int, age time.Duration, now time.Time) int {
	return max(0, running-l.inFlightAt(now.Add(-age)))
}

// SetLatencyRatio records the ratio of the online first-token latency to its target; above 1 the target is missed.
func (l *Limiter) SetLatencyRatio(ratio float64) { l.latencyRatio = ratio }

// SetUrgency records the urgency of the most urgent job: 0 far from its deadline, 1 at the deadline.
func (l *Limiter) SetUrgency(urgency float64) { l.urgency = min(max(urgency, 0), 1) }

// Limit returns the maximum number of batch streams in flight on the server. Streams are started up to slots minus
// online requests minus reserve. They are cancelled only when two thirds of the reserve are used: streams that complete
// refill the reserve, and a cancelled stream needs a second prefill. Cancelling at one half doubled the cancellations
// under steady traffic.
func (l *Limiter) Limit(now time.Time) int {
	inFlight := l.inFlightAt(now)
	reportAge := now.Sub(l.reportTime)
	if l.reportTime.IsZero() || reportAge >= maxReportAge {
		l.lastLimit = 0
		return 0
	}
	reserve := float64(l.reserve.Slots(now))
	if l.latencyRatio < urgentLatencyRatio {
		reserve *= 1 - urgentFraction*l.urgency
	}
	free := float64(l.slots) - l.Online(now)
	startLimit, keepLimit := int(math.Round(free-reserve)), int(free-reserve*minReserveFraction)
	if l.latencyRatio > 1 {
		// The latency target is missed: no stream is started, and half of the streams are cancelled.
		startLimit, keepLimit = 0, keepLimit/2
	}
	if reportAge >= maxStartReportAge || l.waiting > 0 {
		startLimit = min(startLimit, inFlight)
	}
	target := max(0, min(max(inFlight, startLimit), keepLimit))
	l.lastLimit = l.ramp(target, inFlight, now)
	return l.lastLimit
}

// Reserved returns the current reserve in slots.
func (l *Limiter) Reserved(now time.Time) int { return l.reserve.Slots(now) }

// Online returns the number of online requests running now. Without reported departures, they are estimated by Little's
// law minus two standard deviations: too few departures leave slots idle, but too many increase online latency.
func (l *Limiter) Online(now time.Time) float64 {
	online := l.online + float64(sum(l.arrivals))
	if l.departuresReported {
		return max(0, online-float64(sum(l.departures)))
	}
	if l.onlineMean <= 0 || l.arrivalRate <= 0 {
		return online
	}
	meanDuration := l.onlineMean / l.arrivalRate
	ended := l.online * (1 - math.Exp(-now.Sub(l.reportTime).Seconds()/meanDuration))
	return max(0, online-max(0, ended-2*math.Sqrt(ended)))
}

// appendSample adds a sample. At maxSamples it first merges the existing ones into one, which bounds the memory when no
// reports arrive.
func appendSample(samples []sample, n int, now time.Time) []sample {
	if len(samples) >= maxSamples {
		samples = append(samples[:0], sample{now, sum(samples)})
	}
	return append(samples, sample{now, n})
}

// since returns the samples after a time. The samples are ordered by time.
func since(samples []sample, at time.Time) []sample {
	i := 0
	for i < len(samples) && !samples[i].at.After(at) {
		i++
	}
	return samples[i:]
}

func sum(samples []sample) int {
	n := 0
	for _, s := range samples {
		n += s.n
	}
	return n
}

// ramp limits how fast the number of streams grows.
func (l *Limiter) ramp(target, inFlight int, now time.Time) int {
	if target <= inFlight {
		l.lastRamp = now
		return target
	}
	step := max(1, l.slots/rampDivisor)
	if l.lastLimit > inFlight && now.Sub(l.lastRamp) < rampInterval {
		return min(target, l.lastLimit)
	}
	l.lastRamp = now
	return min(target, inFlight+step)
}

// inFlightAt returns the number of batch streams in flight at a time.
func (l *Limiter) inFlightAt(at time.Time) int {
	n := 0
	for _, s := range l.inFlight {
		if s.at.After(at) {
			break
		}
		n = s.n
	}
	return n
}

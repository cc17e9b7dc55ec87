package guavafill

import (
	"math"
	"time"
)

const (
	// staleAfter is the age of the last load report at which no further stream is started, and blindAfter the age at
	// which all are cancelled. Reports come once a second.
	staleAfter = 5 * time.Second
	blindAfter = 15 * time.Second
	// rampEvery is the interval at which the streams may grow by rampPart of the slots, and at least one.
	rampEvery = 100 * time.Millisecond
	rampPart  = 8
	// keptPart is the part of the reserve that batch streams are cancelled for.
	keptPart = 1.0 / 3
	// urgentPart is the part of the reserve that the most urgent job may use.
	urgentPart = 0.5
	// calm is the part of the online latency target up to which an urgent job may use the reserve.
	calm = 0.8
	// heldHistory is how long numbers of held streams are kept to interpret reports that are late.
	heldHistory = 3 * time.Second
	// mostSamples is the largest number of arrivals or ends kept one by one between two reports.
	mostSamples = 1024
)

// Limiter decides how many batch streams one backend server may hold. It is not safe for concurrent use.
type Limiter struct {
	reserve  ReserveEstimator
	slots    int
	waiting  int
	online   float64   // running online requests at the time of the last report
	reported time.Time // time at which the last report was true
	arrivals []sample  // since the last report
	ends     []sample  // since the last report
	told     bool      // ends are reported
	// rate and level are faded means of arrivals per second and of online requests running. Their ratio is the mean time
	// that an online request runs, which tells how many have ended since the last report.
	rate, level float64
	held        []sample
	granted     int
	ramped      time.Time
	latency     float64
	urgency     float64
}

type sample struct {
	at time.Time
	n  int
}

// Arrive records n online requests sent to the server.
func (f *Limiter) Arrive(n int, now time.Time) {
	f.reserve.Arrive(n, now)
	f.arrivals = note(f.arrivals, n, now)
}

// Depart records the end of n online requests. A caller that reports ends reports all of them; without any, the ends
// since the last report are estimated.
func (f *Limiter) Depart(n int, now time.Time) {
	f.told = true
	f.ends = note(f.ends, n, now)
}

// SetInFlight records the number of batch streams that the server holds from now on.
func (f *Limiter) SetInFlight(n int, now time.Time) {
	keep := 0
	for keep+1 < len(f.held) && now.Sub(f.held[keep+1].at) > heldHistory {
		keep++
	}
	f.held = append(f.held[keep:], sample{now, n})
}

// Report records a load report that was true age ago. Running includes batch streams.
func (f *Limiter) Report(running, waiting, slots int, age time.Duration, now time.Time) {
	at := now.Add(-age)
	if at.Before(f.reported) || age > heldHistory {
		return
	}
	online := float64(max(0, running+waiting-f.heldAt(at)))
	if !f.reported.IsZero() {
		if d := at.Sub(f.reported).Seconds(); d > 0 {
			w := 1 - math.Exp2(-d/memory.Seconds())
			f.rate += w * (float64(sum(f.arrivals)-sum(since(f.arrivals, at)))/d - f.rate)
			f.level += w * (online - f.level)
		}
	} else {
		f.level = online
	}
	f.slots, f.waiting, f.online, f.reported = slots, waiting, online, at
	f.arrivals, f.ends = since(f.arrivals, at), since(f.ends, at)
}

// OnlineRunning returns how many running streams of a report are online requests. The report was true age ago.
func (f *Limiter) OnlineRunning(running int, age time.Duration, now time.Time) int {
	return max(0, running-f.heldAt(now.Add(-age)))
}

// SetLatencyRatio records the online first-token latency as a part of its target; above 1 the target is missed.
func (f *Limiter) SetLatencyRatio(part float64) { f.latency = part }

// SetUrgency records how close the most urgent job is to its deadline, 0 to 1.
func (f *Limiter) SetUrgency(urgency float64) { f.urgency = min(max(urgency, 0), 1) }

// Limit returns the number of batch streams that the server may hold now. Limit are started up to slots minus
// online minus reserve. They are cancelled only when two thirds of the reserve are used: streams that end by themselves
// refill the rest, and cancelling costs a second prefill. In trials, cancelling at one half doubled the
// cancellations of steady traffic.
func (f *Limiter) Limit(now time.Time) int {
	held := f.heldAt(now)
	silence := now.Sub(f.reported)
	if f.reported.IsZero() || silence >= blindAfter {
		f.granted = 0
		return 0
	}
	reserve := float64(f.reserve.Slots(now))
	if f.latency < calm {
		reserve *= 1 - urgentPart*f.urgency
	}
	free := float64(f.slots) - f.Online(now)
	start, most := int(math.Round(free-reserve)), int(free-reserve*keptPart)
	if f.latency > 1 {
		// The target is missed: nothing is started, and half of the streams give way.
		start, most = 0, most/2
	}
	if silence >= staleAfter || f.waiting > 0 {
		start = min(start, held)
	}
	want := max(0, min(max(held, start), most))
	f.granted = f.ramp(want, held, now)
	return f.granted
}

// Reserved returns the present reserve in slots.
func (f *Limiter) Reserved(now time.Time) int { return f.reserve.Slots(now) }

// Online returns the online requests running now. Ends that nobody reports are estimated by Little's law, less two
// standard deviations: an estimate that is too high costs slots, one that is too low costs online latency.
func (f *Limiter) Online(now time.Time) float64 {
	online := f.online + float64(sum(f.arrivals))
	if f.told {
		return max(0, online-float64(sum(f.ends)))
	}
	if f.level <= 0 || f.rate <= 0 {
		return online
	}
	stay := f.level / f.rate
	ended := f.online * (1 - math.Exp(-now.Sub(f.reported).Seconds()/stay))
	return max(0, online-max(0, ended-2*math.Sqrt(ended)))
}

// note adds a sample. When no report comes for long, the samples before are joined to bound the memory.
func note(samples []sample, n int, now time.Time) []sample {
	if len(samples) >= mostSamples {
		samples = append(samples[:0], sample{now, sum(samples)})
	}
	return append(samples, sample{now, n})
}

// since returns the samples after a time. The samples are in the order of time.
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

// ramp bounds the growth of the streams.
func (f *Limiter) ramp(want, held int, now time.Time) int {
	if want <= held {
		f.ramped = now
		return want
	}
	step := max(1, f.slots/rampPart)
	if f.granted > held && now.Sub(f.ramped) < rampEvery {
		return min(want, f.granted)
	}
	f.ramped = now
	return min(want, held+step)
}

// heldAt returns the batch streams held at a time.
func (f *Limiter) heldAt(at time.Time) int {
	n := 0
	for _, s := range f.held {
		if s.at.After(at) {
			break
		}
		n = s.n
	}
	return n
}

package guavaroute

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Report is the load of a model engine at a point in time.
type Report struct {
	Running, Waiting, Slots int
	// KV is the used fraction of the KV cache memory, 0 to 1.
	KV float64
	// At is the time at which the load was measured, by the clock of this VM.
	At time.Time
	// Models and Adapters are those loaded; nil when unknown.
	Models, Adapters []string
}

const (
	// Arrivals are counted in buckets of bucketWidth for the last counterSpan, which is longer than a report is
	// trusted.
	counterSpan = 8 * time.Second
	buckets     = 32
	bucketWidth = counterSpan / buckets
	// reportTimeConstant is the time, beyond an age of 1 s, after which a report and the average of the pool have the
	// same weight.
	reportTimeConstant = 4 * time.Second
)

// counter counts the events of the last counterSpan.
type counter struct {
	counts [buckets]uint16
	newest int64 // number of the newest bucket since the Unix epoch
}

func (c *counter) add(now time.Time, n int) {
	c.advance(now)
	c.counts[c.newest%buckets] += uint16(n)
}

func (c *counter) advance(now time.Time) {
	b := now.UnixNano() / int64(bucketWidth)
	if b-c.newest >= buckets {
		c.counts, c.newest = [buckets]uint16{}, b
	}
	for c.newest < b {
		c.newest++
		c.counts[c.newest%buckets] = 0
	}
}

// since returns the number of events after t. The bucket that contains t counts in proportion.
func (c *counter) since(t, now time.Time) float64 {
	first := t.UnixNano() / int64(bucketWidth)
	last := now.UnixNano() / int64(bucketWidth)
	var n float64
	for b := max(first, c.newest-buckets+1); b <= min(c.newest, last); b++ {
		v := float64(c.counts[b%buckets])
		if b == first {
			v *= 1 - float64(t.UnixNano()%int64(bucketWidth))/float64(bucketWidth)
		}
		n += v
	}
	return n
}

// view is the state of a backend server as known to this VM.
type view struct {
	report Report
	// pools are the names of the server's pools.
	pools []string
	// own counts the requests that this VM sent and peers those that other VMs announced.
	own, peers counter
	// running is the number of this VM's requests in flight at the server.
	running int
	// latencyRatio is the moving average of the observed time to first token divided by the predicted one.
	latencyRatio float64
}

// occupancy predicts the number of requests at the server: those of the last report, less those that have ended since,
// plus those that were sent since. Deviation is the standard error of the prediction. Service is the mean time of a
// request, and average the mean number of requests per slot in the pool.
func (v *view) occupancy(now time.Time, service time.Duration, average float64) (n, deviation float64) {
	r := &v.report
	if r.Slots <= 0 {
		return float64(v.running), 1
	}
	age := now.Sub(r.At)
	if age < 0 {
		age = 0
	}
	load := float64(r.Running + r.Waiting)
	arrived := v.own.since(r.At, now) + v.peers.since(r.At, now)
	// Requests that arrived after the report have run for half of its age on average.
	elapsed := age.Seconds() / service.Seconds()
	remaining := remainingLoad(load, float64(r.Slots), elapsed)
	// The number of ended requests is approximately Poisson distributed, and so is that of arrivals not announced yet.
	// In the long run the variance is that of the number of running requests.
	variance := min(1+2*(load-remaining), 1+float64(r.Slots))
	n = remaining + arrived*math.Exp(-elapsed/2)
	if age > time.Second {
		w := 1 / (1 + (age-time.Second).Seconds()/reportTimeConstant.Seconds())
		n = w*n + (1-w)*average*float64(r.Slots)
		variance = w*variance + (1-w)*(1+float64(r.Slots))
	}
	return max(n, float64(v.running)), math.Sqrt(variance)
}

// excess returns the expected value of max(0, X) for a normally distributed X.
func excess(mean, deviation float64) float64 {
	z := mean / deviation
	switch {
	case z < -4:
		return 0
	case z > 4:
		return mean
	}
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// remainingLoad returns how many of the requests at a server remain after the elapsed time, in units of the mean
// service time. While there is a queue all slots are busy; after that, running requests end independently of each
// other.
func remainingLoad(load, slots, elapsed float64) float64 {
	if queue := load - slots; queue > 0 {
		if slots*elapsed <= queue {
			return load - slots*elapsed
		}
		elapsed -= queue / slots
		load = slots
	}
	return load * math.Exp(-elapsed)
}

// slots returns how many requests the server can run concurrently, limited by its KV memory.
func (v *view) slots() float64 {
	r := &v.report
	n := float64(r.Slots)
	// Below this usage the estimate of KV memory per request is too imprecise to be used as a limit.
	const minKVUsage = 0.5
	if r.KV > minKVUsage && r.Running > 0 {
		n = min(n, float64(r.Running)/r.KV)
	}
	return max(1, n)
}

// loaded reports whether the model and the adapter are loaded. Both count as loaded if the reports do not list them.
func (v *view) loaded(model, adapter string) (m, a bool) {
	m = v.report.Models == nil || slices.ContainsFunc(v.report.Models, func(loaded string) bool { return serves(loaded, model) })
	a = adapter == "" || v.report.Adapters == nil || slices.Contains(v.report.Adapters, adapter)
	return m, a
}

// serves reports whether a loaded model, a name or name@version, is the requested model.
func serves(loaded, model string) bool {
	rest, ok := strings.CutPrefix(loaded, model)
	return ok && (rest == "" || rest[0] == '@')
}

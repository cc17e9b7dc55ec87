package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"guavaridge/core/guavafill"
)

// Parameters of the simulated engine. Slots and loads follow from 18,000 requests/s and 5 million tokens/s on 2,800
// servers at 34 ms per token. The model covers slots only: concurrent streams do not slow each other down.
const (
	slots       = 128
	rate        = 6.4                    // online requests per second and server
	onlineTime  = 9.4                    // mean duration of an online request in seconds
	itemTime    = 8.0                    // mean duration of a batch item in seconds
	prefill     = 0.4                    // seconds from the start in a slot to the first token
	resumeCost  = 0.3                    // seconds of the repeated prefill when a cancelled item resumes
	notifyDelay = 5 * time.Millisecond   // from an online arrival until the batch limiter knows of it
	cancelDelay = 20 * time.Millisecond  // from the cancellation of a stream until its slot is free
	reportLag   = 100 * time.Millisecond // age of a load report
	simulated   = 20 * time.Minute
	warmUp      = 2 * time.Minute // not measured
)

// traffic is a pattern of online arrivals over time.
type traffic struct {
	name string
	// factor returns the factor of the rate at t seconds; maxFactor is its maximum.
	factor    func(t float64) float64
	maxFactor float64
}

// event is a scheduled action of the simulation.
type event struct {
	at time.Time
	n  int // order of events with the same time
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// mode selects how batch items use the slots that online requests leave free.
type mode string

const (
	none       mode = "no batch"
	reserved   mode = "reserve"
	partial    mode = "reserve, ends not told"
	unreserved mode = "no reserve"
)

// engine simulates one backend server with its online requests and batch streams.
type engine struct {
	now        time.Time
	start      time.Time
	queue      events
	count      int
	onlineRand *rand.Rand // arrivals and durations of online requests, the same in every mode
	batchRand  *rand.Rand
	mode       mode
	limiter    guavafill.Limiter
	online     int
	waiting    []request // online requests without a slot
	batch      []*item   // running items, the oldest first
	cancelling int       // cancelled streams that still occupy a slot
	backlog    []*item   // cancelled items that are to be resumed

	first     []float64 // seconds to the first token
	remaining float64   // slot seconds without online requests
	useful    float64   // slot seconds of batch work, without repeated prefills
	yields    int
	lastEvent time.Time
}

// request is an online request.
type request struct {
	at   time.Time
	stay time.Duration
}

// item is a batch item, running in a slot or in the backlog.
type item struct {
	start time.Time
	need  float64 // remaining seconds of work
	cost  float64 // seconds of repeated prefill before the work resumes
}

func (e *engine) at(d time.Duration, f func()) {
	e.count++
	heap.Push(&e.queue, event{at: e.now.Add(d), n: e.count, do: f})
}

func (e *engine) seconds() float64 { return e.now.Sub(e.start).Seconds() }

// addElapsed adds the slots without online requests, over the time since the last event, to the remaining slot
// seconds.
func (e *engine) addElapsed() {
	if d := e.now.Sub(e.lastEvent).Seconds(); d > 0 {
		if e.now.Sub(e.start) > warmUp {
			e.remaining += d * float64(max(0, slots-e.online-len(e.waiting)))
		}
		e.lastEvent = e.now
	}
}

func (e *engine) run(t traffic) {
	e.start = time.Unix(0, 0)
	e.now, e.lastEvent = e.start, e.start
	var arrivals func()
	arrivals = func() {
		e.at(exponential(e.onlineRand, 1/(rate*t.maxFactor)), func() {
			duration := exponential(e.onlineRand, onlineTime)
			if e.onlineRand.Float64() < t.factor(e.seconds())/t.maxFactor {
				e.admitOnline(duration)
			}
			arrivals()
		})
	}
	arrivals()
	if e.mode != none {
		var report, schedule func()
		report = func() { e.report(reportLag); e.at(time.Second, report) }
		schedule = func() { e.schedule(); e.at(100*time.Millisecond, schedule) }
		report()
		schedule()
	}
	for e.now.Sub(e.start) < simulated {
		x := heap.Pop(&e.queue).(event)
		e.now = x.at
		e.addElapsed()
		x.do()
	}
}

// admitOnline adds an online request, which waits if no slot is free, and notifies the limiter after notifyDelay.
func (e *engine) admitOnline(duration time.Duration) {
	e.waiting = append(e.waiting, request{e.now, duration})
	e.admit()
	if e.mode != none {
		e.at(notifyDelay, func() {
			e.limiter.Arrive(1, e.now)
			e.schedule()
		})
	}
}

// admit starts waiting online requests in free slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.online+len(e.batch)+e.cancelling < slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.online++
		if e.now.Sub(e.start) > warmUp {
			e.first = append(e.first, e.now.Sub(r.at).Seconds()+prefill)
		}
		e.at(r.stay, func() {
			e.online--
			e.admit()
			if e.mode == reserved || e.mode == unreserved {
				e.at(notifyDelay, func() {
					e.limiter.Depart(1, e.now)
					e.schedule()
				})
			}
		})
	}
}

// report delivers a report of the current load to the limiter after the lag.
func (e *engine) report(lag time.Duration) {
	running, waiting := e.online+len(e.batch)+e.cancelling, len(e.waiting)
	e.at(lag, func() {
		e.limiter.Report(running, waiting, slots, lag, e.now)
	})
}

// schedule starts and cancels batch streams up to the limit of the limiter. The supply of items is unlimited.
func (e *engine) schedule() {
	allowed := e.limiter.Limit(e.now)
	if e.mode == unreserved {
		allowed = max(0, slots-int(e.limiter.Online(e.now)))
	}
	before := len(e.batch)
	for len(e.batch) > allowed {
		x := e.batch[len(e.batch)-1] // the youngest item loses the least progress
		e.batch = e.batch[:len(e.batch)-1]
		e.yields++
		done := max(0, e.now.Sub(x.start).Seconds()-x.cost)
		e.credit(done)
		x.need -= done
		x.cost = resumeCost
		e.backlog = append(e.backlog, x)
		e.cancelling++
		e.at(cancelDelay, func() { e.cancelling--; e.admit() })
	}
	for len(e.batch) < allowed && e.online+len(e.batch)+e.cancelling < slots && len(e.waiting) == 0 {
		var x *item
		if n := len(e.backlog); n > 0 {
			x, e.backlog = e.backlog[n-1], e.backlog[:n-1]
		} else {
			x = &item{need: exponential(e.batchRand, itemTime).Seconds(), cost: 0}
		}
		x.start = e.now
		e.batch = append(e.batch, x)
		startedAt := e.now
		e.at(time.Duration((x.need+x.cost)*float64(time.Second)), func() { e.finish(x, startedAt) })
	}
	if len(e.batch) != before {
		e.limiter.SetInFlight(len(e.batch), e.now)
	}
}

// finish ends an item unless it was cancelled after its start at startedAt.
func (e *engine) finish(x *item, startedAt time.Time) {
	i := slices.Index(e.batch, x)
	if i < 0 || !x.start.Equal(startedAt) {
		return
	}
	e.batch = slices.Delete(e.batch, i, i+1)
	e.credit(x.need)
	e.limiter.SetInFlight(len(e.batch), e.now)
	e.admit()
	e.at(0, e.schedule)
}

func (e *engine) credit(work float64) {
	if e.now.Sub(e.start) > warmUp {
		e.useful += work
	}
}

func exponential(r *rand.Rand, mean float64) time.Duration {
	return time.Duration(r.ExpFloat64() * mean * float64(time.Second))
}

// simulateEngines runs the simulated engines in all modes and prints the results.
func simulateEngines() {
	burst := func(t float64) float64 {
		if math.Mod(t, 30) < 3 {
			return 3.5
		}
		return 1
	}
	patterns := []traffic{
		{"steady", func(float64) float64 { return 1 }, 1},
		{"bursts of 3 s every 30 s at 3.5 times the rate", burst, 3.5},
	}
	const servers = 8
	fmt.Printf("%d simulated engines of %d slots, %.1f online requests/s of %.1f s each, %s\n", servers, slots, rate, onlineTime, simulated)
	for _, c := range patterns {
		fmt.Printf("\n%s\n%-24s %18s %16s %14s %12s\n", c.name, "mode", "share of left", "first token p95", "to no batch", "yields/min")
		base := 0.0
		for _, m := range []mode{none, reserved, partial, unreserved} {
			var first []float64
			var remaining, useful float64
			yields := 0
			for s := range uint64(servers) {
				e := &engine{mode: m, onlineRand: rand.New(rand.NewPCG(s, 1)), batchRand: rand.New(rand.NewPCG(s, 2))}
				e.run(c)
				first = append(first, e.first...)
				remaining, useful, yields = remaining+e.remaining, useful+e.useful, yields+e.yields
			}
			slices.Sort(first)
			p95 := first[len(first)*95/100]
			if m == none {
				base = p95
			}
			fmt.Printf("%-24s %17.1f%% %14.0f ms %14.3f %12.1f\n", m, 100*useful/remaining, 1000*p95, p95/base,
				float64(yields)/servers/simulated.Minutes())
		}
	}
}

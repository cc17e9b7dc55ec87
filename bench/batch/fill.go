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

// The simulated engine: slots and loads follow from 18,000 requests/s and 5 million tokens/s on 2,800 servers at 34 ms a
// token. An engine is modelled by its slots alone: streams on other slots do not slow a stream down.
const (
	slots      = 128
	rate       = 6.4                    // online requests per second and server
	stay       = 9.4                    // mean seconds that an online request runs
	itemTime   = 8.0                    // mean seconds that a batch item runs
	prefill    = 0.4                    // seconds to the first token in a free slot
	resumeCost = 0.3                    // seconds of a second prefill after a cancelled stream
	news       = 5 * time.Millisecond   // from an online arrival to the batch sender
	stopping   = 20 * time.Millisecond  // from the cancellation to the free slot
	reportLag  = 100 * time.Millisecond // age of a load report
	simulated  = 20 * time.Minute
	warmUp     = 2 * time.Minute // not measured
)

// traffic is a course of online arrivals.
type traffic struct {
	name string
	// factor multiplies the rate at a time.
	factor func(t float64) float64
	most   float64
}

// event is something that happens to the engine at a time.
type event struct {
	at time.Time
	n  int // order among events at the same time
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

// mode is how batch work is filled in.
type mode string

const (
	none      mode = "no batch"
	reserved  mode = "reserve"
	partial   mode = "reserve, ends not told"
	unguarded mode = "no reserve"
)

// engine simulates one server with its online requests and batch streams.
type engine struct {
	now     time.Time
	start   time.Time
	queue   events
	count   int
	arrive  *rand.Rand // arrivals and online durations, the same in every mode
	random  *rand.Rand
	mode    mode
	filler  guavafill.Limiter
	online  int
	waiting []request // online requests without a slot
	batch   []*item   // running, the oldest first
	leaving int       // cancelled streams that still take a slot
	backlog []*item   // items that were cancelled

	first    []float64 // seconds to the first token
	left     float64   // slot seconds that online traffic left
	useful   float64   // slot seconds of batch work that counts
	yields   int
	measured time.Time
}

// request is an online request.
type request struct {
	at   time.Time
	stay time.Duration
}

// item is a batch item in a slot or in the backlog.
type item struct {
	start time.Time
	need  float64 // seconds of work
	cost  float64 // seconds of a repeated prefill before the work goes on
}

func (e *engine) at(d time.Duration, f func()) {
	e.count++
	heap.Push(&e.queue, event{at: e.now.Add(d), n: e.count, do: f})
}

func (e *engine) seconds() float64 { return e.now.Sub(e.start).Seconds() }

// account adds the time since the last event to the slot seconds.
func (e *engine) account() {
	if d := e.now.Sub(e.measured).Seconds(); d > 0 {
		if e.now.Sub(e.start) > warmUp {
			e.left += d * float64(max(0, slots-e.online-len(e.waiting)))
		}
		e.measured = e.now
	}
}

func (e *engine) run(t traffic) {
	e.start = time.Unix(0, 0)
	e.now, e.measured = e.start, e.start
	var arrivals func()
	arrivals = func() {
		e.at(exponential(e.arrive, 1/(rate*t.most)), func() {
			stays := exponential(e.arrive, stay)
			if e.arrive.Float64() < t.factor(e.seconds())/t.most {
				e.arrival(stays)
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
		e.account()
		x.do()
	}
}

// arrival sends an online request to the engine; it waits when no slot is free.
func (e *engine) arrival(stays time.Duration) {
	e.waiting = append(e.waiting, request{e.now, stays})
	e.admit()
	if e.mode != none {
		e.at(news, func() {
			e.filler.Arrive(1, e.now)
			e.schedule()
		})
	}
}

// admit gives free slots to the online requests that wait.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.online+len(e.batch)+e.leaving < slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.online++
		if e.now.Sub(e.start) > warmUp {
			e.first = append(e.first, e.now.Sub(r.at).Seconds()+prefill)
		}
		e.at(r.stay, func() {
			e.online--
			e.admit()
			if e.mode == reserved || e.mode == unguarded {
				e.at(news, func() {
					e.filler.Depart(1, e.now)
					e.schedule()
				})
			}
		})
	}
}

// report passes a load report of the present on, after its lag.
func (e *engine) report(lag time.Duration) {
	running, waiting := e.online+len(e.batch)+e.leaving, len(e.waiting)
	e.at(lag, func() {
		e.filler.Report(running, waiting, slots, lag, e.now)
	})
}

// schedule starts and cancels batch streams as the filler says. There is always another item.
func (e *engine) schedule() {
	allowed := e.filler.Limit(e.now)
	if e.mode == unguarded {
		allowed = max(0, slots-int(e.filler.Online(e.now)))
	}
	held := len(e.batch)
	for len(e.batch) > allowed {
		x := e.batch[len(e.batch)-1] // the youngest has the least progress
		e.batch = e.batch[:len(e.batch)-1]
		e.yields++
		done := max(0, e.now.Sub(x.start).Seconds()-x.cost)
		e.credit(done)
		x.need -= done
		x.cost = resumeCost
		e.backlog = append(e.backlog, x)
		e.leaving++
		e.at(stopping, func() { e.leaving--; e.admit() })
	}
	for len(e.batch) < allowed && e.online+len(e.batch)+e.leaving < slots && len(e.waiting) == 0 {
		var x *item
		if n := len(e.backlog); n > 0 {
			x, e.backlog = e.backlog[n-1], e.backlog[:n-1]
		} else {
			x = &item{need: exponential(e.random, itemTime).Seconds(), cost: 0}
		}
		x.start = e.now
		e.batch = append(e.batch, x)
		begun := e.now
		e.at(time.Duration((x.need+x.cost)*float64(time.Second)), func() { e.finish(x, begun) })
	}
	if len(e.batch) != held {
		e.filler.SetInFlight(len(e.batch), e.now)
	}
}

// finish ends an item unless it was cancelled since begun.
func (e *engine) finish(x *item, begun time.Time) {
	i := slices.Index(e.batch, x)
	if i < 0 || !x.start.Equal(begun) {
		return
	}
	e.batch = slices.Delete(e.batch, i, i+1)
	e.credit(x.need)
	e.filler.SetInFlight(len(e.batch), e.now)
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

// fill prints the figures of the simulated engines.
func fill() {
	burst := func(t float64) float64 {
		if math.Mod(t, 30) < 3 {
			return 3.5
		}
		return 1
	}
	courses := []traffic{
		{"steady", func(float64) float64 { return 1 }, 1},
		{"bursts of 3 s every 30 s at 3.5 times the rate", burst, 3.5},
	}
	const servers = 8
	fmt.Printf("%d simulated engines of %d slots, %.1f online requests/s of %.1f s each, %s\n", servers, slots, rate, stay, simulated)
	for _, c := range courses {
		fmt.Printf("\n%s\n%-24s %18s %16s %14s %12s\n", c.name, "mode", "share of left", "first token p95", "to no batch", "yields/min")
		base := 0.0
		for _, m := range []mode{none, reserved, partial, unguarded} {
			var first []float64
			var left, useful float64
			yields := 0
			for s := range uint64(servers) {
				e := &engine{mode: m, arrive: rand.New(rand.NewPCG(s, 1)), random: rand.New(rand.NewPCG(s, 2))}
				e.run(c)
				first = append(first, e.first...)
				left, useful, yields = left+e.left, useful+e.useful, yields+e.yields
			}
			slices.Sort(first)
			p95 := first[len(first)*95/100]
			if m == none {
				base = p95
			}
			fmt.Printf("%-24s %17.1f%% %14.0f ms %14.3f %12.1f\n", m, 100*useful/left, 1000*p95, p95/base,
				float64(yields)/servers/simulated.Minutes())
		}
	}
}

package guavaplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
)

const (
	// dayTime is how long a pattern lasts that does not say so, tick the step of the replay.
	dayTime = 60 * time.Second
	tick    = time.Millisecond
	// hop is the time between the VM that decides and an engine.
	hop = 3 * time.Millisecond
	// The online requests: when an answer must begin, how long callers wait, what an answer is worth in time and late.
	target, budget        = 300 * time.Millisecond, 5 * time.Second
	onlineWorth, lateRate = 1.2, 0.19
	// The batch items: when they are due, and what they are worth.
	dueTime                     = 18 * time.Second
	batchWorth, overdueRate     = 7.6, 0.1
	patienceShare, returnsShare = 0.24, 0.8 // of the caller's time
	mostTries                   = 3
)

// replay plays a pattern under a policy on the engine model.
type replay struct {
	pattern pattern
	policy  policy
	build   func() policy
	random  *rand.Rand
	now     time.Duration
	engines map[string]*engine
	order   []string // of engines
	calls   map[uint64]*call
	later   map[time.Duration][]func()
	number  uint64
	counts  map[string]int
	earned  map[guavaplace.Class]float64
	owed    map[guavaplace.Class]float64
}

func newReplay(p pattern, build func([]guavatraffic.Server, guavatraffic.Service) policy) *replay {
	r := &replay{
		pattern: p, random: rand.New(rand.NewPCG(7, 11)), //nolint:gosec // repeatable
		engines: map[string]*engine{}, calls: map[uint64]*call{}, later: map[time.Duration][]func(){},
		counts: map[string]int{}, earned: map[guavaplace.Class]float64{}, owed: map[guavaplace.Class]float64{},
	}
	list := make([]guavatraffic.Server, 0, p.servers)
	for i := range p.servers {
		id := fmt.Sprintf("s%02d", i)
		list = append(list, guavatraffic.Server{
			ID: id, Service: "m", Address: id, Slots: p.places, Domain: fmt.Sprintf("d%d", i%p.domains), Born: 1,
		})
		r.engines[id] = &engine{places: p.places, memory: p.memory, step: p.step, slow: 1}
		r.order = append(r.order, id)
	}
	r.build = func() policy {
		return build(list, guavatraffic.Service{Name: "m", Slots: p.places, Memory: p.memory})
	}
	r.policy = r.build()
	return r
}

func (r *replay) clock() time.Time { return epoch.Add(r.now) }

func (r *replay) after(d time.Duration, f func()) {
	at := r.now + max(d.Round(tick), tick)
	r.later[at] = append(r.later[at], f)
}

// share returns the part of what could be earned that was.
func (r *replay) share() float64 {
	return (r.earned[guavaplace.Online] + r.earned[guavaplace.Batch]) / (r.owed[guavaplace.Online] + r.owed[guavaplace.Batch])
}

func (r *replay) run() {
	// Callers of the last seconds get their answers after the end of the load.
	for ; r.now < r.pattern.length+dueTime; r.now += tick {
		for _, f := range r.later[r.now] {
			f()
		}
		delete(r.later, r.now)
		r.trouble()
		if r.now < r.pattern.length {
			p := r.pattern
			wave := (1 - math.Cos(2*math.Pi*r.now.Seconds()/p.swing[2])) / 2
			factor := p.swing[0] + (p.swing[1]-p.swing[0])*wave
			for range r.poisson(p.online * factor * tick.Seconds()) {
				r.arrive(guavaplace.Online)
			}
			for range r.poisson(p.batch * tick.Seconds()) {
				r.arrive(guavaplace.Batch)
			}
		}
		for _, id := range r.order {
			first, over := r.engines[id].advance(r.now)
			for _, n := range first {
				if n != orphan {
					r.started(n)
				}
			}
			for _, o := range over {
				if o.number != orphan {
					r.ended(o)
				}
			}
		}
		if pause := r.policy.Pause(); pause > 0 && r.now%max(pause, tick) == 0 {
			r.apply(r.policy.Tick(r.clock()))
		}
	}
}

func (r *replay) poisson(mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := r.random.Float64(); p > limit; p *= r.random.Float64() {
		n++
	}
	return n
}

// TestReplay plays each load pattern on the engine model and guards against a scheduler that earns less than simpler ones:
// engines that queue, one queue in order of arrival, and two choices without a queue.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/load/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no patterns: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			p, err := readPattern(file)
			if err != nil {
				t.Fatal(err)
			}
			var mine float64
			for i, candidate := range policies {
				r := newReplay(p, candidate.make)
				r.run()
				t.Logf("%-10s worth %.3f online %.3f batch %.3f %v", candidate.name, r.share(),
					r.earned[guavaplace.Online]/r.owed[guavaplace.Online],
					r.earned[guavaplace.Batch]/max(r.owed[guavaplace.Batch], 1), r.counts)
				if i == 0 {
					mine = r.share()
					t.Logf("bound      worth %.3f", r.bound())
				} else if mine < r.share() {
					t.Errorf("the scheduler earns %.3f, less than %s", mine, candidate.name)
				}
			}
		})
	}
}

// BenchmarkOverload plays the overload pattern. Its time is nearly all the scheduler's and the engine model's.
func BenchmarkOverload(b *testing.B) {
	p, err := readPattern("testdata/load/overload.txt")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		newReplay(p, policies[0].make).run()
	}
}

// BenchmarkRelease measures what the end of a run costs where one VM decides for as many servers as a shard holds.
func BenchmarkRelease(b *testing.B) {
	s := newScheduler(256, 8)
	number := uint64(0)
	for b.Loop() {
		number++
		s.Submit(epoch, online(number))
		s.Release(epoch, guavaplace.Report{Key: guavaplace.Key{VM: "v", Number: number}, Outcome: guavaplace.Done})
	}
}

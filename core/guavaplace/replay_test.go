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
	// defaultLength is the length of a pattern that gives none, tick the time step of the replay.
	defaultLength = 60 * time.Second
	tick          = time.Millisecond
	// networkDelay is the time from the VM that decides to an engine.
	networkDelay = 3 * time.Millisecond
	// Online requests: the latency target, the total time of a caller, the value on time and its share when late.
	target, budget         = 300 * time.Millisecond, 5 * time.Second
	onlineValue, lateShare = 1.2, 0.19
	// Batch items: the deadline, the value on time and its share when overdue.
	itemDeadline                 = 18 * time.Second
	batchValue, overdueShare     = 7.6, 0.1
	maxWaitShare, retryWaitShare = 0.24, 0.8 // of the caller's remaining time
	maxAttempts                  = 3
)

// replay runs a pattern under a policy on the engine model.
type replay struct {
	pattern   pattern
	policy    policy
	build     func() policy
	random    *rand.Rand
	now       time.Duration
	engines   map[string]*engine
	order     []string // server IDs in a fixed order
	calls     map[uint64]*call
	scheduled map[time.Duration][]func()
	number    uint64
	counts    map[string]int
	earned    map[guavaplace.Class]float64
	possible  map[guavaplace.Class]float64
}

func newReplay(p pattern, build func([]guavatraffic.Server, guavatraffic.Service) policy) *replay {
	r := &replay{
		pattern: p, random: rand.New(rand.NewPCG(7, 11)), //nolint:gosec // repeatable
		engines: map[string]*engine{}, calls: map[uint64]*call{}, scheduled: map[time.Duration][]func(){},
		counts: map[string]int{}, earned: map[guavaplace.Class]float64{}, possible: map[guavaplace.Class]float64{},
	}
	list := make([]guavatraffic.Server, 0, p.servers)
	for i := range p.servers {
		id := fmt.Sprintf("s%02d", i)
		list = append(list, guavatraffic.Server{
			ID: id, Service: "m", Address: id, Slots: p.slots, Domain: fmt.Sprintf("d%d", i%p.domains), Born: 1,
		})
		r.engines[id] = &engine{slots: p.slots, memory: p.memory, step: p.step, slow: 1}
		r.order = append(r.order, id)
	}
	r.build = func() policy {
		return build(list, guavatraffic.Service{Name: "m", Slots: p.slots, Memory: p.memory})
	}
	r.policy = r.build()
	return r
}

func (r *replay) clock() time.Time { return epoch.Add(r.now) }

func (r *replay) after(d time.Duration, f func()) {
	at := r.now + max(d.Round(tick), tick)
	r.scheduled[at] = append(r.scheduled[at], f)
}

// share returns the earned share of the possible value.
func (r *replay) share() float64 {
	return (r.earned[guavaplace.Online] + r.earned[guavaplace.Batch]) / (r.possible[guavaplace.Online] + r.possible[guavaplace.Batch])
}

func (r *replay) run() {
	// Responses to the last requests arrive after the end of the load.
	for ; r.now < r.pattern.length+itemDeadline; r.now += tick {
		for _, f := range r.scheduled[r.now] {
			f()
		}
		delete(r.scheduled, r.now)
		r.injectFaults()
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
			first, ended := r.engines[id].advance(r.now)
			for _, n := range first {
				if n != orphan {
					r.started(n)
				}
			}
			for _, o := range ended {
				if o.number != orphan {
					r.finished(o)
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

// TestReplay replays each load pattern on the engine model and guards against a scheduler that earns less than simpler
// policies: queues at the engines, a single queue in order of arrival, and two random choices without a queue.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/load/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no load patterns in testdata/load: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			p, err := readPattern(file)
			if err != nil {
				t.Fatal(err)
			}
			var schedulerShare float64
			for i, candidate := range policies {
				r := newReplay(p, candidate.make)
				r.run()
				t.Logf("%-10s worth %.3f online %.3f batch %.3f %v", candidate.name, r.share(),
					r.earned[guavaplace.Online]/r.possible[guavaplace.Online],
					r.earned[guavaplace.Batch]/max(r.possible[guavaplace.Batch], 1), r.counts)
				if i == 0 {
					schedulerShare = r.share()
					t.Logf("bound      worth %.3f", r.bound())
				} else if schedulerShare < r.share() {
					t.Errorf("the scheduler earns %.3f, less than %s", schedulerShare, candidate.name)
				}
			}
		})
	}
}

// BenchmarkOverload replays the overload pattern. The scheduler and the engine model take nearly all of its time.
func BenchmarkOverload(b *testing.B) {
	p, err := readPattern("testdata/load/overload.txt")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		newReplay(p, policies[0].make).run()
	}
}

// BenchmarkRelease measures the cost of ending a run with the maximum number of servers in a shard.
func BenchmarkRelease(b *testing.B) {
	s := newScheduler(256, 8)
	number := uint64(0)
	for b.Loop() {
		number++
		s.Submit(epoch, online(number))
		s.Release(epoch, guavaplace.Report{Key: guavaplace.Key{VM: "v", Number: number}, Outcome: guavaplace.Done})
	}
}

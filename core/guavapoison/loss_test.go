package guavapoison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavaridge/core/guavapoison"
)

// replicas are the trackers of VMs that tell each other of losses and bans.
type replicas struct {
	random   *rand.Rand
	trackers []*guavapoison.CrashTracker
	now      time.Time
	runs     int
}

func newReplicas(seed uint64) *replicas {
	r := &replicas{random: rand.New(rand.NewPCG(seed, 1)), now: epoch} //nolint:gosec // repeatable
	for range 4 {
		r.trackers = append(r.trackers, guavapoison.NewCrashTracker())
	}
	return r
}

// run returns a run that begins now.
func (r *replicas) run(content uint64, parts ...uint64) guavapoison.Run {
	r.runs++
	return guavapoison.Run{
		ID: fmt.Sprint(r.runs), Server: fmt.Sprintf("server-%d", r.runs%5), Began: r.now, Content: content, Parts: parts,
	}
}

// tell delivers what a tracker has to tell to the others, each with the given probability, sometimes twice.
func (r *replicas) tell(from int, probability float64) {
	losses, bans := r.trackers[from].TakeLosses(), r.trackers[from].TakeChanges()
	for to, t := range r.trackers {
		for range 1 + r.random.IntN(2) {
			if to != from && r.random.Float64() < probability {
				t.MergeLosses(r.now, fmt.Sprint(from), losses)
				t.Merge(r.now, bans)
			}
		}
	}
}

// link exchanges all that two trackers know, as VMs do on a new link.
func (r *replicas) link(a, b int) {
	for range 2 {
		for _, pair := range [][2]int{{a, b}, {b, a}} {
			from, to := r.trackers[pair[0]], r.trackers[pair[1]]
			newer := to.MergeLosses(r.now, fmt.Sprint(pair[0]), from.Losses(r.now))
			from.MergeLosses(r.now, fmt.Sprint(pair[1]), newer)
			to.Merge(r.now, from.Bans())
		}
	}
}

func (r *replicas) linkAll() {
	for a := range r.trackers {
		for b := range a {
			r.link(a, b)
		}
	}
	for a := range r.trackers {
		for b := range a {
			r.link(a, b)
		}
	}
}

// restart replaces a tracker by that of a new process, which knows only the bans, from the store.
func (r *replicas) restart(n int) {
	t := guavapoison.NewCrashTracker()
	t.Merge(r.now, r.trackers[n].Bans())
	r.trackers[n] = t
}

// TestLossesCountAtAnyVM guards against crashes that are forgotten, or counted twice, because several VMs count them, messages
// between them are lost, doubled or late, and VMs restart. A request is refused from its third crash on, and one that crashed
// servers twice is not.
func TestLossesCountAtAnyVM(t *testing.T) {
	const content, part = 7, 9
	for seed := range uint64(300) {
		for _, crashes := range []int{2, 3} {
			r := newReplicas(seed)
			for n := range crashes {
				at := r.random.IntN(len(r.trackers))
				x := r.run(content, part)
				r.now = r.now.Add(time.Second)
				r.trackers[at].RecordLost(r.now, x, false)
				if r.random.IntN(3) == 0 {
					r.trackers[at].RecordLost(r.now, x, false) // the coordinator changed, and the run is reported again
				}
				r.tell(at, r.random.Float64())
				for range r.random.IntN(3) {
					r.link(r.random.IntN(len(r.trackers)), r.random.IntN(len(r.trackers)))
				}
				if n < crashes-1 {
					r.linkAll()
				}
				if r.random.IntN(4) == 0 {
					r.restart((at + 1) % len(r.trackers))
				}
				r.now = r.now.Add(100 * time.Millisecond)
			}
			r.linkAll()
			for i, tracker := range r.trackers {
				v, _ := tracker.Check(r.now, content, []uint64{part})
				if want := map[int]guavapoison.Verdict{2: guavapoison.Pass, 3: guavapoison.Refuse}[crashes]; v != want {
					t.Errorf("seed %d, VM %d: verdict %q after %d crashes, want %q", seed, i, v, crashes, want)
				}
				if v, _ := tracker.Check(r.now, content+1, []uint64{part + 1}); v != guavapoison.Pass {
					t.Errorf("seed %d, VM %d: another request has the verdict %q", seed, i, v)
				}
			}
		}
	}
}

// TestOverlappingLosses guards against crashes that are forgotten because VMs disagree which of two runs that were lost at the same
// time counts, and against both counting: servers that fail together lose harmless requests. "again" is the number of later crashes.
func TestOverlappingLosses(t *testing.T) {
	const content, part = 7, 9
	for seed := range uint64(300) {
		for again, want := range []guavapoison.Verdict{guavapoison.Pass, guavapoison.Pass, guavapoison.Refuse} {
			r := newReplicas(seed)
			first, second := r.run(content, part), r.run(content, part)
			r.now = r.now.Add(time.Second)
			a := r.random.IntN(len(r.trackers))
			b := (a + 1 + r.random.IntN(len(r.trackers)-1)) % len(r.trackers)
			r.trackers[a].RecordLost(r.now, first, false)
			r.trackers[b].RecordLost(r.now, second, false)
			r.tell(a, r.random.Float64())
			r.tell(b, r.random.Float64())
			for range r.random.IntN(6) {
				r.link(r.random.IntN(len(r.trackers)), r.random.IntN(len(r.trackers)))
			}
			r.linkAll()
			for range again {
				r.now = r.now.Add(100 * time.Millisecond)
				x, at := r.run(content, part), r.random.IntN(len(r.trackers))
				r.now = r.now.Add(time.Second)
				r.trackers[at].RecordLost(r.now, x, false)
				r.linkAll()
			}
			for i, tracker := range r.trackers {
				if v, _ := tracker.Check(r.now, content, []uint64{part}); v != want {
					t.Errorf("seed %d, VM %d: verdict %q after two crashes at a time and %d more, want %q", seed, i, v, again, want)
				}
			}
			answered := r.run(content, part)
			r.now = r.now.Add(time.Second)
			r.trackers[a].RecordAnswered(r.now, answered)
			r.linkAll()
			for i, tracker := range r.trackers {
				if list := tracker.Losses(r.now); len(list) > 0 {
					t.Errorf("seed %d, VM %d: %d losses count after an answer, want none", seed, i, len(list))
				}
			}
		}
	}
}

// TestAnsweredLossesDoNotReturn guards against a sound part that is banned because a VM that had not heard of the answers
// tells of old losses, or decides with them.
func TestAnsweredLossesDoNotReturn(t *testing.T) {
	const part = 9
	for seed := range uint64(300) {
		r := newReplicas(seed)
		for n := range uint64(12) {
			at := r.random.IntN(len(r.trackers))
			x := r.run(100+n, part)
			r.now = r.now.Add(300 * time.Millisecond)
			r.trackers[at].RecordLost(r.now, x, false)
			r.tell(at, r.random.Float64())
			answered := r.run(200+n, part)
			r.now = r.now.Add(300 * time.Millisecond)
			r.linkAll()
			r.trackers[at].RecordAnswered(r.now, answered)
			r.tell(at, r.random.Float64())
			r.link(at, r.random.IntN(len(r.trackers)))
			r.linkAll()
		}
		for i, tracker := range r.trackers {
			if v, _ := tracker.Check(r.now, 1, []uint64{part}); v != guavapoison.Pass {
				t.Errorf("seed %d, VM %d: verdict %q about a part that was answered after each crash", seed, i, v)
			}
			if list := tracker.Losses(r.now); len(list) > 0 {
				for _, l := range list {
					for _, trait := range l.Traits {
						if trait == part {
							t.Errorf("seed %d, VM %d: a loss that was followed by an answer counts for the part", seed, i)
						}
					}
				}
			}
		}
	}
}

// TestCountOutlivesAllTrackers guards against a request that crashes servers again and again while all VMs restart after each
// second crash: what the store keeps is enough to refuse it after the third.
func TestCountOutlivesAllTrackers(t *testing.T) {
	const content = 7
	r := newReplicas(1)
	for range 2 {
		x := r.run(content)
		r.now = r.now.Add(time.Second)
		r.trackers[0].RecordLost(r.now, x, false)
		r.now = r.now.Add(time.Second)
	}
	for n := range r.trackers {
		r.trackers[n].Merge(r.now, r.trackers[0].Bans())
	}
	for n := range r.trackers {
		r.restart(n)
	}
	r.now = r.now.Add(5 * time.Second)
	for n, tracker := range r.trackers {
		if v, _ := tracker.Check(r.now, content, nil); v != guavapoison.Pass {
			t.Errorf("VM %d: verdict %q after two crashes, want pass", n, v)
		}
	}
	x := r.run(content)
	r.now = r.now.Add(time.Second)
	r.trackers[2].RecordLost(r.now, x, false)
	if v, _ := r.trackers[2].Check(r.now, content, nil); v != guavapoison.Refuse {
		t.Errorf("verdict %q after three crashes, want refuse", v)
	}
}

// TestCrashReportedOutOfOrder guards against a ban of a part that sound requests have, because a server lost one of them in the
// crash that another request caused, and that run is reported first.
func TestCrashReportedOutOfOrder(t *testing.T) {
	const common, deadly = 8, 9
	tracker, now := guavapoison.NewCrashTracker(), epoch
	for n := range uint64(6) {
		server := fmt.Sprintf("server-%d", n)
		sound := guavapoison.Run{ID: fmt.Sprint("s", n), Server: server, Began: now, Content: 100 + n, Parts: []uint64{common}}
		culprit := guavapoison.Run{ID: fmt.Sprint("d", n), Server: server, Began: now, Content: 200 + n, Parts: []uint64{common, deadly}}
		now = now.Add(time.Second)
		if n == 2 {
			tracker.RecordLost(now, sound, false)
		}
		tracker.RecordLost(now, culprit, false)
		now = now.Add(100 * time.Millisecond)
	}
	if v, _ := tracker.Check(now, 1, []uint64{common}); v != guavapoison.Pass {
		t.Errorf("verdict %q about requests with the common part only, want pass", v)
	}
	if v, _ := tracker.Check(now, 1, []uint64{common, deadly}); v != guavapoison.Refuse {
		t.Errorf("verdict %q about requests with both parts, want refuse", v)
	}
}

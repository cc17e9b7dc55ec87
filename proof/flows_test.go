package proof_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavastandin"
)

// Bounds of the flows on the paused clock.
const (
	tries    = 60
	tryPause = time.Second
	// finish is the time by which everything accepted has finished after a fault has ended.
	finish = 3 * time.Minute
	// drainTokens take longer than the grace for open connections at the start of a drain.
	drainTokens = 800
)

// step is a moment of a flow at which a fault strikes.
type step string

// The steps of each flow.
const (
	before  step = "before"  // nothing was sent yet
	running step = "running" // sent, not yet answered
	after   step = "after"   // answered or acknowledged
)

var steps = []step{before, running, after}

// flow performs one kind of work, tells when it reaches each step, and checks the promises about it.
type flow struct {
	name string
	run  func(r *rig, at func(step))
}

// flows are the columns of the matrix.
var flows = []flow{
	{"plain", flowPlain},
	{"stream", flowStream},
	{"service", flowService},
	{"batch", flowBatch},
	{"submit", flowSubmit},
	{"cancel", flowCancel},
	{"config", flowConfig},
	{"key", flowKey},
	{"rate", flowRate},
	{"start", flowStart},
	{"drain", flowDrain},
	{"rollout", flowRollout},
}

// flowRate sends several times the client account's rate to all VMs: the engines begin no more than rate × time + burst
// in any window.
func flowRate(r *rig, at func(step)) {
	const rate, burst = 20.0, 20.0
	d := r.vms[0].node.Snapshot().Declarations()
	d.Accounts = append(slices.Clone(d.Accounts), guavaconfig.ClientAccount{Name: "loud", Rate: rate, Burst: burst, Weight: 1})
	store := r.vms[0].node.Store()
	if _, err := store.Apply(r.t.Context(), guavaoperator.Request{Meta: meta("loud"), Base: r.vms[0].node.Snapshot().Version(), Desired: d}); err != nil {
		r.t.Fatal(err)
	}
	k, err := store.IssueKey(r.t.Context(), meta("loud"), "loud", nil)
	if err != nil {
		r.t.Fatal(err)
	}
	time.Sleep(inForce + settle)
	var mu sync.Mutex
	var admitted []time.Time
	var wg sync.WaitGroup
	at(before)
	start := time.Now()
	for i := 0; time.Since(start) < 20*time.Second; i++ {
		switch i {
		case 200:
			at(running)
		case 500:
			at(after)
		}
		if live := r.live(); len(live) > 0 {
			sent := time.Now()
			wg.Go(func() {
				a := r.send(request{vm: live[i%len(live)], key: k.Text, path: "/v1/completions", body: completion(fmt.Sprint("loud ", i), 1, false)})
				if a.status == http.StatusOK {
					mu.Lock()
					admitted = append(admitted, sent)
					mu.Unlock()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	// A request is admitted up to a second after it was sent, so a window of the answers may hold those of one second more.
	slices.SortFunc(admitted, time.Time.Compare)
	for i := range admitted {
		for k := i + 1; k < len(admitted); k++ {
			window := admitted[k].Sub(admitted[i]).Seconds() + 1
			if n := float64(k - i + 1); n > rate*window+burst {
				r.t.Fatalf("%v requests admitted in %.2f s at rate %v and burst %v", n, window, rate, burst)
			}
		}
	}
	if len(admitted) == 0 {
		r.t.Error("nothing was admitted")
	}
}

// flowStart replaces a VM at its address: the new process serves.
func flowStart(r *rig, at func(step)) {
	old := r.vms[1]
	old.kill()
	at(before)
	v := r.startVM(old.settings.Domain, old.settings.Address)
	at(running)
	for n := 0; n < tries && !v.node.Ready(); n++ {
		time.Sleep(tryPause)
	}
	at(after)
	if !v.running() {
		return // the fault ended this VM too
	}
	if !v.node.Ready() {
		r.t.Error("the new process is not ready")
		return
	}
	r.complete("start", 10, false)
}

// flowDrain drains a VM under traffic: no request on it is cut off.
func flowDrain(r *rig, at func(step)) {
	v := r.vms[len(r.vms)-1]
	at(before)
	var wg sync.WaitGroup
	answers := make([]answer, 4)
	for i := range answers {
		wg.Go(func() {
			answers[i] = r.send(request{vm: v, key: r.key.Text, path: "/v1/completions", body: completion(fmt.Sprint("drain ", i), drainTokens, true)})
		})
	}
	time.Sleep(100 * time.Millisecond)
	v.node.Drain()
	at(running)
	wg.Wait()
	for i, a := range answers {
		want := guavastandin.Text(model, fmt.Sprint("drain ", i), drainTokens)
		switch {
		case a.status == http.StatusOK && a.code == "" && (!a.done || a.text != want):
			r.t.Errorf("request %d was cut off after %q", i, a.text)
		case !strings.HasPrefix(want, a.text):
			r.t.Errorf("request %d got another answer: %q", i, a.text)
		}
	}
	at(after)
	select {
	case <-v.done:
	case <-time.After(finish):
		r.t.Errorf("the process still runs %s after its requests ended", finish)
	}
	if v.err != nil {
		r.t.Errorf("the process ended with %v", v.err)
	}
}

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

// Time limits of the flows, on the fake clock.
const (
	maxAttempts = 60
	retryDelay  = time.Second
	// completionTimeout is the time after the end of a fault within which all accepted work has completed.
	completionTimeout = 3 * time.Minute
	// drainTokens is the length of a response that takes longer than the grace period for open connections at the start
	// of a drain.
	drainTokens = 800
)

// step is a point of a flow at which a fault is injected.
type step string

// The steps of each flow.
const (
	before  step = "before"  // nothing has been sent
	running step = "running" // sent, no response yet
	after   step = "after"   // response or acknowledgement received
)

var steps = []step{before, running, after}

// flow performs one kind of work, calls at when it reaches each step, and checks the guarantees for this work.
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

// flowRate sends several times the client account's rate to all VMs and checks that no more than rate × time + burst
// requests are admitted in any time window.
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
	time.Sleep(propagationTime + settleTime)
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
	// Requests are admitted up to a second after they are sent, so the window is extended by 1 s.
	slices.SortFunc(admitted, time.Time.Compare)
	for i := range admitted {
		for k := i + 1; k < len(admitted); k++ {
			window := admitted[k].Sub(admitted[i]).Seconds() + 1
			if n := float64(k - i + 1); n > rate*window+burst {
				r.t.Fatalf("got %v requests admitted in %.2f s, want at most rate %v × time + burst %v", n, window, rate, burst)
			}
		}
	}
	if len(admitted) == 0 {
		r.t.Error("got no admitted requests, want some")
	}
}

// flowStart kills a VM, starts a new process at its address, and checks that the new process serves requests.
func flowStart(r *rig, at func(step)) {
	old := r.vms[1]
	old.kill()
	at(before)
	v := r.startVM(old.settings.Domain, old.settings.Address)
	at(running)
	for n := 0; n < maxAttempts && !v.node.Ready(); n++ {
		time.Sleep(retryDelay)
	}
	at(after)
	if !v.running() {
		return // the fault terminated this VM too
	}
	if !v.node.Ready() {
		r.t.Error("the new process is not ready")
		return
	}
	r.complete("start", 10, false)
}

// flowDrain drains a VM that has requests in flight, and checks that no response is truncated and that the process ends.
func flowDrain(r *rig, at func(step)) {
	v := r.vms[len(r.vms)-1]
	at(before)
	var wg sync.WaitGroup
	responses := make([]response, 4)
	for i := range responses {
		wg.Go(func() {
			responses[i] = r.send(request{vm: v, key: r.key.Text, path: "/v1/completions", body: completion(fmt.Sprint("drain ", i), drainTokens, true)})
		})
	}
	time.Sleep(100 * time.Millisecond)
	v.node.Drain()
	at(running)
	wg.Wait()
	for i, a := range responses {
		want := guavastandin.Text(model, fmt.Sprint("drain ", i), drainTokens)
		switch {
		case a.status == http.StatusOK && a.code == "" && (!a.done || a.text != want):
			r.t.Errorf("response to request %d truncated after %q", i, a.text)
		case !strings.HasPrefix(want, a.text):
			r.t.Errorf("request %d got the response to another request: %q", i, a.text)
		}
	}
	at(after)
	select {
	case <-v.done:
	case <-time.After(completionTimeout):
		r.t.Errorf("the process still runs %s after its last request ended", completionTimeout)
	}
	if v.err != nil {
		r.t.Errorf("drained process: got error %v, want none", v.err)
	}
}

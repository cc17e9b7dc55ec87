package proof_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"guavaridge/io/guavaoperator"
)

// rolloutTime is the time after the end of a fault within which every engine has loaded a new version of a model.
const rolloutTime = 10 * time.Minute

// flowRollout declares a new version of the model, and checks that all engines load it and that requests are served
// meanwhile.
func flowRollout(r *rig, at func(step)) {
	at(before)
	if !r.declareVersion("2") {
		r.t.Error("the version was not accepted")
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20 {
			r.complete(fmt.Sprint("rollout ", i), 5, false)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	at(running)
	<-done
	at(after)
	r.waitForConnectivity()
	deadline := time.Now().Add(rolloutTime)
	for !r.allServe(model + "@2") {
		if time.Now().After(deadline) {
			for name, e := range r.engines {
				r.t.Errorf("%s still serves %v %s after the change", name, e.Orders().Models, rolloutTime)
			}
			return
		}
		time.Sleep(retryDelay)
	}
	r.complete("rolled out", 5, false)
}

// allServe reports whether every engine serves a version of the model. Leaving engines are skipped, as they receive no
// orders.
func (r *rig) allServe(version string) bool {
	for name, e := range r.engines {
		if b, ok := r.vms[len(r.vms)-1].node.Snapshot().Server(name); ok && b.Leaving {
			continue
		}
		if !slices.Contains(e.Orders().Models, version) {
			return false
		}
	}
	return true
}

// declareVersion changes the model's version as an operator does, with retries at other VMs. It reports whether the change
// was accepted.
func (r *rig) declareVersion(version string) bool {
	m := meta("rollout")
	for n := range maxAttempts {
		if live := r.live(); len(live) > 0 {
			v := live[n%len(live)]
			s := v.node.Snapshot()
			desired := s.Declarations()
			desired.Models = slices.Clone(desired.Models)
			desired.Models[0].Version = version
			_, err := v.node.Store().Apply(r.t.Context(), guavaoperator.Request{Meta: m, Base: s.Version(), Desired: desired})
			if err == nil {
				return true
			}
			var conflict *guavaoperator.ConflictError
			if !errors.As(err, &conflict) {
				r.t.Logf("declare the version: %v", err)
			}
		}
		time.Sleep(retryDelay)
	}
	return false
}

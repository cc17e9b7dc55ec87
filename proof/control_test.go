package proof_test

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaplatform"
)

// flowConfig changes the configuration: once accepted, it is in force on every VM that can be reached and never reverts.
func flowConfig(r *rig, at func(step)) {
	at(before)
	done := make(chan uint64, 1)
	go func() { done <- r.apply("change", 401) }()
	time.Sleep(10 * time.Millisecond)
	at(running)
	version := <-done
	at(after)
	if version == 0 {
		r.t.Error("the change was not accepted")
		return
	}
	r.waitForVersion(version)
}

// apply sets the client account's rate as an operator would: the same request is sent again, to another VM, until its
// outcome is known.
func (r *rig) apply(operation string, rate float64) uint64 {
	m := guavaoperator.Meta{Operation: operation, Operator: "op", Reason: "change"}
	for n := range tries {
		live := r.live()
		if len(live) == 0 {
			time.Sleep(tryPause)
			continue
		}
		v := live[n%len(live)]
		s := v.node.Snapshot()
		wanted := s.Declarations()
		wanted.Accounts = slices.Clone(wanted.Accounts)
		if len(wanted.Accounts) > 0 {
			wanted.Accounts[0].Rate = rate
		}
		res, err := v.node.Store().Apply(r.t.Context(), guavaoperator.Request{Meta: m, Base: s.Version(), Desired: wanted})
		if err == nil {
			return res.Version
		}
		var conflict *guavaoperator.ConflictError
		known := errors.As(err, &conflict) || errors.Is(err, guavaplatform.ErrUnavailable) || errors.Is(err, guavaplatform.ErrUnknown)
		if !known {
			r.t.Logf("apply: %v", err)
		}
		time.Sleep(tryPause)
	}
	return 0
}

// waitForVersion waits until a version is in force on all VMs, which has to be within 3 s once no fault is left.
func (r *rig) waitForVersion(version uint64) {
	r.waitForReach()
	time.Sleep(inForce)
	for _, v := range r.live() {
		if got := v.node.Snapshot().Version(); got < version {
			r.t.Errorf("%s has version %d in force, want %d", v.settings.Name, got, version)
		}
	}
}

// flowKey issues a key, uses it and withdraws it: 3 s later no VM that can be reached accepts it.
func flowKey(r *rig, at func(step)) {
	at(before)
	issued, ok := r.issue()
	if !ok {
		r.t.Error("no key was issued")
		return
	}
	r.waitForVersion(issued.Version)
	ended := make(chan answer, 1)
	go func() {
		ended <- r.send(request{vm: r.live()[0], key: issued.Text, path: "/v1/completions", body: completion("endless", 3000, true)})
	}()
	time.Sleep(200 * time.Millisecond)
	at(running)
	withdrawn := r.withdraw(issued.Name)
	at(after)
	if withdrawn == 0 {
		r.t.Error("the withdrawal was not accepted")
		return
	}
	r.waitForVersion(withdrawn)
	for _, v := range r.live() {
		if a := r.send(request{vm: v, key: issued.Text, path: "/v1/completions", body: completion("refused", 4, false)}); a.status == http.StatusOK {
			r.t.Errorf("%s accepts a key withdrawn in version %d", v.settings.Name, withdrawn)
		}
	}
	if a := <-ended; a.done {
		r.t.Error("a stream of the withdrawn key ran to its end")
	}
}

func (r *rig) issue() (guavaoperator.IssuedKey, bool) {
	for n := range tries {
		if live := r.live(); len(live) > 0 {
			k, err := live[n%len(live)].node.Store().IssueKey(r.t.Context(), meta("second key"), accountName, nil)
			if err == nil {
				return k, true
			}
		}
		time.Sleep(tryPause)
	}
	return guavaoperator.IssuedKey{}, false
}

func (r *rig) withdraw(name string) uint64 {
	m := meta("withdrawn")
	for n := range tries {
		if live := r.live(); len(live) > 0 {
			res, err := live[n%len(live)].node.Store().WithdrawKey(r.t.Context(), m, name)
			if err == nil {
				return res.Version
			}
		}
		time.Sleep(tryPause)
	}
	return 0
}

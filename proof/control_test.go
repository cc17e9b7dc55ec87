package proof_test

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaplatform"
)

// flowConfig changes the configuration and checks that the accepted change comes into force on every reachable VM and never
// reverts.
func flowConfig(r *rig, at func(step)) {
	at(before)
	done := make(chan uint64, 1)
	go func() { done <- r.applyRate("change", 401) }()
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

// applyRate sets the client account's rate as an operator does: the same request is retried, at another VM each time, until
// its outcome is known. It returns the version of the change, or 0 if no attempt succeeded.
func (r *rig) applyRate(operation string, rate float64) uint64 {
	m := guavaoperator.Meta{Operation: operation, Operator: "op", Reason: "change"}
	for n := range maxAttempts {
		live := r.live()
		if len(live) == 0 {
			time.Sleep(retryDelay)
			continue
		}
		v := live[n%len(live)]
		s := v.node.Snapshot()
		desired := s.Declarations()
		desired.Accounts = slices.Clone(desired.Accounts)
		if len(desired.Accounts) > 0 {
			desired.Accounts[0].Rate = rate
		}
		res, err := v.node.Store().Apply(r.t.Context(), guavaoperator.Request{Meta: m, Base: s.Version(), Desired: desired})
		if err == nil {
			return res.Version
		}
		var conflict *guavaoperator.ConflictError
		expected := errors.As(err, &conflict) || errors.Is(err, guavaplatform.ErrUnavailable) || errors.Is(err, guavaplatform.ErrUnknown)
		if !expected {
			r.t.Logf("apply the change: %v", err)
		}
		time.Sleep(retryDelay)
	}
	return 0
}

// waitForVersion checks that a version is in force on all VMs 3 s after the last isolating fault has ended.
func (r *rig) waitForVersion(version uint64) {
	r.waitForConnectivity()
	time.Sleep(propagationTime)
	for _, v := range r.live() {
		if got := v.node.Snapshot().Version(); got < version {
			r.t.Errorf("%s: got version %d in force, want at least %d", v.settings.Name, got, version)
		}
	}
}

// flowKey issues a key, uses it and withdraws it, and checks that no reachable VM accepts it 3 s later.
func flowKey(r *rig, at func(step)) {
	at(before)
	issued, ok := r.issueSecondKey()
	if !ok {
		r.t.Error("no key was issued")
		return
	}
	r.waitForVersion(issued.Version)
	streamResult := make(chan response, 1)
	go func() {
		streamResult <- r.send(request{vm: r.live()[0], key: issued.Text, path: "/v1/completions", body: completion("endless", 3000, true)})
	}()
	time.Sleep(200 * time.Millisecond)
	at(running)
	withdrawn := r.retryWithdrawal(issued.Name)
	at(after)
	if withdrawn == 0 {
		r.t.Error("the withdrawal was not accepted")
		return
	}
	r.waitForVersion(withdrawn)
	for _, v := range r.live() {
		if a := r.send(request{vm: v, key: issued.Text, path: "/v1/completions", body: completion("refused", 4, false)}); a.status == http.StatusOK {
			r.t.Errorf("%s accepts a key that was withdrawn in version %d", v.settings.Name, withdrawn)
		}
	}
	if a := <-streamResult; a.done {
		r.t.Error("stream with the withdrawn key completed, want it cancelled")
	}
}

func (r *rig) issueSecondKey() (guavaoperator.IssuedKey, bool) {
	for n := range maxAttempts {
		if live := r.live(); len(live) > 0 {
			k, err := live[n%len(live)].node.Store().IssueKey(r.t.Context(), meta("second key"), accountName, nil)
			if err == nil {
				return k, true
			}
		}
		time.Sleep(retryDelay)
	}
	return guavaoperator.IssuedKey{}, false
}

func (r *rig) retryWithdrawal(name string) uint64 {
	m := meta("withdrawn")
	for n := range maxAttempts {
		if live := r.live(); len(live) > 0 {
			res, err := live[n%len(live)].node.Store().WithdrawKey(r.t.Context(), m, name)
			if err == nil {
				return res.Version
			}
		}
		time.Sleep(retryDelay)
	}
	return 0
}

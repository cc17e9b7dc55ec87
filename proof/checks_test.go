package proof_test

import (
	"bytes"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavastandin"
)

// waitForConnectivity waits until no fault isolates VMs, so that all of them receive changes.
func (r *rig) waitForConnectivity() {
	for r.isolatingFaults.Load() > 0 {
		time.Sleep(retryDelay)
	}
}

// checkInvariants checks the guarantees that hold in every flow, on what the stand-ins and recordVersions recorded.
func (r *rig) checkInvariants() {
	for name, e := range r.engines {
		r.checkKeyNotForwarded(name, e.Received())
	}
	for name, s := range r.services {
		r.checkKeyNotForwarded(name, s.Received())
	}
	for _, v := range r.vms {
		for i := 1; i < len(v.versions); i++ {
			if v.versions[i] < v.versions[i-1] {
				r.t.Errorf("%s: configuration reverted from version %d to %d", v.settings.Name, v.versions[i-1], v.versions[i])
			}
		}
	}
	r.checkVersionsAgree()
	r.checkAudit()
}

// checkVersionsAgree checks that VMs with the same configuration version have the same snapshot.
func (r *rig) checkVersionsAgree() {
	seen := map[uint64][]byte{}
	for _, v := range r.vms {
		s := v.node.Snapshot()
		if previous, ok := seen[s.Version()]; ok && !bytes.Equal(previous, s.Encode()) {
			r.t.Errorf("snapshot of version %d on %s differs from that on another VM", s.Version(), v.settings.Name)
		}
		seen[s.Version()] = s.Encode()
	}
}

// checkKeyNotForwarded checks that a backend server did not receive the secret of the callers' key.
func (r *rig) checkKeyNotForwarded(server string, received []guavastandin.Received) {
	secret := r.key.Text[strings.LastIndexByte(r.key.Text, '_')+1:]
	for _, q := range received {
		for name, values := range q.Header {
			if strings.Contains(strings.Join(values, " "), secret) {
				r.t.Errorf("%s received the key in header %s", server, name)
			}
		}
		if strings.Contains(q.Path, secret) || bytes.Contains(q.Body, []byte(secret)) {
			r.t.Errorf("%s received the key in a path or body", server)
		}
	}
}

// checkAudit checks that the audit trail has no missing versions and contains no key.
func (r *rig) checkAudit() {
	live := r.live()
	if len(live) == 0 {
		return
	}
	found, err := live[0].node.Store().Audit(r.t.Context(), 0, func(e guavaconfig.Entry) error {
		if bytes.Contains(e.Change().Data, []byte(r.key.Text)) {
			return errors.New("audit entry contains a key")
		}
		return nil
	})
	if err != nil {
		r.t.Errorf("read the audit trail: %v", err)
	}
	if len(found.Missing) > 0 || len(found.Faults) > 0 {
		r.t.Errorf("audit trail: got missing versions %v and faults %v, want none", found.Missing, found.Faults)
	}
}

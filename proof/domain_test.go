package proof_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestOwnDomain guards against VMs that send requests to another failure domain although engines of their own domain are
// idle. This happens, for example, when a VM does not recognise a model because engines report its name with its version.
func TestOwnDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		time.Sleep(15 * time.Second)
		for i := range 40 {
			v := r.vms[i%len(r.vms)]
			go r.send(request{vm: v, key: r.key.Text, path: "/v1/completions", body: completion(fmt.Sprintf("from %s %d", v.settings.Domain, i), 20, false)})
		}
		time.Sleep(5 * time.Second)
		for name, e := range r.engines {
			got := 0
			for _, q := range e.Received() {
				if !strings.Contains(string(q.Body), "from ") {
					continue
				}
				got++
				if from := "from " + name[len("engine-"):][:1]; !strings.Contains(string(q.Body), from) {
					t.Errorf("%s received a request from another failure domain: %s", name, q.Body)
				}
			}
			if got < 5 {
				t.Errorf("%s: got %d of the 20 requests of its failure domain, want at least 5", name, got)
			}
		}
	})
}

package guavadispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
)

// TestPoison guards against a request that is sent repeatedly and crashes one server after another, and against
// harmless concurrent requests that are rejected or interrupted because of it.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.setAll(func(a guavaback.Attempt) behaviour {
			if string(a.Body) == "poison" {
				return behaviour{crash: 2}
			}
			return healthy
		})
		vm, other := f.vm(), f.vm()
		done := make(chan string)
		for i := range 40 {
			go func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				c := &caller{}
				if _, err := vm.Run(t.Context(), completion(fmt.Sprint("innocent ", i)), c); err != nil {
					t.Errorf("harmless request %d: %v", i, err)
				}
				done <- c.text.String()
			}()
		}
		time.Sleep(50 * time.Millisecond)
		want := failure{"poison_request", guavaretry.ExecutionUnknown}
		for range 10 {
			_, err := vm.Run(t.Context(), completion("poison"), &caller{})
			if diff := cmp.Diff(want, outcome(t, err)); diff != "" {
				t.Error("outcome (-want +got):\n" + diff)
			}
			// Later requests are rejected before execution.
			want.Ran = guavaretry.NotExecuted
		}
		if f.pool.crashes != 2 {
			t.Errorf("got %d server crashes, want 2", f.pool.crashes)
		}
		for range 40 {
			if got := <-done; got != strings.Join(f.pool.words, "") {
				t.Errorf("harmless request: got text %q", got)
			}
		}
		// The first crash interrupts the requests on the same server. The second attempt of the suspect runs alone.
		if diff := cmp.Diff([]int{1, 0}, f.pool.broken); diff != "" {
			t.Error("other attempts broken by each crash (-want +got):\n" + diff)
		}
		reports := vm.PoisonReports()
		for _, r := range reports {
			if !r.Clear && r.Fingerprint != guavapoison.NewFingerprint("chat", []byte("poison")) {
				t.Error("harmless completed request still reported as a suspect")
			}
		}
		other.MergePoison(reports)
		_, err := other.Run(t.Context(), completion("poison"), &caller{})
		if diff := cmp.Diff(want, outcome(t, err)); diff != "" || f.pool.crashes != 2 {
			t.Error("outcome on the other VM, or crash count changed (-want +got):\n" + diff)
		}
		for i := range 40 {
			if _, err := other.Run(t.Context(), completion(fmt.Sprint("innocent ", i)), &caller{}); err != nil {
				t.Errorf("harmless request %d on the other VM: %v", i, err)
			}
		}
	})
}

// TestSuspectCopies guards against requests identical to a running suspect that crash more servers or occupy the
// admissions of other requests.
func TestSuspectCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.setFirst(behaviour{crash: 0})
		vm, done := f.vm(), make(chan error)
		r := completion("x")
		r.Route.Idempotent = false
		if _, err := vm.Run(t.Context(), r, &caller{}); err == nil {
			t.Fatal("got no error, want that of a crash")
		}
		for range 10 {
			go func() {
				_, err := vm.Run(t.Context(), completion("x"), &caller{})
				done <- err
			}()
		}
		time.Sleep(30 * time.Millisecond)
		if n := vm.Stats().Active["model/m"]; n != 1 || f.pool.sentCount() != 2 {
			t.Errorf("got %d admissions and %d attempts, want 1 and 2", n, f.pool.sentCount())
		}
		for range 10 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

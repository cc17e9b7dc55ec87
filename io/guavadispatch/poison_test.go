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

// TestPoison guards against a request that is sent again and again and crashes one server after the other, and
// against innocent neighbours that are refused or cut off with it.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.each(func(a guavaback.Attempt) behaviour {
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
					t.Errorf("innocent %d: %v", i, err)
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
			// Later sends are refused before they run.
			want.Ran = guavaretry.NotExecuted
		}
		if f.pool.kills != 2 {
			t.Errorf("%d servers died, want 2", f.pool.kills)
		}
		for range 40 {
			if got := <-done; got != strings.Join(f.pool.words, "") {
				t.Errorf("innocent got %q", got)
			}
		}
		// The first crash hits whoever is there. The second run of the suspect is alone.
		if diff := cmp.Diff([]int{1, 0}, f.pool.broken); diff != "" {
			t.Error("neighbours hit by each crash (-want +got):\n" + diff)
		}
		reports := vm.PoisonReports()
		for _, r := range reports {
			if !r.Clear && r.Fingerprint != guavapoison.NewFingerprint("chat", []byte("poison")) {
				t.Error("an innocent request that has completed is still reported as a suspect")
			}
		}
		other.MergePoison(reports)
		_, err := other.Run(t.Context(), completion("poison"), &caller{})
		if diff := cmp.Diff(want, outcome(t, err)); diff != "" || f.pool.kills != 2 {
			t.Error("the other VM sent it:\n" + diff)
		}
		for i := range 40 {
			if _, err := other.Run(t.Context(), completion(fmt.Sprint("innocent ", i)), &caller{}); err != nil {
				t.Errorf("innocent %d on the other VM: %v", i, err)
			}
		}
	})
}

// TestSuspectCopies guards against copies of a running suspect that crash more servers or fill the places of others.
func TestSuspectCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.once(behaviour{crash: 0})
		vm, done := f.vm(), make(chan error)
		r := completion("x")
		r.Route.Idempotent = false
		if _, err := vm.Run(t.Context(), r, &caller{}); err == nil {
			t.Fatal("want a crash")
		}
		for range 10 {
			go func() {
				_, err := vm.Run(t.Context(), completion("x"), &caller{})
				done <- err
			}()
		}
		time.Sleep(30 * time.Millisecond)
		if n := vm.Stats().Active["model/m"]; n != 1 || f.pool.attempts() != 2 {
			t.Errorf("%d places taken, %d attempts", n, f.pool.attempts())
		}
		for range 10 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

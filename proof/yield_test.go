package proof_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// yieldTarget is the time within which batch items yield their slots to a burst of online requests. engineStep is the
	// longest step of a full engine; an engine detects a cancelled stream at the end of a step.
	yieldTarget = 50 * time.Millisecond
	engineStep  = 21 * time.Millisecond
)

// TestYield guards against online requests that wait for batch items to complete because another VM than the one that
// received the requests sent the batch items to the engine.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		if _, ok := r.submitJob("night", 3000, 200); !ok {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(15 * time.Second)
		batchSlots := 0
		for _, e := range r.engines {
			running, _ := e.Running()
			batchSlots += running
		}
		if batchSlots < 40 {
			t.Fatalf("batch items occupy %d of 64 slots, want at least 40", batchSlots)
		}
		const burst = 40
		start := time.Now()
		for i := range burst {
			go r.complete(fmt.Sprint("burst ", i), 20, false)
		}
		for started := 0; started < burst; {
			time.Sleep(time.Millisecond)
			if started = 0; time.Since(start) > time.Second {
				t.Fatalf("got %d of %d requests started after 1 s, want all", started, burst)
			}
			for i := range burst {
				started += min(1, r.engineStarts(fmt.Sprintf("burst %d try 0", i)))
			}
		}
		elapsed := time.Since(start)
		t.Logf("batch items occupied %d slots; %d requests started within %v", batchSlots, burst, elapsed)
		if elapsed > yieldTarget+engineStep {
			t.Errorf("the last of %d requests started after %v, want at most %v", burst, elapsed, yieldTarget+engineStep)
		}
		time.Sleep(10 * time.Second)
	})
}

package guavabudget_test

import (
	"testing"

	"pgregory.net/rapid"

	"guavaridge/core/guavabudget"
)

// TestBudget guards against holders that together exceed the budget, against one that takes it from all others, and
// against bytes that are never given back.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 800
		b := guavabudget.New(limit)
		holders := make([]guavabudget.Holder, 20)
		held := make([]int, len(holders))
		for i := range holders {
			holders[i] = b.Holder()
		}
		sum := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i, n := rapid.IntRange(0, len(holders)-1).Draw(t, "holder"), rapid.IntRange(0, 250).Draw(t, "bytes")
			fits := n <= held[i] || n <= limit/4 && sum-held[i]+n <= limit
			if got := holders[i].Set(n); got != fits {
				t.Fatalf("holder of %d bytes, %d in all, set to %d: got %t, want %t", held[i], sum, n, got, fits)
			}
			if fits {
				sum += n - held[i]
				held[i] = n
			}
			if b.Used() != sum || sum > limit {
				t.Fatalf("%d bytes in use, want %d, at most %d", b.Used(), sum, limit)
			}
		}
		for i := range holders {
			holders[i].Set(0)
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes in use at the end", b.Used())
		}
	})
}

package guavabudget_test

import (
	"testing"

	"pgregory.net/rapid"

	"guavaridge/core/guavabudget"
)

// TestShares guards against one key whose holders take the budget from those of all other keys, and against keys that stay in
// memory after their last holder.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, most = 800, 500
		b := guavabudget.New(limit)
		shares := guavabudget.NewShares[int](b, most)
		const keys, perKey = 3, 6
		holders := make([]*guavabudget.SharedHolder[int], keys*perKey)
		held := make([]int, len(holders))
		for i := range holders {
			holders[i] = shares.Holder(i % keys)
		}
		var sum int
		var used [keys]int
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i, n := rapid.IntRange(0, len(holders)-1).Draw(t, "holder"), rapid.IntRange(0, 250).Draw(t, "bytes")
			k := i % keys
			fits := n <= held[i] || n <= limit/4 && sum-held[i]+n <= limit && used[k]-held[i]+n <= most
			if got := holders[i].Set(n); got != fits {
				t.Fatalf("holder of %d bytes, %d of its key, %d in all, set to %d: got %t, want %t", held[i], used[k], sum, n, got, fits)
			}
			if fits {
				sum, used[k], held[i] = sum+n-held[i], used[k]+n-held[i], n
			}
			if b.Used() != sum || used[k] > most {
				t.Fatalf("%d bytes in use, want %d; %d of the key, at most %d", b.Used(), sum, used[k], most)
			}
		}
		for _, h := range holders {
			h.Set(0)
		}
		if b.Used() != 0 || shares.Len() != 0 {
			t.Fatalf("%d bytes and %d keys in use at the end", b.Used(), shares.Len())
		}
	})
}

package guavamember_test

import (
	"fmt"
	"slices"
	"testing"

	"guavaridge/core/guavamember"
)

// TestPosition guards against a position that differs from the order of Rank, which would let two VMs take the same
// rank.
func TestPosition(t *testing.T) {
	vms := make([]guavamember.Identity, 0, 40)
	for i := range 40 {
		vms = append(vms, guavamember.Identity{Name: fmt.Sprintf("vm-%d", i)})
	}
	for i := range 40 {
		key, excluded := fmt.Sprintf("job/%d", i), fmt.Sprintf("vm-%d", (i+7)%40)
		others := slices.DeleteFunc(slices.Clone(vms), func(v guavamember.Identity) bool { return v.Name == excluded })
		for rank, v := range guavamember.Rank(key, others) {
			if got := guavamember.Position(key, v.Name, excluded, vms); got != rank {
				t.Errorf("position of %s for %s without %s: got %d, want %d", v.Name, key, excluded, got, rank)
			}
		}
	}
}

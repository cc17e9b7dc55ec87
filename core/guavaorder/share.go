package guavaorder

import (
	"maps"
	"slices"

	"guavaridge/core/guavaconfig"
)

// share is the number of servers of a model that one failure domain must keep serving.
type share struct {
	minServing int
	// sequential is true when the failure domains must change their servers one domain at a time, in order of their
	// names.
	sequential bool
}

// shares divides the minimum number of servers of each model among the failure domains, so that each domain decides
// without the others: when every domain keeps its share, the fleet keeps the minimum. A domain with n servers gets a
// share of at most n-1, so that it can always change one server. When the minimum is too high for that, one domain at
// a time changes its servers, and keeps all of them except as many as the fleet has above the minimum.
func shares(s *guavaconfig.Snapshot, domain string) map[string]share {
	declared := make(map[string]map[string]int) // number of servers by model and domain
	for _, b := range s.Declarations().Servers {
		if b.Service != "" || b.Leaving {
			continue
		}
		for _, m := range b.Models {
			if declared[m] == nil {
				declared[m] = make(map[string]int)
			}
			declared[m][b.Domain]++
		}
	}
	result := make(map[string]share)
	for model, byDomain := range declared {
		m, _ := s.Model(model)
		if m.MinServers > 0 && byDomain[domain] > 0 {
			result[model] = newShare(m.MinServers, byDomain, domain)
		}
	}
	return result
}

func newShare(minimum int, byDomain map[string]int, domain string) share {
	total, spare := 0, 0
	for _, n := range byDomain {
		total += n
		spare += n - 1
	}
	if minimum > spare {
		return share{minServing: max(0, byDomain[domain]-max(0, total-minimum)), sequential: true}
	}
	shareOf := make(map[string]int, len(byDomain))
	unassigned := minimum
	for d, n := range byDomain {
		shareOf[d] = minimum * (n - 1) / max(spare, 1)
		unassigned -= shareOf[d]
	}
	for unassigned > 0 {
		for _, d := range slices.Sorted(maps.Keys(byDomain)) {
			if unassigned > 0 && shareOf[d] < byDomain[d]-1 {
				shareOf[d]++
				unassigned--
			}
		}
	}
	return share{minServing: shareOf[domain]}
}

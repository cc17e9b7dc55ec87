package guavaorder

import (
	"maps"
	"slices"

	"guavaridge/core/guavaconfig"
)

// share is the part of a model's least number of servers that one failure domain answers for.
type share struct {
	keep int
	// turns is true when failure domains must change their servers one after the other, in order of their names.
	turns bool
}

// shares divides the least number of servers of each model over the failure domains, so that each can decide alone:
// while every domain keeps its share, the fleet keeps the least number. A domain with n servers gets at most n-1, so
// that it can always change one. When the least number leaves too little room for that, domains take turns, and the
// one whose turn it is keeps all but the fleet's spare servers.
func shares(s *guavaconfig.Snapshot, domain string) map[string]share {
	declared := make(map[string]map[string]int) // servers by model and domain
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
		if m.Least > 0 && byDomain[domain] > 0 {
			result[model] = newShare(m.Least, byDomain, domain)
		}
	}
	return result
}

func newShare(least int, byDomain map[string]int, domain string) share {
	total, room := 0, 0
	for _, n := range byDomain {
		total += n
		room += n - 1
	}
	if least > room {
		return share{keep: max(0, byDomain[domain]-max(0, total-least)), turns: true}
	}
	keep := make(map[string]int, len(byDomain))
	rest := least
	for d, n := range byDomain {
		keep[d] = least * (n - 1) / max(room, 1)
		rest -= keep[d]
	}
	for rest > 0 {
		for _, d := range slices.Sorted(maps.Keys(byDomain)) {
			if rest > 0 && keep[d] < byDomain[d]-1 {
				keep[d]++
				rest--
			}
		}
	}
	return share{keep: keep[domain]}
}

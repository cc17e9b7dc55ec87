package guavalimit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaridge/core/guavaconfig"
)

// Groups is the number of account groups, each with a pool of its own.
const Groups = 64

// leastPart is the least burst that a domain's part of an account has. A part below one token could never admit a
// request, and a slice may be missing while a VM is replaced. Smaller parts also refuse more requests within the rate,
// because fractions of a token in several domains do not add up to one.
const leastPart = 3

// Group returns the group of an account.
func Group(account string) int { return int(xxhash.Sum64String(account) % Groups) }

// Share is the part of an account's rate (requests per second) and burst (requests) that belongs to one slot.
type Share struct{ Rate, Burst float64 }

// Plan is what one VM knows of all accounts' rates. It is immutable and belongs to one configuration version.
type Plan struct {
	snapshot *guavaconfig.Snapshot
	domain   string
	domains  []guavaconfig.FailureDomain
	slots    int
}

// NewPlan returns the plan of a VM in a domain. A domain that the snapshot does not declare has no slots.
func NewPlan(s *guavaconfig.Snapshot, domain string) Plan {
	p := Plan{snapshot: s, domain: domain}
	own, _ := s.Domain(domain)
	p.slots = own.VMSlots
	for _, d := range s.Declarations().Domains {
		if d.VMSlots > 0 {
			p.domains = append(p.domains, d)
		}
	}
	// The own domain comes first, then its region, then the rest in an order that differs between domains.
	slices.SortFunc(p.domains, func(a, b guavaconfig.FailureDomain) int {
		return cmp.Or(
			cmp.Compare(far(a, own), far(b, own)),
			cmp.Compare(xxhash.Sum64String(domain+"/"+a.Name), xxhash.Sum64String(domain+"/"+b.Name)),
		)
	})
	return p
}

func far(d, own guavaconfig.FailureDomain) int {
	switch {
	case d.Name == own.Name:
		return 0
	case d.Region == own.Region:
		return 1
	default:
		return 2
	}
}

// Slots returns the number of slots that the own domain declares.
func (p Plan) Slots() int { return p.slots }

// Share returns the part of an account's rate that belongs to one slot of the own domain. ok is false for an
// unknown account.
func (p Plan) Share(account string) (s Share, ok bool) {
	if p.snapshot == nil {
		return Share{}, false
	}
	a, ok := p.snapshot.Account(account)
	if !ok {
		return Share{}, false
	}
	homes := p.homes(a)
	for _, d := range homes {
		if d.Name == p.domain {
			n := float64(len(homes) * p.slots)
			return Share{Rate: a.Rate / n, Burst: a.Burst / n}, true
		}
	}
	return Share{}, true
}

// Domains returns the domains that have a part of the account's rate, nearest first.
func (p Plan) Domains(account string) []string {
	if p.snapshot == nil {
		return nil
	}
	a, ok := p.snapshot.Account(account)
	if !ok {
		return nil
	}
	names := make([]string, 0, len(p.domains))
	for _, d := range p.homes(a) {
		names = append(names, d.Name)
	}
	return names
}

// homes returns all domains, or as many as keep leastPart each, chosen by the account's name.
func (p Plan) homes(a guavaconfig.ClientAccount) []guavaconfig.FailureDomain {
	k := int(math.Floor(a.Burst / leastPart))
	if k >= len(p.domains) {
		return p.domains
	}
	k = max(k, 1)
	hash := func(d guavaconfig.FailureDomain) uint64 { return xxhash.Sum64String(a.Name + "/" + d.Name) }
	ranked := make([]uint64, 0, len(p.domains))
	for _, d := range p.domains {
		ranked = append(ranked, hash(d))
	}
	slices.Sort(ranked)
	var chosen []guavaconfig.FailureDomain
	for _, d := range p.domains {
		if len(ranked) > 0 && hash(d) <= ranked[min(k, len(ranked))-1] {
			chosen = append(chosen, d)
		}
	}
	return chosen
}

package guavalimit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaridge/core/guavaconfig"
)

// Groups is the number of account groups. Each group has one pool per domain.
const Groups = 64

// minDomainBurst is the minimum burst of a domain's share of an account. A share below one token could never admit a
// request, and a slice may be missing while a VM is replaced. Smaller shares also cause more refusals within the rate,
// because fractions of a token in several domains do not add up to one.
const minDomainBurst = 3

// Group returns the group of an account.
func Group(account string) int { return int(xxhash.Sum64String(account) % Groups) }

// Share is the part of an account's rate (requests/s) and burst (requests) that belongs to one slot.
type Share struct{ Rate, Burst float64 }

// Plan is one VM's view of all accounts' rates. It is immutable and belongs to one configuration version.
type Plan struct {
	snapshot *guavaconfig.Snapshot
	domain   string
	domains  []guavaconfig.FailureDomain
	slots    int
}

// NewPlan returns the plan of a VM in a domain. A domain that the snapshot does not declare has no slots.
func NewPlan(s *guavaconfig.Snapshot, domain string) Plan {
	p := Plan{snapshot: s, domain: domain}
	local, _ := s.Domain(domain)
	p.slots = local.VMSlots
	for _, d := range s.Declarations().Domains {
		if d.VMSlots > 0 {
			p.domains = append(p.domains, d)
		}
	}
	// Nearest first: the local failure domain, then its region, then the rest in an order that differs between domains.
	slices.SortFunc(p.domains, func(a, b guavaconfig.FailureDomain) int {
		return cmp.Or(
			cmp.Compare(distance(a, local), distance(b, local)),
			cmp.Compare(xxhash.Sum64String(domain+"/"+a.Name), xxhash.Sum64String(domain+"/"+b.Name)),
		)
	})
	return p
}

func distance(d, local guavaconfig.FailureDomain) int {
	switch {
	case d.Name == local.Name:
		return 0
	case d.Region == local.Region:
		return 1
	default:
		return 2
	}
}

// Slots returns the number of slots that the local failure domain declares.
func (p Plan) Slots() int { return p.slots }

// Share returns the part of an account's rate that belongs to one slot of the local failure domain. It is zero if the
// domain is not among the account's domains. ok is false for an unknown account.
func (p Plan) Share(account string) (s Share, ok bool) {
	if p.snapshot == nil {
		return Share{}, false
	}
	a, ok := p.snapshot.Account(account)
	if !ok {
		return Share{}, false
	}
	domains := p.accountDomains(a)
	for _, d := range domains {
		if d.Name == p.domain {
			n := float64(len(domains) * p.slots)
			return Share{Rate: a.Rate / n, Burst: a.Burst / n}, true
		}
	}
	return Share{}, true
}

// Domains returns the domains that have a share of the account's rate, nearest first.
func (p Plan) Domains(account string) []string {
	if p.snapshot == nil {
		return nil
	}
	a, ok := p.snapshot.Account(account)
	if !ok {
		return nil
	}
	names := make([]string, 0, len(p.domains))
	for _, d := range p.accountDomains(a) {
		names = append(names, d.Name)
	}
	return names
}

// accountDomains returns the domains that have a share of the account's rate: all of them, or as many as leave
// minDomainBurst for each, chosen by a hash of the account's name.
func (p Plan) accountDomains(a guavaconfig.ClientAccount) []guavaconfig.FailureDomain {
	k := int(math.Floor(a.Burst / minDomainBurst))
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

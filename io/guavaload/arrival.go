package guavaload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the kind of a call: a buffered completion, a streamed completion or a call to a plain service.
type kind string

const (
	kindPlain   kind = "plain"
	kindStream  kind = "stream"
	kindService kind = "service"
)

// arrival is one call, scheduled at an offset from the start independently of whether earlier calls have ended.
type arrival struct {
	offset  time.Duration
	account int
	kind    kind
	target  int
	number  int
}

// schedule draws the arrivals of all client accounts and sorts them by time.
func schedule(p Plan) []arrival {
	all := make([]arrival, 0, p.expectedArrivals())
	for i, a := range p.Accounts {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all = append(all, accountArrivals(p, i, a, r)...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.offset, b.offset) })
	for i := range all {
		all[i].number = i
	}
	return all
}

// expectedArrivals returns the mean number of arrivals without bursts.
func (p Plan) expectedArrivals() int {
	var rate float64
	for _, a := range p.Accounts {
		rate += a.Rate
	}
	return int(rate) * p.Seconds
}

func accountArrivals(p Plan, index int, a Account, r *rand.Rand) []arrival {
	if a.Rate <= 0 {
		return nil
	}
	peak := a.Rate * max(1, a.Burst.Factor)
	all := make([]arrival, 0, int(a.Rate)*p.Seconds)
	for t := r.ExpFloat64() / peak; t < float64(p.Seconds); t += r.ExpFloat64() / peak {
		// Thinning: dropping arrivals of a Poisson process of the peak rate at random gives one of the current rate.
		if r.Float64()*peak > a.Rate*a.Burst.factorAt(t) {
			continue
		}
		all = append(all, arrival{
			offset:  time.Duration(t * float64(time.Second)),
			account: index,
			kind:    a.drawKind(r.Float64()),
			target:  r.IntN(len(p.Targets)),
		})
	}
	return all
}

// factorAt returns the multiplier of the rate at t seconds after the start.
func (b Burst) factorAt(t float64) float64 {
	if b.Every <= 0 || b.Factor <= 0 {
		return 1
	}
	if t-float64(int(t/b.Every))*b.Every < b.Length {
		return b.Factor
	}
	return 1
}

func (a Account) drawKind(u float64) kind {
	switch {
	case u < a.StreamedShare:
		return kindStream
	case u < a.StreamedShare+a.ServiceShare:
		return kindService
	default:
		return kindPlain
	}
}

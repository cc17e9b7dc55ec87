package guavaload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the kind of a call.
type kind string

const (
	kindPlain   kind = "plain"
	kindStream  kind = "stream"
	kindService kind = "service"
)

// arrival is one call that is due at a time after the start, whether or not earlier calls have ended.
type arrival struct {
	at      time.Duration
	account int
	kind    kind
	target  int
	number  int
}

// schedule draws the arrivals of all client accounts, in order of time.
func schedule(p Plan) []arrival {
	all := make([]arrival, 0, p.expected())
	for i, a := range p.Accounts {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all = append(all, accountArrivals(p, i, a, r)...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range all {
		all[i].number = i
	}
	return all
}

// expected returns the mean number of arrivals outside bursts.
func (p Plan) expected() int {
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
		// Thinning a Poisson process of the peak rate gives one of the current rate.
		if r.Float64()*peak > a.Rate*a.Burst.factor(t) {
			continue
		}
		all = append(all, arrival{
			at:      time.Duration(t * float64(time.Second)),
			account: index,
			kind:    a.draw(r.Float64()),
			target:  r.IntN(len(p.Targets)),
		})
	}
	return all
}

// factor returns by how much the rate is multiplied at t seconds after the start.
func (b Burst) factor(t float64) float64 {
	if b.Every <= 0 || b.Factor <= 0 {
		return 1
	}
	if t-float64(int(t/b.Every))*b.Every < b.Length {
		return b.Factor
	}
	return 1
}

func (a Account) draw(u float64) kind {
	switch {
	case u < a.StreamedShare:
		return kindStream
	case u < a.StreamedShare+a.ServiceShare:
		return kindService
	default:
		return kindPlain
	}
}

package guavaplace

import "time"

const (
	// paceTTL is how long a reported pace counts by itself. Servers share machines with others, whose load changes within some
	// hundred milliseconds.
	paceTTL = 400 * time.Millisecond
	// minPace and maxPace bound a reported pace.
	minPace, maxPace = 0.1, 20
)

// pace is how long work takes on a server, relative to the usual time of its service, from the server's reports. Its zero value knows
// none and counts as the usual time.
//
// The load pattern that it answers: servers of a service differ in speed, and turn slow and fast again. With slots as the only measure,
// a slow server gets as many requests as a fast one and holds them for longer, so in a wave most of those that wait do so behind slow
// servers.
type pace struct {
	last       float64
	reportedAt time.Time
	average    average
}

// report records a reported pace; 0 is none.
func (p *pace) report(now time.Time, v float64) {
	if v <= 0 {
		return
	}
	p.last, p.reportedAt = min(max(v, minPace), maxPace), now
	p.average.add(p.last)
}

func (p *pace) isKnown() bool { return p.average.known }

// at returns the pace at a time: the last report while it is fresh, and then the average.
func (p *pace) at(now time.Time) float64 {
	if p.isKnown() && now.Sub(p.reportedAt) < paceTTL {
		return p.last
	}
	return p.mean()
}

// mean returns the average pace, 1 if none is known.
func (p *pace) mean() float64 { return p.average.or(1) }

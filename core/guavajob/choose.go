package guavajob

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the half-life of the items counted as served to a client account. It spans several chunks, so
	// that an account with slow chunks does not get two turns in a row.
	shareHalfLife = time.Minute
	// maxShareLead is the number of items, divided by weight, by which an account may exceed the one with the smallest
	// share: two chunks.
	maxShareLead = 1000
	// smallestJobInterval makes every 4th chunk of an account go to its job with the fewest unclaimed items, so that small
	// jobs make progress beside one that takes hours.
	smallestJobInterval = 4
)

// urgencyWindow is the time before the deadline in which the urgency of a job rises.
const urgencyWindow = 15 * time.Minute

// Urgency returns how close a job is to its deadline: 0 until urgencyWindow before the deadline, rising linearly to 1
// at the deadline.
func Urgency(deadline, now time.Time) float64 {
	return min(max(1-float64(deadline.Sub(now))/float64(urgencyWindow), 0), 1)
}

// Candidate is a job with claimable chunks.
type Candidate struct {
	Job      string
	Account  string
	Weight   float64
	Deadline time.Time
	// Left is the number of unclaimed items.
	Left int
}

// Chooser selects the job whose chunk is claimed next: earliest deadline first among the client accounts that do not
// exceed their fair share. It is not safe for concurrent use.
type Chooser struct {
	servedItems map[string]float64
	choices     map[string]int
	last        time.Time
}

// NewChooser returns a Chooser without recorded claims.
func NewChooser() *Chooser {
	return &Chooser{servedItems: make(map[string]float64), choices: make(map[string]int)}
}

// Next returns the index of the candidate to claim from, or -1 when there are none.
func (c *Chooser) Next(candidates []Candidate, now time.Time) int {
	c.decay(now)
	minShare := math.Inf(1)
	for _, x := range candidates {
		minShare = min(minShare, c.share(x))
	}
	best := -1
	for i, x := range candidates {
		if c.share(x) <= minShare+maxShareLead && (best < 0 || earlier(x, candidates[best])) {
			best = i
		}
	}
	if best < 0 || c.choices[candidates[best].Account]%smallestJobInterval != smallestJobInterval-1 {
		return best
	}
	smallest := best
	for i, x := range candidates {
		if x.Account == candidates[best].Account && x.Left < candidates[smallest].Left {
			smallest = i
		}
	}
	return smallest
}

// Charge records a claim of a chunk with this number of items for the client account.
func (c *Chooser) Charge(account string, items int, now time.Time) {
	c.decay(now)
	c.servedItems[account] += float64(items)
	c.choices[account]++
}

func (c *Chooser) share(x Candidate) float64 {
	w := x.Weight
	if w <= 0 {
		w = 1
	}
	return c.servedItems[x.Account] / w
}

func (c *Chooser) decay(now time.Time) {
	if !c.last.IsZero() {
		f := math.Exp2(-now.Sub(c.last).Seconds() / shareHalfLife.Seconds())
		for a, s := range c.servedItems {
			if s *= f; s < 1 {
				delete(c.servedItems, a)
				delete(c.choices, a)
				continue
			}
			c.servedItems[a] = s
		}
	}
	c.last = now
}

// earlier orders by deadline, then by identifier, so that all VMs use the same order.
func earlier(a, b Candidate) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Job < b.Job
}

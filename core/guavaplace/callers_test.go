package guavaplace_test

import (
	"fmt"
	"math"
	"time"

	"guavaridge/core/guavaplace"
)

// call is a request with what is known of it in the replay.
type call struct {
	guavaplace.Request
	prompt, output int // tokens that are left to read and to make
	whole          int // tokens to make, over all runs
	arrived        time.Duration
	due            time.Duration
	tries          int
	server         string
	first          time.Duration // when the answer began
	over           bool
	worth          float64
}

func (r *replay) arrive(class guavaplace.Class) {
	r.number++
	c := &call{arrived: r.now, prompt: 350, output: max(int(95*math.Exp(0.4*r.random.NormFloat64())), 5)}
	c.Request = guavaplace.Request{
		Key:    guavaplace.Key{VM: "v", Number: r.number},
		Class:  class,
		Domain: fmt.Sprintf("d%d", r.number%uint64(r.pattern.domains)), //nolint:gosec // positive
		Tokens: c.prompt + c.output, Work: 95, Start: target, Patience: time.Duration(patienceShare * float64(budget)),
	}
	c.worth = onlineWorth
	if class == guavaplace.Batch {
		c.output = max(int(645*math.Exp(0.4*r.random.NormFloat64())), 50)
		c.Priority, c.Work, c.Tokens, c.worth = 2, 645, c.prompt+c.output, batchWorth
		c.due = r.now + dueTime
		c.Due = dueTime
	}
	c.whole = c.output
	r.owed[class] += c.worth
	r.calls[r.number] = c
	r.apply(r.policy.Submit(r.clock(), c.Request))
}

func (r *replay) apply(decisions []guavaplace.Decision) {
	for _, d := range decisions {
		c := r.calls[d.Key.Number]
		switch d.Action {
		case guavaplace.Run:
			c.server = d.Server
			by := r.policy
			r.after(hop, func() { r.send(c, by) })
		case guavaplace.Refuse:
			r.refused(c, d.After)
		case guavaplace.Yield:
			r.counts["yields"]++
			made := r.engines[c.server].remove(c.Key.Number)
			c.server = ""
			by := r.policy
			r.after(hop, func() {
				if r.policy == by { // else it was taken up again by the next one
					r.again(c, made)
				}
			})
		case guavaplace.Wait:
		}
	}
}

// again submits the rest of a batch item.
func (r *replay) again(c *call, made int) {
	c.output -= made
	c.prompt += made
	c.Made += float64(made)
	c.Work = max(c.Work-float64(made), 20)
	c.Due = c.due - r.now
	r.apply(r.policy.Submit(r.clock(), c.Request))
}

func (r *replay) refused(c *call, after time.Duration) {
	r.counts["refused"]++
	if c.Returning || c.tries > 0 || r.now+after > c.arrived+budget {
		return
	}
	c.over = true // for now; a caller comes back to whichever VM serves then
	r.after(after, func() {
		c.over = false
		c.Returning = true
		c.Start = target - (r.now - c.arrived)
		c.Patience = time.Duration(returnsShare * float64(c.arrived+budget-r.now))
		r.apply(r.policy.Submit(r.clock(), c.Request))
	})
}

func (r *replay) send(c *call, by policy) {
	if c.server == "" || r.policy != by {
		return // yielded or lost on the way
	}
	e := r.engines[c.server]
	if e.down {
		r.over(c.Key.Number, guavaplace.Unreachable, 0)
		return
	}
	e.add(&sequence{number: c.Key.Number, prompt: c.prompt, output: c.output, fails: r.random.Float64() < e.fails})
}

func (r *replay) started(number uint64) {
	c := r.calls[number]
	c.first = r.now
	e := r.engines[c.server]
	r.policy.Started(r.clock(), c.Key, &guavaplace.Load{Running: len(e.runs), Waiting: len(e.queue), Slots: e.places})
}

func (r *replay) ended(o ended) {
	if o.failed {
		r.over(o.number, guavaplace.Failed, 0)
		return
	}
	r.over(o.number, guavaplace.Done, o.made)
}

// over ends a run.
func (r *replay) over(number uint64, o guavaplace.Outcome, made int) {
	c := r.calls[number]
	server := c.server
	c.server = ""
	decisions := r.policy.Release(r.clock(), guavaplace.Report{Key: c.Key, Outcome: o, Work: float64(made)})
	if o == guavaplace.Done {
		c.over = true
		r.earned[c.Class] += c.worth * r.rate(c)
		r.counts["served "+string(c.Class)]++
		if rate := r.rate(c); rate < 1 {
			r.counts["late "+string(c.Class)]++
		}
		r.apply(decisions)
		return
	}
	r.apply(decisions)
	r.counts["failed runs"]++
	if c.Class == guavaplace.Batch {
		by := r.policy
		r.after(50*time.Millisecond, func() {
			if r.policy == by {
				r.again(c, made)
			}
		})
		return
	}
	if c.tries++; c.tries >= mostTries || r.now > c.arrived+budget {
		c.over = true
		r.counts["failed"]++
		return
	}
	c.Avoid = append(c.Avoid, server)
	c.Start = target - (r.now - c.arrived)
	c.Patience = time.Duration(patienceShare * float64(c.arrived+budget-r.now))
	r.apply(r.policy.Submit(r.clock(), c.Request))
}

// rate is the part of its worth that an answer which ends now has.
func (r *replay) rate(c *call) float64 {
	if c.Class == guavaplace.Batch {
		if r.now <= c.due {
			return 1
		}
		return overdueRate
	}
	switch {
	case c.first <= c.arrived+target:
		return 1
	case r.now <= c.arrived+budget:
		return lateRate
	}
	return 0
}

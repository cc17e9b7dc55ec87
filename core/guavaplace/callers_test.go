package guavaplace_test

import (
	"fmt"
	"math"
	"time"

	"guavaridge/core/guavaplace"
)

// call is a request and its state in the replay.
type call struct {
	guavaplace.Request
	prompt, output int // tokens still to be read and to be generated
	totalOutput    int // output tokens over all runs
	arrived        time.Duration
	deadline       time.Duration
	attempts       int
	server         string
	firstToken     time.Duration // when the response began
	ended          bool
	value          float64
}

func (r *replay) arrive(class guavaplace.Class) {
	r.number++
	c := &call{arrived: r.now, prompt: 350, output: max(int(95*math.Exp(0.4*r.random.NormFloat64())), 5)}
	c.Request = guavaplace.Request{
		Key:    guavaplace.Key{VM: "v", Number: r.number},
		Class:  class,
		Domain: fmt.Sprintf("d%d", r.number%uint64(r.pattern.domains)), //nolint:gosec // positive
		Tokens: c.prompt + c.output, Work: 95, Start: target, Patience: time.Duration(maxWaitShare * float64(budget)),
	}
	c.value = onlineValue
	if class == guavaplace.Batch {
		c.output = max(int(645*math.Exp(0.4*r.random.NormFloat64())), 50)
		c.Priority, c.Work, c.Tokens, c.value = 2, 645, c.prompt+c.output, batchValue
		c.deadline = r.now + itemDeadline
		c.Due = itemDeadline
	}
	c.totalOutput = c.output
	r.possible[class] += c.value
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
			r.after(networkDelay, func() { r.send(c, by) })
		case guavaplace.Refuse:
			r.refused(c, d.After)
		case guavaplace.Yield:
			r.counts["yields"]++
			generated := r.engines[c.server].remove(c.Key.Number)
			c.server = ""
			by := r.policy
			r.after(networkDelay, func() {
				if r.policy == by { // otherwise a restart has resubmitted the item
					r.resubmit(c, generated)
				}
			})
		case guavaplace.Wait:
		}
	}
}

// resubmit submits the remaining part of a batch item.
func (r *replay) resubmit(c *call, generated int) {
	c.output -= generated
	c.prompt += generated
	c.Made += float64(generated)
	c.Work = max(c.Work-float64(generated), 20)
	c.Due = c.deadline - r.now
	r.apply(r.policy.Submit(r.clock(), c.Request))
}

func (r *replay) refused(c *call, after time.Duration) {
	r.counts["refused"]++
	if c.Returning || c.attempts > 0 || r.now+after > c.arrived+budget {
		return
	}
	c.ended = true // until the retry, which goes to any VM that serves then
	r.after(after, func() {
		c.ended = false
		c.Returning = true
		c.Start = target - (r.now - c.arrived)
		c.Patience = time.Duration(retryWaitShare * float64(c.arrived+budget-r.now))
		r.apply(r.policy.Submit(r.clock(), c.Request))
	})
}

func (r *replay) send(c *call, by policy) {
	if c.server == "" || r.policy != by {
		return // yielded, or submitted before a restart
	}
	e := r.engines[c.server]
	if e.down {
		r.endRun(c.Key.Number, guavaplace.Unreachable, 0)
		return
	}
	e.add(&sequence{number: c.Key.Number, prompt: c.prompt, output: c.output, fails: r.random.Float64() < e.fails})
}

func (r *replay) started(number uint64) {
	c := r.calls[number]
	c.firstToken = r.now
	e := r.engines[c.server]
	r.policy.Started(r.clock(), c.Key, &guavaplace.Load{Running: len(e.runs), Waiting: len(e.queue), Slots: e.slots})
}

func (r *replay) finished(e endedRun) {
	if e.failed {
		r.endRun(e.number, guavaplace.Failed, 0)
		return
	}
	r.endRun(e.number, guavaplace.Done, e.generated)
}

// endRun ends a run and handles the outcome as the caller does.
func (r *replay) endRun(number uint64, o guavaplace.Outcome, generated int) {
	c := r.calls[number]
	server := c.server
	c.server = ""
	decisions := r.policy.Release(r.clock(), guavaplace.Report{Key: c.Key, Outcome: o, Work: float64(generated)})
	if o == guavaplace.Done {
		c.ended = true
		r.earned[c.Class] += c.value * r.valueShare(c)
		r.counts["served "+string(c.Class)]++
		if share := r.valueShare(c); share < 1 {
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
				r.resubmit(c, generated)
			}
		})
		return
	}
	if c.attempts++; c.attempts >= maxAttempts || r.now > c.arrived+budget {
		c.ended = true
		r.counts["failed"]++
		return
	}
	c.Avoid = append(c.Avoid, server)
	c.Start = target - (r.now - c.arrived)
	c.Patience = time.Duration(maxWaitShare * float64(c.arrived+budget-r.now))
	r.apply(r.policy.Submit(r.clock(), c.Request))
}

// valueShare returns the share of its value that a response has when it ends now.
func (r *replay) valueShare(c *call) float64 {
	if c.Class == guavaplace.Batch {
		if r.now <= c.deadline {
			return 1
		}
		return overdueShare
	}
	switch {
	case c.firstToken <= c.arrived+target:
		return 1
	case r.now <= c.arrived+budget:
		return lateShare
	}
	return 0
}

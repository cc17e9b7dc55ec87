package guavaplace_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavatraffic"
)

// policy is a scheduling policy for the servers of a service.
type policy interface {
	Submit(now time.Time, r guavaplace.Request) []guavaplace.Decision
	Started(now time.Time, k guavaplace.Key, l *guavaplace.Load)
	Release(now time.Time, p guavaplace.Report) []guavaplace.Decision
	Tick(now time.Time) []guavaplace.Decision
	Pause() time.Duration
}

// policies are the scheduler and the policies that it is compared with.
var policies = []struct {
	name string
	make func(list []guavatraffic.Server, service guavatraffic.Service) policy
}{
	{"scheduler", func(list []guavatraffic.Server, service guavatraffic.Service) policy {
		s := guavaplace.New(guavapoison.NewCrashTracker())
		s.SetServers(epoch, list, service)
		return s
	}},
	{"engines", func(list []guavatraffic.Server, _ guavatraffic.Service) policy { return newSimple(list, 1<<30, false) }},
	{"queue", func(list []guavatraffic.Server, _ guavatraffic.Service) policy { return newSimple(list, 0, false) }},
	{"choices", func(list []guavatraffic.Server, _ guavatraffic.Service) policy { return newSimple(list, 0, true) }},
}

// simple sends each request to the server with the fewest requests. With a queueDepth, it queues requests at the
// engines, up to that number per server. With choices, it considers two servers drawn at random and refuses online
// requests when both are full. Otherwise it keeps a single queue in order of arrival and refuses at the end of the
// maximum wait.
type simple struct {
	list       []guavatraffic.Server
	queueDepth int
	choices    bool
	counts     map[string]int
	runs       map[guavaplace.Key]string
	queue      []queuedRequest
	random     *rand.Rand
}

type queuedRequest struct {
	guavaplace.Request
	until time.Time
}

// simpleRetryAfter is the time after which callers refused by simple retry.
const simpleRetryAfter = time.Second

func newSimple(list []guavatraffic.Server, depth int, choices bool) *simple {
	return &simple{
		list: list, queueDepth: depth, choices: choices, counts: map[string]int{}, runs: map[guavaplace.Key]string{},
		random: rand.New(rand.NewPCG(1, 2)), //nolint:gosec // repeatable
	}
}

// Submit implements policy.
func (p *simple) Submit(now time.Time, r guavaplace.Request) []guavaplace.Decision {
	if d, ok := p.schedule(r); ok {
		return []guavaplace.Decision{d}
	}
	if p.choices && r.Class == guavaplace.Online {
		return []guavaplace.Decision{{Key: r.Key, Action: guavaplace.Refuse, After: simpleRetryAfter}}
	}
	until := now.Add(r.Patience)
	if r.Class == guavaplace.Batch {
		until = now.Add(time.Hour)
	}
	p.queue = append(p.queue, queuedRequest{r, until})
	return []guavaplace.Decision{{Key: r.Key, Action: guavaplace.Wait}}
}

func (p *simple) schedule(r guavaplace.Request) (guavaplace.Decision, bool) {
	var best *guavatraffic.Server
	consider := func(i int) {
		v := &p.list[i]
		if p.counts[v.ID] < v.Slots+p.queueDepth && !slices.Contains(r.Avoid, v.ID) &&
			(best == nil || p.counts[v.ID] < p.counts[best.ID]) {
			best = v
		}
	}
	if p.choices {
		consider(p.random.IntN(len(p.list)))
		consider(p.random.IntN(len(p.list)))
	} else {
		for i := range p.list {
			consider(i)
		}
	}
	if best == nil {
		return guavaplace.Decision{}, false
	}
	p.counts[best.ID]++
	p.runs[r.Key] = best.ID
	return guavaplace.Decision{Key: r.Key, Action: guavaplace.Run, Server: best.ID}, true
}

// Started implements policy.
func (*simple) Started(time.Time, guavaplace.Key, *guavaplace.Load) {}

// Release implements policy.
func (p *simple) Release(now time.Time, r guavaplace.Report) []guavaplace.Decision {
	p.counts[p.runs[r.Key]]--
	delete(p.runs, r.Key)
	return p.Tick(now)
}

// Tick implements policy.
func (p *simple) Tick(now time.Time) []guavaplace.Decision {
	var out []guavaplace.Decision
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool {
		d, ok := p.schedule(w.Request)
		if !ok && now.After(w.until) {
			d, ok = guavaplace.Decision{Key: w.Key, Action: guavaplace.Refuse, After: simpleRetryAfter}, true
		}
		if ok {
			out = append(out, d)
		}
		return ok
	})
	return out
}

// Pause implements policy.
func (p *simple) Pause() time.Duration { return 10 * time.Millisecond }

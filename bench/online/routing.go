package online

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaqueue"
	"guavaridge/core/guavaroute"
)

// Routing simulates the routing of requests in a failure domain under load.
type Routing struct {
	VMs, Servers int
	// Load is the offered load as a fraction of the capacity.
	Load float64
	// Mixed halves the speed of one fifth of the servers, and the KV memory of another fifth.
	Mixed bool
	// Lag is the age of a load report when the polling VM receives it; the exchange between VMs adds up to 1 s.
	Lag time.Duration
	// Length is the simulated time; its first third is a warm-up and is not measured.
	Length time.Duration
	Seed   uint64
	// OtherLoad is the offered load of a second failure domain of the same size, as a fraction of its capacity; 0
	// means no second domain. Its requests are background load and only count for OtherLate. Reports and
	// announcements between the domains take 1 s longer.
	OtherLoad float64
	// Partitioned drops load reports and announcements between the domains.
	Partitioned bool
	// Local disables cross-domain requests.
	Local bool
	// RoundRobin replaces the prediction of first-token times, and NoAnnouncements drops the announcements that VMs
	// send each other of requests sent to servers.
	RoundRobin, NoAnnouncements bool
}

// RoutingResult is the result of a Routing simulation.
type RoutingResult struct {
	Offered, Refused int
	// FirstToken holds the times from arrival at a VM to the first token.
	FirstToken []time.Duration
	// Late counts requests whose first token took more than 1.6 s or did not arrive.
	Late int
	// OtherLate is the fraction of the other domain's own requests that were late or refused.
	OtherLate float64
}

// firstTokenTarget is the time to first token that 95 of 100 requests must meet.
const firstTokenTarget = 1600 * time.Millisecond

// vm is a simulated VM: its router and its admission queue.
type vm struct {
	domain string
	router *guavaroute.Router
	policy guavaroute.Policy
	queue  *guavaqueue.Queue[func()]
}

// Run runs the simulation. It must be called inside a synctest bubble.
func (c Routing) Run() RoutingResult {
	s := &simulation{
		Routing: c, loop: NewLoop(), random: rand.New(rand.NewPCG(c.Seed, 1)), engines: map[string]*engine{},
	}
	domains := []string{"d"}
	if c.OtherLoad > 0 {
		domains = append(domains, "e")
	}
	s.build(domains)
	s.exchange()
	var capacity float64 // requests/s of one domain
	for _, e := range s.engines {
		if e.domain != "d" {
			continue
		}
		capacity += float64(e.limit) * e.speed / (float64(meanTokens) * tokenTime.Seconds())
	}
	s.measured = time.Now().Add(c.Length / 3)
	arrivals(s.loop, s.random, capacity*c.Load, func() { s.arrive("d") })
	if c.OtherLoad > 0 {
		arrivals(s.loop, s.random, capacity*c.OtherLoad, func() { s.arrive("e") })
	}
	s.loop.Run(c.Length)
	// Requests that are still without a first token after the target time count as late.
	s.result.OtherLate = float64(s.otherLate) / float64(max(1, s.otherRequests))
	for p := range s.pending {
		if time.Since(p.at) > firstTokenTarget {
			s.result.Late++
		}
	}
	return s.result
}

type simulation struct {
	Routing
	loop     *Loop
	random   *rand.Rand
	engines  map[string]*engine
	names    []string
	domains  []string // of the engines, in the same order as names
	vms      []*vm
	measured time.Time
	pending  map[*pendingRequest]struct{}
	result   RoutingResult
	// otherRequests counts the requests of the other domain, and otherLate those that were late or refused.
	otherRequests, otherLate int
}

type pendingRequest struct{ at time.Time }

func (s *simulation) build(domains []string) {
	s.pending = map[*pendingRequest]struct{}{}
	var d guavaconfig.Declarations
	for _, name := range domains {
		d.Domains = append(d.Domains, guavaconfig.FailureDomain{Name: name, Region: "r", VMSlots: s.VMs})
	}
	for i := range s.Servers * len(domains) {
		domain := domains[i%len(domains)]
		e := &engine{loop: s.loop, name: fmt.Sprint("e", i), domain: domain, speed: 1, limit: slots, cache: map[string]int{}}
		if s.Mixed && i/len(domains)%5 == 0 {
			e.speed = 0.5
		}
		if s.Mixed && i/len(domains)%5 == 1 {
			e.limit = slots / 2
		}
		s.engines[e.name] = e
		s.names, s.domains = append(s.names, e.name), append(s.domains, domain)
		d.Servers = append(d.Servers, guavaconfig.BackendServer{Name: e.name, Domain: domain, Models: []string{"m"}})
	}
	snapshot := guavaconfig.NewSnapshot(1, d)
	for i := range s.VMs * len(domains) {
		v := &vm{domain: domains[i%len(domains)]}
		opts := []guavaroute.Option{guavaroute.WithSeed(s.Seed<<16 + uint64(i))}
		if s.Local {
			opts = append(opts, guavaroute.WithTarget(time.Hour))
		}
		v.router = guavaroute.NewRouter(v.domain, opts...)
		v.router.Configure(snapshot)
		v.policy = v.router
		if s.RoundRobin {
			v.policy = guavaroute.NewRoundRobin(v.domain, snapshot, s.random.IntN(s.Servers))
		}
		size := float64(slots*s.Servers) / float64(s.VMs)
		away := guavaqueue.NewRestartingWindow(size/4, 4)
		v.queue = guavaqueue.New[func()](guavaqueue.NewWindow(size, 4), away, guavaqueue.DefaultMaxLength, guavaqueue.DefaultMaxWait)
		v.queue.AllowCrossDomain(len(domains) > 1 && !s.Local)
		s.vms = append(s.vms, v)
	}
}

// exchange sends load reports and announcements once a second. A server's report reaches its polling VM after the lag,
// and the other VMs with the next exchange of the polling VM.
func (s *simulation) exchange() {
	reports := make([]guavaroute.Report, len(s.names))
	for i, name := range s.names {
		poller := i % len(s.vms)
		s.loop.Every(s.jitter(), time.Second, func() {
			r := s.engines[name].report()
			s.loop.After(s.Lag, func() {
				s.vms[poller].router.ObserveLoad(name, r)
				reports[i] = r
			})
		})
	}
	for i, v := range s.vms {
		s.loop.Every(s.jitter(), time.Second, func() {
			sent := v.router.TakeArrivals()
			for k, other := range s.vms {
				if k == i {
					continue
				}
				if other.domain == v.domain {
					s.deliver(other, i, reports, sent)
					continue
				}
				if s.Partitioned {
					continue
				}
				old := slices.Clone(reports)
				s.loop.After(time.Second, func() { s.deliver(other, i, old, sent) })
			}
		})
	}
}

// deliver gives a VM the load reports that the VM with the index polled, and the announcements of that VM.
func (s *simulation) deliver(other *vm, index int, reports []guavaroute.Report, sent map[string]int) {
	for n := index; n < len(reports); n += len(s.vms) {
		other.router.ObserveLoad(s.names[n], reports[n])
	}
	if s.NoAnnouncements {
		return
	}
	for name, n := range sent {
		other.router.ObserveArrivals(name, n)
	}
}

func (s *simulation) jitter() time.Duration {
	return time.Duration(s.random.Int64N(int64(time.Second)))
}

func (s *simulation) arrive(domain string) {
	v := s.vms[s.random.IntN(len(s.vms))]
	for v.domain != domain {
		v = s.vms[s.random.IntN(len(s.vms))]
	}
	at := time.Now()
	counted := at.After(s.measured) && domain == "d"
	var o *pendingRequest
	if counted {
		s.result.Offered++
		o = &pendingRequest{at: at}
		s.pending[o] = struct{}{}
	}
	// The popularity of prefixes decreases with their rank; response lengths are log-normal with mean 1.
	prefix := fmt.Sprint("p", int(math.Exp(s.random.Float64()*math.Log(5000))))
	length := math.Exp(s.random.NormFloat64()*0.6 - 0.18)
	request := guavaroute.Request{Model: "m", Prefixes: []string{prefix}}
	other := at.After(s.measured) && domain != "d"
	if other {
		s.otherRequests++
	}
	refuse := func() {
		if other {
			s.otherLate++
		}
		if counted {
			s.result.Refused++
			s.result.Late++
			delete(s.pending, o)
		}
	}
	it := &guavaqueue.Item[func()]{Account: "a", Weight: 1, Deadline: at.Add(time.Minute)}
	it.Value = func() {
		away := it.Away
		request.Away = away
		choice, ok := v.policy.Choose(request)
		if !ok {
			panic("no server for model m")
		}
		name, sent := choice.Server.Name, time.Now()
		v.router.Sent(request, name)
		s.engines[name].send(&engineRequest{
			prefix: prefix, length: length,
			first: func() {
				d := time.Since(sent)
				v.router.ObserveFirstToken(request, choice, d)
				v.queue.FirstToken(away, d > firstTokenTarget/2)
				admit(v.queue)
				total := time.Since(at)
				if other && total > firstTokenTarget {
					s.otherLate++
				}
				if !counted {
					return
				}
				delete(s.pending, o)
				s.result.FirstToken = append(s.result.FirstToken, total)
				if total > firstTokenTarget {
					s.result.Late++
				}
			},
			done: func() {
				v.router.Ended(request, name, time.Since(sent))
				v.queue.End(away)
				admit(v.queue)
			},
		})
	}
	switch action, _, _ := v.queue.Offer(it, 0); action {
	case guavaqueue.Run:
		it.Value()
	case guavaqueue.Queued:
	default:
		refuse()
	}
}

func admit(q *guavaqueue.Queue[func()]) {
	for it := q.Next(); it != nil; it = q.Next() {
		it.Value()
	}
}

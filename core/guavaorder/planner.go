// Package guavaorder decides which orders the engines of a failure domain get. The declared state is compared with
// what each engine reports; an order is sent while they differ, and differences that appear later, for example by a
// late order of an earlier holder, are corrected the same way.
package guavaorder

import (
	_ "embed" // for the state chart
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"guavaridge/core/guavachart"
	"guavaridge/core/guavaconfig"
)

const (
	// MaxReportAge is the age up to which a report counts.
	MaxReportAge = 15 * time.Second
	// OrderTimeout is the time after which an order that shows no effect is given again.
	OrderTimeout = 2 * time.Minute
	// retryAfter is the pause after an order that could not be sent.
	retryAfter = 5 * time.Second
)

type state string

type event string

const (
	idle    state = "idle"    // no order is outstanding
	planned state = "planned" // an order is about to be sent
	loading state = "loading" // an order was sent and may take effect

	plan     event = "plan"
	accepted event = "accepted"
	lost     event = "lost"
	failed   event = "failed"
	dropped  event = "dropped"
	reached  event = "reached"
	differs  event = "differs"
	overdue  event = "overdue"
)

//go:embed order.json
var chartData []byte

var chart = guavachart.MustNew[state, event](chartData)

// Outcome is what became of sending an order.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted"
	Failed   Outcome = "failed" // the engine certainly did not get it
	Unknown  Outcome = "lost"   // the engine may have got it
)

// Report is what an engine says about itself.
type Report struct {
	Models   []string
	Adapters []string
	// At is when the report was true.
	At time.Time
}

// Order is an order that may be sent now.
type Order struct {
	Server  string
	Address string
	Kind    string // "model", "version" or "adapter"
	Want    string
	Epoch   uint64
	// Loads are the weights that the engine will load.
	Loads []string
}

// Planner plans the orders of one failure domain. It is not safe for concurrent use.
type Planner struct {
	domain  string
	config  *guavaconfig.Snapshot
	shares  map[string]share
	servers map[string]*server
	epoch   uint64 // 0: this VM does not lead
	settled time.Time
	blocked map[string]string
}

// server is an engine of any failure domain; only those of the own one get orders.
type server struct {
	declared guavaconfig.BackendServer
	want     DesiredState
	report   Report
	state    state
	order    Order
	since    time.Time // when the order was planned, then when it was sent
	before   Report    // when the order was planned
	retry    time.Time // no order before
}

// New returns a planner that has no configuration and does not lead.
func New(domain string) *Planner {
	return &Planner{domain: domain, servers: make(map[string]*server), blocked: make(map[string]string)}
}

// Configure sets the declared state.
func (p *Planner) Configure(s *guavaconfig.Snapshot) {
	if p.config != nil && s.Version() <= p.config.Version() {
		return
	}
	p.config, p.shares = s, shares(s, p.domain)
	servers := make(map[string]*server)
	for _, b := range s.Declarations().Servers {
		if b.Service != "" {
			continue
		}
		x, ok := p.servers[b.Name]
		if !ok || x.declared.Address != b.Address {
			x = &server{state: chart.Start()}
		}
		x.declared, x.want = b, newWant(s, b)
		servers[b.Name] = x
	}
	p.servers = servers
}

// Lead begins the planning under an epoch. Engines that do not check epochs get no order before settled, the last
// moment at which an earlier holder could act.
func (p *Planner) Lead(epoch uint64, settled time.Time) {
	if epoch == p.epoch {
		return
	}
	p.Stop()
	p.epoch, p.settled = epoch, settled
}

// Epoch returns the epoch of Lead, or 0.
func (p *Planner) Epoch() uint64 { return p.epoch }

// Stop ends the planning. The placement stays as it is.
func (p *Planner) Stop() {
	p.epoch = 0
	clear(p.blocked)
	for _, x := range p.servers {
		x.move(dropped)
	}
}

// Report records what an engine of any failure domain says. Reports older than the last one are ignored.
func (p *Planner) Report(name string, r Report) {
	x, ok := p.servers[name]
	if !ok || !r.At.After(x.report.At) {
		return
	}
	x.report = r
	if x.state != loading || !r.At.After(x.since) {
		return
	}
	switch {
	case x.want.reached(x.order.Kind, x.order.Want, r):
		x.move(reached)
	case !sameSet(r.Models, x.before.Models) || !sameSet(r.Adapters, x.before.Adapters):
		// Something else than the order took effect.
		x.move(differs)
	}
}

// Next returns the orders that may be sent now, at most limit, and marks them as outstanding. Each must be followed by
// Done.
func (p *Planner) Next(limit int) []Order {
	clear(p.blocked)
	if p.epoch == 0 || p.config == nil {
		return nil
	}
	now := time.Now()
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		x := p.servers[name]
		if x.state == loading && now.Sub(x.since) > OrderTimeout {
			x.move(overdue)
		}
		if x.declared.Domain != p.domain || x.declared.Leaving || x.state != idle || now.Before(x.retry) || !x.fresh(now) {
			continue
		}
		kind, want, loads, ok := x.want.next(x.report)
		if !ok {
			continue
		}
		if reason := p.hinders(x, kind, now); reason != "" {
			p.blocked[name] = reason
			continue
		}
		if len(orders) == limit {
			break
		}
		x.order = Order{Server: name, Address: x.declared.Address, Kind: kind, Want: want, Epoch: p.epoch, Loads: loads}
		x.since, x.before = now, x.report
		x.move(plan)
		orders = append(orders, x.order)
	}
	return orders
}

// Blocked returns why servers that differ from their declared state get no order.
func (p *Planner) Blocked() map[string]string { return maps.Clone(p.blocked) }

// Done tells what became of an order of Next.
func (p *Planner) Done(o Order, result Outcome) {
	x, ok := p.servers[o.Server]
	if !ok || x.state != planned || x.order.Epoch != o.Epoch {
		return
	}
	// Reports from before the sending do not show its effect.
	x.since = time.Now()
	switch result {
	case Accepted:
		x.move(accepted)
	case Unknown:
		x.move(lost)
	default:
		x.retry = x.since.Add(retryAfter)
		x.move(failed)
	}
}

// Outstanding returns the number of orders that were planned or sent and have shown no effect yet.
func (p *Planner) Outstanding() int {
	n := 0
	for _, x := range p.servers {
		if x.state != idle {
			n++
		}
	}
	return n
}

// hinders returns the reason why a server must not get an order of the kind now, or "".
func (p *Planner) hinders(x *server, kind string, now time.Time) string {
	if !x.declared.Checks && now.Before(p.settled) {
		return "an earlier holder may still act"
	}
	if kind == "adapter" {
		return "" // the engine goes on serving while it loads an adapter
	}
	for _, model := range names(x.report.Models) {
		s, limited := p.shares[model]
		if !limited {
			continue
		}
		if n := p.serving(model, p.domain, now); n <= s.keep {
			return fmt.Sprintf("model %s: %d servers serve in this failure domain, %d must", model, n, s.keep)
		}
		if !s.turns {
			continue
		}
		if d := p.unfinished(model); d != "" {
			return fmt.Sprintf("model %s: it is the turn of failure domain %s", model, d)
		}
		m, _ := p.config.Model(model)
		if n := p.serving(model, "", now); n <= m.Least {
			return fmt.Sprintf("model %s: %d servers serve, %d must", model, n, m.Least)
		}
	}
	return ""
}

// serving counts the servers that are known to serve a model, in one failure domain or in all.
func (p *Planner) serving(model, domain string, now time.Time) int {
	n := 0
	for _, x := range p.servers {
		if domain != "" && x.declared.Domain != domain {
			continue
		}
		interrupted := x.state != idle && x.order.Kind != "adapter"
		if !interrupted && !x.declared.Leaving && x.fresh(now) && slices.Contains(names(x.report.Models), model) {
			n++
		}
	}
	return n
}

// unfinished returns the first failure domain before the own one, by name, in which a server of the model has not
// shown its declared state, or "". Servers that have failed since count for serving, not here, so that they block
// nobody while enough others serve.
func (p *Planner) unfinished(model string) string {
	first := ""
	for _, x := range p.servers {
		d := x.declared.Domain
		if strings.Compare(d, p.domain) >= 0 || x.declared.Leaving || !slices.Contains(x.declared.Models, model) {
			continue
		}
		if _, _, _, more := x.want.next(x.report); more && (first == "" || d < first) {
			first = d
		}
	}
	return first
}

func (x *server) fresh(now time.Time) bool { return now.Sub(x.report.At) <= MaxReportAge }

func (x *server) move(e event) { x.state, _ = chart.Next(x.state, e) }

// Package guavaorder plans the orders that change what the engines of a failure domain serve. It reconciles the state
// that each engine reports with the declared state: an engine gets an order while the two differ, also when they start
// to differ later, for example because a late order of a previous lease owner took effect.
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
	// MaxReportAge is the age up to which a report is used.
	MaxReportAge = 15 * time.Second
	// OrderTimeout is the time after which an order without a visible effect is sent again.
	OrderTimeout = 2 * time.Minute
	// retryAfter is the delay before the next order to an engine after one could not be sent.
	retryAfter = 5 * time.Second
)

type state string

type event string

const (
	idle     state = "idle"    // no order is outstanding
	planned  state = "planned" // an order is being sent
	applying state = "loading" // an order was sent and may take effect

	plan           event = "plan"
	accepted       event = "accepted"
	outcomeUnknown event = "lost"
	failed         event = "failed"
	stopped        event = "dropped"
	reached        event = "reached"
	differs        event = "differs"
	timedOut       event = "overdue"
)

//go:embed order.json
var chartData []byte

var chart = guavachart.MustNew[state, event](chartData)

// Outcome is the result of sending an order.
type Outcome string

// Outcomes.
const (
	Accepted Outcome = "accepted"
	Failed   Outcome = "failed" // the engine did not receive the order
	Unknown  Outcome = "lost"   // the engine may have received the order
)

// Report is the state that an engine reports.
type Report struct {
	Models   []string
	Adapters []string
	// At is the time of the reported state.
	At time.Time
}

// Order is an order that is ready to be sent.
type Order struct {
	Server  string
	Address string
	Kind    string // "model", "version" or "adapter"
	Want    string // desired models, version or adapters, separated by commas
	Epoch   uint64
	// Loads are the weights that the engine loads for the order.
	Loads []string
}

// Planner plans the orders of one failure domain. It is not safe for concurrent use.
type Planner struct {
	domain             string
	config             *guavaconfig.Snapshot
	shares             map[string]share
	servers            map[string]*server
	epoch              uint64 // of the lease, 0 while this VM does not own it
	previousOwnerUntil time.Time
	blocked            map[string]string
}

// server is an engine of any failure domain. Only engines of the planner's own domain get orders.
type server struct {
	declared     guavaconfig.BackendServer
	desired      DesiredState
	report       Report
	state        state
	order        Order
	since        time.Time // when the order was planned, or sent once it has been
	reportAtPlan Report    // report on which the order was planned
	retryAt      time.Time // no order before this time
}

// New returns a planner without a configuration and without the lease.
func New(domain string) *Planner {
	return &Planner{domain: domain, servers: make(map[string]*server), blocked: make(map[string]string)}
}

// Configure sets the declared state. It ignores a snapshot that is not newer than the last one.
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
		x.declared, x.desired = b, newDesiredState(s, b)
		servers[b.Name] = x
	}
	p.servers = servers
}

// Lead starts planning under an epoch of the lease. Engines that do not check epochs get no order before
// previousOwnerUntil, the last time at which a previous lease owner may act.
func (p *Planner) Lead(epoch uint64, previousOwnerUntil time.Time) {
	if epoch == p.epoch {
		return
	}
	p.Stop()
	p.epoch, p.previousOwnerUntil = epoch, previousOwnerUntil
}

// Epoch returns the epoch passed to Lead, or 0 before Lead and after Stop.
func (p *Planner) Epoch() uint64 { return p.epoch }

// Stop ends the planning. The engines keep their state.
func (p *Planner) Stop() {
	p.epoch = 0
	clear(p.blocked)
	for _, x := range p.servers {
		x.move(stopped)
	}
}

// Report records a report of an engine of any failure domain. Reports not newer than the last one are ignored.
func (p *Planner) Report(name string, r Report) {
	x, ok := p.servers[name]
	if !ok || !r.At.After(x.report.At) {
		return
	}
	x.report = r
	if x.state != applying || !r.At.After(x.since) {
		return
	}
	switch {
	case x.desired.reached(x.order.Kind, x.order.Want, r):
		x.move(reached)
	case !sameSet(r.Models, x.reportAtPlan.Models) || !sameSet(r.Adapters, x.reportAtPlan.Adapters):
		// The engine's state changed, but not by this order.
		x.move(differs)
	}
}

// Next returns the orders that may be sent now, at most limit, and marks them as outstanding. The caller passes each to
// Done after sending it.
func (p *Planner) Next(limit int) []Order {
	clear(p.blocked)
	if p.epoch == 0 || p.config == nil {
		return nil
	}
	now := time.Now()
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		x := p.servers[name]
		if x.state == applying && now.Sub(x.since) > OrderTimeout {
			x.move(timedOut)
		}
		if x.declared.Domain != p.domain || x.declared.Leaving || x.state != idle || now.Before(x.retryAt) || !x.fresh(now) {
			continue
		}
		kind, want, loads, ok := x.desired.next(x.report)
		if !ok {
			continue
		}
		if reason := p.blockReason(x, kind, now); reason != "" {
			p.blocked[name] = reason
			continue
		}
		if len(orders) == limit {
			break
		}
		x.order = Order{Server: name, Address: x.declared.Address, Kind: kind, Want: want, Epoch: p.epoch, Loads: loads}
		x.since, x.reportAtPlan = now, x.report
		x.move(plan)
		orders = append(orders, x.order)
	}
	return orders
}

// Blocked returns, by server, why a server that differs from its declared state gets no order.
func (p *Planner) Blocked() map[string]string { return maps.Clone(p.blocked) }

// Done records the outcome of sending an order of Next. It ignores orders of another epoch.
func (p *Planner) Done(o Order, result Outcome) {
	x, ok := p.servers[o.Server]
	if !ok || x.state != planned || x.order.Epoch != o.Epoch {
		return
	}
	// Reports from before this time do not show the effect of the order.
	x.since = time.Now()
	switch result {
	case Accepted:
		x.move(accepted)
	case Unknown:
		x.move(outcomeUnknown)
	default:
		x.retryAt = x.since.Add(retryAfter)
		x.move(failed)
	}
}

// Outstanding returns the number of orders that are planned or sent without a visible effect so far.
func (p *Planner) Outstanding() int {
	n := 0
	for _, x := range p.servers {
		if x.state != idle {
			n++
		}
	}
	return n
}

// blockReason returns why a server must not get an order of the kind now, or "" if it may.
func (p *Planner) blockReason(x *server, kind string, now time.Time) string {
	if !x.declared.ChecksEpoch && now.Before(p.previousOwnerUntil) {
		return "a previous lease owner may still act"
	}
	if kind == "adapter" {
		return "" // the engine keeps serving while it loads an adapter
	}
	for _, model := range modelNames(x.report.Models) {
		s, limited := p.shares[model]
		if !limited {
			continue
		}
		if n := p.countServing(model, p.domain, now); n <= s.minServing {
			return fmt.Sprintf("model %s: %d servers serve in this failure domain, at least %d must", model, n, s.minServing)
		}
		if !s.sequential {
			continue
		}
		if d := p.firstUnfinishedDomain(model); d != "" {
			return fmt.Sprintf("model %s: waiting for failure domain %s to finish its changes", model, d)
		}
		m, _ := p.config.Model(model)
		if n := p.countServing(model, "", now); n <= m.MinServers {
			return fmt.Sprintf("model %s: %d servers serve in all failure domains, at least %d must", model, n, m.MinServers)
		}
	}
	return ""
}

// countServing counts the servers that serve a model by a recent report and are not interrupted by an order, in one
// failure domain, or in all of them if domain is empty.
func (p *Planner) countServing(model, domain string, now time.Time) int {
	n := 0
	for _, x := range p.servers {
		if domain != "" && x.declared.Domain != domain {
			continue
		}
		interrupted := x.state != idle && x.order.Kind != "adapter"
		if !interrupted && !x.declared.Leaving && x.fresh(now) && slices.Contains(modelNames(x.report.Models), model) {
			n++
		}
	}
	return n
}

// firstUnfinishedDomain returns the first failure domain, by name and before the local one, in which the last report of
// a server of the model differs from its declared state, or "". The age of the report does not matter: a server that
// has failed since lowers countServing, but does not block the domains after its own while enough others serve.
func (p *Planner) firstUnfinishedDomain(model string) string {
	first := ""
	for _, x := range p.servers {
		d := x.declared.Domain
		if strings.Compare(d, p.domain) >= 0 || x.declared.Leaving || !slices.Contains(x.declared.Models, model) {
			continue
		}
		if _, _, _, more := x.desired.next(x.report); more && (first == "" || d < first) {
			first = d
		}
	}
	return first
}

func (x *server) fresh(now time.Time) bool { return now.Sub(x.report.At) <= MaxReportAge }

func (x *server) move(e event) { x.state, _ = chart.Next(x.state, e) }

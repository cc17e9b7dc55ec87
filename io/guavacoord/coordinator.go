package guavacoord

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
)

const (
	// shareInterval is the interval at which a group's share of reachable VMs is recomputed while they do not change.
	shareInterval = 100 * time.Millisecond
	// settleInterval is the interval of checks whether all VMs know of those that join.
	settleInterval = 200 * time.Millisecond
)

// deliverFunc sends a message to a VM.
type deliverFunc func(vm string, message any)

// coordinator decides about the requests and token requests for which this VM is responsible.
type coordinator struct {
	self        string
	process     string // identifies the process of this VM
	deliver     deliverFunc
	crashes     *guavapoison.CrashTracker
	publishBans func(list []guavapoison.Ban) // sends them to all VMs and the store
	// publishLosses sends the lost runs that the tracker has recorded to other VMs.
	publishLosses func()
	notices       Notices
	config        func() *guavatraffic.Config
	logger        hclog.Logger

	mu           sync.Mutex
	services     map[string]*service              // by name of the shard
	servers      map[string][]guavatraffic.Server // by service
	allocators   [guavaquota.Groups]*guavaquota.Allocator
	vmTrackers   [guavaquota.Groups]*guavaquota.VMTracker
	shareUpdated [guavaquota.Groups]time.Time // zero if the share has to be recomputed
	shares       [guavaquota.Groups]float64
	members      []guavaquota.Member
	listed       uint64            // newest revision in the list of VMs
	reported     map[string]uint64 // the newest revision in the list of each VM, as it said
	joining      bool              // some of the members are joining
	settleAt     time.Time         // when it is to be checked again whether they are settled
	confirmed    func() time.Time  // when the store last confirmed the list of VMs
}

// service is the scheduler of one shard of a service.
type service struct {
	name      string
	scheduler *guavaplace.Scheduler
	timer     *time.Timer
	interval  time.Duration // after which the timer fires
}

func newCoordinator(
	self, process string, config func() *guavatraffic.Config, t guavaquota.Tolerance, n Notices, d deliverFunc,
	crashes *guavapoison.CrashTracker, publishBans func(list []guavapoison.Ban), publishLosses func(),
	confirmed func() time.Time, l hclog.Logger,
) *coordinator {
	c := &coordinator{
		reported: map[string]uint64{}, confirmed: confirmed,
		self: self, process: process, deliver: d, crashes: crashes, publishBans: publishBans, publishLosses: publishLosses, config: config, notices: n, logger: l,
		services: map[string]*service{}, servers: map[string][]guavatraffic.Server{},
	}
	for g := range c.allocators {
		c.allocators[g], c.vmTrackers[g] = guavaquota.NewAllocator(t), guavaquota.NewVMTracker()
	}
	return c
}

// statsInterval is the interval between log lines with the statistics of the schedulers of this VM.
const statsInterval = time.Second

// report logs the statistics of each scheduler that has requests running or waiting.
func (c *coordinator) report(l hclog.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		t := s.scheduler.Stats()
		if t.IsIdle() {
			continue
		}
		l.Info("coordinator", "service", name, "servers", t.Servers, "slots", t.Slots, "online", t.Online, "batch", t.Batch,
			"waiting", t.Waiting, "late", t.Late, "queued", t.Queued, "granted", t.Granted, "refused", t.Refused,
			"yields", t.Yields)
	}
}

// setServers sets the list of all servers and updates the schedulers.
func (c *coordinator) setServers(list []guavatraffic.Server) {
	byService := map[string][]guavatraffic.Server{}
	for _, s := range list {
		byService[s.Service] = append(byService[s.Service], s)
	}
	c.mu.Lock()
	c.servers = byService
	c.mu.Unlock()
	for _, name := range c.shardNames() {
		c.withScheduler(name, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			return c.setShard(s, name, byService)
		})
	}
}

// setShard passes to the scheduler of a shard those of the servers that belong to the shard.
func (c *coordinator) setShard(
	s *guavaplace.Scheduler, name string, byService map[string][]guavatraffic.Server,
) []guavaplace.Decision {
	shard := guavaplace.ParseShard(name)
	list := byService[shard.Service]
	if shard.Count > 1 {
		list = slices.DeleteFunc(slices.Clone(list), func(v guavatraffic.Server) bool { return !shard.Contains(v.ID) })
	}
	return s.SetServers(time.Now(), list, c.config().Services[shard.Service])
}

// prune removes idle schedulers of shards that are no longer in use, so that they are not updated with each change of
// the servers. counts holds the number of shards of each service with several.
func (c *coordinator) prune(counts map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		shard := guavaplace.ParseShard(name)
		if shard.Count == max(counts[shard.Service], 1) || !s.scheduler.Stats().IsIdle() {
			continue
		}
		if s.timer != nil {
			s.timer.Stop()
		}
		delete(c.services, name)
	}
}

// shardNames returns the names of the shards that have a scheduler.
func (c *coordinator) shardNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.services))
}

// setMembers sets what the shares of the rates follow from.
func (c *coordinator) setMembers(m Membership) {
	known := make(map[string]bool, len(m.Members))
	for _, v := range m.Members {
		known[v.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members, c.listed = m.Members, m.Newest
	c.joining = slices.ContainsFunc(m.Members, func(m guavaquota.Member) bool { return m.Standing == guavaquota.Joining })
	c.shareUpdated = [guavaquota.Groups]time.Time{}
	maps.DeleteFunc(c.reported, func(vm string, _ uint64) bool { return !known[vm] })
}

// withScheduler calls step with the scheduler of the named shard, which is created if needed, and delivers its
// decisions.
func (c *coordinator) withScheduler(name string, step func(s *guavaplace.Scheduler) []guavaplace.Decision) {
	c.mu.Lock()
	s := c.services[name]
	if s == nil {
		s = &service{name: name, scheduler: guavaplace.New(c.crashes)}
		c.setShard(s.scheduler, name, c.servers)
		c.services[name] = s
	}
	decisions := step(s.scheduler)
	c.armTimer(s)
	bans := c.crashes.TakeChanges()
	c.mu.Unlock()
	c.publishBans(bans)
	c.publishLosses()
	c.deliverDecisions(name, decisions)
}

// armTimer schedules the next Tick of the scheduler while requests wait. A timer that fires earlier is kept.
func (c *coordinator) armTimer(s *service) {
	interval := s.scheduler.Pause()
	if interval == 0 || (s.timer != nil && s.interval <= interval) {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.interval = interval
	s.timer = time.AfterFunc(interval, func() {
		c.mu.Lock()
		s.timer = nil
		decisions := s.scheduler.Tick(time.Now())
		c.armTimer(s)
		c.mu.Unlock()
		c.deliverDecisions(s.name, decisions)
	})
}

// deliverDecisions sends decisions to the VMs of their requests, in one message each that keeps their order.
func (c *coordinator) deliverDecisions(name string, decisions []guavaplace.Decision) {
	for len(decisions) > 0 {
		vm := decisions[0].Key.VM
		var batch, rest []guavaplace.Decision
		for _, d := range decisions {
			if d.Key.VM == vm {
				batch = append(batch, d)
			} else {
				rest = append(rest, d)
			}
		}
		c.deliver(vm, decided{Service: name, Decisions: batch})
		decisions = rest
	}
}

// handle processes a message of a VM. It records notices first, which updates the schedulers, so that no decision that
// follows from the message chooses a server that is leaving.
func (c *coordinator) handle(vm string, message any) {
	switch m := message.(type) {
	case submit:
		c.withScheduler(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.Submit(time.Now(), m.Request) })
	case withdraw:
		c.withScheduler(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.Withdraw(time.Now(), m.Key) })
	case release:
		c.notices.RecordNotices(m.Notices)
		c.withScheduler(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			c.logLost(s, m)
			if m.Continues {
				return s.Silent(time.Now(), m.Report.Key)
			}
			return s.Release(time.Now(), m.Report)
		})
	case started:
		c.notices.RecordNotices(m.Notices)
		c.withScheduler(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			var l *guavaplace.Load
			if m.Known {
				l = &m.Load
			}
			s.Started(time.Now(), m.Key, l)
			if m.Begun {
				s.Begun(time.Now(), m.Key)
			}
			return nil
		})
	case join:
		c.notices.RecordNotices(m.Notices)
		c.withScheduler(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			for _, h := range m.Held {
				s.Restore(time.Now(), h)
			}
			return s.Tick(time.Now())
		})
	case leave:
		c.withScheduler(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.RemoveVM(time.Now(), vm) })
	case adopt:
		c.setGroups(vm, m.Groups)
		c.settle(vm, m)
	case take:
		c.deliver(vm, c.grant(vm, m))
	}
}

// logLost logs a run that got no complete response because its server broke off or is silent, with what the request
// shares with others that crash servers. There is a line for each of the requests on a server that crashes.
func (c *coordinator) logLost(s *guavaplace.Scheduler, m release) {
	switch m.Report.Outcome {
	case guavaplace.ConnectionLost, guavaplace.TimedOut:
	default:
		return
	}
	server, q, ok := s.Running(m.Report.Key)
	if !ok {
		return
	}
	parts := make([]string, 0, len(q.Parts))
	for _, p := range q.Parts {
		parts = append(parts, strconv.FormatUint(p, 16))
	}
	c.logger.Info("run lost", "service", m.Service, "server", server, "peer", q.Key.VM, "class", q.Class,
		"outcome", m.Report.Outcome, "content", strconv.FormatUint(q.Content, 16), "parts", strings.Join(parts, ","))
}

// removeVM drops the waiting and running requests of a VM and its use of the groups of client accounts.
func (c *coordinator) removeVM(vm string) {
	c.removeRequests(vm)
	c.setGroups(vm, nil)
}

// removeRequests drops the waiting and running requests of a VM.
func (c *coordinator) removeRequests(vm string) {
	for _, name := range c.shardNames() {
		c.withScheduler(name, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.RemoveVM(time.Now(), vm) })
	}
}

// setGroups records for which groups of client accounts a VM requests tokens from this one.
func (c *coordinator) setGroups(vm string, groups []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for g := range c.vmTrackers {
		if c.vmTrackers[g].Set(now, vm, slices.Contains(groups, g)) {
			c.shareUpdated[g] = time.Time{}
		}
	}
}

// settle records how recent a VM's list of VMs is. It tells the VMs that join when all VMs have them in their lists. Only the owner
// that all of them use can know.
func (c *coordinator) settle(vm string, m adopt) {
	const group = 0 // any one will do
	if !slices.Contains(m.Groups, group) {
		return
	}
	now := time.Now()
	c.mu.Lock()
	c.reported[vm] = m.Listed
	var joining []string
	if c.joining && !now.Before(c.settleAt) {
		c.settleAt = now.Add(settleInterval)
		if c.vmTrackers[group].ArePresent(now, c.members) {
			joining = c.settledMembers()
		}
	}
	listed := c.listed
	c.mu.Unlock()
	for _, name := range joining {
		c.deliver(name, settled{Listed: listed})
	}
}

// settledMembers returns the joining members if all members have them in their lists. c.mu must be locked.
func (c *coordinator) settledMembers() (joining []string) {
	for _, m := range c.members {
		if m.Name != c.self && c.reported[m.Name] < c.listed {
			return nil
		}
		if m.Standing == guavaquota.Joining {
			joining = append(joining, m.Name)
		}
	}
	return joining
}

// hasEstablished reports whether a VM that all owners know uses this one for the first group of client accounts.
func (c *coordinator) hasEstablished(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vmTrackers[0].HasEstablished(now, c.members)
}

// updateShare sets the share of a group that this VM grants. Confirmed is when the store last confirmed the list of VMs. c.mu must be
// locked.
func (c *coordinator) updateShare(now, confirmed time.Time, group int) {
	if now.Sub(c.shareUpdated[group]) <= shareInterval {
		return
	}
	c.shareUpdated[group] = now
	share := c.vmTrackers[group].Share(now, c.members, confirmed)
	c.allocators[group].SetShare(now, share)
	if share != c.shares[group] {
		c.shares[group] = share
		c.logger.Info("share of rates", "group", group, "share", share, "vms", len(c.members),
			"confirmed", now.Sub(confirmed).Milliseconds())
	}
}

// grant returns the reply to a VM's request for tokens.
func (c *coordinator) grant(vm string, m take) given {
	a, ok := c.config().Accounts[m.Account]
	if !ok {
		return given{Number: m.Number, After: shareInterval}
	}
	g := guavaquota.Group(m.Account)
	confirmed := c.confirmed() // may wait for a change of the list that is applied
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.vmTrackers[g].Set(now, vm, true) {
		c.shareUpdated[g] = time.Time{}
	}
	c.updateShare(now, confirmed, g)
	d := guavaquota.Demand{VM: vm, Own: vm == c.self, Recent: m.Recent, Fresh: m.Fresh, Want: m.Want}
	if m.Total > 0 && m.Owner != c.process {
		d.Earlier = guavaquota.Total{Owner: m.Owner, Tokens: m.Total, At: now.Add(-m.TotalAge)}
	}
	granted, after := c.allocators[g].Take(now, a, d)
	return given{
		Number: m.Number, Granted: granted, After: after, Total: c.allocators[g].Total(m.Account), Owner: c.process,
	}
}

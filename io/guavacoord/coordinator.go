package guavacoord

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
)

// shareInterval is the interval at which a group's share of reachable VMs is recomputed while they do not change.
const shareInterval = 100 * time.Millisecond

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
	vms          []string
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
	crashes *guavapoison.CrashTracker, publishBans func(list []guavapoison.Ban), publishLosses func(), l hclog.Logger,
) *coordinator {
	c := &coordinator{
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

func (c *coordinator) setVMs(list []guavamember.Identity) {
	names := make([]string, 0, len(list))
	for _, v := range list {
		names = append(names, v.Name)
	}
	c.mu.Lock()
	c.vms = names
	c.mu.Unlock()
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

// grant returns the reply to a VM's request for tokens.
func (c *coordinator) grant(vm string, m take) given {
	a, ok := c.config().Accounts[m.Account]
	if !ok {
		return given{Number: m.Number, After: shareInterval}
	}
	g := guavaquota.Group(m.Account)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.vmTrackers[g].Set(now, vm, true) {
		c.shareUpdated[g] = time.Time{}
	}
	if now.Sub(c.shareUpdated[g]) > shareInterval {
		c.shareUpdated[g] = now
		c.allocators[g].SetShare(now, c.vmTrackers[g].Share(now, c.vms))
	}
	d := guavaquota.Demand{VM: vm, Recent: m.Recent, Fresh: m.Fresh, Want: m.Want}
	if m.Total > 0 && m.Owner != c.process {
		d.Earlier = guavaquota.Total{Owner: m.Owner, Tokens: m.Total, At: now.Add(-m.TotalAge)}
	}
	granted, after := c.allocators[g].Take(now, a, d)
	return given{
		Number: m.Number, Granted: granted, After: after, Total: c.allocators[g].Total(m.Account), Owner: c.process,
	}
}

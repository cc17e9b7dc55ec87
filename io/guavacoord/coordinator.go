package guavacoord

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
)

// shareTime is how long the share of reachable VMs is used until it is worked out again, if none is heard anew.
const shareTime = 100 * time.Millisecond

// answer delivers decisions to a VM.
type answer func(vm string, message any)

// coordinator is the side that decides.
type coordinator struct {
	self   string
	answer answer
	ban    func(list []guavaplace.Ban) // tells all VMs
	config func() *guavatraffic.Config

	mu       sync.Mutex
	services map[string]*service              // by name of the shard
	servers  map[string][]guavatraffic.Server // by service
	ledger   [guavaquota.Groups]*guavaquota.Allocator
	reach    [guavaquota.Groups]*guavaquota.VMTracker
	shared   [guavaquota.Groups]time.Time
	vms      []string
}

// service is the scheduler of one shard of a service.
type service struct {
	name      string
	scheduler *guavaplace.Scheduler
	timer     *time.Timer
	pause     time.Duration // of the timer
}

func newCoordinator(
	self string, config func() *guavatraffic.Config, t guavaquota.Tolerance, a answer, ban func(list []guavaplace.Ban),
) *coordinator {
	c := &coordinator{
		self: self, answer: a, ban: ban, config: config,
		services: map[string]*service{}, servers: map[string][]guavatraffic.Server{},
	}
	for g := range c.ledger {
		c.ledger[g], c.reach[g] = guavaquota.NewAllocator(t), guavaquota.NewVMTracker()
	}
	return c
}

// statsTime is the pause between lines about the services that this VM decides for.
const statsTime = time.Second

// report logs the state of each service that has something running or waiting.
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

// setServers takes in the list of all servers.
func (c *coordinator) setServers(list []guavatraffic.Server) {
	byService := map[string][]guavatraffic.Server{}
	for _, s := range list {
		byService[s.Service] = append(byService[s.Service], s)
	}
	c.mu.Lock()
	c.servers = byService
	c.mu.Unlock()
	var crashing []guavaplace.Ban
	for _, name := range c.names() {
		c.with(name, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			decisions := c.setShard(s, name, byService)
			crashing = append(crashing, s.PendingBans(time.Now())...)
			return decisions
		})
	}
	c.ban(crashing)
}

// setShard tells a scheduler the servers of the shard that it decides for.
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

// prune drops the schedulers of shards that are no longer in use, by the number of shards of services that have several,
// once nothing runs or waits there: they would be told of every change to the servers.
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

// names returns the shards for which there is a scheduler.
func (c *coordinator) names() []string {
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

// with runs a step of a service's scheduler and sends out what it decided.
func (c *coordinator) with(name string, step func(s *guavaplace.Scheduler) []guavaplace.Decision) {
	c.mu.Lock()
	s := c.services[name]
	if s == nil {
		s = &service{name: name, scheduler: guavaplace.New()}
		c.setShard(s.scheduler, name, c.servers)
		c.services[name] = s
	}
	decisions := step(s.scheduler)
	c.arm(s)
	c.mu.Unlock()
	c.send(name, decisions)
}

// arm makes the scheduler look again soon while something waits.
func (c *coordinator) arm(s *service) {
	pause := s.scheduler.Pause()
	if pause == 0 || (s.timer != nil && s.pause <= pause) {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.pause = pause
	s.timer = time.AfterFunc(pause, func() {
		c.mu.Lock()
		s.timer = nil
		decisions := s.scheduler.Tick(time.Now())
		c.arm(s)
		c.mu.Unlock()
		c.send(s.name, decisions)
	})
}

// send groups decisions by VM, in order.
func (c *coordinator) send(name string, decisions []guavaplace.Decision) {
	for len(decisions) > 0 {
		vm := decisions[0].Key.VM
		var mine, rest []guavaplace.Decision
		for _, d := range decisions {
			if d.Key.VM == vm {
				mine = append(mine, d)
			} else {
				rest = append(rest, d)
			}
		}
		c.answer(vm, decided{Service: name, Decisions: mine})
		decisions = rest
	}
}

// receive takes in a message of a VM.
func (c *coordinator) receive(vm string, message any) {
	switch m := message.(type) {
	case submit:
		c.with(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.Submit(time.Now(), m.Request) })
	case withdraw:
		c.with(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.Withdraw(time.Now(), m.Key) })
	case release:
		c.with(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.Release(time.Now(), m.Report) })
	case started:
		c.with(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			var l *guavaplace.Load
			if m.Known {
				l = &m.Load
			}
			s.Started(time.Now(), m.Key, l)
			return nil
		})
	case join:
		c.with(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision {
			for _, h := range m.Held {
				s.Restore(time.Now(), h)
			}
			return s.Tick(time.Now())
		})
	case leave:
		c.with(m.Service, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.RemoveVM(time.Now(), vm) })
	case adopt:
		c.adopted(vm, m.Groups)
	case take:
		granted, after := c.grant(vm, m.Account, m.Want)
		c.answer(vm, given{Number: m.Number, Granted: granted, After: after})
	}
}

// lost drops what a VM had waiting or running.
func (c *coordinator) lost(vm string) {
	for _, name := range c.names() {
		c.with(name, func(s *guavaplace.Scheduler) []guavaplace.Decision { return s.RemoveVM(time.Now(), vm) })
	}
	c.adopted(vm, nil)
}

// adopted notes for which groups of accounts a VM turns to this one.
func (c *coordinator) adopted(vm string, groups []int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for g := range c.reach {
		if c.reach[g].Set(now, vm, slices.Contains(groups, g)) {
			c.shared[g] = time.Time{}
		}
	}
}

// grant gives out tokens of an account.
func (c *coordinator) grant(vm, account string, want int) (int, time.Duration) {
	a, ok := c.config().Accounts[account]
	if !ok {
		return 0, shareTime
	}
	g := guavaquota.Group(account)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.reach[g].Set(now, vm, true) {
		c.shared[g] = time.Time{}
	}
	if now.Sub(c.shared[g]) > shareTime {
		c.shared[g] = now
		c.ledger[g].SetShare(now, c.reach[g].Share(now, c.vms))
	}
	return c.ledger[g].Take(now, a, want)
}

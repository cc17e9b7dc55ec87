package guavacoord

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavamesh"
)

const (
	// replyTime is the time for a coordinator's first answer. VMs of a region answer within a few milliseconds, slow ones
	// within some tens.
	replyTime = 120 * time.Millisecond
	// tries bounds how often a request is submitted again because its coordinator was lost.
	tries = 5
	// overTime is how long a decision may be late after a request's patience.
	overTime = 300 * time.Millisecond
)

// VM is a VM that may decide for others.
type VM struct {
	guavamember.Identity
	// Cores is its share of processor cores. VMs with less than half of the most that any VM has decide only when no
	// other can.
	Cores float64
}

// RefusalError says that a request got no place and has not run.
type RefusalError struct {
	After  time.Duration
	Reason string
}

// Error implements error.
func (r *RefusalError) Error() string { return "refused: " + r.Reason }

// errLost marks requests whose coordinator was lost.
var errLost = errors.New("coordinator lost")

// Client asks coordinators for places and tokens, and decides itself for the services that fall to this VM.
type Client struct {
	self   VM
	mesh   *guavamesh.Mesh
	local  *coordinator
	logger hclog.Logger
	extra  guavamesh.Handler

	settled chan struct{} // closed when this VM may decide because it reaches no other

	mu       sync.Mutex
	vms      []VM
	services []string       // of the configuration
	shards   map[string]int // number of shards of services that have several
	also     []string       // VMs to which others want links
	ranks    map[string][]string
	links    map[string]*guavamesh.Link // of this VM's peers, by name; the newest counts
	suspects map[string]time.Time
	number   uint64
	current  map[string]string // coordinator by shard
	owners   [guavaquota.Groups]string
	pending  map[guavaplace.Key]*pending
	held     map[guavaplace.Key]*Reservation
	stocks   map[string]*stock
	takes    map[uint64]chan given
	bans     bans
}

// pending is a request without a place.
type pending struct {
	service string
	vm      string
	events  chan event
}

type event struct {
	decision guavaplace.Decision
	lost     bool
}

// New returns a client. Messages on links that are not its own go to extra.
func New(
	self VM, config func() *guavatraffic.Config, t guavaquota.Tolerance, extra guavamesh.Handler, dial guavamesh.Dial,
	l hclog.Logger,
) *Client {
	c := &Client{
		self: self, logger: l, extra: extra,
		vms: []VM{self}, shards: map[string]int{}, ranks: map[string][]string{}, links: map[string]*guavamesh.Link{},
		suspects: map[string]time.Time{}, current: map[string]string{},
		pending: map[guavaplace.Key]*pending{}, held: map[guavaplace.Key]*Reservation{},
		stocks: map[string]*stock{}, takes: map[uint64]chan given{}, bans: bans{},
	}
	c.settled = make(chan struct{})
	c.local = newCoordinator(self.Name, config, t, c.answer, func(list []guavaplace.Ban) { c.ban(nil, list) })
	c.mesh = guavamesh.New(self.Identity, dial, c, l)
	return c
}

// Mesh returns the links to other VMs.
func (c *Client) Mesh() *guavamesh.Mesh { return c.mesh }

// SetServers takes in the list of servers.
func (c *Client) SetServers(list []guavatraffic.Server) {
	c.local.setServers(list)
	counts := map[string]int{}
	for _, v := range list {
		counts[v.Service]++
	}
	c.mu.Lock()
	shards := map[string]int{} // only of services with several
	for name, n := range counts {
		if n := guavaplace.ShardCount(n, c.shards[name]); n > 1 {
			shards[name] = n
		}
	}
	changed := !maps.Equal(shards, c.shards)
	c.shards = shards
	c.mu.Unlock()
	c.local.prune(shards)
	if changed {
		c.link()
	}
}

// SetVMs takes in the list of VMs and keeps links to those that decide for the services, and to also.
func (c *Client) SetVMs(list []VM, services, also []string) {
	identities := make([]guavamember.Identity, 0, len(list))
	for _, v := range list {
		identities = append(identities, v.Identity)
	}
	c.local.setVMs(identities)
	c.mu.Lock()
	c.vms, c.ranks = list, map[string][]string{}
	c.services, c.also = services, also
	c.mu.Unlock()
	c.link()
}

// Run keeps owners of rates informed until ctx ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(adoptTime)
	defer tick.Stop()
	settle := time.AfterFunc(settleTime, func() { close(c.settled) })
	defer settle.Stop()
	stats := time.NewTicker(statsTime)
	defer stats.Stop()
	for {
		c.adopt(true)
		select {
		case <-tick.C:
		case <-stats.C:
			c.local.report(c.logger)
		case <-ctx.Done():
			c.mesh.Close()
			return
		}
	}
}

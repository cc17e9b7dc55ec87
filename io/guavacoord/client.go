package guavacoord

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavamesh"
)

const (
	// replyTimeout bounds the wait for a coordinator's first reply. VMs of a region reply within a few milliseconds, slow
	// ones within some tens of milliseconds.
	replyTimeout = 120 * time.Millisecond
	// maxAttempts bounds how often a request is submitted when its coordinators fail.
	maxAttempts = 5
	// decisionGrace is added to a request's maximum wait before a missing decision counts as a failure of the coordinator.
	decisionGrace = 300 * time.Millisecond
)

// Notices records the leaving notices of servers: their statements, in responses to this VM or another one, that they are
// leaving.
type Notices interface {
	// RecordNotices records notices. Servers with one are leaving in the lists passed to SetServers from then on.
	RecordNotices(list []guavatraffic.Incarnation)
	// HasNotice reports whether there is a notice of a server.
	HasNotice(i guavatraffic.Incarnation) bool
	// Notices returns the listed servers of a service that have given notice.
	Notices(service string) []guavatraffic.Incarnation
}

// VM is a VM that may be a coordinator or the owner of a group of client accounts.
type VM struct {
	guavamember.Identity
	// Cores is its share of processor cores. VMs with less than half of the largest share of any VM are chosen only if no
	// other is reachable.
	Cores float64
}

// Membership is what the shares of the rates follow from.
type Membership struct {
	// Members are the VMs that may grant tokens, also those that have left lately.
	Members []guavaquota.Member
	// Newest is the newest revision of their rows.
	Newest uint64
}

// RefusalError reports that a request got no reservation and was not executed. It may be retried after After.
type RefusalError struct {
	After  time.Duration
	Reason string
}

// Error implements error.
func (r *RefusalError) Error() string { return "refused: " + r.Reason }

// errCoordinatorLost is the result of a request whose coordinator became unreachable before it decided.
var errCoordinatorLost = errors.New("coordinator lost")

// Client requests reservations and tokens from the responsible VMs, and decides itself for the services and groups of
// client accounts that this VM is responsible for.
type Client struct {
	self    VM
	mesh    *guavamesh.Mesh
	local   *coordinator
	notices Notices
	logger  hclog.Logger
	next    guavamesh.Handler
	crashes *guavapoison.CrashTracker

	tolerance guavaquota.Tolerance
	started   time.Time

	// saveBans receives the bans that this VM has changed, and onSettled the newest revision that all VMs have in their lists of
	// VMs. Both are set before Run.
	saveBans  func(list []guavapoison.Ban)
	onSettled func(listed uint64)

	startupDone chan struct{} // closed startupTime after the start: this VM no longer waits for links to others

	lossMu    sync.Mutex
	lossTimer *time.Timer // sends the lost runs that were recorded since the last message, nil if there was none lately

	// incomingMu orders the messages of incoming links with the changes of the links: writers replace links and drop
	// their requests, readers process messages. It is locked before mu.
	incomingMu sync.RWMutex

	mu            sync.Mutex
	vms           []VM
	listed        uint64                          // newest revision in the list of VMs
	services      []string                        // of the configuration in force
	shards        map[string]int                  // number of shards by service, only of services with several
	extraPeers    []string                        // further VMs that the caller of SetVMs wants links to
	peers         map[string]guavamember.Identity // VMs to which links are kept
	unlinkedSince map[string]time.Time            // when those of the peers without a link lost it
	presence      presence
	ranks         map[string][]string
	incoming      map[string]*guavamesh.Link // newest link that each peer opened to this VM, by its name
	suspects      map[string]time.Time       // VMs that are not chosen until then
	lastNumber    uint64
	coordinators  map[string]string // by shard
	owners        [guavaquota.Groups]string
	pending       map[guavaplace.Key]*pendingRequest
	active        map[guavaplace.Key]*Reservation
	lostRuns      []lostRun // released lately
	tokenCaches   map[string]*tokenCache
	tokenRequests map[uint64]chan given
}

// pendingRequest is a request that waits for a decision.
type pendingRequest struct {
	service string
	vm      string
	events  chan event
}

type event struct {
	decision        guavaplace.Decision
	coordinatorLost bool
}

// New returns a client. Confirmed returns when the store last confirmed the list of VMs. Large messages of other VMs use the memory
// of received while they arrive. Messages of other types and all link events are passed on to next.
func New(
	self VM, config func() *guavatraffic.Config, confirmed func() time.Time, t guavaquota.Tolerance, n Notices, next guavamesh.Handler,
	dial guavamesh.Dial, received *guavabudget.Budget, l hclog.Logger,
) *Client {
	c := &Client{
		self: self, tolerance: t, started: time.Now(), notices: n, logger: l, next: next,
		onSettled: func(uint64) {}, unlinkedSince: map[string]time.Time{}, presence: presence{lastSeen: map[string]time.Time{}},
		vms: []VM{self}, shards: map[string]int{}, ranks: map[string][]string{}, incoming: map[string]*guavamesh.Link{},
		suspects: map[string]time.Time{}, coordinators: map[string]string{},
		pending: map[guavaplace.Key]*pendingRequest{}, active: map[guavaplace.Key]*Reservation{},
		tokenCaches: map[string]*tokenCache{}, tokenRequests: map[uint64]chan given{}, crashes: guavapoison.NewCrashTracker(),
		lastNumber: self.Incarnation, // so that no earlier process of this VM has used the numbers
	}
	c.startupDone = make(chan struct{})
	c.local = newCoordinator(self.Name, fmt.Sprintf("%s/%d", self.Name, self.Incarnation), config, t, n, c.deliver, c.crashes, c.publishBans, c.publishLosses, confirmed, l)
	c.mesh = guavamesh.New(self.Identity, dial, c, received, l)
	return c
}

// Mesh returns the links to other VMs.
func (c *Client) Mesh() *guavamesh.Mesh { return c.mesh }

// SetServers sets the list of servers.
func (c *Client) SetServers(list []guavatraffic.Server) {
	c.local.setServers(list)
	counts := map[string]int{}
	for _, v := range list {
		counts[v.Service]++
	}
	c.mu.Lock()
	shards := map[string]int{} // see Client.shards
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
		c.updatePeers()
	}
}

// SetVMs sets the list of VMs, their membership and the services of the configuration. Links are kept to the VMs that are first in
// the ranking of a service, and to those named in extraPeers.
func (c *Client) SetVMs(list []VM, m Membership, services, extraPeers []string) {
	c.mu.Lock()
	c.listed = m.Newest
	if !slices.Equal(list, c.vms) {
		c.vms, c.ranks = list, map[string][]string{}
	}
	c.services, c.extraPeers = services, extraPeers
	c.mu.Unlock()
	// After the ranks, so that a VM that has left its list turns to another owner before its own share changes.
	c.local.setMembers(m)
	c.updatePeers()
	c.announceGroups(false) // another list may have another owner
}

// OnSettled sets the function that gets the newest revision that all VMs have in their lists of VMs. It is called before Run.
func (c *Client) OnSettled(f func(listed uint64)) { c.onSettled = f }

// Run announces to the owners of rate limits which groups this VM uses them for, and logs statistics, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	startup := time.AfterFunc(startupTime, func() { close(c.startupDone) })
	defer startup.Stop()
	stats := time.NewTicker(statsInterval)
	defer stats.Stop()
	c.announceGroups(true)
	for {
		select {
		case <-tick.C:
			c.updatePeers()
			c.announceGroups(true)
			c.observePresence(time.Now())
		case <-stats.C:
			c.local.report(c.logger)
		case <-ctx.Done():
			c.mesh.Close()
			return
		}
	}
}

// Package guavaedge assembles the process of an entry VM on a shared platform.
package guavaedge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"guavaridge/core/guavabudget"
	"guavaridge/core/guavamember"
	"guavaridge/core/guavaquota"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacalls"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavafallback"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavajobs"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavametrics"
	"guavaridge/io/guavapool"
	"guavaridge/io/guavasend"
	"guavaridge/io/guavatransport"
	"guavaridge/io/guavaview"
)

// Platform is the access to the shared platform: its store, protocols and data formats.
type Platform struct {
	Store guavacalls.Store
	Wire  guavagate.Protocol
	Codec guavajobs.Codec
	// DecodeConfig decodes a configuration, and DecodeServer the entry of a backend server.
	DecodeConfig func(data []byte) (*guavatraffic.Config, error)
	DecodeServer func(id string, data []byte) (guavatraffic.Server, error)
	// ConfigTable and ConfigKey are the table and key of the configuration, ServerTable is the table of the servers.
	ConfigTable, ConfigKey, ServerTable string
	// EvacuationPrefix begins the keys of the rows in ConfigTable that name evacuated failure domains, "" if there are none.
	EvacuationPrefix string
}

const (
	// dialTimeout bounds the dial of a backend server. Servers of a region accept connections within milliseconds.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout is how long an idle connection to a backend server stays open.
	idleTimeout = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections to each server, the number of slots that servers usually
	// have.
	maxIdleConns = 8
	// bufferShare is the part of the VM's memory that bodies of requests and responses may use: the memory divided by this number.
	bufferShare = 4
	// accountShare is the part of that which the bodies of one account may use.
	accountShare = 0.75
	// connectionShare is the part of the VM's memory that connections of callers may use, and connectionBytes what one of them
	// uses at most: its buffers, stacks and small bodies.
	connectionShare = 3. / 16
	connectionBytes = 32 << 10
	// messageShare is the part of the VM's memory that messages of other VMs may use while they arrive: the memory divided by
	// this number.
	messageShare = 6
	// maxGreeting is the number of connections on the port for other VMs that are not yet links, and greetingTime how long each
	// may stay so while others wait.
	maxGreeting  = 64
	greetingTime = 100 * time.Millisecond
	// maxProbes is the number of connections on the ports for readiness probes and metrics, and probeTimeout the time for a
	// request on them. maxProbeSize bounds its body, in bytes.
	maxProbes    = 32
	probeTimeout = 5 * time.Second
	maxProbeSize = 1 << 10
	// evictAfter is how long a caller's connection may wait for a complete request while others wait for a connection.
	evictAfter = time.Second
	// reservedFiles is the number of file descriptors that are not available to connections of callers.
	reservedFiles = 400
	// writeTimeout is how long a caller may leave sent bytes unread before its connection is closed.
	writeTimeout = 10 * time.Second
	// staleAfter is the outage of the store after which the configuration of this VM counts as stale.
	staleAfter = 1500 * time.Millisecond
	// storeCheckInterval is the time between checks whether the store is available.
	storeCheckInterval = 100 * time.Millisecond
	// storeProbeInterval is the time between calls for the list of servers while the store does not respond. Removals in the list mean
	// different things soon after the return of the store and later, so that it has to be noticed quickly.
	storeProbeInterval = 300 * time.Millisecond
	// jobsBatchDelay is the pause between responses with changes of jobs, of which every VM gets all. Results that one VM
	// has listed have to be listed by all within a second, and clients read about twice a second.
	jobsBatchDelay = 200 * time.Millisecond
	// drainDelay is how long a draining VM accepts connections: the load balancer needs two failed readiness probes, 1 s
	// apart, to stop sending them.
	drainDelay = 3300 * time.Millisecond
	// shutdownMargin is the last part of the grace period, reserved for the exit of the process.
	shutdownMargin = 300 * time.Millisecond
	// backgroundTimeout bounds the wait for background work after the last request. Store calls in flight cannot be
	// cancelled; abandoning them has no side effects.
	backgroundTimeout = 50 * time.Millisecond
)

// Edge is the process of a VM.
type Edge struct {
	settings   Settings
	network    guavatransport.Network
	platform   Platform
	logger     hclog.Logger
	registry   *registry
	client     *guavacoord.Client
	replicator *replicator
	gate       *guavagate.Gateway
	batch      *guavajobs.Jobs
	pool       *guavapool.Pool
	sender     *guavasend.Sender
	buffers    *guavabudget.Budget // of the bodies of requests and responses
	metrics    *guavametrics.Metrics

	config, servers, vms, jobs, bans *guavaview.Follower
	banTable                         *banTable

	drain     chan struct{}
	drainOnce sync.Once
	updateMu  sync.Mutex // serializes updates of the other parts from the registry
	// acceptFailures counts the failed accepts of all listeners.
	acceptFailures atomic.Uint64

	mu     sync.Mutex
	owners []string // VMs that own jobs whose leases this VM monitors
}

// New assembles the process.
func New(s Settings, p Platform, network guavatransport.Network, logger hclog.Logger) (*Edge, error) {
	metrics, err := guavametrics.New()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	requests, err := requestMetrics(metrics)
	if err != nil {
		return nil, err
	}
	calls, err := storeCallMetrics(metrics)
	if err != nil {
		return nil, err
	}
	p.Store = guavacalls.New(p.Store, calls)
	self := guavacoord.VM{Cores: s.Cores, Identity: guavamember.Identity{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.Peer,
		Incarnation: uint64(time.Now().UnixNano()), //nolint:gosec // the year is after 1970
	}}
	e := &Edge{metrics: metrics, settings: s, network: network, platform: p, logger: logger, replicator: newReplicator(), drain: make(chan struct{})}
	e.registry = newRegistry(self, p, guavatraffic.ColdTolerance{Overage: s.ColdOverage, Slack: s.ColdSlack}, logger, e.update, e.updateServers)
	config := e.registry.config.Load
	confirmed := func(f **guavaview.Follower) func() time.Time {
		return func() time.Time {
			_, at := (*f).Position()
			return at
		}
	}
	e.client = guavacoord.New(self, func() *guavatraffic.Config {
		if c := config(); c != nil {
			return c
		}
		return &guavatraffic.Config{}
	}, confirmed(&e.vms), guavaquota.Tolerance{Overage: s.Overage, Slack: s.Slack, Window: seconds(s.Window)}, e.registry, e.replicator, network.Dial,
		guavabudget.NewUndivided(s.Memory*(1<<20)/messageShare), logger)
	e.pool = guavapool.New(network.Dial, dialTimeout, idleTimeout, maxIdleConns, &guavapool.Counters{})
	buffers := s.Memory * (1 << 20) / bufferShare
	budget := guavabudget.New(buffers)
	e.buffers = budget
	e.sender = guavasend.New(e.pool, budget)
	sender := e.sender
	store := guavafallback.New(p.Store, p.Store, func() bool { return e.config.Outage(time.Now()) > fallbackDelay },
		e.replicator.randomLinks, logger)
	e.replicator.fallback = store
	e.batch = guavajobs.New(guavajobs.Dependencies{
		Self: self.Identity, Table: store, Objects: store, Admission: localAdmission{e.client, s.Domain}, Sender: sender,
		Protocol: p.Wire, Codec: p.Codec, Config: config, Stale: e.isStale, Status: e.registry.status,
		ConfigPosition: func() uint64 {
			position, _ := e.config.Position()
			return position
		},
		Linked: func(vm string) uint64 {
			if l := e.client.Mesh().Link(vm); l != nil {
				return l.Peer.Incarnation
			}
			return 0
		},
		Confirmed: confirmed(&e.jobs),
		Retention: seconds(s.Retention), MaxStaleness: seconds(s.Settle), Logger: logger,
	})
	e.gate = guavagate.New(guavagate.Dependencies{
		Protocol: p.Wire, Admission: localAdmission{e.client, s.Domain}, Jobs: e.batch, Sender: sender,
		Bodies: guavabudget.NewShares[string](budget, int(accountShare*float64(buffers))),
		Config: config, Stale: func() bool { return e.isStale() || e.batch.IsConfigBehind() }, Status: e.registry.status, Hedge: s.Hedge.policy, Metrics: requests, Logger: logger,
	}, s.connections())
	e.config = guavaview.New(p.Store, p.ConfigTable, []string{""}, guavaview.DefaultWait, e.registry.applyConfig, logger)
	e.servers = guavaview.New(p.Store, p.ServerTable, []string{""}, guavaview.DefaultWait, e.registry.applyServers, logger)
	e.servers.SetAvailability(
		guavaview.Availability{Failed: e.registry.recordStoreFailure, Responded: e.registry.recordStoreResponse}, storeProbeInterval,
	)
	e.vms = guavaview.New(p.Store, tableVMs, []string{""}, guavaview.DefaultWait, e.registry.applyVMs, logger)
	e.jobs = guavaview.New(p.Store, guavajobs.TableJobs, guavajobs.Parts(), guavaview.DefaultWait, e.batch.Apply, logger)
	e.jobs.SetBatchDelay(jobsBatchDelay)
	e.banTable = newBanTable(store, e.client.MergeBans, e.client.LiftBan, logger)
	e.client.OnBans(e.banTable.save)
	e.client.OnSettled(e.registry.settle)
	e.bans = guavaview.New(p.Store, tableBans, []string{""}, guavaview.DefaultWait, e.banTable.apply, logger)
	e.replicator.followers = map[string]*guavaview.Follower{
		p.ConfigTable: e.config, p.ServerTable: e.servers, tableVMs: e.vms, guavajobs.TableJobs: e.jobs,
		tableBans: e.bans,
	}
	e.replicator.connectFollowers()
	if err := e.registerMetrics(metrics); err != nil {
		return nil, err
	}
	return e, nil
}

// update passes the state of the registry to the other parts. The followers of several tables call it concurrently.
// Calls are serialized including the read of the registry, so that an older list of VMs never replaces a newer one.
func (e *Edge) update() {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	list, members := e.registry.list()
	e.client.Mesh().SetFleet(len(list))
	var services []string
	if c := e.registry.config.Load(); c != nil {
		for name := range c.Services {
			services = append(services, name)
		}
		slices.Sort(services)
		e.pool.SetLimit(c.IdleConnections(len(list), maxIdleConns))
	}
	e.mu.Lock()
	owners := e.owners
	e.mu.Unlock()
	// A configuration can change the slots of servers.
	e.client.SetServers(e.registry.servers.Load().Servers())
	e.client.SetVMs(list, members, services, slices.Concat(owners, e.replicator.setVMs(e.settings.Name, list)))
	identities := make([]guavamember.Identity, 0, len(list))
	for _, v := range list {
		identities = append(identities, v.Identity)
	}
	e.batch.SetVMs(identities)
}

// updateServers passes the servers of the registry to the client.
func (e *Edge) updateServers() {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	e.client.SetServers(e.registry.servers.Load().Servers())
}

func (e *Edge) isStale() bool { return e.config.Outage(time.Now()) > staleAfter }

// isReady reports whether the VM accepts requests.
func (e *Edge) isReady() bool {
	select {
	case <-e.drain:
		return false
	default:
	}
	for _, f := range [...]*guavaview.Follower{e.config, e.servers, e.bans} {
		select {
		case <-f.Ready():
		default:
			return false
		}
	}
	return e.registry.config.Load() != nil
}

// Drain starts a graceful shutdown.
func (e *Edge) Drain() { e.drainOnce.Do(func() { close(e.drain) }) }

// Run serves until the shutdown that Drain starts is complete, or until ctx ends.
func (e *Edge) Run(ctx context.Context) error {
	e.logger.Info("start", "vm", e.settings.Name, "domain", e.settings.Domain, "front", e.settings.Front)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var listeners [4]net.Listener // the last is nil without an address for metrics
	for i, a := range [...]string{e.settings.Front, e.settings.Ready, e.settings.Peer, e.settings.Metrics} {
		if a == "" {
			continue
		}
		ln, err := guavatransport.Listen(ctx, e.network, a, e.logger)
		if err != nil {
			return err //nolint:wrapcheck // it names the address
		}
		defer ln.Close()
		listeners[i] = guavalisten.Retry(ln, e.logger, &e.acceptFailures)
	}
	group, ctx := errgroup.WithContext(ctx)
	background := func(run func(ctx context.Context)) {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	for _, f := range [...]*guavaview.Follower{e.config, e.servers, e.vms, e.jobs, e.bans} {
		background(f.Run)
	}
	background(e.registry.register)
	background(e.retireVMs)
	background(e.client.Run)
	background(e.banTable.run)
	background(e.replicator.run)
	background(e.monitorStore)
	background(func(ctx context.Context) { e.batch.Run(ctx, e.setOwners) })
	background(func(ctx context.Context) { e.servePeers(ctx, listeners[2]) })
	ready := &fasthttp.Server{
		Handler: e.serveReady, NoDefaultServerHeader: true, NoDefaultDate: true, ReduceMemoryUsage: true,
		ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: probeTimeout, MaxRequestBodySize: maxProbeSize,
	}
	group.Go(func() error { return serveUntil(ctx, ready.Serve, e.bounded(listeners[1], maxProbes, evictAfter)) })
	if ln := listeners[3]; ln != nil {
		group.Go(func() error { return e.serveMetrics(ctx, e.bounded(ln, maxProbes, evictAfter)) })
	}
	front := guavalisten.New(listeners[0], guavalisten.Options{
		Limit: e.settings.connections(), WriteTimeout: writeTimeout, Rejected: &e.gate.Counters.Rejected,
		EvictAfter: evictAfter, Evicted: &e.gate.Counters.Evicted, Timeouts: e.gate.Timeouts,
		RejectResponse: "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	})
	group.Go(func() error { return serveUntil(ctx, func(net.Listener) error { return e.gate.Serve(front) }, front) })
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	drained := make(chan struct{})
	go func() {
		e.shutdown(ctx)
		close(drained)
	}()
	var err error
	select {
	case err = <-ended:
	case <-drained:
		cancel()
		select {
		case err = <-ended:
		case <-time.After(backgroundTimeout):
		}
	}
	e.gate.Close()
	e.batch.Close()
	e.logger.Info("stop", "vm", e.settings.Name, "error", err)
	return err
}

// serveUntil serves a listener until ctx ends.
func serveUntil(ctx context.Context, serve func(net.Listener) error, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	if err := serve(ln); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}

// bounded bounds the number of connections on a port that serves no callers. Beyond the limit, the one that has waited for longest
// makes room, if it has waited for the given time.
func (e *Edge) bounded(ln net.Listener, limit int, evictAfter time.Duration) net.Listener {
	c := &e.gate.Counters
	return guavalisten.New(ln, guavalisten.Options{
		Limit: limit, LimitWaiting: true, WriteTimeout: writeTimeout, Rejected: &c.Rejected, EvictAfter: evictAfter, Evicted: &c.Evicted,
	})
}

func (e *Edge) serveReady(ctx *fasthttp.RequestCtx) {
	if !e.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// servePeers accepts links of other VMs once the configuration, servers, VMs and bans are known, so that this VM makes no
// decision for a peer without them.
func (e *Edge) servePeers(ctx context.Context, ln net.Listener) {
	for _, f := range [...]*guavaview.Follower{e.config, e.servers, e.vms, e.bans} {
		select {
		case <-f.Ready():
		case <-ctx.Done():
			return
		}
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	e.client.Mesh().Serve(e.bounded(ln, maxGreeting, greetingTime))
}

// monitorStore reports outages of the store to the registry, expires its servers, and reviews the routes of waiting items,
// which depend on the configuration and on whether it may be out of date.
func (e *Edge) monitorStore(ctx context.Context) {
	for range every(ctx, storeCheckInterval) {
		e.registry.expire()
		_, confirmed := e.vms.Position()
		e.registry.recordConfirmed(confirmed)
		e.batch.ReviewRoutes()
	}
}

func (e *Edge) setOwners(owners []string) {
	e.mu.Lock()
	e.owners = owners
	e.mu.Unlock()
	e.update()
}

// shutdown waits for Drain, hands over the coordination and jobs of this VM, and then waits for running requests up to
// the grace period.
func (e *Edge) shutdown(ctx context.Context) {
	select {
	case <-e.drain:
	case <-ctx.Done():
		return
	}
	begin := time.Now()
	e.logger.Info("drain", "running", e.gate.Running(), "jobs", e.batch.Running())
	end := begin.Add(seconds(e.settings.Grace) - shutdownMargin)
	e.gate.Drain(end)
	var handover sync.WaitGroup
	handover.Go(func() {
		e.registry.removeSelf()
		e.registry.unregister()
	})
	handover.Go(e.batch.Drain)
	handover.Wait()
	select {
	case <-time.After(max(time.Until(begin.Add(drainDelay)), time.Millisecond)):
	case <-ctx.Done():
		return
	}
	ctx, stop := context.WithDeadline(ctx, end)
	defer stop()
	err := e.gate.Shutdown(ctx)
	e.logger.Info("drained", "running", e.gate.Running(), "after", time.Since(begin).Milliseconds(), "error", err)
}

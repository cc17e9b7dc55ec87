// Package guavaedge assembles the process of an entry VM on a shared platform.
package guavaedge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

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

// Platform is the platform as the product sees it.
type Platform struct {
	Store guavacalls.Store
	Wire  guavagate.Protocol
	Codec guavajobs.Codec
	// Config decodes a configuration, and Server the entry of a backend server.
	Config func(data []byte) (*guavatraffic.Config, error)
	Server func(id string, data []byte) (guavatraffic.Server, error)
	// ConfigTable, ConfigKey and ServerTable say where they are.
	ConfigTable, ConfigKey, ServerTable string
}

const (
	// dialTime bounds the opening of a connection to a backend server. Servers of a region answer within milliseconds.
	dialTime = 150 * time.Millisecond
	// idleAge is how long an idle connection to a backend server is kept, and idleLimit how many for each at most: as many
	// as a server usually has places.
	idleAge   = 2 * time.Second
	idleLimit = 8
	// spareFiles is the number of file descriptors that are not for callers.
	spareFiles = 400
	// writeTime is how long a caller may leave sent bytes unread.
	writeTime = 10 * time.Second
	// staleTime is how long the store may not answer until what this VM knows counts as out of date.
	staleTime = 1500 * time.Millisecond
	// watchTime is the pause between looks at the store's state.
	watchTime = 100 * time.Millisecond
	// leaveAfter is how long a VM that stops still takes connections: the entry notices after two questions, a second
	// apart, that it is not ready.
	leaveAfter = 3300 * time.Millisecond
	// stopMargin is the part of the grace period that is left for the end of the process.
	stopMargin = 700 * time.Millisecond
	// endTime bounds the wait for background work after the last request has ended. Questions to the store cannot be taken
	// back and leave nothing behind.
	endTime = 50 * time.Millisecond
)

// Edge is the process of a VM.
type Edge struct {
	settings Settings
	network  guavatransport.Network
	platform Platform
	logger   hclog.Logger
	registry *registry
	client   *guavacoord.Client
	copies   *copies
	gate     *guavagate.Gateway
	batch    *guavajobs.Jobs
	pool     *guavapool.Pool
	metrics  *guavametrics.Metrics

	config, servers, vms, jobs *guavaview.Follower

	drain     chan struct{}
	drainOnce sync.Once
	passing   sync.Mutex // held while what the registry knows is passed on
	mu        sync.Mutex
	owners    []string // of jobs that this VM watches
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
	calls, err := storeCalls(metrics)
	if err != nil {
		return nil, err
	}
	p.Store = guavacalls.New(p.Store, calls)
	self := guavacoord.VM{Cores: s.Cores, Identity: guavamember.Identity{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.Peer,
		Incarnation: uint64(time.Now().UnixNano()), //nolint:gosec // the year is after 1970
	}}
	e := &Edge{metrics: metrics, settings: s, network: network, platform: p, logger: logger, copies: newCopies(), drain: make(chan struct{})}
	e.registry = newRegistry(self, p, logger, e.changed, e.serversChanged)
	config := e.registry.config.Load
	e.client = guavacoord.New(self, func() *guavatraffic.Config {
		if c := config(); c != nil {
			return c
		}
		return &guavatraffic.Config{}
	}, guavaquota.Tolerance{Overage: s.Overage, Slack: s.Slack}, e.copies, network.Dial, logger)
	e.pool = guavapool.New(network.Dial, dialTime, idleAge, idleLimit, &guavapool.Counters{})
	sender := guavasend.New(e.pool)
	store := guavafallback.New(p.Store, p.Store, func() bool { return e.config.Failing(time.Now()) > copyAfter },
		e.copies.sources, logger)
	e.copies.fallback = store
	e.batch = guavajobs.New(guavajobs.Dependencies{
		Self: self.Identity, Table: store, Objects: store, Admission: placer{e.client, s.Domain}, Sender: sender,
		Protocol: p.Wire, Codec: p.Codec, Config: config, Stale: e.isStale, Usable: e.registry.usable,
		Linked: func(vm string) uint64 {
			if l := e.client.Mesh().Link(vm); l != nil {
				return l.Peer.Incarnation
			}
			return 0
		},
		Confirmed: func() time.Time {
			_, at := e.jobs.Position()
			return at
		},
		Retention: seconds(s.Retention), MaxStaleness: seconds(s.Settle), Logger: logger,
	})
	e.gate = guavagate.New(guavagate.Dependencies{
		Protocol: p.Wire, Admission: placer{e.client, s.Domain}, Jobs: e.batch, Sender: sender,
		Config: config, Stale: e.isStale, Usable: e.registry.usable, Metrics: requests, Logger: logger,
	}, s.Files-spareFiles)
	e.config = guavaview.New(p.Store, p.ConfigTable, []string{""}, guavaview.DefaultWait, e.registry.applyConfig, logger)
	e.servers = guavaview.New(p.Store, p.ServerTable, []string{""}, guavaview.DefaultWait, e.registry.applyServers, logger)
	e.vms = guavaview.New(p.Store, tableVMs, []string{""}, guavaview.DefaultWait, e.registry.applyVMs, logger)
	e.jobs = guavaview.New(p.Store, guavajobs.TableJobs, guavajobs.Parts(), guavaview.DefaultWait, e.batch.Apply, logger)
	e.copies.followers = map[string]*guavaview.Follower{
		p.ConfigTable: e.config, p.ServerTable: e.servers, tableVMs: e.vms, guavajobs.TableJobs: e.jobs,
	}
	e.copies.share()
	if err := e.register(metrics); err != nil {
		return nil, err
	}
	return e, nil
}

// changed passes on what the registry knows. The followers of several tables call it at a time: one call ends before the
// next reads the registry, or an older list of VMs would take the place of a newer one until the next change.
func (e *Edge) changed() {
	e.passing.Lock()
	defer e.passing.Unlock()
	list := e.registry.list()
	var services []string
	if c := e.registry.config.Load(); c != nil {
		for name := range c.Services {
			services = append(services, name)
		}
		slices.Sort(services)
		e.pool.SetLimit(c.IdleConnections(len(list), idleLimit))
	}
	e.mu.Lock()
	owners := e.owners
	e.mu.Unlock()
	// A configuration can change the places of servers.
	e.client.SetServers(e.registry.serverList())
	e.client.SetVMs(list, services, slices.Concat(owners, e.copies.setVMs(e.settings.Name, list)))
	identities := make([]guavamember.Identity, 0, len(list))
	for _, v := range list {
		identities = append(identities, v.Identity)
	}
	e.batch.SetVMs(identities)
}

// serversChanged passes on the servers.
func (e *Edge) serversChanged() {
	e.passing.Lock()
	defer e.passing.Unlock()
	e.client.SetServers(e.registry.serverList())
}

func (e *Edge) isStale() bool { return e.config.Failing(time.Now()) > staleTime }

// isReady reports whether the VM takes requests.
func (e *Edge) isReady() bool {
	select {
	case <-e.drain:
		return false
	default:
	}
	for _, f := range [...]*guavaview.Follower{e.config, e.servers} {
		select {
		case <-f.Ready():
		default:
			return false
		}
	}
	return e.registry.config.Load() != nil
}

// Drain starts a graceful stop.
func (e *Edge) Drain() { e.drainOnce.Do(func() { close(e.drain) }) }

// Run serves until Drain has finished or ctx ends.
func (e *Edge) Run(ctx context.Context) error {
	e.logger.Info("start", "vm", e.settings.Name, "domain", e.settings.Domain, "front", e.settings.Front)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var listeners [3]net.Listener
	for i, a := range [...]string{e.settings.Front, e.settings.Ready, e.settings.Peer} {
		ln, err := e.network.Listen(a)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		defer ln.Close()
		listeners[i] = ln
	}
	group, ctx := errgroup.WithContext(ctx)
	background := func(run func(ctx context.Context)) {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	for _, f := range [...]*guavaview.Follower{e.config, e.servers, e.vms, e.jobs} {
		background(f.Run)
	}
	background(e.registry.register)
	background(e.client.Run)
	background(e.copies.run)
	background(e.watch)
	background(func(ctx context.Context) { e.batch.Run(ctx, e.watchOwners) })
	background(func(ctx context.Context) { e.servePeers(ctx, listeners[2]) })
	ready := &fasthttp.Server{Handler: e.answerReady, NoDefaultServerHeader: true, NoDefaultDate: true, ReduceMemoryUsage: true}
	group.Go(func() error { return serveUntil(ctx, ready.Serve, listeners[1]) })
	if e.settings.Metrics != "" {
		ln, err := e.network.Listen(e.settings.Metrics)
		if err != nil {
			return fmt.Errorf("listen for metrics: %w", err)
		}
		group.Go(func() error { return e.serveMetrics(ctx, ln) })
	}
	front := guavalisten.New(listeners[0], guavalisten.Options{
		Limit: max(e.settings.Files-spareFiles, 1), WriteTime: writeTime, Rejected: &e.gate.Counters.Rejected,
		TooMany: "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	})
	group.Go(func() error { return serveUntil(ctx, func(net.Listener) error { return e.gate.Serve(front) }, front) })
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	drained := make(chan struct{})
	go func() {
		e.stop(ctx)
		close(drained)
	}()
	var err error
	select {
	case err = <-ended:
	case <-drained:
		cancel()
		select {
		case err = <-ended:
		case <-time.After(endTime):
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

func (e *Edge) answerReady(ctx *fasthttp.RequestCtx) {
	if !e.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// servePeers takes links of other VMs once this VM knows the servers, so that it does not decide without them.
func (e *Edge) servePeers(ctx context.Context, ln net.Listener) {
	for _, f := range [...]*guavaview.Follower{e.config, e.servers, e.vms} {
		select {
		case <-f.Ready():
		case <-ctx.Done():
			return
		}
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	e.client.Mesh().Serve(ln)
}

// watch follows the state of the store.
func (e *Edge) watch(ctx context.Context) {
	for range every(ctx, watchTime) {
		if e.servers.Failing(time.Now()) > 0 {
			e.registry.trouble()
		}
		e.registry.expire()
	}
}

func (e *Edge) watchOwners(owners []string) {
	e.mu.Lock()
	e.owners = owners
	e.mu.Unlock()
	e.changed()
}

// stop waits for the signal to stop, hands over what others can do, and lets requests end.
func (e *Edge) stop(ctx context.Context) {
	select {
	case <-e.drain:
	case <-ctx.Done():
		return
	}
	begin := time.Now()
	e.logger.Info("drain", "running", e.gate.Running(), "jobs", e.batch.Running())
	e.gate.Drain()
	var handing sync.WaitGroup
	handing.Go(func() {
		e.registry.leave()
		e.registry.unregister()
	})
	handing.Go(e.batch.Drain)
	handing.Wait()
	select {
	case <-time.After(max(time.Until(begin.Add(leaveAfter)), time.Millisecond)):
	case <-ctx.Done():
		return
	}
	ctx, stop := context.WithDeadline(ctx, begin.Add(seconds(e.settings.Grace)-stopMargin))
	defer stop()
	err := e.gate.Shutdown(ctx)
	e.logger.Info("drained", "running", e.gate.Running(), "after", time.Since(begin).Milliseconds(), "error", err)
}

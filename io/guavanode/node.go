// Package guavanode assembles the process of one VM from its components.
package guavanode

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/core/guavakey"
	"guavaridge/core/guavalease"
	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavaadmin"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavabatch"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavafront"
	"guavaridge/io/guavaleases"
	"guavaridge/io/guavametrics"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaorders"
	"guavaridge/io/guavapeer"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavapoll"
	"guavaridge/io/guavasettings"
	"guavaridge/io/guavatransport"
)

// Network opens the sockets of a VM. The default is TCP; tests pass an in-memory network.
type Network = guavatransport.Network

// Option changes a default of New.
type Option func(*Node)

// WithNetwork sets the network that opens sockets.
func WithNetwork(n Network) Option { return func(v *Node) { v.network = n } }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l hclog.Logger) Option { return func(v *Node) { v.log = l } }

// Node is the process of one VM, with all its roles. It is created by New.
type Node struct {
	settings guavasettings.Settings
	platform guavaplatform.Platform
	network  Network
	security security
	log      hclog.Logger

	holder          *guavaconfig.Holder
	store           *guavaoperator.Store
	table           *guavamember.Table
	rateLimiter     *guavalimit.FleetLimiter
	slots           *guavapeer.Slots
	slotMonitor     *slotMonitor
	client          guavaback.Client
	pipeline        *guavadispatch.Pipeline
	front           *guavafront.Front
	peer            *guavapeer.Peer
	poller          *guavapoll.Poller
	loads           *loadReports
	batchLimiters   *guavafill.LimiterSet
	limiterFeed     *limiterFeed
	jobs            *guavabatch.Service
	batchRunner     *guavabatch.Runner
	cancels         *cancelledJobs
	reports         *reportSet
	arrivals        *arrivalTracker
	leases          *guavaleases.Runner
	orders          *guavaorders.Runner
	metrics         *guavametrics.Metrics
	admin           *guavaadmin.Server
	operator        *guavaoperator.Service
	peerServer      *grpc.Server
	operatorServer  *grpc.Server
	backendCounters guavaback.Counters
	frontCounters   guavafront.Counters
	acceptFailures  atomic.Uint64

	// stopLeaseRunners stops the runners of the slot, the leases and the orders; leaseRunners waits for them.
	stopLeaseRunners context.CancelFunc
	leaseRunners     sync.WaitGroup

	ready atomic.Bool
	once  sync.Once
	drain chan struct{}
}

// New assembles the process of a VM, which Run starts. The platform is the state that all processes share.
func New(s guavasettings.Settings, p guavaplatform.Platform, opts ...Option) (*Node, error) {
	n := &Node{
		settings: s, platform: p, network: guavatransport.TCP(), log: hclog.NewNullLogger(),
		holder: guavaconfig.NewHolder(), drain: make(chan struct{}),
	}
	for _, o := range opts {
		o(n)
	}
	n.table = guavamember.NewTable(guavamember.Identity{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.PeerAddress(), Incarnation: uint64(time.Now().UnixNano()),
	})
	var err error
	if n.security, err = n.newSecurity(); err != nil {
		return nil, err
	}
	n.assembleOnline()
	n.assembleBatch()
	n.assemblePeer()
	if err := n.assembleServers(); err != nil {
		return nil, err
	}
	n.holder.Subscribe(n.applySnapshot)
	return n, nil
}

// assembleOnline creates the components that serve online requests.
func (n *Node) assembleOnline() {
	n.client = guavaback.New(guavaback.WithDial(n.network.Dial), guavaback.WithCounters(&n.backendCounters))
	n.rateLimiter = guavalimit.NewFleetLimiter(n.table, func(ctx context.Context, to guavamember.Identity, t []guavalimit.TokenRequest) ([]guavalimit.Grant, error) {
		return n.peer.RequestTokens(ctx, to, t)
	})
	n.pipeline = guavadispatch.New(n.holder.Snapshot, n.client, n.rateLimiter, n.platform, n.settings.Domain, n.log.Named("dispatch"), guavadispatch.WithoutResponseLoads())
	n.batchLimiters = guavafill.NewLimiterSet()
	n.loads = newLoadReports(n.pipeline, n.batchLimiters)
	n.poller = guavapoll.New(n.client, n.holder.Snapshot, n.owns, n.settings.Domain, n.loads)
}

// assembleBatch creates the components that run batch jobs.
func (n *Node) assembleBatch() {
	n.cancels, n.reports = newCancelledJobs(), newReportSet()
	n.arrivals = newArrivalTracker(n.batchLimiters, n.settings.Name, n.owner,
		func(ctx context.Context, to guavamember.Identity, a []guavapeer.Arrival) error {
			return n.peer.AnnounceArrivals(ctx, to, a)
		})
	n.limiterFeed = newLimiterFeed(n.batchLimiters, n.pipeline, n.holder.Snapshot, n.owns, n.settings.Domain, n.arrivals)
	n.jobs = guavabatch.NewService(n.platform, n.platform, n.holder.Snapshot, n.cancels)
	n.batchRunner = guavabatch.New(n.settings.Name, n.settings.Domain, n.platform, n.platform, n.client, n.holder.Snapshot,
		n.batchLimiters, n.log.Named("batch"))
	n.cancels.stop, n.cancels.announce = n.batchRunner.Cancelled, n.announceCancel
}

// assemblePeer creates the exchange with other VMs, the runners of slot, leases and orders, and the configuration store.
func (n *Node) assemblePeer() {
	n.peer = guavapeer.New(guavapeer.Deps{
		Table: n.table, Changes: n.holder, Pool: n.rateLimiter, Machines: n.platform, Log: n.log.Named("peer"), Seeds: n.settings.Seeds,
		Hooks: guavapeer.Hooks{BuildPayload: n.payload, Receive: n.receive, ReloadConfiguration: n.reload, Configuration: func() []byte { return n.holder.Snapshot().Encode() }, ReceiveArrivals: n.arrivals.receive},
	}, guavapeer.WithDialOptions(n.dialOptions()...))
	n.slotMonitor = newSlotMonitor(n.rateLimiter)
	n.slots = guavapeer.NewSlots(n.table, n.platform, n.slotMonitor, n.log.Named("slots"))
	n.leases = guavaleases.New(n.platform, processName(n.table.Self()), guavaleases.WithLogger(n.log.Named("leases")))
	n.orders = guavaorders.New(n.settings.Domain, n.client, n.platform, n.holder,
		func() guavalease.Grant { return n.leases.Grant(n.settings.Domain) }, guavaorders.WithLogger(n.log.Named("orders")))
	n.leases.Campaign(n.settings.Domain)
	n.store = guavaoperator.NewStore(n.platform, n.holder, guavaoperator.WithNewKey(newKey), guavaoperator.WithStoreLogger(n.log.Named("config")),
		guavaoperator.WithOnCommit(func(c []guavaconfig.Change) { go n.push(c) }))
}

// assembleServers creates the endpoints for callers, operators and monitoring.
func (n *Node) assembleServers() error {
	options := []guavafront.Option{
		guavafront.WithBodyLimit(n.settings.Limits.Body, maxFileBytes),
		guavafront.WithHeaderLimit(n.settings.Limits.Header),
		guavafront.WithConnectionLimit(n.settings.Limits.Connections),
		guavafront.WithIdleTimeout(n.settings.Limits.IdleTime()),
		guavafront.WithCounters(&n.frontCounters),
	}
	if t := n.settings.TLS; t.Enabled() {
		options = append(options, guavafront.WithTLS(t.Cert, t.Key))
	}
	jobs := notifyingJobs{Jobs: n.jobs, notify: n.notifyBatchRunners}
	var err error
	n.front, err = guavafront.New(guavafront.Dependencies{
		Snapshot: n.holder.Snapshot, Dispatcher: n.pipeline, Logger: n.log.Named("front"),
		Files: guavafront.Handler(guavabatch.Files(n.jobs)), Batches: guavafront.Handler(guavabatch.Batches(jobs)),
	}, options...)
	if err != nil {
		return errors.Newf("create caller endpoint: %w", err)
	}
	if n.metrics, err = guavametrics.New(); err != nil {
		return err
	}
	if err := n.registerMetrics(); err != nil {
		return err
	}
	n.admin = guavaadmin.New(n.Ready, n.metrics.Handler())
	accounts := make([]guavaoperator.Account, 0, len(n.settings.Operators))
	for _, o := range n.settings.Operators {
		accounts = append(accounts, guavaoperator.Account{Name: o.Name, Hash: o.Hash, Role: guavaoperator.Role(o.Role)})
	}
	n.operator, err = guavaoperator.NewService(n.settings.Name, n.store, accounts, guavaoperator.WithDrainer(drainer{n}),
		guavaoperator.WithConfirmations(n), guavaoperator.WithJobs(operatorJobs{jobs}))
	if err != nil {
		return errors.Newf("create operators' service: %w", err)
	}
	return nil
}

// processName returns a name that differs for each process of a VM, so that a restarted VM is a new owner of leases.
func processName(id guavamember.Identity) string {
	return id.Name + "/" + strconv.FormatUint(id.Incarnation, 10)
}

// newKey generates an API key in the format that the caller endpoint verifies.
func newKey() (guavaoperator.NewKey, error) {
	text, id, hash := guavakey.Generate()
	return guavaoperator.NewKey{Name: id, Text: text, Hash: hash}, nil
}

// drainer implements guavaoperator.Drainer for this VM.
type drainer struct{ n *Node }

// Drain implements guavaoperator.Drainer.
func (d drainer) Drain(_ context.Context, vm string) error {
	if vm != d.n.settings.Name {
		return errors.Newf("VM %q takes drains at its own operators' address", vm)
	}
	d.n.Drain()
	return nil
}

// maxFileBytes is the maximum size of an uploaded batch file.
const maxFileBytes = 4 << 30

// applySnapshot updates the components that keep state derived from the configuration.
func (n *Node) applySnapshot(s *guavaconfig.Snapshot) {
	n.rateLimiter.SetPlan(guavalimit.NewPlan(s, n.settings.Domain))
	n.slotMonitor.setConfigured()
	n.front.Refresh()
}

// owner returns the VM of a backend server's failure domain that polls it and sends batch work to it.
func (n *Node) owner(server string) (guavamember.Member, bool) {
	b, ok := n.holder.Snapshot().Server(server)
	if !ok {
		return guavamember.Member{}, false
	}
	return guavamember.Rendezvous(server, n.table.Alive(b.Domain))
}

// owns reports whether this VM is the owner of a backend server.
func (n *Node) owns(server string) bool {
	m, ok := n.owner(server)
	return ok && m.Name == n.settings.Name
}

// push sends accepted changes to the other VMs. VMs that it does not reach fetch them after the next exchange message.
func (n *Node) push(changes []guavaconfig.Change) {
	n.peer.Push(context.Background(), changes)
}

// reload loads the configuration from the store. It is called if a peer no longer has the missing versions.
func (n *Node) reload() {
	ctx, cancel := context.WithTimeout(context.Background(), reloadTimeout)
	defer cancel()
	if err := n.store.CatchUp(ctx); err != nil {
		n.log.Warn("configuration load failed", "error", err)
	}
}

const reloadTimeout = 5 * time.Second

// Ready reports whether the VM accepts new requests: a configuration is in force, and the VM owns a usable slot or got
// none within slotTimeout.
func (n *Node) Ready() bool { return n.ready.Load() && n.front.Ready() && n.slotMonitor.ready() }

// Snapshot returns the configuration in force on this VM.
func (n *Node) Snapshot() *guavaconfig.Snapshot { return n.holder.Snapshot() }

// Store returns the configuration store, for programs that embed the VM.
func (n *Node) Store() *guavaoperator.Store { return n.store }

// Package guavanode assembles the process of one VM from its parts.
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

// WithNetwork sets how sockets are opened.
func WithNetwork(n Network) Option { return func(v *Node) { v.network = n } }

// WithLogger sets the logger of changes of state.
func WithLogger(l hclog.Logger) Option { return func(v *Node) { v.log = l } }

// Node is the process of one VM, with every role in it. Use New.
type Node struct {
	settings guavasettings.Settings
	platform guavaplatform.Platform
	network  Network
	security security
	log      hclog.Logger

	holder   *guavaconfig.Holder
	store    *guavaoperator.Store
	table    *guavamember.Table
	limiter  *guavalimit.FleetLimiter
	slots    *guavapeer.Slots
	watch    *slotWatch
	client   guavaback.Client
	pipeline *guavadispatch.Pipeline
	front    *guavafront.Front
	peer     *guavapeer.Peer
	poller   *guavapoll.Poller
	loads    *loadBook
	fill     *guavafill.LimiterSet
	feed     *fillFeed
	jobs     *guavabatch.Service
	runner   *guavabatch.Runner
	cancels  *cancelBook
	reports  *reportBook
	arrivals *arrivalBook
	leases   *guavaleases.Runner
	orders   *guavaorders.Runner
	metrics  *guavametrics.Metrics
	admin    *guavaadmin.Server
	operator *guavaoperator.Service
	peers    *grpc.Server
	control  *grpc.Server
	backs    guavaback.Counters
	fronts   guavafront.Counters

	// stopHolding ends what keeps rows of the table for this process, and holdings waits for it.
	stopHolding context.CancelFunc
	holdings    sync.WaitGroup

	ready atomic.Bool
	once  sync.Once
	drain chan struct{}
}

// New assembles a VM's process that does nothing until Run. The platform is shared state outside this process.
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
	n.holder.Subscribe(n.adopt)
	return n, nil
}

// assembleOnline joins the parts that serve online requests.
func (n *Node) assembleOnline() {
	n.client = guavaback.New(guavaback.WithDial(n.network.Dial), guavaback.WithCounters(&n.backs))
	n.limiter = guavalimit.NewFleetLimiter(n.table, func(ctx context.Context, to guavamember.Identity, t []guavalimit.TokenRequest) ([]guavalimit.Grant, error) {
		return n.peer.Take(ctx, to, t)
	})
	n.pipeline = guavadispatch.New(n.holder.Snapshot, n.client, n.limiter, n.platform, n.settings.Domain, n.log.Named("dispatch"), guavadispatch.WithoutResponseLoads())
	n.fill = guavafill.NewLimiterSet()
	n.loads = newLoadBook(n.pipeline, n.fill)
	n.poller = guavapoll.New(n.client, n.holder.Snapshot, n.owns, n.settings.Domain, n.loads)
}

// assembleBatch joins the parts that run batch jobs.
func (n *Node) assembleBatch() {
	n.cancels, n.reports = newCancelBook(), newReportBook()
	n.arrivals = newArrivalBook(n.fill, n.settings.Name, n.owner,
		func(ctx context.Context, to guavamember.Identity, a []guavapeer.Arrival) error {
			return n.peer.Arrive(ctx, to, a)
		})
	n.feed = newFillFeed(n.fill, n.pipeline, n.holder.Snapshot, n.owns, n.settings.Domain, n.arrivals)
	n.jobs = guavabatch.NewService(n.platform, n.platform, n.holder.Snapshot, n.cancels)
	n.runner = guavabatch.New(n.settings.Name, n.settings.Domain, n.platform, n.platform, n.client, n.holder.Snapshot,
		n.fill, n.log.Named("batch"))
	n.cancels.stop, n.cancels.spread = n.runner.Cancelled, n.spreadCancel
}

// assemblePeer joins the exchange with the other VMs and the configuration store.
func (n *Node) assemblePeer() {
	n.peer = guavapeer.New(guavapeer.Deps{
		Table: n.table, Changes: n.holder, Pool: n.limiter, Machines: n.platform, Log: n.log.Named("peer"), Seeds: n.settings.Seeds,
		Hooks: guavapeer.Hooks{Fill: n.payload, Receive: n.receive, Snapshot: n.reload, State: func() []byte { return n.holder.Snapshot().Encode() }, Arrived: n.arrivals.told},
	}, guavapeer.WithDialOptions(n.dialOptions()...))
	n.watch = newSlotWatch(n.limiter)
	n.slots = guavapeer.NewSlots(n.table, n.platform, n.watch, n.log.Named("slots"))
	n.leases = guavaleases.New(n.platform, processName(n.table.Self()), guavaleases.WithLogger(n.log.Named("leases")))
	n.orders = guavaorders.New(n.settings.Domain, n.client, n.platform, n.holder,
		func() guavalease.Grant { return n.leases.Grant(n.settings.Domain) }, guavaorders.WithLogger(n.log.Named("orders")))
	n.leases.Campaign(n.settings.Domain)
	n.store = guavaoperator.NewStore(n.platform, n.holder, guavaoperator.WithNewKey(newKey), guavaoperator.WithStoreLogger(n.log.Named("config")),
		guavaoperator.WithOnCommit(func(c []guavaconfig.Change) { go n.push(c) }))
}

// assembleServers joins the endpoints of callers, operators and monitoring.
func (n *Node) assembleServers() error {
	options := []guavafront.Option{
		guavafront.WithBodyLimit(n.settings.Limits.Body, maxFile),
		guavafront.WithHeaderLimit(n.settings.Limits.Header),
		guavafront.WithConnectionLimit(n.settings.Limits.Connections),
		guavafront.WithIdleTime(n.settings.Limits.IdleTime()),
		guavafront.WithCounters(&n.fronts),
	}
	if t := n.settings.TLS; t.Enabled() {
		options = append(options, guavafront.WithTLS(t.Cert, t.Key))
	}
	jobs := wakingJobs{Jobs: n.jobs, wake: n.wakeRunners}
	var err error
	n.front, err = guavafront.New(guavafront.Dependencies{
		Snapshot: n.holder.Snapshot, Dispatcher: n.pipeline, Logger: n.log.Named("front"),
		Files: guavafront.Handler(guavabatch.Files(n.jobs)), Batches: guavafront.Handler(guavabatch.Batches(jobs)),
	}, options...)
	if err != nil {
		return errors.Newf("assemble front: %w", err)
	}
	if n.metrics, err = guavametrics.New(); err != nil {
		return err
	}
	if err := n.publish(); err != nil {
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
		return errors.Newf("assemble operators' service: %w", err)
	}
	return nil
}

// processName names a process, so that a restarted VM is another holder of leases.
func processName(id guavamember.Identity) string {
	return id.Name + "/" + strconv.FormatUint(id.Incarnation, 10)
}

// newKey generates a key in the form that the front checks.
func newKey() (guavaoperator.NewKey, error) {
	text, id, hash := guavakey.Generate()
	return guavaoperator.NewKey{Name: id, Text: text, Hash: hash}, nil
}

// drainer implements guavaoperator.Drainer for the own VM.
type drainer struct{ n *Node }

// Drain implements guavaoperator.Drainer.
func (d drainer) Drain(_ context.Context, vm string) error {
	if vm != d.n.settings.Name {
		return errors.Newf("VM %q takes drains at its own operators' address", vm)
	}
	d.n.Drain()
	return nil
}

// maxFile is the largest uploaded batch file in bytes.
const maxFile = 4 << 30

// adopt makes the parts that keep derived state follow a new configuration.
func (n *Node) adopt(s *guavaconfig.Snapshot) {
	n.limiter.SetPlan(guavalimit.NewPlan(s, n.settings.Domain))
	n.watch.adopted()
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

// push sends accepted changes to the other VMs. VMs that it does not reach learn of them from the exchange.
func (n *Node) push(changes []guavaconfig.Change) {
	n.peer.Push(context.Background(), changes)
}

// reload puts the table's configuration in force when no peer holds the missing versions.
func (n *Node) reload() {
	ctx, cancel := context.WithTimeout(context.Background(), reloadTimeout)
	defer cancel()
	if err := n.store.CatchUp(ctx); err != nil {
		n.log.Warn("configuration not loaded", "error", err)
	}
}

const reloadTimeout = 5 * time.Second

// Ready reports whether the VM takes new requests: a configuration is in force, and the VM has a slot or could get none.
func (n *Node) Ready() bool { return n.ready.Load() && n.front.Ready() && n.watch.ready() }

// Snapshot returns the configuration in force on this VM.
func (n *Node) Snapshot() *guavaconfig.Snapshot { return n.holder.Snapshot() }

// Store returns the configuration store, for programs that hold the VM in their own process.
func (n *Node) Store() *guavaoperator.Store { return n.store }

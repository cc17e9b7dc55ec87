// Package guavademo runs a complete deployment in one process: VMs, model engines, plain services and a platform.
package guavademo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavanode"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavasettings"
	"guavaridge/io/guavastandin"
)

// Size and timing of the demo deployment.
const (
	enginesPerDomain    = 2
	engineSlots         = 32
	engineStep          = 2 * time.Millisecond
	engineStepPerStream = 50 * time.Microsecond
	reportEvery         = 200 * time.Millisecond
	serviceWork         = 2 * time.Millisecond
	model               = "proof-7b"
	accountName         = "studio"
	accountRate         = 2000.0
	accountBurst        = 2000.0
	startTimeout        = 15 * time.Second
	startPoll           = 20 * time.Millisecond
)

// domains are the names of the failure domains.
var domains = []string{"a", "b", "c"}

// vm is a VM that runs in this process. done receives the result of its node.
type vm struct {
	settings guavasettings.Settings
	node     *guavanode.Node
	stop     context.CancelFunc
	done     chan error
}

// Deployment is a running deployment on loopback addresses. Use New.
type Deployment struct {
	log      hclog.Logger
	token    string
	platform *guavastandin.Platform
	vms      []*vm
	engines  []*guavastandin.Engine
	service  *guavastandin.Service
	servers  []guavaconfig.BackendServer
	key      guavaoperator.IssuedKey

	wg        sync.WaitGroup
	listeners []net.Listener
}

// New starts a deployment and returns when every VM is ready with the newest configuration. Close stops it.
func New(ctx context.Context, log hclog.Logger) (*Deployment, error) {
	d := &Deployment{log: log, platform: guavastandin.NewPlatform(), token: guavaoperator.NewOperation()}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.startServers(); err != nil {
		return err
	}
	for _, domain := range domains {
		if err := d.startVM(domain); err != nil {
			return err
		}
	}
	if err := d.applyDeclarations(ctx); err != nil {
		return err
	}
	return d.waitForVersion(ctx)
}

// startServers starts the model engines of each failure domain and one plain service.
func (d *Deployment) startServers() error {
	for _, domain := range domains {
		for i := range enginesPerDomain {
			e := guavastandin.NewEngine(guavastandin.EngineConfig{
				Models: []string{model}, Slots: engineSlots, Step: engineStep, StepEach: engineStepPerStream, ReportEvery: reportEvery, RejectStaleEpochs: true,
			})
			d.engines = append(d.engines, e)
			b := guavaconfig.BackendServer{Name: fmt.Sprintf("engine-%s%d", domain, i+1), Domain: domain, Models: []string{model}, ChecksEpoch: true}
			if err := d.serve(b, e.Serve); err != nil {
				return err
			}
		}
	}
	d.service = guavastandin.NewService(guavastandin.ServiceConfig{ServiceTime: serviceWork})
	return d.serve(guavaconfig.BackendServer{Name: "desk-a1", Domain: "a", Service: "bookings"}, d.service.Serve)
}

func (d *Deployment) serve(b guavaconfig.BackendServer, serve func(net.Listener) error) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Newf("listen for %s: %w", b.Name, err)
	}
	d.listeners = append(d.listeners, l)
	b.Address = l.Addr().String()
	d.servers = append(d.servers, b)
	d.wg.Go(func() { _ = serve(l) })
	return nil
}

func (d *Deployment) startVM(domain string) error {
	network, err := newReservedNetwork()
	if err != nil {
		return err
	}
	s := guavasettings.Settings{
		Name: "vm-" + domain + "1", Address: "127.0.0.1", Domain: domain, Ports: network.ports,
		Operators: []guavasettings.Operator{{Name: "demo", Role: "admin", Hash: guavaoperator.HashToken(d.token)}},
	}
	if len(d.vms) > 0 {
		s.Seeds = []string{d.vms[0].settings.PeerAddress()}
	}
	s = s.WithDefaults()
	n, err := guavanode.New(s, d.platform.For(domain, s.Name), guavanode.WithNetwork(network), guavanode.WithLogger(d.log.Named(s.Name)))
	if err != nil {
		return errors.Newf("create node of %s: %w", s.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{settings: s, node: n, stop: stop, done: make(chan error, 1)}
	d.vms = append(d.vms, v)
	d.wg.Go(func() { v.done <- n.Run(ctx) })
	return nil
}

// applyDeclarations applies the demo's declarations and issues the demo key.
func (d *Deployment) applyDeclarations(ctx context.Context) error {
	declarations := guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: accountName, Rate: accountRate, Burst: accountBurst, Weight: 1}},
		Models:   []guavaconfig.Model{{Name: model, Version: "1", MinServers: 1}},
		Routes: []guavaconfig.Route{
			{Name: "models", Path: "/v1", Idempotent: true},
			{Name: "bookings", Path: "/bookings", Service: "bookings"},
		},
		Servers: d.servers,
	}
	for _, domain := range domains {
		declarations.Domains = append(declarations.Domains, guavaconfig.FailureDomain{Name: domain, Region: "default", VMSlots: 1})
	}
	store := d.vms[0].node.Store()
	if _, err := store.Apply(ctx, guavaoperator.Request{Meta: d.meta("first declarations"), Desired: declarations}); err != nil {
		return errors.Newf("apply declarations: %w", err)
	}
	var err error
	if d.key, err = store.IssueKey(ctx, d.meta("demo key"), accountName, nil); err != nil {
		return err
	}
	return nil
}

func (d *Deployment) meta(reason string) guavaoperator.Meta {
	return guavaoperator.Meta{Operation: guavaoperator.NewOperation(), Operator: "demo", Reason: reason}
}

// waitForVersion waits at most startTimeout until every VM is ready and has the newest configuration in force.
func (d *Deployment) waitForVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if d.upToDate() {
			return nil
		}
		if err := d.stopped(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Newf("wait until all VMs have configuration version %d: %w", d.vms[0].node.Snapshot().Version(), ctx.Err())
		case <-time.After(startPoll):
		}
	}
}

// stopped returns an error if the node of a VM has ended.
func (d *Deployment) stopped() error {
	for _, v := range d.vms {
		select {
		case err := <-v.done:
			return errors.Newf("%s stopped: %w", v.settings.Name, err)
		default:
		}
	}
	return nil
}

func (d *Deployment) upToDate() bool {
	newest := d.vms[0].node.Snapshot().Version()
	for _, v := range d.vms {
		if !v.node.Ready() || v.node.Snapshot().Version() != newest {
			return false
		}
	}
	return true
}

// Close stops the VMs, engines and service, and waits for them.
func (d *Deployment) Close() {
	for _, v := range d.vms {
		v.stop()
	}
	for _, e := range d.engines {
		e.Close()
	}
	if d.service != nil {
		d.service.Close()
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	d.wg.Wait()
}

// URL returns the base URL of the first VM for callers.
func (d *Deployment) URL() string { return "http://" + d.vms[0].settings.CallerAddress() }

// Key returns the text of the demo key.
func (d *Deployment) Key() string { return d.key.Text }

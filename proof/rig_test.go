// Package proof_test runs the fault matrix: every fault at every step of every flow, on complete VMs with in-memory
// networks, stand-ins for the backend servers and the platform, and the fake clock of synctest.
package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavanode"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavasettings"
	"guavaridge/io/guavastandin"
)

const (
	model       = "proof-7b"
	accountName = "bank"
	// settleTime is the time after which the membership views and the slots of a new deployment no longer change.
	settleTime = 5 * time.Second
	// propagationTime is the time within which an accepted change is in force on every reachable VM.
	propagationTime = 3 * time.Second
	clientSite      = "clients" // network site of the callers; it reaches every failure domain
)

// domains are the failure domains; each has two VMs, two engines and one service.
var domains = []string{"a", "b"}

// vm is one VM of the deployment.
type vm struct {
	settings guavasettings.Settings
	node     *guavanode.Node
	stop     context.CancelFunc
	done     chan struct{}
	err      error
	// versions are the configuration versions recorded so far; they must never decrease.
	versions []uint64
}

// kill terminates the VM's process without a drain.
func (v *vm) kill() {
	v.stop()
	<-v.done
}

func (v *vm) running() bool {
	select {
	case <-v.done:
		return false
	default:
		return true
	}
}

// rig is a complete deployment in a synctest bubble.
type rig struct {
	t               *testing.T
	random          *rand.Rand
	network         *guavanetwork.Network
	platform        *guavastandin.Platform
	vms             []*vm
	engines         map[string]*guavastandin.Engine
	services        map[string]*guavastandin.Service
	declared        guavaconfig.Declarations
	key             guavaoperator.IssuedKey
	http            *http.Client
	wg              sync.WaitGroup
	nextVM          atomic.Int64 // round-robin counter of complete
	isolatingFaults atomic.Int64 // active faults that isolate VMs
}

// newRig starts a deployment and waits for settleTime.
func newRig(t *testing.T, seed uint64) *rig {
	t.Helper()
	r := &rig{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), network: guavanetwork.New(), platform: guavastandin.NewPlatform(),
		engines: map[string]*guavastandin.Engine{}, services: map[string]*guavastandin.Service{},
	}
	r.http = &http.Client{Transport: &http.Transport{DialContext: r.network.Site(clientSite).Dial}}
	for d, domain := range domains {
		r.startServers(d, domain)
	}
	for d, domain := range domains {
		for i := range 2 {
			r.startVM(domain, fmt.Sprintf("10.%d.0.%d", d, i+1))
		}
	}
	r.declare()
	time.Sleep(settleTime)
	t.Cleanup(r.close)
	return r
}

func (r *rig) startServers(d int, domain string) {
	r.declared.Domains = append(r.declared.Domains, guavaconfig.FailureDomain{Name: domain, Region: "r", VMSlots: 2})
	for i := range 2 {
		b := guavaconfig.BackendServer{
			Name: fmt.Sprintf("engine-%s%d", domain, i), Address: fmt.Sprintf("10.%d.1.%d:80", d, i+1), Domain: domain,
			Models: []string{model}, ChecksEpoch: i == 0,
		}
		e := guavastandin.NewEngine(guavastandin.EngineConfig{
			Models: []string{model}, Slots: 16, Step: 5 * time.Millisecond, StepEach: time.Millisecond, ReportEvery: 300 * time.Millisecond,
			EventLag: 500 * time.Millisecond, DropEventEvery: 7, RejectStaleEpochs: b.ChecksEpoch,
		})
		r.engines[b.Name] = e
		r.startServing(b, e.Serve)
	}
	s := guavastandin.NewService(guavastandin.ServiceConfig{ServiceTime: 20 * time.Millisecond})
	b := guavaconfig.BackendServer{Name: "desk-" + domain, Address: fmt.Sprintf("10.%d.2.1:80", d), Domain: domain, Service: "bookings"}
	r.services[b.Name] = s
	r.startServing(b, s.Serve)
}

func (r *rig) startServing(b guavaconfig.BackendServer, serve func(net.Listener) error) {
	l, err := r.network.Listen(b.Domain, b.Address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.declared.Servers = append(r.declared.Servers, b)
	r.wg.Go(func() { _ = serve(l) })
}

// startVM starts a VM's process. A second process at the same address replaces the first one.
func (r *rig) startVM(domain, address string) *vm {
	r.t.Helper()
	s := guavasettings.Settings{Address: address, Domain: domain, Region: "r"}.WithDefaults()
	if len(r.vms) > 0 {
		for _, v := range r.vms {
			s.Seeds = append(s.Seeds, v.settings.PeerAddress())
		}
	}
	n, err := guavanode.New(s, r.platform.For(domain, s.Name), guavanode.WithNetwork(r.network.Site(domain)))
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{settings: s, node: n, stop: stop, done: make(chan struct{})}
	r.vms = append(r.vms, v)
	r.wg.Go(func() {
		defer close(v.done)
		v.err = n.Run(ctx)
	})
	synctest.Wait()
	return v
}

// declare applies the declarations of the deployment and issues the key that the flows use.
func (r *rig) declare() {
	r.t.Helper()
	r.declared.Accounts = []guavaconfig.ClientAccount{{Name: accountName, Rate: 400, Burst: 400, Weight: 1}}
	r.declared.Models = []guavaconfig.Model{{Name: model, Version: "1", MinServers: 1}}
	r.declared.Routes = []guavaconfig.Route{
		{Name: "models", Path: "/v1", Idempotent: true, Deadline: 20_000},
		{Name: "bookings", Path: "/bookings", Service: "bookings", Deadline: 20_000},
	}
	store := r.vms[0].node.Store()
	if _, err := store.Apply(r.t.Context(), guavaoperator.Request{Meta: meta("declare"), Desired: r.declared}); err != nil {
		r.t.Fatal(err)
	}
	var err error
	if r.key, err = store.IssueKey(r.t.Context(), meta("key"), accountName, nil); err != nil {
		r.t.Fatal(err)
	}
}

func meta(reason string) guavaoperator.Meta {
	return guavaoperator.Meta{Operation: guavaoperator.NewOperation(), Operator: "op", Reason: reason}
}

// live returns the VMs whose process runs and accepts new requests.
func (r *rig) live() []*vm {
	var live []*vm
	for _, v := range r.vms {
		if v.running() && v.node.Ready() {
			live = append(live, v)
		}
	}
	return live
}

// recordVersions records the configuration version in force on each VM.
func (r *rig) recordVersions() {
	for _, v := range r.vms {
		v.versions = append(v.versions, v.node.Snapshot().Version())
	}
}

func (r *rig) close() {
	r.http.CloseIdleConnections()
	for _, v := range r.vms {
		v.kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	for _, s := range r.services {
		s.Close()
	}
	r.wg.Wait()
	time.Sleep(2 * time.Minute) // the worker pools of the HTTP servers poll for their shutdown at long intervals
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/internal/guavafabric"
	"guavaridge/io/guavapeer"
)

// configLog is a configuration that records when each version takes effect.
type configLog struct {
	mu      sync.Mutex
	changes []guavaconfig.Change
	at      []time.Time
}

func (v *configLog) Head() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return uint64(len(v.changes))
}

func (v *configLog) After(version uint64, limit int) ([]guavaconfig.Change, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	rest := v.changes[min(int(version), len(v.changes)):]
	return rest[:min(limit, len(rest))], true
}

func (v *configLog) Accept(changes []guavaconfig.Change) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range changes {
		switch head := uint64(len(v.changes)); {
		case c.Version <= head:
		case c.Version == head+1:
			v.changes = append(v.changes, c)
			v.at = append(v.at, time.Now())
		default:
			return errors.Newf("gap in the configuration changes between %d and %d", head, c.Version)
		}
	}
	return nil
}

// vm is a VM with the production peer exchange and rate limiter.
type vm struct {
	id     guavamember.Identity
	table  *guavamember.Table
	peer   *guavapeer.Peer
	limits *guavalimit.FleetLimiter
	config *configLog
	stop   func()

	mu      sync.Mutex
	changes []observedChange
}

type observedChange struct {
	guavamember.Change
	at time.Time
}

// startTime is the mean time between the starts of two VMs.
const startTime = 25 * time.Millisecond

// options are the parameters of a fleet.
type options struct {
	domains, size, servers, arrivals int
	tcp                              bool
	warmUp                           time.Duration
}

// fleet is a set of VMs in one process.
type fleet struct {
	options
	fabric *guavafabric.Fabric
	vms    []*vm
}

func vmName(domain, n int) (vm, dom string) {
	return fmt.Sprintf("vm-%02d-%02d", domain, n), fmt.Sprintf("domain-%02d", domain)
}

// newFleet starts the VMs. Seeds of a VM are the first two VMs of its domain and the first one of the next domain.
func newFleet(o options) (*fleet, error) {
	f := &fleet{options: o, fabric: guavafabric.New(o.tcp)}
	declared := guavaconfig.Declarations{}
	for d := range o.domains {
		_, dom := vmName(d, 0)
		declared.Domains = append(declared.Domains, guavaconfig.FailureDomain{Name: dom, Region: fmt.Sprint("region-", d/4), VMSlots: o.size})
	}
	snapshot := guavaconfig.NewSnapshot(1, declared)
	for d := range o.domains {
		for n := range o.size {
			v, err := f.start(d, n, snapshot)
			if err != nil {
				return nil, err
			}
			f.vms = append(f.vms, v)
		}
	}
	return f, nil
}

func (f *fleet) start(d, n int, snapshot *guavaconfig.Snapshot) (*vm, error) {
	nm, dom := vmName(d, n)
	first, _ := vmName(d, 0)
	second, _ := vmName(d, 1)
	other, _ := vmName((d+1)%f.domains, 0)
	v := &vm{
		id:     guavamember.Identity{Name: nm, Domain: dom, Region: fmt.Sprint("region-", d/4), Address: nm + ":7000", Incarnation: uint64(time.Now().UnixNano())},
		config: &configLog{},
	}
	v.table = guavamember.NewTable(v.id)
	v.limits = guavalimit.NewFleetLimiter(v.table, func(ctx context.Context, to guavamember.Identity, requests []guavalimit.TokenRequest) ([]guavalimit.Grant, error) {
		return v.peer.RequestTokens(ctx, to, requests)
	})
	v.limits.SetPlan(guavalimit.NewPlan(snapshot, dom))
	v.limits.Hold(n, time.Now())
	v.peer = guavapeer.New(guavapeer.Deps{
		Table: v.table, Changes: v.config, Pool: v.limits,
		Seeds: []string{first + ":7000", second + ":7000", other + ":7000"},
		Hooks: guavapeer.Hooks{
			BuildPayload: func(domain string) guavapeer.Payload { return f.payload(d, n, domain == dom) },
			Changed: func(cs []guavamember.Change) {
				v.mu.Lock()
				defer v.mu.Unlock()
				for _, c := range cs {
					v.changes = append(v.changes, observedChange{c, time.Now()})
				}
			},
		},
	}, guavapeer.WithDialOptions(grpc.WithContextDialer(f.fabric.Dialer(v.id.Address))))
	l, err := f.fabric.Listen(v.id.Address)
	if err != nil {
		return nil, err
	}
	s := grpc.NewServer(guavapeer.ServerOptions()...)
	v.peer.Register(s)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Serve(l) }()
	go func() {
		// The VMs start at random times, because a simultaneous start overloads the machine.
		select {
		case <-time.After(rand.N(startTime * time.Duration(f.domains*f.size))):
			_ = v.peer.Run(ctx)
		case <-ctx.Done():
		}
	}()
	v.stop = sync.OnceFunc(func() {
		cancel()
		f.fabric.Kill(v.id.Address)
		s.Stop()
	})
	return v, nil
}

// payload returns the payload of a VM at full load: a changed load report of each backend server that it polls, and the
// online requests of one second to the servers of its domain. The payload for other domains is empty.
func (f *fleet) payload(d, n int, own bool) guavapeer.Payload {
	if !own {
		return guavapeer.Payload{}
	}
	p := guavapeer.Payload{Arrivals: map[string]uint32{}}
	server := func(i int) string { return fmt.Sprintf("engine-%02d-%03d", d, i) }
	for i := range f.servers {
		p.Loads = append(p.Loads, guavapeer.Load{
			Server: server(n*f.servers + i), Running: rand.Uint32N(200), Waiting: rand.Uint32N(20), Slots: 200,
			KV: rand.Float64(), Age: rand.N(time.Second),
		})
	}
	for range f.arrivals {
		p.Arrivals[server(rand.IntN(f.size*f.servers))]++
	}
	return p
}

// converged reports whether every VM sees all other VMs as alive.
func (f *fleet) converged() bool {
	unknown, states := f.views()
	return unknown == 0 && len(states) == 1 && states[guavamember.Alive] > 0
}

// views counts, over all ordered pairs of running VMs, those in which the first does not know the second, and the
// states that the first has for the second.
func (f *fleet) views() (unknown int, states map[guavamember.State]int) {
	states = map[guavamember.State]int{}
	for _, v := range f.vms {
		for _, o := range f.vms {
			if o == v {
				continue
			}
			if m, ok := v.table.Member(o.id.Name); ok {
				states[m.State]++
			} else {
				unknown++
			}
		}
	}
	return unknown, states
}

func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, v := range f.vms {
		wg.Go(v.stop)
	}
	wg.Wait()
}

// suspicions counts how often VMs other than the excluded one were marked as suspect or dead since a time.
func (f *fleet) suspicions(since time.Time, excluded string) (suspect, dead int) {
	for _, v := range f.vms {
		v.mu.Lock()
		for _, c := range v.changes {
			if c.at.After(since) && c.Member.Name != excluded {
				switch c.Member.State {
				case guavamember.Suspect:
					suspect++
				case guavamember.Dead:
					dead++
				}
			}
		}
		v.mu.Unlock()
	}
	return suspect, dead
}

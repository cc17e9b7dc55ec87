package guavapeer_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavamember"
	"guavaridge/core/guavapoison"
	"guavaridge/internal/guavafabric"
	"guavaridge/io/guavapeer"
)

// versions is the configuration of one VM, without the versions up to trimmed.
type versions struct {
	mu      sync.Mutex
	changes []guavaconfig.Change
	trimmed uint64
}

func (v *versions) Head() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.trimmed + uint64(len(v.changes))
}

func (v *versions) After(version uint64, limit int) ([]guavaconfig.Change, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < v.trimmed {
		return nil, false
	}
	rest := v.changes[min(int(version-v.trimmed), len(v.changes)):]
	return rest[:min(limit, len(rest))], true
}

func (v *versions) Accept(changes []guavaconfig.Change) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range changes {
		switch head := v.trimmed + uint64(len(v.changes)); {
		case c.Version <= head:
		case c.Version == head+1:
			v.changes = append(v.changes, c)
		default:
			return errors.Newf("gap between %d and %d", head, c.Version)
		}
	}
	return nil
}

// vm is one process on the in-memory network.
type vm struct {
	id      guavamember.Identity
	table   *guavamember.Table
	config  *versions
	peer    *guavapeer.Peer
	stop    func()
	mu      sync.Mutex
	poison  map[guavapoison.Report]bool
	loads   map[string]guavapeer.Load
	content guavapeer.Payload
	// arrivals are those of the last message received.
	arrivals map[string]uint32
}

func start(t *testing.T, f *guavafabric.Fabric, name, domain, seed string) *vm {
	t.Helper()
	v := &vm{
		id: guavamember.Identity{
			Name: name, Domain: domain, Region: "r", Address: name + ":1", Incarnation: uint64(time.Now().UnixNano()),
		},
		config: &versions{},
		poison: map[guavapoison.Report]bool{},
		loads:  map[string]guavapeer.Load{},
	}
	v.table = guavamember.NewTable(v.id)
	v.peer = guavapeer.New(guavapeer.Deps{
		Table: v.table, Changes: v.config, Seeds: []string{seed},
		Hooks: guavapeer.Hooks{
			BuildPayload: func(string) guavapeer.Payload {
				v.mu.Lock()
				defer v.mu.Unlock()
				return v.content
			},
			Receive: func(_ guavamember.Identity, p guavapeer.Payload) {
				v.mu.Lock()
				defer v.mu.Unlock()
				for _, x := range p.Poison {
					v.poison[x] = true
				}
				for _, l := range p.Loads {
					v.loads[l.Server] = l
				}
				v.arrivals = p.Arrivals
			},
		},
	}, guavapeer.WithDialOptions(grpc.WithContextDialer(f.Dialer(v.id.Address))))
	l, err := f.Listen(v.id.Address)
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(guavapeer.ServerOptions()...)
	v.peer.Register(s)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	wg.Go(func() { _ = v.peer.Run(ctx) })
	v.stop = sync.OnceFunc(func() {
		cancel()
		f.Kill(v.id.Address)
		s.Stop()
		wg.Wait()
	})
	t.Cleanup(v.stop)
	return v
}

// fleet starts VMs of several domains with the first VM as the only seed.
func fleet(t *testing.T, f *guavafabric.Fabric, domains, size int) []*vm {
	t.Helper()
	vms := make([]*vm, 0, domains*size)
	for d := range domains {
		for n := range size {
			vms = append(vms, start(t, f, fmt.Sprintf("vm-%c%d", 'a'+d, n), string(rune('a'+d)), "vm-a0:1"))
		}
	}
	return vms
}

// states returns the states of the other VMs in a VM's table.
func states(v *vm) map[string]guavamember.State {
	m := map[string]guavamember.State{}
	for _, o := range v.table.Others() {
		m[o.Name] = o.State
	}
	return m
}

func all(vms []*vm, except *vm, s guavamember.State) map[string]guavamember.State {
	m := map[string]guavamember.State{}
	for _, v := range vms {
		if v != except {
			m[v.id.Name] = s
		}
	}
	return m
}

// TestFleetForms guards against VMs that never discover each other if each knows only one seed, for most of them in
// another domain.
func TestFleetForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := fleet(t, guavafabric.New(false), 3, 3)
		time.Sleep(6 * time.Second)
		for _, v := range vms {
			if d := cmp.Diff(all(vms, v, guavamember.Alive), states(v)); d != "" {
				t.Errorf("states in the table of %s (-want +got):\n%s", v.id.Name, d)
			}
		}
	})
}

// TestFailures guards against wrong member states after a VM is killed, unreachable or replaced, or its domain is
// partitioned.
func TestFailures(t *testing.T) {
	type step func(t *testing.T, f *guavafabric.Fabric, vms []*vm)
	stall := func(name string, d time.Duration) step {
		return func(_ *testing.T, f *guavafabric.Fabric, _ []*vm) {
			f.Partition(func(a, _ string) bool { return a == name+":1" })
			time.Sleep(d)
		}
	}
	heal := func(d time.Duration) step {
		return func(_ *testing.T, f *guavafabric.Fabric, _ []*vm) {
			f.Partition(nil)
			time.Sleep(d)
		}
	}
	partitionDomain := func(d time.Duration) step {
		return func(_ *testing.T, f *guavafabric.Fabric, _ []*vm) {
			f.Partition(func(a, b string) bool { return (a[3] == 'a') != (b[3] == 'a') })
			time.Sleep(d)
		}
	}
	kill := func(d time.Duration) step {
		return func(_ *testing.T, _ *guavafabric.Fabric, vms []*vm) {
			vms[4].stop()
			time.Sleep(d)
		}
	}
	replace := func(t *testing.T, f *guavafabric.Fabric, vms []*vm) {
		vms[4].stop()
		start(t, f, "vm-b1", "b", "vm-a0:1")
		time.Sleep(5 * time.Second)
	}
	const alive, suspect, dead = guavamember.Alive, guavamember.Suspect, guavamember.Dead
	// The states are those of vm-b1 in the tables of vm-a0 and vm-b0, and of vm-a0 in the table of vm-b0.
	cases := []struct {
		name  string
		steps []step
		want  [3]guavamember.State
	}{
		{"killed, 5 s", []step{kill(5 * time.Second)}, [3]guavamember.State{suspect, suspect, alive}},
		{"killed, 11 s", []step{kill(11 * time.Second)}, [3]guavamember.State{dead, dead, alive}},
		{"killed and replaced under the same address at once", []step{replace}, [3]guavamember.State{alive, alive, alive}},
		// The time without heartbeats is up to one round longer than the stall: from 2 s on, it may reach the 3 s after
		// which a VM is suspected.
		{"unreachable for 1.9 s", []step{stall("vm-b1", 1900*time.Millisecond)}, [3]guavamember.State{alive, alive, alive}},
		{"unreachable for 5 s", []step{stall("vm-b1", 5*time.Second)}, [3]guavamember.State{suspect, suspect, alive}},
		{"unreachable for 60 s, then reachable", []step{stall("vm-b1", time.Minute), heal(8 * time.Second)}, [3]guavamember.State{alive, alive, alive}},
		{"domain cut off for 5 s", []step{partitionDomain(5 * time.Second)}, [3]guavamember.State{suspect, alive, suspect}},
		{"domain cut off for 10 min", []step{partitionDomain(10 * time.Minute)}, [3]guavamember.State{dead, alive, dead}},
		{"domain cut off for 10 min, then reachable", []step{partitionDomain(10 * time.Minute), heal(10 * time.Second)}, [3]guavamember.State{alive, alive, alive}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i+1, c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := guavafabric.New(false)
				vms := fleet(t, f, 2, 3)
				time.Sleep(6 * time.Second)
				for _, s := range c.steps {
					s(t, f, vms)
				}
				got := [3]guavamember.State{states(vms[0])["vm-b1"], states(vms[3])["vm-b1"], states(vms[3])["vm-a0"]}
				if d := cmp.Diff(c.want, got); d != "" {
					t.Errorf("states (-want +got):\n%s", d)
				}
			})
		})
	}
}

func change(version uint64) guavaconfig.Change {
	return guavaconfig.Change{Version: version, Data: fmt.Appendf(nil, "change %d", version)}
}

func heads(vms []*vm) []uint64 {
	hs := make([]uint64, 0, len(vms))
	for _, v := range vms {
		hs = append(hs, v.config.Head())
	}
	return hs
}

// TestConfiguration guards against VMs that keep an old configuration after a push was lost or after they missed many
// versions, and against a head that decreases.
func TestConfiguration(t *testing.T) {
	apply := func(v *vm, versions ...uint64) {
		for _, n := range versions {
			_ = v.config.Accept([]guavaconfig.Change{change(n)})
			v.peer.Push(context.Background(), []guavaconfig.Change{change(n)})
		}
	}
	cases := []struct {
		name string
		run  func(f *guavafabric.Fabric, vms []*vm)
		want []uint64
	}{
		{"push reaches all domains within 100 ms", func(_ *guavafabric.Fabric, vms []*vm) {
			apply(vms[1], 1)
			time.Sleep(100 * time.Millisecond)
		}, []uint64{1, 1, 1, 1, 1, 1}},
		{"push lost to a whole domain, versions fetched after the exchange within 3 s", func(f *guavafabric.Fabric, vms []*vm) {
			f.Partition(func(a, b string) bool { return a[3] != b[3] })
			apply(vms[1], 1)
			f.Partition(nil)
			time.Sleep(3*time.Second - 1*time.Second) // the push took 1 s
		}, []uint64{1, 1, 1, 1, 1, 1}},
		{"VM behind by 350 versions", func(f *guavafabric.Fabric, vms []*vm) {
			f.Partition(func(a, _ string) bool { return a == "vm-b2:1" })
			for n := uint64(1); n <= 350; n++ {
				_ = vms[0].config.Accept([]guavaconfig.Change{change(n)})
			}
			time.Sleep(3 * time.Second)
			f.Partition(nil)
			time.Sleep(5 * time.Second)
		}, []uint64{350, 350, 350, 350, 350, 350}},
		{"old push does not lower the head", func(_ *guavafabric.Fabric, vms []*vm) {
			apply(vms[1], 1, 2)
			vms[1].peer.Push(context.Background(), []guavaconfig.Change{change(1)})
			time.Sleep(time.Second)
		}, []uint64{2, 2, 2, 2, 2, 2}},
		{"push with a gap is not taken, the gap is fetched", func(_ *guavafabric.Fabric, vms []*vm) {
			_ = vms[1].config.Accept([]guavaconfig.Change{change(1), change(2), change(3)})
			vms[1].peer.Push(context.Background(), []guavaconfig.Change{change(3)})
			time.Sleep(3 * time.Second)
		}, []uint64{3, 3, 3, 3, 3, 3}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i+1, c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := guavafabric.New(false)
				vms := fleet(t, f, 2, 3)
				time.Sleep(6 * time.Second)
				c.run(f, vms)
				if d := cmp.Diff(c.want, heads(vms)); d != "" {
					t.Errorf("heads (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestPayload guards against values that are lost or altered because messages carry only changes, also on a new stream
// after a failure.
func TestPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := guavafabric.New(false)
		vms := fleet(t, f, 1, 2)
		set := func(p guavapeer.Payload) {
			vms[0].mu.Lock()
			defer vms[0].mu.Unlock()
			vms[0].content = p
		}
		time.Sleep(5 * time.Second)
		load := func(running uint32) map[string]guavapeer.Load {
			return map[string]guavapeer.Load{"s": {Server: "s", Running: running, Waiting: 2, Slots: 30, KV: 0.25, Age: 150 * time.Millisecond}}
		}
		report := func(n uint32) guavapoison.Report { return guavapoison.Report{Server: "s", Began: 1, At: int64(n)} }
		for _, running := range []uint32{1, 1, 300} {
			set(guavapeer.Payload{Loads: []guavapeer.Load{load(running)["s"]}, Poison: []guavapoison.Report{report(running), report(9)}, Arrivals: map[string]uint32{"far": 7, "s": 1}})
			time.Sleep(2 * time.Second)
			vms[1].mu.Lock()
			got, poison, arrivals := maps.Clone(vms[1].loads), maps.Clone(vms[1].poison), vms[1].arrivals
			vms[1].mu.Unlock()
			if d := cmp.Diff(load(running), got); d != "" {
				t.Errorf("loads (-want +got):\n%s", d)
			}
			if !poison[report(running)] || !poison[report(9)] {
				t.Errorf("poison reports: got %v, want both current ones", poison)
			}
			if d := cmp.Diff(map[string]uint32{"far": 7, "s": 1}, arrivals); d != "" {
				t.Errorf("arrivals (-want +got):\n%s", d)
			}
			f.Partition(func(_, _ string) bool { return true })
			time.Sleep(20 * time.Second)
			f.Partition(nil)
			time.Sleep(5 * time.Second)
		}
	})
}

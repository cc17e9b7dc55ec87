package guavaorders_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalease"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavaleases"
	"guavaridge/io/guavaorders"
	"guavaridge/io/guavastandin"
)

// engine is a simulated engine that checks epochs or ignores them.
type engine struct {
	checks   bool
	epoch    uint64
	models   []string
	accepted []guavaback.Order
	times    []time.Time
	refused  int
}

// engines implements guavaorders.Engines with simulated engines.
type engines struct {
	mu   sync.Mutex
	list map[string]*engine // by address
	// stuck makes engines accept orders without executing them.
	stuck bool
	// orderDelay delays the arrival of the next order, whose sender gets no response.
	orderDelay time.Duration
}

func (e *engines) Load(_ context.Context, address string) (guavaback.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return guavaback.Load{Models: slices.Clone(e.list[address].models)}, nil
}

func (e *engines) Order(ctx context.Context, address string, o guavaback.Order) error {
	e.mu.Lock()
	delay := e.orderDelay
	e.orderDelay = 0
	e.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = e.accept(address, o) })
		<-ctx.Done()
		return ctx.Err()
	}
	return e.accept(address, o)
}

func (e *engines) accept(address string, o guavaback.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := e.list[address]
	if x.checks && o.Epoch < x.epoch {
		x.refused++
		return guavaback.ErrFenced
	}
	x.epoch = max(x.epoch, o.Epoch)
	x.accepted, x.times = append(x.accepted, o), append(x.times, time.Now())
	if !e.stuck {
		x.models = []string{o.Want}
	}
	return nil
}

func (e *engines) models(address string) []string { return e.engine(address).models }

// engine returns a copy of the state of an engine.
func (e *engines) engine(address string) engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := *e.list[address]
	x.models, x.accepted, x.times = slices.Clone(x.models), slices.Clone(x.accepted), slices.Clone(x.times)
	return x
}

// stale returns the number of accepted orders whose epoch is below that of an earlier order.
func (x engine) stale() int {
	n, highest := 0, uint64(0)
	for _, o := range x.accepted {
		if o.Epoch < highest {
			n++
		}
		highest = max(highest, o.Epoch)
	}
	return n
}

// config returns a configuration with model m at a version on the servers s0, s1, ... Their addresses are their names.
func config(version uint64, modelVersion string, minServers int, checks ...bool) *guavaconfig.Snapshot {
	d := guavaconfig.Declarations{Models: []guavaconfig.Model{{Name: "m", Version: modelVersion, MinServers: minServers}}}
	for i, c := range checks {
		name := fmt.Sprint("s", i)
		d.Servers = append(d.Servers, guavaconfig.BackendServer{Name: name, Address: name, Domain: "d0", Models: []string{"m"}, ChecksEpoch: c})
	}
	return guavaconfig.NewSnapshot(version, d)
}

// vm is a VM of failure domain d0 that is a candidate for the domain's lease and sends orders while it owns it.
type vm struct {
	leases *guavaleases.Runner
	orders *guavaorders.Runner
	holder *guavaconfig.Holder
}

func newVM(ctx context.Context, p *guavastandin.Platform, name string, e *engines, s *guavaconfig.Snapshot) *vm {
	view := p.For("d0", name)
	v := &vm{leases: guavaleases.New(view, name), holder: guavaconfig.NewHolder()}
	v.holder.Load(s)
	v.leases.Campaign("d0")
	v.orders = guavaorders.New("d0", e, view, v.holder, func() guavalease.Grant { return v.leases.Grant("d0") })
	go func() { _ = v.leases.Run(ctx) }()
	go func() { _ = v.orders.Run(ctx) }()
	time.Sleep(time.Second) // VMs start in the order of the calls, so the first one acquires the lease
	return v
}

// newEngines returns engines s0, s1, ... that serve m@1.
func newEngines(checks ...bool) *engines {
	e := &engines{list: make(map[string]*engine)}
	for i, c := range checks {
		e.list[fmt.Sprint("s", i)] = &engine{checks: c, models: []string{"m@1"}}
	}
	return e
}

// TestLateOrder guards against an order of a paused lease owner that arrives after another VM has acquired the lease.
// An engine that checks epochs must refuse it, and at an engine that ignores them a new order must replace its effect.
// The owner v0 is paused between its check of the lease and the sending: the order arrives 3 minutes later, when v1
// owns the lease and the desired version has changed.
func TestLateOrder(t *testing.T) {
	for name, checks := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				p, e := guavastandin.NewPlatform(), newEngines(checks)
				e.orderDelay = 3 * time.Minute
				previous := newVM(ctx, p, "v0", e, config(1, "2", 0, checks))
				next := newVM(ctx, p, "v1", e, config(1, "2", 0, checks))
				time.Sleep(20 * time.Second)
				if previous.orders.Counts().Unknown != 1 {
					t.Fatalf("counts of v0 %+v, want 1 unknown", previous.orders.Counts())
				}
				p.PartitionVM("v0", true)
				time.Sleep(80 * time.Second)
				next.holder.Load(config(2, "3", 0, checks))
				time.Sleep(20 * time.Second)
				if diff := cmp.Diff([]string{"m@3"}, e.models("s0")); diff != "" {
					t.Fatalf("models before the late order (-want +got): %s", diff)
				}
				time.Sleep(75 * time.Second) // the late order has arrived, at most 189 s after the start
				want := map[bool][2]int{true: {1, 0}, false: {0, 1}}[checks]
				if x := e.engine("s0"); x.refused != want[0] || x.stale() != want[1] {
					t.Errorf("late orders refused and accepted: %d and %d, want %v", x.refused, x.stale(), want)
				}
				time.Sleep(20 * time.Second)
				if diff := cmp.Diff([]string{"m@3"}, e.models("s0")); diff != "" {
					t.Errorf("models after the late order (-want +got): %s", diff)
				}
			})
		})
	}
}

// TestPausedBeforeSending guards against an order that a VM sends after its lease has ended, because it was paused
// before the sending. The pause is a fetch of weights that takes half an hour.
func TestPausedBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := guavastandin.NewPlatform(guavastandin.WithWeights(1, map[string]int64{"m@2": 1800}))
		e := newEngines(false, false)
		previous := newVM(ctx, p, "v0", e, config(1, "2", 0, false, false))
		newVM(ctx, p, "v1", e, config(1, "2", 0, false, false))
		time.Sleep(20 * time.Second)
		p.PartitionVM("v0", true)
		time.Sleep(20 * time.Minute)
		p.PartitionVM("v0", false) // v1 owns the lease now
		time.Sleep(3 * time.Hour)
		// The second order waits until the first fetch has ended, when the lease has expired, so its weights are not
		// fetched.
		want := guavaorders.Counts{Expired: 1, Failed: 1, Fetched: 1}
		if diff := cmp.Diff(want, previous.orders.Counts()); diff != "" {
			t.Errorf("counts of v0 (-want +got): %s", diff)
		}
		for _, name := range []string{"s0", "s1"} {
			if x := e.engine(name); len(x.accepted) != 1 || x.accepted[0].Epoch != 2 {
				t.Errorf("%s accepted %+v, want one order of v1 under epoch 2", name, x.accepted)
			}
		}
	})
}

// TestTakeoverDelay guards against a new lease owner that sends orders to an engine that ignores epochs while an order
// of the previous owner may still arrive.
func TestTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p, e := guavastandin.NewPlatform(), newEngines(true, false)
		start := time.Now()
		newVM(ctx, p, "v0", e, config(1, "2", 0, true, false))
		time.Sleep(time.Minute)
		checking, ignoring := e.engine("s0").times[0].Sub(start), e.engine("s1").times[0].Sub(start)
		if checking > time.Second || ignoring < guavaorders.DefaultTakeoverDelay || ignoring > guavaorders.DefaultTakeoverDelay+2*time.Second {
			t.Errorf("first orders after %s to the engine that checks and %s to the other, want 0s and %s", checking, ignoring, guavaorders.DefaultTakeoverDelay)
		}
	})
}

// TestPartition guards against a failure domain that changes its placement while it is partitioned from the platform,
// or does not apply the new configuration when the partition ends.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p, e := guavastandin.NewPlatform(), newEngines(false, true)
		vms := []*vm{newVM(ctx, p, "v0", e, config(1, "1", 0, false, true)), newVM(ctx, p, "v1", e, config(1, "1", 0, false, true))}
		time.Sleep(time.Minute)
		p.PartitionDomain("d0", true)
		time.Sleep(time.Minute)
		for _, v := range vms {
			v.holder.Load(config(2, "2", 0, false, true))
		}
		time.Sleep(time.Hour)
		for _, s := range []string{"s0", "s1"} {
			if diff := cmp.Diff([]string{"m@1"}, e.models(s)); diff != "" {
				t.Errorf("models of %s during the partition (-want +got): %s", s, diff)
			}
		}
		p.PartitionDomain("d0", false)
		time.Sleep(time.Minute)
		for _, s := range []string{"s0", "s1"} {
			if diff := cmp.Diff([]string{"m@2"}, e.models(s)); diff != "" {
				t.Errorf("models of %s after the partition (-want +got): %s", s, diff)
			}
		}
	})
}

// TestWeights guards against orders at a higher rate than that at which the weight store delivers weights.
func TestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := guavastandin.NewPlatform(guavastandin.WithWeights(10, map[string]int64{"m@2": 600}))
		checks := make([]bool, 8)
		e := newEngines(checks...)
		v := newVM(ctx, p, "v0", e, config(1, "2", 4, checks...))
		time.Sleep(20 * time.Minute)
		times := make([]time.Time, 0, len(checks))
		for i := range checks {
			times = append(times, e.engine(fmt.Sprint("s", i)).times...)
		}
		slices.SortFunc(times, time.Time.Compare)
		if len(times) != 8 || v.orders.Counts().Fetched != 8 {
			t.Fatalf("%d orders and %d fetches for 8 servers, want 8 and 8", len(times), v.orders.Counts().Fetched)
		}
		for i := range times[1:] {
			if gap := times[i+1].Sub(times[i]); gap < time.Minute {
				t.Errorf("order %d came %s after the previous one, want at least 1m0s, the time of a fetch", i+1, gap)
			}
		}
	})
}

// TestWeightsDown guards against orders that are sent although their weights could not be fetched.
func TestWeightsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p, e := guavastandin.NewPlatform(), newEngines(true)
		v := newVM(ctx, p, "v0", e, config(1, "2", 0, true))
		time.Sleep(1500 * time.Millisecond)
		if n := len(e.engine("s0").accepted); n != 1 {
			t.Fatalf("%d orders before the outage, want 1", n)
		}
		v.holder.Load(config(2, "3", 0, true))
		p.SetDown(true)
		time.Sleep(15 * time.Second) // the lease has not expired yet
		if diff := cmp.Diff([]string{"m@2"}, e.models("s0")); diff != "" || !v.leases.Grant("d0").Valid() || v.orders.Counts().Failed == 0 {
			t.Errorf("lease valid: %v, counts %+v, models (-want +got): %s", v.leases.Grant("d0").Valid(), v.orders.Counts(), diff)
		}
	})
}

// TestFenced guards against a lease owner that continues to send orders after an engine refused one because of a newer
// epoch.
func TestFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p, e := guavastandin.NewPlatform(), newEngines(true, true)
		e.list["s0"].epoch = 100
		v := newVM(ctx, p, "v0", e, config(1, "2", 0, true, false))
		time.Sleep(10 * time.Minute)
		if c := v.orders.Counts(); c.Fenced != 1 || c.Sent != 0 || !v.leases.Grant("d0").Valid() {
			t.Errorf("lease valid: %v, counts %+v, want true, 1 fenced and 0 sent", v.leases.Grant("d0").Valid(), c)
		}
	})
}

// TestMaxOutstanding guards against more outstanding orders than the maximum.
func TestMaxOutstanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		checks := make([]bool, 9)
		p, e := guavastandin.NewPlatform(), newEngines(checks...)
		e.stuck = true
		v := newVM(ctx, p, "v0", e, config(1, "2", 0, checks...))
		time.Sleep(90 * time.Second) // before the orders are overdue
		if got := v.orders.Counts().Sent; got != guavaorders.DefaultMaxOutstanding {
			t.Errorf("%d orders are outstanding, want %d", got, guavaorders.DefaultMaxOutstanding)
		}
	})
}

package guavapoll_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavapoll"
)

// engines is a guavaback.Client of simulated engines, by address; "hang" never responds.
type engines struct {
	guavaback.Client
	mu   sync.Mutex
	from []uint64 // sequence numbers of the event requests
}

func (e *engines) Load(ctx context.Context, address string) (guavaback.Load, error) {
	if address == "hang" {
		<-ctx.Done()
		return guavaback.Load{}, errors.New("timeout")
	}
	return guavaback.Load{Slots: 8}, nil
}

func (e *engines) Events(_ context.Context, _ string, from uint64) ([]guavaback.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.from = append(e.from, from)
	return []guavaback.CacheEvent{{Seq: from + 5}}, nil
}

// observer counts the calls per server.
type observer struct{ loads, events, failures map[string]int }

func (o observer) ObserveLoad(server string, _ guavaback.Load)           { o.loads[server]++ }
func (o observer) ObserveEvents(server string, _ []guavaback.CacheEvent) { o.events[server]++ }
func (o observer) ObservePollFailure(server string)                      { o.failures[server]++ }

// TestPollerRounds guards against an unresponsive engine that delays the polls of others, against polls of engines of
// other VMs or failure domains or of plain services, and against reading the same cache events twice.
func TestPollerRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := guavaconfig.NewSnapshot(1, guavaconfig.Declarations{Servers: []guavaconfig.BackendServer{
			{Name: "good", Address: "good", Domain: "a"},
			{Name: "hang", Address: "hang", Domain: "a"},
			{Name: "other", Address: "good", Domain: "a"},
			{Name: "far", Address: "good", Domain: "b"},
			{Name: "desk", Address: "good", Domain: "a", Service: "bookings"},
		}})
		e := &engines{}
		o := observer{loads: map[string]int{}, events: map[string]int{}, failures: map[string]int{}}
		p := guavapoll.New(e, func() *guavaconfig.Snapshot { return s }, func(n string) bool { return n != "other" }, "a", o)
		ctx, cancel := context.WithTimeout(t.Context(), 3*guavapoll.Period+900*time.Millisecond)
		defer cancel()
		if err := p.Run(ctx); err != nil {
			t.Fatal(err)
		}
		const rounds = 4
		if d := cmp.Diff(map[string]int{"good": rounds}, o.loads); d != "" {
			t.Errorf("loads (-want +got):\n%s", d)
		}
		if d := cmp.Diff(map[string]int{"hang": rounds}, o.failures); d != "" {
			t.Errorf("failures (-want +got):\n%s", d)
		}
		if d := cmp.Diff([]uint64{0, 5, 10, 15}, e.from); d != "" {
			t.Errorf("sequence numbers requested (-want +got):\n%s", d)
		}
	})
}

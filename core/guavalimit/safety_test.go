package guavalimit_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavaridge/core/guavaconfig"
	"guavaridge/internal/guavasim"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "8", "rapid.steps": "25", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// bubble hides the methods of testing.T that rapid uses and a bubble forbids.
type bubble struct{ testing.TB }

// accounts are chosen so that faults show: a slice whose burst is counted twice exceeds the limit of spike, whose rate
// hardly refills it, and a slice whose rate is counted twice exceeds that of steady, whose burst hides little.
var accounts = []guavaconfig.ClientAccount{
	{Name: "spike", Rate: 1, Burst: 200},
	{Name: "steady", Rate: 100, Burst: 16},
	{Name: "even", Rate: 30, Burst: 30},
	{Name: "small", Rate: 3, Burst: 5},
}

// TestNeverOverRate guards against any account getting more than rate × time + burst in any window. Accounts send
// twice their rate while VMs are lost, paused, replaced and partitioned, messages are lost or late, the platform
// fails, its answers are lost and slots are reclaimed.
func TestNeverOverRate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			domains := rapid.IntRange(1, 4).Draw(t, "domains")
			slots := rapid.IntRange(1, 4).Draw(t, "slots")
			s := guavasim.New(ctx, rapid.Uint64().Draw(t, "seed"), guavasim.Declare(domains, slots, accounts...))
			var names int
			start := func(domain int) {
				names++
				s.Start(fmt.Sprintf("%c%d", 'a'+domain, names), string(rune('a'+domain)))
			}
			for d := range domains {
				for range slots {
					start(d)
				}
			}
			traffic(ctx, s, 2)
			time.Sleep(5 * time.Second)
			pick := func(t *rapid.T) *guavasim.Node {
				ns := s.Running()
				if len(ns) == 0 {
					t.Skip("no VM runs")
				}
				return rapid.SampledFrom(ns).Draw(t, "vm")
			}
			t.Repeat(map[string]func(*rapid.T){
				"": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
					for _, a := range accounts {
						if over, at := s.Overrun(a); over > 1e-6 {
							t.Fatalf("%s: %v requests over in a window that ends after %v", a.Name, over, at)
						}
					}
				},
				"pause": func(t *rapid.T) {
					pick(t).Pause(time.Duration(rapid.IntRange(50, 10000).Draw(t, "ms")) * time.Millisecond)
				},
				"long pause": func(t *rapid.T) {
					pick(t).Pause(time.Duration(rapid.IntRange(25, 90).Draw(t, "s")) * time.Second)
				},
				"kill": func(t *rapid.T) { s.Kill(pick(t)) },
				"replace": func(t *rapid.T) {
					n := pick(t)
					s.Kill(n)
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
					s.Start(n.ID.Name, n.ID.Domain)
				},
				"new VM":      func(t *rapid.T) { start(rapid.IntRange(0, domains-1).Draw(t, "domain")) },
				"cut domains": func(*rapid.T) { s.Partition(func(a, b *guavasim.Node) bool { return a.ID.Domain != b.ID.Domain }) },
				"cut pair": func(t *rapid.T) {
					x, y := pick(t).ID.Name, pick(t).ID.Name
					s.Partition(func(a, b *guavasim.Node) bool { return a.ID.Name == x && b.ID.Name == y })
				},
				"cut VM": func(t *rapid.T) {
					x := pick(t).ID.Name
					s.Partition(func(a, b *guavasim.Node) bool { return a.ID.Name == x || b.ID.Name == x })
				},
				"split inside": func(t *rapid.T) {
					k := rapid.IntRange(1, 3).Draw(t, "k")
					s.Partition(func(a, b *guavasim.Node) bool {
						return len(a.ID.Name)%2 != len(b.ID.Name)%2 || (int(a.ID.Name[1])%(k+1) == 0) != (int(b.ID.Name[1])%(k+1) == 0)
					})
				},
				"heal": func(*rapid.T) { s.Partition(func(_, _ *guavasim.Node) bool { return false }) },
				"messages": func(t *rapid.T) {
					s.SetMessageFaults(
						rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "loss"),
						rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "late"),
						time.Duration(rapid.SampledFrom([]int{1, 30, 300}).Draw(t, "ms"))*time.Millisecond,
					)
				},
				"platform": func(t *rapid.T) {
					s.Platform().SetFaults(rapid.Bool().Draw(t, "down"), rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose"))
				},
				"wait for reclaim": func(*rapid.T) { time.Sleep(65 * time.Second) },
			})
			cancel()
			s.Wait()
		})
	})
}

// traffic sends each account's requests at a multiple of its rate to VMs that change every second.
func traffic(ctx context.Context, s *guavasim.Sim, times float64) {
	for _, a := range accounts {
		s.Go(func() {
			for ctx.Err() == nil {
				ns := s.Running()
				if len(ns) > 0 {
					spread := s.RandFloat64() < 0.5
					one := int(s.RandFloat64() * float64(len(ns)))
					for range int(times * a.Rate / 5) {
						if spread {
							one = int(s.RandFloat64() * float64(len(ns)))
						}
						s.Request(ns[one], a.Name, 150*time.Millisecond)
					}
				}
				select {
				case <-ctx.Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
}

package guavaorder_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaorder"
)

// declare returns a snapshot that declares the model m in version 2, with a number of servers in each domain.
func declare(minimum int, perDomain ...int) *guavaconfig.Snapshot {
	d := guavaconfig.Declarations{Models: []guavaconfig.Model{{Name: "m", Version: "2", MinServers: minimum}}}
	for i, n := range perDomain {
		domain := fmt.Sprint("d", i)
		d.Domains = append(d.Domains, guavaconfig.FailureDomain{Name: domain, Region: "r", VMSlots: 1})
		for k := range n {
			d.Servers = append(d.Servers, guavaconfig.BackendServer{
				Name: fmt.Sprintf("%s-%d", domain, k), Address: "10.0.0.1:1", Domain: domain, Models: []string{"m"}, ChecksEpoch: true,
			})
		}
	}
	return guavaconfig.NewSnapshot(1, d)
}

// fleet is a set of engines. An engine that changes its version does not serve until its ready time.
type fleet struct {
	config *guavaconfig.Snapshot
	models map[string]string
	ready  map[string]time.Time
}

func (f *fleet) serving() (n, done int) {
	for name, m := range f.models {
		if !time.Now().Before(f.ready[name]) {
			n++
			if m == "m@2" {
				done++
			}
		}
	}
	return n, done
}

// TestRollout guards against a rollout during which fewer servers than declared serve in the fleet, as each failure
// domain decides separately, and against a rollout that never ends.
func TestRollout(t *testing.T) {
	const loadTime = 20 * time.Second
	for _, c := range []struct {
		name      string
		minimum   int
		perDomain []int
		blind     bool // domains get no reports of each other's servers
		finishes  bool
	}{
		{"one domain", 3, []int{4}, false, true},
		{"shares", 12, []int{6, 6, 6, 6}, true, true},
		{"uneven shares", 9, []int{2, 7, 3}, true, true},
		{"turns", 10, []int{4, 4, 4}, false, true},
		{"one server each", 3, []int{1, 1, 1, 1}, false, true},
		{"turns without reports", 10, []int{4, 4, 4}, true, false},
		{"no spare server", 4, []int{4}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{config: declare(c.minimum, c.perDomain...), models: map[string]string{}, ready: map[string]time.Time{}}
				planners := make([]*guavaorder.Planner, len(c.perDomain))
				for i := range planners {
					planners[i] = guavaorder.New(fmt.Sprint("d", i))
					planners[i].Configure(f.config)
					planners[i].Lead(1, time.Now())
				}
				for _, b := range f.config.Declarations().Servers {
					f.models[b.Name] = "m@1"
				}
				total, fewest := len(f.models), len(f.models)
				for range 1000 {
					for i, p := range planners {
						for name, m := range f.models {
							own := name[:2] == fmt.Sprint("d", i)
							if time.Now().Before(f.ready[name]) || (c.blind && !own) {
								continue
							}
							p.Report(name, guavaorder.Report{Models: []string{m}, At: time.Now()})
						}
						for _, o := range p.Next(100) {
							if o.Kind != "version" || o.Want != "m@2" || !cmp.Equal(o.Loads, []string{"m@2"}) {
								t.Fatalf("order %+v", o)
							}
							f.models[o.Server], f.ready[o.Server] = "m@2", time.Now().Add(loadTime)
							p.Done(o, guavaorder.Accepted)
						}
						n, _ := f.serving()
						fewest = min(fewest, n)
					}
					time.Sleep(time.Second)
				}
				if _, done := f.serving(); (done == total) != c.finishes {
					t.Errorf("%d of %d servers changed, blocked: %v", done, total, planners[0].Blocked())
				}
				if fewest < c.minimum {
					t.Errorf("only %d servers served, want at least %d", fewest, c.minimum)
				}
				if c.finishes && fewest == total {
					t.Error("no server was ever out of service, so the limit was not tested")
				}
			})
		})
	}
}

// TestReconcile guards against orders that are missing or wrong, sent while another is outstanding, or based on a
// report from before the last order.
func TestReconcile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := declare(0, 1).Declarations()
		d.Models[0].Adapters = []string{"x", "y"}
		d.Models = append(d.Models, guavaconfig.Model{Name: "n", Version: "1"})
		d.Servers[0].Models = []string{"n", "m"}
		p := guavaorder.New("d0")
		p.Configure(guavaconfig.NewSnapshot(1, d))
		report := func(models, adapters []string) func() {
			return func() { p.Report("d0-0", guavaorder.Report{Models: models, Adapters: adapters, At: time.Now()}) }
		}
		noReport := func() {}
		loaded := []string{"m@2", "n@1"}
		for _, s := range []struct {
			name   string
			do     func()
			want   string // kind and desired state of the order, or "" for none
			result guavaorder.Outcome
		}{
			{"does not lead", report(nil, nil), "", ""},
			{"no report since it leads", func() { p.Lead(1, time.Now()); time.Sleep(time.Minute) }, "", ""},
			{"nothing loaded", report(nil, nil), "model m@2,n@1", guavaorder.Failed},
			{"too soon after a failure", report(nil, nil), "", ""},
			{"again", func() { time.Sleep(5 * time.Second); report(nil, nil)() }, "model m@2,n@1", guavaorder.Unknown},
			{"outstanding", report(nil, nil), "", ""},
			{"reached; adapters", report(loaded, nil), "adapter m:x,m:y", guavaorder.Accepted},
			{"outstanding adapters", report(loaded, nil), "", ""},
			{"all reached", report(loaded, []string{"m:y", "m:x"}), "", ""},
			{"a late order changed the version", report([]string{"m@1", "n@1"}, []string{"m:y", "m:x"}), "version m@2", guavaorder.Accepted},
			{"nothing happens", func() { time.Sleep(3 * time.Minute); report([]string{"m@1", "n@1"}, []string{"m:y", "m:x"})() }, "version m@2", guavaorder.Accepted},
			{"something else happens", report([]string{"m@0", "n@1"}, []string{"m:y", "m:x"}), "version m@2", guavaorder.Accepted},
			{"a report from before the order", func() {
				p.Report("d0-0", guavaorder.Report{Models: loaded, At: time.Now().Add(-2 * time.Second)})
			}, "", ""},
			{"lease lost", func() { p.Stop(); report(nil, nil)() }, "", ""},
			{"another epoch", func() { p.Lead(2, time.Now()) }, "model m@2,n@1", guavaorder.Accepted},
			{"nothing new", noReport, "", ""},
		} {
			time.Sleep(time.Second)
			s.do()
			got := ""
			for _, o := range p.Next(10) {
				got += o.Kind + " " + o.Want
				time.Sleep(3 * time.Second) // duration of the sending
				p.Done(o, s.result)
			}
			if got != s.want {
				t.Errorf("%s: got %q, want %q", s.name, got, s.want)
			}
		}
	})
}

// TestTurns guards against a failure domain that changes servers in its turn although servers in other domains have
// failed, or before its turn because the domain before it has stopped reporting.
func TestTurns(t *testing.T) {
	for _, c := range []struct {
		name         string
		domain       string
		unresponsive []string // servers that do not report any more
		d0           string   // model and version that domain d0 serves
		orders       int
	}{
		{"first, all serve", "d0", nil, "m@1", 1},
		{"first, one elsewhere has failed", "d0", []string{"d1-1"}, "m@1", 0},
		{"second, the first is done", "d1", nil, "m@2", 1},
		{"second, the first is not done", "d1", nil, "m@1", 0},
		{"second, one of the first has failed", "d1", []string{"d0-1"}, "m@2", 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := guavaorder.New(c.domain)
			p.Configure(declare(4, 2, 3))
			p.Lead(1, time.Now())
			report := func() {
				for _, b := range declare(4, 2, 3).Declarations().Servers {
					if slices.Contains(c.unresponsive, b.Name) {
						continue
					}
					m := "m@1"
					if b.Domain == "d0" {
						m = c.d0
					}
					p.Report(b.Name, guavaorder.Report{Models: []string{m}, At: time.Now()})
				}
			}
			unresponsive := c.unresponsive
			c.unresponsive = nil
			report()
			c.unresponsive = unresponsive
			time.Sleep(20 * time.Second)
			report()
			if got := len(p.Next(10)); got != c.orders {
				t.Errorf("%s: %d orders, want %d, blocked: %v", c.name, got, c.orders, p.Blocked())
			}
		})
	}
}

// TestOutOfOrder guards against a late report that replaces a newer one, and against the outcome of an order of an
// earlier epoch that is applied to an order of the current epoch.
func TestOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavaorder.New("d0")
		p.Configure(declare(0, 1))
		p.Lead(1, time.Now())
		p.Report("d0-0", guavaorder.Report{Models: []string{"m@2"}, At: time.Now()})
		p.Report("d0-0", guavaorder.Report{Models: []string{"m@1"}, At: time.Now().Add(-time.Second)})
		if got := p.Next(10); len(got) != 0 {
			t.Errorf("got orders %+v on a report that is older than the last, want none", got)
		}
		p.Report("d0-0", guavaorder.Report{Models: []string{"m@1"}, At: time.Now().Add(time.Second)})
		first := p.Next(10)
		p.Lead(2, time.Now())
		second := p.Next(10)
		if len(first) != 1 || len(second) != 1 {
			t.Fatalf("got orders %v and %v, want one each", first, second)
		}
		p.Done(first[0], guavaorder.Failed)
		time.Sleep(10 * time.Second) // longer than the delay after a failed order
		if got := p.Next(10); len(got) != 0 || p.Outstanding() != 1 {
			t.Errorf("got %+v given again while one is outstanding, want none", got)
		}
	})
}

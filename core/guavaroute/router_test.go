package guavaroute_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaroute"
)

// snapshot returns a configuration with n servers of model m in failure domain d, named 0 to n-1, and n servers in
// domain e of the same region, named far0 to far(n-1).
func snapshot(version uint64, n int, leaving ...string) *guavaconfig.Snapshot {
	d := guavaconfig.Declarations{Domains: []guavaconfig.FailureDomain{{Name: "d", Region: "r"}, {Name: "e", Region: "r"}}}
	for i := range n {
		d.Servers = append(
			d.Servers,
			guavaconfig.BackendServer{Name: fmt.Sprint(i), Domain: "d", Models: []string{"m"}, Leaving: strings.Contains(strings.Join(leaving, " "), fmt.Sprint(i))},
			guavaconfig.BackendServer{Name: fmt.Sprint("far", i), Domain: "e", Models: []string{"m"}},
		)
	}
	return guavaconfig.NewSnapshot(version, d)
}

func router(n int, opts ...guavaroute.Option) *guavaroute.Router {
	r := guavaroute.NewRouter("d", append(opts, guavaroute.WithSeed(7))...)
	r.Configure(snapshot(1, n))
	return r
}

func idle() guavaroute.Report { return guavaroute.Report{Slots: 8, At: time.Now()} }

func busy(waiting int) guavaroute.Report {
	return guavaroute.Report{Running: 8, Waiting: waiting, Slots: 8, At: time.Now()}
}

// request is a request for model m.
var request = guavaroute.Request{Model: "m"}

// chosen returns how often each server is selected for n requests, none of which is recorded as sent.
func chosen(r *guavaroute.Router, q guavaroute.Request, n int) map[string]int {
	got := map[string]int{}
	for range n {
		if c, ok := r.Choose(q); ok {
			got[c.Server.Name]++
		}
	}
	return got
}

// only reports whether the selected servers are all among the named ones.
func only(got map[string]int, names ...string) bool {
	for name := range got {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" ") {
			return false
		}
	}
	return len(got) > 0
}

type share map[string]float64

func (s share) Share(server string) (float64, time.Duration) {
	if v, ok := s[server]; ok {
		return v, 0
	}
	return 1, 0
}

// TestChoose guards against inputs of the prediction that are ignored. Each failure domain has 4 servers, so all of
// them are in the sample.
func TestChoose(t *testing.T) {
	prefixed := guavaroute.Request{Model: "m", Prefixes: []string{"p1", "p2", "p3", "p4"}}
	tests := []struct {
		name    string
		health  share
		prepare func(r *guavaroute.Router)
		request guavaroute.Request
		want    []string
	}{
		{"reported queue", nil, func(r *guavaroute.Router) { r.ObserveLoad("0", busy(4)); r.ObserveLoad("1", busy(9)) }, request, []string{"2", "3"}},
		{"KV memory full", nil, func(r *guavaroute.Router) {
			for _, s := range []string{"0", "1", "2"} {
				r.ObserveLoad(s, guavaroute.Report{Running: 3, Slots: 8, KV: 1, At: time.Now()})
			}
			r.ObserveLoad("3", guavaroute.Report{Running: 5, Slots: 8, KV: 0.6, At: time.Now()})
		}, request, []string{"3"}},
		{"own arrivals since the report", nil, func(r *guavaroute.Router) {
			for range 12 {
				r.Sent(request, "0")
				r.Sent(request, "1")
			}
		}, request, []string{"2", "3"}},
		{"announced arrivals", nil, func(r *guavaroute.Router) { r.ObserveArrivals("0", 20); r.ObserveArrivals("3", 20) }, request, []string{"1", "2"}},
		{"report from before the last one", nil, func(r *guavaroute.Router) {
			r.ObserveLoad("0", busy(20))
			time.Sleep(time.Millisecond)
			r.ObserveLoad("0", idle())
			r.ObserveLoad("0", guavaroute.Report{Running: 8, Waiting: 50, Slots: 8, At: time.Now().Add(-time.Millisecond / 2)})
			for _, s := range []string{"1", "2", "3"} {
				r.ObserveLoad(s, busy(1))
			}
		}, request, []string{"0"}},
		{"prefix cached", nil, func(r *guavaroute.Router) { r.ObservePrefix("2", "p4", true) }, prefixed, []string{"2"}},
		{"prefix dropped", nil, func(r *guavaroute.Router) {
			r.ObservePrefix("2", "p4", true)
			r.ObservePrefix("2", "p4", false)
			r.ObservePrefix("1", "p2", true)
		}, prefixed, []string{"1"}},
		{"prefix cached at a full server", nil, func(r *guavaroute.Router) {
			r.ObservePrefix("2", "p4", true)
			r.ObserveLoad("2", busy(30))
		}, prefixed, []string{"0", "1", "3"}},
		{"model not loaded", nil, func(r *guavaroute.Router) {
			l := idle()
			l.Models = []string{"other"}
			r.ObserveLoad("0", l)
		}, request, []string{"1", "2", "3"}},
		{"adapter not loaded", nil, func(r *guavaroute.Router) {
			l := idle()
			l.Models, l.Adapters = []string{"m"}, []string{}
			for _, s := range []string{"0", "1", "3"} {
				r.ObserveLoad(s, l)
			}
		}, guavaroute.Request{Model: "m", Adapter: "a"}, []string{"2"}},
		{"ejected", share{"0": 0, "1": 0}, nil, request, []string{"2", "3"}},
		{"local domain ejected", share{"0": 0, "1": 0, "2": 0, "3": 0}, nil, request, []string{"far0", "far1", "far2", "far3"}},
		{"all ejected", share{"0": 0, "1": 0, "2": 0, "3": 0, "far0": 0, "far1": 0, "far2": 0, "far3": 0}, nil, request, []string{"0", "1", "2", "3"}},
		{"servers tried before", nil, nil, guavaroute.Request{Model: "m", Exclude: []string{"0", "2", "3"}}, []string{"1"}},
		{"leaving", nil, func(r *guavaroute.Router) { r.Configure(snapshot(2, 4, "0", "1", "2")) }, request, []string{"3"}},
		{"alone", nil, func(r *guavaroute.Router) {
			for i, s := range []string{"0", "1", "2", "3"} {
				r.ObserveLoad(s, guavaroute.Report{Running: 4 - i, Slots: 8, At: time.Now()})
			}
		}, guavaroute.Request{Model: "m", Alone: true}, []string{"3"}},
		{"local domain cannot answer in time", nil, func(r *guavaroute.Router) {
			for _, s := range []string{"0", "1", "2", "3"} {
				r.ObserveLoad(s, busy(30))
			}
		}, request, []string{"far0", "far1", "far2", "far3"}},
		{"local domain full", nil, nil, guavaroute.Request{Model: "m", Away: true}, []string{"far0", "far1", "far2", "far3"}},
		{"local domain full, others full too", nil, func(r *guavaroute.Router) {
			for _, s := range []string{"0", "1", "2", "3"} {
				r.ObserveLoad("far"+s, busy(30))
			}
		}, guavaroute.Request{Model: "m", Away: true}, []string{"0", "1", "2", "3"}},
		{"no domain can answer in time", nil, func(r *guavaroute.Router) {
			for _, s := range []string{"0", "1", "2", "3"} {
				r.ObserveLoad(s, busy(30))
				r.ObserveLoad("far"+s, busy(60))
			}
		}, request, []string{"0", "1", "2", "3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := router(4, guavaroute.WithHealth(tt.health))
				for i := range 4 {
					r.ObserveLoad(fmt.Sprint(i), idle())
				}
				time.Sleep(time.Millisecond)
				if tt.prepare != nil {
					tt.prepare(r)
				}
				if got := chosen(r, tt.request, 200); !only(got, tt.want...) {
					t.Errorf("got servers %v, want only %v", got, tt.want)
				}
			})
		})
	}
}

// TestHerding guards against many VMs sending their requests to the one server that outdated reports show as idle: 34
// VMs with the same reports, 3 s old, send 10 requests each.
func TestHerding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, vms = 250, 34
		got := map[string]int{}
		for vm := range vms {
			r := guavaroute.NewRouter("d", guavaroute.WithSeed(uint64(vm)))
			r.Configure(snapshot(1, servers))
			for i := range servers {
				l := busy(0)
				if i == 0 {
					l = idle()
				}
				l.At = time.Now().Add(-3 * time.Second)
				r.ObserveLoad(fmt.Sprint(i), l)
			}
			for range 10 {
				c, _ := r.Choose(request)
				r.Sent(request, c.Server.Name)
				got[c.Server.Name]++
			}
		}
		// A sample of 4 of 250 servers contains the idle one in 340 × 4/250 = 5.4 requests on average. 16 is beyond the
		// 99.99% quantile of that Poisson distribution.
		if got["0"] > 16 {
			t.Errorf("got %d of 340 requests at the server that was reported idle, want at most 16", got["0"])
		}
		if got["0"] == 0 {
			t.Error("got no requests at the idle server")
		}
	})
}

// TestLateReport guards against a report that keeps its full weight until the next one arrives.
func TestLateReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := router(2)
		r.ObserveLoad("0", busy(20))
		r.ObserveLoad("1", idle())
		if got := chosen(r, request, 100); !only(got, "1") {
			t.Errorf("with new reports: got servers %v, want only 1", got)
		}
		time.Sleep(time.Minute)
		if got := chosen(r, request, 100); got["0"] == 0 {
			t.Errorf("with reports of 1 min ago: got servers %v, want also 0", got)
		}
	})
}

// TestArrivals guards against sent requests that are not announced to peers, or are announced twice.
func TestArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := router(2)
		r.Sent(request, "0")
		r.Sent(request, "0")
		r.Sent(request, "1")
		r.Ended(request, "0", time.Second)
		if diff := cmp.Diff(map[string]int{"0": 2, "1": 1}, r.TakeArrivals()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]int{}, r.TakeArrivals()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]int{"0": 1, "1": 1}, r.Running()); diff != "" {
			t.Error(diff)
		}
	})
}

package guavapoison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavapoison"
)

// TestRegister runs numbered events and guards against poison requests that go on crashing servers, and against
// innocent requests that are refused. Two VMs share their reports where the case says so.
func TestRegister(t *testing.T) {
	p, q := guavapoison.NewFingerprint("r", []byte("p")), guavapoison.NewFingerprint("r", []byte("q"))
	begin := func(f guavapoison.Fingerprint, server string) func(r, _ *guavapoison.Registry) {
		return func(r, _ *guavapoison.Registry) { r.Begin(f, server, server+string(f)) }
	}
	end := func(f guavapoison.Fingerprint, server string, done bool) func(r, _ *guavapoison.Registry) {
		return func(r, _ *guavapoison.Registry) { r.End(server, server+string(f), done) }
	}
	crash := func(server string) func(r, _ *guavapoison.Registry) {
		return func(r, _ *guavapoison.Registry) {
			time.Sleep(time.Millisecond)
			r.ServerCrashed(server)
			r.ServerCrashed(server)
		}
	}
	sleep := func(d time.Duration) func(r, _ *guavapoison.Registry) {
		return func(_, _ *guavapoison.Registry) { time.Sleep(d) }
	}
	share := func(r, other *guavapoison.Registry) {
		for range 3 {
			other.Merge(r.Reports())
			r.Merge(other.Reports())
		}
	}
	tests := []struct {
		name                     string
		events                   []func(r, other *guavapoison.Registry)
		wantP, wantQ, otherWantP guavapoison.Verdict
	}{
		{"1 unknown", nil, "pass", "pass", "pass"},
		{"2 one crash", []func(r, _ *guavapoison.Registry){begin(p, "a"), begin(q, "a"), crash("a"), end(p, "a", false), end(q, "a", false)}, "alone", "alone", "pass"},
		{"3 neighbour completes", []func(r, _ *guavapoison.Registry){begin(p, "a"), begin(q, "a"), crash("a"), end(p, "a", false), end(q, "a", false), begin(q, "b"), end(q, "b", true)}, "alone", "pass", "pass"},
		{"4 second crash", []func(r, _ *guavapoison.Registry){begin(p, "a"), crash("a"), end(p, "a", false), begin(p, "b"), crash("b"), end(p, "b", false), share}, "refuse", "pass", "refuse"},
		{"5 second crash of the same server", []func(r, _ *guavapoison.Registry){begin(p, "a"), crash("a"), end(p, "a", false), sleep(time.Millisecond), begin(p, "a"), crash("a"), end(p, "a", false), share}, "refuse", "pass", "refuse"},
		{"6 refused stays refused", []func(r, _ *guavapoison.Registry){begin(p, "c"), begin(p, "a"), crash("a"), end(p, "a", false), end(p, "c", false), begin(p, "b"), crash("b"), end(p, "b", true)}, "refuse", "pass", "pass"},
		{"7 suspect runs", []func(r, _ *guavapoison.Registry){begin(p, "a"), crash("a"), end(p, "a", false), begin(p, "b")}, "wait", "pass", "pass"},
		{"8 one crash seen by two VMs", []func(r, _ *guavapoison.Registry){
			func(r, other *guavapoison.Registry) { r.Begin(p, "a", "1"); other.Begin(p, "a", "2") },
			func(r, other *guavapoison.Registry) {
				time.Sleep(time.Millisecond)
				r.ServerCrashed("a")
				other.ServerCrashed("a")
			},
			func(r, other *guavapoison.Registry) { r.End("a", "1", false); other.End("a", "2", false) }, share,
		}, "alone", "pass", "alone"},
		{"9 crashes seen by different VMs", []func(r, _ *guavapoison.Registry){
			begin(p, "a"), crash("a"), end(p, "a", false), share,
			func(_, other *guavapoison.Registry) {
				other.Begin(p, "b", "2")
				time.Sleep(time.Millisecond)
				other.ServerCrashed("b")
				other.End("b", "2", false)
			}, share,
		}, "refuse", "pass", "refuse"},
		{"10 cleared on the other VM", []func(r, _ *guavapoison.Registry){
			begin(p, "a"), crash("a"), end(p, "a", false), share, sleep(time.Second),
			func(_, other *guavapoison.Registry) { other.Begin(p, "b", "2"); other.End("b", "2", true) }, share,
		}, "pass", "pass", "pass"},
		{"11 suspicion lapses", []func(r, _ *guavapoison.Registry){begin(p, "a"), crash("a"), end(p, "a", false), sleep(11 * time.Minute)}, "pass", "pass", "pass"},
		{"13 two servers die together", []func(r, _ *guavapoison.Registry){
			begin(p, "a"), begin(p, "b"), crash("a"), crash("b"), end(p, "a", false), end(p, "b", false), share,
		}, "alone", "pass", "alone"},
		{"14 servers used by two VMs die together", []func(r, _ *guavapoison.Registry){
			func(r, other *guavapoison.Registry) { r.Begin(p, "a", "1"); other.Begin(p, "b", "2") },
			func(r, other *guavapoison.Registry) {
				time.Sleep(time.Millisecond)
				r.ServerCrashed("a")
				other.ServerCrashed("b")
			},
			func(r, other *guavapoison.Registry) { r.End("a", "1", false); other.End("b", "2", false) }, share,
		}, "alone", "pass", "alone"},
		{"15 the other crash did not fit into the exchange", []func(r, _ *guavapoison.Registry){
			begin(p, "a"), crash("a"), end(p, "a", false), begin(p, "b"), crash("b"), end(p, "b", false),
			func(r, other *guavapoison.Registry) { other.Merge(r.Reports()[:1]) },
		}, "refuse", "pass", "refuse"},
		{"16 many servers die together, then one more", []func(r, _ *guavapoison.Registry){
			func(r, _ *guavapoison.Registry) {
				for i := range 12 {
					r.Begin(p, fmt.Sprint(i), "x")
				}
				time.Sleep(time.Millisecond)
				for i := range 12 {
					r.ServerCrashed(fmt.Sprint(i))
					r.End(fmt.Sprint(i), "x", false)
				}
			}, begin(p, "a"), crash("a"), end(p, "a", false),
		}, "refuse", "pass", "pass"},
		{"12 cut off without a crash", []func(r, _ *guavapoison.Registry){begin(p, "a"), end(p, "a", false)}, "pass", "pass", "pass"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, other := guavapoison.NewRegistry(), guavapoison.NewRegistry()
				for _, e := range tt.events {
					e(r, other)
				}
				got := []guavapoison.Verdict{r.Check(p), r.Check(q), other.Check(p)}
				if diff := cmp.Diff([]guavapoison.Verdict{tt.wantP, tt.wantQ, tt.otherWantP}, got); diff != "" {
					t.Error("verdicts (-want +got):\n" + diff)
				}
			})
		})
	}
}

// TestBounds guards against reports that fill an exchange or the memory without limit.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := guavapoison.NewRegistry()
		for i := range 20000 {
			r.Merge([]guavapoison.Report{{Fingerprint: guavapoison.Fingerprint(fmt.Sprint(i)), Server: "a", Began: time.Now().UnixMicro(), At: time.Now().UnixMicro()}})
		}
		if n := len(r.Reports()); n != 64 {
			t.Errorf("%d reports in one exchange", n)
		}
		if r.Check("9999") != guavapoison.Alone || r.Check("10000") != guavapoison.Pass {
			t.Error("want exactly 10,000 entries")
		}
	})
}

package guavalimit_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/internal/guavasim"
)

const everyGroup = ^uint64(0)

// fixture has one pool, one slice and one requester of a domain with two slots. The account "x" has 20 requests/s and a
// burst of 20 over the fleet: 10 and 10 per slot.
type fixture struct {
	pool      *guavalimit.Pool
	slice     *guavalimit.Slice
	requester *guavalimit.Requester
	seq       uint64
}

func newFixture() *fixture {
	plan := guavalimit.NewPlan(guavasim.Declare(1, 2, guavaconfig.ClientAccount{Name: "x", Rate: 20, Burst: 20}), "a")
	return &fixture{pool: guavalimit.NewPool(plan), slice: guavalimit.NewSlice(), requester: guavalimit.NewRequester()}
}

// fill lends the slice of the VM "v" for 5 s, so that its share of the bucket fills.
func (f *fixture) fill() {
	for range 5 {
		f.pool.UpdateLoans("v", everyGroup, time.Now())
		time.Sleep(time.Second)
	}
	f.pool.UpdateLoans("v", everyGroup, time.Now())
}

// request returns the tokens granted to a requester that holds some tokens and needs 100.
func (f *fixture) request(requester string, held int) int {
	f.seq++
	return int(f.pool.Grant(requester, guavalimit.TokenRequest{Account: "x", Sequence: f.seq, Held: float64(held), Need: 100, Want: 100}).Amount)
}

// returnTokens returns tokens of the requester "t", which then holds none.
func (f *fixture) returnTokens(returned float64) {
	f.seq++
	f.pool.Grant("t", guavalimit.TokenRequest{Account: "x", Sequence: f.seq, Returned: returned})
}

// own returns the number of tokens that can be taken from the local slice at once.
func (f *fixture) own() (n int) {
	for f.slice.Take("x", guavalimit.Share{Rate: 10, Burst: 10}, 2) {
		n++
	}
	return n
}

// TestRules guards against each single way in which granted tokens could exceed the rate. The wanted numbers are the
// tokens that each step of the case gets.
func TestRules(t *testing.T) {
	group := guavalimit.Group("x")
	cases := []struct {
		name string
		run  func(f *fixture) []int
		want []int
	}{
		{"loan that arrives 1.4 s late counts for 100 ms, one that arrives 1.6 s late does not", func(f *fixture) []int {
			f.fill()
			sent := time.Now()
			time.Sleep(1400 * time.Millisecond)
			f.pool.UpdateLoans("v", everyGroup, sent)
			inTime := f.request("t", 0)
			time.Sleep(700 * time.Millisecond)
			sent = time.Now()
			time.Sleep(1600 * time.Millisecond)
			f.pool.UpdateLoans("v", everyGroup, sent)
			time.Sleep(300 * time.Millisecond)
			return []int{inTime, f.request("t", 0)}
		}, []int{10, 0}},
		{"loans of two lenders add up", func(f *fixture) []int {
			for range 4 {
				f.pool.UpdateLoans("v", everyGroup, time.Now())
				f.pool.UpdateLoans("w", everyGroup, time.Now())
				time.Sleep(time.Second)
			}
			return []int{f.request("t", 0)}
		}, []int{20}},
		{"new loan starts empty while another one is full", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			f.fill()
			f.pool.UpdateLoans("w", everyGroup, time.Now())
			return []int{first, f.request("t", 0)}
		}, []int{10, 10}},
		{"account seen for the first time starts with the refill since the loan began", func(f *fixture) []int {
			f.pool.UpdateLoans("v", everyGroup, time.Now())
			time.Sleep(500 * time.Millisecond)
			return []int{f.request("t", 0)}
		}, []int{5}},
		{"renewal after the loan lapsed starts empty", func(f *fixture) []int {
			f.fill()
			full := f.request("t", 0)
			time.Sleep(2100 * time.Millisecond)
			f.pool.UpdateLoans("v", everyGroup, time.Now())
			return []int{full, f.request("t", 0)}
		}, []int{10, 0}},
		{"withdrawn loan no longer counts", func(f *fixture) []int {
			f.fill()
			f.pool.UpdateLoans("v", 0, time.Now())
			return []int{f.request("t", 0)}
		}, []int{0}},
		{"tokens that the taker has not reported hold back the refill until they stop counting as unspent", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			time.Sleep(610 * time.Millisecond)
			return []int{first, f.request("u", 0)}
		}, []int{10, 0}},
		{"refill resumes once the taker reports its tokens as spent", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			f.request("t", 0)
			time.Sleep(500 * time.Millisecond)
			return []int{first, f.request("u", 0)}
		}, []int{10, 5}},
		{"refill resumes in part while the taker still holds tokens", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			f.request("t", 6)
			time.Sleep(500 * time.Millisecond)
			return []int{first, f.request("u", 0)}
		}, []int{10, 4}},
		{"request that arrives out of order gets no tokens and its report is ignored", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			f.seq -= 2
			old := f.request("t", 0)
			time.Sleep(300 * time.Millisecond)
			return []int{first, old, f.request("u", 0)}
		}, []int{10, 0, 0}},
		{"own slice of a new slot owner is empty until the loans of the earlier one have lapsed", func(f *fixture) []int {
			f.slice.AssignSlot(0, time.Now())
			time.Sleep(1900 * time.Millisecond)
			early := f.own()
			time.Sleep(600 * time.Millisecond)
			return []int{early, f.own()}
		}, []int{0, 5}},
		{"own slice restarts empty after a loan", func(f *fixture) []int {
			f.slice.AssignSlot(0, time.Now())
			time.Sleep(10 * time.Second)
			full := f.own()
			time.Sleep(time.Second)
			f.slice.Lend(group, "p#1", 2)
			lent := f.own()
			time.Sleep(2100 * time.Millisecond)
			return []int{full, lent, f.own()}
		}, []int{10, 0, 1}},
		{"slice is not lent to two processes at once, nor to the next process of a borrowing VM", func(f *fixture) []int {
			f.slice.AssignSlot(0, time.Now())
			time.Sleep(2 * time.Second)
			var lent []int
			for _, to := range []string{"p#1", "q#1", "p#2", "p#1"} {
				n := 0
				if f.slice.Lend(group, to, 2) {
					n = 1
				}
				lent = append(lent, n)
			}
			time.Sleep(2 * time.Second)
			if f.slice.Lend(group, "p#2", 2) {
				return append(lent, 1)
			}
			return append(lent, 0)
		}, []int{1, 0, 0, 1, 1}},
		{"slot without contact for 30 s needs the table to confirm it, not a peer", func(f *fixture) []int {
			f.slice.AssignSlot(0, time.Now())
			time.Sleep(29 * time.Second)
			before := f.own()
			f.slice.Contact(time.Now())
			time.Sleep(31 * time.Second)
			f.slice.Contact(time.Now())
			after := f.own()
			f.slice.Confirm(time.Now())
			return []int{before, after, f.own()}
		}, []int{10, 0, 10}},
		{"slot number beyond the declared slots is unused", func(f *fixture) []int {
			f.slice.AssignSlot(2, time.Now())
			time.Sleep(5 * time.Second)
			return []int{f.own()}
		}, []int{0}},
		{"slot whose claim was answered after 40 s is usable only after the table confirms it", func(f *fixture) []int {
			sent := time.Now()
			time.Sleep(40 * time.Second)
			f.slice.AssignSlot(0, sent)
			time.Sleep(5 * time.Second)
			return []int{f.own()}
		}, []int{0}},
		{"tokens expire while the taker is paused, and an answer received after the pause is ignored", func(f *fixture) []int {
			spend := func() (n int) {
				for f.requester.Spend("x") {
					n++
				}
				return n
			}
			from, request, _ := f.requester.NextRequest("x", 3, []string{"p"})
			f.requester.HandleGrant(from, request, time.Now(), guavalimit.Grant{Amount: 3})
			time.Sleep(499 * time.Millisecond)
			f.requester.Spend("x")
			time.Sleep(time.Millisecond)
			late := spend()
			from, request, _ = f.requester.NextRequest("x", 3, []string{"p"})
			sent := time.Now()
			time.Sleep(500 * time.Millisecond)
			f.requester.HandleGrant(from, request, sent, guavalimit.Grant{Amount: 3})
			return []int{late, spend()}
		}, []int{0, 0}},
		{"returned tokens go to another taker", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			f.returnTokens(4)
			return []int{first, f.request("u", 0)}
		}, []int{10, 4}},
		{"no more tokens can be returned than were granted", func(f *fixture) []int {
			f.fill()
			first := f.request("t", 0)
			f.returnTokens(400)
			return []int{first, f.request("u", 0)}
		}, []int{10, 10}},
		{"tokens that no longer count as unspent cannot be returned", func(f *fixture) []int {
			f.fill()
			f.request("t", 0)
			time.Sleep(610 * time.Millisecond) // refilled for 10 ms
			f.returnTokens(10)
			return []int{f.request("u", 0)}
		}, []int{0}},
		{"spent tokens cannot be returned by a second message", func(f *fixture) []int {
			f.fill()
			f.request("t", 0)
			f.returnTokens(4)
			f.returnTokens(4)
			return []int{f.request("u", 0)}
		}, []int{4}},
		{"pool grants part of a token if it has no whole one", func(f *fixture) []int {
			f.fill()
			f.request("t", 0)
			f.returnTokens(0.75)
			f.seq++
			g := f.pool.Grant("u", guavalimit.TokenRequest{Account: "x", Sequence: f.seq, Part: 0.5})
			return []int{int(100 * g.Amount), int(100 * g.Left), f.request("v", 0)}
		}, []int{50, 25, 0}},
		{"pool paused beyond its loans grants nothing", func(f *fixture) []int {
			f.fill()
			time.Sleep(1600 * time.Millisecond)
			return []int{f.request("t", 0)}
		}, []int{0}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i+1, c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if d := cmp.Diff(c.want, c.run(newFixture())); d != "" {
					t.Errorf("tokens (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestFractions guards against refusing a request although fractions of a token in several pools add up to one, and
// against spending a fraction as a whole token.
func TestFractions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requester := guavalimit.NewRequester()
		pools := []string{"p", "q"}
		left := map[string]float64{"p": 0.25, "q": 0.35} // and 0.3 more after 300 ms
		refuse := func() {
			from, request, ok := requester.NextRequest("x", 1, pools)
			if !ok || request.Need != 1 {
				t.Fatalf("pool %q: got request %+v (%v), want one for a whole token", from, request, ok)
			}
			requester.HandleGrant(from, request, time.Now(), guavalimit.Grant{Left: left[from], Rate: 1, Wait: time.Second})
		}
		refuse()
		refuse()
		if wait, idle := requester.RetryAfter("x", pools); !idle || wait.Round(time.Millisecond) != 200*time.Millisecond {
			t.Errorf("pools together lack 0.4 of a token: got wait %v (%v), want 200 ms", wait, idle)
		}
		time.Sleep(300 * time.Millisecond)
		for _, want := range []struct {
			from     string
			fraction float64
		}{{"q", 1}, {"p", 0.35}} {
			if requester.Spend("x") {
				t.Fatal("part of a token was spent as a whole one")
			}
			from, request, ok := requester.NextRequest("x", 1, pools)
			if !ok || from != want.from || math.Abs(request.Part-want.fraction) > 1e-6 || request.Need != 0 {
				t.Fatalf("pool %q: got request %+v (%v), want one for %v of a token to %q", from, request, ok, want.fraction, want.from)
			}
			amount := min(request.Part, left[from]+0.3)
			requester.HandleGrant(from, request, time.Now(), guavalimit.Grant{Amount: amount, Rate: 1})
		}
		if !requester.Spend("x") || requester.Spend("x") {
			t.Error("the fractions do not add up to exactly one token")
		}
	})
}

// TestUnusedFractionsAreReturned guards against fractions that expire unused at a VM whose client request was refused.
func TestUnusedFractionsAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requester := guavalimit.NewRequester()
		from, request, _ := requester.NextRequest("x", 1, []string{"p"})
		requester.HandleGrant(from, request, time.Now(), guavalimit.Grant{Amount: 0.75})
		time.Sleep(400 * time.Millisecond)
		back, ok := requester.ReturnUnused("x", "p")
		if !ok || back.Returned != 0.75 || back.Held != 0 || requester.HasTokens("x") {
			t.Errorf("got %+v (%v), want a return of 0.75 tokens", back, ok)
		}
		requester.HandleGrant("p", back, time.Now(), guavalimit.Grant{})
		from, request, _ = requester.NextRequest("x", 1, []string{"p"})
		requester.HandleGrant(from, request, time.Now(), guavalimit.Grant{Amount: 0.75})
		time.Sleep(500 * time.Millisecond)
		if back, ok := requester.ReturnUnused("x", "p"); ok {
			t.Errorf("got %+v, want no return of expired tokens", back)
		}
	})
}

// TestProcessName guards against confusing a restarted VM with its earlier process.
func TestProcessName(t *testing.T) {
	old := guavamember.Identity{Name: "v", Incarnation: 1}
	if next := (guavamember.Identity{Name: "v", Incarnation: 2}); guavalimit.ProcessName(old) == guavalimit.ProcessName(next) {
		t.Error("both processes have the same name")
	}
}

// TestShares guards against shares that add up to more than the account's rate and burst, and against shares of less
// than one token.
func TestShares(t *testing.T) {
	for _, a := range []guavaconfig.ClientAccount{
		{Name: "one", Rate: 1, Burst: 1}, {Name: "few", Rate: 5, Burst: 7}, {Name: "many", Rate: 500, Burst: 900},
	} {
		for domains := 1; domains <= 11; domains++ {
			s := guavasim.Declare(domains, 3, a)
			var rate, burst float64
			for d := range domains {
				share, _ := guavalimit.NewPlan(s, string(rune('a'+d))).Share(a.Name)
				rate += 3 * share.Rate
				burst += 3 * share.Burst
				if part := 3 * share.Burst; part > 0 && part < min(a.Burst, 2) {
					t.Errorf("%s in %d domains: got a part of %v tokens", a.Name, domains, part)
				}
			}
			if diff := max(rate-a.Rate, a.Rate-rate, burst-a.Burst, a.Burst-burst); diff > 1e-9 {
				t.Errorf("%s in %d domains: got %v/s and a burst of %v in all", a.Name, domains, rate, burst)
			}
		}
	}
}

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

// bench is one pool, one slice and one taker of a domain with two slots. The account "x" has 20 requests/s and a burst
// of 20 over the fleet: 10 and 10 per slot.
type bench struct {
	pool  *guavalimit.Pool
	slice *guavalimit.Slice
	taker *guavalimit.Requester
	seq   uint64
}

func newBench() *bench {
	plan := guavalimit.NewPlan(guavasim.Declare(1, 2, guavaconfig.ClientAccount{Name: "x", Rate: 20, Burst: 20}), "a")
	return &bench{pool: guavalimit.NewPool(plan), slice: guavalimit.NewSlice(), taker: guavalimit.NewRequester()}
}

// fill lends the slice of the VM "v" for 5 s, in which its part of the bucket fills.
func (b *bench) fill() {
	for range 5 {
		b.pool.UpdateLoans("v", everyGroup, time.Now())
		time.Sleep(time.Second)
	}
	b.pool.UpdateLoans("v", everyGroup, time.Now())
}

// take returns the tokens granted to a taker that holds some and needs 100.
func (b *bench) take(taker string, held int) int {
	b.seq++
	return int(b.pool.Grant(taker, guavalimit.TokenRequest{Account: "x", Sequence: b.seq, Held: float64(held), Need: 100, Want: 100}).Amount)
}

// give gives back tokens of the taker "t", which then holds none.
func (b *bench) give(returned float64) {
	b.seq++
	b.pool.Grant("t", guavalimit.TokenRequest{Account: "x", Sequence: b.seq, Returned: returned})
}

// own returns the tokens that can be taken from the own slice at once.
func (b *bench) own() (n int) {
	for b.slice.Take("x", guavalimit.Share{Rate: 10, Burst: 10}, 2) {
		n++
	}
	return n
}

// TestRules guards against each single way in which tokens could exceed the rate. The numbers are the tokens that
// each step of the case got.
func TestRules(t *testing.T) {
	group := guavalimit.Group("x")
	cases := []struct {
		name string
		run  func(b *bench) []int
		want []int
	}{
		{"loan that arrives 1.4 s late counts for 100 ms, one that arrives 1.6 s late does not", func(b *bench) []int {
			b.fill()
			sent := time.Now()
			time.Sleep(1400 * time.Millisecond)
			b.pool.UpdateLoans("v", everyGroup, sent)
			inTime := b.take("t", 0)
			time.Sleep(700 * time.Millisecond)
			sent = time.Now()
			time.Sleep(1600 * time.Millisecond)
			b.pool.UpdateLoans("v", everyGroup, sent)
			time.Sleep(300 * time.Millisecond)
			return []int{inTime, b.take("t", 0)}
		}, []int{10, 0}},
		{"loans of two lenders add up", func(b *bench) []int {
			for range 4 {
				b.pool.UpdateLoans("v", everyGroup, time.Now())
				b.pool.UpdateLoans("w", everyGroup, time.Now())
				time.Sleep(time.Second)
			}
			return []int{b.take("t", 0)}
		}, []int{20}},
		{"new loan starts empty beside a full one", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			b.fill()
			b.pool.UpdateLoans("w", everyGroup, time.Now())
			return []int{first, b.take("t", 0)}
		}, []int{10, 10}},
		{"account seen for the first time starts with what refilled since the loan began", func(b *bench) []int {
			b.pool.UpdateLoans("v", everyGroup, time.Now())
			time.Sleep(500 * time.Millisecond)
			return []int{b.take("t", 0)}
		}, []int{5}},
		{"renewal after the loan lapsed starts empty", func(b *bench) []int {
			b.fill()
			full := b.take("t", 0)
			time.Sleep(2100 * time.Millisecond)
			b.pool.UpdateLoans("v", everyGroup, time.Now())
			return []int{full, b.take("t", 0)}
		}, []int{10, 0}},
		{"withdrawn loan counts no longer", func(b *bench) []int {
			b.fill()
			b.pool.UpdateLoans("v", 0, time.Now())
			return []int{b.take("t", 0)}
		}, []int{0}},
		{"tokens unspent at the taker hold back the refill until they stop counting", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			time.Sleep(610 * time.Millisecond)
			return []int{first, b.take("u", 0)}
		}, []int{10, 0}},
		{"refill resumes once the taker reports its tokens spent", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			b.take("t", 0)
			time.Sleep(500 * time.Millisecond)
			return []int{first, b.take("u", 0)}
		}, []int{10, 5}},
		{"refill resumes in part when the taker still holds tokens", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			b.take("t", 6)
			time.Sleep(500 * time.Millisecond)
			return []int{first, b.take("u", 0)}
		}, []int{10, 4}},
		{"take that arrives out of order gets nothing and reports nothing", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			b.seq -= 2
			old := b.take("t", 0)
			time.Sleep(300 * time.Millisecond)
			return []int{first, old, b.take("u", 0)}
		}, []int{10, 0, 0}},
		{"own slice of a new holder is empty until the loans of the earlier one lapsed", func(b *bench) []int {
			b.slice.AssignSlot(0, time.Now())
			time.Sleep(1900 * time.Millisecond)
			early := b.own()
			time.Sleep(600 * time.Millisecond)
			return []int{early, b.own()}
		}, []int{0, 5}},
		{"own slice restarts empty after a loan", func(b *bench) []int {
			b.slice.AssignSlot(0, time.Now())
			time.Sleep(10 * time.Second)
			full := b.own()
			time.Sleep(time.Second)
			b.slice.Lend(group, "p#1", 2)
			lent := b.own()
			time.Sleep(2100 * time.Millisecond)
			return []int{full, lent, b.own()}
		}, []int{10, 0, 1}},
		{"slice is not lent to two processes, nor to the next process of a pooling VM", func(b *bench) []int {
			b.slice.AssignSlot(0, time.Now())
			time.Sleep(2 * time.Second)
			var lent []int
			for _, to := range []string{"p#1", "q#1", "p#2", "p#1"} {
				n := 0
				if b.slice.Lend(group, to, 2) {
					n = 1
				}
				lent = append(lent, n)
			}
			time.Sleep(2 * time.Second)
			if b.slice.Lend(group, "p#2", 2) {
				return append(lent, 1)
			}
			return append(lent, 0)
		}, []int{1, 0, 0, 1, 1}},
		{"slot without contact for 30 s needs the table, not a peer", func(b *bench) []int {
			b.slice.AssignSlot(0, time.Now())
			time.Sleep(29 * time.Second)
			before := b.own()
			b.slice.Contact(time.Now())
			time.Sleep(31 * time.Second)
			b.slice.Contact(time.Now())
			after := b.own()
			b.slice.Confirm(time.Now())
			return []int{before, after, b.own()}
		}, []int{10, 0, 10}},
		{"slot number beyond the declared slots is unused", func(b *bench) []int {
			b.slice.AssignSlot(2, time.Now())
			time.Sleep(5 * time.Second)
			return []int{b.own()}
		}, []int{0}},
		{"claim answered after a pause of 40 s needs the table", func(b *bench) []int {
			sent := time.Now()
			time.Sleep(40 * time.Second)
			b.slice.AssignSlot(0, sent)
			time.Sleep(5 * time.Second)
			return []int{b.own()}
		}, []int{0}},
		{"tokens in hand expire while the taker is paused, and an answer after the pause is void", func(b *bench) []int {
			spend := func() (n int) {
				for b.taker.Spend("x") {
					n++
				}
				return n
			}
			from, take, _ := b.taker.NextRequest("x", 3, []string{"p"})
			b.taker.HandleGrant(from, take, time.Now(), guavalimit.Grant{Amount: 3})
			time.Sleep(499 * time.Millisecond)
			b.taker.Spend("x")
			time.Sleep(time.Millisecond)
			late := spend()
			from, take, _ = b.taker.NextRequest("x", 3, []string{"p"})
			sent := time.Now()
			time.Sleep(500 * time.Millisecond)
			b.taker.HandleGrant(from, take, sent, guavalimit.Grant{Amount: 3})
			return []int{late, spend()}
		}, []int{0, 0}},
		{"tokens given back go to another taker", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			b.give(4)
			return []int{first, b.take("u", 0)}
		}, []int{10, 4}},
		{"more than was granted cannot be given back", func(b *bench) []int {
			b.fill()
			first := b.take("t", 0)
			b.give(400)
			return []int{first, b.take("u", 0)}
		}, []int{10, 10}},
		{"tokens that no longer count cannot be given back", func(b *bench) []int {
			b.fill()
			b.take("t", 0)
			time.Sleep(610 * time.Millisecond) // refilled for 10 ms
			b.give(10)
			return []int{b.take("u", 0)}
		}, []int{0}},
		{"tokens that were spent cannot be given back by a second message", func(b *bench) []int {
			b.fill()
			b.take("t", 0)
			b.give(4)
			b.give(4)
			return []int{b.take("u", 0)}
		}, []int{4}},
		{"pool gives a part where there is no whole token", func(b *bench) []int {
			b.fill()
			b.take("t", 0)
			b.give(0.75)
			b.seq++
			g := b.pool.Grant("u", guavalimit.TokenRequest{Account: "x", Sequence: b.seq, Part: 0.5})
			return []int{int(100 * g.Amount), int(100 * g.Left), b.take("v", 0)}
		}, []int{50, 25, 0}},
		{"pool paused past its loans grants nothing", func(b *bench) []int {
			b.fill()
			time.Sleep(1600 * time.Millisecond)
			return []int{b.take("t", 0)}
		}, []int{0}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i+1, c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if d := cmp.Diff(c.want, c.run(newBench())); d != "" {
					t.Errorf("tokens (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestParts guards against a request that is refused although parts of a token in several pools make up one, and against parts
// that are spent as a whole one.
func TestParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		taker := guavalimit.NewRequester()
		pools := []string{"p", "q"}
		left := map[string]float64{"p": 0.25, "q": 0.35} // and 0.3 more after 300 ms
		refuse := func() {
			from, take, ok := taker.NextRequest("x", 1, pools)
			if !ok || take.Need != 1 {
				t.Fatalf("asked %q for %+v (%v), want a whole token", from, take, ok)
			}
			taker.HandleGrant(from, take, time.Now(), guavalimit.Grant{Left: left[from], Rate: 1, Wait: time.Second})
		}
		refuse()
		refuse()
		if wait, quiet := taker.RetryAfter("x", pools); !quiet || wait.Round(time.Millisecond) != 200*time.Millisecond {
			t.Errorf("pools that lack 0.4 of a token together: wait %v (%v), want 200 ms", wait, quiet)
		}
		time.Sleep(300 * time.Millisecond)
		for _, want := range []struct {
			from string
			part float64
		}{{"q", 1}, {"p", 0.35}} {
			if taker.Spend("x") {
				t.Fatal("a part was spent as a token")
			}
			from, take, ok := taker.NextRequest("x", 1, pools)
			if !ok || from != want.from || math.Abs(take.Part-want.part) > 1e-6 || take.Need != 0 {
				t.Fatalf("asked %q for %+v (%v), want %v of %q", from, take, ok, want.part, want.from)
			}
			amount := min(take.Part, left[from]+0.3)
			taker.HandleGrant(from, take, time.Now(), guavalimit.Grant{Amount: amount, Rate: 1})
		}
		if !taker.Spend("x") || taker.Spend("x") {
			t.Error("the parts do not make up one token")
		}
	})
}

// TestUnusedPartsAreReturned guards against parts that expire at a VM whose request was refused.
func TestUnusedPartsAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		taker := guavalimit.NewRequester()
		from, take, _ := taker.NextRequest("x", 1, []string{"p"})
		taker.HandleGrant(from, take, time.Now(), guavalimit.Grant{Amount: 0.75})
		time.Sleep(400 * time.Millisecond)
		back, ok := taker.ReturnUnused("x", "p")
		if !ok || back.Returned != 0.75 || back.Held != 0 || taker.HasTokens("x") {
			t.Errorf("gave back %+v (%v)", back, ok)
		}
		taker.HandleGrant("p", back, time.Now(), guavalimit.Grant{})
		from, take, _ = taker.NextRequest("x", 1, []string{"p"})
		taker.HandleGrant(from, take, time.Now(), guavalimit.Grant{Amount: 0.75})
		time.Sleep(500 * time.Millisecond)
		if back, ok := taker.ReturnUnused("x", "p"); ok {
			t.Errorf("gave back %+v after it expired", back)
		}
	})
}

// TestProcessName guards against a restarted VM being taken for its earlier process.
func TestProcessName(t *testing.T) {
	old := guavamember.Identity{Name: "v", Incarnation: 1}
	if next := (guavamember.Identity{Name: "v", Incarnation: 2}); guavalimit.ProcessName(old) == guavalimit.ProcessName(next) {
		t.Error("both processes have one name")
	}
}

// TestShares guards against shares that add up to more than the account's rate and burst, and against parts of less
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
					t.Errorf("%s in %d domains: part of %v tokens", a.Name, domains, part)
				}
			}
			if diff := max(rate-a.Rate, a.Rate-rate, burst-a.Burst, a.Burst-burst); diff > 1e-9 {
				t.Errorf("%s in %d domains: %v/s and %v in all", a.Name, domains, rate, burst)
			}
		}
	}
}

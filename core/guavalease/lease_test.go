package guavalease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavaridge/core/guavalease"
)

// TestMain fixes the seed, so that every run gives the same result. -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const length = 30 * time.Second

// table is a table service of one row with conditional writes. A delayed commit takes effect at any later time.
type table struct {
	row     guavalease.Row
	delayed []guavalease.Step
	// owners is the owner by epoch.
	owners map[uint64]string
}

func (b *table) commit(t *rapid.T, s guavalease.Step) bool {
	if s.Revision != b.row.Revision {
		return false
	}
	if s.Record.Epoch < b.row.Epoch {
		t.Fatalf("epoch decreased from %d to %d", b.row.Epoch, s.Record.Epoch)
	}
	if owner, ok := b.owners[s.Record.Epoch]; ok && s.Record.Owner != "" && owner != s.Record.Owner {
		t.Fatalf("epoch %d belongs to two owners, %s and %s", s.Record.Epoch, owner, s.Record.Owner)
	}
	if s.Record.Owner != "" {
		b.owners[s.Record.Epoch] = s.Record.Owner
	}
	b.row = guavalease.Row{Record: s.Record, Revision: b.row.Revision + 1}
	return true
}

// TestSingleOwner guards against two VMs that may act at the same time, and against two owners of one epoch. VMs are
// paused, calls fail, responses are lost, and commits take effect late and in any order.
func TestSingleOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		validGrants := 0
		// The wrapper hides Deadline, which a synctest bubble does not allow.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			b := &table{owners: make(map[uint64]string)}
			vms := make([]*guavalease.Lease, 3)
			for i := range vms {
				vms[i] = guavalease.New(fmt.Sprint("v", i), length)
			}
			grants := make([]guavalease.Grant, len(vms)) // as last read by each VM, which may be paused since
			// step lets one VM take one action. The others do nothing meanwhile, as if they were paused.
			step := func(t *rapid.T) {
				i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
				outcome := rapid.SampledFrom([]string{"ok", "ok", "ok", "fails", "lost", "lost before", "late"}).Draw(t, "outcome")
				l := vms[i]
				s := l.Next()
				switch {
				case s.Action == guavalease.Wait:
				case outcome == "fails":
					if s.Action == guavalease.Commit {
						l.Sent(s)
					}
					l.Failed()
				case s.Action == guavalease.Read:
					l.Observe(b.row)
				default:
					l.Sent(s)
					time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(t, "took")) * time.Millisecond)
					switch {
					case outcome == "lost before":
						l.OutcomeUnknown()
					case outcome == "late":
						b.delayed = append(b.delayed, s)
						l.OutcomeUnknown()
					case !b.commit(t, s):
						l.Refused()
					case outcome == "lost":
						l.OutcomeUnknown()
					default:
						l.Granted()
					}
				}
				grants[i] = l.Grant()
			}
			t.Repeat(map[string]func(*rapid.T){
				"step":  step,
				"again": step, // twice as likely as the others
				"arrive": func(t *rapid.T) {
					if len(b.delayed) > 0 {
						i := rapid.IntRange(0, len(b.delayed)-1).Draw(t, "commit")
						s := b.delayed[i]
						b.delayed = append(b.delayed[:i], b.delayed[i+1:]...)
						b.commit(t, s)
					}
				},
				"release": func(t *rapid.T) {
					l := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
					if r, revision, ok := l.Release(); ok {
						b.commit(t, guavalease.Step{Record: r, Revision: revision})
						if l.Grant().Valid() {
							t.Fatal("grant of a released lease is valid")
						}
						clear(grants)
					}
				},
				"time": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
				},
				"": func(t *rapid.T) {
					owners := 0
					for i, g := range grants {
						if g.Valid() {
							owners++
							if b.owners[g.Epoch] != fmt.Sprint("v", i) {
								t.Fatalf("v%d has a valid grant of epoch %d, which is owned by %q", i, g.Epoch, b.owners[g.Epoch])
							}
						}
					}
					validGrants += owners
					if owners > 1 {
						t.Fatalf("%d VMs have a valid grant, want at most 1", owners)
					}
				},
			})
		})
		// Without any valid grant the property would hold trivially.
		if validGrants == 0 {
			t.Error("no VM ever held a valid grant of the lease")
		}
	})
}

// TestExpiryTimes guards against an owner that acts within the safety margin and a candidate that acquires the lease
// too early.
func TestExpiryTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, candidate := guavalease.New("v1", length), guavalease.New("v2", length)
		owner.Observe(guavalease.Row{})
		s := owner.Next()
		owner.Sent(s)
		time.Sleep(2 * time.Second) // duration of the commit
		owner.Granted()
		g := owner.Grant()
		candidate.Observe(guavalease.Row{Record: s.Record, Revision: 1})
		for _, c := range []struct {
			after     time.Duration
			valid     bool
			candidate guavalease.Action
		}{
			{0, true, guavalease.Wait},
			{14 * time.Second, true, guavalease.Wait},
			// The owner stops 22.5 s after the commit was sent.
			{6400 * time.Millisecond, true, guavalease.Read},
			{100 * time.Millisecond, false, guavalease.Wait},
			// 30 s after the candidate saw the row.
			{9400 * time.Millisecond, false, guavalease.Wait},
			{100 * time.Millisecond, false, guavalease.Commit},
		} {
			time.Sleep(c.after)
			next := candidate.Next()
			if g.Valid() != c.valid || next.Action != c.candidate {
				t.Errorf("got grant valid %v and candidate action %s, want %v and %s", g.Valid(), next.Action, c.valid, c.candidate)
			}
			if next.Action == guavalease.Read {
				candidate.Observe(guavalease.Row{Record: s.Record, Revision: 1})
			}
		}
		if next := candidate.Next(); next.Record.Epoch != 2 || next.Record.Owner != "v2" || next.Revision != 1 {
			t.Errorf("candidate takes over with %+v, want epoch 2 of v2 at revision 1", next)
		}
	})
}

// TestLateAcquire guards against an owner that measures its grant from a repeated commit although the first commit took
// effect long before, while the VM was paused.
func TestLateAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused, candidate := guavalease.New("v1", length), guavalease.New("v2", length)
		paused.Observe(guavalease.Row{})
		first := paused.Next()
		paused.Sent(first)
		paused.OutcomeUnknown()
		time.Sleep(3 * time.Second)
		paused.Observe(guavalease.Row{}) // the first commit has not taken effect
		second := paused.Next()
		row := guavalease.Row{Record: first.Record, Revision: 1} // the first commit takes effect
		candidate.Observe(row)
		time.Sleep(15 * time.Second)
		paused.Sent(second)
		paused.Refused()
		paused.Observe(row)
		if !paused.Grant().Valid() || second != first {
			t.Fatal("no valid grant of the lease is held by the paused VM")
		}
		for candidate.Next().Action != guavalease.Commit {
			if candidate.Next().Action == guavalease.Read {
				candidate.Observe(row)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if paused.Grant().Valid() {
			t.Error("the owner's grant is still valid when the candidate takes over the lease")
		}
	})
}

// TestRenewal guards against a lease that expires although its owner could renew it between short failures.
func TestRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, row := guavalease.New("v1", length), guavalease.Row{}
		start := time.Now()
		for i := 0; time.Since(start) < 10*time.Minute; i++ {
			switch s := l.Next(); s.Action {
			case guavalease.Wait:
				time.Sleep(time.Until(s.At))
			case guavalease.Read:
				l.Observe(row)
			case guavalease.Commit:
				l.Sent(s)
				if i%3 != 0 {
					row = guavalease.Row{Record: s.Record, Revision: row.Revision + 1}
				}
				if i%2 == 0 {
					l.OutcomeUnknown()
				} else if i%3 != 0 {
					l.Granted()
				} else {
					l.Failed()
				}
			}
			if row.Epoch > 1 || (row.Epoch == 1 && row.Renewal > 1 && !l.Grant().Valid()) {
				t.Fatalf("after %s: epoch %d, grant valid %v", time.Since(start), row.Epoch, l.Grant().Valid())
			}
		}
		if row.Renewal < 50 {
			t.Errorf("renewed %d times in 10 minutes, want 50 or more", row.Renewal)
		}
	})
}

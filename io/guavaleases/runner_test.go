package guavaleases_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"guavaridge/io/guavaleases"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavastandin"
)

// start runs the leases of VMs v0, v1, ... until the test ends.
func start(t *testing.T, p *guavastandin.Platform, vms int, names ...string) []*guavaleases.Runner {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	runners := make([]*guavaleases.Runner, 0, vms)
	for i := range vms {
		vm := fmt.Sprint("v", i)
		r := guavaleases.New(p.For("d1", vm), vm)
		for _, n := range names {
			r.Campaign(n)
		}
		runners = append(runners, r)
		go func() { _ = r.Run(ctx) }()
		time.Sleep(100 * time.Millisecond) // v0 acquires the leases first
	}
	return runners
}

// owners returns the indexes of the VMs whose grant is valid.
func owners(runners []*guavaleases.Runner, name string) []int {
	var list []int
	for i, r := range runners {
		if r.Grant(name).Valid() {
			list = append(list, i)
		}
	}
	return list
}

// TestFaults guards against two owners of a lease, against a lease that stays without an owner, and against a lease
// that is lost although the fault is short enough to keep it. It checks every 100 ms.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(*guavastandin.Platform)
		same   bool          // v0 owns the leases all the time
		within time.Duration // maximum time after the fault in which a lease may be without an owner
	}{
		"none":              {fault: func(*guavastandin.Platform) {}, same: true},
		"responses lost":    {fault: func(p *guavastandin.Platform) { p.LoseResponsesWithProbability(0.3, 5) }, same: true},
		"short outage":      {fault: func(p *guavastandin.Platform) { outage(p, 10*time.Second) }, same: true},
		"slow":              {fault: func(p *guavastandin.Platform) { p.SetDelay(time.Second) }, same: true},
		"owner partitioned": {fault: func(p *guavastandin.Platform) { p.PartitionVM("v0", true) }, within: 65 * time.Second},
		"long outage":       {fault: func(p *guavastandin.Platform) { outage(p, 15*time.Minute) }, within: 15*time.Minute + 5*time.Second},
		"too slow to use": {fault: func(p *guavastandin.Platform) {
			p.SetDelay(5 * time.Second)
			time.AfterFunc(10*time.Minute, func() { p.SetDelay(0) })
		}, within: 10*time.Minute + 5*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := guavastandin.NewPlatform()
				runners := start(t, p, 4, "a", "b")
				time.Sleep(time.Minute)
				c.fault(p)
				faultTime := time.Now()
				lost, vacant := false, time.Time{}
				for time.Since(faultTime) < 20*time.Minute {
					for _, lease := range []string{"a", "b"} {
						list := owners(runners, lease)
						if len(list) > 1 {
							t.Fatalf("after %s: VMs %v own lease %s, want at most one", time.Since(faultTime), list, lease)
						}
						if len(list) != 1 || list[0] != 0 {
							lost = true
						}
						if len(list) == 0 {
							vacant = time.Now()
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				if lost == c.same {
					t.Errorf("v0 lost a lease: %v, want %v", lost, !c.same)
				}
				if last := vacant.Sub(faultTime); last > c.within {
					t.Errorf("a lease had no owner %s after the fault, want at most %s", last, c.within)
				}
			})
		})
	}
}

func outage(p *guavastandin.Platform, d time.Duration) {
	p.SetDown(true)
	time.AfterFunc(d, func() { p.SetDown(false) })
}

// TestGroupConflict guards against the loss of a lease because another lease renewed in the same commit was lost.
func TestGroupConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		runners := start(t, p, 1, "a", "b")
		time.Sleep(time.Minute)
		before := runners[0].Grant("b")
		// The row changes between the read and the commit of a renewal: the read has just taken effect, the commit
		// takes effect a second later, and the write below half a second later.
		p.SetDelay(time.Second)
		for reads := p.Counts().Reads; p.Counts().Reads == reads; {
			time.Sleep(10 * time.Millisecond)
		}
		value := []byte(`{"owner":"other","epoch":9,"length":30000,"renewal":1}`)
		if err := p.Commit(t.Context(), nil, []guavaplatform.Write{{Key: "lease/a", Value: value}}); err != nil {
			t.Fatal(err)
		}
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if g := runners[0].Grant("b"); !g.Valid() || g.Epoch != before.Epoch {
				t.Fatalf("lease b: valid %v, epoch %d, want true and %d", g.Valid(), g.Epoch, before.Epoch)
			}
		}
		if p.Counts().Conflicts == 0 || runners[0].Grant("a").Valid() {
			t.Errorf("%d conflicts, lease a valid: %v; want some conflicts and false", p.Counts().Conflicts, runners[0].Grant("a").Valid())
		}
	})
}

// TestRelease guards against a drain after which other VMs have to wait until the lease expires.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		runners := start(t, p, 2, "a")
		time.Sleep(time.Minute)
		before := runners[0].Grant("a")
		if err := runners[0].Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if runners[0].Grant("a").Valid() {
			t.Error("the grant of the drained VM is valid, want not valid")
		}
		time.Sleep(16 * time.Second) // the next read by v1
		if g := runners[1].Grant("a"); !g.Valid() || g.Epoch != before.Epoch+1 {
			t.Errorf("v1: valid %v, epoch %d, want true and %d", g.Valid(), g.Epoch, before.Epoch+1)
		}
	})
}

// TestCost guards against renewals that cost one commit per lease, and logs the number of reads and written rows.
func TestCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		names := make([]string, 0, 100)
		for i := range 100 {
			names = append(names, fmt.Sprintf("n%03d", i))
		}
		start(t, p, 1, names...)
		time.Sleep(5 * time.Second)
		before := p.Counts()
		time.Sleep(5 * time.Minute)
		c := p.Counts()
		commits, reads := c.Commits-before.Commits, c.Reads-before.Reads
		if commits > 31 || reads > 62 {
			t.Errorf("100 leases for 5 minutes: %d commits and %d reads, want at most 31 and 62", commits, reads)
		}
		t.Logf("100 leases for 5 minutes: %d commits of 100 rows, %d reads", commits, reads)
	})
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		start(t, p, 34, "domain")
		time.Sleep(time.Minute)
		before := p.Counts()
		time.Sleep(10 * time.Minute)
		c := p.Counts()
		t.Logf("one lease, 34 VMs, 10 minutes: %d rows written, %d reads, %.4f reads/s per VM",
			c.Writes-before.Writes, c.Reads-before.Reads, float64(c.Reads-before.Reads)/600/34)
	})
}

// TestUnreadable guards against the acquisition of a lease whose row cannot be decoded.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		if err := p.Commit(t.Context(), nil, []guavaplatform.Write{{Key: "lease/a", Value: []byte("{")}}); err != nil {
			t.Fatal(err)
		}
		runners := start(t, p, 1, "a")
		time.Sleep(10 * time.Minute)
		if runners[0].Grant("a").Valid() {
			t.Error("the lease on an unreadable row was acquired")
		}
	})
}

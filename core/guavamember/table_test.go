package guavamember_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavamember"
)

func id(name, domain string, incarnation uint64) guavamember.Identity {
	return guavamember.Identity{Name: name, Domain: domain, Address: name + ":1", Incarnation: incarnation}
}

// tick advances the time by d and calls Tick every 100 ms, as the exchange does.
func tick(t *guavamember.Table, d time.Duration) {
	for range d / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		t.Tick()
	}
}

// TestTable guards against wrong states of other VMs. Each case names the fault that it simulates.
func TestTable(t *testing.T) {
	heartbeat := func(tab *guavamember.Table, name string, inc uint64) {
		tab.RecordHeartbeat(id(name, "a", inc), 1, false)
	}
	cases := []struct {
		name string
		run  func(tab *guavamember.Table)
		want map[string]guavamember.State
	}{
		{"silent for less than 3 s", func(tab *guavamember.Table) { heartbeat(tab, "x", 1); tick(tab, 2900*time.Millisecond) }, map[string]guavamember.State{"x": guavamember.Alive}},
		{"killed, 3 s", func(tab *guavamember.Table) { heartbeat(tab, "x", 1); tick(tab, 3*time.Second) }, map[string]guavamember.State{"x": guavamember.Suspect}},
		{"killed, 8 s", func(tab *guavamember.Table) { heartbeat(tab, "x", 1); tick(tab, 8*time.Second) }, map[string]guavamember.State{"x": guavamember.Dead}},
		{"partition heals after 60 s", func(tab *guavamember.Table) { heartbeat(tab, "x", 1); tick(tab, time.Minute); heartbeat(tab, "x", 1) }, map[string]guavamember.State{"x": guavamember.Alive}},
		{"own pause of 60 s, the other VMs send again after it", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			heartbeat(tab, "y", 1)
			tick(tab, time.Second)
			time.Sleep(time.Minute)
			tab.Tick()
			tick(tab, 900*time.Millisecond)
			heartbeat(tab, "x", 1)
			tick(tab, time.Second)
		}, map[string]guavamember.State{"x": guavamember.Alive, "y": guavamember.Alive}},
		{"own pause of 60 s, the other VM fails during it", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			tick(tab, time.Second)
			time.Sleep(time.Minute)
			tab.Tick()
			tick(tab, 3*time.Second)
		}, map[string]guavamember.State{"x": guavamember.Suspect}},
		{"replaced under the same name", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			tick(tab, 10*time.Second)
			heartbeat(tab, "x", 2)
			heartbeat(tab, "x", 1)
		}, map[string]guavamember.State{"x": guavamember.Alive}},
		{"replaced under the same address by another name", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			y := id("y", "a", 2)
			y.Address = "x:1"
			tab.RecordHeartbeat(y, 1, false)
			heartbeat(tab, "x", 1)
		}, map[string]guavamember.State{"y": guavamember.Alive}},
		{"leaving by its own announcement, list lags", func(tab *guavamember.Table) {
			tab.RecordHeartbeat(id("x", "a", 1), 1, true)
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1"}})
		}, map[string]guavamember.State{"x": guavamember.Leaving}},
		{"leaving by the list", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1", Leaving: true}})
			heartbeat(tab, "x", 1)
		}, map[string]guavamember.State{"x": guavamember.Leaving}},
		{"list no longer shows it as leaving", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1", Leaving: true}})
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1"}})
		}, map[string]guavamember.State{"x": guavamember.Alive}},
		{"list lags behind a new VM", func(tab *guavamember.Table) { heartbeat(tab, "x", 1); tab.MergePlatformList(nil) }, map[string]guavamember.State{"x": guavamember.Alive}},
		{"list still shows a dead VM", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			tick(tab, 10*time.Second)
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1"}})
		}, map[string]guavamember.State{"x": guavamember.Dead}},
		{"listed, no heartbeat heard", func(tab *guavamember.Table) {
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1"}})
		}, map[string]guavamember.State{"x": guavamember.Suspect}},
		{"listed, then heartbeat heard", func(tab *guavamember.Table) {
			tab.MergePlatformList([]guavamember.Listing{{Name: "x", Domain: "a", Address: "x:1"}})
			heartbeat(tab, "x", 7)
		}, map[string]guavamember.State{"x": guavamember.Alive}},
		{"gone for longer than the retention", func(tab *guavamember.Table) { heartbeat(tab, "x", 1); tick(tab, 16*time.Minute) }, map[string]guavamember.State{}},
		{"other domain: silent contact makes all its VMs suspect", func(tab *guavamember.Table) {
			tab.RecordHeartbeat(id("p", "b", 1), 1, false)
			tab.MergeUpdates("p", []guavamember.Update{{Identity: id("q", "b", 1), State: guavamember.Alive}})
			tick(tab, 3*time.Second)
		}, map[string]guavamember.State{"p": guavamember.Suspect, "q": guavamember.Suspect}},
		{"other domain: a message without news keeps the reported VMs alive", func(tab *guavamember.Table) {
			tab.RecordHeartbeat(id("p", "b", 1), 1, false)
			tab.MergeUpdates("p", []guavamember.Update{{Identity: id("q", "b", 1), State: guavamember.Alive}})
			tick(tab, 2*time.Second)
			tab.RecordHeartbeat(id("p", "b", 1), 2, false)
			tick(tab, 2*time.Second)
		}, map[string]guavamember.State{"p": guavamember.Alive, "q": guavamember.Alive}},
		{"other domain: reported dead", func(tab *guavamember.Table) {
			tab.MergeUpdates("p", []guavamember.Update{{Identity: id("q", "b", 1), State: guavamember.Alive}})
			tab.MergeUpdates("p", []guavamember.Update{{Identity: id("q", "b", 1), State: guavamember.Dead}})
			tab.RecordHeartbeat(id("p", "b", 1), 2, false)
		}, map[string]guavamember.State{"p": guavamember.Alive, "q": guavamember.Dead}},
		{"other domain: reported dead by a VM that is cut off, alive by another", func(tab *guavamember.Table) {
			tab.MergeUpdates("p", []guavamember.Update{{Identity: id("q", "b", 1), State: guavamember.Alive}})
			tab.MergeUpdates("r", []guavamember.Update{{Identity: id("q", "b", 1), State: guavamember.Dead}})
			tab.RecordHeartbeat(id("p", "b", 1), 2, false)
		}, map[string]guavamember.State{"p": guavamember.Alive, "q": guavamember.Alive}},
		{"news about the local domain is not taken from others", func(tab *guavamember.Table) {
			heartbeat(tab, "x", 1)
			tab.MergeUpdates("p", []guavamember.Update{{Identity: id("x", "a", 1), State: guavamember.Dead}})
		}, map[string]guavamember.State{"x": guavamember.Alive}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i+1, c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tab := guavamember.NewTable(id("self", "a", 1))
				c.run(tab)
				got := map[string]guavamember.State{}
				for _, m := range tab.Others() {
					got[m.Name] = m.State
				}
				if d := cmp.Diff(c.want, got); d != "" {
					t.Errorf("states (-want +got):\n%s", d)
				}
			})
		})
	}
}

// TestUnconfirmedNotReported guards against a live VM that becomes suspect in other domains because a VM of its own
// domain reports it before it has received a message from it.
func TestUnconfirmedNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := guavamember.NewTable(id("self", "a", 1))
		tab.AddMembers([]guavamember.Update{{Identity: id("x", "a", 1), State: guavamember.Alive}})
		reported := func() guavamember.State {
			for _, n := range tab.Updates() {
				if n.Name == "x" {
					return n.State
				}
			}
			return ""
		}
		if s := reported(); s != "" {
			t.Errorf("added, no heartbeat heard: reported as %q, want no report", s)
		}
		if n := len(tab.KnownMembers("b", 2)); n != 2 {
			t.Errorf("added, no heartbeat heard: got %d VMs known, want 2", n)
		}
		tab.RecordHeartbeat(id("x", "a", 1), 1, false)
		if s := reported(); s != guavamember.Alive {
			t.Errorf("heartbeat heard: reported as %q, want alive", s)
		}
		tick(tab, 4*time.Second)
		if s := reported(); s != guavamember.Suspect {
			t.Errorf("silent after a heartbeat: reported as %q, want suspect", s)
		}
		tab.AddMembers([]guavamember.Update{{Identity: id("y", "a", 1), State: guavamember.Alive}})
		tick(tab, 9*time.Second)
		dead := 0
		for _, n := range tab.Updates() {
			if n.State == guavamember.Dead {
				dead++
			}
		}
		if dead != 2 {
			t.Errorf("got %d VMs reported gone, want 2: one silent after a heartbeat, one never heard", dead)
		}
	})
}

// TestKnownMembers guards against a new VM that learns of only some VMs of its own domain because it asked a VM of
// another domain.
func TestKnownMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := guavamember.NewTable(id("self", "a", 1))
		for i := range 5 {
			tab.RecordHeartbeat(id(fmt.Sprintf("b%d", i), "b", 1), 1, false)
			tab.RecordHeartbeat(id(fmt.Sprintf("c%d", i), "c", 1), 1, false)
		}
		count := map[string]int{}
		for _, n := range tab.KnownMembers("b", 2) {
			count[n.Domain]++
		}
		if d := cmp.Diff(map[string]int{"a": 1, "b": 5, "c": 2}, count); d != "" {
			t.Errorf("VMs by domain known to a VM of b (-want +got):\n%s", d)
		}
	})
}

// TestAbsent guards against reclaiming the slot of a VM that is still running.
func TestAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := guavamember.NewTable(id("self", "a", 1))
		absent := func() bool { return tab.Absent("x", time.Minute, 30*time.Second) }
		tab.RecordHeartbeat(id("x", "a", 1), 1, false)
		tick(tab, 59*time.Second)
		if absent() {
			t.Error("absent before a list was merged")
		}
		if tab.MergePlatformList(nil); tab.Absent("never-heard", time.Minute, 30*time.Second) {
			t.Error("absent although the local VM has run for only 59 s")
		}
		tab.MergePlatformList([]guavamember.Listing{{Name: "x"}})
		if tick(tab, 2*time.Second); absent() {
			t.Error("absent although listed")
		}
		tab.MergePlatformList(nil)
		if !absent() {
			t.Error("not absent although unlisted and silent for 61 s")
		}
		if tick(tab, 31*time.Second); absent() {
			t.Error("absent although the list is older than 30 s")
		}
		tab.MergePlatformList(nil)
		tab.RecordHeartbeat(id("x", "a", 1), 2, false)
		if absent() {
			t.Error("absent although heard")
		}
	})
}

// TestRendezvous guards against a choice that depends on the order of the members, and against keys of the remaining
// members moving when one member is removed.
func TestRendezvous(t *testing.T) {
	ms := make([]guavamember.Member, 0, 9)
	for i := range 9 {
		ms = append(ms, guavamember.Member{Identity: id(fmt.Sprint("vm", i), "a", 1)})
	}
	counts := map[string]int{}
	for k := range 900 {
		key := fmt.Sprint("key", k)
		best, _ := guavamember.Rendezvous(key, ms)
		counts[best.Name]++
		reversed := []guavamember.Member{}
		for i := len(ms) - 1; i >= 0; i-- {
			reversed = append(reversed, ms[i])
		}
		if other, _ := guavamember.Rendezvous(key, reversed); other.Name != best.Name {
			t.Fatalf("%s: got %s, and %s in reverse order", key, best.Name, other.Name)
		}
		if without, _ := guavamember.Rendezvous(key, ms[1:]); best.Name != ms[0].Name && without.Name != best.Name {
			t.Fatalf("%s moved from %s to %s", key, best.Name, without.Name)
		}
	}
	for name, n := range counts {
		if n < 60 || n > 150 {
			t.Errorf("%s has %d of 900 keys, want 60 to 150", name, n)
		}
	}
}

package guavapeer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/internal/guavasim"
	"guavaridge/io/guavapeer"
	"guavaridge/io/guavaplatform"
)

// holder is a SlotHolder that records the number of the slot; -1 means none.
type holder struct {
	slots, number int
}

func (h *holder) Slots() int              { return h.slots }
func (h *holder) Hold(n int, _ time.Time) { h.number = n }
func (h *holder) Drop()                   { h.number = -1 }
func (*holder) Confirm(time.Time)         {}

// slotVM is a VM with its Slots.
type slotVM struct {
	*guavapeer.Slots
	*holder
	member *guavamember.Table
}

func newSlotVM(p *guavasim.Platform, name string, incarnation uint64, slots int) slotVM {
	member := guavamember.NewTable(guavamember.Identity{Name: name, Domain: "a", Address: name + ":1", Incarnation: incarnation})
	h := &holder{slots: slots, number: -1}
	return slotVM{Slots: guavapeer.NewSlots(member, p, h, nil), holder: h, member: member}
}

func (v slotVM) steps(n int) int {
	for range n {
		_ = v.Step(context.Background())
	}
	return v.number
}

func rows(p *guavasim.Platform) int {
	rs, _ := p.Scan(context.Background(), guavalimit.SlotPrefix("a"), "", 100)
	return len(rs)
}

// TestSlots guards against two VMs that own one slot, slots leaked by a lost response, and reclaims from a VM that may
// still run. The numbers are slot numbers or counts, or rows in the table.
func TestSlots(t *testing.T) {
	cases := []struct {
		name string
		run  func(p *guavasim.Platform) []int
		want []int
	}{
		{"more VMs than slots", func(p *guavasim.Platform) []int {
			owners := map[int]int{}
			for i := range 4 {
				owners[newSlotVM(p, fmt.Sprint("v", i), 1, 3).steps(2)]++
			}
			return []int{owners[0], owners[1], owners[2], owners[-1]}
		}, []int{1, 1, 1, 1}},
		{"answers of all claims lost", func(p *guavasim.Platform) []int {
			p.SetFaults(false, 1)
			k := newSlotVM(p, "v", 1, 1)
			return []int{k.steps(1), rows(p)}
		}, []int{0, 1}},
		{"platform down, then back", func(p *guavasim.Platform) []int {
			k := newSlotVM(p, "v", 1, 1)
			p.SetFaults(true, 0)
			down := k.steps(3)
			p.SetFaults(false, 0)
			return []int{down, k.steps(1)}
		}, []int{-1, 0}},
		{"platform down while held", func(p *guavasim.Platform) []int {
			k := newSlotVM(p, "v", 1, 1)
			k.steps(1)
			p.SetFaults(true, 0)
			return []int{k.steps(3)}
		}, []int{0}},
		{"next process of the VM takes over, the earlier one loses it", func(p *guavasim.Platform) []int {
			old, next := newSlotVM(p, "v", 1, 1), newSlotVM(p, "v", 2, 1)
			return []int{old.steps(1), next.steps(1), old.steps(2), next.steps(1)}
		}, []int{0, 0, -1, 0}},
		{"VM in the list, silent for 2 minutes", func(p *guavasim.Platform) []int {
			newSlotVM(p, "v", 1, 1).steps(1)
			k := newSlotVM(p, "w", 1, 1)
			time.Sleep(2 * time.Minute)
			k.member.MergePlatformList([]guavamember.Listing{{Name: "v"}})
			return []int{k.steps(3)}
		}, []int{-1}},
		{"VM not in the list, silent for 59 s and for 61 s", func(p *guavasim.Platform) []int {
			newSlotVM(p, "v", 1, 1).steps(1)
			k := newSlotVM(p, "w", 1, 1)
			time.Sleep(59 * time.Second)
			k.member.MergePlatformList(nil)
			early := k.steps(3)
			time.Sleep(2 * time.Second)
			return []int{early, k.steps(1)}
		}, []int{-1, 0}},
		{"VM not in the list, but heard", func(p *guavasim.Platform) []int {
			v := newSlotVM(p, "v", 1, 1)
			v.steps(1)
			k := newSlotVM(p, "w", 1, 1)
			time.Sleep(61 * time.Second)
			k.member.RecordHeartbeat(v.member.Self(), 1, false)
			k.member.MergePlatformList(nil)
			return []int{k.steps(3)}
		}, []int{-1}},
		{"list too old", func(p *guavasim.Platform) []int {
			newSlotVM(p, "v", 1, 1).steps(1)
			k := newSlotVM(p, "w", 1, 1)
			k.member.MergePlatformList(nil)
			time.Sleep(2 * time.Minute)
			return []int{k.steps(3)}
		}, []int{-1}},
		{"released, with the answer lost", func(p *guavasim.Platform) []int {
			k := newSlotVM(p, "v", 1, 1)
			k.steps(1)
			p.SetFaults(false, 1)
			if err := k.Release(context.Background()); err != nil {
				return []int{99}
			}
			p.SetFaults(false, 0)
			return []int{k.number, rows(p), newSlotVM(p, "w", 1, 1).steps(1)}
		}, []int{-1, 0, 0}},
		{"domain declares fewer slots", func(p *guavasim.Platform) []int {
			k, l := newSlotVM(p, "v", 1, 2), newSlotVM(p, "w", 1, 2)
			sum := k.steps(1) + l.steps(1)
			k.slots, l.slots = 1, 1
			return []int{sum, max(k.steps(1), l.steps(1)), rows(p)}
		}, []int{1, 0, 1}},
		{"abandoned claim that took effect later is released", func(p *guavasim.Platform) []int {
			k := newSlotVM(p, "v", 1, 2)
			k.steps(1)
			before := rows(p)
			_ = p.Commit(context.Background(), nil, []guavaplatform.Write{{
				Key: guavalimit.SlotKey("a", 1-k.number), Value: []byte(`{"vm":"v","incarnation":1,"operation":"late"}`),
			}})
			return []int{before, rows(p), k.steps(10) - k.number, rows(p)}
		}, []int{1, 2, 0, 1}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i+1, c.name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if d := cmp.Diff(c.want, c.run(guavasim.NewPlatform(1))); d != "" {
					t.Errorf("(-want +got):\n%s", d)
				}
			})
		})
	}
}

package guavaplace_test

import (
	"maps"
	"slices"

	"guavaridge/core/guavaplace"
)

func (r *replay) trouble() {
	for _, e := range r.pattern.events {
		if r.now != e.from && r.now != e.to {
			continue
		}
		on := r.now == e.from
		if e.kind == "restart" {
			r.restart(on)
			continue
		}
		for _, id := range r.order[:e.servers] {
			v := r.engines[id]
			switch e.kind {
			case "fail":
				v.fails = 0
				if on {
					v.fails = e.value
				}
			case "slow":
				v.slow = 1
				if on {
					v.slow = e.value
				}
			case "down":
				v.down = on
				for _, s := range slices.Concat(v.queue, v.runs) {
					if on {
						made := v.remove(s.number)
						r.over(s.number, guavaplace.ConnectionLost, made)
					}
				}
			}
		}
	}
}

// restart replaces the VMs. The engines go on with what they have until it is called again with false.
func (r *replay) restart(begins bool) {
	if !begins {
		for _, v := range r.engines {
			v.drop(orphan)
		}
		return
	}
	made := map[uint64]int{}
	for _, v := range r.engines {
		for _, s := range slices.Concat(v.queue, v.runs) {
			made[s.number] = s.made
			s.number = orphan
		}
	}
	r.policy = r.build()
	for _, number := range slices.Sorted(maps.Keys(r.calls)) {
		c := r.calls[number]
		switch {
		case c.over:
		case c.Class == guavaplace.Batch:
			c.server = ""
			r.again(c, made[number])
		default:
			c.over, c.server = true, ""
			r.counts["lost"]++
		}
	}
}

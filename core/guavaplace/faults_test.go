package guavaplace_test

import (
	"maps"
	"slices"

	"guavaridge/core/guavaplace"
)

func (r *replay) injectFaults() {
	for _, e := range r.pattern.events {
		if r.now != e.from && r.now != e.to {
			continue
		}
		begins := r.now == e.from
		if e.kind == "restart" {
			r.restart(begins)
			continue
		}
		for _, id := range r.order[:e.servers] {
			v := r.engines[id]
			switch e.kind {
			case "fail":
				v.fails = 0
				if begins {
					v.fails = e.value
				}
			case "slow":
				v.slow = 1
				if begins {
					v.slow = e.value
				}
			case "down":
				v.down = begins
				for _, s := range slices.Concat(v.queue, v.runs) {
					if begins {
						generated := v.remove(s.number)
						r.endRun(s.number, guavaplace.ConnectionLost, generated)
					}
				}
			}
		}
	}
}

// restart replaces all VMs. With begins set, the engines keep their sequences as orphans; without, the orphans end.
func (r *replay) restart(begins bool) {
	if !begins {
		for _, v := range r.engines {
			v.drop(orphan)
		}
		return
	}
	generated := map[uint64]int{}
	for _, v := range r.engines {
		for _, s := range slices.Concat(v.queue, v.runs) {
			generated[s.number] = s.generated
			s.number = orphan
		}
	}
	r.policy = r.build()
	for _, number := range slices.Sorted(maps.Keys(r.calls)) {
		c := r.calls[number]
		switch {
		case c.ended:
		case c.Class == guavaplace.Batch:
			c.server = ""
			r.resubmit(c, generated[number])
		default:
			c.ended, c.server = true, ""
			r.counts["lost"]++
		}
	}
}

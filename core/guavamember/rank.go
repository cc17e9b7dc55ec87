package guavamember

import (
	"cmp"
	"slices"
)

// Rank orders VMs by rendezvous hash of key and name, highest first. All callers with the same VMs get the same order.
// Adding or removing a VM leaves the relative order of the others unchanged.
func Rank(key string, vms []Identity) []Identity {
	type weighted struct {
		vm     Identity
		weight uint64
	}
	list := make([]weighted, 0, len(vms))
	for _, v := range vms {
		list = append(list, weighted{vm: v, weight: weight(key, v.Name)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	ranked := make([]Identity, 0, len(list))
	for _, w := range list {
		ranked = append(ranked, w.vm)
	}
	return ranked
}

// Position returns the index that the VM with the given name has, or would have, in Rank of the VMs without the excluded
// one. It does not allocate.
func Position(key, name, excluded string, vms []Identity) int {
	own, position := weight(key, name), 0
	for _, v := range vms {
		if v.Name == name || v.Name == excluded {
			continue
		}
		if w := weight(key, v.Name); w > own || w == own && v.Name < name {
			position++
		}
	}
	return position
}

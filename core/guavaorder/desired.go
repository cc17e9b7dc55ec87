package guavaorder

import (
	"slices"
	"strings"

	"guavaridge/core/guavaconfig"
)

// DesiredState is the state that an engine is to reach. Both lists are sorted.
type DesiredState struct {
	Models   []string // "name@version", or "name" when no version is declared
	Adapters []string // "model:adapter"
}

// newWant returns the declared state of an engine.
func newWant(s *guavaconfig.Snapshot, b guavaconfig.BackendServer) DesiredState {
	var w DesiredState
	for _, name := range b.Models {
		m, ok := s.Model(name)
		if !ok {
			continue
		}
		loaded := name
		if m.Version != "" {
			loaded += "@" + m.Version
		}
		w.Models = append(w.Models, loaded)
		for _, a := range m.Adapters {
			w.Adapters = append(w.Adapters, name+":"+a)
		}
	}
	slices.Sort(w.Models)
	slices.Sort(w.Adapters)
	return w
}

// next returns the order that brings an engine nearer to the wanted state, and false when it is reached. Loads are the
// weights that the engine has to load for it.
func (w DesiredState) next(r Report) (kind, want string, loads []string, ok bool) {
	if !sameSet(names(w.Models), names(r.Models)) {
		for _, m := range w.Models {
			if !slices.Contains(r.Models, m) {
				loads = append(loads, m)
			}
		}
		return "model", strings.Join(w.Models, ","), loads, true
	}
	for _, m := range w.Models {
		if !slices.Contains(r.Models, m) {
			return "version", m, []string{m}, true
		}
	}
	if !sameSet(w.Adapters, r.Adapters) {
		for _, a := range w.Adapters {
			if !slices.Contains(r.Adapters, a) {
				loads = append(loads, a)
			}
		}
		return "adapter", strings.Join(w.Adapters, ","), loads, true
	}
	return "", "", nil, false
}

// reached reports whether the report shows what an order of the kind asked for.
func (w DesiredState) reached(kind, want string, r Report) bool {
	switch kind {
	case "model":
		return sameSet(names(w.Models), names(r.Models))
	case "version":
		return slices.Contains(r.Models, want)
	default:
		return sameSet(w.Adapters, r.Adapters)
	}
}

// names returns the names of models without their versions.
func names(models []string) []string {
	list := make([]string, 0, len(models))
	for _, m := range models {
		name, _, _ := strings.Cut(m, "@")
		list = append(list, name)
	}
	return list
}

func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}

package guavaorder

import (
	"slices"
	"strings"

	"guavaridge/core/guavaconfig"
)

// DesiredState is the declared state of an engine. Both lists are sorted.
type DesiredState struct {
	Models   []string // "name@version", or "name" when no version is declared
	Adapters []string // "model:adapter"
}

// newDesiredState returns the declared state of an engine.
func newDesiredState(s *guavaconfig.Snapshot, b guavaconfig.BackendServer) DesiredState {
	var d DesiredState
	for _, name := range b.Models {
		m, ok := s.Model(name)
		if !ok {
			continue
		}
		loaded := name
		if m.Version != "" {
			loaded += "@" + m.Version
		}
		d.Models = append(d.Models, loaded)
		for _, a := range m.Adapters {
			d.Adapters = append(d.Adapters, name+":"+a)
		}
	}
	slices.Sort(d.Models)
	slices.Sort(d.Adapters)
	return d
}

// next returns the next order that moves an engine towards the desired state. ok is false when the report matches it.
// loads are the weights that the engine has to load for the order.
func (d DesiredState) next(r Report) (kind, want string, loads []string, ok bool) {
	if !sameSet(modelNames(d.Models), modelNames(r.Models)) {
		for _, m := range d.Models {
			if !slices.Contains(r.Models, m) {
				loads = append(loads, m)
			}
		}
		return "model", strings.Join(d.Models, ","), loads, true
	}
	for _, m := range d.Models {
		if !slices.Contains(r.Models, m) {
			return "version", m, []string{m}, true
		}
	}
	if !sameSet(d.Adapters, r.Adapters) {
		for _, a := range d.Adapters {
			if !slices.Contains(r.Adapters, a) {
				loads = append(loads, a)
			}
		}
		return "adapter", strings.Join(d.Adapters, ","), loads, true
	}
	return "", "", nil, false
}

// reached reports whether the report shows the result of an order of the kind.
func (d DesiredState) reached(kind, want string, r Report) bool {
	switch kind {
	case "model":
		return sameSet(modelNames(d.Models), modelNames(r.Models))
	case "version":
		return slices.Contains(r.Models, want)
	default:
		return sameSet(d.Adapters, r.Adapters)
	}
}

// modelNames returns the names of models without their versions.
func modelNames(models []string) []string {
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

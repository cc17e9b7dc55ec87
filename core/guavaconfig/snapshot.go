package guavaconfig

import (
	"slices"
	"strings"
)

// Snapshot is an immutable version of the declarations with lookup indexes.
type Snapshot struct {
	version  uint64
	declared Declarations
	accounts map[string]ClientAccount
	keys     map[string]Key
	models   map[string]Model
	servers  map[string]BackendServer
	domains  map[string]FailureDomain
	routes   []Route // longest path first
}

// NewSnapshot returns an indexed snapshot of d. The caller must not change d afterwards.
func NewSnapshot(version uint64, d Declarations) *Snapshot {
	s := &Snapshot{
		version:  version,
		declared: d,
		accounts: index(d.Accounts, func(a ClientAccount) string { return a.Name }),
		keys:     index(d.Keys, func(k Key) string { return k.Name }),
		models:   index(d.Models, func(m Model) string { return m.Name }),
		servers:  index(d.Servers, func(b BackendServer) string { return b.Name }),
		domains:  index(d.Domains, func(f FailureDomain) string { return f.Name }),
		routes:   slices.Clone(d.Routes),
	}
	slices.SortStableFunc(s.routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	return s
}

func index[T any](items []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(items))
	for _, it := range items {
		m[name(it)] = it
	}
	return m
}

// Version returns the number of the accepted configuration; versions are consecutive.
func (s *Snapshot) Version() uint64 { return s.version }

// Declarations returns the declarations, which must not be changed.
func (s *Snapshot) Declarations() Declarations { return s.declared }

// Account returns a client account by name.
func (s *Snapshot) Account(name string) (ClientAccount, bool) { return lookup(s.accounts, name) }

// Key returns a key by its public identifier.
func (s *Snapshot) Key(name string) (Key, bool) { return lookup(s.keys, name) }

// Model returns a model by name.
func (s *Snapshot) Model(name string) (Model, bool) { return lookup(s.models, name) }

// Server returns a backend server by name.
func (s *Snapshot) Server(name string) (BackendServer, bool) { return lookup(s.servers, name) }

// Domain returns a failure domain by name.
func (s *Snapshot) Domain(name string) (FailureDomain, bool) { return lookup(s.domains, name) }

func lookup[T any](m map[string]T, name string) (T, bool) {
	v, ok := m[name]
	return v, ok
}

// Route returns the route with the longest path that is a prefix of path at a segment boundary.
func (s *Snapshot) Route(path string) (Route, bool) {
	for _, r := range s.routes {
		if rest, ok := strings.CutPrefix(path, r.Path); ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Path, "/")) {
			return r, true
		}
	}
	return Route{}, false
}

// Allows reports whether the key may use the route.
func (s *Snapshot) Allows(k Key, route string) bool {
	a, ok := s.accounts[k.Account]
	if !ok {
		return false
	}
	return contains(a.Routes, route) && contains(k.Routes, route)
}

// contains reports whether names contains name. An empty list allows every name.
func contains(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

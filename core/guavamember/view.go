package guavamember

import "time"

// Leave marks the local VM as leaving. Alive no longer includes it.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.version++
}

// Draining reports whether the local VM is leaving, after Leave or according to the platform's list.
func (t *Table) Draining() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.leaving || t.listed[t.self.Name].Leaving
}

// Version returns a number that increases with each change of the view.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Alive returns the live VMs of a domain sorted by name, including the local VM unless it is leaving. Callers must not
// modify the result, which is shared.
func (t *Table) Alive(domain string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.viewsVersion != t.version {
		clear(t.views)
		t.viewsVersion = t.version
	}
	if v, ok := t.views[domain]; ok {
		return v
	}
	v := []Member{}
	if domain == t.self.Domain && !t.leaving && !t.listed[t.self.Name].Leaving {
		v = append(v, Member{Identity: t.self, State: Alive})
	}
	for _, e := range t.entries {
		if e.Domain == domain && e.State == Alive {
			v = append(v, e.Member)
		}
	}
	sortMembers(v)
	t.views[domain] = v
	return v
}

// Others returns all known VMs except the local one, sorted by name.
func (t *Table) Others() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ms := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		ms = append(ms, e.Member)
	}
	sortMembers(ms)
	return ms
}

// Member returns the VM with a name.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Updates returns the states of the VMs of the local domain, including the local VM. A VM that is suspect and has sent
// no message yet is left out. It was added by AddMembers or the platform's list, and reporting it would make a live VM
// suspect in other domains.
func (t *Table) Updates() []Update {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.localDomain(func(e *entry) bool { return e.direct || e.State != Suspect })
}

// localDomain returns the local VM and those VMs of the local domain for which include is true. Callers hold the lock.
func (t *Table) localDomain(include func(e *entry) bool) []Update {
	s := Alive
	if t.leaving {
		s = Leaving
	}
	updates := []Update{{Identity: t.self, State: s}}
	for _, e := range t.entries {
		if e.Domain == t.self.Domain && e.Incarnation != 0 && include(e) {
			updates = append(updates, Update{Identity: e.Identity, State: e.State})
		}
	}
	return updates
}

// KnownMembers returns the VMs that a newly started VM of a domain has to contact: all VMs of the local domain, the
// live VMs of its domain, and up to limit live VMs of each other domain, chosen at random.
func (t *Table) KnownMembers(domain string, limit int) []Update {
	t.mu.RLock()
	defer t.mu.RUnlock()
	updates := t.localDomain(func(*entry) bool { return true })
	chosen := map[string]int{}
	for _, e := range t.entries { // map iteration is in random order
		if e.Domain != t.self.Domain && e.State == Alive && (e.Domain == domain || chosen[e.Domain] < limit) {
			chosen[e.Domain]++
			updates = append(updates, Update{Identity: e.Identity, State: e.State})
		}
	}
	return updates
}

// Absent reports whether a VM is missing from the platform's list, which was merged at most maxListAge ago, and has
// sent no message for at least timeout. It is false until the local VM has been running for timeout. The slot of an
// absent VM may be reclaimed.
func (t *Table) Absent(name string, timeout, maxListAge time.Duration) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := time.Now()
	if t.listedAt.IsZero() || now.Sub(t.listedAt) > maxListAge || now.Sub(t.started) < timeout || name == t.self.Name {
		return false
	}
	if _, listed := t.listed[name]; listed {
		return false
	}
	e, ok := t.entries[name]
	return !ok || now.Sub(e.lastHeartbeat) >= timeout
}

// ByAddress returns the VM with an address.
func (t *Table) ByAddress(address string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[t.byAddress[address]]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

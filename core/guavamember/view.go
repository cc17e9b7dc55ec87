package guavamember

import "time"

// Leave marks the own VM as leaving: it no longer appears in its own view of live VMs.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.version++
}

// Draining reports whether the own VM is leaving, by its own decision or by the platform's list.
func (t *Table) Draining() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.leaving || t.listed[t.self.Name].Leaving
}

// Version changes with each change of the view.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Alive returns the live VMs of a domain in order of their names, with the own VM unless it is leaving. The
// result is shared and must not be changed.
func (t *Table) Alive(domain string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.viewsOf != t.version {
		clear(t.views)
		t.viewsOf = t.version
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

// Others returns all known VMs but the own one, in order of their names.
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

// Member returns a VM by name.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Updates returns the VMs of the own domain as this VM sees them, the own VM included. A VM that others told of is suspect until
// it is heard and left out until then: its state is no finding of this VM's, and told on it would make a live VM suspect in
// other domains.
func (t *Table) Updates() []Update {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.own(func(e *entry) bool { return e.met || e.State != Suspect })
}

// own returns the own VM and those of the own domain that are wanted. It is called with the lock held.
func (t *Table) own(wanted func(e *entry) bool) []Update {
	s := Alive
	if t.leaving {
		s = Leaving
	}
	news := []Update{{Identity: t.self, State: s}}
	for _, e := range t.entries {
		if e.Domain == t.self.Domain && e.Incarnation != 0 && wanted(e) {
			news = append(news, Update{Identity: e.Identity, State: e.State})
		}
	}
	return news
}

// KnownMembers returns what a VM of a domain that has just started needs: the VMs of the own domain, the live ones of its domain,
// and up to limit live VMs of each other domain, chosen at random.
func (t *Table) KnownMembers(domain string, limit int) []Update {
	t.mu.RLock()
	defer t.mu.RUnlock()
	news := t.own(func(*entry) bool { return true })
	chosen := map[string]int{}
	for _, e := range t.entries { // in random order
		if e.Domain != t.self.Domain && e.State == Alive && (e.Domain == domain || chosen[e.Domain] < limit) {
			chosen[e.Domain]++
			news = append(news, Update{Identity: e.Identity, State: e.State})
		}
	}
	return news
}

// Absent reports whether a VM is missing both from the platform's list, which was merged less than fresh ago,
// and from the exchange for at least quiet, all of which this VM has watched. It is the condition for reclaiming the slot of the VM.
func (t *Table) Absent(name string, quiet, fresh time.Duration) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := time.Now()
	if t.listedAt.IsZero() || now.Sub(t.listedAt) > fresh || now.Sub(t.started) < quiet || name == t.self.Name {
		return false
	}
	if _, shown := t.listed[name]; shown {
		return false
	}
	e, ok := t.entries[name]
	return !ok || now.Sub(e.heardAt) >= quiet
}

// ByAddress returns the VM at an address.
func (t *Table) ByAddress(address string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[t.byAddress[address]]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

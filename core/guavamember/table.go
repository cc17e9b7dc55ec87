package guavamember

import (
	"sync"
	"time"
)

// Periods of the failure detector.
const (
	// SuspectAfter is three missed exchanges: a VM with one lost message must not lose its loans.
	SuspectAfter = 3 * time.Second
	DeadAfter    = 8 * time.Second
	// PauseAfter is the gap between two ticks from which a VM takes itself to have been paused.
	PauseAfter = 2 * time.Second
	// ExchangePeriod is the period of the exchange.
	ExchangePeriod = time.Second
	// RemoveAfter is how long a VM that is gone is still contacted, so that a partition heals by itself.
	RemoveAfter = 15 * time.Minute
)

// Change is a change of state of one VM.
type Change struct {
	Member Member
	From   State
}

// Update is a VM as another VM reports it.
type Update struct {
	Identity
	State State
}

// Listing is a VM in the platform's list.
type Listing struct {
	Name    string
	Domain  string
	Address string
	Leaving bool
}

// Table is the membership view of one VM. Its inputs are messages, news, the platform's list and ticks of the
// runtime's clock. It is safe for concurrent use.
type Table struct {
	self    Identity
	started time.Time

	mu      sync.RWMutex
	entries map[string]*entry
	// byAddress finds the VM that a new incarnation at the same address replaces.
	byAddress map[string]string
	lastTick  time.Time
	// judgeFrom is the time before which no VM is judged, set after a pause of this VM.
	judgeFrom time.Time
	version   uint64
	leaving   bool
	listedAt  time.Time
	listed    map[string]Listing
	views     map[string][]Member // cache of Alive
	viewsOf   uint64              // the version that views belongs to
}

type entry struct {
	Member
	heardAt  time.Time
	met      bool // this process of the VM has sent a message itself
	draining bool // announced by the VM itself
	// reported is the state that VMs of its own domain last reported, by their names; empty inside the own domain.
	reported map[string]State
}

// NewTable returns a table that knows only its own VM.
func NewTable(self Identity) *Table {
	return &Table{
		self:      self,
		started:   time.Now(),
		entries:   map[string]*entry{},
		byAddress: map[string]string{},
		lastTick:  time.Now(),
		version:   1,
		views:     map[string][]Member{},
	}
}

// Self returns the identity of the own VM.
func (t *Table) Self() Identity { return t.self }

// RecordHeartbeat records a direct message of a VM. It reports whether the message counts: an older incarnation than
// the known one does not.
func (t *Table) RecordHeartbeat(id Identity, counter uint64, draining bool) (changes []Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id.Name == t.self.Name || id.Address == t.self.Address {
		return nil, false
	}
	e, changes, ok := t.admit(id)
	if !ok {
		return nil, false
	}
	e.Counter = max(e.Counter, counter)
	e.heardAt = time.Now()
	e.met = true
	e.draining = draining
	ev := heard
	if draining {
		ev = drain
	}
	changes = t.step(changes, e, ev)
	if id.Domain != t.self.Domain {
		changes = t.refresh(changes, id)
	}
	return changes, true
}

// refresh counts the VMs of another domain as heard that the sender last reported alive: reports carry only changes.
// It also corrects what another VM of that domain reported before it became unreachable itself.
func (t *Table) refresh(changes []Change, from Identity) []Change {
	for _, e := range t.entries {
		if e.Domain == from.Domain && e.reported[from.Name] == Alive {
			e.heardAt = time.Now()
			changes = t.step(changes, e, heard)
		}
	}
	return changes
}

// MergeUpdates merges what the VM from of another domain says of the VMs of its own domain. A VM that its own domain sees
// alive counts as heard.
func (t *Table) MergeUpdates(from string, news []Update) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, n := range news {
		if n.Name == t.self.Name || n.Address == t.self.Address || n.Domain == t.self.Domain || n.Incarnation == 0 {
			continue
		}
		e, more, ok := t.admit(n.Identity)
		changes = append(changes, more...)
		if !ok {
			continue
		}
		if e.reported == nil {
			e.reported = map[string]State{}
		}
		e.reported[from] = n.State
		switch n.State {
		case Alive:
			e.heardAt = time.Now()
			e.draining = false
			changes = t.step(changes, e, heard)
		case Leaving:
			e.heardAt = time.Now()
			e.draining = true
			changes = t.step(changes, e, drain)
		case Suspect:
			changes = t.step(changes, e, silent)
		case Dead:
			changes = t.step(changes, e, lost)
		}
	}
	return changes
}

// AddMembers adds VMs of any domain from the table of another VM without judging their state. They count once they
// are heard.
func (t *Table) AddMembers(news []Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		if n.Name == t.self.Name || n.Address == t.self.Address || n.State == Dead {
			continue
		}
		if _, ok := t.entries[n.Name]; !ok {
			t.admit(n.Identity)
		}
	}
}

// admit returns the entry of a VM, created or restarted as its incarnation says.
func (t *Table) admit(id Identity) (*entry, []Change, bool) {
	var changes []Change
	if other, ok := t.byAddress[id.Address]; ok && other != id.Name {
		if t.entries[other].Incarnation > id.Incarnation {
			return nil, nil, false
		}
		changes = t.remove(changes, other)
	}
	e, ok := t.entries[id.Name]
	switch {
	case !ok:
		e = &entry{Member: Member{Identity: id, State: chart.Start()}, heardAt: time.Now()}
		t.entries[id.Name] = e
		t.version++
	case id.Incarnation < e.Incarnation:
		return nil, changes, false
	case id.Incarnation > e.Incarnation:
		delete(t.byAddress, e.Address)
		e.Identity = id
		e.Counter = 0
		e.met = false
		e.draining = false
		e.reported = nil
		changes = t.step(changes, e, restart)
		t.version++
	}
	t.byAddress[e.Address] = e.Name
	return e, changes, true
}

func (t *Table) remove(changes []Change, name string) []Change {
	e := t.entries[name]
	changes = t.step(changes, e, lost)
	delete(t.entries, name)
	delete(t.byAddress, e.Address)
	t.version++
	return changes
}

func (t *Table) step(changes []Change, e *entry, ev event) []Change {
	next, ok := chart.Next(e.State, ev)
	if !ok || next == e.State {
		return changes
	}
	from := e.State
	e.State = next
	t.version++
	return append(changes, Change{Member: e.Member, From: from})
}

// Tick judges VMs that have been silent. It is called about ten times a second. After a pause of the own VM it
// excludes the pause from the silence of the others, and judges nobody until one exchange round has passed.
func (t *Table) Tick() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(t.lastTick); gap > PauseAfter {
		for _, e := range t.entries {
			if e.heardAt = e.heardAt.Add(gap); e.heardAt.After(now) {
				e.heardAt = now
			}
		}
		t.judgeFrom = now.Add(ExchangePeriod)
	}
	t.lastTick = now
	if now.Before(t.judgeFrom) {
		return nil
	}
	var changes []Change
	for name, e := range t.entries {
		quiet := now.Sub(e.heardAt)
		if quiet >= DeadAfter {
			changes = t.step(changes, e, lost)
		} else if quiet >= SuspectAfter {
			changes = t.step(changes, e, silent)
		}
		if _, shown := t.listed[name]; quiet >= RemoveAfter && !shown {
			changes = t.remove(changes, name)
		}
	}
	return changes
}

// MergePlatformList takes in the platform's list. The list lags: it adds VMs to contact and marks VMs as leaving, but a VM
// that it does not show stays as the exchange sees it.
func (t *Table) MergePlatformList(list []Listing) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAt = time.Now()
	t.version++ // the own VM may be shown as leaving
	t.listed = make(map[string]Listing, len(list))
	var changes []Change
	for _, l := range list {
		t.listed[l.Name] = l
		if l.Name == t.self.Name {
			continue
		}
		e, ok := t.entries[l.Name]
		if !ok {
			if _, taken := t.byAddress[l.Address]; taken || l.Address == t.self.Address {
				continue
			}
			e, _, _ = t.admit(Identity{Name: l.Name, Domain: l.Domain, Address: l.Address})
		}
		if l.Leaving {
			changes = t.step(changes, e, listed)
		} else if !e.draining {
			changes = t.step(changes, e, unlisted)
		}
	}
	return changes
}

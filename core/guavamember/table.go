package guavamember

import (
	"sync"
	"time"
)

// Times of the failure detector.
const (
	// SuspectAfter is the time without a message after which a VM is suspect: three missed exchanges, because one lost
	// message must not revoke the loans of a VM.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without a message after which a VM is dead.
	DeadAfter = 8 * time.Second
	// PauseAfter is the gap between two ticks above which the local VM is assumed to have been paused.
	PauseAfter = 2 * time.Second
	// ExchangePeriod is the interval of the heartbeat exchange.
	ExchangePeriod = time.Second
	// RemoveAfter is the time without a message after which a VM is removed unless the platform lists it. A dead VM is
	// contacted until then, so that the VMs find each other after a partition.
	RemoveAfter = 15 * time.Minute
)

// Change is a state transition of one VM. Member has the new state.
type Change struct {
	Member Member
	From   State
}

// Update is the state of a VM as another VM reports it.
type Update struct {
	Identity
	State State
}

// Listing is an entry of the platform's list of VMs.
type Listing struct {
	Name    string
	Domain  string
	Address string
	Leaving bool
}

// Table is the membership view of one VM. Its inputs are messages, updates from other VMs, the platform's list and
// ticks. It is safe for concurrent use.
type Table struct {
	self    Identity
	started time.Time

	mu      sync.RWMutex
	entries map[string]*entry
	// byAddress holds names of VMs by address. A newer VM with another name at a known address replaces the known one.
	byAddress map[string]string
	lastTick  time.Time
	// detectFrom is the time before which Tick changes no state. It is set after a pause of the local VM.
	detectFrom   time.Time
	version      uint64
	leaving      bool
	listedAt     time.Time
	listed       map[string]Listing
	views        map[string][]Member // cache of Alive by domain
	viewsVersion uint64              // the version for which views is valid
}

type entry struct {
	Member
	lastHeartbeat time.Time
	direct        bool // a message from this incarnation itself has arrived
	draining      bool // announced by the VM itself
	// reported is the last state reported by each VM of the entry's domain, by name. It is nil for the local domain.
	reported map[string]State
}

// NewTable returns a table without other VMs.
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

// Self returns the identity of the local VM.
func (t *Table) Self() Identity { return t.self }

// RecordHeartbeat records a direct message from a VM. ok is false when the message is ignored because a newer
// incarnation is known or because it has the name or address of the local VM.
func (t *Table) RecordHeartbeat(id Identity, counter uint64, draining bool) (changes []Change, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id.Name == t.self.Name || id.Address == t.self.Address {
		return nil, false
	}
	e, changes, ok := t.upsert(id)
	if !ok {
		return nil, false
	}
	e.Counter = max(e.Counter, counter)
	e.lastHeartbeat = time.Now()
	e.direct = true
	e.draining = draining
	ev := heartbeatReceived
	if draining {
		ev = leaveAnnounced
	}
	changes = t.transition(changes, e, ev)
	if id.Domain != t.self.Domain {
		changes = t.refreshReported(changes, id)
	}
	return changes, true
}

// refreshReported refreshes the VMs of another domain that the sender last reported alive, since reports carry only
// changes. It also overrides reports by another VM of that domain that has become unreachable.
func (t *Table) refreshReported(changes []Change, from Identity) []Change {
	for _, e := range t.entries {
		if e.Domain == from.Domain && e.reported[from.Name] == Alive {
			e.lastHeartbeat = time.Now()
			changes = t.transition(changes, e, heartbeatReceived)
		}
	}
	return changes
}

// MergeUpdates merges the states that the VM named from, in another domain, reports for VMs of its domain. A VM that is
// reported alive is treated as if it had sent a heartbeat.
func (t *Table) MergeUpdates(from string, updates []Update) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, u := range updates {
		if u.Name == t.self.Name || u.Address == t.self.Address || u.Domain == t.self.Domain || u.Incarnation == 0 {
			continue
		}
		e, more, ok := t.upsert(u.Identity)
		changes = append(changes, more...)
		if !ok {
			continue
		}
		if e.reported == nil {
			e.reported = map[string]State{}
		}
		e.reported[from] = u.State
		switch u.State {
		case Alive:
			e.lastHeartbeat = time.Now()
			e.draining = false
			changes = t.transition(changes, e, heartbeatReceived)
		case Leaving:
			e.lastHeartbeat = time.Now()
			e.draining = true
			changes = t.transition(changes, e, leaveAnnounced)
		case Suspect:
			changes = t.transition(changes, e, suspectTimeout)
		case Dead:
			changes = t.transition(changes, e, deadTimeout)
		}
	}
	return changes
}

// AddMembers adds VMs of any domain from the table of another VM. They are suspect until a message from them arrives.
func (t *Table) AddMembers(updates []Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range updates {
		if u.Name == t.self.Name || u.Address == t.self.Address || u.State == Dead {
			continue
		}
		if _, ok := t.entries[u.Name]; !ok {
			t.upsert(u.Identity)
		}
	}
}

// upsert returns the entry of a VM. It creates the entry, or resets it for a newer incarnation; ok is false for an
// older one.
func (t *Table) upsert(id Identity) (*entry, []Change, bool) {
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
		e = &entry{Member: Member{Identity: id, State: chart.Start()}, lastHeartbeat: time.Now()}
		t.entries[id.Name] = e
		t.version++
	case id.Incarnation < e.Incarnation:
		return nil, changes, false
	case id.Incarnation > e.Incarnation:
		delete(t.byAddress, e.Address)
		e.Identity = id
		e.Counter = 0
		e.direct = false
		e.draining = false
		e.reported = nil
		changes = t.transition(changes, e, restarted)
		t.version++
	}
	t.byAddress[e.Address] = e.Name
	return e, changes, true
}

func (t *Table) remove(changes []Change, name string) []Change {
	e := t.entries[name]
	changes = t.transition(changes, e, deadTimeout)
	delete(t.entries, name)
	delete(t.byAddress, e.Address)
	t.version++
	return changes
}

func (t *Table) transition(changes []Change, e *entry, ev event) []Change {
	next, ok := chart.Next(e.State, ev)
	if !ok || next == e.State {
		return changes
	}
	from := e.State
	e.State = next
	t.version++
	return append(changes, Change{Member: e.Member, From: from})
}

// Tick marks unresponsive VMs as suspect or dead and removes dead ones. It is called about ten times a second. After a
// pause of the local VM, it does not count the pause against the others, and changes no state for one ExchangePeriod.
func (t *Table) Tick() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(t.lastTick); gap > PauseAfter {
		for _, e := range t.entries {
			if e.lastHeartbeat = e.lastHeartbeat.Add(gap); e.lastHeartbeat.After(now) {
				e.lastHeartbeat = now
			}
		}
		t.detectFrom = now.Add(ExchangePeriod)
	}
	t.lastTick = now
	if now.Before(t.detectFrom) {
		return nil
	}
	var changes []Change
	for name, e := range t.entries {
		sinceHeartbeat := now.Sub(e.lastHeartbeat)
		if sinceHeartbeat >= DeadAfter {
			changes = t.transition(changes, e, deadTimeout)
		} else if sinceHeartbeat >= SuspectAfter {
			changes = t.transition(changes, e, suspectTimeout)
		}
		if _, listed := t.listed[name]; sinceHeartbeat >= RemoveAfter && !listed {
			changes = t.remove(changes, name)
		}
	}
	return changes
}

// MergePlatformList merges the platform's list, which lags. It adds VMs to contact and marks VMs as leaving. A VM that
// is not listed keeps its state from the exchange.
func (t *Table) MergePlatformList(list []Listing) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAt = time.Now()
	t.version++ // the local VM may be shown as leaving
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
			e, _, _ = t.upsert(Identity{Name: l.Name, Domain: l.Domain, Address: l.Address})
		}
		if l.Leaving {
			changes = t.transition(changes, e, listedLeaving)
		} else if !e.draining {
			changes = t.transition(changes, e, listedStaying)
		}
	}
	return changes
}

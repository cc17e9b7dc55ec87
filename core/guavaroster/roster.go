// Package guavaroster maintains the list of backend servers from the entries that they renew in the store.
package guavaroster

import (
	"maps"
	"time"

	"guavaridge/core/guavatraffic"
)

const (
	// removalDelay is how long a server whose entry was removed just after an outage of the store stays in the list.
	// Entries expire while servers cannot renew them, and are renewed within two seconds after the outage.
	removalDelay = 2 * time.Second
	// outageWindow is the time after a store failure in which a removal counts as its consequence.
	outageWindow = 1500 * time.Millisecond
)

// Roster is the list of backend servers. It is not safe for concurrent use.
type Roster struct {
	servers          map[string]guavatraffic.Server
	pendingRemoval   map[string]time.Time // servers without an entry, with the time of their removal
	lastStoreFailure time.Time            // when the store last failed
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{servers: map[string]guavatraffic.Server{}, pendingRemoval: map[string]time.Time{}}
}

// RecordStoreFailure records that the store does not respond.
func (r *Roster) RecordStoreFailure(now time.Time) { r.lastStoreFailure = now }

// Put adds or updates a server's entry and reports whether the list changed. An entry equal to the stored one, as
// Replace may pass it, does not change the list.
func (r *Roster) Put(s guavatraffic.Server) bool {
	old, ok := r.servers[s.ID]
	r.servers[s.ID] = s
	delete(r.pendingRemoval, s.ID)
	return !ok || old != s
}

// Remove records that a server's entry was removed and reports whether the list changed. A server is removed from the
// list at once when it has announced that it is leaving or when the store has not failed recently. Otherwise Expire
// removes it later.
func (r *Roster) Remove(now time.Time, id string) bool {
	s, ok := r.servers[id]
	if !ok {
		return false
	}
	if !s.Leaving && !r.lastStoreFailure.IsZero() && now.Sub(r.lastStoreFailure) < outageWindow {
		if _, pending := r.pendingRemoval[id]; !pending {
			r.pendingRemoval[id] = now.Add(removalDelay)
		}
		return false
	}
	delete(r.servers, id)
	delete(r.pendingRemoval, id)
	return true
}

// Replace updates the list to the complete set of entries and reports whether the list changed.
func (r *Roster) Replace(now time.Time, list []guavatraffic.Server) bool {
	changed := false
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		changed = r.Put(s) || changed
	}
	for id := range maps.Clone(r.servers) {
		if !listed[id] {
			changed = r.Remove(now, id) || changed
		}
	}
	return changed
}

// Expire removes the servers whose entries were not renewed in time, and reports whether there were any.
func (r *Roster) Expire(now time.Time) bool {
	removed := false
	for id, removeAt := range r.pendingRemoval {
		if !now.Before(removeAt) {
			delete(r.servers, id)
			delete(r.pendingRemoval, id)
			removed = true
		}
	}
	return removed
}

// PendingRemovals returns the number of servers without an entry that are not removed from the list yet.
func (r *Roster) PendingRemovals() int { return len(r.pendingRemoval) }

// ByID returns a copy of the list by server ID.
func (r *Roster) ByID() map[string]guavatraffic.Server { return maps.Clone(r.servers) }

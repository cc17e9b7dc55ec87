// Package guavaroster keeps the list of backend servers as they announce themselves.
package guavaroster

import (
	"maps"
	"time"

	"guavaridge/core/guavatraffic"
)

const (
	// returnTime is how long after an outage of the store an entry that is gone may still come back: entries lapse while
	// servers cannot renew them, and are back within two seconds.
	returnTime = 2 * time.Second
	// shadow is how long after an outage removals are put down to it.
	shadow = 1500 * time.Millisecond
)

// Roster is the list of servers. It is not safe for concurrent use.
type Roster struct {
	servers map[string]guavatraffic.Server
	doubted map[string]time.Time // servers whose entry is gone, with the time at which they leave the list
	trouble time.Time            // when the store last failed
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{servers: map[string]guavatraffic.Server{}, doubted: map[string]time.Time{}}
}

// RecordStoreFailure notes that the store does not answer.
func (r *Roster) RecordStoreFailure(now time.Time) { r.trouble = now }

// Put takes in a server's entry and returns whether it changes the list. Whole lists repeat entries that have not changed.
func (r *Roster) Put(s guavatraffic.Server) bool {
	old, ok := r.servers[s.ID]
	r.servers[s.ID] = s
	delete(r.doubted, s.ID)
	return !ok || old != s
}

// Remove takes in that a server's entry is gone, and returns whether that changes the list. A server that announced its
// leaving, or whose entry goes while the store is well, leaves the list at once.
func (r *Roster) Remove(now time.Time, id string) bool {
	s, ok := r.servers[id]
	if !ok {
		return false
	}
	if !s.Leaving && !r.trouble.IsZero() && now.Sub(r.trouble) < shadow {
		if _, doubted := r.doubted[id]; !doubted {
			r.doubted[id] = now.Add(returnTime)
		}
		return false
	}
	delete(r.servers, id)
	delete(r.doubted, id)
	return true
}

// Replace takes in all entries that there are, and returns whether that changes the list.
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

// Expire drops servers whose entries did not come back, and returns whether there were any.
func (r *Roster) Expire(now time.Time) bool {
	dropped := false
	for id, until := range r.doubted {
		if !now.Before(until) {
			delete(r.servers, id)
			delete(r.doubted, id)
			dropped = true
		}
	}
	return dropped
}

// PendingRemovals returns the number of servers whose entry is gone but may come back.
func (r *Roster) PendingRemovals() int { return len(r.doubted) }

// ByID returns a copy of the list.
func (r *Roster) ByID() map[string]guavatraffic.Server { return maps.Clone(r.servers) }

// Package guavaroster maintains the list of backend servers from the entries that they renew in the store, and from the
// leaving notices in their responses.
package guavaroster

import (
	"maps"
	"slices"
	"time"

	"guavaridge/core/guavatraffic"
)

const (
	// removalDelay is how long a server whose entry was removed during an outage of the store stays in the list, unless the store
	// returns before. Entries expire while servers cannot renew them.
	removalDelay = 2 * time.Second
	// renewalTime is the time from the return of the store after which a server without an entry has left. Running servers renew
	// entries that have expired within two seconds, and the entries take up to 0.3 s to this VM. Three seconds after the return, no
	// request may reach such a server, of which 0.4 s may have passed when this VM notices the return and acts, and a
	// request may be on its way for 0.2 s.
	renewalTime = 2300 * time.Millisecond
	// expiryTime is the shortest outage in which entries can expire. They do so after three intervals of 1.2 s without renewal, of
	// which one may have passed when the outage begins.
	expiryTime = 2 * time.Second
	// maxNotices is the number of leaving notices above which those of servers without an entry are dropped, oldest first.
	// They are kept that long because an entry that expired in an outage may return.
	maxNotices = 1000
)

// Roster is the list of backend servers. It is not safe for concurrent use.
type Roster struct {
	servers        map[string]guavatraffic.Server
	notices        map[guavatraffic.Incarnation]bool // shared with lists, so it is replaced instead of changed
	noticeOrder    []guavatraffic.Incarnation        // oldest first
	pendingRemoval map[string]time.Time              // servers without an entry, with the time of their removal; zero: after the store's return
	failingSince   time.Time                         // when the store stopped responding, zero while it responds
	renewedBy      time.Time                         // when servers have renewed the entries that expired in the last outage
	evacuated      map[string]bool                   // failure domains whose servers get no requests
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		servers: map[string]guavatraffic.Server{}, notices: map[guavatraffic.Incarnation]bool{},
		pendingRemoval: map[string]time.Time{},
	}
}

// RecordStoreFailure records that the store has stopped to respond. Servers that were about to renew their entries cannot.
func (r *Roster) RecordStoreFailure(now time.Time) {
	if !r.failingSince.IsZero() {
		return
	}
	r.failingSince = now
	for id := range r.pendingRemoval {
		r.pendingRemoval[id] = time.Time{}
	}
}

// RecordStoreResponse records that the store has responded at a time, that long after its last response before, and reports whether it
// was away for so long that entries of running servers may have expired. These servers get the renewalTime, without interruptions by
// further failures. After a shorter failure, the servers whose entries were removed meanwhile have left.
func (r *Roster) RecordStoreResponse(at time.Time, away time.Duration) bool {
	switch {
	case away >= expiryTime:
		r.renewedBy = at.Add(renewalTime)
	case r.failingSince.IsZero():
		return false
	case !r.failingSince.Before(r.renewedBy):
		r.renewedBy = at
	case away > 0:
		r.renewedBy = r.renewedBy.Add(away)
	}
	r.failingSince = time.Time{}
	for id := range r.pendingRemoval {
		r.pendingRemoval[id] = r.renewedBy
	}
	return away >= expiryTime
}

// Put adds or updates a server's entry and reports whether the list changed. An entry equal to the stored one, as
// Replace may pass it, does not change the list.
func (r *Roster) Put(s guavatraffic.Server) bool {
	old, ok := r.servers[s.ID]
	if ok && old.Born == s.Born && old.Cold == s.Cold {
		s.ColdUntil = old.ColdUntil // the entry says nothing new of it
	}
	r.servers[s.ID] = s
	delete(r.pendingRemoval, s.ID)
	return !ok || old != s
}

// Remove records that a server's entry was removed and reports whether the list changed. A server is removed from the
// list at once when it is leaving or when its entry cannot have expired in an outage of the store. Otherwise Expire removes it later.
func (r *Roster) Remove(now time.Time, id string) bool {
	s, ok := r.servers[id]
	if !ok {
		return false
	}
	removeAt := r.renewedBy
	if !r.failingSince.IsZero() {
		removeAt = now.Add(removalDelay)
	}
	if !r.isLeaving(s) && now.Before(removeAt) {
		if _, pending := r.pendingRemoval[id]; !pending {
			r.pendingRemoval[id] = removeAt
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
		if !removeAt.IsZero() && !now.Before(removeAt) {
			delete(r.servers, id)
			delete(r.pendingRemoval, id)
			removed = true
		}
	}
	return removed
}

// PendingRemovals returns the number of servers without an entry that are not removed from the list yet.
func (r *Roster) PendingRemovals() int { return len(r.pendingRemoval) }

// RecordNotice records that a server said in a response that it is leaving, and reports whether that was unknown. The
// notice stays in force while the server's entry changes, lapses or returns, and does not apply to another incarnation of
// the server. An incarnation without a start time is the listed one, if that has the same address.
func (r *Roster) RecordNotice(i guavatraffic.Incarnation) bool {
	if i.Born == 0 {
		s, ok := r.servers[i.ID]
		if !ok || s.Address != i.Address {
			return false
		}
		i = s.Incarnation()
	}
	if r.notices[i] {
		return false
	}
	r.notices = maps.Clone(r.notices)
	r.notices[i] = true
	r.noticeOrder = append(r.noticeOrder, i)
	if len(r.noticeOrder) > maxNotices {
		r.dropNotice()
	}
	return true
}

// dropNotice drops the oldest notice of a server without an entry, if there is one.
func (r *Roster) dropNotice() {
	k := slices.IndexFunc(r.noticeOrder, func(i guavatraffic.Incarnation) bool {
		s, ok := r.servers[i.ID]
		return !ok || s.Incarnation() != i
	})
	if k >= 0 {
		delete(r.notices, r.noticeOrder[k])
		r.noticeOrder = slices.Delete(r.noticeOrder, k, k+1)
	}
}

// isLeaving reports whether a server is leaving, by its entry or by a notice, or its failure domain is evacuated.
func (r *Roster) isLeaving(s guavatraffic.Server) bool {
	return s.Leaving || r.notices[s.Incarnation()] || r.evacuated[s.Domain]
}

// SetEvacuated sets the failure domains whose servers get no requests, and reports whether that is a change. The servers of a
// domain that is taken back may have become cold meanwhile: they count as cold for the time that coldTime returns for their
// service, until their entries say more.
func (r *Roster) SetEvacuated(now time.Time, domains []string, coldTime func(service string) time.Duration) bool {
	evacuated := make(map[string]bool, len(domains))
	for _, d := range domains {
		evacuated[d] = true
	}
	if maps.Equal(evacuated, r.evacuated) {
		return false
	}
	for id, s := range r.servers {
		if until := now.Add(coldTime(s.Service)); r.evacuated[s.Domain] && !evacuated[s.Domain] && until.After(s.ColdUntil) {
			s.ColdUntil = until
			r.servers[id] = s
		}
	}
	r.evacuated = evacuated
	return true
}

// Entry returns the entry of a server. A server with a leaving notice may have an entry of one that is not leaving.
func (r *Roster) Entry(id string) (guavatraffic.Server, bool) {
	s, ok := r.servers[id]
	return s, ok
}

// List returns the current list.
func (r *Roster) List() *List {
	l := &List{servers: maps.Clone(r.servers), notices: r.notices}
	for id, s := range l.servers {
		s.Leaving = r.isLeaving(s)
		l.servers[id] = s
	}
	return l
}

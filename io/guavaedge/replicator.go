package guavaedge

import (
	"context"
	"encoding/gob"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavafallback"
	"guavaridge/io/guavamesh"
	"guavaridge/io/guavaview"
)

const (
	// heartbeatInterval is the time between heartbeats, and between requests to peers during an outage of the store.
	heartbeatInterval = 300 * time.Millisecond
	// fallbackDelay is how long the store must have been unresponsive before requests go to other VMs.
	fallbackDelay = 200 * time.Millisecond
	// sourceCount is the number of peers that a VM requests a snapshot from at a time, and of readers that it subscribes
	// to.
	sourceCount = 2
	// heartbeatTimeout is the age at which the last message of a reader expires: three times heartbeatInterval.
	heartbeatTimeout = 900 * time.Millisecond
	// maxResponseAge is the maximum age of the store's response that readers forward. It exceeds the sum of a reader's
	// long poll (guavaview.DefaultWait) and heartbeatInterval. Together with the request to the store that follows, it
	// stays below the 2 s within which a configuration has to be in force.
	maxResponseAge = 1650 * time.Millisecond
	// minReaders is the minimum number of readers. Larger systems have one reader for every vmsPerReader VMs.
	minReaders   = 3
	vmsPerReader = 20
)

type (
	// snapshotRequest requests a snapshot of a table if the receiver knows of a change after Position.
	snapshotRequest struct {
		Table    string
		Position uint64
	}
	// snapshotReply is the response to a snapshotRequest.
	snapshotReply struct{ Copy guavaview.Snapshot }
	// subscribe requests all further changes from a reader.
	subscribe struct{}
	// deltas carries changes of tables. A delta without patches is a heartbeat.
	deltas struct{ List []guavaview.Delta }
)

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	gob.RegisterName("guavaridge/io/guavaedge.askCopy", snapshotRequest{})
	gob.RegisterName("guavaridge/io/guavaedge.giveCopy", snapshotReply{})
	gob.Register(subscribe{})
	// The previous version sends complete rows under the default name of the type.
	gob.RegisterName("guavaedge.patches", deltas{})
}

// replicator replicates tables of the store between VMs. A few VMs, the readers, poll the store and forward its changes
// to subscribers, which keeps the number of calls to the store independent of the number of VMs. A VM polls the store
// itself while none of its readers is in contact with the store. During an outage of the store it requests snapshots
// from random peers.
type replicator struct {
	followers map[string]*guavaview.Follower
	fallback  *guavafallback.Store

	mu          sync.Mutex
	links       map[*guavamesh.Link]struct{}
	readers     map[string]bool // names of the VMs that this VM subscribes to
	subscribers map[*guavamesh.Link]struct{}
	heartbeats  map[string]heartbeat // last heartbeat of any reader, by table
}

// heartbeat is the last contact of a reader for a table.
type heartbeat struct {
	received     time.Time // when the reader's last message was received
	storeContact time.Time // time of the store's latest response that a reader forwarded
}

func newReplicator() *replicator {
	return &replicator{
		followers: map[string]*guavaview.Follower{}, links: map[*guavamesh.Link]struct{}{}, readers: map[string]bool{},
		subscribers: map[*guavamesh.Link]struct{}{}, heartbeats: map[string]heartbeat{},
	}
}

// connectFollowers makes the followers publish their changes to subscribers, and leave polling to live readers.
func (r *replicator) connectFollowers() {
	for table, f := range r.followers {
		f.SetReplication(func() bool { return r.hasLiveReader(table) }, r.publish)
	}
}

// setVMs selects the readers among the VMs with at least half as many cores as the largest, and subscribes to
// sourceCount of them. It returns the names of these, none if this VM is a reader itself.
func (r *replicator) setVMs(self string, list []guavacoord.VM) []string {
	identities := make([]guavamember.Identity, 0, len(list))
	maxCores := 0.0
	for _, v := range list {
		maxCores = max(maxCores, v.Cores)
	}
	for _, v := range list {
		if v.Cores >= maxCores/2 {
			identities = append(identities, v.Identity)
		}
	}
	ranked := guavamember.Rank("readers", identities)
	ranked = ranked[:min(max(minReaders, len(list)/vmsPerReader), len(ranked))]
	var sources []string
	if !slices.ContainsFunc(ranked, func(v guavamember.Identity) bool { return v.Name == self }) {
		for _, v := range guavamember.Rank("reader/"+self, ranked)[:min(sourceCount, len(ranked))] {
			sources = append(sources, v.Name)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.readers
	r.readers = map[string]bool{}
	for _, name := range sources {
		r.readers[name] = true
	}
	for l := range r.links {
		if l.Outgoing && r.readers[l.Peer.Name] && !before[l.Peer.Name] {
			l.Send(subscribe{})
		}
	}
	return sources
}

// hasLiveReader reports whether a reader in contact with the store forwards the changes of the table.
func (r *replicator) hasLiveReader(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.heartbeats[table]
	return len(r.readers) > 0 && time.Since(h.received) < heartbeatTimeout && time.Since(h.storeContact) < maxResponseAge
}

// publish sends a delta to subscribers.
func (r *replicator) publish(d guavaview.Delta) { r.broadcast([]guavaview.Delta{d}) }

// sendHeartbeats sends the positions of the tables to subscribers.
func (r *replicator) sendHeartbeats(now time.Time) {
	var list []guavaview.Delta
	for _, f := range r.followers { // without r.mu: followers call publish with their own lock held
		if d, ok := f.Heartbeat(now); ok {
			list = append(list, d)
		}
	}
	r.broadcast(list)
}

// broadcast sends deltas to all subscribers.
func (r *replicator) broadcast(list []guavaview.Delta) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.subscribers {
		l.Send(deltas{List: list})
	}
}

// applyDeltas applies the deltas of a reader, and requests a snapshot from it where earlier changes are missing.
func (r *replicator) applyDeltas(l *guavamesh.Link, list []guavaview.Delta) {
	now := time.Now()
	for _, d := range list {
		f := r.followers[d.Table]
		if f == nil {
			continue
		}
		switch f.ApplyDelta(d) {
		case guavaview.Behind:
			position, _ := f.Position()
			l.Send(snapshotRequest{Table: d.Table, Position: position})
			continue
		case guavaview.Overlapping:
			continue
		case guavaview.Applied:
		}
		r.mu.Lock()
		if r.readers[l.Peer.Name] {
			h := r.heartbeats[d.Table]
			h.received = now
			if at := now.Add(-d.Age); at.After(h.storeContact) {
				h.storeContact = at
			}
			r.heartbeats[d.Table] = h
		}
		r.mu.Unlock()
	}
}

// LinkUp implements guavamesh.Handler.
func (r *replicator) LinkUp(l *guavamesh.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
	if l.Outgoing && r.readers[l.Peer.Name] {
		l.Send(subscribe{})
	}
}

// LinkDown implements guavamesh.Handler.
func (r *replicator) LinkDown(l *guavamesh.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
	delete(r.subscribers, l)
}

// Receive implements guavamesh.Handler.
func (r *replicator) Receive(l *guavamesh.Link, message any) {
	switch m := message.(type) {
	case snapshotRequest:
		if f := r.followers[m.Table]; f != nil {
			if snapshot, ok := f.Export(m.Position); ok {
				l.Send(snapshotReply{Copy: snapshot})
			}
		}
	case snapshotReply:
		if f := r.followers[m.Copy.Table]; f != nil {
			f.Import(m.Copy)
		}
	case subscribe:
		r.mu.Lock()
		r.subscribers[l] = struct{}{}
		r.mu.Unlock()
		r.sendHeartbeats(time.Now())
	case deltas:
		r.applyDeltas(l, m.List)
	default:
		r.fallback.Receive(l, message)
	}
}

// run sends heartbeats, and requests snapshots from peers of the tables whose store calls fail, until ctx ends.
func (r *replicator) run(ctx context.Context) {
	for range every(ctx, heartbeatInterval) {
		r.sendHeartbeats(time.Now())
		for table, f := range r.followers {
			if f.Outage(time.Now()) < fallbackDelay {
				continue
			}
			position, _ := f.Position()
			for _, l := range r.randomLinks(sourceCount) {
				l.Send(snapshotRequest{Table: table, Position: position})
			}
		}
	}
}

// randomLinks returns up to n links in random order.
func (r *replicator) randomLinks(n int) []*guavamesh.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*guavamesh.Link, 0, len(r.links))
	for l := range r.links {
		list = append(list, l)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

package guavajobs

import (
	"context"
	"slices"
	"time"

	"guavaridge/core/guavamember"
)

const (
	// pollInterval is the interval of checks for jobs without a running owner.
	pollInterval = 250 * time.Millisecond
	// ownerTimeout is how long an owner must be unreachable before its jobs are taken over.
	ownerTimeout = 1800 * time.Millisecond
	// takeoverStagger is the additional wait per takeover rank, so that a VM takes over a job only if the VMs with a
	// lower rank have not.
	takeoverStagger = 800 * time.Millisecond
	// firstWatchers is the number of VMs, those with the lowest takeover ranks, that always watch the owner of a job.
	// The others start when the job's row has not changed for unchangedTimeout, since the owner and the first watchers
	// may have failed together.
	firstWatchers    = 2
	unchangedTimeout = 8 * time.Second
	// takeoverTimeout bounds a takeover, including the read of the items.
	takeoverTimeout = 5 * time.Second
)

// Run takes over jobs without a running owner, and deletes closed jobs after their retention, until ctx ends. It calls
// watch with the owners to keep links to, whenever they change.
func (l *Jobs) Run(ctx context.Context, watch func(owners []string)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var last []string
	for {
		if owners := l.checkOwners(ctx); !slices.Equal(owners, last) {
			last = owners
			watch(owners)
		}
		l.sweep(ctx, time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkOwners starts taking over the abandoned jobs that are due to this VM at its takeover rank. It returns the
// owners that this VM watches.
func (l *Jobs) checkOwners(ctx context.Context) []string {
	now := time.Now()
	owners := map[string]bool{}
	open := map[string]bool{}
	if l.Config() == nil {
		return nil // without a configuration, items have no route
	}
	for _, e := range l.index.open() {
		open[e.job.ID] = true
		if l.isRunning(e.job.ID) {
			continue
		}
		rank := l.takeoverRank(e.job.ID, e.job.Owner)
		watching := rank < firstWatchers || now.Sub(l.unchangedSince(now, e)) > unchangedTimeout
		if watching && e.job.Owner != "" && e.job.Owner != l.Self.Name {
			owners[e.job.Owner] = true
		}
		if l.isAbandoned(now, e, rank, watching) {
			l.mu.Lock()
			l.unreachableSince[e.job.ID] = now // a retry waits for the full time once more
			l.mu.Unlock()
			l.running.Go(func() { l.takeOver(ctx, e) })
		}
	}
	l.mu.Lock()
	for id := range l.unreachableSince {
		if !open[id] {
			delete(l.unreachableSince, id)
		}
	}
	for id := range l.rowVersions {
		if !open[id] {
			delete(l.rowVersions, id)
		}
	}
	for key := range l.ranks {
		if !open[key.job] {
			delete(l.ranks, key)
		}
	}
	l.mu.Unlock()
	list := make([]string, 0, len(owners))
	for vm := range owners {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

// isRunning reports whether this VM runs the job. It is true for every job while this VM drains, which excludes
// takeovers.
func (l *Jobs) isRunning(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing || l.runners[id] != nil
}

// rowVersion is when the row of a job was first seen at a revision.
type rowVersion struct {
	revision  uint64
	firstSeen time.Time
}

// unchangedSince returns when this VM first saw the job's row at its current revision.
func (l *Jobs) unchangedSince(now time.Time, e entry) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.rowVersions[e.job.ID]
	if !ok || c.revision != e.revision {
		c = rowVersion{revision: e.revision, firstSeen: now}
		l.rowVersions[e.job.ID] = c
	}
	return c.firstSeen
}

// rankKey identifies the takeover rank of this VM for a job of an owner.
type rankKey struct{ job, owner string }

// takeoverRank returns this VM's rank among the VMs that may take over a job; 0 is the first to do so. Ranks are cached
// until the list of VMs changes, since every VM checks every open job several times a second.
func (l *Jobs) takeoverRank(id, owner string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.vms[l.Self.Name]; !ok || owner == l.Self.Name {
		return len(l.vms)
	}
	key := rankKey{job: id, owner: owner}
	rank, ok := l.ranks[key]
	if !ok {
		rank = guavamember.Position("job/"+id, l.Self.Name, owner, l.vmList)
		l.ranks[key] = rank
	}
	return rank
}

// isAbandoned reports whether the owner of a job has failed and this VM, at its takeover rank, is to take the job over.
func (l *Jobs) isAbandoned(now time.Time, e entry, rank int, watching bool) bool {
	j := e.job
	l.mu.Lock()
	owner, listed := l.vms[j.Owner]
	since, missing := l.unreachableSince[j.ID]
	l.mu.Unlock()
	if j.Owner == l.Self.Name {
		if j.Incarnation != l.Self.Incarnation {
			// The owner is an earlier process of this VM. Its successor takes over at once.
			return !missing || now.Sub(since) > ownerTimeout
		}
		// This VM owns the job without running it: the response to its write was lost, or an earlier run had not ended.
		rank = 0
	}
	wait := time.Duration(rank) * takeoverStagger
	linked := l.Linked(j.Owner)
	switch {
	case j.Owner == "" || linked != 0 && linked != j.Incarnation || listed && owner.Incarnation > j.Incarnation:
		// The job has no owner, or the VM with the owner's name is another process by now.
	case linked != 0:
		l.mu.Lock()
		delete(l.unreachableSince, j.ID)
		l.mu.Unlock()
		return false
	case listed && !watching && j.Owner != l.Self.Name:
		return false // this VM keeps no link to the owner, so a missing link says nothing
	default:
		// An owner that is not listed, or is listed with an earlier incarnation, may have started after the list was
		// read. Incarnations are clock times of the VMs, so an earlier one may also belong to a later process whose
		// clock was set back.
		wait += ownerTimeout
	}
	if !missing {
		l.mu.Lock()
		l.unreachableSince[j.ID] = now
		l.mu.Unlock()
		since = now
	}
	return now.Sub(since) >= wait
}

// takeOver makes this VM the owner of a job and runs it, unless the job's owner is no longer the one in seen.
func (l *Jobs) takeOver(ctx context.Context, seen entry) {
	ctx, stop := context.WithTimeout(ctx, takeoverTimeout)
	defer stop()
	id := seen.job.ID
	e, err := l.read(ctx, id)
	if err != nil || !e.job.IsOpen() || e.job.Owner != seen.job.Owner || e.job.Incarnation != seen.job.Incarnation {
		return
	}
	items, err := l.items(ctx, id)
	if err != nil {
		l.Logger.Warn("job takeover failed", "job", id, "error", err)
		return
	}
	completed, err := l.completedItems(ctx, e.job)
	if err != nil {
		l.Logger.Warn("job takeover failed", "job", id, "error", err)
		return
	}
	saved, err := l.readProgress(ctx, id)
	if err != nil {
		l.Logger.Warn("job takeover failed", "job", id, "error", err)
		return
	}
	next, err := l.write(ctx, e, e.job.WithOwner(l.Self.Name, l.Self.Incarnation))
	if err != nil {
		l.Logger.Warn("job takeover failed", "job", id, "error", err)
		return
	}
	l.Counters.Adopted.Add(1)
	l.Logger.Info("job taken over", "job", id, "from", seen.job.Owner, "listed", len(completed), "saved", len(saved), "total", e.job.Total)
	l.start(next, items, completed, saved)
}

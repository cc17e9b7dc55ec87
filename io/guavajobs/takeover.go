package guavajobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavatakeover"
)

const (
	// pollInterval is the interval of checks for jobs without a running owner.
	pollInterval = 250 * time.Millisecond
	// takeoverTimeout bounds a takeover, including the read of the items.
	takeoverTimeout = 5 * time.Second
)

// Run takes over jobs without a running owner, and deletes closed jobs after their retention, until ctx ends. It calls
// watch with the owners to keep links to, whenever they change.
func (l *Jobs) Run(ctx context.Context, watch func(owners []string)) {
	var deletions sync.WaitGroup
	defer deletions.Wait()
	deletions.Go(func() { l.deleteClosed(ctx) }) // a slow deletion delays no takeover
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var last []string
	for {
		if owners := l.checkOwners(ctx); !slices.Equal(owners, last) {
			last = owners
			watch(owners)
		}
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
		watch := l.watch(now, e)
		watching := watch.WatchesOwner(now, rank)
		if watching && e.job.Owner != "" && e.job.Owner != l.Self.Name {
			owners[e.job.Owner] = true
		}
		watch, abandoned := l.isAbandoned(now, e, watch, rank, watching)
		if abandoned {
			watch = watch.WithAttempt(now)
			l.running.Go(func() { l.takeOver(ctx, e) })
		}
		l.mu.Lock()
		l.watches[e.job.ID] = watch
		l.mu.Unlock()
	}
	l.mu.Lock()
	for id := range l.watches {
		if !open[id] {
			delete(l.watches, id)
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

// watch returns what this VM has seen of the job at its current revision.
func (l *Jobs) watch(now time.Time, e entry) guavatakeover.Watch {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.watches[e.job.ID]
	if !ok || w.Revision() != e.revision {
		return guavatakeover.NewWatch(now, e.revision)
	}
	return w
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

// isAbandoned reports whether the owner of a job has failed and this VM, at its takeover rank, is to take the job over. It
// returns the watch with what it has found.
func (l *Jobs) isAbandoned(
	now time.Time, e entry, w guavatakeover.Watch, rank int, watching bool,
) (guavatakeover.Watch, bool) {
	j := e.job
	l.mu.Lock()
	owner, listed := l.vms[j.Owner]
	l.mu.Unlock()
	if j.Owner == l.Self.Name {
		if j.Incarnation != l.Self.Incarnation {
			// The owner is an earlier process of this VM. Its successor takes over at once.
			return w, w.IsAttemptDue(now)
		}
		// This VM owns the job without running it: the response to its write was lost, or an earlier run had not ended.
		rank = 0
	}
	linked := l.Linked(j.Owner)
	switch {
	case j.Owner == "" || linked != 0 && linked != j.Incarnation || listed && owner.Incarnation > j.Incarnation:
		w = w.WithMissing(now)
		return w, w.IsDue(now, rank, true)
	case linked != 0:
		return w.WithLink(now), false
	case listed && !watching && j.Owner != l.Self.Name:
		return w, false // this VM keeps no link to the owner, so a missing link says nothing
	}
	// An owner that is not listed, or is listed with an earlier incarnation, may have started after the list was read.
	// Incarnations are clock times of the VMs, so an earlier one may also belong to a later process whose clock was set
	// back.
	w = w.WithMissing(now)
	return w, w.IsDue(now, rank, false)
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

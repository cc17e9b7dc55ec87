package guavajobs

import (
	"context"
	"slices"
	"time"

	"guavaridge/core/guavamember"
)

const (
	// lookTime is the pause between looks for jobs that nobody runs.
	lookTime = 250 * time.Millisecond
	// absentTime is how long an owner must be out of reach until its jobs are taken over.
	absentTime = 1800 * time.Millisecond
	// turnTime is how long the next VM in line leaves a job to the one before it.
	turnTime = 800 * time.Millisecond
	// watchers is the number of VMs, the first in line, that watch the owner of a job from the start. The others do so when
	// the job's row has not changed for idleTime: then the owner and the first in line may be gone together.
	watchers = 2
	idleTime = 8 * time.Second
	// adoptTime bounds a take-over, with the reading of the items.
	adoptTime = 5 * time.Second
)

// Run takes over jobs that nobody runs, until ctx ends. Watch is called with the VMs that should be linked for that.
func (l *Jobs) Run(ctx context.Context, watch func(owners []string)) {
	tick := time.NewTicker(lookTime)
	defer tick.Stop()
	var last []string
	for {
		if owners := l.look(ctx); !slices.Equal(owners, last) {
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

// look takes over what falls to this VM and returns the owners that it watches.
func (l *Jobs) look(ctx context.Context) []string {
	now := time.Now()
	owners := map[string]bool{}
	open := map[string]bool{}
	if l.Config() == nil {
		return nil // a VM that has just started does not know yet where items go
	}
	for _, e := range l.board.open() {
		open[e.job.ID] = true
		if l.runs(e.job.ID) {
			continue
		}
		turn := l.line(e.job.ID, e.job.Owner)
		watching := turn < watchers || now.Sub(l.unchanged(now, e)) > idleTime
		if watching && e.job.Owner != "" && e.job.Owner != l.Self.Name {
			owners[e.job.Owner] = true
		}
		if l.isAbandoned(now, e, turn, watching) {
			l.mu.Lock()
			l.absent[e.job.ID] = now // the next try comes after another absence
			l.mu.Unlock()
			l.running.Go(func() { l.adopt(ctx, e) })
		}
	}
	l.mu.Lock()
	for id := range l.absent {
		if !open[id] {
			delete(l.absent, id)
		}
	}
	for id := range l.changes {
		if !open[id] {
			delete(l.changes, id)
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

// runs reports whether this VM runs a job, or runs none any more.
func (l *Jobs) runs(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing || l.runners[id] != nil
}

// change is when the row of a job was first seen at a revision.
type change struct {
	revision uint64
	seen     time.Time
}

// unchanged returns since when the row of a job has been as it is.
func (l *Jobs) unchanged(now time.Time, e entry) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.changes[e.job.ID]
	if !ok || c.revision != e.revision {
		c = change{revision: e.revision, seen: now}
		l.changes[e.job.ID] = c
	}
	return c.seen
}

// line returns this VM's place in the line of those that take over a job.
func (l *Jobs) line(id, owner string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]guavamember.Identity, 0, len(l.vms))
	for _, v := range l.vms {
		if v.Name != owner {
			list = append(list, v)
		}
	}
	ranked := guavamember.Rank("job/"+id, list)
	turn := slices.IndexFunc(ranked, func(v guavamember.Identity) bool { return v.Name == l.Self.Name })
	if turn < 0 {
		return len(ranked)
	}
	return turn
}

// isAbandoned reports whether the owner of a job is gone and this VM's turn has come.
func (l *Jobs) isAbandoned(now time.Time, e entry, turn int, watching bool) bool {
	j := e.job
	l.mu.Lock()
	owner, listed := l.vms[j.Owner]
	since, missing := l.absent[j.ID]
	l.mu.Unlock()
	if j.Owner == l.Self.Name {
		if j.Incarnation != l.Self.Incarnation {
			// An earlier process of this VM; its successor is first in line.
			return !missing || now.Sub(since) > absentTime
		}
		// The row was written without this VM knowing in time: the answer was lost, or an earlier run had not ended yet.
		turn = 0
	}
	wait := time.Duration(turn) * turnTime
	linked := l.Linked(j.Owner)
	switch {
	case j.Owner == "" || linked != 0 && linked != j.Incarnation || listed && owner.Incarnation > j.Incarnation:
		// Nobody runs it, or the owner's name belongs to another process by now.
	case linked != 0:
		l.mu.Lock()
		delete(l.absent, j.ID)
		l.mu.Unlock()
		return false
	case listed && !watching && j.Owner != l.Self.Name:
		return false // without a link to the owner, nothing is known of it
	default:
		// An owner that is not listed, or with an earlier incarnation, may be newer than the list. Incarnations are times of
		// the VMs' clocks, so one that is earlier may also belong to a process after a step of the clock.
		wait += absentTime
	}
	if !missing {
		l.mu.Lock()
		l.absent[j.ID] = now
		l.mu.Unlock()
		since = now
	}
	return now.Sub(since) >= wait
}

// adopt takes over a job.
func (l *Jobs) adopt(ctx context.Context, seen entry) {
	ctx, stop := context.WithTimeout(ctx, adoptTime)
	defer stop()
	id := seen.job.ID
	e, err := l.read(ctx, id)
	if err != nil || !e.job.IsOpen() || e.job.Owner != seen.job.Owner || e.job.Incarnation != seen.job.Incarnation {
		return
	}
	items, err := l.items(ctx, id)
	if err != nil {
		l.Logger.Warn("job not taken over", "job", id, "error", err)
		return
	}
	listed, err := l.listed(ctx, e.job)
	if err != nil {
		l.Logger.Warn("job not taken over", "job", id, "error", err)
		return
	}
	saved, err := l.saved(ctx, id)
	if err != nil {
		l.Logger.Warn("job not taken over", "job", id, "error", err)
		return
	}
	next, err := l.write(ctx, e, e.job.WithOwner(l.Self.Name, l.Self.Incarnation))
	if err != nil {
		l.Logger.Warn("job not taken over", "job", id, "error", err)
		return
	}
	l.Counters.Adopted.Add(1)
	l.Logger.Info("job taken over", "job", id, "from", seen.job.Owner, "listed", len(listed), "saved", len(saved), "total", e.job.Total)
	l.begin(next, items, listed, saved)
}

package guavabatch

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// jobIndex holds the unfinished jobs, as last read by the claim loop.
type jobIndex struct {
	jobs    map[string]*indexEntry
	chooser *guavajob.Chooser
	leases  *guavajob.LeaseMonitor
	readAt  time.Time
}

// indexEntry is an unfinished job.
type indexEntry struct {
	active
	key         string
	revision    uint64
	finalChunks int       // chunks below this number are final
	claimAfter  time.Time // earliest time of the next claim
	visitAt     time.Time // time of the next visit; zero for none
	removed     bool      // not found by the latest read of the table
}

func newJobIndex() *jobIndex {
	return &jobIndex{jobs: make(map[string]*indexEntry), chooser: guavajob.NewChooser(), leases: guavajob.NewLeaseMonitor()}
}

// readActive reads the rows of all unfinished jobs.
func (r *Runner) readActive(ctx context.Context) {
	const prefix = "active/"
	r.index.readAt = time.Now()
	for _, e := range r.index.jobs {
		e.removed = true
	}
	for after := prefix; ; {
		cctx, done := context.WithTimeout(ctx, callTimeout)
		rows, err := r.store.table.Scan(cctx, prefix, after, pageRows)
		done()
		if err != nil {
			r.log.Debug("read unfinished jobs", "error", err)
			return
		}
		for _, row := range rows {
			after = row.Key
			var a active
			if err := json.Unmarshal(row.Value, &a); err != nil {
				r.log.Error("decode unfinished job", "key", row.Key, "error", err)
				continue
			}
			e := r.index.jobs[a.Job]
			if e == nil {
				e = &indexEntry{}
				r.index.jobs[a.Job] = e
			}
			e.active, e.key, e.revision, e.removed = a, row.Key, row.Revision, false
		}
		if len(rows) < pageRows {
			break
		}
	}
	for id, e := range r.index.jobs {
		if e.removed {
			delete(r.index.jobs, id)
		}
	}
	r.index.leases.Prune(r.index.readAt)
}

// visitOne visits one random job, so that a job whose last owner failed is finished by another VM, at a cost that does
// not grow with the number of jobs.
func (r *Runner) visitOne(ctx context.Context) {
	if ids := slices.Sorted(maps.Keys(r.index.jobs)); len(ids) > 0 {
		r.visit(ctx, r.index.jobs[ids[r.random.IntN(len(ids))]])
	}
}

// visitDue visits the jobs whose chunks this VM finished, those whose visit is scheduled and those past their deadline.
func (r *Runner) visitDue(ctx context.Context) {
	r.mu.Lock()
	checks := r.recheck
	r.recheck = make(map[string]struct{})
	r.mu.Unlock()
	now := time.Now()
	for id, e := range r.index.jobs {
		_, check := checks[id]
		if check || (!e.visitAt.IsZero() && !now.Before(e.visitAt)) || (e.State == guavajob.JobRunning && now.UnixMilli() >= e.Deadline) {
			r.visit(ctx, e)
		}
	}
}

// visit scans a job's chunks and finishes the job when no work remains. It returns the claimable chunks.
func (r *Runner) visit(ctx context.Context, e *indexEntry) []chunkRow {
	ctx, done := context.WithTimeout(ctx, 4*callTimeout)
	defer done()
	now := time.Now()
	e.visitAt = time.Time{}
	if e.State == guavajob.JobRunning && now.UnixMilli() >= e.Deadline && !r.expire(ctx, e) {
		return nil
	}
	claimable, busy, err := r.scanChunks(ctx, e, now)
	if err != nil {
		r.log.Debug("scan chunks", "job", e.Job, "error", err)
		return nil
	}
	stopped := e.State != guavajob.JobRunning
	switch {
	case stopped && !busy, e.finalChunks == len(e.Plan):
		if err := r.finishJob(ctx, e); err != nil {
			e.visitAt = now.Add(claimInterval)
			if !unavailable(err) && !errors.Is(err, guavaplatform.ErrConflict) {
				r.log.Error("finish job", "job", e.Job, "error", err)
			}
			r.index.readAt = time.Time{}
		}
	case stopped:
		e.visitAt = now.Add(claimInterval)
	case busy:
		e.visitAt = now.Add(guavajob.LeaseDuration)
	}
	if stopped {
		return nil
	}
	return claimable
}

// scanChunks scans a job from its first chunk that is not final. It returns up to claimWindow claimable chunks whose
// kind of items is in demand, and whether any chunk is claimed. In a cancelled or expired job it aborts the chunks
// whose lease has expired.
func (r *Runner) scanChunks(ctx context.Context, e *indexEntry, now time.Time) (claimable []chunkRow, busy bool, err error) {
	demand := r.demand()
	route, _ := r.snapshot().Route(e.Path)
	add := func(c chunkRow) {
		if len(claimable) < claimWindow && demand[itemKind{route.Service, e.Models[e.Plan[c.n]-'a']}] > 0 {
			claimable = append(claimable, c)
		}
	}
	next, prefix := e.finalChunks, true
	err = r.store.chunks(ctx, e.Job, e.finalChunks, func(c chunkRow) bool {
		for ; next < c.n; next++ {
			prefix = false
			add(chunkRow{n: next})
		}
		next = c.n + 1
		switch {
		case c.chunk.State.Final():
			if prefix {
				e.finalChunks = next
			}
			return true
		case c.chunk.State == guavajob.ChunkClaimed:
			busy = true
			if r.owns(chunkKey(e.Job, c.n)) {
				break
			}
			if !r.index.leases.Expired(chunkKey(e.Job, c.n), c.revision, now) {
				break
			}
			if e.State != guavajob.JobRunning {
				r.abort(ctx, e, c)
				break
			}
			add(c)
		default:
			add(c)
		}
		prefix = false
		return len(claimable) < claimWindow || e.State != guavajob.JobRunning
	})
	for ; err == nil && next < len(e.Plan) && len(claimable) < claimWindow; next++ {
		add(chunkRow{n: next})
	}
	return claimable, busy, err
}

// owns reports whether this VM works on a chunk, even if it could not renew the lease in time.
func (r *Runner) owns(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owned[key] != nil
}

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

// board is what the claim loop knows about unfinished jobs.
type board struct {
	jobs    map[string]*entry
	chooser *guavajob.Chooser
	watch   *guavajob.LeaseMonitor
	read    time.Time
}

// entry is an unfinished job.
type entry struct {
	active
	key      string
	revision uint64
	mark     int       // all chunks below are final
	again    time.Time // earliest next scan
	due      time.Time // a scan is wanted at this time; zero for none
	gone     bool      // no longer in the table
}

func newBoard() *board {
	return &board{jobs: make(map[string]*entry), chooser: guavajob.NewChooser(), watch: guavajob.NewLeaseMonitor()}
}

// readActive reads the rows of all unfinished jobs.
func (r *Runner) readActive(ctx context.Context) {
	const prefix = "active/"
	r.board.read = time.Now()
	for _, e := range r.board.jobs {
		e.gone = true
	}
	for after := prefix; ; {
		cctx, done := context.WithTimeout(ctx, callTime)
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
			e := r.board.jobs[a.Job]
			if e == nil {
				e = &entry{}
				r.board.jobs[a.Job] = e
			}
			e.active, e.key, e.revision, e.gone = a, row.Key, row.Revision, false
		}
		if len(rows) < pageRows {
			break
		}
	}
	for id, e := range r.board.jobs {
		if e.gone {
			delete(r.board.jobs, id)
		}
	}
	r.board.watch.Prune(r.board.read)
}

// visitOne looks at one job at random, so that a job whose last owner died is finished by another VM, at a cost that
// does not grow with the number of jobs.
func (r *Runner) visitOne(ctx context.Context) {
	if ids := slices.Sorted(maps.Keys(r.board.jobs)); len(ids) > 0 {
		r.visit(ctx, r.board.jobs[ids[r.random.IntN(len(ids))]])
	}
}

// visitChecked looks at the jobs whose chunks this VM finished, and at those it wants to see again.
func (r *Runner) visitChecked(ctx context.Context) {
	r.mu.Lock()
	checks := r.checks
	r.checks = make(map[string]struct{})
	r.mu.Unlock()
	now := time.Now()
	for id, e := range r.board.jobs {
		_, check := checks[id]
		if check || (!e.due.IsZero() && !now.Before(e.due)) || (e.State == guavajob.JobRunning && now.UnixMilli() >= e.Deadline) {
			r.visit(ctx, e)
		}
	}
}

// visit scans a job's chunks and ends the job when nothing of it is left to do. It returns the claimable chunks.
func (r *Runner) visit(ctx context.Context, e *entry) []chunkRow {
	ctx, done := context.WithTimeout(ctx, 4*callTime)
	defer done()
	now := time.Now()
	e.due = time.Time{}
	if e.State == guavajob.JobRunning && now.UnixMilli() >= e.Deadline && !r.expire(ctx, e) {
		return nil
	}
	open, busy, err := r.look(ctx, e, now)
	if err != nil {
		r.log.Debug("scan chunks", "job", e.Job, "error", err)
		return nil
	}
	stopped := e.State != guavajob.JobRunning
	switch {
	case stopped && !busy, e.mark == len(e.Plan):
		if err := r.finishJob(ctx, e); err != nil {
			e.due = now.Add(claimEvery)
			if !unavailable(err) && !errors.Is(err, guavaplatform.ErrConflict) {
				r.log.Error("finish job", "job", e.Job, "error", err)
			}
			r.board.read = time.Time{}
		}
	case stopped:
		e.due = now.Add(claimEvery)
	case busy:
		e.due = now.Add(guavajob.LeaseDuration)
	}
	if stopped {
		return nil
	}
	return open
}

// look scans a job from its first chunk that is not final. It returns chunks of kinds that lack items and can be claimed, and
// whether another owner holds one. In a cancelled or expired job it ends the chunks of owners that were lost.
func (r *Runner) look(ctx context.Context, e *entry, now time.Time) (open []chunkRow, busy bool, err error) {
	lack := r.lacking()
	route, _ := r.snapshot().Route(e.Path)
	add := func(c chunkRow) {
		if len(open) < claimWindow && lack[kind{route.Service, e.Models[e.Plan[c.n]-'a']}] > 0 {
			open = append(open, c)
		}
	}
	next, prefix := e.mark, true
	err = r.store.chunks(ctx, e.Job, e.mark, func(c chunkRow) bool {
		for ; next < c.n; next++ {
			prefix = false
			add(chunkRow{n: next})
		}
		next = c.n + 1
		switch {
		case c.chunk.State.Final():
			if prefix {
				e.mark = next
			}
			return true
		case c.chunk.State == guavajob.ChunkClaimed:
			busy = true
			if r.holds(chunkKey(e.Job, c.n)) {
				break
			}
			if !r.board.watch.Expired(chunkKey(e.Job, c.n), c.revision, now) {
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
		return len(open) < claimWindow || e.State != guavajob.JobRunning
	})
	for ; err == nil && next < len(e.Plan) && len(open) < claimWindow; next++ {
		add(chunkRow{n: next})
	}
	return open, busy, err
}

// holds reports whether this VM works on a chunk, also when it could not renew the lease for long.
func (r *Runner) holds(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[key] != nil
}

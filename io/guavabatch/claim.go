package guavabatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

const (
	// claimWindow is the number of chunks among which a VM chooses at random. It keeps VMs that claim from the same job
	// at the same time from colliding.
	claimWindow = 16
	// claimEvery is the shortest interval between two scans of the same job's chunks.
	claimEvery = time.Second
)

// claimLoop claims chunks while granted servers lack items, and finishes jobs.
func (r *Runner) claimLoop(ctx context.Context) error {
	for {
		now := time.Now()
		if r.fresh.Swap(false) || now.Sub(r.board.read) >= r.poll {
			r.readActive(ctx)
			r.visitOne(ctx)
		}
		r.visitChecked(ctx)
		if r.claimNext(ctx) && ctx.Err() == nil {
			continue
		}
		t := time.NewTimer(min(r.poll, claimEvery))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-r.need:
		case <-t.C:
		}
		t.Stop()
	}
}

// kind is a sort of item by the servers that run it.
type kind struct{ service, model string }

// lacking returns, for each kind of item, the streams that are granted and lack items.
func (r *Runner) lacking() map[kind]int {
	snapshot := r.snapshot()
	lack := make(map[kind]int)
	for _, g := range r.grants.Grants() {
		server, ok := snapshot.Server(g.Server)
		if !ok || g.Streams == 0 || server.Leaving {
			continue
		}
		if server.Service != "" {
			lack[kind{service: server.Service}] += g.Streams
			continue
		}
		for _, m := range server.Models {
			lack[kind{model: m}] += g.Streams
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.held) >= r.chunks || r.closing {
		return nil
	}
	for _, h := range r.held {
		if h.halt == "" {
			lack[kind{h.route.Service, h.model}] -= len(h.pending)
		}
	}
	return lack
}

// claimNext claims one chunk of the job whose turn it is and reports whether it did.
func (r *Runner) claimNext(ctx context.Context) bool {
	lack := r.lacking()
	snapshot := r.snapshot()
	now := time.Now()
	var entries []*entry
	var candidates []guavajob.Candidate
	for _, e := range r.board.jobs {
		if e.State != guavajob.JobRunning || now.Before(e.again) || e.mark >= len(e.Plan) || now.UnixMilli() >= e.Deadline {
			continue
		}
		route, ok := snapshot.Route(e.Path)
		if !ok || !feeds(lack, route, e.Models) {
			continue
		}
		account, _ := snapshot.Account(e.Account)
		entries = append(entries, e)
		candidates = append(candidates, guavajob.Candidate{
			Job: e.Job, Account: e.Account, Weight: account.Weight, Deadline: time.UnixMilli(e.Deadline),
			Left: e.Items * (len(e.Plan) - e.mark) / len(e.Plan),
		})
	}
	i := r.board.chooser.Next(candidates, now)
	if i < 0 {
		return false
	}
	e := entries[i]
	open := r.visit(ctx, e)
	if len(open) == 0 {
		e.again = now.Add(claimEvery)
		return len(candidates) > 1
	}
	c := open[r.random.IntN(len(open))]
	n, err := r.claim(ctx, e, c)
	if err != nil {
		if errors.Is(err, guavaplatform.ErrConflict) {
			// Another VM was first, or the job was cancelled.
			r.board.read = time.Time{}
			e.again = now.Add(time.Duration(r.random.Int64N(int64(claimEvery))))
		}
		return false
	}
	r.board.chooser.Charge(e.Account, n, now)
	return true
}

func feeds(lack map[kind]int, route guavaconfig.Route, models []string) bool {
	for _, m := range models {
		if lack[kind{route.Service, m}] > 0 {
			return true
		}
	}
	return false
}

// claim takes a chunk under a new epoch and starts its items. The commit also checks the job's active row, which a
// cancellation changes.
func (r *Runner) claim(ctx context.Context, e *entry, c chunkRow) (items int, err error) {
	ctx, done := context.WithTimeout(ctx, 2*callTime)
	defer done()
	now, operation := time.Now(), newID("")
	next, err := c.chunk.WithClaim(r.owner, now, operation)
	if err != nil {
		return 0, err
	}
	route, ok := r.snapshot().Route(e.Path)
	if !ok {
		return 0, errors.Newf("no route leads to %s", e.Path)
	}
	h := &hold{
		key: chunkKey(e.Job, c.n), job: e.active, n: c.n, model: e.Models[e.Plan[c.n]-'a'], route: route,
		rowMu: newLock(), chunk: next, epoch: next.Epoch, renewed: now, until: now.Add(guavajob.LeaseDuration - guavajob.LeaseMargin),
	}
	err = r.store.commit(ctx,
		[]guavaplatform.Check{{Key: h.key, Revision: c.revision}, {Key: e.key, Revision: e.revision}},
		[]guavaplatform.Write{{Key: h.key, Value: marshal(next)}}, h.key, operation)
	if err != nil {
		return 0, errors.Newf("claim %s: %w", h.key, err)
	}
	r.claimed.Add(1)
	if err := persist(ctx, func() error { return r.load(ctx, h) }); err != nil {
		return 0, errors.Newf("load %s: %w", h.key, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[h.key] = h
	r.turn++
	h.turn = r.turn
	if _, ok := r.cancelled[h.job.Job]; ok {
		r.stop(h, guavajob.ItemCancel)
	}
	r.finish(h)
	signal(r.wake)
	return len(h.items), nil
}

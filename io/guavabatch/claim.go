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
	// claimWindow is the number of chunks among which a VM chooses at random, which reduces conflicts between VMs that
	// claim from the same job at the same time.
	claimWindow = 16
	// claimInterval is the minimum interval between two scans of the same job's chunks.
	claimInterval = time.Second
)

// claimLoop claims chunks while granted streams are without items, and finishes jobs.
func (r *Runner) claimLoop(ctx context.Context) error {
	for {
		now := time.Now()
		if r.jobSubmitted.Swap(false) || now.Sub(r.index.readAt) >= r.pollInterval {
			r.readActive(ctx)
			r.visitOne(ctx)
		}
		r.visitDue(ctx)
		if r.claimNext(ctx) && ctx.Err() == nil {
			continue
		}
		t := time.NewTimer(min(r.pollInterval, claimInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-r.wakeClaim:
		case <-t.C:
		}
		t.Stop()
	}
}

// itemKind identifies the servers that can run an item: those of a service, or those that serve a model.
type itemKind struct{ service, model string }

// demand returns the number of granted streams without a pending item, per kind of item.
func (r *Runner) demand() map[itemKind]int {
	snapshot := r.snapshot()
	demand := make(map[itemKind]int)
	for _, g := range r.grants.Grants() {
		server, ok := snapshot.Server(g.Server)
		if !ok || g.Streams == 0 || server.Leaving {
			continue
		}
		if server.Service != "" {
			demand[itemKind{service: server.Service}] += g.Streams
			continue
		}
		for _, m := range server.Models {
			demand[itemKind{model: m}] += g.Streams
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.owned) >= r.maxChunks || r.draining {
		return nil
	}
	for _, h := range r.owned {
		if h.stopEvent == "" {
			demand[itemKind{h.route.Service, h.model}] -= len(h.pending)
		}
	}
	return demand
}

// claimNext claims one chunk of the job that the chooser selects. It reports whether the claim loop should try to claim
// again at once.
func (r *Runner) claimNext(ctx context.Context) bool {
	demand := r.demand()
	snapshot := r.snapshot()
	now := time.Now()
	var entries []*indexEntry
	var candidates []guavajob.Candidate
	for _, e := range r.index.jobs {
		if e.State != guavajob.JobRunning || now.Before(e.claimAfter) || e.finalChunks >= len(e.Plan) || now.UnixMilli() >= e.Deadline {
			continue
		}
		route, ok := snapshot.Route(e.Path)
		if !ok || !inDemand(demand, route, e.Models) {
			continue
		}
		account, _ := snapshot.Account(e.Account)
		entries = append(entries, e)
		candidates = append(candidates, guavajob.Candidate{
			Job: e.Job, Account: e.Account, Weight: account.Weight, Deadline: time.UnixMilli(e.Deadline),
			Left: e.Items * (len(e.Plan) - e.finalChunks) / len(e.Plan),
		})
	}
	i := r.index.chooser.Next(candidates, now)
	if i < 0 {
		return false
	}
	e := entries[i]
	claimable := r.visit(ctx, e)
	if len(claimable) == 0 {
		e.claimAfter = now.Add(claimInterval)
		return len(candidates) > 1
	}
	c := claimable[r.random.IntN(len(claimable))]
	n, err := r.claim(ctx, e, c)
	if err != nil {
		if errors.Is(err, guavaplatform.ErrConflict) {
			// Another VM claimed the chunk first, or the job was cancelled.
			r.index.readAt = time.Time{}
			e.claimAfter = now.Add(time.Duration(r.random.Int64N(int64(claimInterval))))
		}
		return false
	}
	r.index.chooser.Charge(e.Account, n, now)
	return true
}

func inDemand(demand map[itemKind]int, route guavaconfig.Route, models []string) bool {
	for _, m := range models {
		if demand[itemKind{route.Service, m}] > 0 {
			return true
		}
	}
	return false
}

// claim claims a chunk under a new epoch and queues its items. The commit also checks the job's active row, which a
// cancellation changes.
func (r *Runner) claim(ctx context.Context, e *indexEntry, c chunkRow) (items int, err error) {
	ctx, done := context.WithTimeout(ctx, 2*callTimeout)
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
	h := &ownedChunk{
		key: chunkKey(e.Job, c.n), job: e.active, n: c.n, model: e.Models[e.Plan[c.n]-'a'], route: route,
		rowMu: newLock(), row: next, epoch: next.Epoch, renewed: now, sendUntil: now.Add(guavajob.LeaseDuration - guavajob.LeaseMargin),
	}
	err = r.store.commit(ctx,
		[]guavaplatform.Check{{Key: h.key, Revision: c.revision}, {Key: e.key, Revision: e.revision}},
		[]guavaplatform.Write{{Key: h.key, Value: marshal(next)}}, h.key, operation)
	if err != nil {
		return 0, errors.Newf("claim %s: %w", h.key, err)
	}
	r.claimed.Add(1)
	if err := retryUnavailable(ctx, func() error { return r.load(ctx, h) }); err != nil {
		return 0, errors.Newf("load %s: %w", h.key, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owned[h.key] = h
	r.claimSeq++
	h.claimSeq = r.claimSeq
	if _, ok := r.cancelled[h.job.Job]; ok {
		r.stopChunk(h, guavajob.ItemCancel)
	}
	r.submitIfFinal(h)
	signal(r.wakeSchedule)
	return len(h.items), nil
}

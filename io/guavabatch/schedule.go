package guavabatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// unservableTimeout is how long a VM keeps a chunk without a granted server that can run its items. Grants move between
// VMs when the membership changes, which settles within a few intervals of the grant exchange.
const unservableTimeout = 10 * time.Second

// scheduleInterval is the maximum time between two runs of schedule. Grants that grow with time and expired deadlines
// are noticed at this granularity.
const scheduleInterval = 200 * time.Millisecond

// scheduleLoop starts and cancels streams whenever grants, items or leases change.
func (r *Runner) scheduleLoop(ctx, work context.Context) error {
	for {
		changed := r.grants.Changed()
		next := r.schedule(work, time.Now())
		t := time.NewTimer(max(next, time.Millisecond))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-changed:
		case <-r.wakeSchedule:
		case <-t.C:
		}
		t.Stop()
	}
}

// schedule cancels streams above the grants and starts items below them. It returns the time until the next retry is
// ready, at most scheduleInterval.
func (r *Runner) schedule(ctx context.Context, now time.Time) time.Duration {
	grants := r.grants.Grants()
	snapshot := r.snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	granted := make(map[string]int, len(grants))
	for _, g := range grants {
		granted[g.Server] = g.Streams
	}
	for server := range r.streams {
		r.yield(server, granted[server])
	}
	for _, h := range r.owned {
		if !time.UnixMilli(h.job.Deadline).After(now) {
			r.stopChunk(h, guavajob.ItemExpire)
		}
	}
	if r.draining {
		return scheduleInterval
	}
	chunks := r.sendable(now)
	r.reportUrgency(chunks, grants, snapshot, now)
	r.reserve(chunks, grants, snapshot, now)
	r.releaseUnservable(ctx, chunks, grants, snapshot, now)
	next := scheduleInterval
	for _, g := range grants {
		server, ok := snapshot.Server(g.Server)
		if !ok || server.Leaving {
			continue
		}
		r.dispatch(ctx, server, g.Streams, chunks, granted, snapshot, now, &next)
	}
	for _, h := range chunks {
		if !h.route.Idempotent {
			r.recordNextGroup(ctx, h)
		}
	}
	signal(r.wakeClaim)
	return next
}

// sendable returns the chunks whose items may be sent, in the order in which they were claimed: the choice among jobs
// is made by the claim, and earlier chunks have few items left when later ones are claimed.
func (r *Runner) sendable(now time.Time) []*ownedChunk {
	chunks := make([]*ownedChunk, 0, len(r.owned))
	for _, h := range r.owned {
		if h.stopEvent == "" && !h.submitting && now.Before(h.sendUntil) {
			chunks = append(chunks, h)
		}
	}
	slices.SortFunc(chunks, func(a, b *ownedChunk) int { return cmp.Compare(a.claimSeq, b.claimSeq) })
	return chunks
}

// releaseUnservable releases chunks whose items no granted server can run any more, because the servers were granted to
// another VM after the claim. Otherwise their leases would be renewed indefinitely without progress.
func (r *Runner) releaseUnservable(
	ctx context.Context, chunks []*ownedChunk, grants []guavafill.Grant, snapshot *guavaconfig.Snapshot, now time.Time,
) {
	for _, h := range chunks {
		serves := func(g guavafill.Grant) bool {
			server, ok := snapshot.Server(g.Server)
			return ok && canServe(server, h.route, h.model)
		}
		// The streams are searched last, as usually a grant exists.
		if h.servableAt.IsZero() || slices.ContainsFunc(grants, serves) || r.hasStreams(h) {
			h.servableAt = now
		}
		if now.Sub(h.servableAt) < unservableTimeout {
			continue
		}
		h.servableAt = now // retry after another unservableTimeout
		r.log.Warn("chunk released: no granted server can run its items", "chunk", h.key)
		r.tasks.Go(func() {
			if err := r.release(ctx, h); err != nil && !errors.Is(err, errNotOwner) {
				r.log.Warn("release chunk", "chunk", h.key, "error", err)
			}
		})
	}
}

// hasStreams reports whether attempts of a chunk are running.
func (r *Runner) hasStreams(h *ownedChunk) bool {
	for _, streams := range r.streams {
		for s := range streams {
			if s.work.chunk == h {
				return true
			}
		}
	}
	return false
}

// reportUrgency reports to the grants the urgency of the owned chunks for each server.
func (r *Runner) reportUrgency(chunks []*ownedChunk, grants []guavafill.Grant, snapshot *guavaconfig.Snapshot, now time.Time) {
	for _, g := range grants {
		server, _ := snapshot.Server(g.Server)
		urgency := 0.0
		for _, h := range chunks {
			if canServe(server, h.route, h.model) {
				urgency = max(urgency, guavajob.Urgency(time.UnixMilli(h.job.Deadline), now))
			}
		}
		r.grants.SetUrgency(g.Server, urgency)
	}
}

// yield cancels streams of a server until at most allowed remain, those with the fewest tokens first, as they cost the
// least to resume. Attempts on non-idempotent routes run to completion.
func (r *Runner) yield(server string, allowed int) {
	var running []*stream
	count := 0
	for s := range r.streams[server] {
		if s.yielded {
			continue
		}
		count++
		if s.work.chunk.route.Idempotent {
			running = append(running, s)
		}
	}
	if count <= allowed {
		return
	}
	slices.SortFunc(running, func(a, b *stream) int {
		if a.tokens.Load() != b.tokens.Load() {
			return int(a.tokens.Load() - b.tokens.Load())
		}
		return b.started.Compare(a.started)
	})
	for _, s := range running[:min(len(running), count-allowed)] {
		s.yielded = true
		s.cancel(errYield)
	}
}

// dispatch starts items on a server until its grant is used.
func (r *Runner) dispatch(
	ctx context.Context, server guavaconfig.BackendServer, grant int, chunks []*ownedChunk, granted map[string]int,
	snapshot *guavaconfig.Snapshot, now time.Time, next *time.Duration,
) {
	if w := r.reserved[server.Name]; w != nil {
		// The server is reserved: the suspect item starts once no other stream runs.
		if w.State == guavajob.ItemSuspect && len(r.streams[server.Name]) == 0 && grant > 0 {
			r.start(ctx, w, server)
		}
		return
	}
	for len(r.streams[server.Name]) < grant {
		w := r.pick(server, chunks, granted, snapshot, now, next)
		if w == nil {
			return
		}
		r.start(ctx, w, server)
	}
}

// pick removes the next item for a server from the pending items of its chunk.
func (r *Runner) pick(
	server guavaconfig.BackendServer, chunks []*ownedChunk, granted map[string]int, snapshot *guavaconfig.Snapshot,
	now time.Time, next *time.Duration,
) *work {
	for _, h := range chunks {
		if !canServe(server, h.route, h.model) {
			continue
		}
		for i, w := range h.pending {
			if !h.route.Idempotent && w.group() >= h.recordedGroups {
				break // its intent is not recorded yet
			}
			if d := w.Ready.Sub(now); d > 0 {
				*next = min(*next, d)
				continue
			}
			if slices.Contains(w.Tried, server.Name) && otherServer(w, granted, snapshot) {
				continue
			}
			h.pending = slices.Delete(h.pending, i, i+1)
			return w
		}
	}
	return nil
}

// canServe reports whether a server can run items of a route and model.
func canServe(server guavaconfig.BackendServer, route guavaconfig.Route, model string) bool {
	if route.Service != "" {
		return server.Service == route.Service
	}
	return server.Service == "" && slices.Contains(server.Models, model)
}

// otherServer reports whether a granted server on which the item was not tried yet can run it.
func otherServer(w *work, granted map[string]int, snapshot *guavaconfig.Snapshot) bool {
	for name, n := range granted {
		server, ok := snapshot.Server(name)
		if ok && n > 0 && !server.Leaving && !slices.Contains(w.Tried, name) && canServe(server, w.chunk.route, w.chunk.model) {
			return true
		}
	}
	return false
}

// reserve reserves servers for suspect items, which run alone. At most half of the servers are reserved, so that the
// other items make progress.
func (r *Runner) reserve(chunks []*ownedChunk, grants []guavafill.Grant, snapshot *guavaconfig.Snapshot, now time.Time) {
	granted := make(map[string]int, len(grants))
	for _, g := range grants {
		granted[g.Server] = g.Streams
	}
	for name, w := range r.reserved {
		if w.State != guavajob.ItemRunningAlone && (granted[name] == 0 || w.State != guavajob.ItemSuspect || w.chunk.dropped) {
			delete(r.reserved, name)
		}
	}
	reserved := make(map[*work]bool, len(r.reserved))
	for _, w := range r.reserved {
		reserved[w] = true
	}
	limit := max(1, len(grants)/2)
	for _, h := range chunks {
		if !h.hasSuspects {
			continue
		}
		for _, w := range h.items {
			if len(r.reserved) >= limit {
				return
			}
			if w.State != guavajob.ItemSuspect || reserved[w] || w.Ready.After(now) {
				continue
			}
			if name := r.leastLoaded(w, granted, snapshot); name != "" {
				r.reserved[name] = w
			}
		}
	}
}

// leastLoaded returns the server with the fewest batch streams that can run a suspect item. Servers on which the item
// was not tried yet are preferred.
func (r *Runner) leastLoaded(w *work, granted map[string]int, snapshot *guavaconfig.Snapshot) string {
	best, bestTried := "", false
	for name, n := range granted {
		server, ok := snapshot.Server(name)
		if !ok || n == 0 || server.Leaving || r.reserved[name] != nil || !canServe(server, w.chunk.route, w.chunk.model) {
			continue
		}
		tried := slices.Contains(w.Tried, name)
		a, b := len(r.streams[name]), len(r.streams[best])
		if best == "" || (bestTried && !tried) || (bestTried == tried && (a < b || (a == b && name < best))) {
			best, bestTried = name, tried
		}
	}
	return best
}

// recordNextGroup records the intents of the next group once all items of the previous group were sent. r.mu is held.
func (r *Runner) recordNextGroup(ctx context.Context, h *ownedChunk) {
	if h.recording || len(h.pending) == 0 || h.pending[0].group() < h.recordedGroups {
		return
	}
	h.recording = true
	group := h.pending[0].group()
	r.task(func() {
		ok := r.recordIntent(ctx, h, group)
		r.mu.Lock()
		h.recording = false
		if ok {
			h.recordedGroups = group + 1
		}
		r.mu.Unlock()
		if ok || sleep(ctx, minBackoff) {
			signal(r.wakeSchedule)
		}
	})
}

// recordIntent writes the intent row of a group and checks the chunk's revision, so that only the owner can write it.
func (r *Runner) recordIntent(ctx context.Context, h *ownedChunk, group int) bool {
	h.rowMu.Lock()
	defer h.rowMu.Unlock()
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	if err := r.verifyOwned(ctx, h); err != nil {
		return false
	}
	key, operation := intentKey(h.job.Job, h.n, group), newID("")
	err := r.store.commit(ctx,
		[]guavaplatform.Check{{Key: key}, {Key: h.key, Revision: h.revision}},
		[]guavaplatform.Write{{Key: key, Value: marshal(intent{Owner: r.owner, Epoch: h.epoch, Operation: operation})}},
		key, operation)
	if err == nil {
		return true
	}
	h.revision = 0 // a conflict means that the row has changed
	// A commit with an unknown outcome may have taken effect: then the row has this owner and epoch.
	if have, _, err := read[intent](ctx, r.store.table, key); err == nil && have.Owner == r.owner && have.Epoch == h.epoch {
		return true
	}
	return false
}

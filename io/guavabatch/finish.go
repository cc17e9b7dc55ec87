package guavabatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// itemEnded updates the counters for an item that has become final. r.mu is held.
func (r *Runner) itemEnded(w *work) {
	h := w.chunk
	h.openItems--
	h.openInGroup[w.group()]--
	if w.failed {
		r.failedItems.Add(1)
	} else {
		r.completed.Add(1)
	}
	if h.openInGroup[w.group()] == 0 && !h.route.Idempotent && h.openItems > 0 && h.stopEvent == "" {
		first := w.group() * groupItems
		ws := h.items[first:min(first+groupItems, len(h.items))]
		name := "progress-" + strconv.Itoa(w.group())
		r.task(func() {
			// Without this object the next owner reports the items of the group as outcome unknown.
			ctx, done := context.WithTimeout(context.Background(), callTimeout)
			defer done()
			if err := r.saveProgress(ctx, h, name, ws); err != nil {
				r.log.Debug("save progress", "chunk", h.key, "error", err)
			}
		})
	}
	r.submitIfFinal(h)
}

// submitIfFinal submits the result of a chunk once all of its items are final. r.mu is held.
func (r *Runner) submitIfFinal(h *ownedChunk) {
	if h.openItems > 0 || h.submitting || h.dropped {
		return
	}
	h.submitting = true
	r.task(func() { r.submit(r.taskContext, h) })
}

// submit writes the result objects and then the chunk's row under its epoch. It retries through an outage of
// the platform: whether the result counts is decided by the commit of the row.
func (r *Runner) submit(ctx context.Context, h *ownedChunk) {
	var results, errs []record
	counts := guavajob.Counts{Total: len(h.items)}
	event := guavajob.ChunkSubmit
	for _, w := range h.items {
		if !w.failed {
			counts.Completed++
			results = append(results, *w.record)
			continue
		}
		errs = append(errs, *w.record)
		if w.State == guavajob.ItemCancelled || w.State == guavajob.ItemExpired {
			event = guavajob.ChunkAbort
		}
		if w.State != guavajob.ItemCancelled {
			counts.Failed++
		}
	}
	resultObject, err := r.putRecords(ctx, h, "results", results)
	if err == nil {
		var errorObject string
		if errorObject, err = r.putRecords(ctx, h, "errors", errs); err == nil {
			err = retryUnavailable(ctx, func() error { return r.writeResult(ctx, h, event, resultObject, errorObject, counts) })
		}
	}
	if err != nil {
		// The lease expires and another owner runs the chunk.
		if !errors.Is(err, errNotOwner) {
			r.log.Error("submit chunk result", "chunk", h.key, "error", err)
		}
		r.mu.Lock()
		h.dropped = true
		delete(r.owned, h.key)
		r.mu.Unlock()
		return
	}
	r.submitted.Add(1)
	r.mu.Lock()
	delete(r.owned, h.key)
	r.recheck[h.job.Job] = struct{}{}
	r.mu.Unlock()
	signal(r.wakeClaim)
}

func (r *Runner) putRecords(ctx context.Context, h *ownedChunk, kind string, records []record) (string, error) {
	if len(records) == 0 {
		return "", nil
	}
	key, data := resultKey(h.job.Job, h.n, h.epoch, kind), encode(records)
	return key, retryUnavailable(ctx, func() error {
		ctx, done := context.WithTimeout(ctx, callTimeout)
		defer done()
		return r.store.put(ctx, key, data)
	})
}

// writeResult makes the result visible if the row has not changed since this owner last wrote it.
func (r *Runner) writeResult(
	ctx context.Context, h *ownedChunk, event guavajob.ChunkEvent, results, errs string, counts guavajob.Counts,
) error {
	h.rowMu.Lock()
	defer h.rowMu.Unlock()
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	if err := r.verifyOwned(ctx, h); err != nil {
		if errors.Is(err, errNotOwner) && r.submittedBefore(ctx, h) {
			return nil
		}
		return err
	}
	operation := newID("")
	next, err := h.row.WithResult(event, results, errs, counts, operation)
	if err != nil {
		return err
	}
	err = r.store.commit(ctx,
		[]guavaplatform.Check{{Key: h.key, Revision: h.revision}},
		[]guavaplatform.Write{{Key: h.key, Value: marshal(next)}}, h.key, operation)
	h.revision = 0 // the row is read again before the next attempt, whatever the outcome
	if errors.Is(err, guavaplatform.ErrConflict) {
		return errors.Newf("chunk row has changed: %w", guavaplatform.ErrUnavailable)
	}
	return err
}

// submittedBefore reports whether the row holds the result of this owner, from a commit whose response was lost.
func (r *Runner) submittedBefore(ctx context.Context, h *ownedChunk) bool {
	c, _, err := read[guavajob.Chunk](ctx, r.store.table, h.key)
	return err == nil && c.State.Final() && c.Owner == r.owner && c.Epoch == h.epoch
}

// drain cancels idempotent streams, waits for the others, saves finished items and releases the chunks.
func (r *Runner) drain(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, drainTimeout)
	defer done()
	r.mu.Lock()
	r.draining = true
	chunks := make([]*ownedChunk, 0, len(r.owned))
	for _, h := range r.owned {
		chunks = append(chunks, h)
	}
	for _, streams := range r.streams {
		for s := range streams {
			if s.work.chunk.route.Idempotent {
				s.cancel(errDraining)
			}
		}
	}
	r.mu.Unlock()
	for r.busy() && sleep(ctx, 10*time.Millisecond) {
	}
	for _, h := range chunks {
		if err := r.release(ctx, h); err != nil && !errors.Is(err, errNotOwner) {
			r.log.Warn("release chunk", "chunk", h.key, "error", err)
		}
	}
}

// busy reports whether streams run or results are being written.
func (r *Runner) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, streams := range r.streams {
		if len(streams) > 0 {
			return true
		}
	}
	for _, h := range r.owned {
		if h.submitting {
			return true
		}
	}
	return false
}

// release saves the finished items of a chunk and releases its lease.
func (r *Runner) release(ctx context.Context, h *ownedChunk) error {
	r.mu.Lock()
	if h.dropped || h.submitting || r.owned[h.key] != h {
		r.mu.Unlock()
		return nil
	}
	h.dropped = true
	delete(r.owned, h.key)
	var finished []*work
	for _, w := range h.items {
		if w.record != nil {
			finished = append(finished, w)
		}
	}
	r.mu.Unlock()
	if len(finished) > 0 {
		if err := r.saveProgress(ctx, h, "progress", finished); err != nil {
			return err
		}
	}
	h.rowMu.Lock()
	defer h.rowMu.Unlock()
	if err := r.verifyOwned(ctx, h); err != nil {
		return err
	}
	operation := newID("")
	next, err := h.row.WithRelease(operation)
	if err != nil {
		return err
	}
	return r.store.commit(ctx,
		[]guavaplatform.Check{{Key: h.key, Revision: h.revision}},
		[]guavaplatform.Write{{Key: h.key, Value: marshal(next)}}, h.key, operation)
}

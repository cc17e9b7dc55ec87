package guavabatch

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// groupItems is the number of items whose intents are recorded in one row.
const groupItems = 100

// ownedChunk is a chunk claimed by this VM. The fields below rowMu are guarded by it, all others by Runner.mu.
type ownedChunk struct {
	key   string
	job   active
	n     int
	model string
	route guavaconfig.Route
	// items are in the order of their lines; pending holds those that wait for an attempt, in the same order.
	items     []*work
	pending   []*work
	openItems int    // items that are not final
	claimSeq  uint64 // sequence number of the claim on this VM
	epoch     uint64
	// sendUntil is the lease expiry less a margin, by the local monotonic clock; no item is sent after it.
	sendUntil time.Time
	// stopEvent is the event that ends unsent items of a cancelled or expired job, or "".
	stopEvent guavajob.ItemEvent
	dropped   bool // released, or owned by another VM
	// hasSuspects is true once an item was in flight during a server crash; only then are the items searched for
	// suspects.
	hasSuspects bool
	// recordedGroups is the number of groups whose intents are recorded; recording is true while the next one is
	// written.
	recordedGroups int
	recording      bool
	openInGroup    []int // items that are not final, per group
	submitting     bool  // the result is being written
	// servableAt is when this VM last had a grant for a server that can run the items, or a running attempt of one.
	servableAt time.Time

	rowMu    lock
	row      guavajob.Chunk
	revision uint64
	renewed  time.Time
}

// work is an item of an owned chunk.
type work struct {
	guavajob.Item
	chunk  *ownedChunk
	input  guavajob.InputItem
	index  int
	record *record
	failed bool
}

func (w *work) group() int { return w.index / groupItems }

// intent is the row that is written before the items of a group on a non-idempotent route are sent. Items of a group
// with an intent may have been executed.
type intent struct {
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	Operation string `json:"operation"`
}

// finishedItem is a finished item, saved for the next owner of the chunk.
type finishedItem struct {
	Index  int    `json:"index"`
	Failed bool   `json:"failed,omitempty"`
	Record record `json:"record"`
}

// load reads the items of a claimed chunk and the progress saved by earlier owners.
func (r *Runner) load(ctx context.Context, h *ownedChunk) error {
	entries, err := r.store.items(ctx, h.job.Job, h.n)
	if err != nil {
		return err
	}
	h.items = make([]*work, len(entries))
	h.openInGroup = make([]int, (len(entries)+groupItems-1)/groupItems)
	for i, e := range entries {
		h.items[i] = &work{Item: guavajob.NewItem(), chunk: h, input: e, index: i}
	}
	if h.epoch > 1 {
		if err := r.restoreProgress(ctx, h); err != nil {
			return err
		}
	}
	for _, w := range h.items {
		if !w.State.Final() {
			h.pending = append(h.pending, w)
			h.openItems++
			h.openInGroup[w.group()]++
		}
	}
	return nil
}

// restoreProgress loads the finished items of earlier owners. Items without a result in a group with recorded intents
// may have been executed and end as outcome unknown.
func (r *Runner) restoreProgress(ctx context.Context, h *ownedChunk) error {
	prefix := chunkKey(h.job.Job, h.n) + "/"
	names, err := r.store.objects.List(ctx, prefix, "", 10*pageRows)
	if err != nil {
		return errors.Newf("list progress: %w", err)
	}
	for _, name := range names {
		if strings.Contains(name[len(prefix):], "/progress") {
			if err := r.readProgress(ctx, h, name); err != nil {
				return err
			}
		}
	}
	if h.route.Idempotent {
		return nil
	}
	rows, err := r.store.table.Scan(ctx, intentPrefix(h.job.Job, h.n), "", pageRows)
	if err != nil {
		return errors.Newf("scan intents: %w", err)
	}
	h.recordedGroups = len(rows)
	for _, w := range h.items {
		if !w.State.Final() && w.group() < h.recordedGroups && w.Transition(guavajob.ItemMarkUnknown) {
			r.recordFailure(w, codeUnknown, "the item may have run; its outcome was lost")
		}
	}
	return nil
}

func (r *Runner) readProgress(ctx context.Context, h *ownedChunk, name string) error {
	o, err := r.store.get(ctx, name)
	if err != nil {
		return err
	}
	defer o.Close()
	d := json.NewDecoder(o)
	for {
		var p finishedItem
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Newf("decode %s: %w", name, err)
		}
		if w := h.items[p.Index]; w.Transition(guavajob.ItemRespond) {
			w.record, w.failed = &p.Record, p.Failed
		}
	}
}

// saveProgress saves the finished items ws for the next owner.
func (r *Runner) saveProgress(ctx context.Context, h *ownedChunk, name string, ws []*work) error {
	var b strings.Builder
	for _, w := range ws {
		b.Write(marshal(finishedItem{Index: w.index, Failed: w.failed, Record: *w.record}))
		b.WriteByte('\n')
	}
	return r.store.put(ctx, resultKey(h.job.Job, h.n, h.epoch, name), []byte(b.String()))
}

// renewLoop renews leases in groups and drops chunks that have another owner.
func (r *Runner) renewLoop(ctx context.Context) error {
	for sleep(ctx, renewInterval) {
		for _, group := range guavajob.Groups(r.lockDue(time.Now()), guavaplatform.MaxWrites) {
			r.renew(ctx, group)
		}
	}
	return ctx.Err()
}

// lockDue locks and returns the chunks whose lease is to be renewed. When one lease is due, slightly younger ones are
// renewed with it, so that the renewals of a VM stay in one commit.
func (r *Runner) lockDue(now time.Time) []*ownedChunk {
	r.mu.Lock()
	chunks := make([]*ownedChunk, 0, len(r.owned))
	for _, h := range r.owned {
		chunks = append(chunks, h)
	}
	r.mu.Unlock()
	locked := chunks[:0]
	due := false
	for _, h := range chunks {
		// A chunk whose row is being written is checked in the next round.
		if !h.rowMu.TryLock() {
			continue
		}
		age := now.Sub(h.renewed)
		if h.row.State != guavajob.ChunkClaimed || age < guavajob.LeaseRenewAfter-guavajob.LeaseMargin/2 {
			h.rowMu.Unlock()
			continue
		}
		due = due || age >= guavajob.LeaseRenewAfter
		locked = append(locked, h)
	}
	if !due {
		for _, h := range locked {
			h.rowMu.Unlock()
		}
		return nil
	}
	return locked
}

// renew renews the leases of locked chunks in one commit and unlocks them.
func (r *Runner) renew(ctx context.Context, group []*ownedChunk) {
	defer func() {
		for _, h := range group {
			h.rowMu.Unlock()
		}
	}()
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	now, operation := time.Now(), newID("")
	checks := make([]guavaplatform.Check, 0, len(group))
	writes := make([]guavaplatform.Write, 0, len(group))
	next := make(map[*ownedChunk]guavajob.Chunk, len(group))
	for _, h := range group {
		if err := r.verifyOwned(ctx, h); err != nil {
			continue
		}
		c, err := h.row.WithRenewal(now, operation)
		if err != nil {
			r.log.Error("renew lease", "chunk", h.key, "error", err)
			continue
		}
		next[h] = c
		checks = append(checks, guavaplatform.Check{Key: h.key, Revision: h.revision})
		writes = append(writes, guavaplatform.Write{Key: h.key, Value: marshal(c)})
	}
	if len(writes) == 0 {
		return
	}
	err := r.store.commit(ctx, checks, writes, writes[0].Key, operation)
	for h, c := range next {
		h.revision = 0
		if err == nil {
			h.row, h.renewed = c, now
			r.extend(h, now)
			r.renewed.Add(1)
		}
	}
}

// verifyOwned ensures that h.revision is the revision of the row as last written by this owner. If the row has another
// owner or epoch, it drops the chunk and returns errNotOwner. h.rowMu is held.
func (r *Runner) verifyOwned(ctx context.Context, h *ownedChunk) error {
	if h.revision != 0 {
		return nil
	}
	c, revision, err := read[guavajob.Chunk](ctx, r.store.table, h.key)
	switch {
	case err != nil && !errors.Is(err, guavaplatform.ErrAbsent):
		return err
	case err != nil, c.Owner != r.owner, c.Epoch != h.epoch, c.State != guavajob.ChunkClaimed:
		r.dropChunk(h)
		return errNotOwner
	}
	h.row, h.revision = c, revision
	return nil
}

// extend sets sendUntil from the start of the commit that claimed or renewed the lease.
func (r *Runner) extend(h *ownedChunk, from time.Time) {
	r.mu.Lock()
	h.sendUntil = from.Add(guavajob.LeaseDuration - guavajob.LeaseMargin)
	r.mu.Unlock()
	signal(r.wakeSchedule)
}

// dropChunk cancels the attempts of a chunk that has another owner and discards their outcomes.
func (r *Runner) dropChunk(h *ownedChunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.dropped {
		return
	}
	h.dropped = true
	delete(r.owned, h.key)
	r.lost.Add(1)
	r.log.Warn("chunk has another owner", "chunk", h.key)
	for _, streams := range r.streams {
		for s := range streams {
			if s.work.chunk == h {
				s.cancel(errNotOwner)
			}
		}
	}
	signal(r.wakeClaim)
}

// stopChunk ends the unsent items of a chunk with event cancel or expire. Attempts of idempotent items are cancelled;
// others run to completion, as their outcome would be unknown after a cancellation. r.mu is held.
func (r *Runner) stopChunk(h *ownedChunk, e guavajob.ItemEvent) {
	if h.stopEvent != "" || h.dropped {
		return
	}
	h.stopEvent = e
	for _, w := range slices.Clone(h.pending) {
		r.endUnsent(w)
	}
	h.pending = nil
	for _, w := range h.items {
		if w.State == guavajob.ItemSuspect {
			r.endUnsent(w)
		}
	}
	for _, streams := range r.streams {
		for s := range streams {
			if s.work.chunk == h && h.route.Idempotent {
				s.cancel(errJobStopped)
			}
		}
	}
	r.submitIfFinal(h)
}

// endUnsent ends an item that is not running with the stop event of its chunk. r.mu is held.
func (r *Runner) endUnsent(w *work) {
	if !w.Transition(w.chunk.stopEvent) {
		return
	}
	if w.chunk.stopEvent == guavajob.ItemCancel {
		r.recordFailure(w, codeCancelled, "the job was cancelled")
	} else {
		r.recordFailure(w, codeExpired, "the job's deadline has passed")
	}
	r.itemEnded(w)
}

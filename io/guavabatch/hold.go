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

// hold is a claimed chunk. Fields below rowMu are guarded by it, all others by the Runner's mutex.
type hold struct {
	key   string
	job   active
	n     int
	model string
	route guavaconfig.Route
	// items are in the order of their lines; pending are those that wait for an attempt, in the same order.
	items   []*work
	pending []*work
	open    int    // items that are not final
	turn    uint64 // position in the order of claims
	epoch   uint64
	// until is the time at which sending stops, by the local monotonic clock.
	until time.Time
	// halt is the event that ends items which have not run, or "".
	halt guavajob.ItemEvent
	gone bool // the row belongs to another owner
	// suspected is true once an item was in flight at a crash; the others need no search for suspects.
	suspected bool
	// recorded is the number of groups with intents; recording is true while the next one is written.
	recorded  int
	recording bool
	left      []int // open items per group
	ending    bool  // the result is being written
	// served is when this VM last had a grant for a server that runs the items, or a stream of them.
	served time.Time

	rowMu    lock
	chunk    guavajob.Chunk
	revision uint64
	renewed  time.Time
}

// work is an item of a held chunk.
type work struct {
	guavajob.Item
	hold   *hold
	entry  guavajob.InputItem
	index  int
	record *record
	failed bool
}

func (w *work) group() int { return w.index / groupItems }

// intent is the row that is written before the items of a group are sent.
type intent struct {
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	Operation string `json:"operation"`
}

// progress is a finished item, kept for the next owner of a chunk.
type progress struct {
	Index  int    `json:"index"`
	Failed bool   `json:"failed,omitempty"`
	Record record `json:"record"`
}

// load reads the items of a claimed chunk, and what earlier owners left behind.
func (r *Runner) load(ctx context.Context, h *hold) error {
	entries, err := r.store.entries(ctx, h.job.Job, h.n)
	if err != nil {
		return err
	}
	h.items = make([]*work, len(entries))
	h.left = make([]int, (len(entries)+groupItems-1)/groupItems)
	for i, e := range entries {
		h.items[i] = &work{Item: guavajob.NewItem(), hold: h, entry: e, index: i}
	}
	if h.epoch > 1 {
		if err := r.inherit(ctx, h); err != nil {
			return err
		}
	}
	for _, w := range h.items {
		if !w.State.Final() {
			h.pending = append(h.pending, w)
			h.open++
			h.left[w.group()]++
		}
	}
	return nil
}

// inherit takes over the finished items of earlier owners. Items of a group with recorded intents that have no result
// may have run and end as unknown.
func (r *Runner) inherit(ctx context.Context, h *hold) error {
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
	h.recorded = len(rows)
	for _, w := range h.items {
		if !w.State.Final() && w.group() < h.recorded && w.Transition(guavajob.ItemMarkUnknown) {
			r.fail(w, codeUnknown, "the item may have run; its outcome was lost")
		}
	}
	return nil
}

func (r *Runner) readProgress(ctx context.Context, h *hold, name string) error {
	o, err := r.store.get(ctx, name)
	if err != nil {
		return err
	}
	defer o.Close()
	d := json.NewDecoder(o)
	for {
		var p progress
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

// saveProgress keeps the finished items among ws for the next owner.
func (r *Runner) saveProgress(ctx context.Context, h *hold, name string, ws []*work) error {
	var b strings.Builder
	for _, w := range ws {
		b.Write(marshal(progress{Index: w.index, Failed: w.failed, Record: *w.record}))
		b.WriteByte('\n')
	}
	return r.store.put(ctx, resultKey(h.job.Job, h.n, h.epoch, name), []byte(b.String()))
}

// renewLoop renews leases in groups, and stops work on chunks that now have another owner.
func (r *Runner) renewLoop(ctx context.Context) error {
	for sleep(ctx, renewEvery) {
		for _, group := range guavajob.Groups(r.due(time.Now()), guavaplatform.MaxWrites) {
			r.renew(ctx, group)
		}
	}
	return ctx.Err()
}

// due locks and returns the chunks whose lease is to be renewed. Once one is due, younger leases are renewed with it,
// so that the renewals of a VM stay in one commit.
func (r *Runner) due(now time.Time) []*hold {
	r.mu.Lock()
	holds := make([]*hold, 0, len(r.held))
	for _, h := range r.held {
		holds = append(holds, h)
	}
	r.mu.Unlock()
	locked := holds[:0]
	due := false
	for _, h := range holds {
		// A chunk whose row is being written is left for the next round.
		if !h.rowMu.TryLock() {
			continue
		}
		age := now.Sub(h.renewed)
		if h.chunk.State != guavajob.ChunkClaimed || age < guavajob.LeaseRenewAfter-guavajob.LeaseMargin/2 {
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
func (r *Runner) renew(ctx context.Context, group []*hold) {
	defer func() {
		for _, h := range group {
			h.rowMu.Unlock()
		}
	}()
	ctx, done := context.WithTimeout(ctx, callTime)
	defer done()
	now, operation := time.Now(), newID("")
	checks := make([]guavaplatform.Check, 0, len(group))
	writes := make([]guavaplatform.Write, 0, len(group))
	next := make(map[*hold]guavajob.Chunk, len(group))
	for _, h := range group {
		if err := r.current(ctx, h); err != nil {
			continue
		}
		c, err := h.chunk.WithRenewal(now, operation)
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
			h.chunk, h.renewed = c, now
			r.extend(h, now)
			r.renewed.Add(1)
		}
	}
}

// current makes sure that h.revision is the revision of the row as this owner last wrote it. It drops the chunk and
// returns errLost when the row has another owner or epoch. h.rowMu is held.
func (r *Runner) current(ctx context.Context, h *hold) error {
	if h.revision != 0 {
		return nil
	}
	c, revision, err := read[guavajob.Chunk](ctx, r.store.table, h.key)
	switch {
	case err != nil && !errors.Is(err, guavaplatform.ErrAbsent):
		return err
	case err != nil, c.Owner != r.owner, c.Epoch != h.epoch, c.State != guavajob.ChunkClaimed:
		r.drop(h)
		return errLost
	}
	h.chunk, h.revision = c, revision
	return nil
}

// extend sets the time at which sending stops, from the start of the commit that took or renewed the lease.
func (r *Runner) extend(h *hold, from time.Time) {
	r.mu.Lock()
	h.until = from.Add(guavajob.LeaseDuration - guavajob.LeaseMargin)
	r.mu.Unlock()
	signal(r.wake)
}

// drop ends work on a chunk that has another owner. Nothing of it is written.
func (r *Runner) drop(h *hold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.gone {
		return
	}
	h.gone = true
	delete(r.held, h.key)
	r.lost.Add(1)
	r.log.Warn("chunk has another owner", "chunk", h.key)
	for _, streams := range r.streams {
		for s := range streams {
			if s.work.hold == h {
				s.cancel(errLost)
			}
		}
	}
	signal(r.need)
}

// stop ends the items of a chunk that have not run, with event cancel or expire. Streams of idempotent items are
// cancelled at the engines; other calls run to their end, as their outcome could not be known. r.mu is held.
func (r *Runner) stop(h *hold, e guavajob.ItemEvent) {
	if h.halt != "" || h.gone {
		return
	}
	h.halt = e
	for _, w := range slices.Clone(h.pending) {
		r.halted(w)
	}
	h.pending = nil
	for _, w := range h.items {
		if w.State == guavajob.ItemSuspect {
			r.halted(w)
		}
	}
	for _, streams := range r.streams {
		for s := range streams {
			if s.work.hold == h && h.route.Idempotent {
				s.cancel(errHalted)
			}
		}
	}
	r.finish(h)
}

// halted ends an item that is not running because of its chunk's halt event. r.mu is held.
func (r *Runner) halted(w *work) {
	if !w.Transition(w.hold.halt) {
		return
	}
	if w.hold.halt == guavajob.ItemCancel {
		r.fail(w, codeCancelled, "the job was cancelled")
	} else {
		r.fail(w, codeExpired, "the job's deadline has passed")
	}
	r.closed(w)
}

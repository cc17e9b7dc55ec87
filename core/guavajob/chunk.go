package guavajob

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// LeaseDuration is the length of the lease of a chunk.
	LeaseDuration = 30 * time.Second
	// LeaseMargin is how long before the end of its lease an owner stops sending: a quarter of the length.
	LeaseMargin = LeaseDuration / 4
	// LeaseRenewAfter is the age at which a lease is renewed. Half of the length leaves one retry of 7.5 s before the
	// margin and costs two writes per chunk and minute.
	LeaseRenewAfter = LeaseDuration / 2
)

// Chunk is the row of a chunk. It is immutable; With methods return changed copies.
type Chunk struct {
	State ChunkState `json:"state"`
	// Owner is the VM with its incarnation.
	Owner string `json:"owner,omitempty"`
	// LeaseExpiry is the end of the lease in milliseconds since 1970 by the owner's clock. It is for operators: a
	// candidate goes by Watch instead, which needs no common clock.
	LeaseExpiry int64 `json:"until,omitempty"`
	// Epoch increases with each claim and is part of the name of the result objects.
	Epoch uint64 `json:"epoch"`
	// Attempt counts the claims that followed the loss of an owner, including the first claim.
	Attempt int `json:"attempt"`
	// Result and Errors are the objects with the results, empty when there are none.
	Result string `json:"result,omitempty"`
	Errors string `json:"errors,omitempty"`
	Counts Counts `json:"counts"`
	// Operation identifies the write of this row.
	Operation string `json:"operation"`
}

func (c Chunk) with(e ChunkEvent, operation string) (Chunk, error) {
	if c.State == "" {
		c.State = chunkChart.Start()
	}
	next, ok := chunkChart.Next(c.State, e)
	if !ok {
		return c, errors.Newf("chunk is %s, event %s: %w", string(c.State), string(e), ErrInvalidTransition)
	}
	c.State, c.Operation = next, operation
	return c, nil
}

// WithClaim returns the chunk under a new owner and epoch.
func (c Chunk) WithClaim(owner string, now time.Time, operation string) (Chunk, error) {
	c, err := c.with(ChunkClaim, operation)
	if err != nil {
		return c, err
	}
	c.Owner, c.LeaseExpiry = owner, now.Add(LeaseDuration).UnixMilli()
	c.Epoch++
	c.Attempt++
	return c, nil
}

// WithRenewal returns the chunk with a new lease end.
func (c Chunk) WithRenewal(now time.Time, operation string) (Chunk, error) {
	c, err := c.with(ChunkRenew, operation)
	c.LeaseExpiry = now.Add(LeaseDuration).UnixMilli()
	return c, err
}

// WithRelease returns the chunk without owner; a chunk that was handed back does not count as an attempt.
func (c Chunk) WithRelease(operation string) (Chunk, error) {
	c, err := c.with(ChunkRelease, operation)
	c.Owner, c.LeaseExpiry = "", 0
	c.Attempt--
	return c, err
}

// WithResult returns the chunk in a final state.
func (c Chunk) WithResult(e ChunkEvent, result, errs string, counts Counts, operation string) (Chunk, error) {
	c, err := c.with(e, operation)
	c.LeaseExpiry, c.Result, c.Errors, c.Counts = 0, result, errs, counts
	return c, err
}

// LeaseMonitor finds leases that have lapsed. A row counts as lapsed when it was seen unchanged for the full length of the
// lease by the local monotonic clock; the owner stopped before that by its own clock.
type LeaseMonitor struct {
	seen map[string]sighting
}

type sighting struct {
	revision uint64
	since    time.Time
	last     time.Time
}

// NewLeaseMonitor returns a Watch that has seen nothing.
func NewLeaseMonitor() *LeaseMonitor { return &LeaseMonitor{seen: make(map[string]sighting)} }

// Expired records that the row with key was read at revision, by a read that started at now, and reports whether it
// stayed unchanged for the full length of a lease.
func (w *LeaseMonitor) Expired(key string, revision uint64, now time.Time) bool {
	s, ok := w.seen[key]
	if !ok || s.revision != revision {
		s = sighting{revision: revision, since: now}
	}
	s.last = now
	w.seen[key] = s
	return now.Sub(s.since) >= LeaseDuration
}

// Prune drops rows that were not seen for twice the length of a lease.
func (w *LeaseMonitor) Prune(now time.Time) {
	for k, s := range w.seen {
		if now.Sub(s.last) > 2*LeaseDuration {
			delete(w.seen, k)
		}
	}
}

// Groups splits items into groups of at most size, for commits of bounded length.
func Groups[T any](items []T, size int) [][]T {
	groups := make([][]T, 0, (len(items)+size-1)/size)
	for len(items) > size {
		groups, items = append(groups, items[:size]), items[size:]
	}
	if len(items) > 0 {
		groups = append(groups, items)
	}
	return groups
}

package guavajob

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// LeaseDuration is the duration of a chunk's lease.
	LeaseDuration = 30 * time.Second
	// LeaseMargin is how long before its lease expires an owner stops sending items: a quarter of the duration.
	LeaseMargin = LeaseDuration / 4
	// LeaseRenewAfter is the age at which a lease is renewed. Half of the duration leaves 7.5 s for one retry before the
	// margin, and costs two writes per chunk and minute.
	LeaseRenewAfter = LeaseDuration / 2
)

// Chunk is the table row of a chunk. It is immutable; the With methods return changed copies.
type Chunk struct {
	State ChunkState `json:"state"`
	// Owner is the name of the VM with its incarnation.
	Owner string `json:"owner,omitempty"`
	// LeaseExpiry is the end of the lease in milliseconds since 1970 by the owner's clock. It only informs operators:
	// other VMs detect expiry with LeaseMonitor, which needs no synchronized clocks.
	LeaseExpiry int64 `json:"until,omitempty"`
	// Epoch increases with each claim and is part of the names of the result objects.
	Epoch uint64 `json:"epoch"`
	// Attempt counts the claims, except those that ended with a release: the first one and each takeover.
	Attempt int `json:"attempt"`
	// Result and Errors are the names of the objects with the results and errors; empty when there are none.
	Result string `json:"result,omitempty"`
	Errors string `json:"errors,omitempty"`
	Counts Counts `json:"counts"`
	// Operation identifies the write of this row.
	Operation string `json:"operation"`
}

func (c Chunk) transition(e ChunkEvent, operation string) (Chunk, error) {
	if c.State == "" {
		c.State = chunkChart.Start()
	}
	next, ok := chunkChart.Next(c.State, e)
	if !ok {
		return c, errors.Newf("chunk in state %s cannot handle event %s: %w", string(c.State), string(e), ErrInvalidTransition)
	}
	c.State, c.Operation = next, operation
	return c, nil
}

// WithClaim returns the chunk under a new owner and epoch.
func (c Chunk) WithClaim(owner string, now time.Time, operation string) (Chunk, error) {
	c, err := c.transition(ChunkClaim, operation)
	if err != nil {
		return c, err
	}
	c.Owner, c.LeaseExpiry = owner, now.Add(LeaseDuration).UnixMilli()
	c.Epoch++
	c.Attempt++
	return c, nil
}

// WithRenewal returns the chunk with its lease extended to LeaseDuration from now.
func (c Chunk) WithRenewal(now time.Time, operation string) (Chunk, error) {
	c, err := c.transition(ChunkRenew, operation)
	c.LeaseExpiry = now.Add(LeaseDuration).UnixMilli()
	return c, err
}

// WithRelease returns the chunk without owner. A released claim does not count as an attempt.
func (c Chunk) WithRelease(operation string) (Chunk, error) {
	c, err := c.transition(ChunkRelease, operation)
	c.Owner, c.LeaseExpiry = "", 0
	c.Attempt--
	return c, err
}

// WithResult returns the chunk in a final state.
func (c Chunk) WithResult(e ChunkEvent, result, errs string, counts Counts, operation string) (Chunk, error) {
	c, err := c.transition(e, operation)
	c.LeaseExpiry, c.Result, c.Errors, c.Counts = 0, result, errs, counts
	return c, err
}

// LeaseMonitor detects expired leases. A lease has expired when its row stayed unchanged for LeaseDuration by the local
// monotonic clock. By then its owner has stopped sending, because it stops LeaseMargin before that by its own clock.
type LeaseMonitor struct {
	observations map[string]observation
}

type observation struct {
	revision  uint64
	firstSeen time.Time
	lastSeen  time.Time
}

// NewLeaseMonitor returns a LeaseMonitor without observations.
func NewLeaseMonitor() *LeaseMonitor {
	return &LeaseMonitor{observations: make(map[string]observation)}
}

// Expired records that the row with key had this revision, in a read that started at now, and reports whether the row
// stayed unchanged for LeaseDuration.
func (m *LeaseMonitor) Expired(key string, revision uint64, now time.Time) bool {
	s, ok := m.observations[key]
	if !ok || s.revision != revision {
		s = observation{revision: revision, firstSeen: now}
	}
	s.lastSeen = now
	m.observations[key] = s
	return now.Sub(s.firstSeen) >= LeaseDuration
}

// Prune removes rows that were last read more than 2 times LeaseDuration ago.
func (m *LeaseMonitor) Prune(now time.Time) {
	for k, s := range m.observations {
		if now.Sub(s.lastSeen) > 2*LeaseDuration {
			delete(m.observations, k)
		}
	}
}

// Groups splits items into groups of at most size items, for commits of bounded size.
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

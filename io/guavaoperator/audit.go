package guavaoperator

import (
	"context"
	"fmt"

	"guavaridge/core/guavaconfig"
)

// maxMissing is the maximum number of missing versions that an audit lists.
const maxMissing = 1000

// Audit is the result of a check of the audit trail.
type Audit struct {
	Head uint64 `json:"head"`
	// Read is the number of valid entries.
	Read int `json:"read"`
	// Missing lists versions without a row, at most 1,000.
	Missing []uint64 `json:"missing,omitempty"`
	// Faults describes rows that cannot be decoded, are newer than the head, or do not match the previous version.
	Faults []string `json:"faults,omitempty"`
}

// History returns at most limit entries after the given version, without key hashes.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]guavaconfig.Entry, error) {
	changes, err := s.changes(ctx, after, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]guavaconfig.Entry, 0, len(changes))
	for _, c := range changes {
		e, err := c.Entry()
		if err != nil {
			return nil, err
		}
		entries = append(entries, e.Redacted())
	}
	return entries, nil
}

// Audit reads the audit trail after the given version and calls each with every entry, without key hashes. It checks
// that no version up to the head is missing and, if after is 0, that each edit matches the declarations that result
// from the edits before it.
func (s *Store) Audit(ctx context.Context, after uint64, each func(guavaconfig.Entry) error) (Audit, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return Audit{}, err
	}
	a := Audit{Head: h.Version}
	next := after + 1
	replay := guavaconfig.NewSnapshot(after, guavaconfig.Declarations{})
	for from := after; ; {
		changes, err := s.changes(ctx, from, pageSize)
		if err != nil {
			return Audit{}, err
		}
		for _, c := range changes {
			a.missing(next, c.Version)
			next, from = c.Version+1, c.Version
			e, err := c.Entry()
			if err != nil {
				a.Faults = append(a.Faults, err.Error())
				replay = nil
				continue
			}
			a.Read++
			if err := each(e.Redacted()); err != nil {
				return Audit{}, err
			}
			if after > 0 || replay == nil {
				continue
			}
			if replay, err = replay.Apply(e); err != nil {
				a.Faults = append(a.Faults, err.Error())
			}
		}
		if len(changes) < pageSize {
			break
		}
	}
	// The head is read again, because changes accepted during the audit are not faults.
	if current, err := s.readHead(ctx); err == nil && next > current.Version+1 {
		a.Faults = append(a.Faults, fmt.Sprintf("version %d lies beyond the head %d", next-1, current.Version))
	}
	a.missing(next, h.Version+1)
	return a, nil
}

// missing records the versions from next up to, but not including, found.
func (a *Audit) missing(next, found uint64) {
	for ; next < found && len(a.Missing) < maxMissing; next++ {
		a.Missing = append(a.Missing, next)
	}
}

package guavaoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaplatform"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to resolve an unknown outcome.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxRebases is the maximum number of attempts to make a change to a single key on the newest version.
	maxRebases = 20
)

// ErrOperationUsed is returned if the operation identifier belongs to a change of another operator.
var ErrOperationUsed = errors.New("operation identifier was used for another change")

// Meta contains the operator and the reason of a change. Operation is its idempotency key: a retry with the same
// identifier returns the outcome of the first request.
type Meta struct {
	Operation string
	Operator  string
	Reason    string
}

// Request is a request to replace the declarations of version Base. If Desired.Keys is nil, the keys are unchanged.
type Request struct {
	Meta
	Base    uint64
	Desired guavaconfig.Declarations
}

// Result is the outcome of an accepted request.
type Result struct {
	// Version is the version created by the request, or the base version if nothing changes.
	Version uint64
	Delta   guavaconfig.Delta
	// Repeated reports whether the change had already been accepted under the same operation identifier.
	Repeated bool
}

// ConflictError is returned if other changes were accepted after the base version. Nothing was written.
type ConflictError struct {
	Base    uint64
	Head    uint64
	Changes []guavaconfig.Entry // accepted since the base, without key hashes; at most 100
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "base version %d is not the newest, %d; accepted since:", e.Base, e.Head)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n%d by %s at %s: %s", c.Version, c.Operator, c.Time.Format(time.RFC3339), c.Reason)
	}
	return b.String()
}

// Plan returns the newest version and the edits that would turn it into the desired declarations.
func (s *Store) Plan(ctx context.Context, desired guavaconfig.Declarations) (base uint64, delta guavaconfig.Delta, err error) {
	if err := s.CatchUp(ctx); err != nil {
		return 0, nil, err
	}
	current := s.holder.Snapshot()
	desired = retainKeys(desired, current)
	if err := guavaconfig.Validate(desired); err != nil {
		return 0, nil, err
	}
	return current.Version(), guavaconfig.NewDelta(current.Declarations(), desired), nil
}

// Apply commits the desired declarations as the next version. Its errors are guavaconfig.ValidationErrors,
// *ConflictError, ErrUnavailable if nothing was written, and ErrUnknown if the outcome was still unknown when ctx
// ended; the same request can then be retried on any VM.
func (s *Store) Apply(ctx context.Context, q Request) (Result, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if h.Version != q.Base {
		return s.resolveStale(ctx, q.Meta, q.Base, h.Version)
	}
	if err := s.catchUpTo(ctx, h.Version); err != nil {
		return Result{}, err
	}
	current := s.holder.Snapshot()
	if current.Version() != q.Base {
		return s.resolveStale(ctx, q.Meta, q.Base, current.Version())
	}
	desired := retainKeys(q.Desired, current)
	if err := guavaconfig.Validate(desired); err != nil {
		return Result{}, err
	}
	e := guavaconfig.Entry{
		Version:   q.Base + 1,
		Operation: q.Operation,
		Operator:  q.Operator,
		Time:      time.Now().UTC(),
		Reason:    q.Reason,
		Edits:     guavaconfig.NewDelta(current.Declarations(), desired),
	}
	if len(e.Edits) == 0 {
		return Result{Version: q.Base}, nil
	}
	if err := s.commit(ctx, h.revision, e); err != nil {
		if errors.Is(err, guavaplatform.ErrConflict) {
			return s.resolveStale(ctx, q.Meta, q.Base, q.Base+1)
		}
		return Result{}, err
	}
	s.applyCommitted(ctx, e)
	return Result{Version: e.Version, Delta: e.Edits}, nil
}

// applyCommitted puts a committed entry in force on this VM, calls onCommit, and stores every
// SnapshotInterval-th version as a snapshot.
func (s *Store) applyCommitted(ctx context.Context, e guavaconfig.Entry) {
	s.applied.Add(1)
	s.logger.Info("configuration accepted", "version", e.Version, "operator", e.Operator, "operation", e.Operation)
	changes := []guavaconfig.Change{e.Change()}
	if err := s.holder.Accept(changes); err != nil {
		s.logger.Error("accepted configuration could not be applied", "version", e.Version, "error", err)
		return
	}
	s.onCommit(changes)
	if e.Version%guavaconfig.SnapshotInterval != 0 {
		return
	}
	if current := s.holder.Snapshot(); current.Version() == e.Version {
		s.pending.Store(current)
		// After a failure, Run retries.
		if err := s.storePending(ctx); err != nil {
			s.logger.Warn("snapshot write failed, retrying", "version", e.Version, "error", err)
		}
	}
}

// commit writes the head row and the entry. It returns ErrConflict if another change has the entry's version.
func (s *Store) commit(ctx context.Context, revision uint64, e guavaconfig.Entry) error {
	value, err := json.Marshal(head{Version: e.Version, Operation: e.Operation})
	if err != nil {
		return errors.Newf("encode head: %w", err)
	}
	key := versionKey(changePrefix, e.Version)
	checks := []guavaplatform.Check{{Key: headKey, Revision: revision}, {Key: key}}
	writes := []guavaplatform.Write{{Key: headKey, Value: value}, {Key: key, Value: e.Change().Data}}
	unknown := false
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		err := s.commitOnce(ctx, checks, writes)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, guavaplatform.ErrUnknown) && !unknown:
			return errors.Newf("commit version %d: %w", e.Version, err)
		}
		// The write may have taken effect or may still be in flight. Retrying the commit is safe, because its checks
		// succeed at most once.
		unknown = true
		if resolved, err := s.readBack(ctx, e); resolved {
			if err == nil {
				s.resolved.Add(1)
			}
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Newf("commit version %d, operation %s: %w", e.Version, e.Operation, guavaplatform.ErrUnknown)
		case <-time.After(wait):
		}
	}
}

func (s *Store) commitOnce(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.platform.Commit(ctx, checks, writes)
}

// readBack reads the row of the entry's version to resolve an unknown outcome. It returns resolved if the row exists,
// and with it ErrConflict if the row contains another operation.
func (s *Store) readBack(ctx context.Context, e guavaconfig.Entry) (resolved bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := s.platform.Read(ctx, versionKey(changePrefix, e.Version))
	if err != nil {
		return false, err
	}
	stored, err := guavaconfig.Change{Version: e.Version, Data: row.Value}.Entry()
	if err != nil {
		return true, err
	}
	if stored.Operation != e.Operation {
		return true, errors.Newf("version %d: %w", e.Version, guavaplatform.ErrConflict)
	}
	return true, nil
}

// resolveStale returns the outcome of a request whose base is not the newest version: the stored result if the request
// is a retry of an accepted one, otherwise a *ConflictError.
func (s *Store) resolveStale(ctx context.Context, m Meta, base, newest uint64) (Result, error) {
	conflict := &ConflictError{Base: base, Head: newest}
	for after := base; after < newest; {
		changes, err := s.changes(ctx, after, pageSize)
		if err != nil {
			return Result{}, err
		}
		if len(changes) == 0 {
			break
		}
		for _, c := range changes {
			e, err := c.Entry()
			if err != nil {
				return Result{}, err
			}
			if e.Operation == m.Operation {
				if e.Operator != m.Operator {
					return Result{}, ErrOperationUsed
				}
				s.resolved.Add(1)
				return Result{Version: e.Version, Delta: e.Edits, Repeated: true}, s.catchUpTo(ctx, e.Version)
			}
			if len(conflict.Changes) < pageSize {
				conflict.Changes = append(conflict.Changes, e.Redacted())
			}
			after = c.Version
		}
	}
	s.conflicts.Add(1)
	return Result{}, conflict
}

// edit applies a change that does not depend on the base version to the newest version. It retries after a conflict.
func (s *Store) edit(ctx context.Context, m Meta, change func(guavaconfig.Declarations) (guavaconfig.Declarations, error)) (Result, error) {
	first := s.holder.Head()
	for range maxRebases {
		if err := s.CatchUp(ctx); err != nil {
			return Result{}, err
		}
		current := s.holder.Snapshot()
		// If the request was accepted before, its entry is either at or before this version, where it is searched here,
		// or after it, in which case Apply finds a conflict and searches the newer versions.
		earlier, found, err := s.findRecent(ctx, m, current.Version())
		if err != nil {
			return Result{}, err
		}
		if found {
			return Result{Version: earlier.Version, Delta: earlier.Edits, Repeated: true}, nil
		}
		desired, err := change(current.Declarations())
		if err != nil {
			return Result{}, err
		}
		r, err := s.Apply(ctx, Request{Meta: m, Base: current.Version(), Desired: desired})
		if conflict := (*ConflictError)(nil); !errors.As(err, &conflict) {
			return r, err
		}
	}
	return Result{}, &ConflictError{Base: first, Head: s.holder.Head()}
}

// findRecent returns the entry of an operation if it is among the last 100 versions up to newest.
func (s *Store) findRecent(ctx context.Context, m Meta, newest uint64) (guavaconfig.Entry, bool, error) {
	after := newest - min(newest, pageSize)
	changes, ok := s.holder.After(after, pageSize)
	if !ok {
		var err error
		if changes, err = s.changes(ctx, after, pageSize); err != nil {
			return guavaconfig.Entry{}, false, err
		}
	}
	for _, c := range changes {
		e, err := c.Entry()
		if err != nil {
			return guavaconfig.Entry{}, false, err
		}
		if e.Operation == m.Operation {
			if e.Operator != m.Operator {
				return guavaconfig.Entry{}, false, ErrOperationUsed
			}
			return e, true, nil
		}
	}
	return guavaconfig.Entry{}, false, nil
}

// retainKeys sets the keys to those in force if the declarations contain none.
func retainKeys(desired guavaconfig.Declarations, current *guavaconfig.Snapshot) guavaconfig.Declarations {
	if desired.Keys == nil {
		desired.Keys = current.Declarations().Keys
	}
	return desired
}

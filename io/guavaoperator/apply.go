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
	// firstRetry and lastRetry bound the waits between attempts to settle an unknown outcome.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
	// maxRebases bounds how often an edit of a single key is repeated on a newer version.
	maxRebases = 20
)

// ErrOperationUsed means that the operation identifier belongs to another change.
var ErrOperationUsed = errors.New("operation identifier was used for another change")

// Meta says who wants a change and why. Operation identifies the request: repeating it with the same identifier
// changes nothing more.
type Meta struct {
	Operation string
	Operator  string
	Reason    string
}

// Request asks to replace the declarations of version Base. Keys stay as they are when Wanted.Keys is nil.
type Request struct {
	Meta
	Base    uint64
	Desired guavaconfig.Declarations
}

// Result is the outcome of an accepted request.
type Result struct {
	// Version is the version that the request made, or the version in force when it changes nothing.
	Version uint64
	Delta   guavaconfig.Delta
	// Repeated is true when the change had already been accepted under the same operation identifier.
	Repeated bool
}

// ConflictError means that other changes were accepted after the base version. Nothing was written.
type ConflictError struct {
	Base    uint64
	Head    uint64
	Changes []guavaconfig.Entry // accepted since the base, without hashes; at most 100
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

// Plan returns the edits that a request would make on the newest version.
func (s *Store) Plan(ctx context.Context, wanted guavaconfig.Declarations) (base uint64, delta guavaconfig.Delta, err error) {
	if err := s.CatchUp(ctx); err != nil {
		return 0, nil, err
	}
	now := s.holder.Snapshot()
	wanted = keepKeys(wanted, now)
	if err := guavaconfig.Validate(wanted); err != nil {
		return 0, nil, err
	}
	return now.Version(), guavaconfig.NewDelta(now.Declarations(), wanted), nil
}

// Apply makes the wanted declarations the next version. Its errors are guavaconfig.ValidationErrors, a
// *ConflictError, ErrUnavailable when nothing was written, and ErrUnknown when the outcome could not be settled before
// ctx ended; the same request can then be sent again, to any VM.
func (s *Store) Apply(ctx context.Context, q Request) (Result, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if h.Version != q.Base {
		return s.settleOld(ctx, q.Meta, q.Base, h.Version)
	}
	if err := s.catchUpTo(ctx, h.Version); err != nil {
		return Result{}, err
	}
	now := s.holder.Snapshot()
	if now.Version() != q.Base {
		return s.settleOld(ctx, q.Meta, q.Base, now.Version())
	}
	wanted := keepKeys(q.Desired, now)
	if err := guavaconfig.Validate(wanted); err != nil {
		return Result{}, err
	}
	e := guavaconfig.Entry{
		Version:   q.Base + 1,
		Operation: q.Operation,
		Operator:  q.Operator,
		Time:      time.Now().UTC(),
		Reason:    q.Reason,
		Edits:     guavaconfig.NewDelta(now.Declarations(), wanted),
	}
	if len(e.Edits) == 0 {
		return Result{Version: q.Base}, nil
	}
	if err := s.commit(ctx, h.revision, e); err != nil {
		if errors.Is(err, guavaplatform.ErrConflict) {
			return s.settleOld(ctx, q.Meta, q.Base, q.Base+1)
		}
		return Result{}, err
	}
	s.accepted(ctx, e)
	return Result{Version: e.Version, Delta: e.Edits}, nil
}

// accepted puts a committed entry in force here and passes it on.
func (s *Store) accepted(ctx context.Context, e guavaconfig.Entry) {
	s.applied.Add(1)
	s.logger.Info("configuration accepted", "version", e.Version, "operator", e.Operator, "operation", e.Operation)
	changes := []guavaconfig.Change{e.Change()}
	if err := s.holder.Accept(changes); err != nil {
		s.logger.Error("accepted configuration does not fit", "version", e.Version, "error", err)
		return
	}
	s.spread(changes)
	if e.Version%guavaconfig.SnapshotInterval != 0 {
		return
	}
	if now := s.holder.Snapshot(); now.Version() == e.Version {
		s.pending.Store(now)
		// A failure is repeated by Run.
		if err := s.compact(ctx); err != nil {
			s.logger.Warn("snapshot not stored yet", "version", e.Version, "error", err)
		}
	}
}

// commit writes the head and the entry. ErrConflict means that another change has the entry's version.
func (s *Store) commit(ctx context.Context, revision uint64, e guavaconfig.Entry) error {
	value, err := json.Marshal(head{Version: e.Version, Operation: e.Operation})
	if err != nil {
		return errors.Newf("encode head: %w", err)
	}
	key := versionKey(changePrefix, e.Version)
	checks := []guavaplatform.Check{{Key: headKey, Revision: revision}, {Key: key}}
	writes := []guavaplatform.Write{{Key: headKey, Value: value}, {Key: key, Value: e.Change().Data}}
	unknown := false
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		err := s.commitOnce(ctx, checks, writes)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, guavaplatform.ErrUnknown) && !unknown:
			return errors.Newf("commit version %d: %w", e.Version, err)
		}
		// The write may have taken effect, or still be on its way. Repeating the commit is safe, because its checks
		// hold at most once.
		unknown = true
		if settled, err := s.readBack(ctx, e); settled {
			if err == nil {
				s.settled.Add(1)
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

// readBack reads the row of the entry's version. It is settled when the row exists; ErrConflict then means that the
// row holds another operation.
func (s *Store) readBack(ctx context.Context, e guavaconfig.Entry) (settled bool, err error) {
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

// settleOld answers a request whose base is not the newest version: with its earlier outcome when it was accepted
// before, with the conflict otherwise.
func (s *Store) settleOld(ctx context.Context, m Meta, base, newest uint64) (Result, error) {
	conflict := &ConflictError{Base: base, Head: newest}
	for after := base; after < newest; {
		changes, err := s.changes(ctx, after, page)
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
				s.settled.Add(1)
				return Result{Version: e.Version, Delta: e.Edits, Repeated: true}, s.catchUpTo(ctx, e.Version)
			}
			if len(conflict.Changes) < page {
				conflict.Changes = append(conflict.Changes, e.Redacted())
			}
			after = c.Version
		}
	}
	s.conflict.Add(1)
	return Result{}, conflict
}

// edit makes a change that does not depend on the base version, on whatever version is newest.
func (s *Store) edit(ctx context.Context, m Meta, change func(guavaconfig.Declarations) (guavaconfig.Declarations, error)) (Result, error) {
	first := s.holder.Head()
	for range maxRebases {
		if err := s.CatchUp(ctx); err != nil {
			return Result{}, err
		}
		now := s.holder.Snapshot()
		// An earlier sending of the request lies at or before this version, which is searched here, or after it, which
		// makes Apply conflict and search there.
		earlier, found, err := s.recent(ctx, m, now.Version())
		if err != nil {
			return Result{}, err
		}
		if found {
			return Result{Version: earlier.Version, Delta: earlier.Edits, Repeated: true}, nil
		}
		wanted, err := change(now.Declarations())
		if err != nil {
			return Result{}, err
		}
		r, err := s.Apply(ctx, Request{Meta: m, Base: now.Version(), Desired: wanted})
		if conflict := (*ConflictError)(nil); !errors.As(err, &conflict) {
			return r, err
		}
	}
	return Result{}, &ConflictError{Base: first, Head: s.holder.Head()}
}

// recent finds the entry of an operation among the last 100 versions up to newest.
func (s *Store) recent(ctx context.Context, m Meta, newest uint64) (guavaconfig.Entry, bool, error) {
	after := newest - min(newest, page)
	changes, ok := s.holder.After(after, page)
	if !ok {
		var err error
		if changes, err = s.changes(ctx, after, page); err != nil {
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

// keepKeys adds the keys in force to declarations that name none.
func keepKeys(wanted guavaconfig.Declarations, now *guavaconfig.Snapshot) guavaconfig.Declarations {
	if wanted.Keys == nil {
		wanted.Keys = now.Declarations().Keys
	}
	return wanted
}

// Package guavacalls records metrics of calls to the platform's store.
package guavacalls

import (
	"context"
	"errors"
	"io"
	"time"

	"guavaridge/io/guavaplatform"
)

// Store is the part of the platform whose calls are recorded.
type Store interface {
	guavaplatform.RevisionTable
	guavaplatform.Feed
	guavaplatform.Objects
}

// Record records a call with its kind, result and duration. The duration of Changes includes the wait for a change, so
// it does not show the latency of the store.
type Record func(kind, result string, duration time.Duration)

// measured is a Store that records each call.
type measured struct {
	store  Store
	record Record
}

// New returns a Store that forwards calls to s and records them.
func New(s Store, r Record) Store { return &measured{store: s, record: r} }

// result returns the name of an error's kind. The set of names is fixed, since each is a metric label value.
func result(err error) string {
	for _, known := range [...]struct {
		err  error
		name string
	}{
		{guavaplatform.ErrAbsent, "absent"},
		{guavaplatform.ErrConflict, "conflict"},
		{guavaplatform.ErrTruncated, "truncated"},
		{guavaplatform.ErrUnknown, "unknown"},
		{guavaplatform.ErrUnavailable, "unavailable"},
		{context.Canceled, "cancelled"},
		{context.DeadlineExceeded, "timeout"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	if err != nil {
		return "error"
	}
	return "ok"
}

func (m *measured) observe(kind string, begin time.Time, err error) {
	m.record(kind, result(err), time.Since(begin))
}

// Read implements guavaplatform.Table.
func (m *measured) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	begin := time.Now()
	row, err := m.store.Read(ctx, key)
	m.observe("read", begin, err)
	return row, err //nolint:wrapcheck // passed on
}

// Scan implements guavaplatform.Table.
func (m *measured) Scan(ctx context.Context, prefix, after string, limit int) ([]guavaplatform.Row, error) {
	begin := time.Now()
	rows, err := m.store.Scan(ctx, prefix, after, limit)
	m.observe("scan", begin, err)
	return rows, err //nolint:wrapcheck // passed on
}

// Commit implements guavaplatform.Table.
func (m *measured) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	begin := time.Now()
	err := m.store.Commit(ctx, checks, writes)
	m.observe("commit", begin, err)
	return err //nolint:wrapcheck // passed on
}

// CommitAt implements guavaplatform.RevisionTable.
func (m *measured) CommitAt(
	ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write,
) (uint64, error) {
	begin := time.Now()
	revision, err := m.store.CommitAt(ctx, checks, writes)
	m.observe("commit", begin, err)
	return revision, err //nolint:wrapcheck // passed on
}

// Snapshot implements guavaplatform.Feed.
func (m *measured) Snapshot(ctx context.Context, table string, parts []string) ([]guavaplatform.Row, uint64, error) {
	begin := time.Now()
	rows, position, err := m.store.Snapshot(ctx, table, parts)
	m.observe("snapshot", begin, err)
	return rows, position, err //nolint:wrapcheck // passed on
}

// Changes implements guavaplatform.Feed.
func (m *measured) Changes(
	ctx context.Context, table string, position uint64, wait time.Duration,
) ([]guavaplatform.RowChange, uint64, error) {
	begin := time.Now()
	changes, position, err := m.store.Changes(ctx, table, position, wait)
	m.observe("changes", begin, err)
	return changes, position, err //nolint:wrapcheck // passed on
}

// Put implements guavaplatform.Objects.
func (m *measured) Put(ctx context.Context, key string, body io.Reader) error {
	begin := time.Now()
	err := m.store.Put(ctx, key, body)
	m.observe("put", begin, err)
	return err //nolint:wrapcheck // passed on
}

// Get implements guavaplatform.Objects.
func (m *measured) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	begin := time.Now()
	body, err := m.store.Get(ctx, key)
	m.observe("get", begin, err)
	return body, err //nolint:wrapcheck // passed on
}

// List implements guavaplatform.Objects.
func (m *measured) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	begin := time.Now()
	keys, err := m.store.List(ctx, prefix, after, limit)
	m.observe("list", begin, err)
	return keys, err //nolint:wrapcheck // passed on
}

// Delete implements guavaplatform.Objects.
func (m *measured) Delete(ctx context.Context, key string) error {
	begin := time.Now()
	err := m.store.Delete(ctx, key)
	m.observe("delete", begin, err)
	return err //nolint:wrapcheck // passed on
}

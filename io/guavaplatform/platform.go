// Package guavaplatform defines the interfaces to the platform: table service, object store, weight store and list of
// VMs.
package guavaplatform

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the platform. Callers match them with errors.Is.
var (
	// ErrAbsent means that the row or object does not exist.
	ErrAbsent = errors.New("absent")
	// ErrConflict means that a check of a commit failed. Nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that the platform did not accept the request. Nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the response was lost. A write may have been executed.
	ErrUnknown = errors.New("outcome unknown")
)

// MaxWrites is the maximum number of writes in one commit.
const MaxWrites = 100

// Row is a row of the table service.
type Row struct {
	Key   string
	Value []byte
	// Revision increases with each write of the row and is never 0.
	Revision uint64
}

// Check is a condition of a commit: the row has Revision, or is absent when Revision is 0.
type Check struct {
	Key      string
	Revision uint64
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is the transactional table service.
type Table interface {
	// Read returns one row, or ErrAbsent.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys have the prefix and are greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes atomically if all checks hold. After ErrConflict or ErrUnavailable nothing was written,
	// after ErrUnknown the writes may have been.
	Commit(ctx context.Context, checks []Check, writes []Write) error
}

// Objects is the object store. An object is visible only once Put has returned or its response was lost.
type Objects interface {
	Put(ctx context.Context, key string, body io.Reader) error
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	Delete(ctx context.Context, key string) error
}

// Machine is a VM in the platform's list.
type Machine struct {
	Name    string
	Domain  string
	Address string
	Leaving bool
}

// Machines is the platform's list of live and leaving VMs, which may be out of date.
type Machines interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch loads the named weights and returns their size in bytes.
	Fetch(ctx context.Context, name string) (int64, error)
}

// Platform is all of the platform's services.
type Platform interface {
	Table
	Objects
	Machines
	Weights
}

// ErrTruncated means that the platform no longer has the requested changes. The caller has to read the table again.
var ErrTruncated = errors.New("history truncated")

// RowChange is a row that was written or removed.
type RowChange struct {
	Row
	Removed bool
}

// Feed reads tables and their changes. The keys of rows begin with "table/part/".
type Feed interface {
	// Snapshot returns all rows of the parts of a table, and the position from which Changes continues.
	Snapshot(ctx context.Context, table string, parts []string) (rows []Row, position uint64, err error)
	// Changes returns the changes of the table after the position, in order, and the new position. It waits up to wait
	// for a change. The error may be ErrTruncated.
	Changes(ctx context.Context, table string, position uint64, wait time.Duration) ([]RowChange, uint64, error)
}

// RevisionTable is a table whose commits return the revision of the rows that they write.
type RevisionTable interface {
	Table
	// CommitAt is like Commit, and returns the common revision of all rows written.
	CommitAt(ctx context.Context, checks []Check, writes []Write) (revision uint64, err error)
}

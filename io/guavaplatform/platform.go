// Package guavaplatform gives access to the platform: table service, object store, weight store and list of VMs.
package guavaplatform

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the platform. They are matched with errors.Is.
var (
	// ErrAbsent means that the row or object does not exist.
	ErrAbsent = errors.New("absent")
	// ErrConflict means that a check of a commit did not hold; nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that the platform did not take the request; nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("outcome unknown")
)

// MaxWrites is the largest number of writes in one commit.
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
	// Scan returns at most limit rows with the prefix, in key order, starting after the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes if all checks hold. ErrConflict and ErrUnavailable mean that nothing was
	// written; ErrUnknown that it may have been.
	Commit(ctx context.Context, checks []Check, writes []Write) error
}

// Objects is the object store. An object is visible only after Put returned or its answer was lost.
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

// Machines is the platform's lagging list of live and leaving VMs.
type Machines interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch returns the size in bytes once the store has delivered the named weights.
	Fetch(ctx context.Context, name string) (int64, error)
}

// Platform is all of the platform's services.
type Platform interface {
	Table
	Objects
	Machines
	Weights
}

// ErrTruncated means that the platform no longer knows the changes that were asked for; the table has to be listed again.
var ErrTruncated = errors.New("history truncated")

// RowChange is a row that was written, or removed.
type RowChange struct {
	Row
	Removed bool
}

// Feed tells of changes to tables. The keys of rows begin with "table/part/".
type Feed interface {
	// Snapshot returns all rows of the parts of a table, and the position from which Changes goes on.
	Snapshot(ctx context.Context, table string, parts []string) (rows []Row, position uint64, err error)
	// Changes returns what changed in the table after the position, in order, and the new position. It waits for a
	// change for at most wait. The error may be ErrTruncated.
	Changes(ctx context.Context, table string, position uint64, wait time.Duration) ([]RowChange, uint64, error)
}

// RevisionTable is a table whose commits tell the revision of the rows that they wrote.
type RevisionTable interface {
	Table
	// CommitAt is Commit; the revision is that of all rows written.
	CommitAt(ctx context.Context, checks []Check, writes []Write) (revision uint64, err error)
}

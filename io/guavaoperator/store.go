// Package guavaoperator contains the operator interface: the store of configuration versions with its audit trail, the
// gRPC service, its client and the commands.
package guavaoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaplatform"
)

const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	snapshotKey  = "snapshot/"

	// pollInterval and pollJitter are below the 3 s in which a change is in force on all VMs: the VM that has accepted a change
	// may be lost before it announces it to others. 340 VMs make 136 to 170 reads of the head row per second of the 2,000 allowed.
	pollInterval = 2 * time.Second
	pollJitter   = 500 * time.Millisecond
	// callTimeout is the timeout of one platform call, so that a missing response does not block the polling.
	callTimeout = 5 * time.Second
	// startLogInterval is the minimum time between log lines about a missing initial configuration.
	startLogInterval = time.Minute
	// pageSize is the maximum number of changes in one read.
	pageSize = 100
)

// head is the value of the row config/head, which names the newest version, with the revision of the row.
type head struct {
	Version   uint64 `json:"version"`
	Operation string `json:"operation"`
	revision  uint64
}

// Platform contains the parts of the platform that a Store uses.
type Platform interface {
	guavaplatform.Table
	guavaplatform.Objects
}

// StoreCounts contains the counters of a Store.
type StoreCounts struct {
	Polls     int64 // reads of the head row by Run
	Failures  int64 // polls that failed
	Applied   int64 // changes that this store committed
	Conflicts int64 // changes rejected because another was accepted first
	Resolved  int64 // changes with an unknown outcome that were found accepted
}

// Store stores the accepted configuration versions in the platform. Its methods are safe for concurrent use.
type Store struct {
	platform  Platform
	holder    *guavaconfig.Holder
	onCommit  func([]guavaconfig.Change)
	newKey    func() (NewKey, error)
	logger    hclog.Logger
	pending   atomic.Pointer[guavaconfig.Snapshot] // snapshot that is not stored yet
	polls     atomic.Int64
	failures  atomic.Int64
	applied   atomic.Int64
	conflicts atomic.Int64
	resolved  atomic.Int64
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithOnCommit sets a function that is called with each change committed by this store, after the change is in force on
// this VM.
func WithOnCommit(f func([]guavaconfig.Change)) StoreOption { return func(s *Store) { s.onCommit = f } }

// WithNewKey replaces the key generator.
func WithNewKey(f func() (NewKey, error)) StoreOption { return func(s *Store) { s.newKey = f } }

// WithStoreLogger sets the logger. The default discards all messages.
func WithStoreLogger(l hclog.Logger) StoreOption { return func(s *Store) { s.logger = l } }

// NewStore returns a store that loads the accepted versions into holder.
func NewStore(p Platform, holder *guavaconfig.Holder, opts ...StoreOption) *Store {
	s := &Store{
		platform: p,
		holder:   holder,
		onCommit: func([]guavaconfig.Change) {},
		newKey:   generateKey,
		logger:   hclog.NewNullLogger(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Holder returns the holder of the configuration in force on this VM.
func (s *Store) Holder() *guavaconfig.Holder { return s.holder }

// Counts returns the counters.
func (s *Store) Counts() StoreCounts {
	return StoreCounts{
		Polls: s.polls.Load(), Failures: s.failures.Load(), Applied: s.applied.Load(),
		Conflicts: s.conflicts.Load(), Resolved: s.resolved.Load(),
	}
}

// Run polls the head row every 2 s plus jitter and fetches missing changes until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	// The first wait is drawn from the whole interval, so that VMs started at the same time do not poll in step.
	wait := rand.N(pollInterval)
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = pollInterval + rand.N(pollJitter)
		s.polls.Add(1)
		err := s.CatchUp(ctx)
		if err == nil {
			err = s.storePending(ctx)
		}
		if err != nil {
			s.failures.Add(1)
		}
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			s.logger.Info("configuration polling state changed", "failing", failing, "error", err, "version", s.holder.Head())
		}
	}
}

// CatchUp reads the head row and puts all changes up to its version in force.
func (s *Store) CatchUp(ctx context.Context) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.catchUpTo(ctx, h.Version)
}

func (s *Store) catchUpTo(ctx context.Context, version uint64) error {
	for s.holder.Head() < version {
		after := s.holder.Head()
		changes, err := s.changes(ctx, after, pageSize)
		if err != nil {
			return err
		}
		if len(changes) == 0 || changes[0].Version > after+1 {
			return errors.Newf("change %d is missing in the table: %w", after+1, guavaconfig.ErrGap)
		}
		if err := s.holder.Accept(changes); err != nil {
			return errors.Newf("accept changes: %w", err)
		}
	}
	return nil
}

// Start loads the initial configuration of a VM from the platform: the newest stored snapshot and the changes after it.
// If the platform fails and peer is not nil, it loads the snapshot that peer returns. It retries until it succeeds or
// ctx ends.
func (s *Store) Start(ctx context.Context, peer func(context.Context) (*guavaconfig.Snapshot, error)) error {
	begin, next := time.Now(), time.Now()
	for {
		err := s.startFromPlatform(ctx)
		if err == nil {
			return nil
		}
		if peer != nil {
			p, perr := peer(ctx)
			if perr == nil && p != nil {
				s.holder.Load(p)
				return nil
			}
			err = errors.CombineErrors(err, perr)
		}
		if now := time.Now(); !now.Before(next) {
			s.logger.Warn("no configuration yet, requests are not served: loading from the platform and from a peer failed",
				"seconds", int(now.Sub(begin).Seconds()), "error", err)
			next = now.Add(startLogInterval)
		}
		select {
		case <-ctx.Done():
			return errors.Newf("load initial configuration: %w", err)
		case <-time.After(time.Second + rand.N(time.Second)):
		}
	}
}

func (s *Store) startFromPlatform(ctx context.Context) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	// A snapshot is stored after its version is accepted and can be missing. In this case an older one is used.
	for v := h.Version / guavaconfig.SnapshotInterval * guavaconfig.SnapshotInterval; v > s.holder.Head(); v -= guavaconfig.SnapshotInterval {
		snapshot, err := s.readSnapshot(ctx, v)
		if errors.Is(err, guavaplatform.ErrAbsent) {
			continue
		}
		if err != nil {
			return err
		}
		s.holder.Load(snapshot)
		break
	}
	return s.catchUpTo(ctx, h.Version)
}

func (s *Store) readSnapshot(ctx context.Context, version uint64) (*guavaconfig.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.platform.Get(ctx, versionKey(snapshotKey, version))
	if err != nil {
		return nil, errors.Newf("read snapshot: %w", err)
	}
	defer body.Close()
	return decodeSnapshot(body)
}

// storePending stores the pending snapshot if there is one.
func (s *Store) storePending(ctx context.Context) error {
	snapshot := s.pending.Load()
	if snapshot == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A repeated put writes the same bytes, so an unknown outcome is simply retried.
	if err := s.platform.Put(ctx, versionKey(snapshotKey, snapshot.Version()), newReader(snapshot.Encode())); err != nil {
		return errors.Newf("store snapshot: %w", err)
	}
	s.pending.CompareAndSwap(snapshot, nil)
	return nil
}

// readHead returns the head row. The version is 0 if no change has been accepted yet.
func (s *Store) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := s.platform.Read(ctx, headKey)
	if errors.Is(err, guavaplatform.ErrAbsent) {
		return head{}, nil
	}
	if err != nil {
		return head{}, errors.Newf("read configuration head: %w", err)
	}
	h := head{revision: row.Revision}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, errors.Newf("decode configuration head: %w", err)
	}
	return h, nil
}

// changes reads at most limit changes after the given version, in ascending order.
func (s *Store) changes(ctx context.Context, after uint64, limit int) ([]guavaconfig.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.platform.Scan(ctx, changePrefix, versionKey(changePrefix, after), limit)
	if err != nil {
		return nil, errors.Newf("read changes after %d: %w", after, err)
	}
	changes := make([]guavaconfig.Change, 0, len(rows))
	for _, r := range rows {
		v, err := strconv.ParseUint(strings.TrimPrefix(r.Key, changePrefix), 10, 64)
		if err != nil {
			return nil, errors.Newf("row %s: %w", r.Key, err)
		}
		changes = append(changes, guavaconfig.Change{Version: v, Data: r.Value})
	}
	return changes, nil
}

// versionKey returns the key of a version. The number is padded so that keys sort by version.
func versionKey(prefix string, version uint64) string { return fmt.Sprintf("%s%012d", prefix, version) }

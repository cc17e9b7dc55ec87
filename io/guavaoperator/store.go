// Package guavaoperator gives operators control of the configuration: the store of accepted versions with its audit
// trail, the gRPC service, its client and the commands.
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

	// pollEvery and pollJitter spread the reads of the head: 340 VMs make 32 to 34 reads/s of the 2,000 allowed.
	pollEvery  = 10 * time.Second
	pollJitter = time.Second
	// callTimeout bounds one call of the platform, so that an answer that never comes does not stop the polling.
	callTimeout = 5 * time.Second
	// waitingLogTime is the pause between log lines of a VM that waits for its first configuration.
	waitingLogTime = time.Minute
	// page is the number of changes read at once.
	page = 100
)

// head is the row config/head.
type head struct {
	Version   uint64 `json:"version"`
	Operation string `json:"operation"`
	revision  uint64
}

// Platform is what the store needs of the platform.
type Platform interface {
	guavaplatform.Table
	guavaplatform.Objects
}

// StoreCounts counts what a store did.
type StoreCounts struct {
	Polls     int64 // reads of the head by Run
	Failures  int64 // polls that failed
	Applied   int64 // changes that this store committed
	Conflicts int64 // changes refused because another was accepted first
	Resolved  int64 // changes whose lost answer was read back
}

// Store keeps the accepted configuration versions in the platform. Every method may be called concurrently.
type Store struct {
	platform Platform
	holder   *guavaconfig.Holder
	spread   func([]guavaconfig.Change)
	newKey   func() (NewKey, error)
	logger   hclog.Logger
	pending  atomic.Pointer[guavaconfig.Snapshot] // compacted snapshot that is not yet stored
	polls    atomic.Int64
	failures atomic.Int64
	applied  atomic.Int64
	conflict atomic.Int64
	settled  atomic.Int64
}

// StoreOption sets up a Store.
type StoreOption func(*Store)

// WithOnCommit calls f with each change that this store committed, once it is in force on this VM.
func WithOnCommit(f func([]guavaconfig.Change)) StoreOption { return func(s *Store) { s.spread = f } }

// WithNewKey replaces the generator of keys.
func WithNewKey(f func() (NewKey, error)) StoreOption { return func(s *Store) { s.newKey = f } }

// WithStoreLogger sets the logger of changes of state.
func WithStoreLogger(l hclog.Logger) StoreOption { return func(s *Store) { s.logger = l } }

// NewStore returns a store that keeps holder up to date.
func NewStore(p Platform, holder *guavaconfig.Holder, opts ...StoreOption) *Store {
	s := &Store{
		platform: p,
		holder:   holder,
		spread:   func([]guavaconfig.Change) {},
		newKey:   generateKey,
		logger:   hclog.NewNullLogger(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Holder returns the holder that the store keeps up to date.
func (s *Store) Holder() *guavaconfig.Holder { return s.holder }

// Counts returns the counters.
func (s *Store) Counts() StoreCounts {
	return StoreCounts{
		Polls: s.polls.Load(), Failures: s.failures.Load(), Applied: s.applied.Load(),
		Conflicts: s.conflict.Load(), Resolved: s.settled.Load(),
	}
}

// Run reads the head every 10 s plus jitter and fetches what is missing, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	// The first wait is drawn from the whole interval, so that VMs started together do not read together.
	wait := rand.N(pollEvery)
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = pollEvery + rand.N(pollJitter)
		s.polls.Add(1)
		err := s.CatchUp(ctx)
		if err == nil {
			err = s.compact(ctx)
		}
		if err != nil {
			s.failures.Add(1)
		}
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			s.logger.Info("configuration polling changed", "failing", failing, "error", err, "version", s.holder.Head())
		}
	}
}

// CatchUp reads the head and puts the changes up to it in force.
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
		changes, err := s.changes(ctx, after, page)
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

// Start puts the configuration of the table in force on a VM that has none: the newest compacted snapshot and the
// changes after it. When the platform does not answer, it takes the snapshot of a peer, if peer is not nil. It tries
// until it succeeds or ctx ends.
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
			s.logger.Warn("no configuration yet, callers are not served: neither the platform nor another VM gives one",
				"seconds", int(now.Sub(begin).Seconds()), "error", err)
			next = now.Add(waitingLogTime)
		}
		select {
		case <-ctx.Done():
			return errors.Newf("start configuration: %w", err)
		case <-time.After(time.Second + rand.N(time.Second)):
		}
	}
}

func (s *Store) startFromPlatform(ctx context.Context) error {
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	// A snapshot can be missing for a while after its version was accepted; the one before then serves.
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

// compact stores the pending snapshot, if any.
func (s *Store) compact(ctx context.Context) error {
	snapshot := s.pending.Load()
	if snapshot == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A repeated put writes the same bytes, so an unknown outcome needs no reading back.
	if err := s.platform.Put(ctx, versionKey(snapshotKey, snapshot.Version()), newReader(snapshot.Encode())); err != nil {
		return errors.Newf("store snapshot: %w", err)
	}
	s.pending.CompareAndSwap(snapshot, nil)
	return nil
}

// readHead returns the head row; version 0 when nothing was accepted yet.
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

// changes reads at most limit changes after a version, in order.
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

// versionKey returns a key whose order is that of the versions.
func versionKey(prefix string, version uint64) string { return fmt.Sprintf("%s%012d", prefix, version) }

// Package guavafallback relays calls to the platform's store through other VMs while this VM cannot reach the store.
package guavafallback

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/io/guavamesh"
	"guavaridge/io/guavaplatform"
)

const (
	// relayTimeout bounds a call through another VM. It is longer than a call to the store itself.
	relayTimeout = 1400 * time.Millisecond
	// directTimeout bounds a direct call while links to other VMs exist. It is many times the duration of a typical call.
	directTimeout = 400 * time.Millisecond
	// statusLifetime is how long the result of a direct call, or the timeout of one through a peer, decides whether this
	// way is used first.
	statusLifetime = time.Second
	// probeInterval is the time between direct calls to an unresponsive store, the maximum delay until its recovery is
	// noticed.
	probeInterval = 200 * time.Millisecond
	// maxRelays is the maximum number of VMs through which a call is attempted.
	maxRelays = 3
	// maxConcurrent is the maximum number of concurrent calls for other VMs.
	maxConcurrent = 32
)

// Store calls the platform's store directly, and through other VMs when direct calls fail.
type Store struct {
	guavaplatform.RevisionTable
	guavaplatform.Objects
	isDown  func() bool
	links   func(n int) []*guavamesh.Link
	logger  hclog.Logger
	serving chan struct{} // one element for each call in flight for another VM

	mu           sync.Mutex
	failingUntil time.Time            // direct calls count as failing until then, after one that failed
	healthyUntil time.Time            // direct calls count as succeeding until then, after one that did
	unresponsive bool                 // the last direct call timed out, rather than being rejected
	probing      bool                 // a direct call is in flight although these count as failing
	nextProbe    time.Time            // when the next such call may be made
	skipUntil    map[string]time.Time // names of VMs that did not respond, and until when none is used as a relay
	lastNumber   uint64
	pending      map[uint64]chan reply
}

// New returns a store that calls table and objects directly unless isDown reports an outage of the store. The function
// links returns up to n links to other VMs, in random order.
func New(
	table guavaplatform.RevisionTable, objects guavaplatform.Objects, isDown func() bool,
	links func(n int) []*guavamesh.Link, logger hclog.Logger,
) *Store {
	return &Store{
		RevisionTable: table, Objects: objects, isDown: isDown, links: links, logger: logger,
		serving: make(chan struct{}, maxConcurrent), pending: map[uint64]chan reply{}, skipUntil: map[string]time.Time{},
	}
}

// isFailing reports whether direct calls are expected to fail.
func (s *Store) isFailing() bool {
	s.mu.Lock()
	now := time.Now()
	healthy, failing := now.Before(s.healthyUntil), now.Before(s.failingUntil)
	s.mu.Unlock()
	return !healthy && (failing || s.isDown())
}

// withDirectTimeout returns a context with directTimeout if links to other VMs exist.
func (s *Store) withDirectTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if len(s.links(1)) == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, directTimeout)
}

// recordResult records the result of a direct call that began at the given time. A call that its caller cancelled is
// ignored, since it does not show the state of the store.
func (s *Store) recordResult(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if errors.Is(err, guavaplatform.ErrUnavailable) || errors.Is(err, guavaplatform.ErrUnknown) {
		s.failingUntil, s.healthyUntil = now.Add(statusLifetime), time.Time{}
		s.unresponsive = now.Sub(began) >= directTimeout
		return
	}
	s.failingUntil, s.healthyUntil, s.unresponsive = time.Time{}, now.Add(statusLifetime), false
}

// beginProbe reports whether a direct call may be made although these count as failing. While the store is
// unresponsive, probes are made one at a time and probeInterval apart, so that not every caller waits for the timeout
// during an outage.
func (s *Store) beginProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsive && (s.probing || time.Now().Before(s.nextProbe)) {
		return false
	}
	s.probing = true
	return true
}

func (s *Store) endProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing, s.nextProbe = false, time.Now().Add(probeInterval)
}

// callFunc makes a store call, either directly or through another VM.
type callFunc[T any] func(ctx context.Context) (T, error)

// call makes a store call: directly unless that is expected to fail, then through other VMs, and at last directly as a
// probe, since the recovery of the store may not have been noticed. The function isFinal reports whether the result of
// the first direct call is returned without another attempt.
func call[T any](ctx context.Context, s *Store, direct callFunc[T], isFinal func(err error) bool, relay callFunc[T]) (T, error) {
	if !s.isFailing() {
		directCtx, stop := s.withDirectTimeout(ctx)
		began := time.Now()
		v, err := direct(directCtx)
		stop()
		s.recordResult(ctx, began, err)
		if isFinal(err) {
			return v, err
		}
	}
	v, err := relay(ctx)
	if !errors.Is(err, guavaplatform.ErrUnavailable) || !s.beginProbe() {
		return v, err
	}
	defer s.endProbe()
	began := time.Now()
	v, err = direct(ctx)
	s.recordResult(ctx, began, err)
	return v, err
}

// isIdempotentFinal reports whether the result of an idempotent call is final, so that no other attempt is made.
func isIdempotentFinal(err error) bool { return err == nil || errors.Is(err, guavaplatform.ErrAbsent) }

// isCommitFinal reports whether a commit must not be attempted again: it succeeded, was rejected, or may have been
// executed.
func isCommitFinal(err error) bool { return !errors.Is(err, guavaplatform.ErrUnavailable) }

// CommitAt implements guavaplatform.RevisionTable. A commit through another VM may have been executed although its
// response was lost. In this case the checks of a retry fail.
func (s *Store) CommitAt(
	ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write,
) (uint64, error) {
	return call(ctx, s, func(ctx context.Context) (uint64, error) {
		return s.RevisionTable.CommitAt(ctx, checks, writes) //nolint:wrapcheck // as the store says it
	}, isCommitFinal, func(ctx context.Context) (uint64, error) {
		r, err := s.relay(ctx, request{Operation: opCommit, Checks: checks, Writes: writes})
		return r.Revision, err
	})
}

// Commit implements guavaplatform.Table.
func (s *Store) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	_, err := s.CommitAt(ctx, checks, writes)
	return err
}

// Read implements guavaplatform.Table.
func (s *Store) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	return call(ctx, s, func(ctx context.Context) (guavaplatform.Row, error) {
		return s.RevisionTable.Read(ctx, key) //nolint:wrapcheck // as the store says it
	}, isIdempotentFinal, func(ctx context.Context) (guavaplatform.Row, error) {
		r, err := s.relay(ctx, request{Operation: opRead, Key: key})
		if err == nil && len(r.Rows) != 1 {
			err = fmt.Errorf("read %s: got %d rows, want 1: %w", key, len(r.Rows), guavaplatform.ErrUnavailable)
		}
		if err != nil {
			return guavaplatform.Row{}, err
		}
		return r.Rows[0], nil
	})
}

// Scan implements guavaplatform.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]guavaplatform.Row, error) {
	return call(ctx, s, func(ctx context.Context) ([]guavaplatform.Row, error) {
		return s.RevisionTable.Scan(ctx, prefix, after, limit) //nolint:wrapcheck // as the store says it
	}, isIdempotentFinal, func(ctx context.Context) ([]guavaplatform.Row, error) {
		r, err := s.relay(ctx, request{Operation: opScan, Key: prefix, After: after, Limit: limit})
		return r.Rows, err
	})
}

// Put implements guavaplatform.Objects.
func (s *Store) Put(ctx context.Context, key string, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("put %s: read body: %w", key, err)
	}
	_, err = call(ctx, s, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.Objects.Put(ctx, key, bytes.NewReader(data)) //nolint:wrapcheck // as the store says it
	}, isIdempotentFinal, func(ctx context.Context) (struct{}, error) {
		_, err := s.relay(ctx, request{Operation: opPut, Key: key, Body: data})
		return struct{}{}, err
	})
	return err
}

// Get implements guavaplatform.Objects.
func (s *Store) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	return call(ctx, s, func(ctx context.Context) (io.ReadCloser, error) {
		return s.Objects.Get(ctx, key) //nolint:wrapcheck // as the store says it
	}, isIdempotentFinal, func(ctx context.Context) (io.ReadCloser, error) {
		r, err := s.relay(ctx, request{Operation: opGet, Key: key})
		if err != nil {
			return nil, err
		}
		return io.NopCloser(bytes.NewReader(r.Body)), nil
	})
}

// relay makes a call through other VMs, one after the other. It returns ErrUnavailable if none of them could execute
// it.
func (s *Store) relay(ctx context.Context, q request) (reply, error) {
	last := fmt.Errorf("no other VM available to relay the store call: %w", guavaplatform.ErrUnavailable)
	for _, l := range s.links(maxRelays) {
		s.mu.Lock()
		skip := time.Now().Before(s.skipUntil[l.Peer.Name])
		s.mu.Unlock()
		if skip {
			continue
		}
		r, err := s.relayThrough(ctx, l, q)
		if err == nil || !errors.Is(err, guavaplatform.ErrUnavailable) {
			s.logger.Info("store called through another VM", "peer", l.Peer.Name, "operation", q.Operation, "error", err)
			return r, err
		}
		last = err
	}
	return reply{}, last
}

func (s *Store) relayThrough(ctx context.Context, l *guavamesh.Link, q request) (reply, error) {
	response := make(chan reply, 1)
	s.mu.Lock()
	s.lastNumber++
	q.Number = s.lastNumber
	s.pending[q.Number] = response
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pending, q.Number)
		s.mu.Unlock()
	}()
	l.Send(q)
	timer := time.NewTimer(relayTimeout)
	defer timer.Stop()
	select {
	case r := <-response:
		if r.Outcome == success {
			return r, nil
		}
		return r, fmt.Errorf("%s through %s: %w", q.Operation, l.Peer.Name, outcomeErrors[r.Outcome])
	case <-timer.C:
		s.mu.Lock()
		s.skipUntil[l.Peer.Name] = time.Now().Add(statusLifetime)
		s.mu.Unlock()
	case <-ctx.Done():
	}
	if q.Operation == opCommit {
		return reply{}, fmt.Errorf("%s through %s: %w", q.Operation, l.Peer.Name, guavaplatform.ErrUnknown)
	}
	return reply{}, fmt.Errorf("%s through %s: %w", q.Operation, l.Peer.Name, guavaplatform.ErrUnavailable)
}

// Receive handles a message of another VM. It returns false if the message is of another type.
func (s *Store) Receive(l *guavamesh.Link, message any) bool {
	switch m := message.(type) {
	case request:
		select {
		case s.serving <- struct{}{}:
			go func() {
				defer func() { <-s.serving }()
				l.Send(s.serve(m))
			}()
		default:
			l.Send(reply{Number: m.Number, Outcome: unavailable})
		}
	case reply:
		s.mu.Lock()
		response := s.pending[m.Number]
		delete(s.pending, m.Number)
		s.mu.Unlock()
		if response != nil {
			response <- m
		}
	default:
		return false
	}
	return true
}

// serve makes a call for another VM. It makes only direct calls, so that calls are not relayed in a loop.
func (s *Store) serve(q request) reply {
	r := reply{Number: q.Number}
	if s.isFailing() {
		r.Outcome = unavailable
		return r
	}
	// The requesting VM waits for relayTimeout, which is longer.
	ctx, stop := context.WithTimeout(context.Background(), directTimeout)
	defer stop()
	began := time.Now()
	var err error
	switch q.Operation {
	case opCommit:
		r.Revision, err = s.RevisionTable.CommitAt(ctx, q.Checks, q.Writes)
	case opRead:
		var row guavaplatform.Row
		row, err = s.RevisionTable.Read(ctx, q.Key)
		r.Rows = []guavaplatform.Row{row}
	case opScan:
		r.Rows, err = s.RevisionTable.Scan(ctx, q.Key, q.After, q.Limit)
	case opPut:
		err = s.Objects.Put(ctx, q.Key, bytes.NewReader(q.Body))
	case opGet:
		r.Body, err = s.readObject(ctx, q.Key)
	default:
		err = fmt.Errorf("unknown operation %q: %w", q.Operation, guavaplatform.ErrUnavailable)
	}
	s.recordResult(context.Background(), began, err) // the timeout is this VM's own
	r.Outcome = outcomeOf(err)
	return r
}

func (s *Store) readObject(ctx context.Context, key string) ([]byte, error) {
	body, err := s.Objects.Get(ctx, key)
	if err != nil {
		return nil, err //nolint:wrapcheck // only its kind is passed on
	}
	defer body.Close()
	return io.ReadAll(body) //nolint:wrapcheck // likewise
}

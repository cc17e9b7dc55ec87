// Package guavafallback makes calls to the platform's store through other VMs while the store does not serve this one.
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
	// callTime bounds a call through another VM. It is longer than a call to the store itself.
	callTime = 1400 * time.Millisecond
	// directTime bounds a direct call while there are other VMs to turn to. It is many times a usual call.
	directTime = 400 * time.Millisecond
	// badTime is how long after a failed direct call other VMs are asked first.
	badTime = time.Second
	// probePause is the wait between direct calls while the store is silent: what its return stays unnoticed at most.
	probePause = 200 * time.Millisecond
	// sources is the number of VMs that are tried for a call.
	sources = 3
	// concurrent bounds the calls that this VM makes for others at a time.
	concurrent = 32
)

// Store is a store that is reached through other VMs where the direct way fails.
type Store struct {
	guavaplatform.RevisionTable
	guavaplatform.Objects
	lost    func() bool
	links   func(n int) []*guavamesh.Link
	logger  hclog.Logger
	serving chan struct{}

	mu      sync.Mutex
	bad     time.Time            // until when direct calls count as failing
	good    time.Time            // until when they count as served, after one that was
	silent  bool                 // the last direct call got no answer, rather than a refusal
	probing bool                 // a direct call is under way although they count as failing
	probe   time.Time            // when the next such call may be made
	mute    map[string]time.Time // until when VMs are not asked, by name
	number  uint64
	waiting map[uint64]chan reply
}

// New returns a store that calls table and objects directly unless lost says that the store does not answer. Links returns
// up to n links to other VMs, in random order.
func New(
	table guavaplatform.RevisionTable, objects guavaplatform.Objects, lost func() bool,
	links func(n int) []*guavamesh.Link, logger hclog.Logger,
) *Store {
	return &Store{
		RevisionTable: table, Objects: objects, lost: lost, links: links, logger: logger,
		serving: make(chan struct{}, concurrent), waiting: map[uint64]chan reply{}, mute: map[string]time.Time{},
	}
}

// failing reports whether direct calls are expected to fail.
func (s *Store) failing() bool {
	s.mu.Lock()
	now := time.Now()
	good, bad := now.Before(s.good), now.Before(s.bad)
	s.mu.Unlock()
	return !good && (bad || s.lost())
}

// bound bounds a direct call while there are other VMs to turn to.
func (s *Store) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if len(s.links(1)) == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, directTime)
}

// note takes in how a direct call went that began at a time. One whose caller gave up says nothing about the store.
func (s *Store) note(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if errors.Is(err, guavaplatform.ErrUnavailable) || errors.Is(err, guavaplatform.ErrUnknown) {
		s.bad, s.good = now.Add(badTime), time.Time{}
		s.silent = now.Sub(began) >= directTime
		return
	}
	s.bad, s.good, s.silent = time.Time{}, now.Add(badTime), false
}

// beginProbe reports whether a direct call may be made although they count as failing. While the store is silent that is one
// at a time, with a pause after each, so that an outage does not make every caller wait for it.
func (s *Store) beginProbe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent && (s.probing || time.Now().Before(s.probe)) {
		return false
	}
	s.probing = true
	return true
}

func (s *Store) endProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing, s.probe = false, time.Now().Add(probePause)
}

// way is one of the ways to make a call.
type way[T any] func(ctx context.Context) (T, error)

// call makes a call: directly unless that is expected to fail, then through other VMs, and directly as the last resort, since
// the store may be back before anything shows it. Final reports whether the outcome of the first direct call stands.
func call[T any](ctx context.Context, s *Store, direct way[T], final func(err error) bool, ask way[T]) (T, error) {
	if !s.failing() {
		short, stop := s.bound(ctx)
		began := time.Now()
		v, err := direct(short)
		stop()
		s.note(ctx, began, err)
		if final(err) {
			return v, err
		}
	}
	v, err := ask(ctx)
	if !errors.Is(err, guavaplatform.ErrUnavailable) || !s.beginProbe() {
		return v, err
	}
	defer s.endProbe()
	began := time.Now()
	v, err = direct(ctx)
	s.note(ctx, began, err)
	return v, err
}

// isKnown reports whether a call that changes nothing, or the same however often it is made, needs no other way.
func isKnown(err error) bool { return err == nil || errors.Is(err, guavaplatform.ErrAbsent) }

// isDecided reports whether a commit must not be made again by other ways: it was done or refused, or may have been done.
func isDecided(err error) bool { return !errors.Is(err, guavaplatform.ErrUnavailable) }

// CommitAt implements guavaplatform.Log. A commit through another VM may have been done before the answer was lost, which
// the checks of a repeated one show.
func (s *Store) CommitAt(
	ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write,
) (uint64, error) {
	return call(ctx, s, func(ctx context.Context) (uint64, error) {
		return s.RevisionTable.CommitAt(ctx, checks, writes) //nolint:wrapcheck // as the store says it
	}, isDecided, func(ctx context.Context) (uint64, error) {
		r, err := s.ask(ctx, request{Operation: opCommit, Checks: checks, Writes: writes})
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
	}, isKnown, func(ctx context.Context) (guavaplatform.Row, error) {
		r, err := s.ask(ctx, request{Operation: opRead, Key: key})
		if err == nil && len(r.Rows) != 1 {
			err = fmt.Errorf("read %s: %d rows: %w", key, len(r.Rows), guavaplatform.ErrUnavailable)
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
	}, isKnown, func(ctx context.Context) ([]guavaplatform.Row, error) {
		r, err := s.ask(ctx, request{Operation: opScan, Key: prefix, After: after, Limit: limit})
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
	}, isKnown, func(ctx context.Context) (struct{}, error) {
		_, err := s.ask(ctx, request{Operation: opPut, Key: key, Body: data})
		return struct{}{}, err
	})
	return err
}

// Get implements guavaplatform.Objects.
func (s *Store) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	return call(ctx, s, func(ctx context.Context) (io.ReadCloser, error) {
		return s.Objects.Get(ctx, key) //nolint:wrapcheck // as the store says it
	}, isKnown, func(ctx context.Context) (io.ReadCloser, error) {
		r, err := s.ask(ctx, request{Operation: opGet, Key: key})
		if err != nil {
			return nil, err
		}
		return io.NopCloser(bytes.NewReader(r.Body)), nil
	})
}

// ask makes a call through another VM. ErrUnavailable means that none could make it.
func (s *Store) ask(ctx context.Context, q request) (reply, error) {
	last := fmt.Errorf("no other VM to call the store through: %w", guavaplatform.ErrUnavailable)
	for _, l := range s.links(sources) {
		s.mu.Lock()
		mute := time.Now().Before(s.mute[l.Peer.Name])
		s.mu.Unlock()
		if mute {
			continue
		}
		r, err := s.askOne(ctx, l, q)
		if err == nil || !errors.Is(err, guavaplatform.ErrUnavailable) {
			s.logger.Info("store called through another VM", "peer", l.Peer.Name, "operation", q.Operation, "error", err)
			return r, err
		}
		last = err
	}
	return reply{}, last
}

func (s *Store) askOne(ctx context.Context, l *guavamesh.Link, q request) (reply, error) {
	answer := make(chan reply, 1)
	s.mu.Lock()
	s.number++
	q.Number = s.number
	s.waiting[q.Number] = answer
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, q.Number)
		s.mu.Unlock()
	}()
	l.Send(q)
	timer := time.NewTimer(callTime)
	defer timer.Stop()
	select {
	case r := <-answer:
		if r.Outcome == fine {
			return r, nil
		}
		return r, fmt.Errorf("%s through %s: %w", q.Operation, l.Peer.Name, outcomes[r.Outcome])
	case <-timer.C:
		s.mu.Lock()
		s.mute[l.Peer.Name] = time.Now().Add(badTime)
		s.mu.Unlock()
	case <-ctx.Done():
	}
	if q.Operation == opCommit {
		return reply{}, fmt.Errorf("%s through %s: %w", q.Operation, l.Peer.Name, guavaplatform.ErrUnknown)
	}
	return reply{}, fmt.Errorf("%s through %s: %w", q.Operation, l.Peer.Name, guavaplatform.ErrUnavailable)
}

// Receive takes in a message of another VM, and returns false if it is of another kind.
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
		answer := s.waiting[m.Number]
		delete(s.waiting, m.Number)
		s.mu.Unlock()
		if answer != nil {
			answer <- m
		}
	default:
		return false
	}
	return true
}

// serve makes a call for another VM. It is made directly only, so that calls do not go in circles.
func (s *Store) serve(q request) reply {
	r := reply{Number: q.Number}
	if s.failing() {
		r.Outcome = unavailable
		return r
	}
	// The VM that asks waits somewhat longer.
	ctx, stop := context.WithTimeout(context.Background(), directTime)
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
		r.Body, err = s.get(ctx, q.Key)
	default:
		err = fmt.Errorf("operation %q: %w", q.Operation, guavaplatform.ErrUnavailable)
	}
	s.note(context.Background(), began, err) // the bound is this VM's own
	r.Outcome = outcomeOf(err)
	return r
}

func (s *Store) get(ctx context.Context, key string) ([]byte, error) {
	body, err := s.Objects.Get(ctx, key)
	if err != nil {
		return nil, err //nolint:wrapcheck // only its kind is passed on
	}
	defer body.Close()
	return io.ReadAll(body) //nolint:wrapcheck // likewise
}

package guavafallback_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/io/guavafallback"
	"guavaridge/io/guavamesh"
	"guavaridge/io/guavaplatform"
)

const (
	// responseTime is the duration of a call to a responsive table, including rejected ones.
	responseTime = 4 * time.Millisecond
	// clientTimeout is the duration after which a call to an unresponsive table fails.
	clientTimeout = 1100 * time.Millisecond
)

// table is a fake of the store's table.
type table struct {
	guavaplatform.RevisionTable

	mu           sync.Mutex
	unresponsive bool
	busy         bool
	calls        int
}

func (t *table) set(unresponsive, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsive, t.busy = unresponsive, busy
}

func (t *table) called() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// Read implements guavaplatform.Table.
func (t *table) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	t.mu.Lock()
	t.calls++
	unresponsive, busy := t.unresponsive, t.busy
	t.mu.Unlock()
	duration := responseTime
	if unresponsive {
		duration = clientTimeout
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	if unresponsive || busy {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	return guavaplatform.Row{Key: key}, nil
}

// newStore returns a store that calls the table, for a VM without links to other VMs.
func newStore(t *table, isDown bool) *guavafallback.Store {
	return guavafallback.New(t, nil, func() bool { return isDown }, func(int) []*guavamesh.Link { return nil },
		hclog.NewNullLogger())
}

// TestRecoveryAfterRejections guards against a recovery of the store that is not noticed: after rejected calls the next
// direct call is made without a wait, although the store still counts as down.
func TestRecoveryAfterRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{busy: true}
		s := newStore(rows, true)
		for range 3 {
			if _, err := s.Read(t.Context(), "a"); !errors.Is(err, guavaplatform.ErrUnavailable) {
				t.Errorf("read from a busy store: got error %v, want ErrUnavailable", err)
			}
		}
		if n := rows.called(); n != 3 {
			t.Errorf("got %d direct calls, want 3", n)
		}
		rows.set(false, false)
		if _, err := s.Read(t.Context(), "a"); err != nil {
			t.Errorf("read after the recovery of the store: %v", err)
		}
	})
}

// TestUnresponsiveStore guards against an outage in which every caller waits for the timeout of a direct call, and
// against a store that is never probed again.
func TestUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{unresponsive: true}
		s := newStore(rows, true)
		if _, err := s.Read(t.Context(), "a"); err == nil {
			t.Error("read from an unresponsive store: got no error")
		}
		time.Sleep(time.Second)
		var all sync.WaitGroup
		var mu sync.Mutex
		waited := 0
		for range 10 {
			all.Go(func() {
				began := time.Now()
				if _, err := s.Read(t.Context(), "a"); err == nil {
					t.Error("read from an unresponsive store: got no error")
				}
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) > 0 {
					waited++
				}
			})
		}
		all.Wait()
		if waited != 1 {
			t.Errorf("got %d of 10 callers waiting for the unresponsive store, want 1", waited)
		}
		rows.set(false, false)
		time.Sleep(250 * time.Millisecond)
		if _, err := s.Read(t.Context(), "a"); err != nil {
			t.Errorf("read after the recovery of the store: %v", err)
		}
	})
}

// TestCancelledCall guards against a call that its caller cancels early and that makes direct calls count as failing.
func TestCancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{}
		s := newStore(rows, false)
		ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		if _, err := s.Read(ctx, "a"); err == nil {
			t.Error("read with a timeout of 1 ms: got no error")
		}
		before := rows.called()
		rows.set(false, true)
		if _, err := s.Read(t.Context(), "a"); err == nil {
			t.Error("read from a busy store: got no error")
		}
		// The first direct call and the probe.
		if n := rows.called() - before; n != 2 {
			t.Errorf("got %d direct calls after a cancelled one, want 2", n)
		}
	})
}

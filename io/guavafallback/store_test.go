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

// answerTime is how long the table takes to answer, refusals too, and silence when a call of a silent one is given up.
const (
	answerTime = 4 * time.Millisecond
	silence    = 1100 * time.Millisecond
)

// table stands in for the store's table.
type table struct {
	guavaplatform.RevisionTable

	mu     sync.Mutex
	silent bool
	busy   bool
	calls  int
}

func (t *table) set(silent, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent, t.busy = silent, busy
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
	silent, busy := t.silent, t.busy
	t.mu.Unlock()
	took := answerTime
	if silent {
		took = silence
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	if silent || busy {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	return guavaplatform.Row{Key: key}, nil
}

// newStore returns a store on a table for a VM that reaches no other.
func newStore(t *table, lost bool) *guavafallback.Store {
	return guavafallback.New(t, nil, func() bool { return lost }, func(int) []*guavamesh.Link { return nil },
		hclog.NewNullLogger())
}

// TestReturn guards against a store whose return stays unnoticed: after refusals the next call is made at once, although the
// tables that this VM follows still count as lost.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{busy: true}
		s := newStore(rows, true)
		for range 3 {
			if _, err := s.Read(t.Context(), "a"); !errors.Is(err, guavaplatform.ErrUnavailable) {
				t.Errorf("read from a busy store: %v", err)
			}
		}
		if n := rows.called(); n != 3 {
			t.Errorf("%d of 3 reads were tried", n)
		}
		rows.set(false, false)
		if _, err := s.Read(t.Context(), "a"); err != nil {
			t.Errorf("read after the store's return: %v", err)
		}
	})
}

// TestSilence guards against an outage that makes every caller wait for the silence of the store, and against one that is
// never looked at again.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{silent: true}
		s := newStore(rows, true)
		if _, err := s.Read(t.Context(), "a"); err == nil {
			t.Error("read from a silent store")
		}
		time.Sleep(time.Second)
		var all sync.WaitGroup
		var mu sync.Mutex
		waited := 0
		for range 10 {
			all.Go(func() {
				began := time.Now()
				if _, err := s.Read(t.Context(), "a"); err == nil {
					t.Error("read from a silent store")
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
			t.Errorf("%d of 10 callers waited for the silent store, want 1", waited)
		}
		rows.set(false, false)
		time.Sleep(250 * time.Millisecond)
		if _, err := s.Read(t.Context(), "a"); err != nil {
			t.Errorf("read after the store's return: %v", err)
		}
	})
}

// TestImpatientCaller guards against a caller that gives up and makes all calls of this VM go other ways.
func TestImpatientCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := &table{}
		s := newStore(rows, false)
		ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		if _, err := s.Read(ctx, "a"); err == nil {
			t.Error("read within a millisecond")
		}
		before := rows.called()
		rows.set(false, true)
		if _, err := s.Read(t.Context(), "a"); err == nil {
			t.Error("read from a busy store")
		}
		// A direct call, and once more as the last resort.
		if n := rows.called() - before; n != 2 {
			t.Errorf("%d direct calls after a caller gave up, want 2", n)
		}
	})
}

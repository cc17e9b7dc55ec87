package guavaview_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaview"
)

const (
	pollTime      = time.Second            // of a long poll
	probeInterval = 300 * time.Millisecond // between probes
	callTimeout   = 700 * time.Millisecond // of a call beyond its wait
)

// outageFeed is a table without changes, whose calls fail or get no response during an outage. A call without a response ends after its
// time, also if the outage is over.
type outageFeed struct {
	guavaplatform.Feed
	from, to time.Time
	fails    bool // at once

	mu    sync.Mutex
	calls []time.Time
}

// made returns the times of the calls for changes so far.
func (f *outageFeed) made() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// Snapshot implements guavaplatform.Feed.
func (*outageFeed) Snapshot(context.Context, string, []string) ([]guavaplatform.Row, uint64, error) {
	return nil, 1, nil
}

// Changes implements guavaplatform.Feed.
func (f *outageFeed) Changes(
	_ context.Context, _ string, position uint64, wait time.Duration,
) ([]guavaplatform.RowChange, uint64, error) {
	now := time.Now()
	f.mu.Lock()
	f.calls = append(f.calls, now)
	f.mu.Unlock()
	begun := !now.Before(f.from) && now.Before(f.to)
	waits := now.Before(f.from) && now.Add(wait).After(f.from)
	switch {
	case (begun || waits) && f.fails:
		time.Sleep(time.Until(f.from)) // not at all if it has begun
		return nil, position, guavaplatform.ErrUnavailable
	case begun || waits:
		time.Sleep(wait + callTimeout)
		return nil, position, guavaplatform.ErrUnavailable
	}
	time.Sleep(wait)
	return nil, position, nil
}

// TestProbes guards against a return of the store that is noticed late, because calls wait for a response that never comes or for a
// long backoff, and against calls that grow in number with the outage.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		away  time.Duration
		fails bool
	}{
		"no response": {away: 4500 * time.Millisecond}, "no response for long": {away: 40 * time.Second},
		"no response on one connection": {away: time.Millisecond},
		"failures":                      {away: 5 * time.Second, fails: true}, "failures for long": {away: 33 * time.Second, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < pollTime; offset += 90 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					start := time.Now()
					f := &outageFeed{from: start.Add(3*time.Second + offset), fails: c.fails}
					f.to = f.from.Add(c.away)
					var failed, returned time.Time
					var away time.Duration
					v := guavaview.New(f, table, []string{"0"}, pollTime, func([]guavaplatform.RowChange, bool) {}, hclog.NewNullLogger())
					v.SetAvailability(guavaview.Availability{
						Failed: func() { failed = time.Now() },
						Responded: func(at time.Time, d time.Duration) {
							if !failed.IsZero() && returned.IsZero() {
								returned, away = at, d
							}
						},
					}, probeInterval)
					ctx, stop := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() {
						v.Run(ctx)
						close(done)
					}()
					time.Sleep(time.Until(f.to.Add(5 * time.Second)))
					stop()
					<-done
					switch {
					case failed.IsZero() || returned.IsZero():
						t.Errorf("offset %v: failure at %v, return at %v, want both", offset, failed, returned)
					case c.away >= pollTime && returned.Sub(f.to) > probeInterval:
						t.Errorf("offset %v: return noticed after %v, want %v or less", offset, returned.Sub(f.to), probeInterval)
					case failed.Sub(f.from) > pollTime+probeInterval:
						t.Errorf("offset %v: failure noticed after %v", offset, failed.Sub(f.from))
					case away < c.away || away > c.away+2*pollTime:
						t.Errorf("offset %v: the store was away for %v, want %v", offset, away, c.away)
					}
					calls := 0
					for _, at := range f.made() {
						if at.After(f.from) && at.Before(f.to) {
							calls++
						}
					}
					if most := int(c.away/(probeInterval*4/5)) + 2; calls > most {
						t.Errorf("offset %v: %d calls in %v, want %d or fewer", offset, calls, c.away, most)
					}
					time.Sleep(time.Minute) // until all calls have ended
				})
			}
		})
	}
}

// TestProbesEnd guards against a VM that asks the store although other VMs forward the changes again.
func TestProbesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := &outageFeed{from: start.Add(time.Second), to: start.Add(time.Hour)}
		covered := func() bool { return time.Since(start) > 10*time.Second }
		v := guavaview.New(f, table, []string{"0"}, pollTime, func([]guavaplatform.RowChange, bool) {}, hclog.NewNullLogger())
		v.SetReplication(covered, nil)
		v.SetAvailability(guavaview.Availability{}, probeInterval)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			v.Run(ctx)
			close(done)
		}()
		time.Sleep(20 * time.Second)
		stop()
		<-done
		calls := f.made()
		if last := calls[len(calls)-1].Sub(start); last > 10*time.Second+probeInterval {
			t.Errorf("the last call was made after %v, want none after 10 s", last)
		}
		time.Sleep(time.Minute)
	})
}

// TestProbesAfterTruncation guards against a table that is not loaded again when the store has dropped its history during an outage.
func TestProbesAfterTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &truncatedFeed{outageFeed: outageFeed{from: time.Now().Add(time.Second), to: time.Now().Add(5 * time.Second)}}
		v := guavaview.New(f, table, []string{"0"}, pollTime, func([]guavaplatform.RowChange, bool) {}, hclog.NewNullLogger())
		v.SetAvailability(guavaview.Availability{}, probeInterval)
		ctx, stop := context.WithCancel(t.Context())
		go v.Run(ctx)
		time.Sleep(10 * time.Second)
		stop()
		if got := value(t, v); got != "new" {
			t.Errorf("got value %q, want \"new\"", got)
		}
		time.Sleep(time.Minute)
	})
}

// truncatedFeed is an outageFeed that has a new row, and no history before it, after the outage.
type truncatedFeed struct{ outageFeed }

// Snapshot implements guavaplatform.Feed.
func (f *truncatedFeed) Snapshot(context.Context, string, []string) ([]guavaplatform.Row, uint64, error) {
	if time.Now().Before(f.to) {
		return nil, 1, nil
	}
	return []guavaplatform.Row{row("new", 9)}, 9, nil
}

// Changes implements guavaplatform.Feed.
func (f *truncatedFeed) Changes(
	ctx context.Context, key string, position uint64, wait time.Duration,
) ([]guavaplatform.RowChange, uint64, error) {
	changes, next, err := f.outageFeed.Changes(ctx, key, position, wait)
	if err == nil && position < 9 && time.Now().After(f.to) {
		return nil, position, guavaplatform.ErrTruncated
	}
	return changes, next, err
}

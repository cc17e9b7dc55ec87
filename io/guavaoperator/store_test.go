package guavaoperator_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaoperator"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavastandin"
)

// newStore returns the store of a VM that holds nothing yet.
func newStore(p *guavastandin.Platform, vm string, opts ...guavaoperator.StoreOption) *guavaoperator.Store {
	return guavaoperator.NewStore(p.For("d1", vm), guavaconfig.NewHolder(), opts...)
}

// wanted declares one account with the rate.
func wanted(rate int) guavaconfig.Declarations {
	return guavaconfig.Declarations{Accounts: []guavaconfig.ClientAccount{{Name: "bank", Rate: float64(rate), Burst: 1, Weight: 1}}}
}

func request(base uint64, operation string, rate int) guavaoperator.Request {
	return guavaoperator.Request{
		Meta: guavaoperator.Meta{Operation: operation, Operator: "anna", Reason: "test"},
		Base: base, Desired: wanted(rate),
	}
}

// mustApply makes n changes on the newest version.
func mustApply(t *testing.T, s *guavaoperator.Store, n int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	for range n {
		base := s.Holder().Head()
		if _, err := s.Apply(ctx, request(base, fmt.Sprint("op", base), int(base)+1)); err != nil {
			t.Fatal(err)
		}
	}
}

// audit reads the whole trail.
func audit(t *testing.T, s *guavaoperator.Store) (guavaoperator.Audit, []guavaconfig.Entry) {
	t.Helper()
	var entries []guavaconfig.Entry
	a, err := s.Audit(t.Context(), 0, func(e guavaconfig.Entry) error {
		entries = append(entries, e)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return a, entries
}

// TestApplyRace guards against two operators whose changes both count although they planned on the same version. The
// delay makes both VMs read the head before either commits.
func TestApplyRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		stores := []*guavaoperator.Store{newStore(p, "v1"), newStore(p, "v2")}
		mustApply(t, stores[0], 1)
		if err := stores[1].CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		p.SetDelay(10 * time.Millisecond)
		var group sync.WaitGroup
		var results [2]error
		for i, s := range stores {
			group.Go(func() {
				_, results[i] = s.Apply(t.Context(), request(1, fmt.Sprint("race", i), 10+i))
			})
		}
		group.Wait()
		lost := 0
		for i, err := range results {
			if err == nil {
				continue
			}
			lost++
			conflict := (*guavaoperator.ConflictError)(nil)
			if !errors.As(err, &conflict) || conflict.Head != 2 || len(conflict.Changes) != 1 || conflict.Changes[0].Operation != fmt.Sprint("race", 1-i) {
				t.Errorf("operator %d got %v, want the conflict with the other's change", i, err)
			}
		}
		if got := p.Counts().Conflicts; lost != 1 || got != 1 {
			t.Errorf("%d of 2 operators were refused, %d commits in conflict, want 1 and 1", lost, got)
		}
		if a, entries := audit(t, stores[0]); a.Head != 2 || len(entries) != 2 || a.Missing != nil || a.Faults != nil {
			t.Errorf("audit %+v with %d entries", a, len(entries))
		}
	})
}

// TestApplyLostAnswer guards against a change that is made twice, or reported as failed, because its answer was lost.
func TestApplyLostAnswer(t *testing.T) {
	for name, fault := range map[string]func(*guavastandin.Platform){
		"answer lost":             func(p *guavastandin.Platform) { p.LoseResponses(1) },
		"request lost":            func(p *guavastandin.Platform) { p.LoseCommits(3) },
		"half of the answers":     func(p *guavastandin.Platform) { p.LoseResponsesWithProbability(0.5, 3) },
		"lost, then down for 20s": func(p *guavastandin.Platform) { p.LoseResponses(1); outage(p, 20*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := guavastandin.NewPlatform()
				s := newStore(p, "v1")
				fault(p)
				mustApply(t, s, 10)
				if a, entries := audit(t, s); a.Head != 10 || len(entries) != 10 || a.Faults != nil {
					t.Errorf("audit %+v with %d entries, want 10", a, len(entries))
				}
				if got := p.Counts().Writes; got != 20 {
					t.Errorf("%d rows written for 10 changes, want 20", got)
				}
			})
		})
	}
}

// TestLostToAnother guards against a change that is reported as accepted because another operator's change has the
// version that its lost commit would have made.
func TestLostToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		p.SetDelay(100 * time.Millisecond)
		p.LoseCommits(1)
		time.AfterFunc(60*time.Millisecond, func() { mustApply(t, newStore(p, "v2"), 1) })
		_, err := newStore(p, "v1").Apply(t.Context(), request(0, "op", 7))
		conflict := (*guavaoperator.ConflictError)(nil)
		if !errors.As(err, &conflict) || len(conflict.Changes) != 1 || conflict.Changes[0].Operation != "op0" {
			t.Errorf("got %v, want the conflict with op0", err)
		}
		other := request(0, "op0", 7)
		other.Operator = "bela"
		if _, err := newStore(p, "v1").Apply(t.Context(), other); !errors.Is(err, guavaoperator.ErrOperationUsed) {
			t.Errorf("an identifier of another operator: got %v, want %v", err, guavaoperator.ErrOperationUsed)
		}
	})
}

// TestMissingChange guards against a VM that waits for ever, or skips a version, when a change is missing in the table.
func TestMissingChange(t *testing.T) {
	for _, missing := range []int{1, 2, 3} {
		p := guavastandin.NewPlatform()
		mustApply(t, newStore(p, "v1"), 3)
		if err := p.Commit(t.Context(), nil, []guavaplatform.Write{{Key: fmt.Sprintf("config/change/%012d", missing), Delete: true}}); err != nil {
			t.Fatal(err)
		}
		s := newStore(p, "v2")
		if err := s.CatchUp(t.Context()); !errors.Is(err, guavaconfig.ErrGap) || s.Holder().Head() != uint64(missing-1) {
			t.Errorf("version %d missing: got %v at version %d", missing, err, s.Holder().Head())
		}
	}
}

// outage makes the platform fail from just after the next commit.
func outage(p *guavastandin.Platform, d time.Duration) {
	p.SetDelay(10 * time.Millisecond)
	time.AfterFunc(22*time.Millisecond, func() { p.SetDown(true) })
	time.AfterFunc(d, func() { p.SetDown(false) })
}

// TestApplyUnsettled guards against an outcome that is reported as known while the platform does not answer.
func TestApplyUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		s := newStore(p, "v1")
		p.LoseResponses(1)
		outage(p, time.Hour)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if _, err := s.Apply(ctx, request(0, "op", 1)); !errors.Is(err, guavaplatform.ErrUnknown) {
			t.Errorf("apply: got %v, want %v", err, guavaplatform.ErrUnknown)
		}
		time.Sleep(time.Hour)
		r, err := newStore(p, "v2").Apply(t.Context(), request(0, "op", 1))
		if err != nil || r.Version != 1 || !r.Repeated {
			t.Errorf("sent again to another VM: got %+v, %v", r, err)
		}
	})
}

// TestKilledBeforeSpread guards against a change that stays on the VM that made it when that VM is killed before it
// tells others, and against a second change when the operator sends the request again.
func TestKilledBeforeSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		killed := newStore(p, "v1", guavaoperator.WithOnCommit(func([]guavaconfig.Change) { p.PartitionVM("v1", true) }))
		mustApply(t, killed, 1)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stores := make([]*guavaoperator.Store, 0, 9)
		for i := range 9 {
			s := newStore(p, fmt.Sprint("w", i))
			stores = append(stores, s)
			go func() { _ = s.Run(ctx) }()
		}
		time.Sleep(11 * time.Second)
		synctest.Wait()
		for i, s := range stores {
			if s.Holder().Head() != 1 {
				t.Errorf("VM %d holds version %d after one poll, want 1", i, s.Holder().Head())
			}
		}
		if r, err := stores[0].Apply(ctx, request(0, "op0", 1)); err != nil || !r.Repeated || r.Version != 1 {
			t.Errorf("sent again: got %+v, %v", r, err)
		}
	})
}

// TestOutage guards against a VM that forgets its configuration in an outage of an hour, that cannot start, or that
// does not catch up afterwards.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		s := newStore(p, "v1")
		mustApply(t, s, 3)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()

		p.SetDown(true)
		if _, err := s.Apply(ctx, request(3, "op", 9)); !errors.Is(err, guavaplatform.ErrUnavailable) {
			t.Errorf("apply in an outage: got %v, want %v", err, guavaplatform.ErrUnavailable)
		}
		fresh := newStore(p, "v2")
		err := fresh.Start(ctx, func(context.Context) (*guavaconfig.Snapshot, error) {
			return guavaconfig.DecodeSnapshot(s.Holder().Snapshot().Encode())
		})
		if err != nil || fresh.Holder().Head() != 3 {
			t.Errorf("start from a peer: %v, version %d, want 3", err, fresh.Holder().Head())
		}
		time.Sleep(time.Hour)
		if s.Holder().Head() != 3 || s.Counts().Failures == 0 {
			t.Errorf("after an hour: version %d, %d failed polls", s.Holder().Head(), s.Counts().Failures)
		}
		p.SetDown(false)
		mustApply(t, fresh, 1)
		time.Sleep(12 * time.Second)
		if s.Holder().Head() != 4 {
			t.Errorf("after the outage: version %d, want 4", s.Holder().Head())
		}
	})
}

// logText collects what a logger writes.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count returns how often a text was written.
func (l *logText) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// TestStartIsLogged guards against a VM that waits for its platform without a word, and against one that says so each second.
func TestStartIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		p.SetDown(true)
		var log logText
		s := newStore(p, "v1", guavaoperator.WithStoreLogger(hclog.New(&hclog.LoggerOptions{Output: &log})))
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Second)
		defer cancel()
		began := time.Now()
		ended := make(chan error)
		go func() { ended <- s.Start(ctx, nil) }()
		time.Sleep(5 * time.Second)
		if n := log.count("no configuration yet"); n != 1 {
			t.Errorf("%d lines after 5 s, want 1", n)
		}
		if err := <-ended; err == nil {
			t.Error("started without a platform")
		}
		if n := log.count("no configuration yet"); n != 3 {
			t.Errorf("%d lines in %v, want 3", n, time.Since(began))
		}
	})
}

// TestLatePath guards against an old version that replaces a newer one because it came late by another path.
func TestLatePath(t *testing.T) {
	p := guavastandin.NewPlatform()
	var pushed [][]guavaconfig.Change
	s := newStore(p, "v1", guavaoperator.WithOnCommit(func(c []guavaconfig.Change) { pushed = append(pushed, c) }))
	mustApply(t, s, 5)
	old, err := guavaconfig.DecodeSnapshot(s.Holder().Snapshot().Encode())
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, 1)
	other := newStore(p, "v2")
	if err := other.CatchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, c := range pushed {
		if err := other.Holder().Accept(c); err != nil {
			t.Errorf("late push of %d: %v", c[0].Version, err)
		}
	}
	other.Holder().Load(old)
	if a, _ := other.Holder().Snapshot().Account("bank"); other.Holder().Head() != 6 || a.Rate != 6 {
		t.Errorf("version %d with rate %v, want 6 and 6", other.Holder().Head(), a.Rate)
	}
}

// TestAuditGap guards against an audit that does not notice missing or altered entries.
func TestAuditGap(t *testing.T) {
	key := func(v int) string { return fmt.Sprintf("config/change/%012d", v) }
	for name, c := range map[string]struct {
		write   guavaplatform.Write
		missing []uint64
		fault   string
	}{
		"intact":          {write: guavaplatform.Write{Key: "other"}},
		"in the middle":   {write: guavaplatform.Write{Key: key(3), Delete: true}, missing: []uint64{3}, fault: "gap in configuration versions"},
		"at the start":    {write: guavaplatform.Write{Key: key(1), Delete: true}, missing: []uint64{1}, fault: "gap in configuration versions"},
		"at the end":      {write: guavaplatform.Write{Key: key(5), Delete: true}, missing: []uint64{5}},
		"unreadable":      {write: guavaplatform.Write{Key: key(2), Value: []byte("{")}, fault: "change 2"},
		"beyond the head": {write: guavaplatform.Write{Key: key(6), Value: []byte(`{"version":6}`)}, fault: "version 6 lies beyond the head 5"},
		"does not follow": {
			write: guavaplatform.Write{Key: key(2), Value: []byte(`{"version":2,"edits":[{"kind":"model","name":"m","before":{}}]}`)},
			fault: `model "m"`,
		},
	} {
		p := guavastandin.NewPlatform()
		s := newStore(p, "v1")
		mustApply(t, s, 5)
		if err := p.Commit(t.Context(), nil, []guavaplatform.Write{c.write}); err != nil {
			t.Fatal(err)
		}
		a, _ := audit(t, s)
		if diff := cmp.Diff(c.missing, a.Missing); diff != "" {
			t.Errorf("%s: missing versions: %s", name, diff)
		}
		if got := strings.Join(a.Faults, "\n"); (c.fault == "") != (got == "") || !strings.Contains(got, c.fault) {
			t.Errorf("%s: faults %q, want %q", name, got, c.fault)
		}
	}
}

// TestSnapshots guards against a start that reads the whole history, and against snapshots that are lost when the
// object store fails.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform()
		s := newStore(p, "v1")
		p.LosePuts(1)
		mustApply(t, s, 250)
		before := p.Counts()
		fresh := newStore(p, "v2")
		if err := fresh.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Holder().Snapshot().Declarations(), fresh.Holder().Snapshot().Declarations()); diff != "" {
			t.Error(diff)
		}
		reads := p.Counts().Reads - before.Reads + p.Counts().ObjectReads - before.ObjectReads
		// The head, one snapshot, and one page of 50 changes.
		if reads != 3 {
			t.Errorf("a start made %d reads, want 3", reads)
		}
		if got := p.Counts().ObjectWrites; got != 2 {
			t.Errorf("%d snapshots stored for 250 versions, want 2", got)
		}
		p.LosePuts(1)
		mustApply(t, s, 50)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		time.Sleep(time.Minute)
		if got := p.Counts().ObjectWrites; got != 4 {
			t.Errorf("%d snapshots stored, want 4: the put without an answer is to be repeated once", got)
		}
		if err := p.Delete(t.Context(), "snapshot/000000000300"); err != nil {
			t.Fatal(err)
		}
		if err := p.Delete(t.Context(), "snapshot/000000000200"); err != nil {
			t.Fatal(err)
		}
		again := newStore(p, "v3")
		if err := again.Start(t.Context(), nil); err != nil || again.Holder().Head() != 300 {
			t.Errorf("start from an older snapshot: %v, version %d", err, again.Holder().Head())
		}
	})
}

// TestKeys guards against a key whose text or hash is stored or shown where it must not be, against a key that is
// issued twice, and against a withdrawal that other changes undo.
func TestKeys(t *testing.T) {
	p := guavastandin.NewPlatform()
	s, other := newStore(p, "v1"), newStore(p, "v2")
	mustApply(t, s, 1)
	meta := guavaoperator.Meta{Operation: "issue", Operator: "anna", Reason: "new portal"}
	k, err := s.IssueKey(t.Context(), meta, "bank", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := other.IssueKey(t.Context(), meta, "bank", nil); !errors.Is(err, guavaoperator.ErrAlreadyIssued) {
		t.Errorf("issued again: got %v, want %v", err, guavaoperator.ErrAlreadyIssued)
	}
	held, ok := other.Holder().Snapshot().Key(k.Name)
	if !ok || len(other.Holder().Snapshot().Declarations().Keys) != 1 {
		t.Fatalf("keys on the other VM: %v", other.Holder().Snapshot().Declarations().Keys)
	}
	secret := k.Text[strings.LastIndex(k.Text, "_")+1:]
	rows, err := p.Scan(t.Context(), "", "", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if strings.Contains(string(r.Value), secret) {
			t.Errorf("row %s holds the secret", r.Key)
		}
	}
	_, entries := audit(t, s)
	if text := string(entries[1].Change().Data); !strings.Contains(text, k.Name) || strings.Contains(text, held.Hash) {
		t.Errorf("audit entry must name the key and not its hash: %s", text)
	}

	if _, err := other.Apply(t.Context(), request(2, "apply", 7)); err != nil {
		t.Fatal(err)
	}
	if _, ok := other.Holder().Snapshot().Key(k.Name); !ok {
		t.Error("declarations without keys removed the key")
	}
	meta.Operation = "withdraw"
	for range 2 { // the second is the same request, sent again
		if r, err := s.WithdrawKey(t.Context(), meta, k.Name); err != nil || r.Version != 4 {
			t.Errorf("withdraw: got %d, %v, want 4", r.Version, err)
		}
	}
	meta.Operation = "withdraw again"
	if _, err := s.WithdrawKey(t.Context(), meta, k.Name); !errors.Is(err, guavaoperator.ErrNoKey) {
		t.Errorf("withdrawn twice: got %v, want %v", err, guavaoperator.ErrNoKey)
	}
	if _, ok := s.Holder().Snapshot().Key(k.Name); ok {
		t.Error("the withdrawn key is still in force")
	}
}

// TestCost guards against polling and changes that cost more rows than the platform's limits leave for them, and
// prints the figures per change and per VM.
func TestCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, changes = 34, 20
		p := guavastandin.NewPlatform()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stores := make([]*guavaoperator.Store, 0, vms)
		for i := range vms {
			s := newStore(p, fmt.Sprint("v", i))
			stores = append(stores, s)
			go func() { _ = s.Run(ctx) }()
		}
		time.Sleep(10 * time.Minute)
		idle := p.Counts()
		rate := float64(idle.Reads) / vms / 600
		// A fifth of 2,000 reads/s for 340 VMs.
		if most := 2000.0 / 5 / 340; rate > most || idle.Writes != 0 {
			t.Errorf("idle: %.3f reads/s per VM, %d writes, want at most %.3f and 0", rate, idle.Writes, most)
		}
		mustApply(t, stores[0], changes)
		made := p.CountsOf("v0")
		if got := p.Counts().Writes; got != 2*changes {
			t.Errorf("%d rows written for %d changes, want %d", got, changes, 2*changes)
		}
		t.Logf("idle: %.4f reads/s per VM; change: %.1f rows written, %.1f reads on the accepting VM",
			rate, float64(p.Counts().Writes)/changes, float64(made.Reads-idle.Reads/vms)/changes)
	})
}

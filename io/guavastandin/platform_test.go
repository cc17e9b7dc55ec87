package guavastandin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaremote"
	"guavaridge/io/guavaschema"
	"guavaridge/io/guavastandin"
)

func set(key, value string) []guavaplatform.Write {
	return []guavaplatform.Write{{Key: key, Value: []byte(value)}}
}

// TestPlatformFaults guards against faults that report a wrong outcome: each case states the error of a commit and
// whether the row was written.
func TestPlatformFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault   func(*guavastandin.Platform)
		want    error
		written bool
	}{
		"none":         {fault: func(*guavastandin.Platform) {}, written: true},
		"outage":       {fault: func(p *guavastandin.Platform) { p.SetDown(true) }, want: guavaplatform.ErrUnavailable},
		"VM cut":       {fault: func(p *guavastandin.Platform) { p.PartitionVM("v1", true) }, want: guavaplatform.ErrUnavailable},
		"domain cut":   {fault: func(p *guavastandin.Platform) { p.PartitionDomain("d1", true) }, want: guavaplatform.ErrUnavailable},
		"other cut":    {fault: func(p *guavastandin.Platform) { p.PartitionDomain("d2", true) }, written: true},
		"answer lost":  {fault: func(p *guavastandin.Platform) { p.LoseResponses(1) }, want: guavaplatform.ErrUnknown, written: true},
		"request lost": {fault: func(p *guavastandin.Platform) { p.LoseCommits(1) }, want: guavaplatform.ErrUnknown},
		"chance":       {fault: func(p *guavastandin.Platform) { p.LoseResponsesWithProbability(1, 7) }, want: guavaplatform.ErrUnknown, written: true},
		"slow":         {fault: func(p *guavastandin.Platform) { p.SetDelay(time.Second) }, written: true},
		"slow answer":  {fault: func(p *guavastandin.Platform) { p.SetDelay(3 * time.Second) }, want: guavaplatform.ErrUnknown, written: true},
		"slow request": {fault: func(p *guavastandin.Platform) { p.SetDelay(5 * time.Second) }, want: guavaplatform.ErrUnavailable},
		"cut after effect": {fault: func(p *guavastandin.Platform) {
			p.SetDelay(time.Second)
			time.AfterFunc(700*time.Millisecond, func() { p.PartitionVM("v1", true) })
		}, want: guavaplatform.ErrUnknown, written: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := guavastandin.NewPlatform()
				c.fault(p)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if err := p.For("d1", "v1").Commit(ctx, nil, set("a", "1")); !errors.Is(err, c.want) {
					t.Errorf("commit: got %v, want %v", err, c.want)
				}
				if got := p.Rows("a") == 1; got != c.written {
					t.Errorf("written: got %v, want %v", got, c.written)
				}
			})
		})
	}
}

// TestPlatformCommit guards against a commit that applies in part, and against a revision that returns after a delete.
func TestPlatformCommit(t *testing.T) {
	p := guavastandin.NewPlatform()
	ctx := t.Context()
	if err := p.Commit(ctx, []guavaplatform.Check{{Key: "a"}}, set("a", "1")); err != nil {
		t.Fatal(err)
	}
	row, err := p.Read(ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	both := append(set("b", "1"), set("a", "2")...)
	if err := p.Commit(ctx, []guavaplatform.Check{{Key: "b"}, {Key: "a", Revision: row.Revision + 1}}, both); !errors.Is(err, guavaplatform.ErrConflict) {
		t.Errorf("commit with an old revision: %v", err)
	}
	if p.Rows("b") != 0 {
		t.Error("a refused commit wrote a row")
	}
	if err := p.Commit(ctx, nil, []guavaplatform.Write{{Key: "a", Delete: true}}); err != nil {
		t.Fatal(err)
	}
	if err := p.Commit(ctx, nil, set("a", "3")); err != nil {
		t.Fatal(err)
	}
	again, err := p.Read(ctx, "a")
	if err != nil || again.Revision <= row.Revision {
		t.Errorf("revision after delete: got %d, %v, want more than %d", again.Revision, err, row.Revision)
	}
	want := guavastandin.Counts{Reads: 2, Writes: 3, Commits: 3, Conflicts: 1}
	if diff := cmp.Diff(want, p.Counts()); diff != "" {
		t.Errorf("counts: %s", diff)
	}
}

// TestPlatformLimits guards against limits that let more through than declared.
func TestPlatformLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform(guavastandin.WithPlatformLimits(100, 0))
		var group sync.WaitGroup
		for range 500 {
			group.Go(func() {
				if err := p.Commit(t.Context(), nil, set("a", "1")); err != nil && !errors.Is(err, guavaplatform.ErrUnavailable) {
					t.Error(err)
				}
			})
		}
		group.Wait()
		// One second of queue at 100 writes/s, and the one that finds the queue empty.
		if got := p.Counts().Commits; got != 101 {
			t.Errorf("commits taken at once: got %d, want 101", got)
		}
	})
}

// TestPlatformMachines guards against a list that shows a change before its lag has passed.
func TestPlatformMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := guavastandin.NewPlatform(guavastandin.WithMachineLag(30 * time.Second))
		p.SetMachines(guavaplatform.Machine{Name: "v1"}, guavaplatform.Machine{Name: "v2"})
		p.RemoveMachine("v1")
		for _, want := range []int{2, 1} {
			list, err := p.Machines(t.Context())
			if err != nil || len(list) != want {
				t.Errorf("machines: got %v, %v, want %d", list, err, want)
			}
			time.Sleep(31 * time.Second)
		}
	})
}

// cutter closes all accepted connections on demand.
type cutter struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (c *cutter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
	}
	return conn, err
}

func (c *cutter) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// serve returns a client of p over loopback. Connections break after a commit while broken reports true.
func serve(t *testing.T, p *guavastandin.Platform, broken func() bool) *guavaremote.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cut := &cutter{Listener: l}
	s := grpc.NewServer(grpc.UnaryInterceptor(func(ctx context.Context, q any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		reply, err := next(ctx, q)
		if _, ok := q.(*guavaschema.CommitRequest); ok && broken() {
			cut.cut()
		}
		return reply, err
	}))
	guavastandin.RegisterPlatform(s, p)
	go func() { _ = s.Serve(cut) }()
	t.Cleanup(s.Stop)
	c, err := guavaremote.New(l.Addr().String(), guavaremote.WithVM("d1", "v1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestClientErrors guards against a client that takes an unknown outcome for a refusal, or the reverse.
func TestClientErrors(t *testing.T) {
	p := guavastandin.NewPlatform()
	breaks := false
	c := serve(t, p, func() bool { return breaks })
	ctx := t.Context()
	if err := p.Commit(ctx, nil, set("a", "1")); err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct {
		name   string
		fault  func()
		checks []guavaplatform.Check
		want   error
		rows   int
	}{
		{name: "accepted", fault: func() {}, rows: 2},
		{name: "check fails", fault: func() {}, checks: []guavaplatform.Check{{Key: "a"}}, want: guavaplatform.ErrConflict, rows: 2},
		{name: "refused by the platform", fault: func() { p.PartitionVM("v1", true) }, want: guavaplatform.ErrUnavailable, rows: 2},
		{name: "answer lost", fault: func() { p.PartitionVM("v1", false); p.LoseResponses(1) }, want: guavaplatform.ErrUnknown, rows: 3},
		{name: "connection lost after the write", fault: func() { breaks = true }, want: guavaplatform.ErrUnknown, rows: 4},
	} {
		s.fault()
		if err := c.Commit(ctx, s.checks, set("a"+s.name, "1")); !errors.Is(err, s.want) {
			t.Errorf("%s: got %v, want %v", s.name, err, s.want)
		}
		if got := p.Rows("a"); got != s.rows {
			t.Errorf("%s: %d rows, want %d", s.name, got, s.rows)
		}
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	none, err := guavaremote.New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = none.Close() }()
	if err := none.Commit(ctx, nil, set("a", "1")); !errors.Is(err, guavaplatform.ErrUnavailable) {
		t.Errorf("nobody listens: got %v, want %v", err, guavaplatform.ErrUnavailable)
	}
}

// TestClientCalls guards against rows, objects, VMs and weights that change on their way over the wire.
func TestClientCalls(t *testing.T) {
	p := guavastandin.NewPlatform(guavastandin.WithWeights(0, map[string]int64{"m": 42}))
	c := serve(t, p, func() bool { return false })
	ctx := t.Context()
	for _, k := range []string{"r/1", "r/2", "r/3", "s/1"} {
		if err := c.Commit(ctx, nil, set(k, k)); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := c.Scan(ctx, "r/", "r/1", 1)
	if diff := cmp.Diff([]guavaplatform.Row{{Key: "r/2", Value: []byte("r/2"), Revision: 2}}, rows); err != nil || diff != "" {
		t.Errorf("scan: %v %s", err, diff)
	}
	if _, err := c.Read(ctx, "none"); !errors.Is(err, guavaplatform.ErrAbsent) {
		t.Errorf("absent row: %v", err)
	}
	for key, size := range map[string]int{"o/empty": 0, "o/large": 1 << 20} {
		want := bytes.Repeat([]byte("x"), size)
		if err := c.Put(ctx, key, bytes.NewReader(want)); err != nil {
			t.Fatal(err)
		}
		r, err := c.Get(ctx, key)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(r)
		r.Close()
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: got %d bytes, %v, want %d", key, len(got), err, size)
		}
	}
	if err := c.Put(ctx, "o/broken", io.MultiReader(strings.NewReader("part"), failing{})); err == nil {
		t.Error("put of a body that fails was accepted")
	}
	keys, err := c.List(ctx, "o/", "", 10)
	if diff := cmp.Diff([]string{"o/empty", "o/large"}, keys); err != nil || diff != "" {
		t.Errorf("list: %v %s", err, diff)
	}
	if err := c.Delete(ctx, "o/empty"); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "o/empty"); !errors.Is(err, guavaplatform.ErrAbsent) {
		t.Errorf("deleted object: %v", err)
	}
	p.SetMachines(guavaplatform.Machine{Name: "v1", Domain: "d1", Address: "127.0.0.1:1", Leaving: true})
	list, err := c.Machines(ctx)
	if diff := cmp.Diff([]guavaplatform.Machine{{Name: "v1", Domain: "d1", Address: "127.0.0.1:1", Leaving: true}}, list); err != nil || diff != "" {
		t.Errorf("machines: %v %s", err, diff)
	}
	if size, err := c.Fetch(ctx, "m"); err != nil || size != 42 {
		t.Errorf("fetch: got %d, %v", size, err)
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("body fails") }

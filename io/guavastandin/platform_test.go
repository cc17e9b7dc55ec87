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
// whether it wrote the row.
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

// TestPlatformCommit guards against a commit that is applied in part, and against a revision that is reused after a
// delete.
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
	writes := append(set("b", "1"), set("a", "2")...)
	if err := p.Commit(ctx, []guavaplatform.Check{{Key: "b"}, {Key: "a", Revision: row.Revision + 1}}, writes); !errors.Is(err, guavaplatform.ErrConflict) {
		t.Errorf("commit with a wrong revision: got %v, want ErrConflict", err)
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
	rewritten, err := p.Read(ctx, "a")
	if err != nil || rewritten.Revision <= row.Revision {
		t.Errorf("revision after delete: got %d, %v, want more than %d", rewritten.Revision, err, row.Revision)
	}
	want := guavastandin.Counts{Reads: 2, Writes: 3, Commits: 3, Conflicts: 1}
	if diff := cmp.Diff(want, p.Counts()); diff != "" {
		t.Errorf("counts: %s", diff)
	}
}

// TestPlatformLimits guards against a limiter that accepts more writes than its rate allows.
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
		// 100 writes wait for up to one second at 100 writes/s, and the first does not wait.
		if got := p.Counts().Commits; got != 101 {
			t.Errorf("commits taken at once: got %d, want 101", got)
		}
	})
}

// TestPlatformMachines guards against a VM list that shows a change before its lag has passed.
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

// breakableListener is a listener that can close all its accepted connections.
type breakableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *breakableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

func (l *breakableListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.Close()
	}
}

// serve serves p over loopback and returns a client. If breakConns returns true after a commit, all connections are
// closed before the response.
func serve(t *testing.T, p *guavastandin.Platform, breakConns func() bool) *guavaremote.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &breakableListener{Listener: l}
	s := grpc.NewServer(grpc.UnaryInterceptor(func(ctx context.Context, q any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		reply, err := next(ctx, q)
		if _, ok := q.(*guavaschema.CommitRequest); ok && breakConns() {
			listener.closeConns()
		}
		return reply, err
	}))
	guavastandin.RegisterPlatform(s, p)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Stop)
	c, err := guavaremote.New(l.Addr().String(), guavaremote.WithVM("d1", "v1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestClientErrors guards against a client that reports an unknown outcome as a refusal, or the reverse.
func TestClientErrors(t *testing.T) {
	p := guavastandin.NewPlatform()
	breakConns := false
	c := serve(t, p, func() bool { return breakConns })
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
		{name: "connection lost after the write", fault: func() { breakConns = true }, want: guavaplatform.ErrUnknown, rows: 4},
	} {
		s.fault()
		if err := c.Commit(ctx, s.checks, set("a"+s.name, "1")); !errors.Is(err, s.want) {
			t.Errorf("%s: got %v, want %v", s.name, err, s.want)
		}
		if got := p.Rows("a"); got != s.rows {
			t.Errorf("%s: got %d rows, want %d", s.name, got, s.rows)
		}
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	unreachable, err := guavaremote.New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unreachable.Close() }()
	if err := unreachable.Commit(ctx, nil, set("a", "1")); !errors.Is(err, guavaplatform.ErrUnavailable) {
		t.Errorf("no listener: got %v, want %v", err, guavaplatform.ErrUnavailable)
	}
}

// TestClientCalls guards against gRPC messages that change rows, objects, VMs or weights in transit.
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
		t.Errorf("scan: got error %v, diff (-want +got):\n%s", err, diff)
	}
	if _, err := c.Read(ctx, "none"); !errors.Is(err, guavaplatform.ErrAbsent) {
		t.Errorf("read of an absent row: got %v, want ErrAbsent", err)
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
	if err := c.Put(ctx, "o/broken", io.MultiReader(strings.NewReader("part"), failingReader{})); err == nil {
		t.Error("put of a body whose read fails was accepted")
	}
	keys, err := c.List(ctx, "o/", "", 10)
	if diff := cmp.Diff([]string{"o/empty", "o/large"}, keys); err != nil || diff != "" {
		t.Errorf("list: got error %v, diff (-want +got):\n%s", err, diff)
	}
	if err := c.Delete(ctx, "o/empty"); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "o/empty"); !errors.Is(err, guavaplatform.ErrAbsent) {
		t.Errorf("get of a deleted object: got %v, want ErrAbsent", err)
	}
	p.SetMachines(guavaplatform.Machine{Name: "v1", Domain: "d1", Address: "127.0.0.1:1", Leaving: true})
	list, err := c.Machines(ctx)
	if diff := cmp.Diff([]guavaplatform.Machine{{Name: "v1", Domain: "d1", Address: "127.0.0.1:1", Leaving: true}}, list); err != nil || diff != "" {
		t.Errorf("machines: got error %v, diff (-want +got):\n%s", err, diff)
	}
	if size, err := c.Fetch(ctx, "m"); err != nil || size != 42 {
		t.Errorf("fetch: got %d, %v, want 42", size, err)
	}
}

// failingReader is a request body whose read fails.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("body fails") }

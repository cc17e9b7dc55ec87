package guavadispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavaretry"
	"guavaridge/core/guavaroute"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavaplatform"
)

// behaviour is what a simulated server does with one attempt.
type behaviour struct {
	refuse bool          // the connection is refused
	before bool          // the connection breaks while the request is sent, and it did not run
	crash  int           // the server dies after this many tokens, -1 never; all attempts at it break
	hang   bool          // nothing more arrives after the first token
	delay  time.Duration // to the first token or answer
	status int
}

var healthy = behaviour{crash: -1}

var errDied = errors.New("server died")

// pool is a guavaback.Client of simulated servers, by address.
type pool struct {
	guavaback.Client
	mu    sync.Mutex
	acts  map[string]func(a guavaback.Attempt) behaviour
	tried []guavaback.Attempt
	ids   map[string]int
	words []string
	// deaths holds a channel per address that is closed when the server dies; it restarts at once.
	deaths map[string]chan struct{}
	kills  int
	// broken counts the attempts that each death broke beside the one that caused it.
	broken []int
}

func (p *pool) death(address string) chan struct{} {
	if p.deaths[address] == nil {
		p.deaths[address] = make(chan struct{})
	}
	return p.deaths[address]
}

// attempts may be called while others run.
func (p *pool) attempts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tried)
}

func (p *pool) kill(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.death(address))
	delete(p.deaths, address)
	p.kills++
	p.broken = append(p.broken, 0)
}

func (p *pool) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	p.mu.Lock()
	p.tried = append(p.tried, a)
	p.ids[a.ID]++
	b := healthy
	if act := p.acts[a.Address]; act != nil {
		b = act(a)
	}
	died := p.death(a.Address)
	p.mu.Unlock()
	wait := func(d time.Duration) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-died:
			p.mu.Lock()
			p.broken[len(p.broken)-1]++
			p.mu.Unlock()
			return errDied
		case <-time.After(d):
			return nil
		}
	}
	fail := func(ran guavaretry.Execution, crash bool, n int) (guavaback.Response, error) {
		return guavaback.Response{}, &guavaback.Error{Execution: ran, Crash: crash, Tokens: n, Err: errors.New("connection broke")}
	}
	if b.refuse || b.before {
		return fail(guavaretry.NotExecuted, false, 0)
	}
	if err := wait(b.delay); err != nil {
		return fail(guavaretry.ExecutionUnknown, errors.Is(err, errDied), 0)
	}
	if b.status != 0 {
		return guavaback.Response{Status: b.status}, nil
	}
	if !a.Stream {
		if b.crash >= 0 {
			p.kill(a.Address)
			return fail(guavaretry.ExecutionUnknown, true, 0)
		}
		return guavaback.Response{Status: 200, Body: []byte(a.ID)}, nil
	}
	if err := sink.Head(200, nil); err != nil {
		return fail(guavaretry.ExecutionUnknown, false, 0)
	}
	for i, w := range p.words[a.Tokens:] {
		if i == b.crash {
			p.kill(a.Address)
			return fail(guavaretry.ExecutionUnknown, true, i)
		}
		if b.hang && i == 1 {
			<-ctx.Done()
			return fail(guavaretry.ExecutionUnknown, false, i)
		}
		if err := sink.Event(fmt.Appendf(nil, `{"choices":[{"delta":{"content":%q}}]}`, w)); err != nil {
			return fail(guavaretry.ExecutionUnknown, false, i)
		}
		if err := wait(10 * time.Millisecond); err != nil {
			return fail(guavaretry.ExecutionUnknown, errors.Is(err, errDied), i+1)
		}
	}
	return guavaback.Response{Status: 200, Tokens: len(p.words) - a.Tokens}, nil
}

// caller is a Sink that collects the text of a stream.
type caller struct {
	text  strings.Builder
	heads int
}

func (c *caller) Head(int, map[string]string) error { c.heads++; return nil }

func (c *caller) Event(data []byte) error {
	var e struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	c.text.WriteString(e.Choices[0].Delta.Content)
	return nil
}

// open lets every request through, except those of the client account "over".
type open struct{}

func (open) Take(_ context.Context, account string) (bool, time.Duration) {
	return account != "over" && account != "", 3 * time.Second
}

// table is an in-memory guavaplatform.Table whose next commits and reads can fail.
type table struct {
	mu    sync.Mutex
	rows  map[string]guavaplatform.Row
	next  uint64
	down  bool
	fails []error // of the next commits; errLost applies the writes and reports ErrUnknown
}

var errLost = errors.New("lost after the write")

func (t *table) Read(_ context.Context, key string) (guavaplatform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return row, guavaplatform.ErrAbsent
	}
	return row, nil
}

func (t *table) Scan(context.Context, string, string, int) ([]guavaplatform.Row, error) {
	return nil, guavaplatform.ErrUnavailable
}

func (t *table) Commit(_ context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fail error
	if len(t.fails) > 0 {
		fail, t.fails = t.fails[0], t.fails[1:]
	}
	lost := errors.Is(fail, errLost)
	if t.down || fail != nil && !lost {
		if fail == nil {
			fail = guavaplatform.ErrUnavailable
		}
		return fail
	}
	for _, c := range checks {
		if t.rows[c.Key].Revision != c.Revision {
			return guavaplatform.ErrConflict
		}
	}
	for _, w := range writes {
		t.next++
		t.rows[w.Key] = guavaplatform.Row{Key: w.Key, Value: w.Value, Revision: t.next}
		if w.Delete {
			delete(t.rows, w.Key)
		}
	}
	if lost {
		return guavaplatform.ErrUnknown
	}
	return nil
}

// link is one VM's access to the table and the servers, which ends when the VM is lost.
type link struct {
	*table
	*pool
	lost                    bool
	afterCommit, afterReply bool // lose the VM then
}

func (l *link) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	if l.lost {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	return l.table.Read(ctx, key)
}

func (l *link) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	if l.lost {
		return guavaplatform.ErrUnavailable
	}
	err := l.table.Commit(ctx, checks, writes)
	l.lost = l.afterCommit
	return err
}

func (l *link) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	if l.lost {
		return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.NotExecuted, Err: errors.New("VM lost")}
	}
	answer, err := l.pool.Do(ctx, a, sink)
	l.lost = l.afterReply
	return answer, err
}

// fleet is what the VMs of a test share.
type fleet struct {
	pool  *pool
	table *table
	snap  *guavaconfig.Snapshot
}

// newFleet has n engines e0… of model m and n plain servers s0… of service booking, in domain d.
func newFleet(n int) *fleet {
	d := guavaconfig.Declarations{
		Domains:  []guavaconfig.FailureDomain{{Name: "d", VMSlots: 1}},
		Accounts: []guavaconfig.ClientAccount{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
	}
	for i := range n {
		e, s := fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i)
		d.Servers = append(
			d.Servers,
			guavaconfig.BackendServer{Name: e, Address: e, Domain: "d", Models: []string{"m"}},
			guavaconfig.BackendServer{Name: s, Address: s, Domain: "d", Service: "booking"},
		)
	}
	return &fleet{
		pool: &pool{
			acts: map[string]func(guavaback.Attempt) behaviour{}, ids: map[string]int{}, deaths: map[string]chan struct{}{},
			words: strings.SplitAfter("a caption for the third square beside the fountain", " "),
		},
		table: &table{rows: map[string]guavaplatform.Row{}},
		snap:  guavaconfig.NewSnapshot(1, d),
	}
}

// each gives all servers the same behaviour.
func (f *fleet) each(act func(guavaback.Attempt) behaviour) {
	for _, b := range f.snap.Declarations().Servers {
		f.pool.acts[b.Address] = act
	}
}

// once makes the first attempt at any server behave as b and the others well.
func (f *fleet) once(b behaviour) {
	n := 0
	f.each(func(guavaback.Attempt) behaviour {
		if n++; n == 1 {
			return b
		}
		return healthy
	})
}

func (f *fleet) vm(opts ...guavadispatch.Option) *guavadispatch.Pipeline {
	opts = append([]guavadispatch.Option{guavadispatch.WithRouterOptions(guavaroute.WithSeed(1))}, opts...)
	return guavadispatch.New(func() *guavaconfig.Snapshot { return f.snap }, f.pool, open{}, f.table, "d", hclog.NewNullLogger(), opts...)
}

func completion(body string) guavadispatch.Request {
	return guavadispatch.Request{
		Account: "a", Route: guavaconfig.Route{Name: "chat", Path: "/v1/chat/completions", Idempotent: true},
		Model: "m", Method: "POST", Path: "/v1/chat/completions", Body: []byte(body), Stream: true,
	}
}

func booking(key string) guavadispatch.Request {
	return guavadispatch.Request{
		Account: "a", Route: guavaconfig.Route{Name: "booking", Path: "/booking", Service: "booking"},
		Method: "POST", Path: "/booking/12", Body: []byte("square 12"), IdempotencyKey: key,
	}
}

// failure is the comparable part of a *guavadispatch.Error.
type failure struct {
	Code string
	Ran  guavaretry.Execution
}

func outcome(t *testing.T, err error) failure {
	t.Helper()
	if err == nil {
		return failure{}
	}
	var e *guavadispatch.Error
	if !errors.As(err, &e) {
		t.Fatalf("not a *guavadispatch.Error: %v", err)
	}
	return failure{Code: e.Code, Ran: e.Execution}
}

func (f *fleet) vmWith(client guavaback.Client, table guavaplatform.Table, opts ...guavadispatch.Option) *guavadispatch.Pipeline {
	return guavadispatch.New(func() *guavaconfig.Snapshot { return f.snap }, client, open{}, table, "d", hclog.NewNullLogger(), opts...)
}

// leave declares a server as leaving.
func (f *fleet) leave(name string) {
	d := f.snap.Declarations()
	d.Servers = append([]guavaconfig.BackendServer(nil), d.Servers...)
	for i := range d.Servers {
		d.Servers[i].Leaving = d.Servers[i].Leaving || d.Servers[i].Name == name
	}
	f.snap = guavaconfig.NewSnapshot(f.snap.Version()+1, d)
}

// lateClient repeats head and event of a broken attempt while the next attempt runs.
type lateClient struct {
	*pool
	old      guavaback.Sink
	accepted bool
}

func (l *lateClient) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	if l.old != nil {
		head, event := l.old.Head(201, nil), l.old.Event([]byte(`{"choices":[{"delta":{"content":"late"}}]}`))
		l.accepted = l.accepted || head == nil || event == nil
	}
	l.old = sink
	return l.pool.Do(ctx, a, sink)
}

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

// behaviour is how a simulated server handles one attempt.
type behaviour struct {
	refuse bool          // the connection is refused
	breaks bool          // the connection breaks while the request is sent, so that it is not executed
	crash  int           // the server crashes after this many tokens, -1 never; all attempts at it break
	hang   bool          // no event is sent after the first token
	delay  time.Duration // to the first token or to the response
	status int
}

var healthy = behaviour{crash: -1}

var errCrashed = errors.New("server crashed")

// pool is a guavaback.Client of simulated servers, by address.
type pool struct {
	guavaback.Client
	mu         sync.Mutex
	behaviours map[string]func(a guavaback.Attempt) behaviour
	sent       []guavaback.Attempt
	ids        map[string]int
	words      []string
	// crashSignals holds a channel per address that is closed when the server crashes; it restarts at once.
	crashSignals map[string]chan struct{}
	crashes      int
	// broken counts the attempts that each crash broke, without the one that caused it.
	broken []int
}

func (p *pool) crashSignal(address string) chan struct{} {
	if p.crashSignals[address] == nil {
		p.crashSignals[address] = make(chan struct{})
	}
	return p.crashSignals[address]
}

// sentCount returns the number of attempts; it may be called while attempts run.
func (p *pool) sentCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sent)
}

func (p *pool) crashServer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.crashSignal(address))
	delete(p.crashSignals, address)
	p.crashes++
	p.broken = append(p.broken, 0)
}

func (p *pool) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	p.mu.Lock()
	p.sent = append(p.sent, a)
	p.ids[a.ID]++
	b := healthy
	if act := p.behaviours[a.Address]; act != nil {
		b = act(a)
	}
	crashed := p.crashSignal(a.Address)
	p.mu.Unlock()
	wait := func(d time.Duration) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-crashed:
			p.mu.Lock()
			p.broken[len(p.broken)-1]++
			p.mu.Unlock()
			return errCrashed
		case <-time.After(d):
			return nil
		}
	}
	fail := func(ran guavaretry.Execution, crash bool, n int) (guavaback.Response, error) {
		return guavaback.Response{}, &guavaback.Error{Execution: ran, Crash: crash, Tokens: n, Err: errors.New("connection broken")}
	}
	if b.refuse || b.breaks {
		return fail(guavaretry.NotExecuted, false, 0)
	}
	if err := wait(b.delay); err != nil {
		return fail(guavaretry.ExecutionUnknown, errors.Is(err, errCrashed), 0)
	}
	if b.status != 0 {
		return guavaback.Response{Status: b.status}, nil
	}
	if !a.Stream {
		if b.crash >= 0 {
			p.crashServer(a.Address)
			return fail(guavaretry.ExecutionUnknown, true, 0)
		}
		return guavaback.Response{Status: 200, Body: []byte(a.ID)}, nil
	}
	if err := sink.Head(200, nil); err != nil {
		return fail(guavaretry.ExecutionUnknown, false, 0)
	}
	for i, w := range p.words[a.Tokens:] {
		if i == b.crash {
			p.crashServer(a.Address)
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
			return fail(guavaretry.ExecutionUnknown, errors.Is(err, errCrashed), i+1)
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

// limiter grants a token for every client account but "over".
type limiter struct{}

func (limiter) Take(_ context.Context, account string) (bool, time.Duration) {
	return account != "over" && account != "", 3 * time.Second
}

// table is an in-memory guavaplatform.Table with injected failures.
type table struct {
	mu           sync.Mutex
	rows         map[string]guavaplatform.Row
	next         uint64
	down         bool
	commitErrors []error // of the next commits; errResponseLost applies the writes and returns ErrUnknown
}

var errResponseLost = errors.New("response lost after the write")

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
	if len(t.commitErrors) > 0 {
		fail, t.commitErrors = t.commitErrors[0], t.commitErrors[1:]
	}
	responseLost := errors.Is(fail, errResponseLost)
	if t.down || fail != nil && !responseLost {
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
	if responseLost {
		return guavaplatform.ErrUnknown
	}
	return nil
}

// vmLink is one VM's access to the table and the servers. It fails from the point at which the VM fails.
type vmLink struct {
	*table
	*pool
	failed                             bool
	failAfterCommit, failAfterResponse bool
}

func (l *vmLink) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	if l.failed {
		return guavaplatform.Row{}, guavaplatform.ErrUnavailable
	}
	return l.table.Read(ctx, key)
}

func (l *vmLink) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	if l.failed {
		return guavaplatform.ErrUnavailable
	}
	err := l.table.Commit(ctx, checks, writes)
	l.failed = l.failAfterCommit
	return err
}

func (l *vmLink) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	if l.failed {
		return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.NotExecuted, Err: errors.New("VM failed")}
	}
	response, err := l.pool.Do(ctx, a, sink)
	l.failed = l.failAfterResponse
	return response, err
}

// fleet holds the servers, table and configuration that the VMs of a test share.
type fleet struct {
	pool  *pool
	table *table
	snap  *guavaconfig.Snapshot
}

// newFleet returns a fleet with n engines e0… of model m and n plain servers s0… of service booking, in domain d.
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
			behaviours: map[string]func(guavaback.Attempt) behaviour{}, ids: map[string]int{}, crashSignals: map[string]chan struct{}{},
			words: strings.SplitAfter("a caption for the third square beside the fountain", " "),
		},
		table: &table{rows: map[string]guavaplatform.Row{}},
		snap:  guavaconfig.NewSnapshot(1, d),
	}
}

// setAll sets the behaviour of all servers.
func (f *fleet) setAll(act func(guavaback.Attempt) behaviour) {
	for _, b := range f.snap.Declarations().Servers {
		f.pool.behaviours[b.Address] = act
	}
}

// setFirst sets the behaviour of the first attempt at any server; later attempts are healthy.
func (f *fleet) setFirst(b behaviour) {
	n := 0
	f.setAll(func(guavaback.Attempt) behaviour {
		if n++; n == 1 {
			return b
		}
		return healthy
	})
}

func (f *fleet) vm(opts ...guavadispatch.Option) *guavadispatch.Pipeline {
	opts = append([]guavadispatch.Option{guavadispatch.WithRouterOptions(guavaroute.WithSeed(1))}, opts...)
	return guavadispatch.New(func() *guavaconfig.Snapshot { return f.snap }, f.pool, limiter{}, f.table, "d", hclog.NewNullLogger(), opts...)
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

// failure holds the compared fields of a *guavadispatch.Error.
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
		t.Fatalf("got error %v, want a *guavadispatch.Error", err)
	}
	return failure{Code: e.Code, Ran: e.Execution}
}

func (f *fleet) vmWith(client guavaback.Client, table guavaplatform.Table, opts ...guavadispatch.Option) *guavadispatch.Pipeline {
	return guavadispatch.New(func() *guavaconfig.Snapshot { return f.snap }, client, limiter{}, table, "d", hclog.NewNullLogger(), opts...)
}

// setLeaving declares a server as leaving.
func (f *fleet) setLeaving(name string) {
	d := f.snap.Declarations()
	d.Servers = append([]guavaconfig.BackendServer(nil), d.Servers...)
	for i := range d.Servers {
		d.Servers[i].Leaving = d.Servers[i].Leaving || d.Servers[i].Name == name
	}
	f.snap = guavaconfig.NewSnapshot(f.snap.Version()+1, d)
}

// lateEventClient sends a head and an event to the sink of a failed attempt while the next attempt runs.
type lateEventClient struct {
	*pool
	previous guavaback.Sink
	accepted bool
}

func (l *lateEventClient) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	if l.previous != nil {
		head, event := l.previous.Head(201, nil), l.previous.Event([]byte(`{"choices":[{"delta":{"content":"late"}}]}`))
		l.accepted = l.accepted || head == nil || event == nil
	}
	l.previous = sink
	return l.pool.Do(ctx, a, sink)
}

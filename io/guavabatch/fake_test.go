package guavabatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/core/guavajob"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavabatch"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavastandin"
)

const chatPath = "/v1/chat/completions"

// servers is a fake guavaback.Client that simulates all backend servers and records what they execute.
type servers struct {
	guavaback.Client
	mu         sync.Mutex
	sent       map[string]int                   // sends per item
	completed  map[string]int                   // complete responses per item
	cancelled  map[string]int                   // attempts cancelled by the client, per item
	sentTo     map[string]map[string]int        // sends per server and item
	running    map[string]map[int]chan struct{} // per server: running attempts, closed by a crash
	lastSent   map[string]time.Time             // time of the last send, per item
	nextID     int
	itemTime   time.Duration // duration of an item
	itemTokens int           // tokens per item
	// fault returns the response status, 0 for a normal response, or an error; it may block.
	fault func(server, item string, send int) (int, error)
	total int // complete responses
}

func newServers(itemTime time.Duration) *servers {
	return &servers{
		sent: map[string]int{}, completed: map[string]int{}, cancelled: map[string]int{}, sentTo: map[string]map[string]int{},
		running: map[string]map[int]chan struct{}{}, lastSent: map[string]time.Time{}, itemTime: itemTime, itemTokens: 4,
	}
}

// lastSends returns a copy of the times of the last send of each item.
func (s *servers) lastSends() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.lastSent)
}

func (s *servers) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	var body struct {
		Item string `json:"item"`
	}
	if err := json.Unmarshal(a.Body, &body); err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.sent[body.Item]++
	send := s.sent[body.Item]
	if s.sentTo[a.Address] == nil {
		s.sentTo[a.Address], s.running[a.Address] = map[string]int{}, map[int]chan struct{}{}
	}
	s.sentTo[a.Address][body.Item]++
	s.nextID++
	id, crash := s.nextID, make(chan struct{})
	s.running[a.Address][id] = crash
	s.lastSent[body.Item] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.running[a.Address], id)
		s.mu.Unlock()
	}()
	if s.fault != nil {
		if status, err := s.fault(a.Address, body.Item, send); err != nil {
			return guavaback.Response{}, err
		} else if status != 0 {
			return guavaback.Response{Status: status, Body: []byte(`{"error":{}}`)}, nil
		}
	}
	for n := a.Tokens; n < s.itemTokens; n++ {
		t := time.NewTimer(s.itemTime / time.Duration(s.itemTokens))
		select {
		case <-ctx.Done():
			t.Stop()
			s.mu.Lock()
			s.cancelled[body.Item]++
			s.mu.Unlock()
			return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.ExecutionUnknown, Err: ctx.Err()}
		case <-crash:
			t.Stop()
			return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.ExecutionUnknown, Crash: true, Err: errors.New("connection reset")}
		case <-t.C:
		}
		if a.Stream {
			event := fmt.Sprintf(`{"id":"c","model":"m","choices":[{"delta":{"content":"%s%d "}}]}`, body.Item, n)
			if err := sink.Event([]byte(event)); err != nil {
				return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.ExecutionUnknown, Err: err}
			}
		}
	}
	s.mu.Lock()
	s.completed[body.Item]++
	s.total++
	s.mu.Unlock()
	resp := guavaback.Response{Status: 200}
	if !a.Stream {
		resp.Body = []byte(`{"ok":true}`)
	}
	return resp, nil
}

// responses returns the number of complete responses.
func (s *servers) responses() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// started returns the number of items sent at least once.
func (s *servers) started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

// crash ends all attempts that run on a server.
func (s *servers) crash(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.running[address] {
		close(c)
		delete(s.running[address], id)
	}
}

// gate is a VM's access to the platform. While the VM is paused, its calls block before and after taking effect, like
// those of a paused process.
type gate struct {
	guavaplatform.Platform
	mu     sync.Mutex
	paused chan struct{} // closed on resuming; nil while the VM runs
	// put, if set, is called after an object was written.
	put func(key string)
	// pauseBefore pauses the VM right before the first commit whose rows contain the text.
	pauseBefore string
}

func newGate(p guavaplatform.Platform) *gate { return &gate{Platform: p} }

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paused = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.paused)
	g.paused = nil
}

func (g *gate) isPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused != nil
}

func (g *gate) pass() {
	g.mu.Lock()
	c := g.paused
	g.mu.Unlock()
	if c != nil {
		<-c
	}
}

func (g *gate) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	g.pass()
	defer g.pass()
	return g.Platform.Read(ctx, key)
}

func (g *gate) Scan(ctx context.Context, prefix, after string, limit int) ([]guavaplatform.Row, error) {
	g.pass()
	defer g.pass()
	return g.Platform.Scan(ctx, prefix, after, limit)
}

func (g *gate) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	for _, w := range writes {
		if g.pauseBefore != "" && strings.Contains(w.Key+string(w.Value), g.pauseBefore) {
			g.pauseBefore = ""
			g.pause()
		}
	}
	if g.isPaused() {
		// The request has left the process, so the timeout of the paused process no longer ends it.
		ctx = context.WithoutCancel(ctx)
	}
	g.pass()
	defer g.pass()
	return g.Platform.Commit(ctx, checks, writes)
}

func (g *gate) Put(ctx context.Context, key string, body io.Reader) error {
	g.pass()
	defer g.pass()
	err := g.Platform.Put(ctx, key, body)
	if g.put != nil && err == nil {
		g.put(key)
	}
	return err
}

// gatedClient blocks the requests of a paused VM.
type gatedClient struct {
	*servers
	gate *gate
}

func (c gatedClient) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	c.gate.pass()
	defer c.gate.pass()
	return c.servers.Do(ctx, a, sink)
}

// grants is a guavabatch.Grants that is set by the test.
type grants struct {
	mu      sync.Mutex
	list    []guavafill.Grant
	changed chan struct{}
}

func newGrants(list ...guavafill.Grant) *grants {
	return &grants{list: list, changed: make(chan struct{})}
}

func (g *grants) Grants() []guavafill.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list
}

func (g *grants) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *grants) set(list ...guavafill.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = list
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *grants) SetInFlight(string, int)    {}
func (g *grants) SetUrgency(string, float64) {}

func (g *grants) Report(string, int, int, int, time.Duration) {}

var _ guavabatch.Grants = (*guavafill.LimiterSet)(nil)

// fleet is a platform, backend servers and VMs in one testing/synctest bubble.
type fleet struct {
	t        *testing.T
	platform *guavastandin.Platform
	servers  *servers
	snapshot *guavaconfig.Snapshot
	vms      map[string]*vm
}

type vm struct {
	name    string
	gate    *gate
	runner  *guavabatch.Runner
	service *guavabatch.Service
	grants  *grants
	stop    func()
}

func newFleet(t *testing.T, itemTime time.Duration) *fleet {
	d := guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: "print", Weight: 1}, {Name: "chalk", Weight: 1}},
		Models:   []guavaconfig.Model{{Name: "m"}, {Name: "n"}},
		Routes: []guavaconfig.Route{
			{Name: "chat", Path: chatPath, Idempotent: true},
			{Name: "book", Path: "/v1/book", Service: "booking"},
		},
	}
	for i := range 4 {
		name := fmt.Sprintf("e%d", i)
		d.Servers = append(d.Servers, guavaconfig.BackendServer{Name: name, Address: name, Models: []string{"m", "n"}})
	}
	d.Servers = append(d.Servers, guavaconfig.BackendServer{Name: "b0", Address: "b0", Service: "booking"})
	return &fleet{
		t: t, platform: guavastandin.NewPlatform(), servers: newServers(itemTime),
		snapshot: guavaconfig.NewSnapshot(1, d), vms: map[string]*vm{},
	}
}

// start runs a VM that is granted 16 streams on each of the named servers.
func (f *fleet) start(name string, servers ...string) *vm {
	list := make([]guavafill.Grant, 0, len(servers))
	for _, s := range servers {
		list = append(list, guavafill.Grant{Server: s, Streams: 16})
	}
	view := newGate(f.platform.For("d", name))
	g := newGrants(list...)
	current := func() *guavaconfig.Snapshot { return f.snapshot }
	r := guavabatch.New(name, "d", view, view, gatedClient{f.servers, view}, current, g, hclog.NewNullLogger(),
		guavabatch.WithSeed(1), guavabatch.WithPoll(time.Second))
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	v := &vm{name: name, gate: view, runner: r, service: guavabatch.NewService(view, view, current, r), grants: g}
	v.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Errorf("%s: run: %v", name, err)
		}
	})
	f.vms[name] = v
	return v
}

func (v *vm) grantOf(server string, streams int) guavafill.Grant {
	return guavafill.Grant{Server: server, Streams: streams}
}

// kill terminates a VM. It disconnects it from the platform first, so that it cannot release its chunks.
func (f *fleet) kill(v *vm) {
	f.platform.PartitionVM(v.name, true)
	v.stop()
}

func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.stop()
	}
}

// lines returns an input file with n items whose names start with prefix.
func lines(prefix string, n int, path, model string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"id-%d","method":"POST","url":"%s","body":{"model":"%s","item":"%s%d"}}`+"\n", i, path, model, prefix, i)
	}
	return b.String()
}

// submit uploads a file and creates a job from it.
func (f *fleet) submit(v *vm, account, name, content, path string) guavajob.Job {
	f.t.Helper()
	file, err := v.service.Upload(f.t.Context(), account, name, "batch", strings.NewReader(content))
	if err != nil {
		f.t.Fatalf("upload: %v", err)
	}
	job, err := v.service.Submit(f.t.Context(), guavabatch.Submission{Account: account, File: file.ID, Path: path})
	if err != nil {
		f.t.Fatalf("submit: %v", err)
	}
	return job
}

// wait returns the job once it has ended, or fails after limit.
func (f *fleet) wait(v *vm, id string, limit time.Duration) guavajob.Job {
	f.t.Helper()
	var job guavajob.Job
	for start := time.Now(); time.Since(start) < limit; time.Sleep(time.Second) {
		var err error
		if job, err = v.service.Show(f.t.Context(), "", id); err == nil && job.State.Final() {
			return job
		}
	}
	f.t.Fatalf("job %s is %s after %s, counts %+v, responses %d", id, job.State, limit, job.Counts, f.servers.responses())
	return job
}

// results returns the error code of every result line by custom_id, "" for a response, and checks that no item has two
// lines.
func (f *fleet) results(v *vm, id string) map[string]string {
	f.t.Helper()
	out := map[string]string{}
	for _, kind := range []guavabatch.ResultKind{guavabatch.ResultLines, guavabatch.ErrorLines} {
		var b bytes.Buffer
		if err := v.service.Results(f.t.Context(), "", id, kind, &b); err != nil {
			f.t.Fatalf("results: %v", err)
		}
		d := json.NewDecoder(&b)
		for {
			var r struct {
				ID    string `json:"custom_id"`
				Error *struct {
					Code string `json:"code"`
				} `json:"error"`
			}
			if err := d.Decode(&r); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				f.t.Fatalf("decode result: %v", err)
			}
			if _, twice := out[r.ID]; twice {
				f.t.Errorf("item %s has two results", r.ID)
			}
			out[r.ID] = ""
			if r.Error != nil {
				out[r.ID] = r.Error.Code
			}
		}
	}
	return out
}

// complete fails unless all n items of a job have one result without an error, and the servers completed each of them.
func (f *fleet) complete(v *vm, job guavajob.Job, prefix string, n int) {
	f.t.Helper()
	if want := (guavajob.Counts{Total: n, Completed: n}); job.Counts != want || job.State != guavajob.JobCompleted {
		f.t.Errorf("job is %s with %+v, want completed with %+v", job.State, job.Counts, want)
	}
	results := f.results(v, job.ID)
	if len(results) != n {
		f.t.Errorf("got %d results, want %d", len(results), n)
	}
	for i := range n {
		item := fmt.Sprintf("%s%d", prefix, i)
		if code := results[fmt.Sprintf("id-%d", i)]; code != "" {
			f.t.Errorf("item %s ended with code %s, want a response", item, code)
		}
		if f.servers.completed[item] == 0 {
			f.t.Errorf("item %s has a result, but no server ran it", item)
		}
	}
}

// run runs a test in a testing/synctest bubble and stops the VMs at its end.
func run(t *testing.T, itemTime time.Duration, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, itemTime)
		defer f.stopAll()
		test(t, f)
	})
}

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavabatch"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavastandin"
)

const path = "/v1/chat/completions"

// snapshot declares one model on 8 engines.
func snapshot() *guavaconfig.Snapshot {
	d := guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: "print", Weight: 1}},
		Models:   []guavaconfig.Model{{Name: "m"}},
		Routes:   []guavaconfig.Route{{Name: "chat", Path: path, Idempotent: true}},
	}
	for i := range 8 {
		name := fmt.Sprintf("e%d", i)
		d.Servers = append(d.Servers, guavaconfig.BackendServer{Name: name, Address: name, Models: []string{"m"}})
	}
	return guavaconfig.NewSnapshot(1, d)
}

// engines is a client that responds after a fixed delay and counts streams and cancellations.
type engines struct {
	guavaback.Client
	delay     time.Duration
	done      atomic.Int64
	mu        sync.Mutex
	running   map[string]int // batch streams per engine
	online    map[string]int // online requests per engine
	freedAt   time.Time      // when online requests and batch streams fit the slots of the burst's engine again
	cancelled int            // attempts cancelled since the last setBurst
}

func (e *engines) Do(ctx context.Context, a guavaback.Attempt, sink guavaback.Sink) (guavaback.Response, error) {
	e.run(a.Address, 1)
	defer e.run(a.Address, -1)
	t := time.NewTimer(e.delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		e.mu.Lock()
		e.cancelled++
		e.mu.Unlock()
		return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.ExecutionUnknown, Err: ctx.Err()}
	case <-t.C:
	}
	e.done.Add(1)
	if err := sink.Event([]byte(`{"id":"c","model":"m","choices":[{"delta":{"content":"Reorder confirmed."}}]}`)); err != nil {
		return guavaback.Response{}, &guavaback.Error{Execution: guavaretry.ExecutionUnknown, Err: err}
	}
	return guavaback.Response{Status: 200}, nil
}

// run adds n to the running batch streams of a server, and sets freedAt once they fit beside a burst.
func (e *engines) run(server string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[server] += n
	if e.freedAt.IsZero() && e.online[server] > 0 && e.running[server]+e.online[server] <= slots {
		e.freedAt = time.Now()
	}
}

// setBurst sets the online requests of an engine and resets the figures of the previous burst.
func (e *engines) setBurst(server string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.online[server] = n
	e.freedAt, e.cancelled = time.Time{}, 0
}

// batchVM is a VM with a batch runner and 8 engines.
type batchVM struct {
	service  *guavabatch.Service
	runner   *guavabatch.Runner
	limiters *guavafill.LimiterSet
	engines  *engines
	stop     func() error
}

func newBatchVM(ctx context.Context, t guavaplatform.Table, o guavaplatform.Objects, delay, poll time.Duration) *batchVM {
	s := snapshot()
	current := func() *guavaconfig.Snapshot { return s }
	limiters := guavafill.NewLimiterSet()
	names := make([]string, 0, 8)
	for _, b := range s.Declarations().Servers {
		names = append(names, b.Name)
	}
	limiters.SetServers(names)
	e := &engines{delay: delay, running: map[string]int{}, online: map[string]int{}}
	r := guavabatch.New("a", "d", t, o, e, current, limiters, hclog.NewNullLogger(),
		guavabatch.WithPoll(poll), guavabatch.WithSeed(1))
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	stop := func() error { cancel(); return <-ended }
	return &batchVM{service: guavabatch.NewService(t, o, current, r), runner: r, limiters: limiters, engines: e, stop: stop}
}

// report sends the load of the engines to the limiters every 100 ms until ctx is done.
func (s *batchVM) report(ctx context.Context, slots int) {
	for ctx.Err() == nil {
		for i := range 8 {
			server := fmt.Sprintf("e%d", i)
			s.engines.mu.Lock()
			n := s.engines.running[server] + s.engines.online[server]
			s.engines.mu.Unlock()
			s.limiters.Report(server, n, 0, slots, 0)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// measureYield measures the time from the announcement of a burst until enough batch streams have ended to free the slots
// that the burst needs.
func measureYield(ctx context.Context) error {
	p := guavastandin.NewPlatform()
	s := newBatchVM(ctx, p, p, time.Hour, 200*time.Millisecond)
	rctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.report(rctx, slots)
	file, err := s.service.Upload(ctx, "print", "n", "batch", newLines(4000))
	if err != nil {
		return err
	}
	if _, err := s.service.Submit(ctx, guavabatch.Submission{Account: "print", File: file.ID, Path: path}); err != nil {
		return err
	}
	var times []time.Duration
	streams, cancelled := 0, 0
	for round := range 100 {
		time.Sleep(200 * time.Millisecond)
		server := fmt.Sprintf("e%d", round%8)
		start := time.Now()
		s.engines.setBurst(server, 40)
		s.limiters.Arrive(server, 40)
		time.Sleep(100 * time.Millisecond)
		s.engines.mu.Lock()
		if !s.engines.freedAt.IsZero() {
			times = append(times, s.engines.freedAt.Sub(start))
		}
		cancelled += s.engines.cancelled
		streams = max(streams, s.engines.running[server])
		s.engines.mu.Unlock()
		s.engines.setBurst(server, 0)
	}
	slices.Sort(times)
	fmt.Printf("\ntime from the news of a burst of 40 to enough free slots, %d of 100 bursts, %d streams cancelled, up to %d left\n", len(times), cancelled, streams)
	if len(times) > 0 {
		fmt.Printf("median %.2f ms, p95 %.2f ms, largest %.2f ms, target 50 ms\n",
			ms(times[len(times)/2]), ms(times[len(times)*95/100]), ms(times[len(times)-1]))
	}
	cancel()
	return s.stop()
}

// measureIdle prints the table reads and writes of a VM without batch jobs.
func measureIdle(ctx context.Context) error {
	p := guavastandin.NewPlatform()
	s := newBatchVM(ctx, p, p, 0, 5*time.Second)
	const length = 20 * time.Second
	time.Sleep(length)
	c := p.Counts()
	fmt.Printf("\nVM without jobs: %.2f table reads/s, %.2f writes/s\n", float64(c.Reads)/length.Seconds(), float64(c.Writes)/length.Seconds())
	return s.stop()
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// newLines returns a reader of n items that it generates on demand.
func newLines(n int) *lineReader { return &lineReader{n: n} }

type lineReader struct {
	n, next int
	line    strings.Reader
}

func (l *lineReader) Read(p []byte) (int, error) {
	for l.line.Len() == 0 && l.next < l.n {
		l.line.Reset(fmt.Sprintf(`{"custom_id":"order-%d","method":"POST","url":"%s","body":{"model":"m","messages":[{"role":"user","content":"Cheque book reorder %d, 50 leaves, account wording as before."}]}}`+"\n", l.next, path, l.next))
		l.next++
	}
	return l.line.Read(p)
}

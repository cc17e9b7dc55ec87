package guavabatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/core/guavajob"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavaplatform"
)

const (
	// cancelEvery is the interval at which cancelled jobs are read from the table. It and one slow read stay below the
	// 3 s within which a cancelled job stops, when the message between VMs is lost.
	cancelEvery = 2 * time.Second
	// renewEvery is the interval at which leases are checked for renewal.
	renewEvery = time.Second
	// drainTime bounds the handing back of chunks when a VM leaves.
	drainTime = 10 * time.Second
	// callTime bounds one call of the platform.
	callTime = 5 * time.Second
)

// Grants says which backend servers this VM sends batch work to, and how many streams each may hold now.
type Grants interface {
	Grants() []guavafill.Grant
	// Changed returns a channel that is closed when the grants change after the call.
	Changed() <-chan struct{}
	// SetInFlight reports the number of batch streams that a server holds from now on.
	SetInFlight(server string, streams int)
	// Report passes on the load that a server reported with an answer.
	Report(server string, running, waiting, slots int, age time.Duration)
	// SetUrgency reports how close the most urgent job on a server is to its deadline, 0 to 1.
	SetUrgency(server string, urgency float64)
}

// Stats are counts since the start of a Runner.
type Stats struct {
	Sent, Yielded, Completed, Failed  uint64
	Claimed, Submitted, Lost, Renewed uint64
}

// Runner claims chunks under a lease and runs their items on the backend servers granted to this VM.
type Runner struct {
	store    store
	client   guavaback.Client
	snapshot func() *guavaconfig.Snapshot
	grants   Grants
	log      hclog.Logger
	owner    string
	domain   string
	idle     time.Duration // longest silence of a stream
	most     time.Duration // longest attempt
	poll     time.Duration
	chunks   int
	random   *rand.Rand // used by the claim loop only

	// board is used by the claim loop only.
	board *board

	mu        sync.Mutex
	held      map[string]*hold
	streams   map[string]map[*stream]struct{}
	alone     map[string]*work // reserved servers for suspect items
	cancelled map[string]time.Time
	checks    map[string]struct{} // jobs that may be complete
	turn      uint64
	closing   bool

	wake  chan struct{} // schedule again
	need  chan struct{} // claim again
	fresh atomic.Bool   // a job was submitted since unfinished jobs were read
	tasks sync.WaitGroup
	base  context.Context // of the tasks; outlives Run's context until chunks are handed back

	sent, yielded, completed, failedItems atomic.Uint64
	claimed, submitted, lost, renewed     atomic.Uint64
}

// Option changes a Runner.
type Option func(*Runner)

// WithPoll sets the interval at which unfinished jobs are read; the default is 5 s.
func WithPoll(d time.Duration) Option { return func(r *Runner) { r.poll = d } }

// WithTimeouts sets the longest silence of a stream (default 60 s) and the longest attempt (default 10 min).
func WithTimeouts(idle, most time.Duration) Option {
	return func(r *Runner) { r.idle, r.most = idle, most }
}

// WithChunks sets the largest number of chunks held at the same time; the default is 8. A chunk takes up to 4 MiB for
// its items and the size of their answers.
func WithChunks(n int) Option { return func(r *Runner) { r.chunks = n } }

// WithSeed fixes the random choice among chunks of a job.
func WithSeed(seed uint64) Option {
	return func(r *Runner) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Runner for the VM with the given name in the given failure domain. The start time is added to the name
// in the rows, so that a restarted VM is another owner.
func New(
	name, domain string, t guavaplatform.Table, o guavaplatform.Objects, client guavaback.Client,
	snapshot func() *guavaconfig.Snapshot, grants Grants, log hclog.Logger, options ...Option,
) *Runner {
	now := time.Now()
	r := &Runner{
		store: store{table: t, objects: o}, client: client, snapshot: snapshot, grants: grants, log: log,
		owner: fmt.Sprintf("%s@%d", name, now.UnixNano()), domain: domain,
		idle: time.Minute, most: 10 * time.Minute, poll: 5 * time.Second, chunks: 8,
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		held:   make(map[string]*hold), streams: make(map[string]map[*stream]struct{}),
		alone: make(map[string]*work), cancelled: make(map[string]time.Time), checks: make(map[string]struct{}),
		wake: make(chan struct{}, 1), need: make(chan struct{}, 1), board: newBoard(),
	}
	for _, f := range options {
		f(r)
	}
	return r
}

// Stats returns the counts so far.
func (r *Runner) Stats() Stats {
	return Stats{
		Sent: r.sent.Load(), Yielded: r.yielded.Load(), Completed: r.completed.Load(), Failed: r.failedItems.Load(),
		Claimed: r.claimed.Load(), Submitted: r.submitted.Load(), Lost: r.lost.Load(), Renewed: r.renewed.Load(),
	}
}

// Run claims and runs chunks until ctx ends. Then it stops its streams, hands back its chunks and returns.
func (r *Runner) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	r.base = work
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.scheduleLoop(gctx, work) })
	g.Go(func() error { return r.claimLoop(gctx) })
	g.Go(func() error { return r.renewLoop(gctx) })
	g.Go(func() error { return r.cancelLoop(gctx) })
	err := g.Wait()
	r.drain(work)
	stop()
	r.tasks.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Submitted makes the runner read unfinished jobs at once. It is called when a job was accepted on this VM or near it.
func (r *Runner) Submitted() {
	r.fresh.Store(true)
	signal(r.need)
}

// Cancelled stops the items of a job on this VM. It is called when another VM reports a cancellation.
func (r *Runner) Cancelled(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.cancelled[job]; ok {
		return
	}
	r.cancelled[job] = time.Now()
	for _, h := range r.held {
		if h.job.Job == job {
			r.stop(h, guavajob.ItemCancel)
		}
	}
	signal(r.wake)
}

// NotifyCancel implements CancelNotifier for a deployment of one VM.
func (r *Runner) NotifyCancel(job string) { r.Cancelled(job) }

// cancelLoop reads the cancelled jobs whose chunks may still be claimed. Their rows are few and short.
func (r *Runner) cancelLoop(ctx context.Context) error {
	for {
		after := cancelKey("")
		for {
			cctx, done := context.WithTimeout(ctx, callTime)
			rows, err := r.store.table.Scan(cctx, cancelKey(""), after, pageRows)
			done()
			if err != nil {
				break // the next round reads again
			}
			for _, row := range rows {
				r.Cancelled(row.Key[len(cancelKey("")):])
				after = row.Key
			}
			if len(rows) < pageRows {
				break
			}
		}
		r.forgetCancelled()
		if !sleep(ctx, cancelEvery) {
			return ctx.Err()
		}
	}
}

// forgetCancelled drops jobs cancelled long ago; a claim of their chunks is refused by the table.
func (r *Runner) forgetCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for job, at := range r.cancelled {
		if time.Since(at) > 4*guavajob.LeaseDuration {
			delete(r.cancelled, job)
		}
	}
}

// task runs f beside the loops; Run waits for it.
func (r *Runner) task(f func()) {
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		f()
	}()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

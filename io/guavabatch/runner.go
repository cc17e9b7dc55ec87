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
	// cancelPollInterval is the interval at which cancelled jobs are read from the table. Together with one slow read
	// it stays below the 3 s within which a cancelled job has to stop, even if the notification between VMs is lost.
	cancelPollInterval = 2 * time.Second
	// renewInterval is the interval at which leases are checked for renewal.
	renewInterval = time.Second
	// drainTimeout bounds the release of chunks when a VM shuts down.
	drainTimeout = 10 * time.Second
	// callTimeout bounds one call of the platform.
	callTimeout = 5 * time.Second
)

// Grants provides the backend servers that this VM may send batch items to, and the number of concurrent streams
// granted on each.
type Grants interface {
	Grants() []guavafill.Grant
	// Changed returns a channel that is closed when the grants change after the call.
	Changed() <-chan struct{}
	// SetInFlight reports the number of batch streams in flight on a server.
	SetInFlight(server string, streams int)
	// Report forwards the load that a server reported with a response.
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
	store          store
	client         guavaback.Client
	snapshot       func() *guavaconfig.Snapshot
	grants         Grants
	log            hclog.Logger
	owner          string
	domain         string
	idleTimeout    time.Duration // maximum time between events of a stream
	attemptTimeout time.Duration // maximum duration of an attempt
	pollInterval   time.Duration
	maxChunks      int
	random         *rand.Rand // used by the claim loop only

	// index is used by the claim loop only.
	index *jobIndex

	mu        sync.Mutex
	owned     map[string]*ownedChunk
	streams   map[string]map[*stream]struct{}
	reserved  map[string]*work // suspect items by the server reserved for them
	cancelled map[string]time.Time
	recheck   map[string]struct{} // jobs to visit again, as they may be complete
	claimSeq  uint64
	draining  bool

	wakeSchedule chan struct{} // triggers a run of schedule
	wakeClaim    chan struct{} // triggers a run of the claim loop
	jobSubmitted atomic.Bool   // set when a job is submitted after the last read of unfinished jobs
	tasks        sync.WaitGroup
	taskContext  context.Context // context of the tasks; outlives Run's context until chunks are released

	sent, yielded, completed, failedItems atomic.Uint64
	claimed, submitted, lost, renewed     atomic.Uint64
}

// Option configures a Runner.
type Option func(*Runner)

// WithPoll sets the interval at which unfinished jobs are read; the default is 5 s.
func WithPoll(d time.Duration) Option { return func(r *Runner) { r.pollInterval = d } }

// WithTimeouts sets the maximum time between events of a stream (default 60 s) and the maximum duration of an attempt
// (default 10 min).
func WithTimeouts(idle, attempt time.Duration) Option {
	return func(r *Runner) { r.idleTimeout, r.attemptTimeout = idle, attempt }
}

// WithChunks sets the maximum number of chunks owned at the same time; the default is 8. A chunk takes up to 4 MiB for
// its items, plus the size of their responses.
func WithChunks(n int) Option { return func(r *Runner) { r.maxChunks = n } }

// WithSeed seeds the random choice of jobs and chunks.
func WithSeed(seed uint64) Option {
	return func(r *Runner) { r.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a Runner for the VM with the given name in the given failure domain. The owner written into rows
// consists of the name and the start time, so that a restarted VM is a different owner.
func New(
	name, domain string, t guavaplatform.Table, o guavaplatform.Objects, client guavaback.Client,
	snapshot func() *guavaconfig.Snapshot, grants Grants, log hclog.Logger, options ...Option,
) *Runner {
	now := time.Now()
	r := &Runner{
		store: store{table: t, objects: o}, client: client, snapshot: snapshot, grants: grants, log: log,
		owner: fmt.Sprintf("%s@%d", name, now.UnixNano()), domain: domain,
		idleTimeout: time.Minute, attemptTimeout: 10 * time.Minute, pollInterval: 5 * time.Second, maxChunks: 8,
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
		owned:  make(map[string]*ownedChunk), streams: make(map[string]map[*stream]struct{}),
		reserved: make(map[string]*work), cancelled: make(map[string]time.Time), recheck: make(map[string]struct{}),
		wakeSchedule: make(chan struct{}, 1), wakeClaim: make(chan struct{}, 1), index: newJobIndex(),
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

// Run claims and runs chunks until ctx ends. Then it cancels its streams, releases its chunks and returns.
func (r *Runner) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	r.taskContext = work
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

// Submitted makes the runner read unfinished jobs at once. It is called after a job was accepted on this VM or one
// close to it.
func (r *Runner) Submitted() {
	r.jobSubmitted.Store(true)
	signal(r.wakeClaim)
}

// Cancelled stops the items of a job on this VM. It is called when a VM notifies of a cancellation.
func (r *Runner) Cancelled(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.cancelled[job]; ok {
		return
	}
	r.cancelled[job] = time.Now()
	for _, h := range r.owned {
		if h.job.Job == job {
			r.stopChunk(h, guavajob.ItemCancel)
		}
	}
	signal(r.wakeSchedule)
}

// NotifyCancel implements CancelNotifier for a deployment of one VM.
func (r *Runner) NotifyCancel(job string) { r.Cancelled(job) }

// cancelLoop reads the cancelled jobs whose chunks may still be claimed. Their rows are few and short.
func (r *Runner) cancelLoop(ctx context.Context) error {
	for {
		after := cancelKey("")
		for {
			cctx, done := context.WithTimeout(ctx, callTimeout)
			rows, err := r.store.table.Scan(cctx, cancelKey(""), after, pageRows)
			done()
			if err != nil {
				break // retried in the next round
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
		if !sleep(ctx, cancelPollInterval) {
			return ctx.Err()
		}
	}
}

// forgetCancelled drops jobs cancelled more than 4 lease durations ago; the table rejects claims of their chunks.
func (r *Runner) forgetCancelled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for job, at := range r.cancelled {
		if time.Since(at) > 4*guavajob.LeaseDuration {
			delete(r.cancelled, job)
		}
	}
}

// task runs f in a goroutine; Run waits for it.
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

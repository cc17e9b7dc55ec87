// Package guavajobs accepts batch jobs, runs their items, stores the results, and takes over the jobs of failed VMs.
//
// A job is durable before its submission is acknowledged. Each commit of results checks the revision of the job's row,
// so when several VMs run a job, only the owner can append results, and every result has exactly one position.
package guavajobs

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaprogress"
	"guavaridge/core/guavaroster"
	"guavaridge/core/guavatakeover"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavasend"
)

// Codec decodes and encodes the messages of the batch API.
type Codec interface {
	// Submission decodes the items of a job.
	Submission(body []byte) ([]guavaprogress.Item, error)
	// Page encodes a page of results. Total is the number of items of the job, next the position of the next page.
	Page(total int, results []guavaprogress.Result, next int) ([]byte, error)
	// ItemRequest fills q with the request that a server gets for an item. It returns the headers that the item decides; see
	// guavagate.Protocol.
	ItemRequest(q *fasthttp.Request, host string, i guavaprogress.Item) []guavagate.Field
}

// Admission reserves the right to run a request on a server.
type Admission interface {
	Acquire(ctx context.Context, service string, r guavaplace.Request) (*guavacoord.Reservation, error)
}

// Dependencies holds the collaborators and settings of Jobs.
type Dependencies struct {
	Self      guavamember.Identity
	Table     guavaplatform.RevisionTable
	Objects   guavaplatform.Objects
	Admission Admission
	Sender    *guavasend.Sender
	Protocol  guavagate.Protocol
	Codec     Codec
	Config    func() *guavatraffic.Config
	// ConfigPosition returns the position in the store's history up to which this VM knows all configurations.
	ConfigPosition func() uint64
	// Stale reports whether this VM's copy of the configuration may be out of date because the store is unavailable.
	Stale func() bool
	// Confirmed returns when the store last confirmed that this VM's copy of the jobs table is current.
	Confirmed func() time.Time
	// Status returns whether a server accepts requests for the service, by this VM's own server list.
	Status func(service string, server guavatraffic.Incarnation) guavaroster.Status
	// Linked returns the incarnation of the process at the other end of the link to a VM, or 0 if there is no link.
	Linked func(vm string) uint64
	// Retention is how long the results of a closed job stay readable.
	Retention time.Duration
	// MaxStaleness is the time within which a result that one VM has returned must be returned by all VMs.
	MaxStaleness time.Duration
	Logger       hclog.Logger
}

// Counters counts events of Jobs. The fields may be read concurrently.
type Counters struct {
	Jobs, Adopted, Succeeded, Dead, Yields, Resumed atomic.Uint64
	// Refused counts submissions that were refused without a decision, and OverLimit those beyond the waiting tokens of
	// their account.
	Refused, OverLimit atomic.Uint64
}

// Jobs runs the batch jobs that a VM owns and serves the batch API. Its methods may be called concurrently.
type Jobs struct {
	Dependencies
	Counters Counters

	index   *jobIndex
	baseCtx context.Context
	stop    context.CancelFunc

	mu       sync.Mutex
	runners  map[string]*runner
	closing  bool
	vms      map[string]guavamember.Identity
	vmList   []guavamember.Identity
	ranks    map[rankKey]int                // takeover ranks of this VM, valid for vmList
	watches  map[string]guavatakeover.Watch // of open jobs that this VM does not run, by job ID
	reviewed routing                        // as of the last ReviewRoutes
	running  sync.WaitGroup
}

// routing is what determines the service of an item.
type routing struct {
	config *guavatraffic.Config
	stale  bool
}

// New returns a Jobs without running jobs.
func New(d Dependencies) *Jobs {
	l := &Jobs{
		Dependencies: d, index: newJobIndex(d.Logger), runners: map[string]*runner{},
		vms: map[string]guavamember.Identity{}, ranks: map[rankKey]int{}, watches: map[string]guavatakeover.Watch{},
	}
	l.baseCtx, l.stop = context.WithCancel(context.Background())
	return l
}

// Apply applies changes of the jobs table, and stops the jobs that have closed or have another owner. It implements
// guavaview.Apply.
func (l *Jobs) Apply(changes []guavaplatform.RowChange, full bool) {
	l.index.apply(changes, full)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.runners {
		if e, _, ok := l.index.get(id); ok && (!e.job.IsOpen() || !e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation)) {
			r.cancel()
		}
	}
}

// SetVMs sets the list of VMs, from which the takeover ranks are computed.
func (l *Jobs) SetVMs(list []guavamember.Identity) {
	vms := make(map[string]guavamember.Identity, len(list))
	for _, v := range list {
		vms[v.Name] = v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if maps.Equal(vms, l.vms) {
		return
	}
	l.vms, l.vmList = vms, slices.Clone(list)
	clear(l.ranks)
}

// ReviewRoutes ends the waits of items for services that their routes have left, if the configuration has changed.
func (l *Jobs) ReviewRoutes() {
	now := routing{config: l.Config(), stale: l.Stale()}
	l.mu.Lock()
	if now == l.reviewed {
		l.mu.Unlock()
		return
	}
	l.reviewed = now
	runners := slices.Collect(maps.Values(l.runners))
	l.mu.Unlock()
	for _, r := range runners {
		r.reviewRoutes()
	}
}

// IsConfigBehind reports whether a job was accepted under a newer configuration than the one in force on this VM.
func (l *Jobs) IsConfigBehind() bool {
	c := l.Config()
	return c == nil || c.Version < l.index.newestVersion()
}

// Running returns the number of jobs that this VM runs.
func (l *Jobs) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runners)
}

// handOverTimeout bounds the handover of all jobs during a drain. It is well below the time that a VM has to stop.
const handOverTimeout = 2 * time.Second

// Drain stops accepting jobs and releases all jobs of this VM, so that other VMs take them over.
func (l *Jobs) Drain() {
	l.mu.Lock()
	l.closing = true
	list := make([]*runner, 0, len(l.runners))
	for _, r := range l.runners {
		list = append(list, r)
	}
	l.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), handOverTimeout)
	defer stop()
	var all sync.WaitGroup
	for _, r := range list {
		all.Go(func() { r.handOver(ctx) })
	}
	all.Wait()
}

// Close stops all jobs and waits until they have ended. It does not release them.
func (l *Jobs) Close() {
	l.stop()
	l.running.Wait()
}

// Package guavajobs takes in batch jobs, runs their items, lists the results, and takes over the jobs of VMs that are
// gone. A job is durable before its submission is acknowledged; each commit of results checks the row of the job, so that
// of several VMs that run a job only the owner lists results, and every result has one position.
package guavajobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaprogress"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavasend"
)

// Codec translates messages about jobs.
type Codec interface {
	// Submission decodes the items of a job.
	Submission(body []byte) ([]guavaprogress.Item, error)
	// Page encodes results, of which the next page begins at next.
	Page(total int, results []guavaprogress.Result, next int) ([]byte, error)
	// ItemRequest writes an item's request to a server.
	ItemRequest(q *fasthttp.Request, host string, i guavaprogress.Item)
}

// Admission gives out places on servers.
type Admission interface {
	Acquire(ctx context.Context, service string, r guavaplace.Request) (*guavacoord.Place, error)
}

// Dependencies are what Jobs works with.
type Dependencies struct {
	Self      guavamember.Identity
	Table     guavaplatform.RevisionTable
	Objects   guavaplatform.Objects
	Admission Admission
	Sender    *guavasend.Sender
	Wire      guavagate.Wire
	Codec     Codec
	Config    func() *guavatraffic.Config
	// Stale reports whether what this VM knows of the store may be out of date.
	Stale func() bool
	// Confirmed returns when the store last confirmed this VM's copy of the table of jobs.
	Confirmed func() time.Time
	// Usable reports whether this VM itself knows the server as one that takes requests for the service.
	Usable func(service, server string) bool
	// Linked returns the incarnation of the process that a VM's link leads to, 0 if there is none.
	Linked func(vm string) uint64
	// Retention is how long results stay readable after a job has closed.
	Retention time.Duration
	// Settle is how long after one VM has listed a result all VMs must list it.
	Settle time.Duration
	Logger hclog.Logger
}

// Counters counts what Jobs did. The fields may be read at any time.
type Counters struct {
	Jobs, Adopted, Succeeded, Dead, Yields, Resumed atomic.Uint64
}

// Jobs is the batch side of a VM.
type Jobs struct {
	Dependencies
	Counters Counters

	board *board
	base  context.Context
	stop  context.CancelFunc

	mu      sync.Mutex
	runners map[string]*runner
	closing bool
	vms     map[string]guavamember.Identity
	changes map[string]change    // of open jobs
	absent  map[string]time.Time // since when the owner of a job cannot be reached, by job
	running sync.WaitGroup
}

// New returns a Jobs that runs nothing yet.
func New(d Dependencies) *Jobs {
	l := &Jobs{
		Dependencies: d, board: newBoard(d.Logger), runners: map[string]*runner{},
		vms: map[string]guavamember.Identity{}, absent: map[string]time.Time{}, changes: map[string]change{},
	}
	l.base, l.stop = context.WithCancel(context.Background())
	return l
}

// Apply takes in changes to the table of jobs. It implements guavaview.Apply.
func (l *Jobs) Apply(changes []guavaplatform.RowChange, full bool) {
	l.board.apply(changes, full)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.runners {
		if e, _, ok := l.board.get(id); ok && (!e.job.IsOpen() || !e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation)) {
			r.cancel()
		}
	}
}

// SetVMs takes in the list of VMs.
func (l *Jobs) SetVMs(list []guavamember.Identity) {
	vms := make(map[string]guavamember.Identity, len(list))
	for _, v := range list {
		vms[v.Name] = v
	}
	l.mu.Lock()
	l.vms = vms
	l.mu.Unlock()
}

// Running returns the number of jobs that this VM runs.
func (l *Jobs) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runners)
}

// handOverTime bounds the handing over of all jobs at a drain. It ends well within the time that a VM has to stop.
const handOverTime = 2 * time.Second

// Drain hands all jobs over to other VMs and takes in no more.
func (l *Jobs) Drain() {
	l.mu.Lock()
	l.closing = true
	list := make([]*runner, 0, len(l.runners))
	for _, r := range l.runners {
		list = append(list, r)
	}
	l.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), handOverTime)
	defer stop()
	var all sync.WaitGroup
	for _, r := range list {
		all.Go(func() { r.handOver(ctx) })
	}
	all.Wait()
}

// Close ends all runs.
func (l *Jobs) Close() {
	l.stop()
	l.running.Wait()
}

package guavastandin

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"guavaridge/io/guavaplatform"
)

// Limits of the platform as its operators publish them.
const (
	// DefaultWritesPerSecond is the limit of table rows and objects written.
	DefaultWritesPerSecond = 500.0
	// DefaultReadsPerSecond is the limit of table rows and objects read.
	DefaultReadsPerSecond = 2000.0
	// ScanPage is the number of rows of a scan that count as one read.
	ScanPage = 100
	// DefaultWeightSize is the size in bytes of weights that no option declares.
	DefaultWeightSize = int64(1) << 30
)

// Counts is the number of calls and rows that the platform took. Refused calls are counted in Refused only.
type Counts struct {
	Reads         int64 `json:"reads"`     // table reads; a scan counts one per started page
	Writes        int64 `json:"writes"`    // table rows written
	Commits       int64 `json:"commits"`   // commits that took effect
	Conflicts     int64 `json:"conflicts"` // commits refused by a check
	ObjectReads   int64 `json:"gets"`      // objects read or listed
	ObjectWrites  int64 `json:"puts"`      // objects written or deleted
	ObjectBytes   int64 `json:"bytes"`     // bytes of objects written
	Lists         int64 `json:"lists"`     // reads of the VM list
	Fetches       int64 `json:"fetches"`   // weights delivered
	Refused       int64 `json:"refused"`   // calls refused by a fault or a limit
	ResponsesLost int64 `json:"missed"`    // commits and puts whose answer was lost
}

// Platform is an in-memory platform. Its own methods of guavaplatform.Platform act as a client that belongs to no
// failure domain; For gives the view of one VM. Every method may be called concurrently.
type Platform struct {
	view *PlatformView

	mu       sync.Mutex
	rows     map[string]guavaplatform.Row
	keys     []string // of rows, sorted
	revision uint64
	objects  map[string][]byte
	machines machineList
	weights  weightStore
	writes   pacer
	reads    pacer
	faults   platformFaults
	total    Counts
	byVM     map[string]*Counts
}

var (
	_ guavaplatform.Platform = (*Platform)(nil)
	_ guavaplatform.Platform = (*PlatformView)(nil)
)

// PlatformOption sets up a Platform.
type PlatformOption func(*Platform)

// WithPlatformLimits limits table rows and objects written and read per second. A rate of 0 means no limit. Calls over
// the limit wait, and are refused when they would wait longer than a second.
func WithPlatformLimits(writes, reads float64) PlatformOption {
	return func(p *Platform) { p.writes.rate, p.reads.rate = writes, reads }
}

// WithWeights sets the rate of the weight store in bytes per second (0: no limit) and the sizes of weights by name.
func WithWeights(rate float64, sizes map[string]int64) PlatformOption {
	return func(p *Platform) { p.weights.rate, p.weights.sizes = rate, maps.Clone(sizes) }
}

// WithMachineLag sets how long a change of the VM list stays hidden.
func WithMachineLag(d time.Duration) PlatformOption {
	return func(p *Platform) { p.machines.lag = d }
}

// NewPlatform returns an empty platform without limits and faults.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		rows:    make(map[string]guavaplatform.Row),
		objects: make(map[string][]byte),
		byVM:    make(map[string]*Counts),
		faults:  newPlatformFaults(),
	}
	p.view = p.For("", "")
	for _, o := range opts {
		o(p)
	}
	return p
}

// For returns the platform as the VM sees it. Cut-offs of the VM or its failure domain apply to it.
func (p *Platform) For(domain, vm string) *PlatformView {
	return &PlatformView{p: p, domain: domain, vm: vm}
}

// Counts returns the counters over all VMs.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// CountsOf returns the counters of one VM.
func (p *Platform) CountsOf(vm string) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.byVM[vm]; ok {
		return *c
	}
	return Counts{}
}

// count changes the counters of all VMs and of vm. The caller holds p.mu.
func (p *Platform) count(vm string, change func(*Counts)) {
	change(&p.total)
	c, ok := p.byVM[vm]
	if !ok {
		c = &Counts{}
		p.byVM[vm] = c
	}
	change(c)
}

// Rows returns the number of rows whose key has the prefix, without counting as a read.
func (p *Platform) Rows(prefix string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for i, _ := slices.BinarySearch(p.keys, prefix); i < len(p.keys) && strings.HasPrefix(p.keys[i], prefix); i++ {
		n++
	}
	return n
}

// SetMachines replaces the VM list. The change is visible after the lag.
func (p *Platform) SetMachines(list ...guavaplatform.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines.set(list)
}

// SetMachineLag sets how long a change of the VM list stays hidden.
func (p *Platform) SetMachineLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines.lag = d
}

// PutMachine adds a VM to the list or replaces the one of the same name. The change is visible after the lag.
func (p *Platform) PutMachine(m guavaplatform.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines.set(append(p.machines.without(m.Name), m))
}

// RemoveMachine removes a VM from the list. The change is visible after the lag.
func (p *Platform) RemoveMachine(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines.set(p.machines.without(name))
}

// Read implements guavaplatform.Table.
func (p *Platform) Read(ctx context.Context, key string) (guavaplatform.Row, error) {
	return p.view.Read(ctx, key)
}

// Scan implements guavaplatform.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]guavaplatform.Row, error) {
	return p.view.Scan(ctx, prefix, after, limit)
}

// Commit implements guavaplatform.Table.
func (p *Platform) Commit(ctx context.Context, checks []guavaplatform.Check, writes []guavaplatform.Write) error {
	return p.view.Commit(ctx, checks, writes)
}

// Put implements guavaplatform.Objects.
func (p *Platform) Put(ctx context.Context, key string, body io.Reader) error {
	return p.view.Put(ctx, key, body)
}

// Get implements guavaplatform.Objects.
func (p *Platform) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	return p.view.Get(ctx, key)
}

// List implements guavaplatform.Objects.
func (p *Platform) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return p.view.List(ctx, prefix, after, limit)
}

// Delete implements guavaplatform.Objects.
func (p *Platform) Delete(ctx context.Context, key string) error { return p.view.Delete(ctx, key) }

// Machines implements guavaplatform.Machines.
func (p *Platform) Machines(ctx context.Context) ([]guavaplatform.Machine, error) {
	return p.view.Machines(ctx)
}

// Fetch implements guavaplatform.Weights.
func (p *Platform) Fetch(ctx context.Context, name string) (int64, error) {
	return p.view.Fetch(ctx, name)
}

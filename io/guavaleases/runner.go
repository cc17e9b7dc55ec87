// Package guavaleases acquires, renews and releases leases that are stored in rows of the table service.
package guavaleases

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavalease"
	"guavaridge/io/guavaplatform"
)

const (
	prefix = "lease/"
	// DefaultLength is the default length of a lease.
	DefaultLength = 30 * time.Second
	// callTimeout bounds a call of the table service. It is below the time from the renewal to the end of a 30 s lease.
	callTimeout = 2 * time.Second
)

// Runner acquires and renews the leases for which a VM is a candidate. Its methods may be called concurrently.
type Runner struct {
	table  guavaplatform.Table
	self   string
	length time.Duration
	logger hclog.Logger

	mu     sync.Mutex
	leases map[string]*guavalease.Lease
	wake   chan struct{}

	callMu sync.Mutex // held during calls of the table service
}

// Option configures a Runner.
type Option func(*Runner)

// WithLength sets the length of the leases.
func WithLength(d time.Duration) Option { return func(r *Runner) { r.length = d } }

// WithLogger sets the logger for acquired and lost leases.
func WithLogger(l hclog.Logger) Option { return func(r *Runner) { r.logger = l } }

// New returns a runner without leases. Self is the name of the VM with its incarnation, so that a restarted VM is a
// different owner.
func New(table guavaplatform.Table, self string, opts ...Option) *Runner {
	r := &Runner{
		table:  table,
		self:   self,
		length: DefaultLength,
		logger: hclog.NewNullLogger(),
		leases: make(map[string]*guavalease.Lease),
		wake:   make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Campaign makes the runner a candidate for the named lease.
func (r *Runner) Campaign(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.leases[name]; ok {
		return
	}
	r.leases[name] = guavalease.New(r.self, r.length)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Grant returns the permission to act under the named lease. It is valid only while this VM owns the lease.
func (r *Runner) Grant(name string) guavalease.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.leases[name]; ok {
		return l.Grant()
	}
	return guavalease.Grant{}
}

// Run acquires and renews leases until ctx ends. It does not release them.
func (r *Runner) Run(ctx context.Context) error {
	for {
		next := r.runDue(ctx)
		timer := time.NewTimer(max(time.Until(next), time.Millisecond))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-r.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// runDue executes the tasks that are due and returns when the next one is.
func (r *Runner) runDue(ctx context.Context) time.Time {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	for ctx.Err() == nil {
		reads, renewals, acquisitions, next := r.due()
		if len(reads)+len(renewals)+len(acquisitions) == 0 {
			return next
		}
		r.read(ctx, reads)
		for group := range slices.Chunk(renewals, guavaplatform.MaxWrites) {
			r.commit(ctx, group)
		}
		for _, t := range acquisitions {
			r.commit(ctx, []task{t})
		}
	}
	return time.Now()
}

type task struct {
	name string
	step guavalease.Step
}

// due returns the tasks that are due, sorted by lease name, and when the next one is. Reads are names of leases.
func (r *Runner) due() (reads []string, renewals, acquisitions []task, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next = time.Now().Add(r.length)
	for _, name := range slices.Sorted(maps.Keys(r.leases)) {
		l := r.leases[name]
		s := l.Next()
		switch {
		case s.Action == guavalease.Read:
			reads = append(reads, name)
		case s.Action == guavalease.Commit && l.State() == guavalease.Owned:
			renewals = append(renewals, task{name, s})
		case s.Action == guavalease.Commit:
			acquisitions = append(acquisitions, task{name, s})
		case s.At.Before(next):
			next = s.At
		}
	}
	return reads, renewals, acquisitions, next
}

// read reads the rows of leases: a single one directly, several with a scan, which costs one read per 100 rows.
func (r *Runner) read(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	rows, err := r.rows(ctx, names)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		l := r.leases[name]
		var record guavalease.Row
		row, present := rows[prefix+name]
		rowErr := err
		if rowErr == nil && present {
			rowErr = json.Unmarshal(row.Value, &record.Record)
			record.Revision = row.Revision
		}
		if rowErr != nil {
			l.Failed()
			continue
		}
		r.logOwnership(name, l, func() { l.Observe(record) })
	}
}

func (r *Runner) rows(ctx context.Context, names []string) (map[string]guavaplatform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows := make(map[string]guavaplatform.Row, len(names))
	if len(names) == 1 {
		row, err := r.table.Read(ctx, prefix+names[0])
		if errors.Is(err, guavaplatform.ErrAbsent) {
			return rows, nil
		}
		rows[row.Key] = row
		return rows, err
	}
	for after := ""; ; {
		page, err := r.table.Scan(ctx, prefix, after, guavaplatform.MaxWrites)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			rows[row.Key] = row
			after = row.Key
		}
		if len(page) < guavaplatform.MaxWrites {
			return rows, nil
		}
	}
}

// commit acquires a single lease, or renews a group of leases in one commit.
func (r *Runner) commit(ctx context.Context, group []task) {
	checks := make([]guavaplatform.Check, 0, len(group))
	writes := make([]guavaplatform.Write, 0, len(group))
	r.mu.Lock()
	for _, t := range group {
		value, err := json.Marshal(t.step.Record)
		if err != nil {
			panic(err) // a Record holds only strings and numbers
		}
		checks = append(checks, guavaplatform.Check{Key: prefix + t.name, Revision: t.step.Revision})
		writes = append(writes, guavaplatform.Write{Key: prefix + t.name, Value: value})
		r.leases[t.name].Sent(t.step)
	}
	r.mu.Unlock()

	call, cancel := context.WithTimeout(ctx, callTimeout)
	err := r.table.Commit(call, checks, writes)
	cancel()

	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range group {
		l := r.leases[t.name]
		r.logOwnership(t.name, l, func() {
			switch {
			case err == nil:
				l.Granted()
			case errors.Is(err, guavaplatform.ErrConflict) && len(group) == 1:
				l.Refused()
			case errors.Is(err, guavaplatform.ErrUnavailable):
				l.Failed()
			default:
				// A conflict of a group does not tell which lease was lost, so all its rows are read again.
				l.OutcomeUnknown()
			}
		})
	}
}

// logOwnership calls f and logs if that changes the epoch of the lease's grant. The caller holds r.mu.
func (r *Runner) logOwnership(name string, l *guavalease.Lease, f func()) {
	before := l.Grant()
	f()
	if after := l.Grant(); before.Epoch != after.Epoch {
		r.logger.Info("lease changed", "lease", name, "before", before.Epoch, "now", after.Epoch)
	}
}

// Release releases all leases of this VM and ends its candidacies. All actions under the leases must have ended. A
// lease that cannot be released expires.
func (r *Runner) Release(ctx context.Context) error {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	r.mu.Lock()
	var owned []string
	for name, l := range r.leases {
		if l.Grant().Valid() {
			owned = append(owned, name)
		}
	}
	r.mu.Unlock()
	slices.Sort(owned)
	r.read(ctx, owned)

	r.mu.Lock()
	var tasks []task
	for _, name := range owned {
		if record, revision, ok := r.leases[name].Release(); ok {
			tasks = append(tasks, task{name, guavalease.Step{Record: record, Revision: revision}})
		}
	}
	clear(r.leases)
	r.mu.Unlock()

	var joined error
	for _, t := range tasks {
		value, err := json.Marshal(t.step.Record)
		if err == nil {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err = r.table.Commit(call,
				[]guavaplatform.Check{{Key: prefix + t.name, Revision: t.step.Revision}},
				[]guavaplatform.Write{{Key: prefix + t.name, Value: value}})
			cancel()
		}
		if err != nil {
			joined = errors.CombineErrors(joined, errors.Newf("release lease %s: %w", t.name, err))
		}
	}
	return joined
}

package guavajobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavabacklog"
	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

// Tables of the store. All rows of a job are in the same partition, so that a commit of results touches only one.
const (
	TableJobs    = "jobs"
	tableResults = "results"
	tableSaved   = "saved"
	tableBacklog = "backlog"
)

// shardCount is the number of partitions of the jobs table. A partition handles a few hundred commits/s.
const shardCount = 16

// Parts returns the names of the partitions of the jobs table.
func Parts() []string {
	parts := make([]string, 0, shardCount)
	for i := range shardCount {
		parts = append(parts, fmt.Sprintf("%x", i))
	}
	return parts
}

func shard(id string) string { return fmt.Sprintf("%x", xxhash.Sum64String(id)%shardCount) }

func jobKey(id string) string { return TableJobs + "/" + shard(id) + "/" + id }

func resultKey(id string, position int) string {
	return fmt.Sprintf("%s/%s/%s.%06d", tableResults, shard(id), id, position)
}

func savedKey(id string, item int) string {
	return fmt.Sprintf("%s/%s/%s.%06d", tableSaved, shard(id), id, item)
}

func backlogKey(account, route string) string {
	name := fmt.Sprintf("%016x", xxhash.Sum64String(account+"\x00"+route))
	return tableBacklog + "/" + shard(name) + "/" + name
}

func objectName(id string) string { return "job-" + id }

func textName(id string, position int) string { return fmt.Sprintf("text-%s-%06d", id, position) }

// entry is a job at a revision of its row.
type entry struct {
	job      guavaprogress.Job
	revision uint64
}

func decodeJob(r guavaplatform.Row) (entry, error) {
	e := entry{revision: r.Revision}
	if err := json.Unmarshal(r.Value, &e.job); err != nil {
		return entry{}, fmt.Errorf("decode job %s: %w", r.Key, err)
	}
	if e.job.ID == "" || !strings.HasSuffix(r.Key, "/"+e.job.ID) {
		return entry{}, fmt.Errorf("the row %s contains another job", r.Key)
	}
	return e, nil
}

func encodeJob(j guavaprogress.Job) ([]byte, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return data, nil
}

// jobIndex is this VM's copy of the jobs table. It may be behind the store.
type jobIndex struct {
	logger hclog.Logger

	mu      sync.Mutex
	jobs    map[string]entry
	changed chan struct{} // closed and replaced at each change
	version uint64        // the newest under which a job was accepted
}

func newJobIndex(l hclog.Logger) *jobIndex {
	return &jobIndex{logger: l, jobs: map[string]entry{}, changed: make(chan struct{})}
}

// apply implements guavaview.Apply.
func (b *jobIndex) apply(changes []guavaplatform.RowChange, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if full {
		b.clear(changes)
	}
	for _, c := range changes {
		if c.Removed {
			for id := range b.jobs {
				if jobKey(id) == c.Key {
					delete(b.jobs, id)
				}
			}
			continue
		}
		e, err := decodeJob(c.Row)
		if err != nil {
			b.logger.Error("invalid job row skipped", "error", err)
			continue
		}
		b.set(e)
	}
	b.notify()
}

// clear removes the jobs that a full listing supersedes. Jobs with a revision above all those of the listing were
// written after it and stay.
func (b *jobIndex) clear(listing []guavaplatform.RowChange) {
	var newest uint64
	for _, c := range listing {
		newest = max(newest, c.Revision)
	}
	for id, e := range b.jobs {
		if e.revision <= newest {
			delete(b.jobs, id)
		}
	}
}

// put stores a job that this VM has written or read, unless a newer revision is known.
func (b *jobIndex) put(e entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(e)
	b.notify()
}

func (b *jobIndex) set(e entry) {
	if old, ok := b.jobs[e.job.ID]; !ok || old.revision < e.revision {
		b.jobs[e.job.ID] = e
		b.version = max(b.version, e.job.Version)
	}
}

// newestVersion returns the newest version of the configuration under which a job was accepted, 0 if none is known.
func (b *jobIndex) newestVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

func (b *jobIndex) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// get returns a job, and a channel that is closed when any job changes.
func (b *jobIndex) get(id string) (e entry, changed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok = b.jobs[id]
	return e, b.changed, ok
}

// closed returns the jobs that closed before the given time.
func (b *jobIndex) closed(before time.Time) []entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []entry
	for _, e := range b.jobs {
		if !e.job.IsOpen() && e.job.ClosedAt > 0 && time.UnixMilli(e.job.ClosedAt).Before(before) {
			list = append(list, e)
		}
	}
	return list
}

// open returns the jobs that still have items to run.
func (b *jobIndex) open() []entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []entry
	for _, e := range b.jobs {
		if e.job.IsOpen() {
			list = append(list, e)
		}
	}
	return list
}

// of returns the jobs of an account and route, with the tokens that wait.
func (b *jobIndex) of(account, route string) []guavabacklog.Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []guavabacklog.Job
	for _, e := range b.jobs {
		if e.job.Account != account || e.job.Route != route {
			continue
		}
		j := guavabacklog.Job{ID: e.job.ID, Deadline: time.UnixMilli(e.job.Deadline)}
		if e.job.IsOpen() {
			j.Waiting = e.job.WaitingTokens
		}
		list = append(list, j)
	}
	return list
}

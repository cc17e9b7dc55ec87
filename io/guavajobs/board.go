package guavajobs

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

// Tables of the store. The rows of a job are in one part, so that a commit of a result is a transaction of one part.
const (
	TableJobs    = "jobs"
	tableResults = "results"
	tableSaved   = "saved"
)

// shards is the number of parts over which jobs are spread; a part takes a few hundred commits a second.
const shards = 16

// Parts returns the parts of the table of jobs.
func Parts() []string {
	parts := make([]string, 0, shards)
	for i := range shards {
		parts = append(parts, fmt.Sprintf("%x", i))
	}
	return parts
}

func shard(id string) string { return fmt.Sprintf("%x", xxhash.Sum64String(id)%shards) }

func jobKey(id string) string { return TableJobs + "/" + shard(id) + "/" + id }

func resultKey(id string, position int) string {
	return fmt.Sprintf("%s/%s/%s.%06d", tableResults, shard(id), id, position)
}

func savedKey(id string, item int) string {
	return fmt.Sprintf("%s/%s/%s.%06d", tableSaved, shard(id), id, item)
}

func objectName(id string) string { return "job-" + id }

func textName(id string, position int) string { return fmt.Sprintf("text-%s-%06d", id, position) }

// entry is a job as of a revision of its row.
type entry struct {
	job      guavaprogress.Job
	revision uint64
}

func decodeJob(r guavaplatform.Row) (entry, error) {
	e := entry{revision: r.Revision}
	if err := json.Unmarshal(r.Value, &e.job); err != nil {
		return entry{}, fmt.Errorf("decode job %s: %w", r.Key, err)
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

// board is this VM's copy of all jobs.
type board struct {
	logger hclog.Logger

	mu      sync.Mutex
	jobs    map[string]entry
	changed chan struct{} // closed at the next change
}

func newBoard(l hclog.Logger) *board {
	return &board{logger: l, jobs: map[string]entry{}, changed: make(chan struct{})}
}

// apply implements guavaview.Apply.
func (b *board) apply(changes []guavaplatform.RowChange, full bool) {
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
			b.logger.Error("row of a job left out", "error", err)
			continue
		}
		b.set(e)
	}
	b.wake()
}

// clear drops what a listing of all jobs makes out of date. Rows that were written after it stay.
func (b *board) clear(listing []guavaplatform.RowChange) {
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

// put takes in a job that this VM has written or read.
func (b *board) put(e entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(e)
	b.wake()
}

func (b *board) set(e entry) {
	if old, ok := b.jobs[e.job.ID]; !ok || old.revision < e.revision {
		b.jobs[e.job.ID] = e
	}
}

func (b *board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// get returns a job, and a channel that is closed when any job changes.
func (b *board) get(id string) (e entry, changed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok = b.jobs[id]
	return e, b.changed, ok
}

// closed returns the jobs that closed before a time.
func (b *board) closed(before time.Time) []entry {
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

// open returns all jobs that have items to run.
func (b *board) open() []entry {
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

package guavajobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

const (
	// saveTime is the pause between savings of a job's progress: what a VM that is lost has made since is made again.
	saveTime = 1500 * time.Millisecond
	// saveEvents is the least number of new events of an item that are saved.
	saveEvents = 24
	// saveSize bounds the texts of one commit in bytes, and saveRows its rows.
	saveSize = 500 << 10
	saveRows = 40
)

// save keeps the progress of running items in the store, so that another VM can go on from there. It is tried once: the
// next saving has it all.
func (r *runner) save(ctx context.Context, least int) {
	r.mu.Lock()
	e := r.entry
	runs := make([]*itemRun, 0, len(r.active))
	for _, i := range r.active {
		runs = append(runs, i)
	}
	r.mu.Unlock()
	var writes []guavaplatform.Write
	written := map[*itemRun]guavaprogress.SavedProgress{}
	size := 0
	for _, i := range runs {
		s, ok := i.save(least)
		if !ok || len(writes) >= saveRows {
			continue
		}
		data, err := encodeRow(s)
		if err != nil {
			r.jobs.Logger.Error("progress not encoded", "item", i.item.ID, "error", err)
			continue
		}
		if len(data) > rowSize || size+len(data) > saveSize {
			continue // a long text is made again if its VM is lost
		}
		size += len(data)
		writes = append(writes, guavaplatform.Write{Key: savedKey(e.job.ID, i.number), Value: data})
		written[i] = s
	}
	if len(writes) == 0 {
		return
	}
	check := []guavaplatform.Check{{Key: jobKey(e.job.ID), Revision: e.revision}}
	_, err := r.jobs.Table.CommitAt(ctx, check, writes)
	if err != nil && !errors.Is(err, guavaplatform.ErrUnknown) {
		r.jobs.Logger.Info("progress not saved", "job", e.job.ID, "items", len(writes), "error", err)
		return
	}
	r.mu.Lock()
	for i := range written {
		r.kept[i.item.ID] = i.number
	}
	r.mu.Unlock()
	for i, s := range written {
		i.keep(s)
	}
}

// forget drops listed items from those whose progress is saved.
func (r *runner) forget(listed []guavaprogress.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range listed {
		delete(r.active, b.ID)
		delete(r.kept, b.ID)
	}
}

// saved reads what the store has of a job's items, by number.
func (l *Jobs) saved(ctx context.Context, id string) (map[int]guavaprogress.SavedProgress, error) {
	saved := map[int]guavaprogress.SavedProgress{}
	prefix, after := tableSaved+"/"+shard(id)+"/"+id+".", ""
	for {
		rows, err := l.Table.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, fmt.Errorf("read saved progress: %w", err)
		}
		for _, row := range rows {
			var s guavaprogress.SavedProgress
			var number int
			if _, err := fmt.Sscanf(row.Key[len(prefix):], "%d", &number); err != nil {
				return nil, fmt.Errorf("number in key %s: %w", row.Key, err)
			}
			if err := json.Unmarshal(row.Value, &s); err != nil {
				return nil, fmt.Errorf("decode %s: %w", row.Key, err)
			}
			saved[number] = s
			after = row.Key
		}
		if len(rows) == 0 {
			return saved, nil
		}
	}
}

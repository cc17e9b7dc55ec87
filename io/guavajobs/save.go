package guavajobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

const (
	// saveInterval is the interval at which a job's progress is saved. Output that a VM receives after the last save is
	// generated again if the VM fails.
	saveInterval = 1500 * time.Millisecond
	// minSaveEvents is the minimum number of new events of an item for its progress to be saved.
	minSaveEvents = 24
	// maxSaveSize is the maximum total size of the values in a commit, in bytes, and maxSaveRows that of its rows.
	maxSaveSize = 500 << 10
	maxSaveRows = 40
)

// saveProgress saves the progress of running items to the store, from which another VM can resume them. It includes
// only items with at least minEvents new events, a new failure or a result that is not stored yet. It reports whether there
// may be more such items than fit into a commit.
func (r *runner) saveProgress(ctx context.Context, minEvents int) (more bool, err error) {
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
		s, ok := i.unsaved(minEvents)
		if !ok {
			continue
		}
		data, err := encodeRow(s)
		if err != nil {
			return false, fmt.Errorf("encode the progress of item %s: %w", i.item.ID, err)
		}
		if len(data) > maxRowSize {
			continue // a text too large to save is generated again if the VM fails
		}
		if len(writes) >= maxSaveRows || size+len(data) > maxSaveSize {
			more = true
			continue
		}
		size += len(data)
		writes = append(writes, guavaplatform.Write{Key: savedKey(e.job.ID, i.index), Value: data})
		written[i] = s
	}
	if len(writes) == 0 {
		return false, nil
	}
	check := []guavaplatform.Check{{Key: jobKey(e.job.ID), Revision: e.revision}}
	_, err = r.jobs.Table.CommitAt(ctx, check, writes)
	if err == nil || errors.Is(err, guavaplatform.ErrUnknown) { // rows that may exist have to be deleted with the job
		r.mu.Lock()
		for i := range written {
			r.savedItems[i.item.ID] = i.index
		}
		r.mu.Unlock()
	}
	if err != nil {
		return false, fmt.Errorf("save the progress of %d items of job %s: %w", len(writes), e.job.ID, err)
	}
	for i, s := range written {
		i.markSaved(s)
	}
	return more, nil
}

// removeCompleted removes the items of committed results from those that are running and those with saved progress.
func (r *runner) removeCompleted(committed []guavaprogress.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range committed {
		delete(r.active, b.ID)
		delete(r.savedItems, b.ID)
	}
}

// readProgress reads the saved progress of a job's items, by item index. Items whose progress cannot be decoded start
// again, since the job would otherwise never be taken over.
func (l *Jobs) readProgress(ctx context.Context, id string) (map[int]guavaprogress.SavedProgress, error) {
	saved := map[int]guavaprogress.SavedProgress{}
	prefix, after := tableSaved+"/"+shard(id)+"/"+id+".", ""
	for {
		rows, err := l.Table.Scan(ctx, prefix, after, maxPageRows)
		if err != nil {
			return nil, fmt.Errorf("read saved progress: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			index, s, err := decodeProgress(strings.TrimPrefix(row.Key, prefix), row.Value)
			if err != nil {
				l.Logger.Warn("saved progress ignored", "row", row.Key, "error", err)
				continue
			}
			saved[index] = s
		}
		if len(rows) == 0 {
			return saved, nil
		}
	}
}

// decodeProgress decodes a row of saved progress, whose key ends in the index of the item.
func decodeProgress(name string, value []byte) (int, guavaprogress.SavedProgress, error) {
	var s guavaprogress.SavedProgress
	index, err := strconv.Atoi(name)
	if err != nil {
		return 0, s, fmt.Errorf("parse item index: %w", err)
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return 0, s, fmt.Errorf("decode progress: %w", err)
	}
	if index < 0 || !s.IsValid() {
		return 0, s, errors.New("values that no progress has")
	}
	return index, s, nil
}

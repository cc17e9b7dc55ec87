package guavajobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaridge/io/guavaplatform"
)

const (
	// sweepMargin is how long after its retention a closed job is deleted; it allows for clock differences.
	sweepMargin = 30 * time.Second
	// deleteTimeout bounds the deletion of one job.
	deleteTimeout = 10 * time.Second
	// deleteBatch is the maximum number of rows deleted in a commit.
	deleteBatch = 50
)

// deleteClosed deletes closed jobs whose retention has ended, until ctx ends.
func (l *Jobs) deleteClosed(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		l.sweep(ctx, time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// sweep deletes at most one closed job whose retention has ended. Of all VMs, only the one with takeover rank 0 deletes
// it.
func (l *Jobs) sweep(ctx context.Context, now time.Time) {
	for _, e := range l.index.closed(now.Add(-l.Retention - sweepMargin)) {
		if l.takeoverRank(e.job.ID, "") != 0 {
			continue
		}
		ctx, stop := context.WithTimeout(ctx, deleteTimeout)
		defer stop()
		if err := l.delete(ctx, e); err != nil {
			l.Logger.Warn("closed job deletion failed", "job", e.job.ID, "error", err)
			return
		}
		l.Logger.Info("closed job deleted", "job", e.job.ID)
		return
	}
}

// delete deletes everything that is stored of a job. The job's row is deleted last, so that a later sweep resumes an
// interrupted deletion.
func (l *Jobs) delete(ctx context.Context, e entry) error {
	id := e.job.ID
	for position := range e.job.ResultCount {
		row, err := l.Table.Read(ctx, resultKey(id, position))
		if errors.Is(err, guavaplatform.ErrAbsent) {
			continue
		}
		if err != nil {
			return fmt.Errorf("read result %d: %w", position, err)
		}
		result, err := decodeResult(row)
		if err != nil {
			return err
		}
		if result.Object != "" {
			if err := l.Objects.Delete(ctx, result.Object); err != nil {
				return fmt.Errorf("delete result text: %w", err)
			}
		}
	}
	for _, table := range [...]string{tableResults, tableSaved} {
		if err := l.deleteRows(ctx, table+"/"+shard(id)+"/"+id+"."); err != nil {
			return err
		}
	}
	if err := l.Objects.Delete(ctx, objectName(id)); err != nil {
		return fmt.Errorf("delete items: %w", err)
	}
	key := jobKey(id)
	err := l.Table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: e.revision}},
		[]guavaplatform.Write{{Key: key, Delete: true}})
	if err != nil {
		return fmt.Errorf("delete job: %w", err)
	}
	return nil
}

func (l *Jobs) deleteRows(ctx context.Context, prefix string) error {
	for {
		rows, err := l.Table.Scan(ctx, prefix, "", deleteBatch)
		if err != nil {
			return fmt.Errorf("read rows to delete: %w", err)
		}
		if len(rows) == 0 {
			return nil
		}
		writes := make([]guavaplatform.Write, 0, len(rows))
		for _, r := range rows {
			writes = append(writes, guavaplatform.Write{Key: r.Key, Delete: true})
		}
		if err := l.Table.Commit(ctx, nil, writes); err != nil {
			return fmt.Errorf("delete rows: %w", err)
		}
	}
}

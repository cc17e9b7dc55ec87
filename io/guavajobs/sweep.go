package guavajobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaridge/io/guavaplatform"
)

const (
	// sweepMargin is how much longer than its retention a closed job is kept, since clocks differ.
	sweepMargin = 30 * time.Second
	// sweepTime bounds the deletion of one job.
	sweepTime = 10 * time.Second
	// sweepRows is the number of rows deleted in one commit.
	sweepRows = 50
)

// sweep deletes one closed job whose retention is over and that falls to this VM.
func (l *Jobs) sweep(ctx context.Context, now time.Time) {
	for _, e := range l.board.closed(now.Add(-l.Retention - sweepMargin)) {
		if l.line(e.job.ID, "") != 0 {
			continue
		}
		ctx, stop := context.WithTimeout(ctx, sweepTime)
		defer stop()
		if err := l.delete(ctx, e); err != nil {
			l.Logger.Warn("closed job not deleted", "job", e.job.ID, "error", err)
			return
		}
		l.Logger.Info("closed job deleted", "job", e.job.ID)
		return
	}
}

// delete removes a job, its row last, so that a deletion that breaks off is taken up again.
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
				return fmt.Errorf("delete text: %w", err)
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
		rows, err := l.Table.Scan(ctx, prefix, "", sweepRows)
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

package guavajobs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
)

const (
	// pageSize bounds the texts of one page of results in bytes.
	pageSize = 900 << 10
	// pageRows bounds the results of one page.
	pageRows = 200
)

// results answers a read of results. It waits for the first of them as long as the client wants.
func (l *Jobs) results(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, e entry) {
	var passed <-chan time.Time
	if r.Wait > 0 {
		timer := time.NewTimer(r.Wait)
		defer timer.Stop()
		passed = timer.C
	}
	for r.After >= e.job.ResultCount && e.job.IsOpen() {
		fresh, changed, ok := l.board.get(r.Job)
		if ok {
			e = fresh
		}
		if r.After < e.job.ResultCount || !e.job.IsOpen() || passed == nil {
			break
		}
		select {
		case <-changed:
			continue
		case <-passed:
		case <-ctx.Done():
		}
		break
	}
	if r.After >= e.job.ResultCount {
		confirmed, err := l.confirm(ctx, e)
		if err != nil {
			l.unsure(w, r, err)
			return
		}
		e = confirmed
	}
	var list []guavaprogress.Result
	if r.After < e.job.ResultCount {
		var err error
		if list, err = l.list(ctx, e.job, r.After); err != nil {
			l.unsure(w, r, err)
			return
		}
	}
	data, err := l.Codec.Page(e.job.Total, list, r.After+len(list))
	if err != nil {
		l.unsure(w, r, err)
		return
	}
	w.SetContentType("application/json")
	w.SetBody(data)
}

// confirm returns a job as it was at most Settle ago: another VM may have listed results since this VM's copy was
// confirmed. A closed job does not change.
func (l *Jobs) confirm(ctx context.Context, e entry) (entry, error) {
	allowed := l.MaxStaleness / 2 // the other half is for the call to the store
	if !e.job.IsOpen() || time.Since(l.Confirmed()) < allowed {
		return e, nil
	}
	ctx, stop := context.WithTimeout(ctx, allowed)
	defer stop()
	return l.read(ctx, e.job.ID)
}

// list reads results from a position on.
func (l *Jobs) list(ctx context.Context, j guavaprogress.Job, from int) ([]guavaprogress.Result, error) {
	var after string
	if from > 0 {
		after = resultKey(j.ID, from-1)
	}
	rows, err := l.Table.Scan(ctx, tableResults+"/"+shard(j.ID)+"/"+j.ID+".", after, min(j.ResultCount-from, pageRows))
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	list := make([]guavaprogress.Result, 0, len(rows))
	size := 0
	for i, row := range rows {
		if row.Key != resultKey(j.ID, from+i) {
			return nil, fmt.Errorf("result %d of job %s is missing", from+i, j.ID)
		}
		result, err := decodeResult(row)
		if err != nil {
			return nil, err
		}
		if result.Object != "" {
			if result.Text, err = l.text(ctx, result.Object); err != nil {
				return nil, err
			}
		}
		if size += len(result.Text); size > pageSize && len(list) > 0 {
			break
		}
		list = append(list, result)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("results of job %s from %d on are missing", j.ID, from)
	}
	return list, nil
}

func decodeResult(row guavaplatform.Row) (guavaprogress.Result, error) {
	var result guavaprogress.Result
	if err := json.Unmarshal(row.Value, &result); err != nil {
		return guavaprogress.Result{}, fmt.Errorf("decode result %s: %w", row.Key, err)
	}
	return result, nil
}

func (l *Jobs) text(ctx context.Context, name string) (string, error) {
	o, err := l.Objects.Get(ctx, name)
	if err != nil {
		return "", fmt.Errorf("read text: %w", err)
	}
	defer o.Close()
	data, err := io.ReadAll(o)
	if err != nil {
		return "", fmt.Errorf("read text: %w", err)
	}
	return string(data), nil
}

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
	// maxPageSize is the maximum total size of the texts in a page of results, in bytes. A single text may be larger.
	maxPageSize = 900 << 10
	// maxPageRows is the maximum number of results in a page.
	maxPageRows = 200
)

// results responds with a page of results. If there is none yet, it waits for the first one as long as the client
// allows.
func (l *Jobs) results(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, e entry) {
	var timeout <-chan time.Time
	if r.Wait > 0 {
		timer := time.NewTimer(r.Wait)
		defer timer.Stop()
		timeout = timer.C
	}
	for r.After >= e.job.ResultCount && e.job.IsOpen() {
		current, changed, ok := l.index.get(r.Job)
		if ok {
			e = current
		}
		if r.After < e.job.ResultCount || !e.job.IsOpen() || timeout == nil {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		break
	}
	if r.After >= e.job.ResultCount {
		refreshed, err := l.refresh(ctx, e)
		if err != nil {
			l.unavailable(w, r, err)
			return
		}
		e = refreshed
	}
	var list []guavaprogress.Result
	if r.After < e.job.ResultCount {
		var err error
		if list, err = l.readResults(ctx, e.job, r.After); err != nil {
			l.unavailable(w, r, err)
			return
		}
	}
	data, err := l.Codec.Page(e.job.Total, list, r.After+len(list))
	if err != nil {
		l.unavailable(w, r, err)
		return
	}
	w.SetContentType("application/json")
	w.Response.SetBodyRaw(data)
}

// refresh returns the job, read from the store if this VM's copy was confirmed too long ago for MaxStaleness: another
// VM may have added results since. A closed job does not change.
func (l *Jobs) refresh(ctx context.Context, e entry) (entry, error) {
	allowed := l.MaxStaleness / 2 // the other half is for the call to the store
	if !e.job.IsOpen() || time.Since(l.Confirmed()) < allowed {
		return e, nil
	}
	ctx, stop := context.WithTimeout(ctx, allowed)
	defer stop()
	return l.read(ctx, e.job.ID)
}

// readResults reads a page of results that begins at a position.
func (l *Jobs) readResults(ctx context.Context, j guavaprogress.Job, from int) ([]guavaprogress.Result, error) {
	var after string
	if from > 0 {
		after = resultKey(j.ID, from-1)
	}
	rows, err := l.Table.Scan(ctx, tableResults+"/"+shard(j.ID)+"/"+j.ID+".", after, min(j.ResultCount-from, maxPageRows))
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
			if result.Text, err = l.readText(ctx, result.Object); err != nil {
				return nil, err
			}
		}
		if size += len(result.Text); size > maxPageSize && len(list) > 0 {
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

func (l *Jobs) readText(ctx context.Context, name string) (string, error) {
	o, err := l.Objects.Get(ctx, name)
	if err != nil {
		return "", fmt.Errorf("read result text: %w", err)
	}
	defer o.Close()
	data, err := io.ReadAll(o)
	if err != nil {
		return "", fmt.Errorf("read result text: %w", err)
	}
	return string(data), nil
}

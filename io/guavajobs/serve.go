package guavajobs

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaprogress"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
)

const (
	// retryPause is the wait before a call to the store is repeated.
	retryPause = 40 * time.Millisecond
	// refusedAfter is when a client may come back. Its next try reaches another VM, which probably can do what this one
	// cannot, so there is nothing to wait for.
	refusedAfter = 20 * time.Millisecond
	// pageSize bounds the texts of one page of results in bytes.
	pageSize = 900 << 10
	// pageRows bounds the results of one page.
	pageRows = 200
	// mostItems is the largest number of items in a job.
	mostItems = 200
	// rowSize is the longest value in bytes that is kept in a row. The store takes 64 KiB in base64, which is 48 KiB.
	rowSize = 48_000
)

// validID matches identifiers that can be part of keys and names in the store.
var validID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,100}$`)

// Submit implements guavagate.Jobs.
func (l *Jobs) Submit(
	ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, route guavatraffic.Route, account string,
) {
	if !w.IsPost() || !validID.MatchString(r.ID) {
		w.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if e, _, ok := l.board.get(r.ID); ok {
		l.accepted(w, e.job, account)
		return
	}
	items, err := l.Codec.Submission(w.PostBody())
	if err != nil || len(items) == 0 || len(items) > mostItems {
		l.Logger.Info("job rejected", "job", r.ID, "items", len(items), "error", err)
		w.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	l.mu.Lock()
	closing := l.closing
	l.mu.Unlock()
	if closing {
		l.refuse(w, r.ID, errors.New("draining"))
		return
	}
	now := time.Now()
	j := guavaprogress.Job{
		ID: r.ID, Account: account, Route: route.Name, Service: route.Service(r.ID), Host: r.Host, Total: len(items),
		Accepted: now.UnixMilli(), Due: now.Add(route.CompletionTarget).UnixMilli(),
		Retained: now.Add(route.Retention).UnixMilli(), Attempts: route.Attempts,
		Priority: l.Config().Priority(route, account),
	}.WithOwner(l.Self.Name, l.Self.Incarnation)
	// Without its row, the object is no job: nothing runs, so a refusal is true.
	if err := l.putItems(ctx, j.ID, items); err != nil {
		l.refuse(w, j.ID, err)
		return
	}
	e, err := l.create(ctx, j)
	switch {
	case errors.Is(err, guavaplatform.ErrUnavailable):
		l.refuse(w, j.ID, err)
	case err != nil:
		// The row may be written yet, so nothing is promised.
		l.Logger.Warn("job in doubt", "job", j.ID, "error", err)
		w.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		l.board.put(e)
		if e.job.IsOwned(l.Self.Name, l.Self.Incarnation) && e.job.IsOpen() {
			l.begin(e, items, nil, nil)
		}
		l.accepted(w, e.job, account)
	}
}

func (l *Jobs) accepted(w *fasthttp.RequestCtx, j guavaprogress.Job, account string) {
	if j.Account != account {
		w.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	w.SetStatusCode(fasthttp.StatusAccepted)
}

func (l *Jobs) refuse(w *fasthttp.RequestCtx, id string, err error) {
	l.Logger.Info("job refused", "job", id, "error", err)
	w.SetStatusCode(fasthttp.StatusServiceUnavailable)
	l.Wire.Retry(&w.Response.Header, refusedAfter)
}

func (l *Jobs) putItems(ctx context.Context, id string, items []guavaprogress.Item) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(items); err != nil {
		return fmt.Errorf("encode items: %w", err)
	}
	for {
		err := l.Objects.Put(ctx, objectName(id), bytes.NewReader(b.Bytes()))
		if err == nil || !pause(ctx, err) {
			return err //nolint:wrapcheck // it names the object
		}
	}
}

// pause waits before a call is repeated, and returns false when there is no time.
func pause(ctx context.Context, _ error) bool {
	select {
	case <-time.After(retryPause):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// create writes the row of a new job. If there is one already, it is returned instead. ErrUnavailable says that no row was
// and none will be written by this call.
func (l *Jobs) create(ctx context.Context, j guavaprogress.Job) (entry, error) {
	data, err := encodeJob(j)
	if err != nil {
		return entry{}, err
	}
	key, doubt := jobKey(j.ID), false
	for {
		revision, err := l.Table.CommitAt(ctx, []guavaplatform.Check{{Key: key}}, []guavaplatform.Write{{Key: key, Value: data}})
		switch {
		case err == nil:
			return entry{job: j, revision: revision}, nil
		case errors.Is(err, guavaplatform.ErrConflict):
			row, readErr := l.Table.Read(ctx, key)
			if readErr == nil {
				return decodeJob(row)
			}
			if !pause(ctx, readErr) {
				return entry{}, fmt.Errorf("job exists but cannot be read: %w", guavaplatform.ErrUnknown)
			}
		case errors.Is(err, guavaplatform.ErrUnavailable) && !doubt:
			// A refusal lets the client go to a VM that reaches the store.
			return entry{}, err //nolint:wrapcheck // it says what was called
		default:
			doubt = true
			if !pause(ctx, err) {
				return entry{}, fmt.Errorf("%w: %w", guavaplatform.ErrUnknown, err)
			}
		}
	}
}

// Serve implements guavagate.Jobs.
func (l *Jobs) Serve(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, account string) {
	if !validID.MatchString(r.Job) {
		w.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	e, err := l.find(ctx, r.Job)
	switch {
	case errors.Is(err, guavaplatform.ErrAbsent):
		w.SetStatusCode(fasthttp.StatusNotFound)
	case err != nil:
		l.unsure(w, r, err)
	case e.job.Account != account:
		w.SetStatusCode(fasthttp.StatusNotFound)
	case r.Operation == guavagate.JobEnd:
		l.end(ctx, w, r, e)
	case r.Operation == guavagate.ItemBody:
		l.body(ctx, w, r, e.job)
	default:
		l.results(ctx, w, r, e)
	}
}

// unsure answers that this VM cannot tell.
func (l *Jobs) unsure(w *fasthttp.RequestCtx, r guavagate.Request, err error) {
	l.Logger.Info("cannot tell", "operation", r.Operation, "job", r.Job, "error", err)
	w.SetStatusCode(fasthttp.StatusServiceUnavailable)
	l.Wire.Retry(&w.Response.Header, refusedAfter)
}

// find returns a job, from the store if this VM does not know it.
func (l *Jobs) find(ctx context.Context, id string) (entry, error) {
	if e, _, ok := l.board.get(id); ok {
		return e, nil
	}
	return l.read(ctx, id)
}

func (l *Jobs) read(ctx context.Context, id string) (entry, error) {
	row, err := l.Table.Read(ctx, jobKey(id))
	if err != nil {
		return entry{}, err //nolint:wrapcheck // it names the row
	}
	e, err := decodeJob(row)
	if err != nil {
		return entry{}, err
	}
	l.board.put(e)
	return e, nil
}

// results answers a read of results. It waits for the first of them as long as the client wants.
func (l *Jobs) results(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, e entry) {
	var passed <-chan time.Time
	if r.Wait > 0 {
		timer := time.NewTimer(r.Wait)
		defer timer.Stop()
		passed = timer.C
	}
	for r.After >= e.job.Listed && e.job.IsOpen() {
		fresh, changed, ok := l.board.get(r.Job)
		if ok {
			e = fresh
		}
		if r.After < e.job.Listed || !e.job.IsOpen() || passed == nil {
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
	if r.After >= e.job.Listed {
		confirmed, err := l.confirm(ctx, e)
		if err != nil {
			l.unsure(w, r, err)
			return
		}
		e = confirmed
	}
	var list []guavaprogress.Result
	if r.After < e.job.Listed {
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
	allowed := l.Settle / 2 // the other half is for the call to the store
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
	rows, err := l.Table.Scan(ctx, tableResults+"/"+shard(j.ID)+"/"+j.ID+".", after, min(j.Listed-from, pageRows))
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

// body answers a read of an item's body.
func (l *Jobs) body(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, j guavaprogress.Job) {
	if j.Ended {
		w.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	items, err := l.items(ctx, j.ID)
	if err != nil {
		l.unsure(w, r, err)
		return
	}
	for _, i := range items {
		if i.ID == r.Item {
			w.SetContentType("application/octet-stream")
			w.SetBody(i.Body)
			return
		}
	}
	w.SetStatusCode(fasthttp.StatusNotFound)
}

// items returns the items of a job.
func (l *Jobs) items(ctx context.Context, id string) ([]guavaprogress.Item, error) {
	l.mu.Lock()
	r := l.runners[id]
	l.mu.Unlock()
	if r != nil {
		return r.items, nil
	}
	o, err := l.Objects.Get(ctx, objectName(id))
	if err != nil {
		return nil, fmt.Errorf("read items: %w", err)
	}
	defer o.Close()
	var items []guavaprogress.Item
	if err := gob.NewDecoder(o).Decode(&items); err != nil {
		return nil, fmt.Errorf("decode items of job %s: %w", id, err)
	}
	return items, nil
}

// end ends a job for its client.
func (l *Jobs) end(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, e entry) {
	for !e.job.Ended {
		next, err := l.write(ctx, e, e.job.WithEnd(time.Now()))
		if err == nil {
			e = next
			break
		}
		if !pause(ctx, err) {
			l.unsure(w, r, err)
			return
		}
		if e, err = l.read(ctx, r.Job); err != nil && !pause(ctx, err) {
			l.unsure(w, r, err)
			return
		}
	}
	l.Logger.Info("job ended by its client", "job", r.Job, "listed", e.job.Listed, "total", e.job.Total)
	l.mu.Lock()
	if run := l.runners[r.Job]; run != nil {
		run.cancel()
	}
	l.mu.Unlock()
	w.SetStatusCode(fasthttp.StatusOK)
}

// write replaces the row of a job if it is still as in e.
func (l *Jobs) write(ctx context.Context, e entry, j guavaprogress.Job, more ...guavaplatform.Write) (entry, error) {
	data, err := encodeJob(j)
	if err != nil {
		return entry{}, err
	}
	key := jobKey(j.ID)
	revision, err := l.Table.CommitAt(ctx, []guavaplatform.Check{{Key: key, Revision: e.revision}},
		append([]guavaplatform.Write{{Key: key, Value: data}}, more...))
	if err != nil {
		return entry{}, err //nolint:wrapcheck // it says what was called
	}
	next := entry{job: j, revision: revision}
	l.board.put(next)
	return next, nil
}

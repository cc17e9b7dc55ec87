package guavajobs

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
)

const (
	// retryPause is the wait before a call to the store is repeated.
	retryPause = 40 * time.Millisecond
	// refusedAfter is when a client may come back. Its next try reaches another VM, which probably can do what this one
	// cannot, so there is nothing to wait for.
	refusedAfter = 20 * time.Millisecond
)

// validID matches identifiers that can be part of keys and names in the store.
var validID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,100}$`)

// pause waits before a call is repeated, and returns false when there is no time.
func pause(ctx context.Context, _ error) bool {
	select {
	case <-time.After(retryPause):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
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
	l.Protocol.Retry(&w.Response.Header, refusedAfter)
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
	l.Logger.Info("job ended by its client", "job", r.Job, "listed", e.job.ResultCount, "total", e.job.Total)
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

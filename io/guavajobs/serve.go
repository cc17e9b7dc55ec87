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
	// storeRetryDelay is the delay before a failed call of the store is retried.
	storeRetryDelay = 40 * time.Millisecond
	// clientRetryDelay is the Retry-After time of responses with status 503. It is short because the retry goes to
	// another VM, which probably reaches the store.
	clientRetryDelay = 20 * time.Millisecond
)

// validID matches job IDs that are valid in keys and object names of the store.
var validID = regexp.MustCompile(`^[A-Za-z0-9_-]{1,100}$`)

// pause waits for storeRetryDelay, and returns false if ctx has ended.
func pause(ctx context.Context, _ error) bool {
	select {
	case <-time.After(storeRetryDelay):
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
		l.unavailable(w, r, err)
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

// unavailable responds with status 503, which makes the client retry at another VM.
func (l *Jobs) unavailable(w *fasthttp.RequestCtx, r guavagate.Request, err error) {
	l.Logger.Info("job request failed", "operation", r.Operation, "job", r.Job, "error", err)
	w.SetStatusCode(fasthttp.StatusServiceUnavailable)
	l.Protocol.SetRetryAfter(&w.Response.Header, clientRetryDelay)
}

// find returns a job from this VM's index, or from the store if the index does not have it.
func (l *Jobs) find(ctx context.Context, id string) (entry, error) {
	if e, _, ok := l.index.get(id); ok {
		return e, nil
	}
	return l.read(ctx, id)
}

func (l *Jobs) read(ctx context.Context, id string) (entry, error) {
	row, err := l.Table.Read(ctx, jobKey(id))
	if err != nil {
		return entry{}, err //nolint:wrapcheck // the error names the row
	}
	e, err := decodeJob(row)
	if err != nil {
		return entry{}, err
	}
	l.index.put(e)
	return e, nil
}

// body responds with an item's body.
func (l *Jobs) body(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, j guavaprogress.Job) {
	if j.Ended {
		w.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	items, err := l.items(ctx, j.ID)
	if err != nil {
		l.unavailable(w, r, err)
		return
	}
	for _, i := range items {
		if i.ID == r.Item {
			w.SetContentType("application/octet-stream")
			w.Response.SetBodyRaw(i.Body)
			return
		}
	}
	w.SetStatusCode(fasthttp.StatusNotFound)
}

// items returns the items of a job, from its runner on this VM or from the store.
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

// end ends a job at the request of its client.
func (l *Jobs) end(ctx context.Context, w *fasthttp.RequestCtx, r guavagate.Request, e entry) {
	for !e.job.Ended {
		next, err := l.write(ctx, e, e.job.WithEnd(time.Now()))
		if err == nil {
			e = next
			break
		}
		if !pause(ctx, err) {
			l.unavailable(w, r, err)
			return
		}
		current, err := l.read(ctx, r.Job)
		switch {
		case err == nil:
			e = current
		case !pause(ctx, err):
			l.unavailable(w, r, err)
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

// write replaces the row of a job, together with the additional writes, if the row still has the revision of e.
func (l *Jobs) write(ctx context.Context, e entry, j guavaprogress.Job, more ...guavaplatform.Write) (entry, error) {
	data, err := encodeJob(j)
	if err != nil {
		return entry{}, err
	}
	key := jobKey(j.ID)
	revision, err := l.Table.CommitAt(ctx, []guavaplatform.Check{{Key: key, Revision: e.revision}},
		append([]guavaplatform.Write{{Key: key, Value: data}}, more...))
	if err != nil {
		return entry{}, err //nolint:wrapcheck // the error names the call
	}
	next := entry{job: j, revision: revision}
	l.index.put(next)
	return next, nil
}

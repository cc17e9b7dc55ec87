package guavajobs

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaprogress"
	"guavaridge/core/guavatraffic"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
)

// mostItems is the largest number of items in a job.
const mostItems = 200

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
		Accepted: now.UnixMilli(), Deadline: now.Add(route.CompletionTarget).UnixMilli(),
		RetainedUntil: now.Add(route.Retention).UnixMilli(), MaxAttempts: route.Attempts,
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
		if e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation) && e.job.IsOpen() {
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
	l.Protocol.Retry(&w.Response.Header, refusedAfter)
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

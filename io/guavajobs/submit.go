package guavajobs

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavabacklog"
	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavatransport"
)

// maxItems is the maximum number of items in a job.
const maxItems = 200

// Submit implements guavagate.Jobs.
func (l *Jobs) Submit(ctx context.Context, w *fasthttp.RequestCtx, s guavagate.Submission) {
	r, route, account := s.Request, s.Route, s.Account
	if !w.IsPost() || !validID.MatchString(r.ID) {
		w.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if e, _, ok := l.index.get(r.ID); ok {
		l.acknowledge(w, e.job, account)
		return
	}
	items, err := l.Codec.Submission(w.PostBody())
	if err == nil {
		err = checkHeaders(items)
	}
	if err != nil || len(items) == 0 || len(items) > maxItems {
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
	tokens := 0
	for _, i := range items {
		tokens += i.Tokens
	}
	now := time.Now()
	j := guavaprogress.Job{
		ID: r.ID, Account: account, Route: route.Name, Service: route.Service(r.ID), Host: r.Host, Version: s.Config.Version,
		Total: len(items), WaitingTokens: tokens, Accepted: now.UnixMilli(), Deadline: now.Add(route.CompletionTarget).UnixMilli(),
		RetainedUntil: now.Add(route.Retention).UnixMilli(), MaxAttempts: route.Attempts,
		Priority: s.Config.Priority(route, account),
	}.WithOwner(l.Self.Name, l.Self.Incarnation)
	// The job exists only once its row does. Until then, a refusal correctly states that nothing runs.
	var reserved time.Time
	if limit := route.WaitingTokens; limit > 0 {
		var decision guavabacklog.Decision
		var err error
		if decision, reserved, err = l.reserve(ctx, j, limit); err != nil {
			l.refuse(w, j.ID, err)
			return
		}
		if !decision.Fits {
			l.refuseOverLimit(w, j, limit, decision)
			return
		}
	}
	if err := l.putItems(ctx, j.ID, items); err != nil {
		l.release(ctx, j, reserved)
		l.refuse(w, j.ID, err)
		return
	}
	e, err := l.create(ctx, j)
	switch {
	case errors.Is(err, guavaplatform.ErrUnavailable):
		l.release(ctx, j, reserved)
		l.refuse(w, j.ID, err)
	case err != nil:
		// The row may still be written, so the response states neither that the job was accepted nor that it was not.
		l.Logger.Warn("job submission outcome unknown", "job", j.ID, "error", err)
		w.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		l.index.put(e)
		if e.job.IsOwnedBy(l.Self.Name, l.Self.Incarnation) && e.job.IsOpen() {
			l.start(e, items, nil, nil)
		}
		l.acknowledge(w, e.job, account)
	}
}

// checkHeaders checks the names of the headers of items. Servers may read a name with white space as that of another header, such as one
// that says where the body ends.
func checkHeaders(items []guavaprogress.Item) error {
	for _, i := range items {
		for name := range i.Headers {
			if !guavatransport.IsToken(name) {
				return fmt.Errorf("header %.40q of item %s: %w", name, i.ID, guavatransport.ErrInvalidField)
			}
		}
	}
	return nil
}

func (l *Jobs) acknowledge(w *fasthttp.RequestCtx, j guavaprogress.Job, account string) {
	if j.Account != account {
		w.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	w.SetStatusCode(fasthttp.StatusAccepted)
}

func (l *Jobs) refuse(w *fasthttp.RequestCtx, id string, err error) {
	l.Logger.Info("job refused", "job", id, "error", err)
	l.Counters.Refused.Add(1)
	w.SetStatusCode(fasthttp.StatusServiceUnavailable)
	l.Protocol.SetRetryAfter(&w.Response.Header, clientRetryDelay)
}

func (l *Jobs) putItems(ctx context.Context, id string, items []guavaprogress.Item) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(items); err != nil {
		return fmt.Errorf("encode items: %w", err)
	}
	for {
		err := l.Objects.Put(ctx, objectName(id), bytes.NewReader(b.Bytes()))
		if err == nil || !pause(ctx, err) {
			return err //nolint:wrapcheck // the error names the object
		}
	}
}

// create writes the row of a new job, with retries. If the row exists already, it returns the job of that row.
// ErrUnavailable means that this call has not written the row and never will.
func (l *Jobs) create(ctx context.Context, j guavaprogress.Job) (entry, error) {
	data, err := encodeJob(j)
	if err != nil {
		return entry{}, err
	}
	key, outcomeUnknown := jobKey(j.ID), false
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
				return entry{}, fmt.Errorf("read the row of the existing job: %w", guavaplatform.ErrUnknown)
			}
		case errors.Is(err, guavaplatform.ErrUnavailable) && !outcomeUnknown:
			// No attempt has reached the store. The client can retry at a VM that reaches it.
			return entry{}, err //nolint:wrapcheck // the error names the call
		default:
			outcomeUnknown = true
			if !pause(ctx, err) {
				return entry{}, fmt.Errorf("%w: %w", guavaplatform.ErrUnknown, err)
			}
		}
	}
}

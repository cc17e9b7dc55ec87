package guavajobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavabacklog"
	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavaplatform"
)

// errStaleCopy means that this VM's copy of the jobs table is too old to count the waiting tokens of an account.
var errStaleCopy = errors.New("the copy of the jobs table is out of date")

// errBacklogFull means that an account has submitted more jobs within guavabacklog.RecentTime than fit into a row.
var errBacklogFull = errors.New("too many recent jobs of the account")

// reserve decides whether the job fits into the limit of its account's waiting tokens and, if so, stores a reservation
// for it. The time of the reservation is returned if this VM may give it back, and otherwise zero. An error means that
// nothing was decided. A reservation that was stored all the same counts until guavabacklog.RecentTime.
func (l *Jobs) reserve(
	ctx context.Context, j guavaprogress.Job, limit int,
) (d guavabacklog.Decision, reserved time.Time, err error) {
	for {
		d, reserved, err = l.tryReserve(ctx, j, limit)
		switch {
		case err == nil || errors.Is(err, guavaplatform.ErrUnavailable) || errors.Is(err, errStaleCopy) ||
			errors.Is(err, errBacklogFull):
			return d, reserved, err
		case errors.Is(err, guavaplatform.ErrConflict) && ctx.Err() == nil:
			continue // another VM has stored a reservation, so the VMs together make progress
		case !pause(ctx, err):
			return d, time.Time{}, fmt.Errorf("reserve waiting tokens: %w", err)
		}
	}
}

func (l *Jobs) tryReserve(
	ctx context.Context, j guavaprogress.Job, limit int,
) (d guavabacklog.Decision, reserved time.Time, err error) {
	b, revision, err := l.readBacklog(ctx, j)
	if err != nil {
		return d, time.Time{}, err
	}
	now := time.Now()
	if now.Sub(l.Confirmed()) > guavabacklog.MaxStaleness {
		return d, time.Time{}, errStaleCopy
	}
	d = b.Decide(j.ID, j.WaitingTokens, limit, l.index.of(j.Account, j.Route), now)
	if !d.Fits {
		return d, time.Time{}, nil
	}
	next, own := b.With(j.ID, j.WaitingTokens, now)
	if own {
		reserved = now
	}
	return d, reserved, l.writeBacklog(ctx, j, revision, next)
}

// release gives back the reservation of a job that was not created, unless reserved is zero. If that fails, the
// reservation lapses.
func (l *Jobs) release(ctx context.Context, j guavaprogress.Job, reserved time.Time) {
	if reserved.IsZero() {
		return
	}
	b, revision, err := l.readBacklog(ctx, j)
	if err == nil {
		if next, ok := b.Without(j.ID, reserved); ok {
			err = l.writeBacklog(ctx, j, revision, next)
		}
	}
	if err != nil {
		l.Logger.Info("release of waiting tokens failed", "job", j.ID, "account", j.Account, "tokens", j.WaitingTokens, "error", err)
	}
}

func (l *Jobs) readBacklog(ctx context.Context, j guavaprogress.Job) (guavabacklog.Backlog, uint64, error) {
	row, err := l.Table.Read(ctx, backlogKey(j.Account, j.Route))
	switch {
	case errors.Is(err, guavaplatform.ErrAbsent):
		return guavabacklog.Backlog{}, 0, nil
	case err != nil:
		return guavabacklog.Backlog{}, 0, fmt.Errorf("read the backlog of account %s: %w", j.Account, err)
	}
	var b guavabacklog.Backlog
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return guavabacklog.Backlog{}, 0, fmt.Errorf("decode the backlog of account %s: %w", j.Account, err)
	}
	return b, row.Revision, nil
}

func (l *Jobs) writeBacklog(ctx context.Context, j guavaprogress.Job, revision uint64, b guavabacklog.Backlog) error {
	data, err := json.Marshal(b)
	if err != nil {
		return fmt.Errorf("encode the backlog of account %s: %w", j.Account, err)
	}
	if len(data) > maxRowSize {
		return errBacklogFull
	}
	key := backlogKey(j.Account, j.Route)
	if _, err := l.Table.CommitAt(ctx, []guavaplatform.Check{{Key: key, Revision: revision}},
		[]guavaplatform.Write{{Key: key, Value: data}}); err != nil {
		return fmt.Errorf("write the backlog of account %s: %w", j.Account, err)
	}
	return nil
}

// refuseOverLimit responds with status 429 to a job that does not fit into the waiting tokens of its account.
func (l *Jobs) refuseOverLimit(w *fasthttp.RequestCtx, j guavaprogress.Job, limit int, d guavabacklog.Decision) {
	l.Counters.OverLimit.Add(1)
	l.Logger.Info("job over limit", "job", j.ID, "account", j.Account, "route", j.Route, "tokens", j.WaitingTokens,
		"waiting", d.Waiting, "limit", limit, "after", d.RetryAfter.Milliseconds())
	w.SetStatusCode(fasthttp.StatusTooManyRequests)
	if d.RetryAfter > 0 {
		l.Protocol.SetRetryAfter(&w.Response.Header, d.RetryAfter)
	}
}

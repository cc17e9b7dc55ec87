package guavajobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaevent"
	"guavaridge/core/guavaplace"
	"guavaridge/core/guavaprogress"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavasend"
	"guavaridge/io/guavatransport"
)

const (
	// readMargin is by how much results should be there before they are due: clients read about twice a second.
	readMargin = 700 * time.Millisecond
	// quietTime is the longest silence of a server within a run until the item goes on elsewhere. Engines that ran out of
	// memory let a request wait before they read it again.
	quietTime = 2500 * time.Millisecond
	// againPause is the wait before an item is sent again after a failure.
	againPause = 150 * time.Millisecond
	// retentionMargin is by how much later than at the end of its retention an item is given up, since clocks differ.
	retentionMargin = 6 * time.Second
	// idleConnection bounds how long a connection for an item may have been idle.
	idleConnection = 2 * time.Second
	// bufferSize is the size in bytes of the buffer for reading events.
	bufferSize = 4 << 10
	// leastWork is the least part of its output that an item is expected to have before it.
	leastWork = 0.05
	// outputShare is the part of the most output allowed that items without a hint are expected to make.
	outputShare = 0.8
)

var errYield = errors.New("gave way to an online request")

// objectSuffix returns an item's ID as part of an object's name.
func objectSuffix(id string) string {
	return strings.Map(func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9') || r == '-' {
			return r
		}
		return '_'
	}, id[:min(len(id), 64)])
}

// itemRun brings one item to its final state.
type itemRun struct {
	runner *runner
	number int // of the item in its job
	item   guavaprogress.Item
	avoid  []string

	mu       sync.Mutex // guards changes to progress against save
	progress *guavaprogress.Progress
	saved    guavaprogress.SavedProgress // what the store has, without the text
}

func newItemRun(r *runner, number int, p *guavaprogress.Progress) *itemRun {
	return &itemRun{runner: r, number: number, item: r.items[number], progress: p, saved: p.Save()}
}

// save returns the progress if the store should have it: enough new events, or another failure, which counts for whoever
// runs the item next.
func (r *itemRun) save(least int) (guavaprogress.SavedProgress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.progress.Save()
	return s, s.Events >= r.saved.Events+least || s.Failures > r.saved.Failures || s.Crashes > r.saved.Crashes
}

// keep notes what the store has.
func (r *itemRun) keep(s guavaprogress.SavedProgress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = s
}

// fail and crash take in how a run ended.
func (r *itemRun) fail(attempts int) guavaprogress.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.RecordFailure(attempts)
}

func (r *itemRun) crash(made int) guavaprogress.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.RecordCrash(made)
}

func (r *itemRun) holdTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.Backoff()
}

func (r *itemRun) add(e guavaevent.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.AddEvent(e.ID, e.Data) //nolint:wrapcheck // receive says which event it was
}

// run returns the item's result, or false if the job ended before.
func (r *itemRun) run() (guavaprogress.Result, bool) {
	ctx, job := r.runner.ctx, r.runner.job
	retained := time.UnixMilli(job.RetainedUntil).Add(retentionMargin)
	for ctx.Err() == nil {
		if time.Now().After(retained) {
			return r.dead("retention over"), true
		}
		service, ok := r.service(job)
		if !ok {
			return r.dead("route removed"), true
		}
		place, err := r.acquire(ctx, service, job)
		if err != nil {
			r.wait(ctx, againPause)
			continue
		}
		verdict, reason := r.send(ctx, place, job, retained)
		switch verdict {
		case done:
			return guavaprogress.Result{ID: r.item.ID, State: guavaprogress.Succeeded, Text: r.progress.Text()}, true
		case guavaprogress.GiveUp:
			return r.dead(reason), true
		case guavaprogress.RetryAfterBackoff:
			r.runner.jobs.Logger.Warn("item held back", "item", r.item.ID, "job", job.ID, "cause", reason)
			r.wait(ctx, min(r.holdTime(), time.Until(retained)))
		}
	}
	return guavaprogress.Result{}, false
}

func (r *itemRun) wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *itemRun) dead(reason string) guavaprogress.Result {
	r.runner.jobs.Logger.Warn("item given up", "item", r.item.ID, "job", r.runner.job.ID, "cause", reason)
	return guavaprogress.Result{ID: r.item.ID, State: guavaprogress.Dead, Reason: reason}
}

// service returns where the configuration in force sends the item. It is false if the route has been removed.
func (r *itemRun) service(j guavaprogress.Job) (string, bool) {
	l := r.runner.jobs
	route, ok := l.Config().Route(j.Host, r.item.Path)
	if !ok {
		return j.Service, l.Stale() // a VM that may be out of date does not give up
	}
	return route.Service(j.ID), true
}

// left is the output that is expected to be made still, in tokens.
func (r *itemRun) left(stride int) float64 {
	expected := outputShare * float64(r.item.Output)
	if r.item.Hint > 0 {
		expected = (expected + float64(r.item.Hint)) / 2
	}
	return max(expected-float64(r.progress.Events()*max(stride, 1)), leastWork*expected)
}

func (r *itemRun) stride(service string) int { return r.runner.jobs.Config().Services[service].Stride }

func (r *itemRun) acquire(ctx context.Context, service string, j guavaprogress.Job) (*guavacoord.Place, error) {
	l := r.runner.jobs
	place, err := l.Admission.Acquire(ctx, service, guavaplace.Request{
		Class: guavaplace.Batch, Priority: j.Priority, Due: time.Until(time.UnixMilli(j.Deadline)) - readMargin,
		Tokens: r.item.Tokens, Work: r.left(r.stride(service)),
		Made: float64(r.progress.Events() * max(r.stride(service), 1)), Affinity: r.item.Affinity, Avoid: r.avoid,
	})
	if err != nil {
		return nil, fmt.Errorf("place for an item: %w", err)
	}
	if !l.Usable(service, place.Server) {
		place.Release(guavaplace.Cancelled, 0)
		r.avoid = []string{place.Server}
		return nil, errors.New("server unknown here")
	}
	return place, nil
}

// done is the verdict on a run that completed the item.
const done guavaprogress.Action = "done"

// send runs the item on a server, from where it stands.
func (r *itemRun) send(
	ctx context.Context, place *guavacoord.Place, j guavaprogress.Job, retained time.Time,
) (guavaprogress.Action, string) {
	l := r.runner.jobs
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-place.Yield():
			cancel(errYield)
		case <-run.Done():
		}
	}()
	before := r.progress.Events()
	x, err := r.open(run, place, j, retained)
	if err != nil {
		return r.failed(run, place, err, before)
	}
	answer := l.Protocol.Answer(&x.Response.Header)
	place.Started(answer.Load)
	status := x.Response.StatusCode()
	if status == fasthttp.StatusOK {
		err := r.receive(x)
		if err == nil {
			x.Finish()
			place.Release(guavaplace.Done, r.made(j, before))
			r.logEnd(j, place, "done", "")
			return done, ""
		}
		x.Close()
		return r.failed(run, place, &guavasend.Error{Sent: true, Err: err}, before)
	}
	x.Close()
	return r.rejected(place, answer, status, j)
}

func (r *itemRun) made(j guavaprogress.Job, before int) float64 {
	return float64((r.progress.Events() - before) * max(r.stride(j.Service), 1))
}

func (r *itemRun) open(
	ctx context.Context, place *guavacoord.Place, j guavaprogress.Job, retained time.Time,
) (*guavasend.Exchange, error) {
	l := r.runner.jobs
	q := &fasthttp.Request{}
	l.Codec.ItemRequest(q, j.Host, r.item)
	guavatransport.StripHop(&q.Header)
	l.Protocol.Prepare(&q.Header, guavagate.Outgoing{
		Server: place.Server, Account: j.Account, Left: time.Until(retained), Received: r.progress.LastEvent(),
	})
	return l.Sender.Send(ctx, guavasend.Request{ //nolint:wrapcheck // failed takes it apart
		Address: place.Address, ID: r.item.ID, IDHeader: l.Protocol.IDHeader(), Message: q, Idle: idleConnection,
		Quiet: quietTime, Repeatable: true,
	})
}

// receive takes in events until the stream is complete.
func (r *itemRun) receive(x *guavasend.Exchange) error {
	var s guavaevent.Splitter
	buffer := make([]byte, bufferSize)
	x.Quiet(quietTime)
	for {
		n, err := x.Read(buffer)
		s.Write(buffer[:n])
		for {
			e, ok := s.Next()
			if !ok {
				break
			}
			if e.ID < 0 {
				continue
			}
			if err := r.add(e); err != nil {
				return fmt.Errorf("event %d after %d: %w", e.ID, r.progress.LastEvent(), err)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && s.Pending() == 0 && r.progress.Events() > 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err //nolint:wrapcheck // the exchange names the server
		}
	}
}

// failed decides what follows a run that broke off.
func (r *itemRun) failed(run context.Context, place *guavacoord.Place, err error, before int) (guavaprogress.Action, string) {
	l := r.runner.jobs
	var failure *guavasend.Error
	sent := !errors.As(err, &failure) || failure.Sent
	switch cause := context.Cause(run); {
	case errors.Is(cause, errYield):
		place.Release(guavaplace.Cancelled, 0)
		l.Counters.Yields.Add(1)
		return guavaprogress.Retry, ""
	case cause != nil:
		place.Release(guavaplace.Cancelled, 0)
		return guavaprogress.Retry, ""
	case !sent:
		place.Release(guavaplace.Unreachable, 0)
		r.avoid = []string{place.Server}
		return guavaprogress.Retry, ""
	case failure != nil && failure.Quiet:
		place.Release(guavaplace.TimedOut, 0)
	default:
		place.Release(guavaplace.ConnectionLost, 0)
	}
	r.avoid = []string{place.Server}
	l.Counters.Resumed.Add(1)
	r.logEnd(r.runner.job, place, "broken", err.Error())
	return r.crash(r.progress.Events() - before), "crashes servers"
}

// rejected decides what follows an answer that is not a stream.
func (r *itemRun) rejected(
	place *guavacoord.Place, a guavagate.Answer, status int, j guavaprogress.Job,
) (guavaprogress.Action, string) {
	r.avoid = []string{place.Server}
	r.logEnd(j, place, "rejected", fmt.Sprintf("status %d", status))
	switch {
	case a.Misdirected:
		place.Release(guavaplace.Misdirected, 0)
		return guavaprogress.Retry, ""
	case a.NotRun:
		place.Release(guavaplace.Shed, 0)
		return guavaprogress.Retry, ""
	case status == fasthttp.StatusUnprocessableEntity:
		place.Release(guavaplace.Done, 0)
		return guavaprogress.GiveUp, "the server says that it can never be done"
	case status == fasthttp.StatusInternalServerError:
		place.Release(guavaplace.Failed, 0)
		return r.fail(j.MaxAttempts), "failed at each try"
	}
	place.Release(guavaplace.Failed, 0)
	r.wait(r.runner.ctx, againPause)
	return guavaprogress.Retry, ""
}

func (r *itemRun) logEnd(j guavaprogress.Job, place *guavacoord.Place, outcome, cause string) {
	r.runner.jobs.Logger.Info("item run", "item", r.item.ID, "job", j.ID, "server", place.Server, "outcome", outcome,
		"events", r.progress.Events(), "cause", cause, "due", time.Until(time.UnixMilli(j.Deadline)).Milliseconds())
}

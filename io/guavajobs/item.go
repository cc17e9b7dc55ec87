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
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaprogress"
	"guavaridge/core/guavaroster"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavagate"
	"guavaridge/io/guavasend"
)

const (
	// completionMargin is how long before the job's deadline its items should be done: clients read results about twice
	// a second.
	completionMargin = 700 * time.Millisecond
	// maxTextSize bounds the text of an item, in bytes.
	maxTextSize = 4 << 20
	// serverTimeout is how long a server may send no event before the item is retried on another one. Engines that ran
	// out of memory leave a request waiting before they process it again.
	serverTimeout = 2500 * time.Millisecond
	// retryDelay is the delay before an item is retried when no reservation was available or a server rejected it.
	retryDelay = 150 * time.Millisecond
	// maxBannedDelay bounds the delay before a banned item is retried, since its ban may be lifted earlier than announced.
	maxBannedDelay = 2 * time.Second
	// retentionMargin is how long after the end of its retention an item is given up; it allows for clock differences.
	retentionMargin = 6 * time.Second
	// maxIdle is the longest time that a connection may have been idle when an item is sent over it.
	maxIdle = 2 * time.Second
	// bufferSize is the size of the buffer for reading events, in bytes.
	bufferSize = 4 << 10
	// begunEvents is the number of events after which the server of an item has got beyond the begin of its answer.
	begunEvents = 2
	// minRemainingShare is the lower bound of an item's expected remaining output, as a share of its expected output.
	minRemainingShare = 0.05
	// expectedOutputShare is the expected output of items without a hint, as a share of their maximum output.
	expectedOutputShare = 0.8
)

var (
	errPreempted = errors.New("item preempted by an online request")
	// errEmptyRest means that a response to a request for the rest of an item has ended without an event.
	errEmptyRest = errors.New("no event after the last one")
	// errNoStream means that a complete response is not a stream of complete events.
	errNoStream = errors.New("not a stream of events")
)

// objectSuffix returns an item's ID in a form that is valid in an object name: at most 64 characters, others than
// letters, digits and hyphens replaced by underscores.
func objectSuffix(id string) string {
	return strings.Map(func(r rune) rune {
		if (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || (r >= '0' && r <= '9') || r == '-' {
			return r
		}
		return '_'
	}, id[:min(len(id), 64)])
}

// itemRun sends one item to servers until it succeeds or is given up.
type itemRun struct {
	runner *runner
	index  int // of the item in its job
	item   guavaprogress.Item
	// content identifies the item among the requests that crash servers.
	content uint64
	banned  bool     // whether it was refused because of a ban
	avoid   []string // the server of the last failed attempt
	// refusedBy holds the servers that refused the item. Each attempt has the same ID.
	refusedBy map[string]bool

	mu       sync.Mutex // guards changes of progress, and saved
	progress *guavaprogress.Progress
	saved    guavaprogress.SavedProgress // the progress in the store

	waitMu      sync.Mutex
	serviceWait *serviceWait // nil while the item does not wait for a reservation
}

func newItemRun(r *runner, index int, p *guavaprogress.Progress) *itemRun {
	i := r.items[index]
	return &itemRun{
		runner: r, index: index, item: i, content: guavapoison.NewFingerprint("item "+i.ID, nil).Sum(), progress: p,
		saved: p.Save(), refusedBy: map[string]bool{},
	}
}

// unsaved returns the progress, and whether it is worth saving: it has at least minEvents new events, another failure, which
// limits the attempts of the VM that runs the item next, or a result, which that VM only has to store.
func (r *itemRun) unsaved(minEvents int) (guavaprogress.SavedProgress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.progress.Save()
	return s, s.Events >= r.saved.Events+minEvents || s.Failures > r.saved.Failures || s.State != r.saved.State
}

// markSaved records that the store has this progress.
func (r *itemRun) markSaved(s guavaprogress.SavedProgress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = s
}

// recordFailure and recordCrash record how an attempt ended and return what to do next.
func (r *itemRun) recordFailure(maxAttempts int) guavaprogress.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.RecordFailure(maxAttempts)
}

func (r *itemRun) recordCrash(events int) guavaprogress.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.RecordCrash(events)
}

func (r *itemRun) recordEmptyRest(delimited bool) guavaprogress.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.RecordEmptyRest(delimited)
}

func (r *itemRun) recordWrongRest() guavaprogress.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.RecordWrongRest()
}

func (r *itemRun) recordPartialEvent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.RecordPartialEvent()
}

// finish records the item's result and returns it.
func (r *itemRun) finish(s guavaprogress.State, reason string) guavaprogress.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.Finish(s, reason)
	result, _ := r.progress.Result(r.item.ID)
	return result
}

func (r *itemRun) addEvent(e guavaevent.Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.AddEvent(e.ID, e.Data) //nolint:wrapcheck // receive adds the event ID
}

// run returns the item's result, or false if this VM stopped running the job before there was one.
func (r *itemRun) run() (guavaprogress.Result, bool) {
	if result, ok := r.progress.Result(r.item.ID); ok {
		return result, true // the VM that ran the job before did not store it
	}
	ctx, job := r.runner.ctx, r.runner.job
	expiry := time.UnixMilli(job.RetainedUntil).Add(retentionMargin)
	for ctx.Err() == nil {
		if time.Now().After(expiry) {
			return r.giveUp("retention over"), true
		}
		service, state := r.service(job)
		switch state {
		case routeRemoved:
			return r.giveUp("route removed"), true
		case routeUnknown:
			r.wait(ctx, retryDelay)
			continue
		case routeKnown:
		}
		reservation, err := r.acquire(ctx, service, job, expiry)
		if errors.Is(err, errRouteChanged) {
			continue
		}
		if err != nil {
			r.wait(ctx, r.delayAfter(err))
			continue
		}
		action, reason := r.send(ctx, reservation, job, expiry)
		switch action {
		case guavaprogress.Complete:
			return r.finish(guavaprogress.Succeeded, ""), true
		case guavaprogress.GiveUp:
			return r.giveUp(reason), true
		case guavaprogress.RetryAfterDelay:
			r.runner.jobs.Logger.Warn("item retry delayed", "item", r.item.ID, "job", job.ID, "cause", reason)
			r.wait(ctx, guavaprogress.RetryDelay)
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

func (r *itemRun) giveUp(reason string) guavaprogress.Result {
	r.runner.jobs.Logger.Warn("item given up", "item", r.item.ID, "job", r.runner.job.ID, "cause", reason)
	return r.finish(guavaprogress.Dead, reason)
}

// remainingWork returns the output that is still expected from the item, in tokens.
func (r *itemRun) remainingWork(stride int) float64 {
	expected := expectedOutputShare * float64(r.item.Output)
	if r.item.Hint > 0 {
		expected = (expected + float64(r.item.Hint)) / 2
	}
	return max(expected-float64(r.progress.Events()*max(stride, 1)), minRemainingShare*expected)
}

func (r *itemRun) stride(service string) int { return r.runner.jobs.Config().Services[service].Stride }

// acquire waits for a reservation on a server of the service, until the route leads elsewhere or the item expires.
func (r *itemRun) acquire(
	ctx context.Context, service string, j guavaprogress.Job, expiry time.Time,
) (*guavacoord.Reservation, error) {
	l := r.runner.jobs
	ctx, cancel := context.WithDeadline(ctx, expiry)
	defer cancel()
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	r.setWait(&serviceWait{service: service, leave: leave})
	defer r.setWait(nil)
	r.reviewRoute() // it may have changed since it led to the service
	reservation, err := l.Admission.Acquire(ctx, service, guavaplace.Request{
		Class: guavaplace.Batch, Priority: j.Priority, Due: time.Until(time.UnixMilli(j.Deadline)) - completionMargin,
		Tokens: r.item.Tokens, Work: r.remainingWork(r.stride(service)),
		Made: float64(r.progress.Events() * max(r.stride(service), 1)), Affinity: r.item.Affinity, Avoid: r.avoid,
		Content: r.content, Parts: guavapoison.PartTraits(r.item.Parts),
	})
	if err != nil {
		return nil, fmt.Errorf("acquire a reservation for the item: %w", err)
	}
	if ctx.Err() != nil {
		reservation.Release(guavaplace.Cancelled, 0)
		return nil, fmt.Errorf("use the reservation for the item: %w", context.Cause(ctx))
	}
	if s := l.Status(service, reservation.Incarnation()); s != guavaroster.Usable {
		reservation.Release(guavaplace.Cancelled, 0)
		r.avoid = []string{reservation.Server}
		return nil, fmt.Errorf("the reserved server is %s in this VM's server list", s)
	}
	return reservation, nil
}

// delayAfter returns the time until the next request for a reservation after one that failed. It logs the first refusal of
// the item because of a ban.
func (r *itemRun) delayAfter(err error) time.Duration {
	refusal := (*guavacoord.RefusalError)(nil)
	if !errors.As(err, &refusal) || refusal.Reason != guavaplace.CrashReason {
		return retryDelay
	}
	if !r.banned {
		r.banned = true
		r.runner.jobs.Logger.Warn("item held back", "item", r.item.ID, "job", r.runner.job.ID, "cause", refusal.Reason,
			"parts", strings.Join(r.item.Parts, ","), "after", refusal.After.Milliseconds())
	}
	return min(max(refusal.After, retryDelay), maxBannedDelay)
}

// send sends the item to the reserved server, which resumes after the last event received, and returns what to do next.
func (r *itemRun) send(
	ctx context.Context, reservation *guavacoord.Reservation, j guavaprogress.Job, expiry time.Time,
) (guavaprogress.Action, string) {
	l := r.runner.jobs
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-reservation.Yield():
			cancel(errPreempted)
		case <-attempt.Done():
		}
	}()
	before := r.progress.Events()
	x, err := r.open(attempt, reservation, j, expiry)
	if err != nil {
		return r.handleFailure(attempt, reservation, err, before)
	}
	response := l.Protocol.DecodeResponse(&x.Response.Header)
	reservation.Started(response.Load, response.Leaving)
	status := x.Response.StatusCode()
	if status == fasthttp.StatusOK {
		err := r.receive(x, reservation)
		switch {
		case err == nil:
			x.Finish()
			reservation.Release(guavaplace.Done, r.generatedTokens(j, before))
			r.logEnd(j, reservation, "done", "")
			return guavaprogress.Complete, ""
		case errors.Is(err, errEmptyRest):
			delimited := x.IsDelimited()
			x.Finish()
			return r.handleEmptyRest(reservation, delimited, j)
		}
		x.Close()
		return r.handleFailure(attempt, reservation, &guavasend.Error{Sent: true, Err: err}, before)
	}
	x.Close()
	return r.handleRejection(reservation, response, status, j)
}

func (r *itemRun) generatedTokens(j guavaprogress.Job, before int) float64 {
	return float64((r.progress.Events() - before) * max(r.stride(j.Service), 1))
}

func (r *itemRun) open(
	ctx context.Context, reservation *guavacoord.Reservation, j guavaprogress.Job, expiry time.Time,
) (*guavasend.Exchange, error) {
	l := r.runner.jobs
	message := &fasthttp.Request{}
	fields := l.Codec.ItemRequest(message, j.Host, r.item)
	q := &fasthttp.Request{}
	q.SetBodyRaw(message.Body())
	l.Protocol.Prepare(&q.Header, &message.Header, guavagate.ForwardInfo{
		Server: reservation.Server, Account: j.Account, Timeout: time.Until(expiry), LastEventID: r.progress.LastEvent(), Fields: fields,
	})
	return l.Sender.Send(ctx, guavasend.Request{ //nolint:wrapcheck // handleFailure inspects it
		Address: reservation.Address, ID: r.item.ID, IDHeader: l.Protocol.IDHeader(), Message: q, MaxIdle: maxIdle,
		HeaderTimeout: serverTimeout, Repeatable: true, NewConnection: r.refusedBy[reservation.Server],
	})
}

// receive adds events to the progress until the stream is complete.
func (r *itemRun) receive(x *guavasend.Exchange, reservation *guavacoord.Reservation) error {
	var s guavaevent.Splitter
	start := r.progress.Events()
	buffer := make([]byte, bufferSize)
	if err := x.SetReadTimeout(serverTimeout); err != nil {
		return err //nolint:wrapcheck // it says that the deadline was not set
	}
	for {
		n, err := x.Read(buffer)
		s.Write(buffer[:n])
		before := r.progress.Events()
		for {
			e, ok := s.Next()
			if !ok {
				break
			}
			if e.ID < 0 {
				continue
			}
			if err := r.addEvent(e); err != nil {
				return fmt.Errorf("receive event %d after %d: %w", e.ID, r.progress.LastEvent(), errors.Join(guavasend.ErrMalformed, err))
			}
		}
		if err := x.Hold(s.Pending()); err != nil {
			return err //nolint:wrapcheck // it names the server
		}
		if n := r.progress.TextSize(); n > maxTextSize {
			return fmt.Errorf("text of %d bytes: %w", n, guavasend.ErrOverBudget)
		}
		if r.progress.Events() >= start+begunEvents {
			reservation.Begun()
		}
		if r.progress.Events() > before {
			if err := x.SetReadTimeout(serverTimeout); err != nil {
				return err //nolint:wrapcheck // it says that the deadline was not set
			}
		}
		if err != nil && s.Pending() > 0 {
			r.recordPartialEvent()
		}
		switch {
		case errors.Is(err, io.EOF) && s.Pending() == 0 && r.progress.Events() > start:
			return nil
		case errors.Is(err, io.EOF) && s.Pending() == 0 && start > 0:
			return errEmptyRest
		case errors.Is(err, io.EOF) && x.IsDelimited():
			return fmt.Errorf("%w: %w", guavasend.ErrMalformed, errNoStream)
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err //nolint:wrapcheck // the exchange names the server
		}
	}
}

// handleEmptyRest releases the reservation of an attempt that was to resume the item and got a response without an event, and
// returns what to do next. Without a length or chunks, the response says nothing about the item or the server.
func (r *itemRun) handleEmptyRest(
	reservation *guavacoord.Reservation, delimited bool, j guavaprogress.Job,
) (guavaprogress.Action, string) {
	outcome := guavaplace.Done
	if !delimited {
		outcome = guavaplace.Cancelled
	}
	reservation.Release(outcome, 0)
	r.logEnd(j, reservation, "empty", "")
	r.avoid = []string{reservation.Server}
	return r.recordEmptyRest(delimited), "no end of the stream"
}

// handleFailure releases the reservation of an attempt without a complete response, and returns what to do next.
func (r *itemRun) handleFailure(
	attempt context.Context, reservation *guavacoord.Reservation, err error, before int,
) (guavaprogress.Action, string) {
	l := r.runner.jobs
	if cause := context.Cause(attempt); cause != nil {
		reservation.Release(guavaplace.Cancelled, 0)
		if errors.Is(cause, errPreempted) {
			l.Counters.Yields.Add(1)
		}
		return guavaprogress.Retry, ""
	}
	outcome := guavasend.Outcome(err)
	reservation.Release(outcome, 0)
	r.avoid = []string{reservation.Server}
	if outcome == guavaplace.Unreachable {
		return guavaprogress.Retry, ""
	}
	l.Counters.Resumed.Add(1)
	r.logEnd(r.runner.job, reservation, "broken", err.Error())
	if errors.Is(err, guavaprogress.ErrOutOfOrder) && r.progress.Events() == before {
		return r.recordWrongRest(), "servers sent another part of the stream"
	}
	return r.recordCrash(r.progress.Events() - before), "servers broke off"
}

// handleRejection releases the reservation of an attempt that got an error response, and returns what to do next.
func (r *itemRun) handleRejection(
	reservation *guavacoord.Reservation, response guavagate.ResponseInfo, status int, j guavaprogress.Job,
) (guavaprogress.Action, string) {
	r.avoid = []string{reservation.Server}
	r.logEnd(j, reservation, "rejected", fmt.Sprintf("status %d", status))
	r.refusedBy[reservation.Server] = response.Misdirected || response.NotExecuted || r.refusedBy[reservation.Server]
	switch {
	case response.Misdirected:
		var q fasthttp.Request
		l := r.runner.jobs
		l.Codec.ItemRequest(&q, j.Host, r.item)
		outcome := l.Protocol.DecodeRequest(&q.Header).MisdirectedOutcome()
		reservation.Release(outcome, 0)
		if outcome != guavaplace.Misdirected {
			r.wait(r.runner.ctx, retryDelay) // the server stays in use, and may refuse the item each time
		}
		return guavaprogress.Retry, ""
	case response.NotExecuted:
		reservation.Release(guavaplace.Shed, 0)
		return guavaprogress.Retry, ""
	case status == fasthttp.StatusUnprocessableEntity:
		reservation.Release(guavaplace.Done, 0)
		return guavaprogress.GiveUp, "the server says that it can never be done"
	case status == fasthttp.StatusInternalServerError:
		reservation.Release(guavaplace.Failed, 0)
		return r.recordFailure(j.MaxAttempts), "failed at each try"
	}
	reservation.Release(guavaplace.Failed, 0)
	r.wait(r.runner.ctx, retryDelay)
	return guavaprogress.Retry, ""
}

func (r *itemRun) logEnd(j guavaprogress.Job, reservation *guavacoord.Reservation, outcome, cause string) {
	r.runner.jobs.Logger.Info("item run", "item", r.item.ID, "job", j.ID, "server", reservation.Server, "outcome", outcome,
		"events", r.progress.Events(), "cause", cause, "due", time.Until(time.UnixMilli(j.Deadline)).Milliseconds())
}

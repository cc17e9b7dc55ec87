package guavadispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavahealth"
	"guavaridge/core/guavapoison"
	"guavaridge/core/guavaretry"
	"guavaridge/core/guavaroute"
	"guavaridge/io/guavaback"
)

// congestedFirst is the time to first token above which a request found congestion: half of the target of 1.6 s,
// because the prediction has an error and the queue on the VM also takes time.
const congestedFirst = 800 * time.Millisecond

// triedPause is the wait before servers that failed a request are tried again with it.
const triedPause = 100 * time.Millisecond

var (
	errStalled = errors.New("no event within the stall time")
	errRefused = errors.New("backend server refused the request")
)

// result is the end of one attempt.
type result struct {
	answer guavaback.Response
	err    error
	ran    guavaretry.Execution
	crash  bool
	// first and total are the times to the first token, 0 when there was none, and to the end.
	first, total time.Duration
	// busy is true when the server refused for lack of capacity.
	busy bool
}

// send makes attempts until one succeeds or no other may follow.
func (p *Pipeline) send(ctx context.Context, c *call, l *place) (guavaback.Response, error) {
	for n := 1; ; n++ {
		choice, id, err := p.begin(ctx, c)
		if err != nil {
			return guavaback.Response{}, err
		}
		res := p.attempt(ctx, c, l, choice, id, n)
		if res.err == nil || c.out.complete() {
			res.answer.Tokens = max(res.answer.Tokens, c.out.count())
			if res.answer.Status == 0 {
				res.answer.Status = http.StatusOK
			}
			return res.answer, nil
		}
		c.ran = stronger(c.ran, res.ran)
		c.route.Exclude = append(c.route.Exclude, choice.Server.Name)
		if err := c.out.broken(); err != nil {
			return guavaback.Response{}, c.fail(499, "caller_gone", 0, fmt.Errorf("deliver event: %w", err))
		}
		if ctx.Err() != nil {
			return guavaback.Response{}, p.ended(ctx, c)
		}
		if p.poison.Refused(c.print) {
			return guavaback.Response{}, c.fail(422, "poison_request", 0, errPoison)
		}
		verdict := guavaretry.Decide(guavaretry.Failure{
			// What an earlier attempt may have run is as good a reason not to repeat as the last one.
			Ran: c.ran, Idempotent: c.Route.Idempotent, Tokens: c.out.count(), Resumable: c.out.resumable(),
			Attempts: n, Left: time.Until(c.Deadline), Expected: p.router.ServiceTimeP5(c.route),
		}, p.budget)
		switch verdict {
		case guavaretry.Retry:
			p.counters.retries.Add(1)
			continue
		case guavaretry.Resume:
			p.counters.resumes.Add(1)
			continue
		case guavaretry.StopBudget:
			p.counters.budget.Add(1)
			return p.last(c, res, 503, "retry_budget")
		case guavaretry.StopDeadline:
			return p.last(c, res, 504, "deadline")
		case guavaretry.StopExecuted, guavaretry.StopAttempts:
		}
		if c.ran == guavaretry.NotExecuted {
			return p.last(c, res, 503, "backend_failed")
		}
		return p.last(c, res, 502, "backend_failed")
	}
}

// last ends a call whose last attempt failed. An answer of the backend server is passed on as it is.
func (p *Pipeline) last(c *call, res result, status int, code string) (guavaback.Response, error) {
	if res.answer.Status != 0 && !c.out.started() && c.ran != guavaretry.NotExecuted {
		return res.answer, nil
	}
	return guavaback.Response{}, c.fail(status, code, time.Second, fmt.Errorf("attempt failed: %w", res.err))
}

func stronger(a, b guavaretry.Execution) guavaretry.Execution {
	rank := map[guavaretry.Execution]int{guavaretry.NotExecuted: 0, guavaretry.ExecutionUnknown: 1, guavaretry.Executed: 2}
	if rank[b] > rank[a] {
		return b
	}
	return a
}

// ended is the failure of a call whose context ended.
func (p *Pipeline) ended(ctx context.Context, c *call) *Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.fail(504, "deadline", 0, errDeadline)
	}
	return c.fail(499, "caller_gone", 0, ctx.Err())
}

// begin chooses a server and registers the attempt. A suspect waits while an equal one runs.
func (p *Pipeline) begin(ctx context.Context, c *call) (guavaroute.Choice, string, error) {
	for {
		p.refresh()
		verdict := p.poison.Check(c.print)
		if verdict == guavapoison.Refuse {
			return guavaroute.Choice{}, "", c.fail(422, "poison_request", 0, errPoison)
		}
		if verdict != guavapoison.Wait {
			c.route.Alone = verdict == guavapoison.Alone
			choice, ok := p.router.Choose(c.route)
			if !ok && len(c.route.Exclude) > 0 {
				// Every server was tried: the pause gives a restarting one the time to come back.
				c.route.Exclude = nil
				if err := p.pause(ctx, c, triedPause); err != nil {
					return choice, "", err
				}
				choice, ok = p.router.Choose(c.route)
			}
			if !ok {
				return choice, "", c.fail(503, "no_server", time.Second, errNoneLeft)
			}
			if left := time.Until(c.Deadline); choice.Expected > left && p.router.ServiceTimeP5(c.route) > left {
				return choice, "", c.fail(504, "deadline", 0, errNoTime)
			}
			id := p.attemptID()
			if p.poison.Begin(c.print, choice.Server.Name, id) {
				return choice, id, nil
			}
		}
		if err := p.pause(ctx, c, suspectPoll); err != nil {
			return guavaroute.Choice{}, "", err
		}
	}
}

func (p *Pipeline) pause(ctx context.Context, c *call, d time.Duration) error {
	select {
	case <-ctx.Done():
		return p.ended(ctx, c)
	case <-time.After(d):
		return nil
	}
}

// attempt sends the request once and tells routing, health and poison recognition what came of it.
func (p *Pipeline) attempt(ctx context.Context, c *call, l *place, choice guavaroute.Choice, id string, n int) result {
	server := choice.Server
	p.counters.attempts.Add(1)
	p.router.Sent(c.route, server.Name)
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	out := c.out.attempt(n > 1, func(first time.Duration) { p.first(c, l, choice, first) })
	if c.Stream {
		out.watch(p.options.stall, p.options.gap, func() { cancel(errStalled) })
	}
	a := guavaback.Attempt{
		ID: id, Address: server.Address, Method: c.Method, Path: c.Path, Body: c.Body, Stream: c.Stream,
		Header: c.Header,
	}
	a.Text, a.Tokens = c.out.text()
	answer, err := p.client.Do(attempt, a, out)
	res := result{answer: answer, err: err, total: time.Since(start), first: out.end(), ran: guavaretry.Executed}
	if cause := context.Cause(attempt); err != nil && errors.Is(cause, errStalled) {
		res.err = fmt.Errorf("attempt %s at %s: %w: %w", id, server.Name, errStalled, err)
	}
	p.classify(c, &res)
	if res.crash {
		p.poison.ServerCrashed(server.Name)
	}
	p.poison.End(server.Name, id, res.err == nil)
	p.learn(ctx, c, l, choice, res)
	return res
}

// first passes the time to the first event to routing and admission.
func (p *Pipeline) first(c *call, l *place, choice guavaroute.Choice, first time.Duration) {
	p.router.ObserveFirstToken(c.route, choice, first)
	if c.Route.Service == "" {
		l.first(first > congestedFirst)
	}
}

// classify decides whether the attempt failed and whether it may have run.
func (p *Pipeline) classify(c *call, res *result) {
	var e *guavaback.Error
	switch {
	case res.err != nil && errors.As(res.err, &e):
		res.ran, res.crash = e.Execution, e.Crash
	case res.err != nil:
		res.ran = guavaretry.ExecutionUnknown
	case res.answer.Status == http.StatusTooManyRequests || res.answer.Status == http.StatusServiceUnavailable:
		// An engine that refuses has not admitted the request. A plain service may answer 503 after it ran.
		res.err, res.busy = fmt.Errorf("status %d: %w", res.answer.Status, errRefused), true
		res.ran = guavaretry.ExecutionUnknown
		if c.Route.Service == "" {
			res.ran = guavaretry.NotExecuted
		}
	case res.answer.Status == http.StatusBadGateway || res.answer.Status == http.StatusGatewayTimeout ||
		res.answer.Status == http.StatusInternalServerError && c.Route.Service == "":
		res.err, res.ran = fmt.Errorf("status %d: %w", res.answer.Status, errRefused), guavaretry.ExecutionUnknown
	}
}

// learn passes the result to routing, admission and health.
func (p *Pipeline) learn(ctx context.Context, c *call, l *place, choice guavaroute.Choice, res result) {
	name, latency, load := choice.Server.Name, res.first, res.answer.Load
	switch {
	case res.busy:
		l.first(true)
	case res.err == nil && res.first == 0 && c.Route.Service != "":
		latency = res.total
		p.router.ObserveFirstToken(c.route, choice, latency)
		l.first(false)
	case res.err == nil && res.first == 0:
		// Without a stream the queue at the engine is the only sign of congestion.
		l.first(4*load.Waiting > load.Slots)
	}
	if load.Slots > 0 && !p.options.noAnswers {
		if res.first > 0 {
			// The header of a stream was true when the stream began.
			load.Age += (res.total - res.first).Milliseconds()
		}
		p.ObserveLoad(name, load)
	}
	switch {
	case res.err == nil:
		p.router.Ended(c.route, name, res.total)
		p.health.Observe(name, guavahealth.Outcome{Latency: latency})
		return
	case c.out.broken() != nil, ctx.Err() != nil && !res.crash, res.busy:
		// The caller left, the deadline passed or the server is busy: nothing is wrong with its health.
	default:
		p.health.Observe(name, guavahealth.Outcome{Failed: true})
	}
	p.router.Ended(c.route, name, 0)
}

var _ Dispatcher = (*Pipeline)(nil)

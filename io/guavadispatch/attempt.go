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

// congestedFirstToken is the time to first token above which the server counts as congested. It is half of the 1.6 s
// target, which leaves room for prediction errors and for the wait in the VM's queue.
const congestedFirstToken = 800 * time.Millisecond

// allTriedPause is the wait before a request that has failed at every server is sent to them again. It gives restarting
// servers time to come up.
const allTriedPause = 100 * time.Millisecond

var (
	errStalled = errors.New("no stream event within the stall timeout")
	errRefused = errors.New("backend server rejected the request")
)

// result is the result of one attempt.
type result struct {
	response  guavaback.Response
	err       error
	execution guavaretry.Execution
	crashed   bool
	// firstToken is the time to the first event, 0 when there was none; total is the duration of the attempt.
	firstToken, total time.Duration
	// busy is true when the server rejected the request for lack of capacity.
	busy bool
}

// sendWithRetries makes attempts until one succeeds or the retry policy allows no more.
func (p *Pipeline) sendWithRetries(ctx context.Context, c *call, adm *admission) (guavaback.Response, error) {
	for n := 1; ; n++ {
		choice, id, err := p.beginAttempt(ctx, c)
		if err != nil {
			return guavaback.Response{}, err
		}
		res := p.attempt(ctx, c, adm, choice, id, n)
		if res.err == nil || c.output.complete() {
			res.response.Tokens = max(res.response.Tokens, c.output.tokenCount())
			if res.response.Status == 0 {
				res.response.Status = http.StatusOK
			}
			return res.response, nil
		}
		c.execution = strongerExecution(c.execution, res.execution)
		c.route.Exclude = append(c.route.Exclude, choice.Server.Name)
		if err := c.output.sinkError(); err != nil {
			return guavaback.Response{}, c.newError(499, "caller_gone", 0, fmt.Errorf("deliver event: %w", err))
		}
		if ctx.Err() != nil {
			return guavaback.Response{}, p.contextError(ctx, c)
		}
		if p.poison.Refused(c.fingerprint) {
			return guavaback.Response{}, c.newError(422, "poison_request", 0, errPoison)
		}
		decision := guavaretry.Decide(guavaretry.Failure{
			// An earlier attempt that may have been executed forbids a retry as much as the last one does.
			Ran: c.execution, Idempotent: c.Route.Idempotent, Tokens: c.output.tokenCount(), Resumable: c.output.resumable(),
			Attempts: n, Left: time.Until(c.Deadline), Expected: p.router.ServiceTimeP5(c.route),
		}, p.budget)
		switch decision {
		case guavaretry.Retry:
			p.counters.retries.Add(1)
			continue
		case guavaretry.Resume:
			p.counters.resumes.Add(1)
			continue
		case guavaretry.StopBudget:
			p.counters.budgetExhausted.Add(1)
			return p.finalResult(c, res, 503, "retry_budget")
		case guavaretry.StopDeadline:
			return p.finalResult(c, res, 504, "deadline")
		case guavaretry.StopExecuted, guavaretry.StopAttempts:
		}
		if c.execution == guavaretry.NotExecuted {
			return p.finalResult(c, res, 503, "backend_failed")
		}
		return p.finalResult(c, res, 502, "backend_failed")
	}
}

// finalResult returns the result of a call whose last attempt failed. If the backend server sent a response and may
// have executed the request, that response is passed on unchanged.
func (p *Pipeline) finalResult(c *call, res result, status int, code string) (guavaback.Response, error) {
	if res.response.Status != 0 && !c.output.started() && c.execution != guavaretry.NotExecuted {
		return res.response, nil
	}
	return guavaback.Response{}, c.newError(status, code, time.Second, fmt.Errorf("attempt failed: %w", res.err))
}

// strongerExecution returns the state that allows fewer retries.
func strongerExecution(a, b guavaretry.Execution) guavaretry.Execution {
	rank := map[guavaretry.Execution]int{guavaretry.NotExecuted: 0, guavaretry.ExecutionUnknown: 1, guavaretry.Executed: 2}
	if rank[b] > rank[a] {
		return b
	}
	return a
}

// contextError returns the error of a call whose context has ended.
func (p *Pipeline) contextError(ctx context.Context, c *call) *Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.newError(504, "deadline", 0, errDeadline)
	}
	return c.newError(499, "caller_gone", 0, ctx.Err())
}

// beginAttempt chooses a server and registers the attempt with poison detection. A request suspected of crashing
// servers waits while an identical one is running.
func (p *Pipeline) beginAttempt(ctx context.Context, c *call) (guavaroute.Choice, string, error) {
	for {
		p.refresh()
		decision := p.poison.Check(c.fingerprint)
		if decision == guavapoison.Refuse {
			return guavaroute.Choice{}, "", c.newError(422, "poison_request", 0, errPoison)
		}
		if decision != guavapoison.Wait {
			c.route.Alone = decision == guavapoison.Alone
			choice, ok := p.router.Choose(c.route)
			if !ok && len(c.route.Exclude) > 0 {
				// Every server has been tried: wait, then allow all of them again.
				c.route.Exclude = nil
				if err := p.pause(ctx, c, allTriedPause); err != nil {
					return choice, "", err
				}
				choice, ok = p.router.Choose(c.route)
			}
			if !ok {
				return choice, "", c.newError(503, "no_server", time.Second, errNoServerLeft)
			}
			if remaining := time.Until(c.Deadline); choice.Expected > remaining && p.router.ServiceTimeP5(c.route) > remaining {
				return choice, "", c.newError(504, "deadline", 0, errDeadlineTooClose)
			}
			id := p.attemptID()
			if p.poison.Begin(c.fingerprint, choice.Server.Name, id) {
				return choice, id, nil
			}
		}
		if err := p.pause(ctx, c, suspectPollInterval); err != nil {
			return guavaroute.Choice{}, "", err
		}
	}
}

func (p *Pipeline) pause(ctx context.Context, c *call, d time.Duration) error {
	select {
	case <-ctx.Done():
		return p.contextError(ctx, c)
	case <-time.After(d):
		return nil
	}
}

// attempt sends the request once and reports the result to routing, health tracking and poison detection.
func (p *Pipeline) attempt(ctx context.Context, c *call, adm *admission, choice guavaroute.Choice, id string, n int) result {
	server := choice.Server
	p.counters.attempts.Add(1)
	p.router.Sent(c.route, server.Name)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	start := time.Now()
	sink := c.output.newAttemptSink(n > 1, func(firstToken time.Duration) { p.observeFirstToken(c, adm, choice, firstToken) })
	if c.Stream {
		sink.startStallTimer(p.options.firstEventTimeout, p.options.gapTimeout, func() { cancel(errStalled) })
	}
	a := guavaback.Attempt{
		ID: id, Address: server.Address, Method: c.Method, Path: c.Path, Body: c.Body, Stream: c.Stream,
		Header: c.Header,
	}
	a.Text, a.Tokens = c.output.delivered()
	response, err := p.client.Do(attemptCtx, a, sink)
	res := result{response: response, err: err, total: time.Since(start), firstToken: sink.stop(), execution: guavaretry.Executed}
	if cause := context.Cause(attemptCtx); err != nil && errors.Is(cause, errStalled) {
		res.err = fmt.Errorf("attempt %s at %s: %w: %w", id, server.Name, errStalled, err)
	}
	p.classify(c, &res)
	if res.crashed {
		p.poison.ServerCrashed(server.Name)
	}
	p.poison.End(server.Name, id, res.err == nil)
	p.observeResult(ctx, c, adm, choice, res)
	return res
}

// observeFirstToken reports the time to the first event to routing and admission.
func (p *Pipeline) observeFirstToken(c *call, adm *admission, choice guavaroute.Choice, firstToken time.Duration) {
	p.router.ObserveFirstToken(c.route, choice, firstToken)
	if c.Route.Service == "" {
		adm.observeFirstToken(firstToken > congestedFirstToken)
	}
}

// classify sets whether the attempt failed and whether the request may have been executed.
func (p *Pipeline) classify(c *call, res *result) {
	var e *guavaback.Error
	switch {
	case res.err != nil && errors.As(res.err, &e):
		res.execution, res.crashed = e.Execution, e.Crash
	case res.err != nil:
		res.execution = guavaretry.ExecutionUnknown
	case res.response.Status == http.StatusTooManyRequests || res.response.Status == http.StatusServiceUnavailable:
		// An engine that responds 429 or 503 has not executed the request. A plain service may respond 503 after
		// executing it.
		res.err, res.busy = fmt.Errorf("status %d: %w", res.response.Status, errRefused), true
		res.execution = guavaretry.ExecutionUnknown
		if c.Route.Service == "" {
			res.execution = guavaretry.NotExecuted
		}
	case res.response.Status == http.StatusBadGateway || res.response.Status == http.StatusGatewayTimeout ||
		res.response.Status == http.StatusInternalServerError && c.Route.Service == "":
		res.err, res.execution = fmt.Errorf("status %d: %w", res.response.Status, errRefused), guavaretry.ExecutionUnknown
	}
}

// observeResult reports the result to routing, admission and health tracking.
func (p *Pipeline) observeResult(ctx context.Context, c *call, adm *admission, choice guavaroute.Choice, res result) {
	name, latency, load := choice.Server.Name, res.firstToken, res.response.Load
	switch {
	case res.busy:
		adm.observeFirstToken(true)
	case res.err == nil && res.firstToken == 0 && c.Route.Service != "":
		latency = res.total
		p.router.ObserveFirstToken(c.route, choice, latency)
		adm.observeFirstToken(false)
	case res.err == nil && res.firstToken == 0:
		// Without a stream the engine's queue length is the only signal of congestion.
		adm.observeFirstToken(4*load.Waiting > load.Slots)
	}
	if load.Slots > 0 && !p.options.ignoreResponseLoads {
		if res.firstToken > 0 {
			// The load in a stream's header dates from the start of the stream.
			load.Age += (res.total - res.firstToken).Milliseconds()
		}
		p.ObserveLoad(name, load)
	}
	switch {
	case res.err == nil:
		p.router.Ended(c.route, name, res.total)
		p.health.Observe(name, guavahealth.Outcome{Latency: latency})
		return
	case c.output.sinkError() != nil, ctx.Err() != nil && !res.crashed, res.busy:
		// The caller disconnected, the deadline passed or the server is at capacity: none of these is a health failure.
	default:
		p.health.Observe(name, guavahealth.Outcome{Failed: true})
	}
	p.router.Ended(c.route, name, 0)
}

var _ Dispatcher = (*Pipeline)(nil)

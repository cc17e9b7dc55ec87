package guavalimit

import "time"

// Requester caches the tokens that one VM has received from pools, and composes its requests for more. It is not safe
// for concurrent use.
type Requester struct {
	sequence uint64
	accounts map[string]*requesterAccount
}

type requesterAccount struct {
	sources   map[string]*source // by process name of the pool
	lastSpent time.Time
	// rate is the smoothed number of tokens spent per second.
	rate float64
}

// source is the state of one pool for one account of a requester.
type source struct {
	batches   []tokenBatch // ordered by expiry
	requested int          // Need of the pending request
	pending   bool
	retryAt   time.Time
	report    bool
	// remaining is the number of tokens that the pool could still grant at updated, and rate its refill in tokens/s.
	remaining, rate float64
	updated         time.Time
}

type tokenBatch struct {
	amount  float64
	expires time.Time
}

const (
	// maxHedgedRequests is the number of pools that may have a request pending at once when one grant could suffice.
	maxHedgedRequests = 2
	// rateTimeConstant is the time constant of the smoothed rate.
	rateTimeConstant = time.Second
	// prefetchTime is the time for which tokens are requested in advance.
	prefetchTime = 200 * time.Millisecond
	// accountRetention is the time after which an account that spends no tokens is deleted.
	accountRetention = time.Minute
	// maxGatherRate is the refill rate in tokens/s from which a pool gets no requests for fractions of a token: it has
	// a whole one within 100 ms, and waiting for that takes fewer messages.
	maxGatherRate = 10
	// roundingTolerance is how much a sum of fractions may fall short of a whole token because of rounding.
	roundingTolerance = 1e-9
)

// NewRequester returns a requester without tokens.
func NewRequester() *Requester { return &Requester{accounts: map[string]*requesterAccount{}} }

func (r *Requester) account(name string) *requesterAccount {
	a, ok := r.accounts[name]
	if !ok {
		a = &requesterAccount{sources: map[string]*source{}, lastSpent: time.Now()}
		r.accounts[name] = a
	}
	return a
}

func (a *requesterAccount) source(name string) *source {
	s, ok := a.sources[name]
	if !ok {
		s = &source{}
		a.sources[name] = s
	}
	return s
}

// Spend spends one unexpired token of an account, or fractions that add up to one, those that expire first. It returns
// false if the account has less than one token.
func (r *Requester) Spend(account string) bool {
	now := time.Now()
	a := r.account(account)
	if a.held(now) < 1-roundingTolerance {
		return false
	}
	for missing := 1.0; missing > roundingTolerance; {
		var first *source
		for _, s := range a.sources {
			if len(s.batches) > 0 && (first == nil || s.batches[0].expires.Before(first.batches[0].expires)) {
				first = s
			}
		}
		l := &first.batches[0]
		amount := min(missing, l.amount)
		missing -= amount
		if l.amount -= amount; l.amount <= roundingTolerance {
			first.batches = first.batches[1:]
		}
	}
	a.recordSpent(now)
	return true
}

// held returns the number of unexpired tokens of an account.
func (a *requesterAccount) held(now time.Time) float64 {
	n := 0.0
	for _, s := range a.sources {
		s.expire(now)
		n += s.held()
	}
	return n
}

func (a *requesterAccount) recordSpent(now time.Time) {
	dt := now.Sub(a.lastSpent).Seconds() / rateTimeConstant.Seconds()
	a.rate = a.rate/(1+dt) + 1/rateTimeConstant.Seconds()/(1+dt)
	a.lastSpent = now
}

func (s *source) expire(now time.Time) {
	for len(s.batches) > 0 && !now.Before(s.batches[0].expires) {
		s.batches = s.batches[1:]
	}
}

func (s *source) held() float64 {
	n := 0.0
	for _, l := range s.batches {
		n += l.amount
	}
	return n
}

// NextRequest returns the next token request for an account for which waiting client requests need tokens. The sources
// are tried in order: a later one only when the earlier ones have a request pending or have refused. ok is false when
// there is no source to try.
func (r *Requester) NextRequest(account string, waiting int, sources []string) (from string, request TokenRequest, ok bool) {
	now := time.Now()
	a := r.account(account)
	need, pending := waiting, 0
	for _, s := range a.sources {
		if s.pending {
			need -= s.requested
			pending += min(s.requested, 1)
		}
	}
	if need <= 0 {
		if pending >= maxHedgedRequests || waiting == 0 {
			return "", TokenRequest{}, false
		}
		need = 1
	}
	for _, name := range sources {
		s := a.source(name)
		if s.pending || now.Before(s.retryAt) {
			continue
		}
		s.expire(now)
		s.pending, s.requested = true, need
		return name, r.newRequest(account, s, need, need+int(a.rate*prefetchTime.Seconds())), true
	}
	if pending > 0 || waiting == 0 {
		return "", TokenRequest{}, false
	}
	return r.gatherFractions(account, sources)
}

// gatherFractions returns a request for a fraction of a token, if the fractions held and remaining in the pools add up
// to a whole token.
func (r *Requester) gatherFractions(account string, sources []string) (from string, request TokenRequest, ok bool) {
	now := time.Now()
	a := r.account(account)
	held := a.held(now)
	if a.missing(now, sources) > roundingTolerance {
		return "", TokenRequest{}, false
	}
	var fullest *source
	for _, name := range sources {
		if s := a.source(name); !s.pending && (fullest == nil || s.remainingAt(now) > fullest.remainingAt(now)) {
			from, fullest = name, s
		}
	}
	if fullest == nil || fullest.remainingAt(now) <= roundingTolerance {
		return "", TokenRequest{}, false
	}
	fullest.pending, fullest.requested = true, 0
	request = r.newRequest(account, fullest, 0, 0)
	request.Part = 1 - held
	return from, request, true
}

// missing returns what an account lacks of a whole token after counting what it holds and what remains in the pools.
func (a *requesterAccount) missing(now time.Time, sources []string) float64 {
	missing := 1 - a.held(now)
	for _, name := range sources {
		missing -= a.source(name).remainingAt(now)
	}
	return missing
}

// remainingAt estimates the tokens that a pool with a rate below maxGatherRate can grant now. It returns 0 for others.
func (s *source) remainingAt(now time.Time) float64 {
	if s.updated.IsZero() || s.rate >= maxGatherRate {
		return 0
	}
	return s.remaining + s.rate*now.Sub(s.updated).Seconds()
}

// ReturnUnused returns a request that returns an account's tokens to a source, and removes them here. It returns false
// if there are none or a request is pending.
func (r *Requester) ReturnUnused(account, from string) (TokenRequest, bool) {
	s := r.account(account).source(from)
	s.expire(time.Now())
	held := s.held()
	if s.pending || held <= roundingTolerance {
		return TokenRequest{}, false
	}
	s.pending, s.requested, s.batches = true, 0, nil
	request := r.newRequest(account, s, 0, 0)
	request.Returned = held
	return request, true
}

// HasTokens reports whether an account holds unexpired tokens.
func (r *Requester) HasTokens(account string) bool {
	return r.account(account).held(time.Now()) > roundingTolerance
}

// NeedsReport reports whether a source of the account requested a report of spent tokens.
func (r *Requester) NeedsReport(account string) bool {
	for _, s := range r.account(account).sources {
		if s.report {
			return true
		}
	}
	return false
}

// ReportSpent returns a request without need for a source that requested a report and whose tokens are all spent or
// expired.
func (r *Requester) ReportSpent(account, from string) (TokenRequest, bool) {
	s := r.account(account).source(from)
	if s.expire(time.Now()); s.pending || !s.report || len(s.batches) > 0 {
		return TokenRequest{}, false
	}
	s.pending, s.requested = true, 0
	return r.newRequest(account, s, 0, 0), true
}

func (r *Requester) newRequest(account string, s *source, need, want int) TokenRequest {
	r.sequence++
	s.report = false
	return TokenRequest{Account: account, Sequence: r.sequence, Held: s.held(), Need: need, Want: want}
}

// HandleGrant records the response to a request that was sent at a time. A lost response counts as a grant without
// tokens.
func (r *Requester) HandleGrant(from string, request TokenRequest, sent time.Time, g Grant) {
	now := time.Now()
	s := r.account(request.Account).source(from)
	s.pending, s.requested = false, 0
	s.remaining, s.rate, s.updated = g.Left, g.Rate, now
	if expires := sent.Add(TokenLifetime); g.Amount > 0 && now.Before(expires) {
		s.batches = append(s.batches, tokenBatch{amount: g.Amount, expires: expires})
		s.report = g.Report
	}
	if g.Amount < float64(request.Need) {
		s.retryAt = now.Add(g.Wait)
	}
}

// RetryAfter returns the time until a source can be tried again or fractions in several add up to a whole token. It
// returns false while a request is pending.
func (r *Requester) RetryAfter(account string, sources []string) (time.Duration, bool) {
	now := time.Now()
	a := r.account(account)
	wait, idle, rate := maxWait, true, 0.0
	for _, name := range sources {
		s := a.source(name)
		idle = idle && !s.pending
		wait = min(wait, s.retryAt.Sub(now))
		if s.rate < maxGatherRate {
			rate += s.rate
		}
	}
	if rate > 0 {
		wait = min(wait, time.Duration(a.missing(now, sources)/rate*float64(time.Second)))
	}
	return max(wait, 0), idle
}

// Sweep deletes accounts that have not spent tokens within accountRetention.
func (r *Requester) Sweep() {
	now := time.Now()
	for name, a := range r.accounts {
		if now.Sub(a.lastSpent) > accountRetention {
			pending := false
			for _, s := range a.sources {
				pending = pending || s.pending
			}
			if !pending {
				delete(r.accounts, name)
			}
		}
	}
}

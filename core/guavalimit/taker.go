package guavalimit

import "time"

// Requester holds the tokens that one VM has taken from pools.
type Requester struct {
	sequence uint64
	accounts map[string]*takerAccount
}

type takerAccount struct {
	sources map[string]*source // by pooling process
	last    time.Time
	// rate is the smoothed number of tokens spent per second.
	rate float64
}

// source is a pool as seen by one account of a taker.
type source struct {
	lots   []takerLot // in the order in which they expire
	asked  int        // need of the take under way
	busy   bool
	retry  time.Time
	report bool
	// left is what the pool could still grant at a time, and rate its refill.
	left, rate float64
	at         time.Time
}

type takerLot struct {
	amount  float64
	expires time.Time
}

const (
	// hedges is the number of pools that are asked at the same time although one answer could suffice.
	hedges = 2
	// rateTime is the time constant of the smoothed rate.
	rateTime = time.Second
	// ahead is the time for which tokens are taken in advance.
	ahead = 200 * time.Millisecond
	// accountKept is the time after which an account without requests is forgotten.
	accountKept = time.Minute
	// gatherBelow is the refill of a pool, in tokens per second, from which on nobody gathers its parts: it has a whole token
	// within 100 ms, which costs fewer messages.
	gatherBelow = 10
	// rounding is what parts of a token may lack of a whole one because of the rounding of sums.
	rounding = 1e-9
)

// NewRequester returns a taker without tokens.
func NewRequester() *Requester { return &Requester{accounts: map[string]*takerAccount{}} }

func (t *Requester) account(name string) *takerAccount {
	a, ok := t.accounts[name]
	if !ok {
		a = &takerAccount{sources: map[string]*source{}, last: time.Now()}
		t.accounts[name] = a
	}
	return a
}

func (a *takerAccount) source(name string) *source {
	s, ok := a.sources[name]
	if !ok {
		s = &source{}
		a.sources[name] = s
	}
	return s
}

// Spend spends one unexpired token of an account, or parts that make up one, those that expire first.
func (t *Requester) Spend(account string) bool {
	now := time.Now()
	a := t.account(account)
	if a.held(now) < 1-rounding {
		return false
	}
	for due := 1.0; due > rounding; {
		var first *source
		for _, s := range a.sources {
			if len(s.lots) > 0 && (first == nil || s.lots[0].expires.Before(first.lots[0].expires)) {
				first = s
			}
		}
		l := &first.lots[0]
		part := min(due, l.amount)
		due -= part
		if l.amount -= part; l.amount <= rounding {
			first.lots = first.lots[1:]
		}
	}
	a.spent(now)
	return true
}

// held returns the unexpired tokens of an account.
func (a *takerAccount) held(now time.Time) float64 {
	n := 0.0
	for _, s := range a.sources {
		s.expire(now)
		n += s.held()
	}
	return n
}

func (a *takerAccount) spent(now time.Time) {
	dt := now.Sub(a.last).Seconds() / rateTime.Seconds()
	a.rate = a.rate/(1+dt) + 1/rateTime.Seconds()/(1+dt)
	a.last = now
}

func (s *source) expire(now time.Time) {
	for len(s.lots) > 0 && !now.Before(s.lots[0].expires) {
		s.lots = s.lots[1:]
	}
}

func (s *source) held() float64 {
	n := 0.0
	for _, l := range s.lots {
		n += l.amount
	}
	return n
}

// NextRequest returns the next take for an account with waiting requests. The sources are tried in their order: a later one
// is asked only when the earlier ones have refused. ok is false when all have been asked.
func (t *Requester) NextRequest(account string, waiting int, sources []string) (from string, take TokenRequest, ok bool) {
	now := time.Now()
	a := t.account(account)
	need, busy := waiting, 0
	for _, s := range a.sources {
		if s.busy {
			need -= s.asked
			busy += min(s.asked, 1)
		}
	}
	if need <= 0 {
		if busy >= hedges || waiting == 0 {
			return "", TokenRequest{}, false
		}
		need = 1
	}
	for _, name := range sources {
		s := a.source(name)
		if s.busy || now.Before(s.retry) {
			continue
		}
		s.expire(now)
		s.busy, s.asked = true, need
		return name, t.take(account, s, need, need+int(a.rate*ahead.Seconds())), true
	}
	if busy > 0 || waiting == 0 {
		return "", TokenRequest{}, false
	}
	return t.gather(account, sources)
}

// gather returns a take of a part of a token, if what several pools have left makes up a whole one.
func (t *Requester) gather(account string, sources []string) (from string, take TokenRequest, ok bool) {
	now := time.Now()
	a := t.account(account)
	held := a.held(now)
	if a.lacking(now, sources) > rounding {
		return "", TokenRequest{}, false
	}
	var richest *source
	for _, name := range sources {
		if s := a.source(name); !s.busy && (richest == nil || s.leftAt(now) > richest.leftAt(now)) {
			from, richest = name, s
		}
	}
	if richest == nil || richest.leftAt(now) <= rounding {
		return "", TokenRequest{}, false
	}
	richest.busy, richest.asked = true, 0
	take = t.take(account, richest, 0, 0)
	take.Part = 1 - held
	return from, take, true
}

// lacking returns what of a whole token is neither held nor left in any pool.
func (a *takerAccount) lacking(now time.Time, sources []string) float64 {
	lack := 1 - a.held(now)
	for _, name := range sources {
		lack -= a.source(name).leftAt(now)
	}
	return lack
}

// leftAt estimates what a slow pool can grant by now, and returns 0 for others.
func (s *source) leftAt(now time.Time) float64 {
	if s.at.IsZero() || s.rate >= gatherBelow {
		return 0
	}
	return s.left + s.rate*now.Sub(s.at).Seconds()
}

// ReturnUnused returns a take that gives back what an account holds from a source, and drops it here. It is false if there is
// nothing or a take is under way.
func (t *Requester) ReturnUnused(account, from string) (TokenRequest, bool) {
	s := t.account(account).source(from)
	s.expire(time.Now())
	held := s.held()
	if s.busy || held <= rounding {
		return TokenRequest{}, false
	}
	s.busy, s.asked, s.lots = true, 0, nil
	take := t.take(account, s, 0, 0)
	take.Returned = held
	return take, true
}

// HasTokens reports whether an account holds unexpired tokens.
func (t *Requester) HasTokens(account string) bool {
	return t.account(account).held(time.Now()) > rounding
}

// NeedsReport reports whether a source of the account waits for a report.
func (t *Requester) NeedsReport(account string) bool {
	for _, s := range t.account(account).sources {
		if s.report {
			return true
		}
	}
	return false
}

// ReportSpent returns a take without need for a source that asked to hear when its tokens are spent.
func (t *Requester) ReportSpent(account, from string) (TokenRequest, bool) {
	s := t.account(account).source(from)
	if s.expire(time.Now()); s.busy || !s.report || len(s.lots) > 0 {
		return TokenRequest{}, false
	}
	s.busy, s.asked = true, 0
	return t.take(account, s, 0, 0), true
}

func (t *Requester) take(account string, s *source, need, want int) TokenRequest {
	t.sequence++
	s.report = false
	return TokenRequest{Account: account, Sequence: t.sequence, Held: s.held(), Need: need, Want: want}
}

// HandleGrant takes in the answer to a take that was sent at a time. A lost answer is a grant without tokens.
func (t *Requester) HandleGrant(from string, take TokenRequest, sent time.Time, g Grant) {
	now := time.Now()
	s := t.account(take.Account).source(from)
	s.busy, s.asked = false, 0
	s.left, s.rate, s.at = g.Left, g.Rate, now
	if expires := sent.Add(TokenLifetime); g.Amount > 0 && now.Before(expires) {
		s.lots = append(s.lots, takerLot{amount: g.Amount, expires: expires})
		s.report = g.Report
	}
	if g.Amount < float64(take.Need) {
		s.retry = now.Add(g.Wait)
	}
}

// RetryAfter returns the time until the first source can be asked again or several together have a whole token, and false while a
// take is under way.
func (t *Requester) RetryAfter(account string, sources []string) (time.Duration, bool) {
	now := time.Now()
	a := t.account(account)
	wait, quiet, rate := longestWait, true, 0.0
	for _, name := range sources {
		s := a.source(name)
		quiet = quiet && !s.busy
		wait = min(wait, s.retry.Sub(now))
		if s.rate < gatherBelow {
			rate += s.rate
		}
	}
	if rate > 0 {
		wait = min(wait, time.Duration(a.lacking(now, sources)/rate*float64(time.Second)))
	}
	return max(wait, 0), quiet
}

// Sweep forgets accounts and pools that are no longer used.
func (t *Requester) Sweep() {
	now := time.Now()
	for name, a := range t.accounts {
		if now.Sub(a.last) > accountKept {
			busy := false
			for _, s := range a.sources {
				busy = busy || s.busy
			}
			if !busy {
				delete(t.accounts, name)
			}
		}
	}
}

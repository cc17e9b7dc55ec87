package guavapoison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// reportTTL is the time for which a report is repeated to peers, so that it arrives even if some exchanges are
	// lost.
	reportTTL = 10 * time.Second
	// maxReports is the maximum number of reports in one exchange, and maxEntries that of stored fingerprints.
	maxReports = 64
	maxEntries = 10000
	// pruneInterval is the minimum time between searches for expired entries, to limit their cost when many
	// fingerprints arrive.
	pruneInterval = time.Second
)

// Verdict is the decision on whether and how a request may be sent.
type Verdict string

// The verdicts of Registry.Check and CrashTracker.Check.
const (
	Pass Verdict = "pass"
	// Alone means that the request is suspect: it has to be sent to the server with the fewest other requests.
	Alone Verdict = "alone"
	// Wait means that the request is suspect and that an equal one is running, whose outcome decides.
	Wait Verdict = "wait"
	// Try means that a ban of the request has lapsed: it may run at once, as a trial, or has to be refused.
	Try Verdict = "try"
	// Refuse means that the request has crashed servers repeatedly.
	Refuse Verdict = "refuse"
)

// Report informs other VMs of a crash of a server with the fingerprint in flight, or of a completed request.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Server      string      `json:"server"`
	// Began is the start of the attempt and At the time of its crash or completion, Unix times in microseconds.
	Began int64 `json:"began"`
	At    int64 `json:"at"`
	// Clear is true when the request completed.
	Clear bool `json:"clear,omitempty"`
	// Refused is true when the reporting VM refuses the fingerprint.
	Refused bool `json:"refused,omitempty"`
}

// Registry stores the fingerprints that were in flight when a server crashed, as observed by this VM or reported by
// peers. Such a fingerprint is suspect until its request completes, and refused after a further crash. A Registry may
// be used concurrently.
type Registry struct {
	mu        sync.Mutex
	inFlight  map[string]map[string]runningAttempt // by server and attempt
	entries   map[Fingerprint]*entry
	running   map[Fingerprint]int // number of attempts in flight
	reserved  map[Fingerprint]bool
	lastPrune time.Time
}

// runningAttempt is an attempt in flight.
type runningAttempt struct {
	fingerprint Fingerprint
	began       time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{inFlight: map[string]map[string]runningAttempt{}, entries: map[Fingerprint]*entry{}, running: map[Fingerprint]int{}, reserved: map[Fingerprint]bool{}}
}

// Check returns whether and how a request with the fingerprint may be sent now.
func (r *Registry) Check(f Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := r.lookup(f, time.Now()); {
	case e == nil || len(e.crashes) == 0:
		return Pass
	case e.refused:
		return Refuse
	case r.running[f] > 0:
		return Wait
	}
	return Alone
}

// Refused reports whether the fingerprint is refused.
func (r *Registry) Refused(f Fingerprint) bool { return r.Check(f) == Refuse }

// Reserve reserves the right to send a suspect request, and returns false while an equal request has it or is running.
// Release ends the reservation. It always succeeds for a request that is not suspect, and reserves nothing.
func (r *Registry) Reserve(f Fingerprint) (release func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.lookup(f, time.Now())
	if e == nil || len(e.crashes) == 0 {
		return func() {}, true
	}
	if r.reserved[f] || r.running[f] > 0 {
		return nil, false
	}
	r.reserved[f] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.reserved, f)
	}, true
}

// Begin records the start of an attempt. It returns false, and records nothing, when the fingerprint is refused, or is
// suspect and another attempt is running.
func (r *Registry) Begin(f Fingerprint, server, attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.lookup(f, time.Now()); e != nil && len(e.crashes) > 0 {
		if e.refused || r.running[f] > 0 {
			return false
		}
	}
	m := r.inFlight[server]
	if m == nil {
		m = map[string]runningAttempt{}
		r.inFlight[server] = m
	}
	m[attempt] = runningAttempt{fingerprint: f, began: time.Now()}
	r.running[f]++
	return true
}

// End records the end of an attempt. If the request completed, its fingerprint is no longer suspect.
func (r *Registry) End(server, attempt string, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.inFlight[server][attempt]
	if !ok {
		return
	}
	f := a.fingerprint
	r.removeAttempt(server, attempt)
	now := time.Now()
	if e := r.lookup(f, now); completed && e != nil && len(e.crashes) > 0 && !e.refused {
		e.crashes, e.clearedAt, e.changedAt = nil, now, now
	}
}

// ServerCrashed marks all fingerprints in flight on a crashed server as suspect. Their attempts stay in flight until
// End.
func (r *Registry) ServerCrashed(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, a := range r.inFlight[server] {
		// A crash of the server that was recorded after the attempt began is the same crash.
		if e := r.entry(a.fingerprint, now); e != nil && !slices.ContainsFunc(e.crashes, func(c crash) bool {
			return c.server == server && !c.at.Before(a.began)
		}) {
			e.addCrash(crash{server: server, began: a.began, at: now}, now)
		}
	}
}

func (r *Registry) removeAttempt(server, attempt string) {
	f := r.inFlight[server][attempt].fingerprint
	delete(r.inFlight[server], attempt)
	if len(r.inFlight[server]) == 0 {
		delete(r.inFlight, server)
	}
	if r.running[f]--; r.running[f] <= 0 {
		delete(r.running, f)
	}
}

// HasSuspect reports whether a suspect request is in flight on the server, so that other requests can avoid it.
func (r *Registry) HasSuspect(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return false
	}
	for _, a := range r.inFlight[server] {
		if e := r.entries[a.fingerprint]; e != nil && len(e.crashes) > 0 {
			return true
		}
	}
	return false
}

// Reports returns the reports for other VMs. Each is repeated for reportTTL; merging one more than once has no effect.
func (r *Registry) Reports() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []Report
	for f, e := range r.entries {
		if now.Sub(e.changedAt) > reportTTL {
			continue
		}
		if !e.clearedAt.IsZero() {
			out = append(out, Report{Fingerprint: f, At: e.clearedAt.UnixMicro(), Clear: true})
		}
		for _, c := range e.crashes {
			out = append(out, Report{
				Fingerprint: f, Server: c.server, Began: c.began.UnixMicro(), At: c.at.UnixMicro(), Refused: e.refused,
			})
		}
	}
	// The newest reports come first, so that the limit omits the oldest.
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), maxReports)]
}

// Merge applies the reports of a peer. New ones are included in Reports, so that they reach VMs in other failure
// domains.
func (r *Registry) Merge(reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, p := range reports {
		at := time.UnixMicro(p.At)
		if !p.Clear {
			r.mergeCrash(p, now)
			continue
		}
		if e := r.entry(p.Fingerprint, now); e != nil && !e.refused && at.After(e.clearedAt) {
			e.clearedAt, e.changedAt = at, now
			e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
		}
	}
}

// mergeCrash applies a crash reported by a peer.
func (r *Registry) mergeCrash(p Report, now time.Time) {
	c := crash{server: p.Server, began: time.UnixMicro(p.Began), at: time.UnixMicro(p.At)}
	if now.Sub(c.at) > refusalTTL {
		return
	}
	if e := r.entry(p.Fingerprint, now); e != nil {
		e.addCrash(c, now)
		if p.Refused && !e.refused {
			e.refused, e.changedAt = true, now
		}
	}
}

func (r *Registry) entry(f Fingerprint, now time.Time) *entry {
	if e := r.lookup(f, now); e != nil {
		return e
	}
	if len(r.entries) >= maxEntries && now.Sub(r.lastPrune) >= pruneInterval {
		r.prune(now)
	}
	if len(r.entries) >= maxEntries {
		return nil
	}
	e := &entry{changedAt: now}
	r.entries[f] = e
	return e
}

// lookup returns the entry of a fingerprint, or nil if there is none or it has expired.
func (r *Registry) lookup(f Fingerprint, now time.Time) *entry {
	e := r.entries[f]
	if e != nil && e.expired(now) {
		delete(r.entries, f)
		return nil
	}
	return e
}

func (r *Registry) prune(now time.Time) {
	r.lastPrune = now
	for f, e := range r.entries {
		if e.expired(now) || len(e.crashes) == 0 {
			delete(r.entries, f)
		}
	}
}

package guavapoison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// shareTime is the time for which a report is given out, so that it survives lost exchanges.
	shareTime = 10 * time.Second
	// maxReports bounds one exchange, and maxEntries the memory.
	maxReports = 64
	maxEntries = 10000
	// pruneInterval bounds the work that a flood of fingerprints causes.
	pruneInterval = time.Second
)

// Verdict says how a request may be sent.
type Verdict string

// The verdicts of Check.
const (
	Pass Verdict = "pass"
	// Alone asks for a server with as little other work as possible.
	Alone Verdict = "alone"
	// Wait means that the same suspect is running: its end decides.
	Wait   Verdict = "wait"
	Refuse Verdict = "refuse"
)

// Report tells other VMs of a crash with a fingerprint in flight, or of its completion.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Server      string      `json:"server"`
	// Began is when the attempt began and At when it crashed or completed, Unix times in microseconds.
	Began int64 `json:"began"`
	At    int64 `json:"at"`
	// Clear is true when the request completed.
	Clear bool `json:"clear,omitempty"`
	// Refused is true when the reporting VM refuses the fingerprint.
	Refused bool `json:"refused,omitempty"`
}

// Registry holds the suspects of this VM and what peers reported. It may be used concurrently.
type Registry struct {
	mu      sync.Mutex
	flights map[string]map[string]flight // by server and attempt
	entries map[Fingerprint]*entry
	alone   map[Fingerprint]int // running attempts by fingerprint
	held    map[Fingerprint]bool
	pruned  time.Time
}

// flight is an attempt that runs.
type flight struct {
	print Fingerprint
	began time.Time
}

// NewRegistry returns an empty register.
func NewRegistry() *Registry {
	return &Registry{flights: map[string]map[string]flight{}, entries: map[Fingerprint]*entry{}, alone: map[Fingerprint]int{}, held: map[Fingerprint]bool{}}
}

// Check returns how the request may be sent now.
func (r *Registry) Check(f Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := r.live(f, time.Now()); {
	case e == nil || len(e.crashes) == 0:
		return Pass
	case e.refused:
		return Refuse
	case r.alone[f] > 0:
		return Wait
	}
	return Alone
}

// Refused reports whether the fingerprint is refused.
func (r *Registry) Refused(f Fingerprint) bool { return r.Check(f) == Refuse }

// Reserve lets one copy of a suspect on towards a server and returns false for the others. Release ends the
// reservation. What is not a suspect needs none.
func (r *Registry) Reserve(f Fingerprint) (release func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.live(f, time.Now())
	if e == nil || len(e.crashes) == 0 {
		return func() {}, true
	}
	if r.held[f] || r.alone[f] > 0 {
		return nil, false
	}
	r.held[f] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.held, f)
	}, true
}

// Begin records an attempt in flight. It returns false when the fingerprint has become refused, or is a suspect
// of which another attempt runs.
func (r *Registry) Begin(f Fingerprint, server, attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.live(f, time.Now()); e != nil && len(e.crashes) > 0 {
		if e.refused || r.alone[f] > 0 {
			return false
		}
	}
	m := r.flights[server]
	if m == nil {
		m = map[string]flight{}
		r.flights[server] = m
	}
	m[attempt] = flight{print: f, began: time.Now()}
	r.alone[f]++
	return true
}

// End removes an attempt in flight. A completed request is no longer a suspect.
func (r *Registry) End(server, attempt string, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fl, ok := r.flights[server][attempt]
	if !ok {
		return
	}
	f := fl.print
	r.remove(server, attempt)
	now := time.Now()
	if e := r.live(f, now); completed && e != nil && len(e.crashes) > 0 && !e.refused {
		e.crashes, e.cleared, e.shared = nil, now, now
	}
}

// ServerCrashed makes suspects of all fingerprints in flight on a server that died. Their attempts stay in flight until End.
func (r *Registry) ServerCrashed(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, fl := range r.flights[server] {
		// A crash that was noted after the attempt began is the one that broke this attempt too.
		if e := r.entry(fl.print, now); e != nil && !slices.ContainsFunc(e.crashes, func(c crash) bool {
			return c.server == server && !c.at.Before(fl.began)
		}) {
			e.add(crash{server: server, began: fl.began, at: now}, now)
		}
	}
}

func (r *Registry) remove(server, attempt string) {
	f := r.flights[server][attempt].print
	delete(r.flights[server], attempt)
	if len(r.flights[server]) == 0 {
		delete(r.flights, server)
	}
	if r.alone[f]--; r.alone[f] <= 0 {
		delete(r.alone, f)
	}
}

// HasSuspect returns whether a suspect is in flight on the server, so that other requests keep away from it.
func (r *Registry) HasSuspect(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return false
	}
	for _, fl := range r.flights[server] {
		if e := r.entries[fl.print]; e != nil && len(e.crashes) > 0 {
			return true
		}
	}
	return false
}

// Reports returns what other VMs should know. Reports are repeated for a few seconds; taking one in twice is harmless.
func (r *Registry) Reports() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []Report
	for f, e := range r.entries {
		if now.Sub(e.shared) > shareTime {
			continue
		}
		if !e.cleared.IsZero() {
			out = append(out, Report{Fingerprint: f, At: e.cleared.UnixMicro(), Clear: true})
		}
		for _, c := range e.crashes {
			out = append(out, Report{
				Fingerprint: f, Server: c.server, Began: c.began.UnixMicro(), At: c.at.UnixMicro(), Refused: e.refused,
			})
		}
	}
	// Newest first, so that a flood of old reports does not hide a new one.
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(len(out), maxReports)]
}

// Merge takes in reports of a peer. What is new is given out again, so that reports reach VMs in other domains.
func (r *Registry) Merge(reports []Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, p := range reports {
		at := time.UnixMicro(p.At)
		if !p.Clear {
			r.merge(p, now)
			continue
		}
		if e := r.entry(p.Fingerprint, now); e != nil && !e.refused && at.After(e.cleared) {
			e.cleared, e.shared = at, now
			e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
		}
	}
}

// merge takes in a crash that a peer noted.
func (r *Registry) merge(p Report, now time.Time) {
	c := crash{server: p.Server, began: time.UnixMicro(p.Began), at: time.UnixMicro(p.At)}
	if now.Sub(c.at) > refusal {
		return
	}
	if e := r.entry(p.Fingerprint, now); e != nil {
		e.add(c, now)
		if p.Refused && !e.refused {
			e.refused, e.shared = true, now
		}
	}
}

func (r *Registry) entry(f Fingerprint, now time.Time) *entry {
	if e := r.live(f, now); e != nil {
		return e
	}
	if len(r.entries) >= maxEntries && now.Sub(r.pruned) >= pruneInterval {
		r.prune(now)
	}
	if len(r.entries) >= maxEntries {
		return nil
	}
	e := &entry{shared: now}
	r.entries[f] = e
	return e
}

// live returns the entry of a fingerprint unless it has lapsed.
func (r *Registry) live(f Fingerprint, now time.Time) *entry {
	e := r.entries[f]
	if e != nil && e.lapsed(now) {
		delete(r.entries, f)
		return nil
	}
	return e
}

func (r *Registry) prune(now time.Time) {
	r.pruned = now
	for f, e := range r.entries {
		if e.lapsed(now) || len(e.crashes) == 0 {
			delete(r.entries, f)
		}
	}
}

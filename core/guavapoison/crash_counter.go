package guavapoison

import (
	"slices"
	"time"
)

const (
	// crashLimit is the number of consecutive server crashes after which a request is refused. The platform allows 3.
	crashLimit = 3
	// confirmWindow is the time after an interrupted run within which the termination of its server counts as the
	// cause. Within some seconds, a crashed server has restarted, or is missing from the server list after 3 reports.
	confirmWindow = 10 * time.Second
	// maxSuspects is the maximum number of requests that a CrashCounter stores, each about 200 bytes.
	maxSuspects = 2000
)

// CrashCounter counts the servers that each request has crashed. It is used where the runs of all VMs are known. An
// interrupted run counts as a crash once its server is known to have terminated. Requests are identified by
// Fingerprint.Sum; 0 is not counted. Decisions depend only on the calls and the times passed to them. It is not safe
// for concurrent use.
//
// It limits the crashes by a caller that repeats a poison request to any of the VMs: the limit of attempts applies to
// one call only, this one to all calls.
type CrashCounter struct {
	suspects map[uint64]*suspect
}

// NewCrashCounter returns a counter without suspects.
func NewCrashCounter() *CrashCounter { return &CrashCounter{suspects: map[uint64]*suspect{}} }

// suspect is a request whose last runs all ended without a response.
type suspect struct {
	runs []brokenRun // not overlapping, the oldest first
}

// brokenRun is a run that ended without a response.
type brokenRun struct {
	crash
	unresponsive bool // the connection stayed open, but no byte was received
	crashed      bool // its server is known to have terminated
}

// RecordBroken records that a run ended without a response: its connection was closed, or, if unresponsive is true,
// stayed open without a byte received.
func (c *CrashCounter) RecordBroken(now time.Time, sum uint64, server string, began time.Time, unresponsive bool) {
	s := c.suspect(now, sum)
	if s == nil {
		return
	}
	if n := len(s.runs); n > 0 && now.Sub(s.runs[n-1].at) > suspectTTL {
		s.runs = nil
	}
	// Of overlapping runs only one counts: when servers fail together, harmless requests may be in flight at several of
	// them.
	if n := len(s.runs); n > 0 && began.Before(s.runs[n-1].at) {
		return
	}
	if len(s.runs) == maxCrashes {
		s.runs = slices.Delete(s.runs, 0, 1)
	}
	s.runs = append(s.runs, brokenRun{crash: crash{server: server, began: began, at: now}, unresponsive: unresponsive})
}

// RecordAnswered records that a run ended with a response, and deletes what is stored of the request.
func (c *CrashCounter) RecordAnswered(sum uint64) { delete(c.suspects, sum) }

// ServerEnded records that a server has terminated unexpectedly or has restarted. It returns the requests that have
// thereby reached crashLimit.
func (c *CrashCounter) ServerEnded(now time.Time, server string) (crashing []uint64) {
	for sum, s := range c.suspects {
		before := s.crashes()
		for i := range s.runs {
			if r := &s.runs[i]; r.server == server && now.Sub(r.at) <= confirmWindow {
				r.crashed = true
			}
		}
		if before < crashLimit && s.crashes() >= crashLimit {
			crashing = append(crashing, sum)
		}
	}
	return crashing
}

// crashes returns the number of runs whose server is known to have terminated.
func (s *suspect) crashes() int {
	n := 0
	for _, r := range s.runs {
		if r.crashed {
			n++
		}
	}
	return n
}

// RefusedFor returns the remaining time for which a request is refused, 0 if it is not refused, and whether it is known
// to crash servers. After crashLimit confirmed crashes it is refused for refusalTTL. When closed connections have to be
// included to reach crashLimit, it is refused for confirmWindow, within which they may be confirmed as crashes.
func (c *CrashCounter) RefusedFor(now time.Time, sum uint64) (remaining time.Duration, crashes bool) {
	s := c.suspects[sum]
	if s == nil {
		return 0, false
	}
	broken := 0
	var last time.Time
	for _, r := range s.runs {
		if r.crashed || !r.unresponsive {
			broken++
			last = r.at
		}
	}
	crashes = s.crashes() >= crashLimit
	switch {
	case crashes:
		remaining = last.Add(refusalTTL).Sub(now)
	case broken >= crashLimit:
		remaining = last.Add(confirmWindow).Sub(now)
	}
	return max(remaining, 0), crashes
}

// IsEmpty reports whether there are no suspects.
func (c *CrashCounter) IsEmpty() bool { return len(c.suspects) == 0 }

// suspect returns the entry of a request, which it creates if there is none. It returns nil for 0, and when maxSuspects
// are stored: the request is then not counted.
func (c *CrashCounter) suspect(now time.Time, sum uint64) *suspect {
	if s := c.suspects[sum]; s != nil || sum == 0 {
		return s
	}
	if len(c.suspects) >= maxSuspects {
		c.prune(now)
	}
	if len(c.suspects) >= maxSuspects {
		return nil
	}
	s := &suspect{}
	c.suspects[sum] = s
	return s
}

// prune deletes requests without a broken run in the last suspectTTL that are not refused.
func (c *CrashCounter) prune(now time.Time) {
	for sum, s := range c.suspects {
		n := len(s.runs)
		recent := n > 0 && now.Sub(s.runs[n-1].at) <= suspectTTL
		if remaining, _ := c.RefusedFor(now, sum); !recent && remaining == 0 {
			delete(c.suspects, sum)
		}
	}
}

package guavapoison

import (
	"slices"
	"time"
)

const (
	// tallyLimit is the number of servers that a request may crash, one after the other, before a Tally refuses it. The
	// platform allows three.
	tallyLimit = 3
	// confirmTime is the time after a run broke off in which the end of its server counts as the cause. A server that
	// crashed is back, or misses from the list after three reports, within some seconds.
	confirmTime = 10 * time.Second
	// maxTallies bounds the requests that a Tally counts, each of some 200 bytes.
	maxTallies = 2000
)

// CrashCounter counts the servers that each request crashed, where all runs on the servers are seen. A run that broke off counts
// as a crash once its server turns out to have ended. Requests are named by Fingerprint.Sum; 0 is not counted. Decisions
// depend on calls and the times passed to them only. It is not safe for concurrent use.
//
// It answers the pattern in which a caller sends a request that crashes each server again and again, to any VM: attempts are
// bounded for one call, and here for all of them.
type CrashCounter struct {
	suspects map[uint64]*suspect
}

// NewCrashCounter returns a tally without suspects.
func NewCrashCounter() *CrashCounter { return &CrashCounter{suspects: map[uint64]*suspect{}} }

// suspect is a request whose last runs all broke off or got no answer.
type suspect struct {
	runs []brokenRun // one after the other, the oldest first
}

type brokenRun struct {
	crash
	silent  bool // its connection held, but no byte came
	crashed bool // its server turned out to have ended
}

// RecordBroken notes that a run ended without an answer: its connection broke, or it was silent.
func (t *CrashCounter) RecordBroken(now time.Time, sum uint64, server string, began time.Time, silent bool) {
	s := t.suspect(now, sum)
	if s == nil {
		return
	}
	if n := len(s.runs); n > 0 && now.Sub(s.runs[n-1].at) > suspicion {
		s.runs = nil
	}
	// Of runs at the same time one counts: servers that end together hold many innocent requests.
	if n := len(s.runs); n > 0 && began.Before(s.runs[n-1].at) {
		return
	}
	if len(s.runs) == maxCrashes {
		s.runs = slices.Delete(s.runs, 0, 1)
	}
	s.runs = append(s.runs, brokenRun{crash: crash{server: server, began: began, at: now}, silent: silent})
}

// RecordAnswered notes that a run ended with an answer: the request crashes no servers.
func (t *CrashCounter) RecordAnswered(sum uint64) { delete(t.suspects, sum) }

// ServerEnded notes that a server has ended without notice, or has started again, and returns the requests that are known to crash
// servers from now on.
func (t *CrashCounter) ServerEnded(now time.Time, server string) (crashing []uint64) {
	for sum, s := range t.suspects {
		before := s.crashes()
		for i := range s.runs {
			if r := &s.runs[i]; r.server == server && now.Sub(r.at) <= confirmTime {
				r.crashed = true
			}
		}
		if before < tallyLimit && s.crashes() >= tallyLimit {
			crashing = append(crashing, sum)
		}
	}
	return crashing
}

// crashes returns the number of runs that are known to have crashed their server.
func (s *suspect) crashes() int {
	n := 0
	for _, r := range s.runs {
		if r.crashed {
			n++
		}
	}
	return n
}

// RefusedFor returns for how long a request is refused, 0 if it is not, and whether it is known to crash servers. After as many
// broken connections as would be crashes it is refused until that is known.
func (t *CrashCounter) RefusedFor(now time.Time, sum uint64) (left time.Duration, crashes bool) {
	s := t.suspects[sum]
	if s == nil {
		return 0, false
	}
	broken := 0
	var last time.Time
	for _, r := range s.runs {
		if r.crashed || !r.silent {
			broken++
			last = r.at
		}
	}
	crashes = s.crashes() >= tallyLimit
	switch {
	case crashes:
		left = last.Add(refusal).Sub(now)
	case broken >= tallyLimit:
		left = last.Add(confirmTime).Sub(now)
	}
	return max(left, 0), crashes
}

// IsEmpty reports whether no request is under suspicion.
func (t *CrashCounter) IsEmpty() bool { return len(t.suspects) == 0 }

// suspect returns what is counted of a request, nil if there is no room for it: it then passes as before.
func (t *CrashCounter) suspect(now time.Time, sum uint64) *suspect {
	if s := t.suspects[sum]; s != nil || sum == 0 {
		return s
	}
	if len(t.suspects) >= maxTallies {
		t.prune(now)
	}
	if len(t.suspects) >= maxTallies {
		return nil
	}
	s := &suspect{}
	t.suspects[sum] = s
	return s
}

// prune forgets requests that have not broken for long and are not refused.
func (t *CrashCounter) prune(now time.Time) {
	for sum, s := range t.suspects {
		n := len(s.runs)
		recent := n > 0 && now.Sub(s.runs[n-1].at) <= suspicion
		if left, _ := t.RefusedFor(now, sum); !recent && left == 0 {
			delete(t.suspects, sum)
		}
	}
}

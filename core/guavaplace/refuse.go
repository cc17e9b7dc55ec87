package guavaplace

import (
	"math"
	"slices"
	"time"
)

const (
	// overrunShare is the minimum remaining time of a run, also past its expected end, as a share of the mean run time.
	overrunShare = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// retryShare is the share of the slots becoming free that retries may fill, so that retries do not queue behind
	// each other.
	retryShare = 0.35
	// goldenRatio is the step of a sequence whose values modulo 1 are evenly spread.
	goldenRatio = 0.618033988749895
)

// ahead returns the number of waiting online requests that precede w.
func (s *Scheduler) ahead(w *waitingRequest) int {
	n, _ := slices.BinarySearchFunc(s.online, w, compareOnline)
	return n
}

// startsInTime reports whether a request with the given number of others ahead of it can be expected to start in time.
func (s *Scheduler) startsInTime(now time.Time, w *waitingRequest, ahead int) bool {
	if !s.reachable(now, w.Domain) {
		return false
	}
	return !now.Add(s.expectedWait(now, ahead)).After(w.startBy)
}

// expectedWait returns the expected time until a slot is free for a request with the given number of others ahead of
// it.
func (s *Scheduler) expectedWait(now time.Time, ahead int) time.Duration {
	ends := make([]time.Duration, 0, len(s.runs))
	for _, r := range s.runs {
		if s.byID[r.server.ID] != r.server || r.server.Leaving {
			continue
		}
		minRemaining := time.Duration(overrunShare * float64(s.estimate(r.request.Class).duration(0)))
		ends = append(ends, max(r.expectedEnd.Sub(now), minRemaining))
	}
	if len(ends) == 0 {
		return maxRetryAfter
	}
	slices.Sort(ends)
	rounds := ahead / len(ends)
	return ends[ahead%len(ends)] + time.Duration(rounds)*s.estimates[Online].duration(0)
}

// refuse rejects a request before execution. The retry times of refused callers are spaced so that retries fill at most
// retryShare of the slots becoming free.
func (s *Scheduler) refuse(now time.Time, w *waitingRequest, reason string) {
	rate := 1.0 // slots becoming free per second
	slots := 0
	for _, v := range s.servers {
		if !v.Leaving {
			slots += v.slots()
		}
	}
	if slots > 0 {
		rate = float64(slots) / max(s.estimates[Online].duration(0).Seconds(), 0.001)
	}
	s.nextRetry = s.nextRetry.Add(time.Duration(float64(time.Second) / (retryShare * rate)))
	if earliest := now.Add(minRetryAfter); s.nextRetry.Before(earliest) {
		s.nextRetry = earliest
	}
	after := s.nextRetry.Sub(now)
	if after > maxRetryAfter {
		// Not all retries fit before maxRetryAfter; they are spread evenly between the bounds.
		s.nextRetry = now.Add(maxRetryAfter)
		s.retrySpread = math.Mod(s.retrySpread+goldenRatio, 1)
		after = minRetryAfter + time.Duration(s.retrySpread*float64(maxRetryAfter-minRetryAfter))
	}
	s.decide(Decision{Key: w.Key, Action: Refuse, After: after, Reason: reason, Waited: now.Sub(w.arrivedAt)})
}

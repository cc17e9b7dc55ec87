// Package guavabacklog decides whether a new batch job fits into the limit of tokens that a client account may have
// waiting on a route.
//
// The load pattern that it answers: an account submits many jobs within seconds at several VMs, whose copies of the jobs
// table are each missing the newest jobs of the others. One stored Backlog per account and route holds the jobs that
// these copies may miss, and every VM adds its job with a conditional write before it creates the job.
package guavabacklog

import (
	"maps"
	"slices"
	"time"
)

// RecentTime is how long a job stays in a Backlog. Until then, a VM that decides has to take the job from there; later,
// it takes it from the jobs table. It exceeds MaxStaleness by the time that the write of a job may be delayed and by the
// differences between the clocks of VMs.
const RecentTime = 20 * time.Second

// MaxStaleness is the maximum age of the copy of the jobs table from which a VM may decide.
const MaxStaleness = 5 * time.Second

// minRetryDelay and maxRetryDelay bound the time after which a refused job may be submitted again.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// Reservation is the part of a limit that a job was granted before it was created.
type Reservation struct {
	Tokens int   `json:"tokens"`
	At     int64 `json:"at"` // Unix time in milliseconds
}

// Backlog is the stored state of an account on a route: its recent reservations, by job ID. It is immutable.
type Backlog struct {
	Recent map[string]Reservation `json:"recent"`
}

// With returns the Backlog with a reservation for the job, and without those that every VM's copy of the jobs table
// supersedes at the given time. Own reports whether the caller made the only reservation for the job. If not, another VM
// got the same job and may create it.
func (b Backlog) With(job string, tokens int, now time.Time) (next Backlog, own bool) {
	recent := make(map[string]Reservation, len(b.Recent)+1)
	for id, r := range b.Recent {
		if now.Sub(time.UnixMilli(r.At)) < RecentTime {
			recent[id] = r
		}
	}
	_, reserved := recent[job]
	recent[job] = Reservation{Tokens: tokens, At: now.UnixMilli()}
	return Backlog{Recent: recent}, !reserved
}

// Without returns the Backlog without the caller's own reservation for a job that it did not create. It returns false if
// another VM has reserved for the same job since.
func (b Backlog) Without(job string, reserved time.Time) (next Backlog, ok bool) {
	r, ok := b.Recent[job]
	if !ok || r.At != reserved.UnixMilli() {
		return b, false
	}
	recent := maps.Clone(b.Recent)
	delete(recent, job)
	return Backlog{Recent: recent}, true
}

// Job is a job of the account and route as the jobs table has it.
type Job struct {
	ID string
	// Waiting is the number of tokens of the items without a result; 0 once the job is closed.
	Waiting int
	// Deadline is when the results are expected.
	Deadline time.Time
}

// Decision is the answer to a new job.
type Decision struct {
	Fits    bool
	Waiting int // tokens that wait without the new job
	// RetryAfter is when the job is expected to fit; 0 if it never does, or if it fits.
	RetryAfter time.Duration
}

// Decide returns whether a job with the given tokens fits into the limit beside the jobs of a copy of the jobs table,
// which is at most MaxStaleness old, and the reservations of jobs that the copy does not have. Copies that are behind
// count tokens that no longer wait, but never miss any that do.
func (b Backlog) Decide(job string, tokens, limit int, jobs []Job, now time.Time) Decision {
	known := make(map[string]bool, len(jobs))
	waiting := 0
	releases := make([]Job, 0, len(jobs)+len(b.Recent))
	for _, j := range jobs {
		known[j.ID] = true
		if j.Waiting > 0 && j.ID != job {
			waiting += j.Waiting
			releases = append(releases, j)
		}
	}
	for id, r := range b.Recent {
		at := time.UnixMilli(r.At)
		if id != job && !known[id] && now.Sub(at) < RecentTime {
			waiting += r.Tokens
			releases = append(releases, Job{ID: id, Waiting: r.Tokens, Deadline: at.Add(RecentTime)})
		}
	}
	d := Decision{Fits: waiting+tokens <= limit, Waiting: waiting}
	if !d.Fits && tokens <= limit {
		d.RetryAfter = timeToRelease(releases, waiting+tokens-limit, now)
	}
	return d
}

// timeToRelease returns when the jobs will have given back the tokens, if each gives back an even part of its tokens
// until its deadline. Jobs beyond their deadline may give back all of theirs at any time.
func timeToRelease(jobs []Job, tokens int, now time.Time) time.Duration {
	slices.SortFunc(jobs, func(a, b Job) int { return a.Deadline.Compare(b.Deadline) })
	rate, released := 0.0, 0.0 // tokens per second, tokens until the deadline before
	for _, j := range jobs {
		if left := j.Deadline.Sub(now).Seconds(); left > 0 {
			rate += float64(j.Waiting) / left
		} else {
			released += float64(j.Waiting)
		}
	}
	elapsed := 0.0
	for _, j := range jobs {
		left := j.Deadline.Sub(now).Seconds()
		if left <= 0 {
			continue
		}
		if released+rate*(left-elapsed) >= float64(tokens) {
			break
		}
		released += rate * (left - elapsed)
		elapsed = left
		rate -= float64(j.Waiting) / left
	}
	if missing := float64(tokens) - released; missing > 0 && rate > 0 {
		elapsed += missing / rate
	}
	return min(max(time.Duration(elapsed*float64(time.Second)), minRetryDelay), maxRetryDelay)
}

// Package guavalease decides when a VM may acquire, use and renew a lease that is stored in a row of the table service.
//
// The owner measures the lease from just before it sends the commit that acquires or renews it, and stops acting a
// quarter of the lease length early. A candidate measures the full length from its first read of the row's current
// revision, which is later. A candidate therefore acquires the lease only after the owner has stopped, for any offset
// between the two clocks. The quarter is the margin for a difference between the clock rates.
package guavalease

import (
	_ "embed" // for the state chart
	"time"

	"guavaridge/core/guavachart"
)

const (
	// marginDivisor sets the safety margin: the owner stops acting a quarter of the length before the lease expires.
	marginDivisor = 4
	// renewDivisor sets the renewal time, a third of the length. It leaves time for five retries before the owner
	// stops acting.
	renewDivisor = 3
	// retryDivisor sets the delay before a retry when the platform does not respond, a 12th of the length.
	retryDivisor = 12
	// watchDivisor sets the interval at which a candidate reads the row, half of the length. That is 23 reads/s for
	// 340 VMs and leases of 30 s.
	watchDivisor = 2
)

// State is the state of a lease as one VM sees it.
type State string

type event string

// Lease states.
const (
	Watching       State = "watching" // another VM may own the lease
	Acquiring      State = "taking"   // the commit that acquires the lease is in flight
	OutcomeUnknown State = "unsure"   // the outcome of a commit is unknown; the VM must not act as the owner
	Owned          State = "holding"
	Renewing       State = "renewing" // the commit that renews the lease is in flight; the VM is still the owner
	RenewalUnknown State = "doubting" // the outcome of the renewal is unknown; the VM is the owner until its grant expires
)

const (
	sent           event = "send"
	granted        event = "granted"
	refused        event = "refused"
	failed         event = "failed"
	outcomeUnknown event = "lost"
	unchanged      event = "unchanged"
	expired        event = "lapsed"
)

//go:embed lease.json
var chartData []byte

var chart = guavachart.MustNew[State, event](chartData)

// Record is the value of a lease's row.
type Record struct {
	// Owner names the VM and its incarnation. It is empty after a release.
	Owner string `json:"owner"`
	// Epoch increases with each change of owner. It is the fencing token of external effects.
	Epoch uint64 `json:"epoch"`
	// Length is the lease length in milliseconds.
	Length int64 `json:"length"`
	// Renewal counts the commits of one epoch. It shows a reader of the row whether a commit without a response took
	// effect.
	Renewal uint64 `json:"renewal"`
}

// Row is a lease's row as it was read. Revision is 0 when the row does not exist.
type Row struct {
	Record
	Revision uint64
}

// Action is what the caller of Next has to do.
type Action string

// Actions.
const (
	Wait   Action = "wait"   // until Step.At, then call Next again
	Read   Action = "read"   // read the row and pass it to Observe
	Commit Action = "commit" // call Sent, then write Step.Record on condition that the row has Step.Revision
)

// Step is the next action with its arguments.
type Step struct {
	Action   Action
	At       time.Time
	Record   Record
	Revision uint64
}

// Grant is the permission to act as the owner of a lease. The zero value is not valid.
type Grant struct {
	Epoch    uint64
	since    instant
	validFor time.Duration
}

// Valid reports whether the owner may still act. Callers check it right before each external effect.
func (g Grant) Valid() bool { return g.validFor > 0 && g.since.elapsed() < g.validFor }

// Remaining returns the time until the grant expires, at least 0.
func (g Grant) Remaining() time.Duration { return max(0, g.validFor-g.since.elapsed()) }

// instant is a point in time of the local monotonic and wall clocks.
type instant time.Time

func now() instant { return instant(time.Now()) }

// elapsed returns the larger of the times that passed on the monotonic and the wall clock, because the monotonic
// clock can stop while a VM is suspended.
func (i instant) elapsed() time.Duration {
	t := time.Now()
	return max(t.Sub(time.Time(i)), t.Round(0).Sub(time.Time(i).Round(0)))
}

// Lease is one VM's view of a lease. It is not safe for concurrent use.
type Lease struct {
	self   string
	length time.Duration
	state  State

	rowKnown       bool // row and unchangedSince are valid
	row            Row
	unchangedSince instant // when the row's current revision was first read
	lastRead       instant // when the row was last read
	lastFailure    instant // when the last commit or read failed
	retryDelay     time.Duration

	pending         Record
	pendingRevision uint64  // revision that the commit of pending requires
	firstSent       instant // when pending was first sent
	maybeInFlight   bool    // an earlier commit of pending may still take effect
	grant           Grant
}

// New returns a lease in the state Watching whose row has not been read. Self names the VM and its incarnation.
func New(self string, length time.Duration) *Lease {
	return &Lease{self: self, length: length, state: chart.Start()}
}

// State returns the current state.
func (l *Lease) State() State { return l.state }

// Grant returns the permission to act. It is valid only while the VM owns the lease.
func (l *Lease) Grant() Grant {
	l.expire()
	return l.grant
}

// Next returns the next action.
func (l *Lease) Next() Step {
	l.expire()
	if remaining := l.retryDelay - l.lastFailure.elapsed(); l.retryDelay > 0 && remaining > 0 {
		return wait(remaining)
	}
	switch l.state {
	case Watching:
		return l.watch()
	case Owned:
		if remaining := l.length/renewDivisor - l.grant.since.elapsed(); remaining > 0 {
			return wait(remaining)
		}
		// A commit does not return the row's new revision, so the row is read before each renewal.
		if !l.rowKnown {
			return Step{Action: Read}
		}
		r := l.row.Record
		r.Renewal++
		return Step{Action: Commit, Record: r, Revision: l.row.Revision}
	case OutcomeUnknown, RenewalUnknown:
		return Step{Action: Read}
	default:
		return wait(l.length / retryDivisor)
	}
}

func (l *Lease) watch() Step {
	if !l.rowKnown {
		return Step{Action: Read}
	}
	remaining := time.Duration(0)
	// A lease of this VM that has expired is acquired again without waiting: no other VM acts under it.
	if l.row.Revision != 0 && l.row.Owner != "" && l.row.Owner != l.self {
		remaining = max(l.length, time.Duration(l.row.Length)*time.Millisecond) - l.unchangedSince.elapsed()
	}
	if remaining <= 0 {
		return Step{
			Action:   Commit,
			Record:   Record{Owner: l.self, Epoch: l.row.Epoch + 1, Length: l.length.Milliseconds(), Renewal: 1},
			Revision: l.row.Revision,
		}
	}
	untilRead := l.length/watchDivisor - l.lastRead.elapsed()
	if untilRead <= 0 {
		return Step{Action: Read}
	}
	return wait(min(remaining, untilRead))
}

func wait(d time.Duration) Step { return Step{Action: Wait, At: time.Now().Add(d)} }

// Sent must be called right before the commit of a step is sent.
func (l *Lease) Sent(s Step) {
	// An earlier commit of the same record may still take effect. The grant is then measured from the first one.
	if !l.maybeInFlight || s.Record != l.pending || s.Revision != l.pendingRevision {
		l.pending, l.pendingRevision, l.firstSent, l.maybeInFlight = s.Record, s.Revision, now(), false
	}
	l.move(sent)
}

// Granted records that the commit succeeded.
func (l *Lease) Granted() {
	l.retryDelay, l.rowKnown = 0, false
	if l.state == OutcomeUnknown {
		// The lease expired while its renewal was in flight. It has to be read and acquired again.
		l.move(refused)
		return
	}
	l.startGrant()
}

// Refused records that the commit was rejected because the row had another revision.
func (l *Lease) Refused() {
	l.retryDelay = 0
	if l.maybeInFlight {
		// The earlier commit of the same record may have changed the row. A read of the row decides.
		l.move(outcomeUnknown)
		return
	}
	l.rowKnown = false
	l.endGrant()
	l.move(refused)
}

// Failed records that the platform did not execute the commit or the read.
func (l *Lease) Failed() {
	l.lastFailure, l.retryDelay = now(), l.length/retryDivisor
	l.move(failed)
}

// OutcomeUnknown records that the commit may or may not have taken effect.
func (l *Lease) OutcomeUnknown() {
	l.lastFailure, l.retryDelay, l.maybeInFlight = now(), l.length/retryDivisor, true
	l.move(outcomeUnknown)
}

// Observe records a row that was read.
func (l *Lease) Observe(row Row) {
	l.expire()
	before, known := l.row, l.rowKnown
	if !known || row.Revision != before.Revision {
		l.unchangedSince = now()
	}
	l.row, l.rowKnown, l.lastRead, l.retryDelay = row, true, now(), 0
	owned := row.Revision != 0 && row.Owner == l.self
	switch l.state {
	case OutcomeUnknown, RenewalUnknown:
		switch {
		case owned && row.Record == l.pending:
			l.startGrant()
		case known && row.Revision == before.Revision:
			l.move(unchanged)
		default:
			l.endGrant()
			l.move(refused)
		}
	case Owned:
		if !owned || row.Epoch != l.grant.Epoch {
			l.endGrant()
			l.move(refused)
		}
	}
}

// Release ends the grant and returns the record that releases the lease, to be committed on condition that the row has
// the revision. Callers stop all work under the lease first. ok is false when the VM does not own the lease or when the
// row has not been read since the last commit.
func (l *Lease) Release() (r Record, revision uint64, ok bool) {
	l.expire()
	if l.state != Owned || !l.rowKnown {
		return Record{}, 0, false
	}
	r = l.row.Record
	r.Owner = ""
	l.endGrant()
	l.rowKnown = false
	l.move(expired)
	return r, l.row.Revision, true
}

// startGrant starts the grant of the last sent record, measured from when that record was first sent.
func (l *Lease) startGrant() {
	l.maybeInFlight = false
	l.grant = Grant{Epoch: l.pending.Epoch, since: l.firstSent, validFor: l.length - l.length/marginDivisor}
	l.move(granted)
	l.expire()
}

func (l *Lease) endGrant() { l.grant = Grant{} }

// expire ends the grant when it is no longer valid.
func (l *Lease) expire() {
	if l.grant.validFor > 0 && !l.grant.Valid() {
		l.endGrant()
		// A renewal by this VM may have changed the row, so the row is read before the lease is acquired again.
		l.rowKnown = false
		l.move(expired)
	}
}

func (l *Lease) move(e event) {
	l.state, _ = chart.Next(l.state, e)
}

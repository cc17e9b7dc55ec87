// Package guavalease decides when a VM may take, use and renew a lease on a row of the table service.
//
// The holder counts from just before it sent the commit that made or renewed the lease, and stops a quarter of the
// length early. A candidate counts the full length from when it saw the row unchanged, which is later. So the
// candidate's turn never comes before the holder has stopped, whatever the clocks of the two VMs show; their rates may
// differ by up to the margin.
package guavalease

import (
	_ "embed" // for the state chart
	"time"

	"guavaridge/core/guavachart"
)

const (
	// marginPart is the part of the length by which the holder stops early: a quarter.
	marginPart = 4
	// renewPart is the part of the length after which the holder renews. A third leaves five retries before it stops.
	renewPart = 3
	// retryPart is the part of the length between two attempts when the platform does not answer.
	retryPart = 12
	// watchPart is the part of the length between two reads by a candidate. Half of the length costs 23 reads/s for
	// 340 VMs and leases of 30 s.
	watchPart = 2
)

// State is what a VM does about a lease.
type State string

type event string

// The states of a lease as one VM sees it.
const (
	Watching       State = "watching" // another VM may hold it
	Acquiring      State = "taking"   // a commit that takes it is under way
	OutcomeUnknown State = "unsure"   // the outcome of that commit is unknown
	Owned          State = "holding"
	Renewing       State = "renewing" // a commit that renews it is under way
	RenewalUnknown State = "doubting" // the outcome of that commit is unknown; still held until its end
)

const (
	sent      event = "send"
	granted   event = "granted"
	refused   event = "refused"
	failed    event = "failed"
	lost      event = "lost"
	unchanged event = "unchanged"
	lapsed    event = "lapsed"
)

//go:embed lease.json
var chartData []byte

var chart = guavachart.MustNew[State, event](chartData)

// Record is the value of a lease's row.
type Record struct {
	// Owner is the VM with its incarnation; empty when the lease was handed back.
	Owner string `json:"owner"`
	// Epoch increases with each change of owner and is the fencing number of outside effects.
	Epoch uint64 `json:"epoch"`
	// Length is in milliseconds.
	Length int64 `json:"length"`
	// Renewal counts the commits under one epoch, so that a lost answer can be settled.
	Renewal uint64 `json:"renewal"`
}

// Row is a lease's row as it was read. Revision is 0 when it is absent.
type Row struct {
	Record
	Revision uint64
}

// Action is what the runner of a lease has to do.
type Action string

// The actions.
const (
	Wait   Action = "wait"   // until Step.At
	Read   Action = "read"   // the row, and pass it to Seen
	Commit Action = "commit" // Step.Record if the row has Step.Revision, after Sent
)

// Step is the next action.
type Step struct {
	Action   Action
	At       time.Time
	Record   Record
	Revision uint64
}

// Grant is the permission to act as the holder of a lease. Its zero value permits nothing.
type Grant struct {
	Epoch uint64
	since mark
	limit time.Duration
}

// Valid reports whether the holder may still act. It is to be asked right before each outside effect.
func (g Grant) Valid() bool { return g.limit > 0 && g.since.elapsed() < g.limit }

// Remaining returns the time that the holder may still act, at least 0.
func (g Grant) Remaining() time.Duration { return max(0, g.limit-g.since.elapsed()) }

// mark is a moment by the local clock.
type mark time.Time

func now() mark { return mark(time.Now()) }

// elapsed returns the larger of the times that the monotonic and the wall clock show. The monotonic clock alone can
// stand still while a VM is suspended.
func (m mark) elapsed() time.Duration {
	t := time.Now()
	return max(t.Sub(time.Time(m)), t.Round(0).Sub(time.Time(m).Round(0)))
}

// Lease is one VM's view of a lease. It is not safe for concurrent use.
type Lease struct {
	self   string
	length time.Duration
	state  State

	known bool // row and seen are valid
	row   Row
	seen  mark // when the row's revision was first seen
	read  mark // when the row was last read
	retry mark // when the last attempt failed
	wait  time.Duration

	asked     Record
	askedFrom uint64 // revision
	sent      mark   // when asked was first sent
	open      bool   // an earlier sending of asked may still take effect
	grant     Grant
}

// New returns the view of a VM that knows nothing about the lease yet. Self names the VM with its incarnation.
func New(self string, length time.Duration) *Lease {
	return &Lease{self: self, length: length, state: chart.Start()}
}

// State returns the state.
func (l *Lease) State() State { return l.state }

// Grant returns the permission to act, which is not valid unless the VM holds the lease.
func (l *Lease) Grant() Grant {
	l.expire()
	return l.grant
}

// Next returns what to do now.
func (l *Lease) Next() Step {
	l.expire()
	if left := l.wait - l.retry.elapsed(); l.wait > 0 && left > 0 {
		return wait(left)
	}
	switch l.state {
	case Watching:
		return l.watch()
	case Owned:
		if left := l.length/renewPart - l.grant.since.elapsed(); left > 0 {
			return wait(left)
		}
		// A commit does not tell the row's new revision, so it is read before each renewal.
		if !l.known {
			return Step{Action: Read}
		}
		r := l.row.Record
		r.Renewal++
		return Step{Action: Commit, Record: r, Revision: l.row.Revision}
	case OutcomeUnknown, RenewalUnknown:
		return Step{Action: Read}
	default:
		return wait(l.length / retryPart)
	}
}

func (l *Lease) watch() Step {
	if !l.known {
		return Step{Action: Read}
	}
	left := time.Duration(0)
	// A lease that this VM let lapse is taken again at once: nobody else acts under it.
	if l.row.Revision != 0 && l.row.Owner != "" && l.row.Owner != l.self {
		left = max(l.length, time.Duration(l.row.Length)*time.Millisecond) - l.seen.elapsed()
	}
	if left <= 0 {
		return Step{
			Action:   Commit,
			Record:   Record{Owner: l.self, Epoch: l.row.Epoch + 1, Length: l.length.Milliseconds(), Renewal: 1},
			Revision: l.row.Revision,
		}
	}
	again := l.length/watchPart - l.read.elapsed()
	if again <= 0 {
		return Step{Action: Read}
	}
	return wait(min(left, again))
}

func wait(d time.Duration) Step { return Step{Action: Wait, At: time.Now().Add(d)} }

// Sent is called right before the commit of a step is sent.
func (l *Lease) Sent(s Step) {
	// When the same record may still be on its way from an earlier attempt, its first sending counts.
	if !l.open || s.Record != l.asked || s.Revision != l.askedFrom {
		l.asked, l.askedFrom, l.sent, l.open = s.Record, s.Revision, now(), false
	}
	l.move(sent)
}

// Granted is called when the commit has succeeded.
func (l *Lease) Granted() {
	l.wait, l.known = 0, false
	if l.state == OutcomeUnknown {
		// The lease lapsed while its renewal was under way; it is read and taken anew.
		l.move(refused)
		return
	}
	l.hold()
}

// Refused is called when a check of the commit did not hold.
func (l *Lease) Refused() {
	l.wait = 0
	if l.open {
		// The row may have been changed by the earlier sending; reading it tells.
		l.move(lost)
		return
	}
	l.known = false
	l.drop()
	l.move(refused)
}

// Failed is called when the platform did not take the commit or the read.
func (l *Lease) Failed() {
	l.retry, l.wait = now(), l.length/retryPart
	l.move(failed)
}

// OutcomeUnknown is called when the outcome of the commit is unknown.
func (l *Lease) OutcomeUnknown() {
	l.retry, l.wait, l.open = now(), l.length/retryPart, true
	l.move(lost)
}

// Observe is called with the row that was read.
func (l *Lease) Observe(row Row) {
	l.expire()
	before, known := l.row, l.known
	if !known || row.Revision != before.Revision {
		l.seen = now()
	}
	l.row, l.known, l.read, l.wait = row, true, now(), 0
	mine := row.Revision != 0 && row.Owner == l.self
	switch l.state {
	case OutcomeUnknown, RenewalUnknown:
		switch {
		case mine && row.Record == l.asked:
			l.hold()
		case known && row.Revision == before.Revision:
			l.move(unchanged)
		default:
			l.drop()
			l.move(refused)
		}
	case Owned:
		if !mine || row.Epoch != l.grant.Epoch {
			l.drop()
			l.move(refused)
		}
	}
}

// Release ends the permission to act and returns the record that frees the lease, to be committed if the row has the
// revision. It is called when all acts have ended; ok is false when the VM does not hold the lease or does not know
// the row's revision, which Seen tells.
func (l *Lease) Release() (r Record, revision uint64, ok bool) {
	l.expire()
	if l.state != Owned || !l.known {
		return Record{}, 0, false
	}
	r = l.row.Record
	r.Owner = ""
	l.drop()
	l.known = false
	l.move(lapsed)
	return r, l.row.Revision, true
}

// hold starts the permission that the last sent record gives, counted from when it was first sent.
func (l *Lease) hold() {
	l.open = false
	l.grant = Grant{Epoch: l.asked.Epoch, since: l.sent, limit: l.length - l.length/marginPart}
	l.move(granted)
	l.expire()
}

func (l *Lease) drop() { l.grant = Grant{} }

// expire drops a permission that has ended.
func (l *Lease) expire() {
	if l.grant.limit > 0 && !l.grant.Valid() {
		l.drop()
		// The row was renewed at most by this VM; it must be read before the lease is taken again.
		l.known = false
		l.move(lapsed)
	}
}

func (l *Lease) move(e event) {
	l.state, _ = chart.Next(l.state, e)
}

package guavalimit

import "time"

// Times of slices and loans. The safety rule rests on their order; docs/decisions/limits.md derives it.
const (
	// LoanDuration is the time from the sending of a loan during which the lender neither uses the slice nor lends
	// it to another process.
	LoanDuration = 2 * time.Second
	// poolLength is the time from the sending of a loan during which the pool grants tokens from it. The rest of
	// the loan is the time in which the tokens granted last expire.
	poolLength = LoanDuration - TokenLifetime
	// TokenLifetime is the time from the sending of a take during which its tokens can be spent.
	TokenLifetime = 500 * time.Millisecond
	// tokenCounted is the time from the grant during which a pool counts unreported tokens as unspent. It is a
	// fifth above TokenLength to allow for clocks of different speed.
	tokenCounted = TokenLifetime + TokenLifetime/5
	// contactLength is the time without contact after which a slot is no longer used.
	contactLength = 30 * time.Second
)

// Slice is a VM's own part of all rates: it is used on this VM, or lent to pools group by group.
type Slice struct {
	held   bool
	number int
	// usable is when loans of an earlier holder of the slot have lapsed.
	usable    time.Time
	contact   time.Time
	confirmed bool
	loans     [Groups]loan
	buckets   map[string]*sliceBucket
}

type loan struct {
	to    string
	lapse time.Time
}

type sliceBucket struct {
	level float64
	at    time.Time
}

// NewSlice returns a slice without a slot.
func NewSlice() *Slice { return &Slice{buckets: map[string]*sliceBucket{}} }

// AssignSlot gives the slice a slot that the table records for this process by a claim sent at a time. Loans of an earlier
// holder may be in use for LoanLength after the claim, and the earlier holder may have spent the burst: the slice
// starts empty after that.
func (s *Slice) AssignSlot(number int, sent time.Time) {
	s.held, s.number, s.confirmed = true, number, true
	s.usable = time.Now().Add(LoanDuration)
	s.contact = sent
	clear(s.buckets)
}

// ReleaseSlot gives up the slot. Loans already sent stay in force until they lapse.
func (s *Slice) ReleaseSlot() {
	s.held = false
	clear(s.buckets)
}

// Confirm records that the table showed the slot as held by this process at a time.
func (s *Slice) Confirm(at time.Time) {
	if at.After(s.contact) {
		s.contact = at
	}
	s.confirmed = true
}

// Contact records that a VM of the own domain received a message sent at a time. After a gap of contactLength the
// slot may have been reclaimed; then only Confirm makes it usable again.
func (s *Slice) Contact(at time.Time) {
	if time.Since(s.contact) >= contactLength {
		s.confirmed = false
	}
	if at.After(s.contact) {
		s.contact = at
	}
}

// Usable reports whether the slice may be used or lent. slots is the number that the domain declares; the only VM
// of a domain needs no contact.
func (s *Slice) Usable(slots int) bool {
	now := time.Now()
	if !s.held || s.number >= slots || now.Before(s.usable) {
		return false
	}
	if slots == 1 {
		return true
	}
	if now.Sub(s.contact) >= contactLength {
		s.confirmed = false
	}
	return s.confirmed
}

// Lend lends a group to a process and reports whether it did. A group that is lent to another process is lent again
// only after that loan has lapsed.
func (s *Slice) Lend(group int, to string, slots int) bool {
	now := time.Now()
	l := &s.loans[group]
	if !s.Usable(slots) || (l.to != to && now.Before(l.lapse)) {
		return false
	}
	*l = loan{to: to, lapse: now.Add(LoanDuration)}
	return true
}

// Take takes one token from the own slice, when its group is not lent.
func (s *Slice) Take(account string, share Share, slots int) bool {
	now := time.Now()
	l := s.loans[Group(account)]
	if !s.Usable(slots) || now.Before(l.lapse) {
		return false
	}
	from := s.usable
	if l.lapse.After(from) {
		from = l.lapse // the pool may have spent the burst until the loan lapsed
	}
	b, ok := s.buckets[account]
	if !ok {
		b = &sliceBucket{at: from}
		s.buckets[account] = b
	}
	if b.at.Before(from) {
		b.level, b.at = 0, from
	}
	b.level = min(share.Burst, b.level+share.Rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

package guavalimit

import "time"

// Durations of loans and tokens. That no account exceeds its rate depends on their order; docs/decisions/limits.md
// derives it.
const (
	// LoanDuration is the time after sending a loan during which the lender neither uses the slice itself nor lends it
	// to another process.
	LoanDuration = 2 * time.Second
	// grantDuration is the time after sending a loan during which the pool grants tokens from it. The tokens granted
	// last expire within the rest of the loan.
	grantDuration = LoanDuration - TokenLifetime
	// TokenLifetime is the time after sending a TokenRequest during which its tokens can be spent.
	TokenLifetime = 500 * time.Millisecond
	// unreportedLifetime is the time after a grant during which a pool counts tokens as unspent unless the requester
	// reports otherwise. It is a fifth above TokenLifetime to allow for clocks that run at different speeds.
	unreportedLifetime = TokenLifetime + TokenLifetime/5
	// contactTimeout is the time without contact with another VM of the local failure domain after which a slot is no
	// longer used.
	contactTimeout = 30 * time.Second
)

// Slice is the share of all accounts' rates that belongs to a VM's slot. It is used on this VM, or lent to pools, one
// account group at a time.
type Slice struct {
	hasSlot bool
	number  int
	// usableFrom is when all loans of an earlier owner of the slot have expired.
	usableFrom  time.Time
	lastContact time.Time
	confirmed   bool
	loans       [Groups]loan
	buckets     map[string]*sliceBucket
}

type loan struct {
	borrower string
	expires  time.Time
}

type sliceBucket struct {
	level   float64
	updated time.Time
}

// NewSlice returns a slice without a slot.
func NewSlice() *Slice { return &Slice{buckets: map[string]*sliceBucket{}} }

// AssignSlot assigns the slice a slot that the table records for this process; sent is when the claim was sent. The
// slice becomes usable after LoanDuration, because loans of an earlier owner may last until then, and starts empty,
// because the earlier owner may have spent the burst.
func (s *Slice) AssignSlot(number int, sent time.Time) {
	s.hasSlot, s.number, s.confirmed = true, number, true
	s.usableFrom = time.Now().Add(LoanDuration)
	s.lastContact = sent
	clear(s.buckets)
}

// ReleaseSlot releases the slot. Loans already sent stay valid until they expire.
func (s *Slice) ReleaseSlot() {
	s.hasSlot = false
	clear(s.buckets)
}

// Confirm records that the table showed this process as the owner of the slot at a time.
func (s *Slice) Confirm(at time.Time) {
	if at.After(s.lastContact) {
		s.lastContact = at
	}
	s.confirmed = true
}

// Contact records that another VM of the local failure domain received a message that this VM sent at a time. After
// contactTimeout without contact another process may have claimed the slot, and only Confirm makes it usable again.
func (s *Slice) Contact(at time.Time) {
	if time.Since(s.lastContact) >= contactTimeout {
		s.confirmed = false
	}
	if at.After(s.lastContact) {
		s.lastContact = at
	}
}

// Usable reports whether the slice may be used or lent. slots is the number of slots that the domain declares. The only
// VM of a domain needs no contact.
func (s *Slice) Usable(slots int) bool {
	now := time.Now()
	if !s.hasSlot || s.number >= slots || now.Before(s.usableFrom) {
		return false
	}
	if slots == 1 {
		return true
	}
	if now.Sub(s.lastContact) >= contactTimeout {
		s.confirmed = false
	}
	return s.confirmed
}

// Lend lends a group to a process and reports whether it did. A group that is lent to another process can only be lent
// after that loan has expired.
func (s *Slice) Lend(group int, to string, slots int) bool {
	now := time.Now()
	l := &s.loans[group]
	if !s.Usable(slots) || (l.borrower != to && now.Before(l.expires)) {
		return false
	}
	*l = loan{borrower: to, expires: now.Add(LoanDuration)}
	return true
}

// Take takes one token from the slice. It returns false if the slice has none, is not usable, or has lent the account's
// group.
func (s *Slice) Take(account string, share Share, slots int) bool {
	now := time.Now()
	l := s.loans[Group(account)]
	if !s.Usable(slots) || now.Before(l.expires) {
		return false
	}
	from := s.usableFrom
	if l.expires.After(from) {
		from = l.expires // the pool may have spent the burst before the loan expired
	}
	b, ok := s.buckets[account]
	if !ok {
		b = &sliceBucket{updated: from}
		s.buckets[account] = b
	}
	if b.updated.Before(from) {
		b.level, b.updated = 0, from
	}
	b.level = min(share.Burst, b.level+share.Rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

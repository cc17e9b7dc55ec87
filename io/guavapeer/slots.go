package guavapeer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/io/guavaplatform"
)

const (
	// slotPeriod is the mean time between reads of the slot that this VM owns. 340 VMs make 34 reads/s.
	slotPeriod = 10 * time.Second
	// claimPeriod is the mean time between attempts to claim a slot.
	claimPeriod = time.Second
	// slotTimeout bounds one call of Step.
	slotTimeout = 5 * time.Second
	// reclaimTimeout is how long a VM must be unresponsive before its slot is reclaimed. It is twice the time after which
	// a VM without contact to others stops using its slot.
	reclaimTimeout = time.Minute
	// maxListAge is the maximum age of the platform's list of VMs on which a reclaim may be based.
	maxListAge = 30 * time.Second
	// maxReadBacks is the maximum number of reads that determine the outcome of a commit whose response was lost.
	maxReadBacks = 3
	// maxSlots bounds a scan; a domain has about 34 slots.
	maxSlots = 1000
	// auditInterval is the number of confirmations between scans for stale rows of this VM. A claim whose response was
	// lost can take effect after it was abandoned.
	auditInterval = 6
)

// SlotHolder is notified of the slot that this process owns. guavalimit.FleetLimiter implements it.
type SlotHolder interface {
	// Slots returns the number of slots that the domain declares.
	Slots() int
	// Hold reports that this process owns a slot, by a claim sent at the given time.
	Hold(number int, sent time.Time)
	// Drop reports that this process no longer owns a slot.
	Drop()
	// Confirm reports that a read started at the given time found the slot owned by this process.
	Confirm(at time.Time)
}

// Slots claims a slot of the local domain and retains it. It is not safe for concurrent use.
type Slots struct {
	self   guavamember.Identity
	member *guavamember.Table
	table  guavaplatform.Table
	holder SlotHolder
	log    hclog.Logger

	owned      bool
	number     int
	slot       guavalimit.Slot
	claimCount int
	// confirmsSinceAudit counts the confirmations since the last scan for stale rows of this VM.
	confirmsSinceAudit int
}

// NewSlots returns a Slots that owns no slot yet.
func NewSlots(member *guavamember.Table, table guavaplatform.Table, holder SlotHolder, log hclog.Logger) *Slots {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return &Slots{self: member.Self(), member: member, table: table, holder: holder, log: log}
}

// Run claims a slot and confirms it periodically until ctx ends. It does not release the slot.
func (s *Slots) Run(ctx context.Context) error {
	for {
		period := slotPeriod
		if err := s.Step(ctx); err != nil {
			s.log.Debug("slot", "error", err)
		}
		if !s.owned {
			period = claimPeriod
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(period/2 + rand.N(period)):
		}
	}
}

// Step claims a slot, or confirms the one that this VM owns.
func (s *Slots) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	if s.owned {
		return s.confirm(ctx)
	}
	return s.claim(ctx)
}

func (s *Slots) confirm(ctx context.Context) error {
	if s.number >= s.holder.Slots() {
		return s.Release(ctx) // the domain now declares fewer slots
	}
	before := time.Now()
	row, err := s.table.Read(ctx, guavalimit.SlotKey(s.self.Domain, s.number))
	if errors.Is(err, guavaplatform.ErrAbsent) {
		s.drop("row is absent")
		return nil
	}
	if err != nil {
		return errors.Newf("read slot: %w", err)
	}
	slot, err := guavalimit.ParseSlot(row.Value)
	if err != nil || slot != s.slot {
		s.drop("held by " + slot.VM)
		return err
	}
	s.holder.Confirm(before)
	if s.confirmsSinceAudit++; s.confirmsSinceAudit >= auditInterval {
		s.confirmsSinceAudit = 0
		rows, revisions, err := s.scan(ctx)
		if err != nil {
			return err
		}
		s.releaseStaleRows(ctx, rows, revisions)
	}
	return nil
}

func (s *Slots) drop(reason string) {
	s.holder.Drop()
	s.owned = false
	s.log.Warn("slot lost", "number", s.number, "reason", reason)
}

// claim records this process in a free slot. If the response to an earlier claim was lost, its row names this VM; the
// slot is claimed again, which restarts the waiting time of a new owner.
func (s *Slots) claim(ctx context.Context) error {
	declared := s.holder.Slots()
	if declared == 0 || s.member.Draining() {
		return nil
	}
	rows, revisions, err := s.scan(ctx)
	if err != nil {
		return err
	}
	absent := func(vm string) bool { return s.member.Absent(vm, reclaimTimeout, maxListAge) }
	for _, n := range guavalimit.ClaimableSlots(s.self, declared, rows, absent) {
		s.claimCount++
		slot := guavalimit.Slot{
			VM: s.self.Name, Incarnation: s.self.Incarnation,
			Operation: guavalimit.ProcessName(s.self) + "/" + strconv.Itoa(s.claimCount),
		}
		sent := time.Now()
		err := s.commit(ctx, n, revisions[n], slot)
		if errors.Is(err, guavaplatform.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		s.owned, s.number, s.slot = true, n, slot
		s.holder.Hold(n, sent)
		s.log.Info("slot claimed", "number", n, "before", rows[n].VM)
		s.releaseStaleRows(ctx, rows, revisions)
		return nil
	}
	return nil
}

// scan returns the slots of the local domain and their revisions, by number.
func (s *Slots) scan(ctx context.Context) (map[int]guavalimit.Slot, map[int]uint64, error) {
	found, err := s.table.Scan(ctx, guavalimit.SlotPrefix(s.self.Domain), "", maxSlots)
	if err != nil {
		return nil, nil, errors.Newf("scan slots: %w", err)
	}
	rows, revisions := map[int]guavalimit.Slot{}, map[int]uint64{}
	for _, r := range found {
		n, err := guavalimit.SlotNumber(r.Key)
		if err != nil {
			return nil, nil, err
		}
		slot, err := guavalimit.ParseSlot(r.Value)
		if err != nil {
			return nil, nil, err
		}
		rows[n], revisions[n] = slot, r.Revision
	}
	return rows, revisions, nil
}

// commit writes a slot's row. If the response is lost, it reads the row back to determine the outcome.
func (s *Slots) commit(ctx context.Context, n int, revision uint64, slot guavalimit.Slot) error {
	value, err := json.Marshal(slot)
	if err != nil {
		return errors.Newf("encode slot: %w", err)
	}
	key := guavalimit.SlotKey(s.self.Domain, n)
	err = s.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: revision}}, []guavaplatform.Write{{Key: key, Value: value}})
	if !errors.Is(err, guavaplatform.ErrUnknown) {
		return err
	}
	for range maxReadBacks {
		row, err := s.table.Read(ctx, key)
		if err == nil {
			if got, err := guavalimit.ParseSlot(row.Value); err == nil && got == slot {
				return nil
			}
		}
		if err == nil || errors.Is(err, guavaplatform.ErrAbsent) {
			// Another claim won, or the write has not taken effect yet; the next scan shows which.
			return errors.Newf("claim %s: %w", key, guavaplatform.ErrUnknown)
		}
	}
	return errors.Newf("claim %s: %w", key, guavaplatform.ErrUnknown)
}

// releaseStaleRows deletes other rows of this VM, which result from claims whose responses were lost.
func (s *Slots) releaseStaleRows(ctx context.Context, rows map[int]guavalimit.Slot, revisions map[int]uint64) {
	for n, slot := range rows {
		if n != s.number && slot.VM == s.self.Name && slot.Incarnation <= s.self.Incarnation {
			key := guavalimit.SlotKey(s.self.Domain, n)
			err := s.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: revisions[n]}}, []guavaplatform.Write{{Key: key, Delete: true}})
			if err != nil {
				s.log.Warn("stale slot release failed", "number", n, "error", err)
			}
		}
	}
}

// Release stops the use of the slot and deletes its row. The next owner waits until loans have expired.
func (s *Slots) Release(ctx context.Context) error {
	if !s.owned {
		return nil
	}
	s.holder.Drop()
	s.owned = false
	key := guavalimit.SlotKey(s.self.Domain, s.number)
	row, err := s.table.Read(ctx, key)
	if errors.Is(err, guavaplatform.ErrAbsent) {
		return nil
	}
	if err != nil {
		return errors.Newf("read slot: %w", err)
	}
	if slot, err := guavalimit.ParseSlot(row.Value); err != nil || slot != s.slot {
		return err
	}
	err = s.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: row.Revision}}, []guavaplatform.Write{{Key: key, Delete: true}})
	if errors.Is(err, guavaplatform.ErrUnknown) {
		if _, readErr := s.table.Read(ctx, key); errors.Is(readErr, guavaplatform.ErrAbsent) {
			return nil
		}
	}
	return err
}

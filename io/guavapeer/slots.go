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
	// slotPeriod is the mean time between reads of the own slot: 34 reads/s at 340 VMs.
	slotPeriod = 10 * time.Second
	// claimPeriod is the mean time between tries to claim a slot.
	claimPeriod = time.Second
	// slotTimeout bounds one step.
	slotTimeout = 5 * time.Second
	// reclaimQuiet is how long a VM must be silent before its slot is reclaimed. It is twice the time after which
	// the VM itself stops using the slot without contact.
	reclaimQuiet = time.Minute
	// listFresh is the age up to which the platform's list counts for a reclaim.
	listFresh = 30 * time.Second
	// readBacks is the number of reads that settle a lost answer within one step.
	readBacks = 3
	// maxSlots bounds a scan; a domain has about 34 slots.
	maxSlots = 1000
	// auditConfirms is the number of steps between looks for further rows of this VM: a claim whose answer was lost
	// can take effect after it was given up.
	auditConfirms = 6
)

// SlotHolder is told of the slot that the table records for this process. guavalimit.Fleet implements it.
type SlotHolder interface {
	// Slots returns the number of slots that the domain declares.
	Slots() int
	Hold(number int, sent time.Time)
	Drop()
	Confirm(at time.Time)
}

// Slots claims a slot of the own domain and keeps it. Its methods are called from one goroutine.
type Slots struct {
	self   guavamember.Identity
	member *guavamember.Table
	table  guavaplatform.Table
	holder SlotHolder
	log    hclog.Logger

	held   bool
	number int
	slot   guavalimit.Slot
	claims int
	// confirms counts the steps since the last look for further rows of this VM.
	confirms int
}

// NewSlots returns Slots without a slot.
func NewSlots(member *guavamember.Table, table guavaplatform.Table, holder SlotHolder, log hclog.Logger) *Slots {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return &Slots{self: member.Self(), member: member, table: table, holder: holder, log: log}
}

// Run claims and keeps a slot until ctx ends. It does not release the slot.
func (s *Slots) Run(ctx context.Context) error {
	for {
		period := slotPeriod
		if err := s.Step(ctx); err != nil {
			s.log.Debug("slot", "error", err)
		}
		if !s.held {
			period = claimPeriod
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(period/2 + rand.N(period)):
		}
	}
}

// Step claims a slot, or confirms the one that is held.
func (s *Slots) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	if s.held {
		return s.confirm(ctx)
	}
	return s.claim(ctx)
}

func (s *Slots) confirm(ctx context.Context) error {
	if s.number >= s.holder.Slots() {
		return s.Release(ctx) // the domain declares fewer slots now
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
	if s.confirms++; s.confirms >= auditConfirms {
		s.confirms = 0
		rows, revisions, err := s.scan(ctx)
		if err != nil {
			return err
		}
		s.releaseOthers(ctx, rows, revisions)
	}
	return nil
}

func (s *Slots) drop(reason string) {
	s.holder.Drop()
	s.held = false
	s.log.Warn("slot lost", "number", s.number, "reason", reason)
}

// claim records this process in a free slot. A claim of an earlier step whose answer was lost shows as a row of this
// VM and is claimed again, which starts the waiting time of a new holder anew.
func (s *Slots) claim(ctx context.Context) error {
	declared := s.holder.Slots()
	if declared == 0 || s.member.Draining() {
		return nil
	}
	rows, revisions, err := s.scan(ctx)
	if err != nil {
		return err
	}
	absent := func(vm string) bool { return s.member.Absent(vm, reclaimQuiet, listFresh) }
	for _, n := range guavalimit.ClaimableSlots(s.self, declared, rows, absent) {
		s.claims++
		slot := guavalimit.Slot{
			VM: s.self.Name, Incarnation: s.self.Incarnation,
			Operation: guavalimit.ProcessName(s.self) + "/" + strconv.Itoa(s.claims),
		}
		sent := time.Now()
		err := s.commit(ctx, n, revisions[n], slot)
		if errors.Is(err, guavaplatform.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		s.held, s.number, s.slot = true, n, slot
		s.holder.Hold(n, sent)
		s.log.Info("slot claimed", "number", n, "before", rows[n].VM)
		s.releaseOthers(ctx, rows, revisions)
		return nil
	}
	return nil
}

// scan reads the slots of the own domain with their revisions, by number.
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

// commit writes a slot's row and settles a lost answer by reading the row back.
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
	for range readBacks {
		row, err := s.table.Read(ctx, key)
		if err == nil {
			if got, err := guavalimit.ParseSlot(row.Value); err == nil && got == slot {
				return nil
			}
		}
		if err == nil || errors.Is(err, guavaplatform.ErrAbsent) {
			// Another claim, or the write did not take effect yet; the next scan shows which.
			return errors.Newf("claim of %s: %w", key, guavaplatform.ErrUnknown)
		}
	}
	return errors.Newf("claim of %s: %w", key, guavaplatform.ErrUnknown)
}

// releaseOthers deletes further rows of this VM, left by claims whose answers were lost.
func (s *Slots) releaseOthers(ctx context.Context, rows map[int]guavalimit.Slot, revisions map[int]uint64) {
	for n, slot := range rows {
		if n != s.number && slot.VM == s.self.Name && slot.Incarnation <= s.self.Incarnation {
			key := guavalimit.SlotKey(s.self.Domain, n)
			err := s.table.Commit(ctx, []guavaplatform.Check{{Key: key, Revision: revisions[n]}}, []guavaplatform.Write{{Key: key, Delete: true}})
			if err != nil {
				s.log.Warn("cannot release further slot", "number", n, "error", err)
			}
		}
	}
}

// Release ends the use of the slot and deletes its row. The next holder waits until loans have lapsed.
func (s *Slots) Release(ctx context.Context) error {
	if !s.held {
		return nil
	}
	s.holder.Drop()
	s.held = false
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
		if _, again := s.table.Read(ctx, key); errors.Is(again, guavaplatform.ErrAbsent) {
			return nil
		}
	}
	return err
}

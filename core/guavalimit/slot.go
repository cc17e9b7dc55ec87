package guavalimit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"guavaridge/core/guavamember"
)

// Slot is a row of the table service that records which process uses a slot.
type Slot struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Operation identifies the claim, so that a claim whose answer was lost is recognised on reading back.
	Operation string `json:"operation"`
}

// SlotPrefix returns the prefix of the keys of a domain's slots.
func SlotPrefix(domain string) string { return "slot/" + domain + "/" }

// SlotKey returns the key of a slot.
func SlotKey(domain string, number int) string {
	return fmt.Sprintf("%s%d", SlotPrefix(domain), number)
}

// SlotNumber returns the number in the key of a slot.
func SlotNumber(key string) (int, error) {
	n, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	if err != nil {
		return 0, errors.Newf("slot key %q: %w", key, err)
	}
	return n, nil
}

// ParseSlot reads a row.
func ParseSlot(value []byte) (Slot, error) {
	var s Slot
	if err := json.Unmarshal(value, &s); err != nil {
		return Slot{}, errors.Newf("parse slot: %w", err)
	}
	return s, nil
}

// ClaimableSlots returns the numbers of the slots that a process may claim, in the order in which it should try. rows are
// the recorded slots and declared is their number. The slot of an earlier process of the same VM comes first: that
// process has ended. absent reports whether a VM has left the platform's list and is silent.
func ClaimableSlots(self guavamember.Identity, declared int, rows map[int]Slot, absent func(vm string) bool) []int {
	var own, free []int
	for n := range declared {
		switch s, ok := rows[n]; {
		case !ok:
			free = append(free, n)
		case s.VM == self.Name && s.Incarnation <= self.Incarnation:
			own = append(own, n)
		case s.VM != self.Name && absent(s.VM):
			free = append(free, n)
		}
	}
	if len(free) > 0 {
		// VMs that start together begin at different slots and rarely collide.
		first := int(xxhash.Sum64String(self.Name) % uint64(len(free)))
		free = slices.Concat(free[first:], free[:first])
	}
	return append(own, free...)
}

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
	// Operation identifies the claim, so that a process recognises its own claim in the row when the response was lost.
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

// ParseSlot decodes the value of a slot's row.
func ParseSlot(value []byte) (Slot, error) {
	var s Slot
	if err := json.Unmarshal(value, &s); err != nil {
		return Slot{}, errors.Newf("parse slot: %w", err)
	}
	return s, nil
}

// ClaimableSlots returns the numbers of the slots that a process may claim, in the order in which it should try them.
// rows are the recorded slots by number, and declared is the number of slots of the domain. Slots of earlier processes
// of the same VM come first, because those processes have ended. absent reports whether a VM is both missing from the
// platform's list and unresponsive.
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
		// Each VM begins at a slot given by its hash, so that VMs starting together rarely claim the same slot.
		first := int(xxhash.Sum64String(self.Name) % uint64(len(free)))
		free = slices.Concat(free[first:], free[:first])
	}
	return append(own, free...)
}

// Package guavamember is the membership view of one VM: a failure detector over heartbeats and the platform's list of
// VMs.
package guavamember

import (
	_ "embed"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"guavaridge/core/guavachart"
)

// State is the state of a VM in the view of another VM.
type State string

// States of a VM. member.json holds the transitions between them.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "gone"
	Leaving State = "leaving"
)

// event is an input of the state chart.
type event string

const (
	heartbeatReceived event = "heard"    // a message of the known incarnation arrived
	suspectTimeout    event = "silent"   // no message for SuspectAfter
	deadTimeout       event = "lost"     // no message for DeadAfter
	leaveAnnounced    event = "drain"    // the VM announced that it is leaving
	listedLeaving     event = "listed"   // the platform's list shows the VM as leaving
	listedStaying     event = "unlisted" // the platform's list no longer shows the VM as leaving
	restarted         event = "restart"  // a higher incarnation appeared at the address
)

//go:embed member.json
var chartFile []byte

var chart = guavachart.MustNew[State, event](chartFile)

// Identity identifies one process on one VM.
type Identity struct {
	Name    string
	Domain  string
	Region  string
	Address string
	// Incarnation is the start time of the process in ns since 1970, or 0 for a VM known only from the platform's list.
	Incarnation uint64
}

// Member is a VM with its state in the view of the local VM.
type Member struct {
	Identity
	State State
	// Counter is the highest heartbeat counter received.
	Counter uint64
}

// Rendezvous chooses a member for a key by rendezvous hashing (highest random weight). All callers with the same
// members choose the same one. ok is false when there are no members.
func Rendezvous(key string, members []Member) (best Member, ok bool) {
	var highest uint64
	for _, m := range members {
		h := weight(key, m.Name)
		if !ok || h > highest || (h == highest && m.Name < best.Name) {
			best, highest, ok = m, h, true
		}
	}
	return best, ok
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

func sortMembers(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

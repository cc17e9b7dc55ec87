// Package guavamember holds one VM's view of all VMs: which are alive, suspected, gone or leaving.
package guavamember

import (
	_ "embed"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"guavaridge/core/guavachart"
)

// State is what a VM believes of another VM.
type State string

// States of a VM. Their order of transitions is described in member.json.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "gone"
	Leaving State = "leaving"
)

// event is an input of the state chart.
type event string

const (
	heard    event = "heard"    // a message of this incarnation arrived
	silent   event = "silent"   // no message for SuspectAfter
	lost     event = "lost"     // no message for GoneAfter
	drain    event = "drain"    // the VM announced that it is leaving
	listed   event = "listed"   // the platform's list shows the VM as leaving
	unlisted event = "unlisted" // the platform's list no longer shows it as leaving
	restart  event = "restart"  // a higher incarnation appeared at the address
)

//go:embed member.json
var chartFile []byte

var chart = guavachart.MustNew[State, event](chartFile)

// Identity names one process on one VM.
type Identity struct {
	Name    string
	Domain  string
	Region  string
	Address string
	// Incarnation is the start time of the process in ns since 1970; 0 while only the platform's list is known.
	Incarnation uint64
}

// Member is a VM with its state in this VM's view.
type Member struct {
	Identity
	State State
	// Counter is the highest heartbeat counter received.
	Counter uint64
}

// Rendezvous returns the member with the highest hash of key and name (highest random weight). All callers
// with the same members choose the same one. ok is false without members.
func Rendezvous(key string, members []Member) (best Member, ok bool) {
	var most uint64
	for _, m := range members {
		h := weight(key, m.Name)
		if !ok || h > most || (h == most && m.Name < best.Name) {
			best, most, ok = m, h, true
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

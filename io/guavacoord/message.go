// Package guavacoord assigns a coordinator to each shard of a service and an owner to each group of client accounts,
// and sends requests for reservations and rate limit tokens to them.
//
// Both are VMs, chosen from a ranking of the list of VMs by reachability; nothing is elected or stored. While two VMs
// coordinate the same shard, its servers may get more requests than they have slots, until the load that they report
// corrects it. A group of accounts never gets more tokens than its rate, since each owner refills only the share of the
// VMs that request tokens from it.
package guavacoord

import (
	"encoding/gob"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/core/guavatraffic"
)

// Messages to the coordinator of a shard. Their fields named Service hold the name of the shard, those named Notices the
// servers that have told the sender that they are leaving. VMs of an older version ignore fields that they do not know.
type (
	submit struct {
		Service string
		Request guavaplace.Request
	}
	withdraw struct {
		Service string
		Key     guavaplace.Key
	}
	started struct {
		Service string
		Key     guavaplace.Key
		Load    guavaplace.Load
		Known   bool // whether the server reported its load
		Begun   bool // whether the server has got beyond the begin of its answer
		Notices []guavatraffic.Incarnation
	}
	release struct {
		Service string
		Report  guavaplace.Report
		Notices []guavatraffic.Incarnation
		// Continues reports that the run goes on although no byte of a response has arrived in time. Coordinators of
		// earlier versions ignore it and end the run.
		Continues bool
	}
	// join makes the receiver the coordinator of the sender for a shard. Held lists the sender's active runs.
	join struct {
		Service string
		Held    []guavaplace.ActiveRun
		Notices []guavatraffic.Incarnation
	}
	// leave tells the previous coordinator that the sender uses another one.
	leave struct{ Service string }
)

// banned tells VMs which requests are refused because they crash servers, and for how long, and which runs were lost, which
// may lead to further bans. VMs of an earlier version ignore Lost.
type banned struct {
	List []ban
	Lost []loss
}

// ban is the message form of a guavapoison.Ban. Content is its ID, by which VMs of an earlier version refuse a request,
// and Left the remaining time.
type ban struct {
	Content   uint64
	Left      time.Duration
	Traits    []uint64
	Trials    int
	Confirmed bool
	Sound     bool
	Changed   int64 // Unix time in milliseconds
	Lifted    bool
	Suspected bool
}

// loss is the message form of a guavapoison.Loss. Began and Ended are the times since then, so that the clocks of the VMs need
// not agree.
type loss struct {
	ID, Server      string
	Began, Ended    time.Duration
	Content         uint64
	Parts, Traits   []uint64
	Item            bool
	Silent, Crashed bool
	Recorder        string // the VM that recorded it, "" for the sender
}

// decided holds decisions of a coordinator.
type decided struct {
	Service   string
	Decisions []guavaplace.Decision
}

// Messages between a VM and the owner of a group of client accounts.
type (
	// adopt lists the groups for which the sender uses the receiver as owner from now on.
	// Listed is the newest revision in the sender's list of VMs, 0 from VMs of an earlier version.
	adopt struct {
		Groups []int
		Listed uint64
	}
	// settled tells a VM that all VMs have those in their lists whose rows have a revision of at most Listed.
	settled struct{ Listed uint64 }
	// take requests up to Want tokens of an account. Recent is the number that the sender has got lately from all owners.
	take struct {
		Number  uint64
		Account string
		Want    int
		Recent  int
		Fresh   bool // the sender has started lately, and may have got more before
		// Total is the total that the sender got TotalAge ago in the last reply, from the process Owner.
		Total    int
		TotalAge time.Duration
		Owner    string
	}
	// given is the reply to the take with the same Number. The sender may request more tokens after After.
	given struct {
		Number  uint64
		Granted int
		After   time.Duration
		// Total is the number of tokens that all VMs together have got lately, Owner the process of the sender.
		Total int
		Owner string
	}
)

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	for _, m := range [...]any{
		submit{}, withdraw{}, started{}, release{}, join{}, leave{}, banned{}, decided{}, adopt{}, take{}, given{}, settled{},
	} {
		gob.Register(m)
	}
}

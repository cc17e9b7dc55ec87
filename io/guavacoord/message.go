// Package guavacoord lets one VM at a time decide for each service and each group of client accounts, and lets the others
// ask it. Which VM that is follows from the list of VMs and from who can be reached; nothing is elected or stored. If two
// VMs decide for the same service for a moment, servers get more work than places until the load that they report
// corrects it; a group of accounts is never given more than its rate, since each owner refills only the share of those
// VMs that turn to it.
package guavacoord

import (
	"encoding/gob"
	"time"

	"guavaridge/core/guavaplace"
)

// Messages to the coordinator of a service.
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
		Known   bool // whether the server told its load
	}
	release struct {
		Service string
		Report  guavaplace.Report
	}
	// join says that the sender turns to the receiver for a service, and what it has running.
	join struct {
		Service string
		Held    []guavaplace.ActiveRun
	}
	// leave says that the sender has turned to another VM.
	leave struct{ Service string }
)

// banned tells all VMs which requests crash servers, and for how long they are refused.
type banned struct{ List []guavaplace.Ban }

// decided is a coordinator's answer.
type decided struct {
	Service   string
	Decisions []guavaplace.Decision
}

// Messages about rates.
type (
	// adopt says for which groups the sender turns to the receiver from now on.
	adopt struct{ Groups []int }
	take  struct {
		Number  uint64
		Account string
		Want    int
	}
	given struct {
		Number  uint64
		Granted int
		After   time.Duration
	}
)

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	for _, m := range [...]any{
		submit{}, withdraw{}, started{}, release{}, join{}, leave{}, banned{}, decided{}, adopt{}, take{}, given{},
	} {
		gob.Register(m)
	}
}

package guavapeer

import (
	"time"

	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/core/guavapoison"
)

// Payload is the part of an exchange message that other packages produce and consume.
type Payload struct {
	// Loads are the load reports of the backend servers that the sender polls.
	Loads []Load
	// Arrivals are the sender's online requests per backend server since the previous message.
	Arrivals map[string]uint32
	// Poison are reports of requests that crashed backend servers. A received payload holds only new ones.
	Poison []guavapoison.Report
	// Cancels are the IDs of cancelled jobs that the sender knows. A received payload holds only new ones.
	Cancels []string
	// Submitted is true in an announcement of an accepted batch job.
	Submitted bool
}

// Load is a load report of a backend server.
type Load struct {
	Server                  string
	Running, Waiting, Slots uint32
	// KV is the used fraction of KV memory, 0 to 1, in steps of 0.01.
	KV float64
	// Age is the age of the report when it was sent, in steps of 50 ms.
	Age time.Duration
}

// Hooks connect other packages to the exchange. Each may be nil.
type Hooks struct {
	// BuildPayload returns the payload for the VMs of a domain. It is called once a second for each domain.
	BuildPayload func(domain string) Payload
	// Receive handles a payload from another VM.
	Receive func(from guavamember.Identity, p Payload)
	// ReceiveArrivals handles another VM's online requests to backend servers that this VM sends batch work to.
	ReceiveArrivals func(from guavamember.Identity, arrivals []Arrival)
	// Changed handles state changes of other VMs.
	Changed func([]guavamember.Change)
	// Configuration returns the encoded configuration in force, for a VM that starts while the platform is down.
	Configuration func() []byte
	// ReloadConfiguration loads the configuration from the store. It is called if a peer no longer has the missing
	// versions.
	ReloadConfiguration func()
}

// Pool is the token pool of the rate limits, as the exchange uses it. guavalimit.FleetLimiter implements it.
type Pool interface {
	// Round is called once a second before the messages are composed.
	Round()
	// Offer returns the account groups to lend to a VM of the local domain, as a bit mask. It is called when a message is
	// sent.
	Offer(to guavamember.Identity) uint64
	// Lent records the groups that a VM of the local domain lends, with a message sent at sent or later.
	Lent(from guavamember.Identity, mask uint64, sent time.Time)
	// Contact records that a VM of the local domain has received a message sent at the given time.
	Contact(sent time.Time)
	// Grant serves token requests of another VM.
	Grant(requester string, requests []guavalimit.TokenRequest) []guavalimit.Grant
}

package guavapeer

import (
	"time"

	"guavaridge/core/guavalimit"
	"guavaridge/core/guavamember"
	"guavaridge/core/guavapoison"
)

// Payload is the part of an exchange message that other modules fill and take in.
type Payload struct {
	// Loads are the load digests of the backend servers that the sender polls.
	Loads []Load
	// Arrivals are the sender's online requests per backend server since the previous message.
	Arrivals map[string]uint32
	// Poison are reports of requests that crashed backend servers. On receipt, those not received before.
	Poison []guavapoison.Report
	// Cancels are cancelled jobs that the sender knows of. On receipt, those not received before.
	Cancels []string
	// Submitted is true in an announcement that a batch job was accepted.
	Submitted bool
}

// Load is a load report of a backend server.
type Load struct {
	Server                  string
	Running, Waiting, Slots uint32
	// KV is the used share of KV memory, 0 to 1, in steps of 0.01.
	KV float64
	// Age is the age of the report when it was sent, in steps of 50 ms.
	Age time.Duration
}

// Hooks connect other modules to the exchange. Each may be nil.
type Hooks struct {
	// BuildPayload returns what to send to VMs of a domain. It is called once a second and domain.
	BuildPayload func(domain string) Payload
	// Receive takes in what another VM sent.
	Receive func(from guavamember.Identity, p Payload)
	// ReceiveArrivals takes in another VM's online requests to backend servers that this VM sends batch work to.
	ReceiveArrivals func(from guavamember.Identity, arrivals []Arrival)
	// Changed is called with changes of state of other VMs.
	Changed func([]guavamember.Change)
	// Configuration returns the whole configuration in force, for a VM that starts while the platform is down.
	Configuration func() []byte
	// ReloadConfiguration loads configuration when no peer holds the missing versions any more.
	ReloadConfiguration func()
}

// Pool is what the exchange needs of the rate limits.
type Pool interface {
	// Round is called once a second before the messages are composed.
	Round()
	// Offer returns the account groups to lend to a VM of the own domain, as a bit mask, at the time of sending.
	Offer(to guavamember.Identity) uint64
	// Lent takes in the groups that a VM of the own domain lends, by a message sent no earlier than sent.
	Lent(from guavamember.Identity, mask uint64, sent time.Time)
	// Contact records that a VM of the own domain has received a message sent at the time.
	Contact(sent time.Time)
	// Grant serves takes of another VM.
	Grant(taker string, takes []guavalimit.TokenRequest) []guavalimit.Grant
}

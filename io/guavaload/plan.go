// Package guavaload generates open-loop load on callers' interfaces and reports what callers would see.
package guavaload

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Plan describes a load. It is read from a JSON file.
type Plan struct {
	Name string `json:"name"`
	// Seed makes the arrivals repeatable.
	Seed uint64 `json:"seed"`
	// Seconds is the length of the load.
	Seconds int `json:"seconds"`
	// Targets are the callers' addresses of the VMs, used in turn. They must be loopback addresses.
	Targets  []string  `json:"targets"`
	Model    string    `json:"model"`
	Accounts []Account `json:"accounts"`
	// Service is the path of the plain service's calls.
	Service string `json:"service,omitempty"`
	// OnTimeLimit is the on-time limit for the first token of a stream and for a plain service's answer, in milliseconds.
	OnTimeLimit int64 `json:"target"`
}

// Account is the load of one client account.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is the mean number of arrivals per second; arrivals follow a Poisson process.
	Rate float64 `json:"rate"`
	// AgreedRate is the client account's declared rate. Refusals while Rate is below it count as refusals within the rate.
	AgreedRate float64 `json:"agreed"`
	// StreamedShare and Service are the parts of the arrivals that are streams and plain service calls, 0 to 1.
	StreamedShare float64 `json:"streamed"`
	ServiceShare  float64 `json:"service"`
	// Tokens is the number of tokens asked for.
	Tokens int   `json:"tokens"`
	Burst  Burst `json:"burst,omitzero"`
	// Items is the number of items of a batch job that the client account submits at the start; 0 for none.
	Items int `json:"items,omitempty"`
}

// Burst multiplies an account's rate by Factor for Length out of Every seconds.
type Burst struct {
	Every  float64 `json:"every"`
	Length float64 `json:"length"`
	Factor float64 `json:"factor"`
}

// Load reads and checks a plan.
func Load(file string) (Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, errors.Newf("read load file: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var p Plan
	if err := d.Decode(&p); err != nil {
		return Plan{}, errors.Newf("%s: %w", file, err)
	}
	if err := p.Validate(); err != nil {
		return Plan{}, errors.Newf("%s: %w", file, err)
	}
	return p, nil
}

// maxSeconds bounds a run, so that a load always stops by itself.
const maxSeconds = 3600

// Validate reports the first value that is not allowed.
func (p Plan) Validate() error {
	if p.Seconds < 1 || p.Seconds > maxSeconds {
		return errors.Newf("seconds: %d is not allowed; want 1 to %d", p.Seconds, maxSeconds)
	}
	if len(p.Targets) == 0 {
		return errors.New("targets: want at least one address")
	}
	for i, t := range p.Targets {
		a, err := netip.ParseAddrPort(t)
		if err != nil || !a.Addr().IsLoopback() {
			return errors.Newf("targets[%d]: %q is not allowed; want a loopback IP number and port", i, t)
		}
	}
	for i, a := range p.Accounts {
		if a.Rate < 0 || a.StreamedShare < 0 || a.ServiceShare < 0 || a.StreamedShare+a.ServiceShare > 1 {
			return errors.Newf("accounts[%d]: rate %v, streamed %v, service %v are not allowed; want a rate of at least 0 and parts that sum to at most 1",
				i, a.Rate, a.StreamedShare, a.ServiceShare)
		}
	}
	return nil
}

// Duration returns the length of the load.
func (p Plan) Duration() time.Duration { return time.Duration(p.Seconds) * time.Second }

// WithTargets returns a copy of the plan for other VMs.
func (p Plan) WithTargets(targets []string) Plan {
	p.Targets = targets
	return p
}

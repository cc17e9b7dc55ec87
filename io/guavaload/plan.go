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

// Plan describes a load. Load reads it from a JSON file.
type Plan struct {
	Name string `json:"name"`
	// Seed is the seed of the random arrivals; equal seeds give equal arrivals.
	Seed uint64 `json:"seed"`
	// Seconds is the duration of the load.
	Seconds int `json:"seconds"`
	// Targets are the addresses of the VMs for callers; each call picks one at random. They must be loopback addresses.
	Targets  []string  `json:"targets"`
	Model    string    `json:"model"`
	Accounts []Account `json:"accounts"`
	// Service is the path of calls to the plain service.
	Service string `json:"service,omitempty"`
	// OnTimeLimit is the maximum time in milliseconds to the first token of a stream, or to a plain service's response,
	// for a call to count as on time.
	OnTimeLimit int64 `json:"target"`
}

// Account is the load from one client account.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is the mean number of arrivals per second; arrivals follow a Poisson process.
	Rate float64 `json:"rate"`
	// AgreedRate is the client account's declared rate. Calls that are rate limited although the peak rate of the load
	// does not exceed it are reported as limited within the rate.
	AgreedRate float64 `json:"agreed"`
	// StreamedShare and ServiceShare are the shares of streams and of plain service calls in the arrivals, 0 to 1.
	StreamedShare float64 `json:"streamed"`
	ServiceShare  float64 `json:"service"`
	// Tokens is the max_tokens value of each completion.
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

// Load reads and validates a plan.
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

// maxSeconds is the maximum duration of a run, so that a load always ends without intervention.
const maxSeconds = 3600

// Validate returns an error for the first invalid value.
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
			return errors.Newf("accounts[%d]: rate %v, streamed %v, service %v are not allowed; want a rate of at least 0 and shares that sum to at most 1",
				i, a.Rate, a.StreamedShare, a.ServiceShare)
		}
	}
	return nil
}

// Duration returns the duration of the load.
func (p Plan) Duration() time.Duration { return time.Duration(p.Seconds) * time.Second }

// WithTargets returns a copy of the plan with other targets.
func (p Plan) WithTargets(targets []string) Plan {
	p.Targets = targets
	return p
}

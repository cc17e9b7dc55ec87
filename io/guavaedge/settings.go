package guavaedge

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"guavaridge/core/guavahedge"
)

// Settings are the settings of a VM's process, a JSON object. Unknown fields are ignored.
type Settings struct {
	// Name is the name of the VM, Domain and Region are its failure domain and region.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Front, Ready and Peer are the listen addresses (IP address and port) for callers, readiness probes and other VMs.
	Front string `json:"front"`
	Ready string `json:"ready"`
	Peer  string `json:"peer"`
	// Metrics is the listen address of the metrics endpoint, empty for none.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Cores is the VM's share of processor cores, Memory its memory in MB, and Files the number of file descriptors.
	Cores  float64 `json:"cores"`
	Memory int     `json:"memory"`
	Files  int     `json:"files"`
	// Grace is the maximum time in seconds between the termination signal and the exit of the process.
	Grace float64 `json:"grace"`
	// Retention is the time in seconds for which results stay readable after the end of a job.
	Retention float64 `json:"retention"`
	// Settle is the time in seconds within which a result listed by one VM is listed by all, 0 for the default.
	Settle float64 `json:"settle"`
	// Overage (a fraction of the rate) and Slack (a number of requests) are the tolerance beyond the rate and burst of an
	// account, since its limit is split between VMs.
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
	// ColdOverage (a factor) and ColdSlack (requests per second) are the tolerance beyond the rate of a cold server; if both are 0,
	// cold servers get any number of requests.
	ColdOverage float64 `json:"coldoverage"`
	ColdSlack   float64 `json:"coldslack"`
	// Hedge limits the copies of slow requests that may be repeated; without it, none are sent.
	Hedge Hedge `json:"hedge"`
	// Window is the time in seconds over which the requests of an account are counted, 0 for the default.
	Window float64 `json:"window"`
	// Lines is the maximum number of log lines per second, 0 for the default.
	Lines int `json:"lines"`
}

// Hedge is the limit of copies of slow requests.
type Hedge struct {
	// Share is the number of copies per request, and Routes that of single routes by name, from 0 to 1.
	Share  float64            `json:"share"`
	Routes map[string]float64 `json:"routes"`
	// Quantile is the share of requests, by the time to their first byte, that get no copy; 0 for the default.
	Quantile float64 `json:"quantile"`
}

// defaultQuantile is the default of Hedge.Quantile.
const defaultQuantile = 0.95

// policy returns the limit for a route.
func (h Hedge) policy(route string) guavahedge.Policy {
	share, ok := h.Routes[route]
	if !ok {
		share = h.Share
	}
	return guavahedge.Policy{Share: share, Quantile: cmp.Or(h.Quantile, defaultQuantile)}
}

func (h Hedge) check() error {
	for name, share := range h.Routes {
		if !(share >= 0 && share <= 1) {
			return fmt.Errorf("hedge of route %s is %v, want a share of 0 to 1", name, share)
		}
	}
	if !(h.Share >= 0 && h.Share <= 1) || !(h.Quantile >= 0 && h.Quantile < 1) {
		return fmt.Errorf("hedge has share %v and quantile %v, want 0 to 1", h.Share, h.Quantile)
	}
	return nil
}

// defaultSettle is the default of Settings.Settle in seconds, the time of two reads of a client.
const defaultSettle = 1

// defaultLines is the default of Settings.Lines, enough for one line per request in the busiest second of a VM.
const defaultLines = 400

// Load reads and validates the settings in a file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, fmt.Errorf("decode settings %s: %w", file, err)
	}
	if err := s.check(); err != nil {
		return Settings{}, fmt.Errorf("invalid settings in %s: %w", file, err)
	}
	if s.Lines == 0 {
		s.Lines = defaultLines
	}
	if s.Settle == 0 {
		s.Settle = defaultSettle
	}
	return s, nil
}

func (s Settings) check() error {
	if s.Name == "" {
		return fmt.Errorf("name is %q, want the name of the VM", s.Name)
	}
	for _, a := range [...]struct{ field, value string }{
		{"front", s.Front}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s is %q, want an IP address and port", a.field, a.value)
		}
	}
	if s.Cores <= 0 || s.Memory <= 0 || s.Files <= 0 || s.Grace <= 0 {
		return fmt.Errorf("cores %v, memory %d, files %d, grace %v: want each above 0", s.Cores, s.Memory, s.Files, s.Grace)
	}
	if s.Settle < 0 {
		return fmt.Errorf("settle is %v, want a time in seconds, or 0 for the default", s.Settle)
	}
	return s.Hedge.check()
}

// connections returns the number of connections of callers that the descriptors and the memory of the VM allow.
func (s Settings) connections() int {
	return max(min(s.Files-reservedFiles, int(connectionShare*float64(s.Memory)*(1<<20)/connectionBytes)), 1)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

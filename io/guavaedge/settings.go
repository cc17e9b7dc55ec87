package guavaedge

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Settings are the settings of a VM's process, a JSON object. Fields that are not known are ignored.
type Settings struct {
	// Name names the VM; Domain and Region say where it is.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Front, Ready and Peer are the addresses (IP number and port) for callers, for questions whether the VM takes
	// requests, and for other VMs.
	Front string `json:"front"`
	Ready string `json:"ready"`
	Peer  string `json:"peer"`
	// Metrics is the address of the metrics, empty for none.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Cores is the VM's share of processor cores, Memory its memory in MB, and Files the number of file descriptors.
	Cores  float64 `json:"cores"`
	Memory int     `json:"memory"`
	Files  int     `json:"files"`
	// Grace is the time in seconds between the signal to stop and the end of the process.
	Grace float64 `json:"grace"`
	// Retention is the time in seconds for which results stay readable after a job has closed.
	Retention float64 `json:"retention"`
	// Settle is the time in seconds after which a result that one VM has listed must be listed by all, 0 for the default.
	Settle float64 `json:"settle"`
	// Overage (a share) and Slack (a number of requests) are what accounts may have beyond their rate and burst because they
	// are counted over many VMs.
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
	// Lines is the most log lines a second, 0 for the default.
	Lines int `json:"lines"`
}

// defaultSettle is the default of Settings.Settle, in seconds, for settings that state none: two reads of a client.
const defaultSettle = 1

// defaultLines is the most log lines a second. It fits the busiest second of a VM with one line for each request.
const defaultLines = 400

// Load reads and checks settings.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", file, err)
	}
	if err := s.check(); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", file, err)
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
		return fmt.Errorf("name: %q is not allowed; want the VM's name", s.Name)
	}
	for _, a := range [...]struct{ field, value string }{
		{"front", s.Front}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is not allowed; want an IP number and port", a.field, a.value)
		}
	}
	if s.Cores <= 0 || s.Memory <= 0 || s.Files <= 0 || s.Grace <= 0 {
		return fmt.Errorf("cores %v, memory %d, files %d, grace %v: each must be above 0", s.Cores, s.Memory, s.Files, s.Grace)
	}
	if s.Settle < 0 {
		return fmt.Errorf("settle: %v is not allowed; want a time in seconds, or 0 for the default", s.Settle)
	}
	return nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

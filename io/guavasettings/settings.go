// Package guavasettings reads and checks the JSON settings of one VM's process.
package guavasettings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of one process. Address and Domain are required; everything else has defaults or is
// optional.
type Settings struct {
	// Name is the VM's name. The default is the address for messages between VMs.
	Name string `json:"name,omitempty"`
	// Address is the IP address on which the VM listens.
	Address string `json:"address"`
	// Domain is the VM's failure domain, and Region the region of that failure domain.
	Domain string `json:"domain"`
	Region string `json:"region,omitempty"`
	Ports  Ports  `json:"ports,omitzero"`
	// Platform is the IP address and port of the platform.
	Platform string `json:"platform,omitempty"`
	// Seeds are the peer addresses of other VMs, used until the platform's list of VMs is known.
	Seeds []string `json:"seeds,omitempty"`
	// TLS is the certificate for callers and operators, Mutual the one for messages between VMs.
	TLS       Certificate `json:"tls,omitzero"`
	Mutual    Certificate `json:"mutual,omitzero"`
	Limits    Limits      `json:"limits,omitzero"`
	Operators []Operator  `json:"operators,omitempty"`
	// Log is the minimum level of log lines: "debug", "info", "warn" or "error".
	Log string `json:"log,omitempty"`
}

// Ports are TCP ports; 0 selects the default.
type Ports struct {
	Callers   int `json:"callers,omitempty"`
	Operators int `json:"operators,omitempty"`
	Peers     int `json:"peers,omitempty"`
	Admin     int `json:"admin,omitempty"`
}

// Certificate names PEM files. All are empty when TLS is off.
type Certificate struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA is used for mutual TLS only.
	CA string `json:"ca,omitempty"`
}

// Enabled reports whether a certificate is configured.
func (c Certificate) Enabled() bool { return c.Cert != "" }

// Limits bound the resources that callers can use. Sizes are in bytes and times in milliseconds.
type Limits struct {
	Body        int   `json:"body,omitempty"`
	Header      int   `json:"header,omitempty"`
	Connections int   `json:"connections,omitempty"`
	Idle        int64 `json:"idle,omitempty"`
	// Drain is the maximum time for which a graceful stop waits for requests in progress.
	Drain int64 `json:"drain,omitempty"`
}

// IdleTime returns Idle as a duration.
func (l Limits) IdleTime() time.Duration { return time.Duration(l.Idle) * time.Millisecond }

// DrainTime returns Drain as a duration.
func (l Limits) DrainTime() time.Duration { return time.Duration(l.Drain) * time.Millisecond }

// Operator is a user of the operators' interface. Hash is the SHA-256 of the operator's token in hexadecimal.
type Operator struct {
	Name string `json:"name"`
	// Role is "viewer", "editor" or "admin".
	Role string `json:"role"`
	Hash string `json:"hash"`
}

// Defaults of optional settings.
const (
	defaultCallers     = 8080
	defaultOperators   = 8081
	defaultPeers       = 8082
	defaultAdmin       = 8083
	defaultBody        = 8 << 20
	defaultHeader      = 16 << 10
	defaultConnections = 10_000
	defaultIdle        = 60_000
	defaultDrain       = 120_000
)

// Load reads a settings file, fills in defaults and validates the result. Errors name the file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Newf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, errors.Newf("%s: %w", file, err)
	}
	return s, nil
}

// Parse decodes settings, fills in defaults and validates them. Unknown fields are errors.
func Parse(data []byte) (Settings, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var s Settings
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.Newf("decode settings: %w", err)
	}
	if d.More() {
		return Settings{}, errors.New("decode settings: text after the JSON object")
	}
	s = s.WithDefaults()
	if err := s.Validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// WithDefaults returns a copy in which unset optional settings have their default.
func (s Settings) WithDefaults() Settings {
	s.Ports.Callers = orDefault(s.Ports.Callers, defaultCallers)
	s.Ports.Operators = orDefault(s.Ports.Operators, defaultOperators)
	s.Ports.Peers = orDefault(s.Ports.Peers, defaultPeers)
	s.Ports.Admin = orDefault(s.Ports.Admin, defaultAdmin)
	s.Limits.Body = orDefault(s.Limits.Body, defaultBody)
	s.Limits.Header = orDefault(s.Limits.Header, defaultHeader)
	s.Limits.Connections = orDefault(s.Limits.Connections, defaultConnections)
	s.Limits.Idle = orDefault(s.Limits.Idle, defaultIdle)
	s.Limits.Drain = orDefault(s.Limits.Drain, defaultDrain)
	s.Log = orDefault(s.Log, "info")
	s.Region = orDefault(s.Region, "default")
	s.Name = orDefault(s.Name, s.PeerAddress())
	return s
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// CallerAddress returns the address for callers.
func (s Settings) CallerAddress() string { return s.addressWithPort(s.Ports.Callers) }

// OperatorAddress returns the address for operators.
func (s Settings) OperatorAddress() string { return s.addressWithPort(s.Ports.Operators) }

// PeerAddress returns the address for messages between VMs.
func (s Settings) PeerAddress() string { return s.addressWithPort(s.Ports.Peers) }

// AdminAddress returns the address for health checks and metrics.
func (s Settings) AdminAddress() string { return s.addressWithPort(s.Ports.Admin) }

func (s Settings) addressWithPort(port int) string {
	ip, err := netip.ParseAddr(s.Address)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(port)).String()
}

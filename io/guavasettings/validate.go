package guavasettings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	maxPort    = 65535
	hashLength = 32
)

// Validate returns one error that joins those of all invalid settings, each with its path, its value and what is
// allowed.
func (s Settings) Validate() error {
	var v validator
	if _, err := netip.ParseAddr(s.Address); err != nil {
		v.reject("address", s.Address, "an IP number")
	}
	v.name("domain", s.Domain)
	v.name("region", s.Region)
	v.port("ports.callers", s.Ports.Callers)
	v.port("ports.operators", s.Ports.Operators)
	v.port("ports.peers", s.Ports.Peers)
	v.port("ports.admin", s.Ports.Admin)
	ports := []int{s.Ports.Callers, s.Ports.Operators, s.Ports.Peers, s.Ports.Admin}
	slices.Sort(ports)
	if len(slices.Compact(ports)) < len(ports) {
		v.reject("ports", s.Ports, "four different ports")
	}
	if s.Platform != "" {
		v.endpoint("platform", s.Platform)
	}
	for i, seed := range s.Seeds {
		v.endpoint(fmt.Sprintf("seeds[%d]", i), seed)
	}
	v.certificate("tls", s.TLS, false)
	v.certificate("mutual", s.Mutual, true)
	v.positive("limits.body", int64(s.Limits.Body))
	v.positive("limits.header", int64(s.Limits.Header))
	v.positive("limits.connections", int64(s.Limits.Connections))
	v.positive("limits.idle", s.Limits.Idle)
	v.positive("limits.drain", s.Limits.Drain)
	v.oneOf("log", s.Log, "debug", "info", "warn", "error")
	v.operators(s.Operators)
	return errors.Join(v.errs...)
}

// validator collects the errors of invalid settings.
type validator struct {
	errs []error
}

func (v *validator) reject(path string, value any, allowed string) {
	v.errs = append(v.errs, errors.Newf("%s: %v is not allowed; want %s", path, quote(value), allowed))
}

func quote(value any) any {
	if s, ok := value.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return value
}

func (v *validator) name(path, value string) {
	if value == "" {
		v.reject(path, value, "a name that is not empty")
	}
}

func (v *validator) port(path string, value int) {
	if value < 1 || value > maxPort {
		v.reject(path, value, "a port from 1 to 65535")
	}
}

func (v *validator) endpoint(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.reject(path, value, "an IP number and port")
	}
}

func (v *validator) positive(path string, value int64) {
	if value <= 0 {
		v.reject(path, value, "a number above 0")
	}
}

func (v *validator) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.reject(path, value, fmt.Sprintf("one of %q", allowed))
	}
}

func (v *validator) certificate(path string, cert Certificate, mutual bool) {
	if (cert.Cert == "") != (cert.Key == "") {
		v.reject(path, cert, "both cert and key, or neither")
	}
	if mutual && cert.Enabled() && cert.CA == "" {
		v.reject(path+".ca", cert.CA, "a PEM file of the certificate authority")
	}
	if !mutual && cert.CA != "" {
		v.reject(path+".ca", cert.CA, "no value; it is used in mutual only")
	}
}

func (v *validator) operators(operators []Operator) {
	seen := make(map[string]bool, len(operators))
	for i, o := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		v.name(path+".name", o.Name)
		if seen[o.Name] {
			v.reject(path+".name", o.Name, "a name that no other operator has")
		}
		seen[o.Name] = true
		v.oneOf(path+".role", o.Role, "viewer", "editor", "admin")
		if h, err := hex.DecodeString(o.Hash); err != nil || len(h) != hashLength {
			v.reject(path+".hash", o.Hash, "a SHA-256 of 64 hexadecimal digits")
		}
	}
}

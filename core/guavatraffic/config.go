// Package guavatraffic holds the configuration of a shared platform that operators and backend servers declare: routes,
// services, client accounts and servers.
package guavatraffic

import (
	"maps"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services map[string]Service
	Accounts map[string]Account

	byHost       map[string][]Route
	accountByKey map[string]string // account name by key
}

// NewConfig returns a configuration with its routes and keys indexed.
func NewConfig(version uint64, l Limits, routes []Route, services []Service, accounts []Account) *Config {
	c := &Config{
		Version: version, Limits: l, Routes: routes,
		Services: make(map[string]Service, len(services)), Accounts: make(map[string]Account, len(accounts)),
		byHost: map[string][]Route{}, accountByKey: map[string]string{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, a := range accounts {
		c.Accounts[a.Name] = a
		for _, k := range a.Keys {
			c.accountByKey[k] = a.Name
		}
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	return c
}

// Route returns the route of the host with the longest prefix that matches the path. A port after the host is ignored.
func (c *Config) Route(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	best, found := Route{}, false
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// RouteNamed returns the route with a name.
func (c *Config) RouteNamed(name string) (Route, bool) {
	for _, r := range c.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Account returns the client account to which a key belongs.
func (c *Config) Account(key string) (Account, bool) {
	name, ok := c.accountByKey[key]
	if !ok {
		return Account{}, false
	}
	return c.Accounts[name], true
}

// HasAccounts reports whether requests on routes that are not open must carry a key.
func (c *Config) HasAccounts() bool { return len(c.Accounts) > 0 }

// Priority returns the priority of a request, where 0 is the highest. The priority of the client account overrides that
// of the route.
func (c *Config) Priority(r Route, account string) int {
	if a, ok := c.Accounts[account]; ok && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// ColdTolerance is how far the rate of a cold server may be exceeded: by a factor, and a number of requests per second.
type ColdTolerance struct{ Overage, Slack float64 }

// coldDeciders is the number of VMs that may send to the same cold server at a time: in a partition, each side has one that decides.
const coldDeciders = 2

// WithColdTolerance returns the configuration with limits on the requests to cold servers, for services that state a rate. The
// zero tolerance sets none.
func (c *Config) WithColdTolerance(t ColdTolerance) *Config {
	if t == (ColdTolerance{}) {
		return c
	}
	limited := *c
	limited.Services = maps.Clone(c.Services)
	for name, s := range limited.Services {
		if s.ColdRate > 0 {
			s.ColdStarts = max(int((s.ColdRate*t.Overage+t.Slack)/coldDeciders), 1)
			limited.Services[name] = s
		}
	}
	return &limited
}

// Service returns the service for a request of the route, or "" if all weights are 0. It distributes request IDs by
// weight; the same ID always gets the same service.
func (r Route) Service(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := int(xxhash.Sum64String(id) % uint64(total)) //nolint:gosec // below total
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return ""
}

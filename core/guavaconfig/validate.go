package guavaconfig

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// ValidationError is one invalid value in the declarations.
type ValidationError struct {
	Path    string // for example accounts[bank].rate
	Value   string
	Allowed string // the values that are allowed
}

// ValidationErrors lists all invalid values that were found. It implements error.
type ValidationErrors []ValidationError

// Error implements error.
func (p ValidationErrors) Error() string {
	lines := make([]string, 0, len(p))
	for _, x := range p {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", x.Path, x.Value, x.Allowed))
	}
	return strings.Join(lines, "\n")
}

// WithFile returns the errors with the name of the file before each path.
func (p ValidationErrors) WithFile(file string) ValidationErrors {
	named := slices.Clone(p)
	for i := range named {
		named[i].Path = file + ": " + named[i].Path
	}
	return named
}

func (p *ValidationErrors) add(path string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	*p = append(*p, ValidationError{Path: path, Value: text, Allowed: allowed})
}

// redacted replaces a secret value in error messages.
type redacted struct{}

// String implements fmt.Stringer.
func (redacted) String() string { return "hidden" }

const nameRule = "a name of 1 to 63 letters, digits, dots, dashes and underscores that starts with a letter or digit"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate checks the declarations including references between them. Its error is of type ValidationErrors.
func Validate(d Declarations) error {
	c := validator{
		domains:        index(d.Domains, domainName),
		accounts:       index(d.Accounts, accountName),
		routes:         index(d.Routes, routeName),
		models:         index(d.Models, modelName),
		services:       make(map[string]bool),
		serversByModel: make(map[string]int),
	}
	for _, b := range d.Servers {
		if b.Service != "" {
			c.services[b.Service] = true
		}
		for _, m := range b.Models {
			c.serversByModel[m]++
		}
	}
	checkItems(&c, "domains", d.Domains, domainName, c.domain)
	checkItems(&c, "accounts", d.Accounts, accountName, c.account)
	checkItems(&c, "keys", d.Keys, keyName, c.key)
	checkItems(&c, "routes", d.Routes, routeName, c.route)
	checkItems(&c, "models", d.Models, modelName, c.model)
	checkItems(&c, "servers", d.Servers, serverName, c.server)
	c.checkOverlaps(d.Routes)
	checkUnique(&c, "keys", "hash", d.Keys, keyName, func(k Key) string { return k.Hash }, true)
	checkUnique(&c, "servers", "address", d.Servers, serverName, func(b BackendServer) string { return b.Address }, false)
	if len(c.errs) == 0 {
		return nil
	}
	return c.errs
}

type validator struct {
	errs           ValidationErrors
	domains        map[string]FailureDomain
	accounts       map[string]ClientAccount
	routes         map[string]Route
	models         map[string]Model
	services       map[string]bool
	serversByModel map[string]int // number of declared backend servers by model
}

// checkItems checks that the names of a list are valid and unique, and calls check for every item.
func checkItems[T any](c *validator, list string, items []T, name func(T) string, check func(path string, item T)) {
	seen := make(map[string]bool, len(items))
	for i, it := range items {
		n := name(it)
		path := fmt.Sprintf("%s[%s]", list, n)
		if n == "" {
			path = fmt.Sprintf("%s[%d]", list, i)
		}
		if !namePattern.MatchString(n) {
			c.errs.add(path+".name", n, nameRule)
		} else if seen[n] {
			c.errs.add(path+".name", n, "a name that no other of the "+list+" has")
		}
		seen[n] = true
		check(path, it)
	}
}

func (c *validator) domain(path string, f FailureDomain) {
	if !namePattern.MatchString(f.Region) {
		c.errs.add(path+".region", f.Region, nameRule)
	}
	if f.VMSlots < 1 {
		c.errs.add(path+".slots", f.VMSlots, "a whole number of 1 or more")
	}
}

func (c *validator) account(path string, a ClientAccount) {
	checkMin(c, path+".rate", a.Rate, 0)
	if a.Rate > 0 {
		// With a burst below 1 the token bucket never contains the whole token that a request needs.
		checkMin(c, path+".burst", a.Burst, 1)
	} else {
		checkMin(c, path+".burst", a.Burst, 0)
	}
	if !(a.Weight > 0) || math.IsInf(a.Weight, 0) {
		c.errs.add(path+".weight", a.Weight, "a number above 0")
	}
	checkReferences(c, path+".routes", a.Routes, c.routes, "route")
}

func (c *validator) key(path string, k Key) {
	if _, ok := c.accounts[k.Account]; !ok {
		c.errs.add(path+".account", k.Account, "the name of a declared account")
	}
	if !hashPattern.MatchString(k.Hash) {
		c.errs.add(path+".hash", redacted{}, "the SHA-256 of the secret as 64 lower-case hexadecimal digits")
	}
	checkReferences(c, path+".routes", k.Routes, c.routes, "route")
}

func (c *validator) route(path string, r Route) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?#% ") || strings.Contains(r.Path, "//") {
		c.errs.add(path+".path", r.Path, "a path that starts with / and has no empty segment, query, escape or space")
	}
	if r.Service != "" && !c.services[r.Service] {
		c.errs.add(path+".service", r.Service, "the service of a declared server")
	}
	if r.Deadline < 0 {
		c.errs.add(path+".deadline", r.Deadline, "milliseconds, 0 or more")
	}
}

func (c *validator) model(path string, m Model) {
	if m.Version == "" {
		c.errs.add(path+".version", m.Version, "a version")
	}
	for i, a := range m.Adapters {
		if !namePattern.MatchString(a) {
			c.errs.add(fmt.Sprintf("%s.adapters[%d]", path, i), a, nameRule)
		} else if slices.Contains(m.Adapters[:i], a) {
			c.errs.add(fmt.Sprintf("%s.adapters[%d]", path, i), a, "an adapter that is not yet listed")
		}
	}
	if m.MinServers < 0 || m.MinServers > c.serversByModel[m.Name] {
		c.errs.add(path+".least", m.MinServers, fmt.Sprintf("0 to %d, the number of servers declared for the model", c.serversByModel[m.Name]))
	}
}

func (c *validator) server(path string, b BackendServer) {
	if a, err := netip.ParseAddrPort(b.Address); err != nil || a.Port() == 0 {
		c.errs.add(path+".address", b.Address, "an IP number and port")
	}
	if _, ok := c.domains[b.Domain]; !ok {
		c.errs.add(path+".domain", b.Domain, "the name of a declared domain")
	}
	if b.Service != "" && len(b.Models) > 0 {
		c.errs.add(path+".models", b.Models, "none for the server of a service")
	}
	checkReferences(c, path+".models", b.Models, c.models, "model")
}

// checkOverlaps reports routes with the same path. A path below another is no overlap, because the longest prefix wins.
func (c *validator) checkOverlaps(routes []Route) {
	seen := make(map[string]string, len(routes))
	for _, r := range routes {
		p := strings.TrimSuffix(r.Path, "/")
		if other, ok := seen[p]; ok && other != r.Name {
			c.errs.add(fmt.Sprintf("routes[%s].path", r.Name), r.Path, fmt.Sprintf("a path other than that of route %q", other))
		}
		seen[p] = r.Name
	}
}

// checkUnique reports items with different names and the same value in a field.
func checkUnique[T any](c *validator, list, field string, items []T, name, value func(T) string, secret bool) {
	seen := make(map[string]string, len(items))
	for _, it := range items {
		v := value(it)
		if other, ok := seen[v]; ok && other != name(it) && v != "" {
			var shown any = v
			if secret {
				shown = redacted{}
			}
			c.errs.add(fmt.Sprintf("%s[%s].%s", list, name(it), field), shown, fmt.Sprintf("another %s than that of %q", field, other))
		}
		seen[v] = name(it)
	}
}

func checkMin(c *validator, path string, v, minimum float64) {
	if !(v >= minimum) || math.IsInf(v, 0) {
		c.errs.add(path, v, fmt.Sprintf("a number of %v or more", minimum))
	}
}

func checkReferences[T any](c *validator, path string, names []string, declared map[string]T, kind string) {
	for i, n := range names {
		if _, ok := declared[n]; !ok {
			c.errs.add(fmt.Sprintf("%s[%d]", path, i), n, "the name of a declared "+kind)
		}
	}
}

package guavaconfig

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// ValidationError is one fault of a declaration.
type ValidationError struct {
	Path    string // for example accounts[bank].rate
	Value   string
	Allowed string
}

// ValidationErrors are all faults that were found. It implements error.
type ValidationErrors []ValidationError

// Error implements error.
func (p ValidationErrors) Error() string {
	lines := make([]string, 0, len(p))
	for _, x := range p {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", x.Path, x.Value, x.Allowed))
	}
	return strings.Join(lines, "\n")
}

// WithFile returns the faults with the name of the file before each path.
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

// hidden stands for a value that must not be shown.
type hidden struct{}

// String implements fmt.Stringer.
func (hidden) String() string { return "hidden" }

const nameRule = "a name of 1 to 63 letters, digits, dots, dashes and underscores that starts with a letter or digit"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate checks declarations as a whole. Its error is ValidationErrors.
func Validate(d Declarations) error {
	c := checker{
		domains:  index(d.Domains, domainName),
		accounts: index(d.Accounts, accountName),
		routes:   index(d.Routes, routeName),
		models:   index(d.Models, modelName),
		services: make(map[string]bool),
		serving:  make(map[string]int),
	}
	for _, b := range d.Servers {
		if b.Service != "" {
			c.services[b.Service] = true
		}
		for _, m := range b.Models {
			c.serving[m]++
		}
	}
	each(&c, "domains", d.Domains, domainName, c.domain)
	each(&c, "accounts", d.Accounts, accountName, c.account)
	each(&c, "keys", d.Keys, keyName, c.key)
	each(&c, "routes", d.Routes, routeName, c.route)
	each(&c, "models", d.Models, modelName, c.model)
	each(&c, "servers", d.Servers, serverName, c.server)
	c.overlaps(d.Routes)
	repeats(&c, "keys", "hash", d.Keys, keyName, func(k Key) string { return k.Hash }, true)
	repeats(&c, "servers", "address", d.Servers, serverName, func(b BackendServer) string { return b.Address }, false)
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

type checker struct {
	problems ValidationErrors
	domains  map[string]FailureDomain
	accounts map[string]ClientAccount
	routes   map[string]Route
	models   map[string]Model
	services map[string]bool
	serving  map[string]int // declared backend servers by model
}

// each checks the names of a list and then every item.
func each[T any](c *checker, list string, items []T, name func(T) string, check func(path string, item T)) {
	seen := make(map[string]bool, len(items))
	for i, it := range items {
		n := name(it)
		path := fmt.Sprintf("%s[%s]", list, n)
		if n == "" {
			path = fmt.Sprintf("%s[%d]", list, i)
		}
		if !namePattern.MatchString(n) {
			c.problems.add(path+".name", n, nameRule)
		} else if seen[n] {
			c.problems.add(path+".name", n, "a name that no other of the "+list+" has")
		}
		seen[n] = true
		check(path, it)
	}
}

func (c *checker) domain(path string, f FailureDomain) {
	if !namePattern.MatchString(f.Region) {
		c.problems.add(path+".region", f.Region, nameRule)
	}
	if f.VMSlots < 1 {
		c.problems.add(path+".slots", f.VMSlots, "a whole number of 1 or more")
	}
}

func (c *checker) account(path string, a ClientAccount) {
	atLeast(c, path+".rate", a.Rate, 0)
	if a.Rate > 0 {
		// With a burst below one request no request would ever find a whole token.
		atLeast(c, path+".burst", a.Burst, 1)
	} else {
		atLeast(c, path+".burst", a.Burst, 0)
	}
	if !(a.Weight > 0) || math.IsInf(a.Weight, 0) {
		c.problems.add(path+".weight", a.Weight, "a number above 0")
	}
	references(c, path+".routes", a.Routes, c.routes, "route")
}

func (c *checker) key(path string, k Key) {
	if _, ok := c.accounts[k.Account]; !ok {
		c.problems.add(path+".account", k.Account, "the name of a declared account")
	}
	if !hashPattern.MatchString(k.Hash) {
		c.problems.add(path+".hash", hidden{}, "the SHA-256 of the secret as 64 lower-case hexadecimal digits")
	}
	references(c, path+".routes", k.Routes, c.routes, "route")
}

func (c *checker) route(path string, r Route) {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?#% ") || strings.Contains(r.Path, "//") {
		c.problems.add(path+".path", r.Path, "a path that starts with / and has no empty segment, query, escape or space")
	}
	if r.Service != "" && !c.services[r.Service] {
		c.problems.add(path+".service", r.Service, "the service of a declared server")
	}
	if r.Deadline < 0 {
		c.problems.add(path+".deadline", r.Deadline, "milliseconds, 0 or more")
	}
}

func (c *checker) model(path string, m Model) {
	if m.Version == "" {
		c.problems.add(path+".version", m.Version, "a version")
	}
	for i, a := range m.Adapters {
		if !namePattern.MatchString(a) {
			c.problems.add(fmt.Sprintf("%s.adapters[%d]", path, i), a, nameRule)
		} else if slices.Contains(m.Adapters[:i], a) {
			c.problems.add(fmt.Sprintf("%s.adapters[%d]", path, i), a, "an adapter that is not yet listed")
		}
	}
	if m.MinServers < 0 || m.MinServers > c.serving[m.Name] {
		c.problems.add(path+".least", m.MinServers, fmt.Sprintf("0 to %d, the number of servers declared for the model", c.serving[m.Name]))
	}
}

func (c *checker) server(path string, b BackendServer) {
	if a, err := netip.ParseAddrPort(b.Address); err != nil || a.Port() == 0 {
		c.problems.add(path+".address", b.Address, "an IP number and port")
	}
	if _, ok := c.domains[b.Domain]; !ok {
		c.problems.add(path+".domain", b.Domain, "the name of a declared domain")
	}
	if b.Service != "" && len(b.Models) > 0 {
		c.problems.add(path+".models", b.Models, "none for the server of a service")
	}
	references(c, path+".models", b.Models, c.models, "model")
}

// overlaps finds routes that match the same paths. A path below another is no overlap, because the longest wins.
func (c *checker) overlaps(routes []Route) {
	seen := make(map[string]string, len(routes))
	for _, r := range routes {
		p := strings.TrimSuffix(r.Path, "/")
		if other, ok := seen[p]; ok && other != r.Name {
			c.problems.add(fmt.Sprintf("routes[%s].path", r.Name), r.Path, fmt.Sprintf("a path other than that of route %q", other))
		}
		seen[p] = r.Name
	}
}

// repeats finds items of different names that share a value.
func repeats[T any](c *checker, list, field string, items []T, name, value func(T) string, secret bool) {
	seen := make(map[string]string, len(items))
	for _, it := range items {
		v := value(it)
		if other, ok := seen[v]; ok && other != name(it) && v != "" {
			var shown any = v
			if secret {
				shown = hidden{}
			}
			c.problems.add(fmt.Sprintf("%s[%s].%s", list, name(it), field), shown, fmt.Sprintf("another %s than that of %q", field, other))
		}
		seen[v] = name(it)
	}
}

func atLeast(c *checker, path string, v, least float64) {
	if !(v >= least) || math.IsInf(v, 0) {
		c.problems.add(path, v, fmt.Sprintf("a number of %v or more", least))
	}
}

func references[T any](c *checker, path string, names []string, declared map[string]T, kind string) {
	for i, n := range names {
		if _, ok := declared[n]; !ok {
			c.problems.add(fmt.Sprintf("%s[%d]", path, i), n, "the name of a declared "+kind)
		}
	}
}

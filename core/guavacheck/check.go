// Package guavacheck checks a configuration before the operator sends it, and tells what it changes.
package guavacheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"guavaridge/core/guavatraffic"
)

// Severity is how much a finding matters.
type Severity string

// The severities of findings.
const (
	// Error is for entries that can't work as they are written.
	Error Severity = "error"
	// Warning is for entries without an effect, or with one that is hardly meant.
	Warning Severity = "warning"
)

// Finding is something about an entry that the operator should know before the configuration is sent.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the kind and the name of the entry, such as "route orders".
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// maxHeaderBytes is the largest header that VMs read, whatever the configuration allows.
const maxHeaderBytes = 16 << 10

// checker collects findings.
type checker struct {
	declaration guavatraffic.Declaration
	findings    []Finding
}

// Check returns what is wrong with a configuration, in the order of its entries.
func Check(d guavatraffic.Declaration) []Finding {
	c := &checker{declaration: d}
	if d.Version == 0 {
		c.add(Error, "version", "is 0 or missing")
	}
	c.checkLimits()
	for i := range d.Routes {
		c.checkRoute(i)
	}
	for i := range d.Services {
		c.checkService(i)
	}
	for i := range d.Accounts {
		c.checkAccount(i)
	}
	return c.findings
}

// HasErrors reports whether a finding is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Error })
}

func (c *checker) add(s Severity, entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkLimits() {
	l := c.declaration.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTime < 0 || l.IdleTime < 0 {
		c.add(Error, "limits", "a limit is negative")
	}
	if l.HeaderBytes > maxHeaderBytes {
		c.add(Error, "limits", "headers of up to %d bytes are allowed, and VMs reject those over %d", l.HeaderBytes, maxHeaderBytes)
	}
	if l.IdleTime > 0 && l.HeaderTime > l.IdleTime {
		c.add(Warning, "limits", "the head of a request may take %v, longer than a connection may be idle (%v)", l.HeaderTime, l.IdleTime)
	}
}

func (c *checker) checkRoute(i int) {
	r := c.declaration.Routes[i]
	entry := "route " + r.Name
	if r.Name == "" {
		entry = fmt.Sprintf("route number %d", i+1)
		c.add(Error, entry, "has no name")
	}
	if r.Host == "" {
		c.add(Error, entry, "has no host, so no request can match it")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, entry, "has prefix %q, want one that begins and ends with a slash", r.Prefix)
	}
	for _, other := range c.declaration.Routes[:i] {
		if r.Name != "" && r.Name == other.Name {
			c.add(Error, entry, "is declared twice")
		}
		if strings.EqualFold(r.Host, other.Host) && r.Prefix == other.Prefix {
			c.add(Error, entry, "can never match: route %s has the same host and prefix", other.Name)
		}
	}
	if slices.Contains(c.declaration.UnknownKinds, r.Name) {
		c.add(Error, entry, "has an unknown kind, and would run requests at most once")
	}
	c.checkTargets(entry, r)
	c.checkTimes(entry, r)
}

func (c *checker) checkTargets(entry string, r guavatraffic.Route) {
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			c.add(Error, entry, "has a negative weight for service %s", t.Service)
		}
		total += max(t.Weight, 0)
		if t.Weight > 0 && !slices.ContainsFunc(c.declaration.Services, func(s guavatraffic.Service) bool { return s.Name == t.Service }) {
			c.add(Error, entry, "names service %q, which is not declared", t.Service)
		}
	}
	if total == 0 {
		c.add(Error, entry, "has no service with a weight above 0")
	}
}

func (c *checker) checkTimes(entry string, r guavatraffic.Route) {
	isStream, isBatch := r.Kind == guavatraffic.Stream, r.Kind == guavatraffic.Batch
	if r.Timeout > 0 && r.Target > r.Timeout {
		c.add(Error, entry, "has a latency target of %v, beyond its timeout of %v", r.Target, r.Timeout)
	}
	if isBatch && r.CompletionTarget <= 0 {
		c.add(Error, entry, "has no completion target, so no item can be in time")
	}
	if isBatch && r.Retention > 0 && r.Retention < r.CompletionTarget {
		c.add(Error, entry, "abandons items after %v, before their completion target of %v", r.Retention, r.CompletionTarget)
	}
	if !isBatch && (r.CompletionTarget > 0 || r.WaitingTokens > 0) {
		c.add(Warning, entry, "has limits for jobs, but takes none")
	}
	if !isStream && r.Resumable {
		c.add(Warning, entry, "is resumable, but its responses are no streams")
	}
	if !isBatch && !r.Repeatable() && r.Attempts > 1 {
		c.add(Warning, entry, "allows %d attempts, but its requests must not be repeated", r.Attempts)
	}
}

func (c *checker) checkService(i int) {
	s := c.declaration.Services[i]
	entry := "service " + s.Name
	if s.Name == "" {
		c.add(Error, fmt.Sprintf("service number %d", i+1), "has no name")
		return
	}
	if slices.ContainsFunc(c.declaration.Services[:i], func(o guavatraffic.Service) bool { return o.Name == s.Name }) {
		c.add(Error, entry, "is declared twice; the last declaration counts")
	}
	if !slices.ContainsFunc(c.declaration.Routes, func(r guavatraffic.Route) bool {
		return slices.ContainsFunc(r.Targets, func(t guavatraffic.Target) bool { return t.Service == s.Name && t.Weight > 0 })
	}) {
		c.add(Warning, entry, "gets no requests: no route names it")
	}
	if s.ColdRate > 0 && s.ColdTime <= 0 {
		c.add(Warning, entry, "tolerates %v requests/s while it is cold, but is never cold", s.ColdRate)
	}
}

func (c *checker) checkAccount(i int) {
	a := c.declaration.Accounts[i]
	entry := "account " + a.Name
	if a.Name == "" {
		c.add(Error, fmt.Sprintf("account number %d", i+1), "has no name")
		return
	}
	if slices.ContainsFunc(c.declaration.Accounts[:i], func(o guavatraffic.Account) bool { return o.Name == a.Name }) {
		c.add(Error, entry, "is declared twice; the last declaration counts")
	}
	if len(a.Keys) == 0 {
		c.add(Warning, entry, "has no key, so no request can use it")
	}
	if slices.Contains(a.Keys, "") {
		c.add(Error, entry, "has an empty key")
	}
	for _, other := range c.declaration.Accounts[:i] {
		for _, k := range a.Keys {
			if other.Name != a.Name && slices.Contains(other.Keys, k) {
				c.add(Error, entry, "has a key of account %s, whose requests would count for this one", other.Name)
			}
		}
	}
	if a.Rate < 0 || a.Burst < 0 {
		c.add(Error, entry, "has a negative rate or burst")
	}
	if a.Rate == 0 && a.Burst > 0 {
		c.add(Warning, entry, "has a burst of %v, but no rate, so it has no limit", a.Burst)
	}
	if a.Rate > 0 && a.Burst < 1 {
		c.add(Warning, entry, "has a burst of %v; it counts as 1", a.Burst)
	}
}

// Change is a difference between two configurations.
type Change struct {
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// Compare returns what a configuration changes against the one in force, in the order of its entries. Keys are counted, not shown.
func Compare(inForce, next guavatraffic.Declaration) (changes []Change, findings []Finding) {
	if next.Version <= inForce.Version {
		findings = append(findings, Finding{
			Severity: Error, Entry: "version",
			Text: fmt.Sprintf("is %d, and %d is in force: VMs ignore older versions", next.Version, inForce.Version),
		})
	}
	if next.Limits != inForce.Limits {
		changes = append(changes, Change{Entry: "limits", Text: fmt.Sprintf("%+v, was %+v", next.Limits, inForce.Limits)})
	}
	changes = append(changes, compare("route", inForce.Routes, next.Routes, func(r guavatraffic.Route) string { return r.Name }, routeChange)...)
	changes = append(changes, compare("service", inForce.Services, next.Services, func(s guavatraffic.Service) string { return s.Name },
		func(a, b guavatraffic.Service) string {
			if a == b {
				return ""
			}
			return fmt.Sprintf("%+v, was %+v", b, a)
		})...)
	changes = append(changes, compare("account", inForce.Accounts, next.Accounts, func(a guavatraffic.Account) string { return a.Name }, accountChange)...)
	return changes, findings
}

// compare returns the entries of a kind that were added, removed or changed. describe returns "" for equal ones.
func compare[T any](kind string, old, next []T, name func(T) string, describe func(a, b T) string) (changes []Change) {
	find := func(list []T, n string) (T, bool) {
		if i := slices.IndexFunc(list, func(v T) bool { return name(v) == n }); i >= 0 {
			return list[i], true
		}
		var none T
		return none, false
	}
	for _, v := range next {
		if before, ok := find(old, name(v)); !ok {
			changes = append(changes, Change{Entry: kind + " " + name(v), Text: "added"})
		} else if text := describe(before, v); text != "" {
			changes = append(changes, Change{Entry: kind + " " + name(v), Text: text})
		}
	}
	for _, v := range old {
		if _, ok := find(next, name(v)); !ok {
			changes = append(changes, Change{Entry: kind + " " + name(v), Text: "removed"})
		}
	}
	return changes
}

func routeChange(a, b guavatraffic.Route) string {
	var parts []string
	note := func(what string, before, after any) {
		if fmt.Sprint(before) != fmt.Sprint(after) {
			parts = append(parts, fmt.Sprintf("%s %v, was %v", what, after, before))
		}
	}
	note("host", a.Host, b.Host)
	note("prefix", a.Prefix, b.Prefix)
	note("kind", a.Kind, b.Kind)
	note("services", a.Targets, b.Targets)
	note("priority", a.Priority, b.Priority)
	for _, t := range []struct {
		what string
		a, b time.Duration
	}{
		{"timeout", a.Timeout, b.Timeout},
		{"latency target", a.Target, b.Target},
		{"gap target", a.GapTarget, b.GapTarget},
		{"completion target", a.CompletionTarget, b.CompletionTarget},
		{"retention", a.Retention, b.Retention},
	} {
		note(t.what, t.a, t.b)
	}
	note("waiting tokens", a.WaitingTokens, b.WaitingTokens)
	note("attempts", a.Attempts, b.Attempts)
	note("open", a.Open, b.Open)
	note("resumable", a.Resumable, b.Resumable)
	return strings.Join(parts, "; ")
}

func accountChange(a, b guavatraffic.Account) string {
	var parts []string
	count := func(list, other []string) (n int) {
		for _, k := range list {
			if !slices.Contains(other, k) {
				n++
			}
		}
		return n
	}
	if added, removed := count(b.Keys, a.Keys), count(a.Keys, b.Keys); added+removed > 0 {
		parts = append(parts, fmt.Sprintf("%d keys added, %d withdrawn", added, removed))
	}
	if a.Rate != b.Rate || a.Burst != b.Burst {
		parts = append(parts, fmt.Sprintf("rate %v/s with burst %v, was %v/s with %v", b.Rate, b.Burst, a.Rate, a.Burst))
	}
	priority := func(p *int) string {
		if p == nil {
			return "that of the route"
		}
		return fmt.Sprint(*p)
	}
	if priority(a.Priority) != priority(b.Priority) {
		parts = append(parts, fmt.Sprintf("priority %s, was %s", priority(b.Priority), priority(a.Priority)))
	}
	return strings.Join(parts, "; ")
}

package guavaroster

import (
	"maps"
	"slices"

	"guavaridge/core/guavatraffic"
)

// Status is whether a server accepts requests.
type Status string

// Statuses of a server.
const (
	// Usable servers accept requests.
	Usable Status = "usable"
	// Leaving servers accept no new requests.
	Leaving Status = "leaving"
	// Unknown servers are not in the list, or belong to another service.
	Unknown Status = "unknown"
)

// List is the list of backend servers at one time. It is immutable.
type List struct {
	servers map[string]guavatraffic.Server // Leaving takes notices into account
	notices map[guavatraffic.Incarnation]bool
}

// Status returns the status of a server for requests for a service. A notice of the incarnation also counts if the list
// has another one, as it may be older than the decision to use the server.
func (l *List) Status(service string, i guavatraffic.Incarnation) Status {
	s, ok := l.servers[i.ID]
	switch {
	case l.notices[i] || (ok && s.Leaving):
		return Leaving
	case !ok || s.Service != service:
		return Unknown
	}
	return Usable
}

// HasNotice reports whether the server said in a response that it is leaving.
func (l *List) HasNotice(i guavatraffic.Incarnation) bool { return l.notices[i] }

// Notices returns the servers of a service that said in a response that they are leaving.
func (l *List) Notices(service string) []guavatraffic.Incarnation {
	var list []guavatraffic.Incarnation
	for _, s := range l.servers {
		if i := s.Incarnation(); s.Service == service && l.notices[i] {
			list = append(list, i)
		}
	}
	return list
}

// Servers returns all servers. Leaving is set on those that say so in their entry or in a response.
func (l *List) Servers() []guavatraffic.Server { return slices.Collect(maps.Values(l.servers)) }

// Len returns the number of servers.
func (l *List) Len() int { return len(l.servers) }

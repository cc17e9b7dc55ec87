package guavapeer

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/core/guavapoison"
	"guavaridge/io/guavaschema"
)

// outgoing is the full content of one message, before delta encoding.
type outgoing struct {
	counter, echo  uint64
	age            time.Duration
	head           uint64
	loans          uint64
	draining       bool
	payload        Payload
	updates        []guavamember.Update
	known          []guavamember.Update
	requestMembers bool
}

// encoder encodes messages as deltas to the values sent before on the same stream.
type encoder struct {
	self    guavamember.Identity
	started bool
	last    outgoing
	names   map[string]uint32
	loads   map[string]Load
	poison  map[guavapoison.Report]bool
	cancels map[string]bool
	updates map[string]guavamember.Update
}

func newEncoder(self guavamember.Identity) *encoder {
	return &encoder{
		self:    self,
		names:   map[string]uint32{},
		loads:   map[string]Load{},
		poison:  map[guavapoison.Report]bool{},
		cancels: map[string]bool{},
		updates: map[string]guavamember.Update{},
	}
}

// encode returns the message and records its content as sent.
func (e *encoder) encode(o outgoing) *guavaschema.PeerMessage {
	m := &guavaschema.PeerMessage{Age: uint32(o.age.Milliseconds()), All: o.requestMembers}
	if !e.started {
		m.Self = identityMessage(e.self)
	}
	if !e.started || o.counter != e.last.counter+1 {
		m.Counter = &o.counter
	}
	if !e.started || o.echo != e.last.echo+1 {
		m.Echo = &o.echo
	}
	if !e.started || o.head != e.last.head {
		m.Head = &o.head
	}
	if !e.started || o.loans != e.last.loans {
		m.Loans = &o.loans
	}
	if !e.started || o.draining != e.last.draining {
		m.Draining = &o.draining
	}
	e.encodeLoads(m, o.payload.Loads)
	e.encodeArrivals(m, o.payload.Arrivals)
	m.Poison = poisonMessages(takeUnsent(e.poison, o.payload.Poison))
	m.Cancels = takeUnsent(e.cancels, o.payload.Cancels)
	for _, n := range o.updates {
		if e.updates[n.Name] != n {
			e.updates[n.Name] = n
			m.News = append(m.News, updateMessage(n))
		}
	}
	for _, n := range o.known {
		m.Known = append(m.Known, updateMessage(n))
	}
	e.started = true
	e.last = o
	return m
}

func (e *encoder) encodeLoads(m *guavaschema.PeerMessage, loads []Load) {
	for _, l := range loads {
		l.KV = math.Round(l.KV*100) / 100
		l.Age = l.Age.Round(ageUnit)
		if old, ok := e.loads[l.Server]; ok && old == l {
			continue
		}
		i := e.index(m, l.Server)
		if e.loads[l.Server].Slots != l.Slots {
			m.Slots = append(m.Slots, i, l.Slots)
		}
		e.loads[l.Server] = l
		m.Loads = append(m.Loads, i, l.Running, l.Waiting, uint32(math.Round(l.KV*100)), uint32(l.Age/ageUnit))
	}
	if len(e.loads) == len(loads) {
		return
	}
	for s := range e.loads {
		if !slices.ContainsFunc(loads, func(l Load) bool { return l.Server == s }) {
			delete(e.loads, s)
			m.Dropped = append(m.Dropped, e.names[s])
		}
	}
}

// encodeArrivals packs the arrivals into one byte per backend server, so 50 servers take 50 bytes instead of 150.
func (e *encoder) encodeArrivals(m *guavaschema.PeerMessage, arrivals map[string]uint32) {
	counts := make([][2]uint32, 0, len(arrivals))
	for s, n := range arrivals {
		if n > 0 {
			counts = append(counts, [2]uint32{e.index(m, s), n - 1})
		}
	}
	slices.SortFunc(counts, func(a, b [2]uint32) int { return int(a[0]) - int(b[0]) })
	var next uint32
	for _, c := range counts {
		distance, n := c[0]-next, c[1]
		m.Arrivals = append(m.Arrivals, byte(min(distance, maxDistance)<<2|min(n, maxCount)))
		if distance >= maxDistance {
			m.Arrivals = binary.AppendUvarint(m.Arrivals, uint64(distance-maxDistance))
		}
		if n >= maxCount {
			m.Arrivals = binary.AppendUvarint(m.Arrivals, uint64(n-maxCount))
		}
		next = c[0] + 1
	}
}

// index returns the index of a backend server's name in the dictionary, which it extends if needed.
func (e *encoder) index(m *guavaschema.PeerMessage, name string) uint32 {
	i, ok := e.names[name]
	if !ok {
		i = uint32(len(e.names))
		e.names[name] = i
		m.Names = append(m.Names, name)
	}
	return i
}

// takeUnsent returns the values that are not in sent, and replaces the content of sent by values.
func takeUnsent[T comparable](sent map[T]bool, values []T) []T {
	var unsent []T
	for _, v := range values {
		if !sent[v] {
			unsent = append(unsent, v)
		}
	}
	if len(sent) == 0 && len(values) == 0 {
		return nil
	}
	clear(sent)
	for _, v := range values {
		sent[v] = true
	}
	return unsent
}

const (
	// ageUnit is the unit of a load report's age in messages.
	ageUnit = 50 * time.Millisecond
	// maxDistance and maxCount are the largest values that a byte of arrivals holds. At these values a varint with the
	// excess follows.
	maxDistance = 63
	maxCount    = 3
)

var states = []guavamember.State{"", guavamember.Alive, guavamember.Suspect, guavamember.Dead, guavamember.Leaving}

func identityMessage(id guavamember.Identity) *guavaschema.PeerIdentity {
	return &guavaschema.PeerIdentity{Name: id.Name, Domain: id.Domain, Region: id.Region, Address: id.Address, Incarnation: id.Incarnation}
}

func updateMessage(n guavamember.Update) *guavaschema.PeerNews {
	return &guavaschema.PeerNews{Identity: identityMessage(n.Identity), State: guavaschema.PeerState(slices.Index(states, n.State))}
}

func identityOf(m *guavaschema.PeerIdentity) guavamember.Identity {
	return guavamember.Identity{
		Name: m.GetName(), Domain: m.GetDomain(), Region: m.GetRegion(),
		Address: m.GetAddress(), Incarnation: m.GetIncarnation(),
	}
}

func updatesOf(ms []*guavaschema.PeerNews) []guavamember.Update {
	news := make([]guavamember.Update, 0, len(ms))
	for _, m := range ms {
		if s := int(m.GetState()); s > 0 && s < len(states) {
			news = append(news, guavamember.Update{Identity: identityOf(m.GetIdentity()), State: states[s]})
		}
	}
	return news
}

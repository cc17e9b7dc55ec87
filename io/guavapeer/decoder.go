package guavapeer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavamember"
	"guavaridge/io/guavaschema"
)

// incoming is the content of one received message, completed with values of earlier messages on the stream.
type incoming struct {
	from           guavamember.Identity
	counter        uint64
	echo           uint64
	age            time.Duration
	head           uint64
	loans          uint64
	draining       bool
	payload        Payload
	updates        []guavamember.Update
	known          []guavamember.Update
	requestMembers bool
}

// maxNames bounds the dictionary of one stream, which holds the names of a domain's backend servers and their
// replacements.
const maxNames = 20000

var errMessage = errors.New("malformed exchange message")

// decoder reconstructs the full content of the delta-encoded messages on one stream.
type decoder struct {
	started bool
	last    incoming
	names   []string
	loads   map[uint32]Load
	slots   map[uint32]uint32
}

// decode returns the content of the next message.
func (d *decoder) decode(m *guavaschema.PeerMessage) (incoming, error) {
	if m.GetSelf() != nil {
		*d = decoder{loads: map[uint32]Load{}, slots: map[uint32]uint32{}}
		d.last.from = identityOf(m.GetSelf())
	} else if !d.started {
		return incoming{}, errors.Wrap(errMessage, "first message has no identity")
	}
	d.started = true
	in := incoming{
		from: d.last.from, counter: d.last.counter + 1, echo: d.last.echo + 1, age: time.Duration(m.GetAge()) * time.Millisecond,
		head: d.last.head, loans: d.last.loans, draining: d.last.draining, requestMembers: m.GetAll(),
	}
	if m.Counter != nil {
		in.counter = m.GetCounter()
	}
	if m.Echo != nil {
		in.echo = m.GetEcho()
	}
	if m.Head != nil {
		in.head = m.GetHead()
	}
	if m.Loans != nil {
		in.loans = m.GetLoans()
	}
	if m.Draining != nil {
		in.draining = m.GetDraining()
	}
	if err := d.decodeServers(m, &in.payload); err != nil {
		return incoming{}, err
	}
	in.payload.Poison = poisonReports(m.GetPoison())
	in.payload.Cancels = m.GetCancels()
	in.updates = updatesOf(m.GetNews())
	in.known = updatesOf(m.GetKnown())
	d.last = in
	d.last.payload, d.last.updates, d.last.known = Payload{}, nil, nil
	return in, nil
}

func (d *decoder) decodeServers(m *guavaschema.PeerMessage, p *Payload) error {
	d.names = append(d.names, m.GetNames()...)
	if len(d.names) > maxNames {
		return errors.Wrapf(errMessage, "%d names of backend servers exceed the limit", len(d.names))
	}
	loads, slots := m.GetLoads(), m.GetSlots()
	if len(loads)%5 != 0 || len(slots)%2 != 0 {
		return errors.Wrap(errMessage, "incomplete group of load or slot values")
	}
	for _, i := range m.GetDropped() {
		delete(d.loads, i)
	}
	for ; len(slots) > 0; slots = slots[2:] {
		d.slots[slots[0]] = slots[1]
	}
	for ; len(loads) > 0; loads = loads[5:] {
		i := loads[0]
		if int(i) >= len(d.names) {
			return errors.Wrapf(errMessage, "unknown backend server index %d", i)
		}
		d.loads[i] = Load{
			Server: d.names[i], Running: loads[1], Waiting: loads[2], Slots: d.slots[i],
			KV: float64(loads[3]) / 100, Age: time.Duration(loads[4]) * ageUnit,
		}
	}
	for _, l := range d.loads {
		p.Loads = append(p.Loads, l)
	}
	return d.decodeArrivals(m.GetArrivals(), p)
}

func (d *decoder) decodeArrivals(data []byte, p *Payload) error {
	if len(data) > 0 {
		p.Arrivals = make(map[string]uint32, len(data))
	}
	var next uint64
	for len(data) > 0 {
		distance, n := uint64(data[0]>>2), uint64(data[0]&maxCount)
		data = data[1:]
		for _, v := range []*uint64{&distance, &n} {
			if (v == &distance && distance == maxDistance) || (v == &n && n == maxCount) {
				extra, size := binary.Uvarint(data)
				if size <= 0 || extra > math.MaxUint32 {
					return errors.Wrap(errMessage, "invalid varint in arrivals")
				}
				*v += extra
				data = data[size:]
			}
		}
		i := next + distance
		if i >= uint64(len(d.names)) {
			return errors.Wrapf(errMessage, "unknown backend server index %d", i)
		}
		p.Arrivals[d.names[i]] = uint32(n) + 1
		next = i + 1
	}
	return nil
}

package guavaedge

import (
	"context"
	"encoding/gob"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavaridge/core/guavamember"
	"guavaridge/io/guavacoord"
	"guavaridge/io/guavafallback"
	"guavaridge/io/guavamesh"
	"guavaridge/io/guavaview"
)

const (
	// copyTime is the pause between questions for copies while the store does not answer.
	copyTime = 300 * time.Millisecond
	// copyAfter is how long the store must not have answered before another VM is asked.
	copyAfter = 200 * time.Millisecond
	// copySources is the number of VMs asked at a time, and of readers that a VM subscribes to.
	copySources = 2
	// signTime is how long the last message of a reader counts: three of the copyTime at which they come.
	signTime = 900 * time.Millisecond
	// answerTime is how old the answer of the store may be that readers pass on. It is longer than the wait of a reader's
	// question (guavaview.DefaultWait) and the pause between messages, and with the question to the store that follows it
	// stays below the 2 s in which a configuration has to be in force.
	answerTime = 1650 * time.Millisecond
	// leastReaders is the least number of readers, and readerShare the number of VMs for each further one.
	leastReaders = 3
	readerShare  = 20
)

type (
	// askCopy asks for a table if the receiver knows a change after the position.
	askCopy struct {
		Table    string
		Position uint64
	}
	// giveCopy is the answer.
	giveCopy struct{ Copy guavaview.Snapshot }
	// subscribe asks a reader to tell of all changes from now on.
	subscribe struct{}
	// deltas tells of changes, or with empty ones that there were none.
	deltas struct{ List []guavaview.Delta }
)

func init() { //nolint:gochecknoinits // gob wants types of interface values registered before their first use
	gob.Register(askCopy{})
	gob.Register(giveCopy{})
	gob.Register(subscribe{})
	// Processes of the version before sent whole rows under the plain name.
	gob.RegisterName("guavaedge.patches", deltas{})
}

// copies spreads tables of the store between VMs. A few VMs, the readers, follow the store and tell the others, which
// keeps the number of calls to the store independent of the number of VMs. A VM that hears of no reader that the store
// answers follows the store itself, and one that the store does not answer takes copies from any VM.
type copies struct {
	followers map[string]*guavaview.Follower
	fallback  *guavafallback.Store

	mu          sync.Mutex
	links       map[*guavamesh.Link]struct{}
	readers     map[string]bool // to whom this VM subscribes
	subscribers map[*guavamesh.Link]struct{}
	signs       map[string]sign // of readers, by table
}

// sign is what a reader showed last about a table.
type sign struct {
	received time.Time // when its message came
	answered time.Time // when the store gave the answer that it passed on
}

func newCopies() *copies {
	return &copies{
		followers: map[string]*guavaview.Follower{}, links: map[*guavamesh.Link]struct{}{}, readers: map[string]bool{},
		subscribers: map[*guavamesh.Link]struct{}{}, signs: map[string]sign{},
	}
}

// share makes the followers tell subscribers, and rely on readers.
func (c *copies) share() {
	for table, f := range c.followers {
		f.Share(func() bool { return c.isCovered(table) }, c.publish)
	}
}

// setVMs chooses the readers and returns those to which this VM subscribes: none if it is one of them.
func (c *copies) setVMs(self string, list []guavacoord.VM) []string {
	identities := make([]guavamember.Identity, 0, len(list))
	most := 0.0
	for _, v := range list {
		most = max(most, v.Cores)
	}
	for _, v := range list {
		if v.Cores >= most/2 {
			identities = append(identities, v.Identity)
		}
	}
	ranked := guavamember.Rank("readers", identities)
	ranked = ranked[:min(max(leastReaders, len(list)/readerShare), len(ranked))]
	var sources []string
	if !slices.ContainsFunc(ranked, func(v guavamember.Identity) bool { return v.Name == self }) {
		for _, v := range guavamember.Rank("reader/"+self, ranked)[:min(copySources, len(ranked))] {
			sources = append(sources, v.Name)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.readers
	c.readers = map[string]bool{}
	for _, name := range sources {
		c.readers[name] = true
	}
	for l := range c.links {
		if l.Outgoing && c.readers[l.Peer.Name] && !before[l.Peer.Name] {
			l.Send(subscribe{})
		}
	}
	return sources
}

// isCovered reports whether a reader that the store answers tells of the table.
func (c *copies) isCovered(table string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.signs[table]
	return len(c.readers) > 0 && time.Since(s.received) < signTime && time.Since(s.answered) < answerTime
}

// publish tells subscribers of changes.
func (c *copies) publish(d guavaview.Delta) { c.tell([]guavaview.Delta{d}) }

// beacon shows subscribers how far the tables go.
func (c *copies) beacon(now time.Time) {
	var list []guavaview.Delta
	for _, f := range c.followers { // not under the lock: followers call back with theirs held
		if d, ok := f.Heartbeat(now); ok {
			list = append(list, d)
		}
	}
	c.tell(list)
}

// tell sends deltas to subscribers.
func (c *copies) tell(list []guavaview.Delta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.subscribers {
		l.Send(deltas{List: list})
	}
}

// receive takes in what a reader tells.
func (c *copies) receive(l *guavamesh.Link, list []guavaview.Delta) {
	now := time.Now()
	for _, d := range list {
		f := c.followers[d.Table]
		if f == nil {
			continue
		}
		switch f.ApplyDelta(d) {
		case guavaview.Behind:
			position, _ := f.Position()
			l.Send(askCopy{Table: d.Table, Position: position})
			continue
		case guavaview.Overlapping:
			continue
		case guavaview.Applied:
		}
		c.mu.Lock()
		if c.readers[l.Peer.Name] {
			s := c.signs[d.Table]
			s.received = now
			if at := now.Add(-d.Age); at.After(s.answered) {
				s.answered = at
			}
			c.signs[d.Table] = s
		}
		c.mu.Unlock()
	}
}

// Linked implements guavamesh.Handler.
func (c *copies) Linked(l *guavamesh.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[l] = struct{}{}
	if l.Outgoing && c.readers[l.Peer.Name] {
		l.Send(subscribe{})
	}
}

// Lost implements guavamesh.Handler.
func (c *copies) Lost(l *guavamesh.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, l)
	delete(c.subscribers, l)
}

// Receive implements guavamesh.Handler.
func (c *copies) Receive(l *guavamesh.Link, message any) {
	switch m := message.(type) {
	case askCopy:
		if f := c.followers[m.Table]; f != nil {
			if table, ok := f.Export(m.Position); ok {
				l.Send(giveCopy{Copy: table})
			}
		}
	case giveCopy:
		if f := c.followers[m.Copy.Table]; f != nil {
			f.Import(m.Copy)
		}
	case subscribe:
		c.mu.Lock()
		c.subscribers[l] = struct{}{}
		c.mu.Unlock()
		c.beacon(time.Now())
	case deltas:
		c.receive(l, m.List)
	default:
		c.fallback.Receive(l, message)
	}
}

// run asks for copies of tables that the store does not tell about, until ctx ends.
func (c *copies) run(ctx context.Context) {
	for range every(ctx, copyTime) {
		c.beacon(time.Now())
		for table, f := range c.followers {
			if f.Outage(time.Now()) < copyAfter {
				continue
			}
			position, _ := f.Position()
			for _, l := range c.sources(copySources) {
				l.Send(askCopy{Table: table, Position: position})
			}
		}
	}
}

// sources picks up to n links at random.
func (c *copies) sources(n int) []*guavamesh.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*guavamesh.Link, 0, len(c.links))
	for l := range c.links {
		list = append(list, l)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

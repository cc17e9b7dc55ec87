package guavastandin

import (
	"container/list"
	"time"

	"guavaridge/io/guavaback"
)

// maxEvents is the maximum number of cache events that an engine retains.
const maxEvents = 4096

// prefixCache is an LRU cache of prompt prefixes with a log of its changes. It is guarded by Engine.mu.
type prefixCache struct {
	limit     int
	eventLag  time.Duration
	dropEvery int
	order     *list.List // of string, most recent first
	items     map[string]*list.Element
	seq       uint64
	events    []timedEvent
}

type timedEvent struct {
	guavaback.CacheEvent
	at time.Time
}

func newPrefixCache(limit int, eventLag time.Duration, dropEvery int) *prefixCache {
	return &prefixCache{
		limit: limit, eventLag: eventLag, dropEvery: dropEvery,
		order: list.New(), items: map[string]*list.Element{},
	}
}

// add inserts prefixes into the cache and returns the number of them that were already cached.
func (c *prefixCache) add(prefixes []string) (hits int) {
	for _, p := range prefixes {
		if it := c.items[p]; it != nil {
			c.order.MoveToFront(it)
			hits++
			continue
		}
		c.items[p] = c.order.PushFront(p)
		c.log("add", p)
		if c.order.Len() > c.limit {
			last := c.order.Back()
			old := c.order.Remove(last).(string)
			delete(c.items, old)
			c.log("drop", old)
		}
	}
	return hits
}

// reset empties the cache after a crash, without events. Sequence numbers continue.
func (c *prefixCache) reset() {
	c.order.Init()
	clear(c.items)
}

func (c *prefixCache) log(op, prefix string) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 { //nolint:gosec // dropEvery is positive
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, timedEvent{guavaback.CacheEvent{Seq: c.seq, Op: op, Prefix: prefix}, time.Now()})
}

// eventsAfter returns the events with a sequence number above from whose lag has passed.
func (c *prefixCache) eventsAfter(from uint64) []guavaback.CacheEvent {
	out := []guavaback.CacheEvent{}
	latest := time.Now().Add(-c.eventLag)
	for _, ev := range c.events {
		if ev.Seq > from && !ev.at.After(latest) {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}

package guavaroute

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPrefixes limits the memory of a prefixIndex to about 6 MB.
	maxPrefixes = 32768
	// maxHolders is the maximum number of servers stored for one prefix.
	maxHolders = 4
	// prefixTTL is the time after its last use after which a prefix is assumed to be evicted from a server's cache.
	prefixTTL = 2 * time.Minute
)

// prefixIndex maps prompt prefixes, by a hash of their identifiers, to the servers that have them in their caches.
type prefixIndex struct {
	entries map[uint64]*[maxHolders]holder
}

type holder struct {
	server string
	at     time.Time
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{entries: map[uint64]*[maxHolders]holder{}} }

// add records that a server has a prefix in its cache.
func (p *prefixIndex) add(id, server string, now time.Time) {
	k := xxhash.Sum64String(id)
	e := p.entries[k]
	if e == nil {
		if len(p.entries) >= maxPrefixes {
			p.prune(now)
		}
		e = &[maxHolders]holder{}
		p.entries[k] = e
	}
	oldest := 0
	for i := range e {
		if e[i].server == server {
			e[i].at = now
			return
		}
		if e[i].at.Before(e[oldest].at) {
			oldest = i
		}
	}
	e[oldest] = holder{server: server, at: now}
}

// remove records that a server no longer has a prefix in its cache.
func (p *prefixIndex) remove(id, server string) {
	e := p.entries[xxhash.Sum64String(id)]
	if e == nil {
		return
	}
	for i := range e {
		if e[i].server == server {
			e[i] = holder{}
		}
	}
}

// prefixMatch is a server that has the first part of a prompt in its cache.
type prefixMatch struct {
	server   string
	fraction float64 // cached part of the prompt, 0 to 1
}

// find appends to buf the servers that have the longest known prefix. Ids are in order of increasing length.
func (p *prefixIndex) find(buf []prefixMatch, ids []string, now time.Time) []prefixMatch {
	if len(p.entries) == 0 {
		return buf
	}
	for i := len(ids) - 1; i >= 0 && len(buf) == 0; i-- {
		e := p.entries[xxhash.Sum64String(ids[i])]
		if e == nil {
			continue
		}
		for _, h := range e {
			if h.server != "" && now.Sub(h.at) < prefixTTL {
				buf = append(buf, prefixMatch{server: h.server, fraction: float64(i+1) / float64(len(ids))})
			}
		}
	}
	return buf
}

// prune deletes entries that have not been used for prefixTTL/2, and then arbitrary ones until a quarter of the
// capacity is free.
func (p *prefixIndex) prune(now time.Time) {
	for k, e := range p.entries {
		recent := false
		for _, h := range e {
			recent = recent || now.Sub(h.at) < prefixTTL/2
		}
		if !recent {
			delete(p.entries, k)
		}
	}
	for k := range p.entries {
		if len(p.entries) < maxPrefixes*3/4 {
			return
		}
		delete(p.entries, k)
	}
}

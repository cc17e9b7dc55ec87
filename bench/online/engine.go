package online

import (
	"time"

	"guavaridge/core/guavaroute"
)

const (
	// Slots per engine, mean tokens per response and time per token follow from the sizes of the design page: at
	// 18,000 requests/s, 5 million tokens/s and 34 ms between tokens, each of 2,800 servers runs 61 streams.
	slots      = 88 // 61 streams are 70% of the slots
	meanTokens = 278
	tokenTime  = 34 * time.Millisecond
	// prefillTime is the prefill time of an uncached prompt; cachedFactor is the fraction of it that a prompt with a
	// cached prefix takes.
	prefillTime  = 180 * time.Millisecond
	cachedFactor = 0.3
	// cacheSize is the number of prompt prefixes that an engine caches.
	cacheSize = 100
)

// engine simulates a backend server with continuous batching. It starts requests in order of arrival.
type engine struct {
	loop   *Loop
	name   string
	domain string
	// speed divides all times; limit is the number of requests that fit into the KV memory.
	speed   float64
	limit   int
	running int
	queue   []*engineRequest
	cache   map[string]int // by prefix, the sequence number of its last use
	uses    int
}

// engineRequest is a request queued or running on an engine.
type engineRequest struct {
	prefix string
	length float64 // of the response, relative to the mean
	first  func()
	done   func()
}

func (e *engine) send(w *engineRequest) {
	e.queue = append(e.queue, w)
	e.start()
}

func (e *engine) start() {
	for len(e.queue) > 0 && e.running < e.limit {
		w := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		p := float64(prefillTime) * (1 + 0.5*float64(e.running)/float64(e.limit)) / e.speed
		if _, ok := e.cache[w.prefix]; ok {
			p *= cachedFactor
		}
		e.touch(w.prefix)
		total := time.Duration(p + float64(meanTokens)*float64(tokenTime)*w.length/e.speed)
		e.loop.After(time.Duration(p), w.first)
		e.loop.After(total, func() {
			e.running--
			w.done()
			e.start()
		})
	}
}

// touch marks the prefix as the most recently used, and evicts the least recently used one from a full cache.
func (e *engine) touch(prefix string) {
	e.uses++
	e.cache[prefix] = e.uses
	if len(e.cache) <= cacheSize {
		return
	}
	oldest := prefix
	for p, n := range e.cache {
		if n < e.cache[oldest] {
			oldest = p
		}
	}
	delete(e.cache, oldest)
}

func (e *engine) report() guavaroute.Report {
	return guavaroute.Report{
		Running: e.running, Waiting: len(e.queue), Slots: slots, At: time.Now(),
		KV: float64(e.running) / float64(e.limit),
	}
}

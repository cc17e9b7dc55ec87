package guavastandin

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaridge/io/guavaback"
)

// sequence is one completion that waits or runs.
type sequence struct {
	id       string
	chat     bool
	model    string
	content  string // prompt
	seed     uint64
	prompt   int // prompt tokens
	total    int // tokens of the whole answer
	next     int // index of the next token
	usage    bool
	crash    bool // crashes the engine after its first token
	prefixes []string
	head     []byte // start of every event up to the token
	text     []byte // text of this attempt
	out      *eventStream
	finished bool
}

// tokens returns the KV memory that the sequence needs.
func (q *sequence) tokens() int { return q.prompt + q.total }

// promptTokens estimates the number of tokens of a text.
func promptTokens(text string) int { return len(text)/4 + 1 }

var words = [...]string{
	"amber", "basalt", "cedar", "dune", "ember", "fern", "gable", "harbor", "inlet", "jasper", "kelp", "lantern",
	"meadow", "nectar", "orchard", "pebble", "quartz", "ripple", "saffron", "timber", "umber", "valley", "willow",
	"yarrow", "zephyr", "anchor", "bramble", "copper", "delta", "estuary", "fjord", "granite",
}

// Token returns the token with the given index of the answer to a prompt.
func Token(model, prompt string, index int) string { return token(seed(model, prompt), index) }

// Text returns the first n tokens of the answer to a prompt.
func Text(model, prompt string, n int) string {
	b := make([]byte, 0, 8*n)
	s := seed(model, prompt)
	for i := range n {
		b = append(b, token(s, i)...)
	}
	return string(b)
}

func seed(model, prompt string) uint64 {
	return xxhash.Sum64String(model) ^ xxhash.Sum64String(prompt)
}

func token(seed uint64, index int) string {
	x := seed + uint64(index)*0x9e3779b97f4a7c15 //nolint:gosec // index is not negative
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return spaced[x%uint64(len(spaced))]
}

var spaced = func() (s [len(words)]string) {
	for i, w := range words {
		s[i] = w + " "
	}
	return s
}()

// submit queues a sequence. It is false when an attempt with the identifier is already there.
func (e *Engine) submit(q *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byID[q.id] != nil || e.stopped {
		return false
	}
	e.byID[q.id] = q
	e.waiting = append(e.waiting, q)
	e.wake.Signal()
	return true
}

// cancel ends a sequence that waits or runs.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.byID[id]
	if q == nil {
		return false
	}
	e.remove(q)
	e.waiting = slices.DeleteFunc(e.waiting, func(o *sequence) bool { return o == q })
	e.running = slices.DeleteFunc(e.running, func(o *sequence) bool { return o == q })
	q.out.abort()
	e.count(e.cancels, id)
	return true
}

// remove releases what a sequence holds. The caller takes it from its list.
func (e *Engine) remove(q *sequence) {
	delete(e.byID, q.id)
	if slices.Contains(e.running, q) {
		e.used -= q.tokens()
	}
}

// abort loses all work and the cache, as a crash does.
func (e *Engine) abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range e.byID {
		q.out.abort()
	}
	clear(e.byID)
	clear(e.imported)
	e.waiting, e.running, e.used = nil, nil, 0
	e.cache.reset()
	e.wake.Broadcast()
}

// run is the batching loop: one step gives every running sequence one token.
func (e *Engine) run() {
	defer close(e.done)
	for {
		e.mu.Lock()
		for !e.stopped && len(e.running)+len(e.waiting) == 0 {
			e.wake.Wait()
		}
		if e.stopped {
			e.mu.Unlock()
			return
		}
		fill := e.admit()
		n := len(e.running)
		e.mu.Unlock()
		e.wait()
		step := e.config.Step + time.Duration(n)*e.config.StepEach + time.Duration(fill)*e.config.Prefill
		if step > 0 {
			time.Sleep(time.Duration(float64(step) * e.factor()))
		}
		if e.step() {
			e.Crash()
		}
	}
}

// admit starts waiting sequences in the order of arrival while slots and KV memory last. It returns the number
// of prompt tokens to be computed.
func (e *Engine) admit() (fill int) {
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots && e.used+e.waiting[0].tokens() <= e.config.KV {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, q)
		e.used += q.tokens()
		cached := e.cache.add(q.prefixes) * promptTokens(q.content) / max(len(q.content)/guavaback.PrefixBlockBytes, 1)
		if !e.imported[q.content] {
			fill += max(q.prompt-cached, 0)
		}
		e.count(e.starts, q.content)
	}
	return fill
}

// step emits one token per running sequence. It is true when a marked request crashes the engine.
func (e *Engine) step() (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	crossed := e.crossed()
	for i, q := range e.running {
		var other *sequence
		if crossed && len(e.running) > 1 {
			other = e.running[(i+1)%len(e.running)]
		}
		if q.next < q.total { // a stream that resumes after its last token only lacks its end
			q.emit(other)
		}
		crash = crash || q.crash
		if q.next >= q.total {
			q.finish()
			delete(e.byID, q.id)
			e.used -= q.tokens()
			e.count(e.ends, q.content)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(q *sequence) bool { return q.finished })
	return crash
}

// emit sends the next token, and a copy of the event to other, if any.
func (q *sequence) emit(other *sequence) {
	t := token(q.seed, q.next)
	q.next++
	q.text = append(q.text, t...)
	if !q.out.streams {
		return
	}
	tail := `"},"finish_reason":null}]}` + "\n\n"
	if !q.chat {
		tail = `","finish_reason":null}]}` + "\n\n"
	}
	q.out.append(q.head, t, tail)
	if other != nil && other.out.streams {
		other.out.append(q.head, t, tail)
	}
}

// finish sends the last events of a stream or the body of a plain answer.
func (q *sequence) finish() {
	q.finished = true
	if q.out.streams {
		q.out.append(nil, "data: "+q.object(true, `"choices":[{"index":0,`+q.empty()+`,"finish_reason":"length"}]`), "\n\n")
		if q.usage {
			q.out.append(nil, "data: "+q.object(true, `"choices":[],`+q.usageField()), "\n\n")
		}
		q.out.append(nil, "data: [DONE]", "\n\n")
	} else {
		content := `"text":"` + string(q.text) + `"`
		if q.chat {
			content = `"message":{"role":"assistant","content":"` + string(q.text) + `"}`
		}
		q.out.append(nil, q.object(false, `"choices":[{"index":0,`+content+`,"finish_reason":"length"}],`+q.usageField()), "")
	}
	q.out.end()
}

func (q *sequence) empty() string {
	if q.chat {
		return `"delta":{}`
	}
	return `"text":""`
}

func (q *sequence) usageField() string {
	return `"usage":{"prompt_tokens":` + strconv.Itoa(q.prompt) + `,"completion_tokens":` + strconv.Itoa(q.next) +
		`,"total_tokens":` + strconv.Itoa(q.prompt+q.next) + `}`
}

// object returns a JSON object of the completion interface with the given fields at its end.
func (q *sequence) object(chunk bool, fields string) string {
	kind := "text_completion"
	if q.chat {
		kind = "chat.completion"
		if chunk {
			kind = "chat.completion.chunk"
		}
	}
	return `{"id":` + strconv.Quote(q.id) + `,"object":"` + kind + `","created":` +
		strconv.FormatInt(time.Now().Unix(), 10) + `,"model":` + strconv.Quote(q.model) + `,` + fields + `}`
}

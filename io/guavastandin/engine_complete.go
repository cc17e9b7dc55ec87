package guavastandin

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// Paths of the completions API.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// defaultMaxTokens is the length in tokens of a response to a request without max_tokens.
const defaultMaxTokens = 16

// previousResponse stores the last buffered response, which the fault "cross" sends to the next request.
type previousResponse struct {
	mu   sync.Mutex
	id   string
	body []byte
}

// swap stores a response and returns the previous one, or a fabricated one if there is none.
func (p *previousResponse) swap(id string, body []byte) (string, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldID, old := p.id, p.body
	p.id, p.body = id, body
	if oldID == "" {
		return "other-" + id, []byte(`{"id":"other-` + id + `"}`)
	}
	return oldID, old
}

// recordArrival counts the arrival of a completion request.
func (e *Engine) recordArrival(path string, body []byte) {
	if path != chatPath && path != textPath {
		return
	}
	if c, err := guavaback.ParseCompletion(body, path == chatPath); err == nil {
		e.increment(e.arrivals, c.Prompt)
	}
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx, path string) {
	id := string(ctx.Request.Header.Peek(guavaback.HeaderID))
	chat := path == chatPath
	body := ctx.PostBody()
	if !e.disabled {
		e.add(newReceived(ctx, id))
	}
	c, err := guavaback.ParseCompletion(body, chat)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if c.Choices != 1 {
		fail(ctx, fasthttp.StatusBadRequest, "n must be 1")
		return
	}
	if !e.serves(c.Model) {
		fail(ctx, fasthttp.StatusNotFound, "model "+c.Model+" is not loaded")
		return
	}
	skip, _ := strconv.Atoi(string(ctx.Request.Header.Peek(guavaback.HeaderResume)))
	q := e.sequence(id, chat, c, skip)
	q.crashMarked = e.hasCrashMarker(body)
	if q.kvTokens() > e.config.KV {
		fail(ctx, fasthttp.StatusBadRequest, "the request does not fit into the KV memory")
		return
	}
	if !e.submit(q) {
		fail(ctx, fasthttp.StatusConflict, "the identifier is in use")
		return
	}
	if !c.Stream {
		data, err := q.out.readAll()
		if err != nil { // cancelled or crashed: close the connection without a response
			ctx.Conn().Close()
			return
		}
		time.Sleep(e.delay())
		if e.crossesResponses() {
			id, data = e.previous.swap(id, data)
			ctx.Response.Header.Set(guavaback.HeaderID, id)
		}
		ctx.Response.Header.Set(guavaback.HeaderLoad, e.loadHeader())
		ctx.SetContentType("application/json")
		ctx.Response.SetBodyRaw(data)
		return
	}
	time.Sleep(e.delay())
	q.out.onDisconnect = func() { e.cancel(id) }
	ctx.Response.Header.Set(guavaback.HeaderLoad, e.loadHeader())
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(q.out, -1)
}

func newReceived(ctx *fasthttp.RequestCtx, id string) Received {
	r := Received{
		ID: id, Method: string(ctx.Method()), Path: string(ctx.RequestURI()),
		Header: map[string][]string{}, Body: append([]byte(nil), ctx.PostBody()...),
	}
	for k, v := range ctx.Request.Header.All() {
		r.Header[string(k)] = append(r.Header[string(k)], string(v))
	}
	return r
}

// sequence returns the sequence of a request that resumes after skip tokens.
func (e *Engine) sequence(id string, chat bool, c guavaback.Completion, skip int) *sequence {
	q := &sequence{
		id: id, chat: chat, model: c.Model, prompt: c.Prompt, seed: seed(c.Model, c.Prompt),
		promptTokens: promptTokens(c.Prompt), totalTokens: c.MaxTokens, nextToken: skip, includeUsage: c.IncludeUsage,
		prefixes: guavaback.Prefixes(c.Model, c.Prompt, e.config.Blocks), out: newEventStream(c.Stream),
	}
	if q.totalTokens == 0 {
		q.totalTokens = defaultMaxTokens
	}
	if !c.Stream {
		return q
	}
	part := `"choices":[{"index":0,"text":"`
	if chat {
		part = `"choices":[{"index":0,"delta":{"content":"`
	}
	head := "data: " + q.object(true, part)
	q.eventHead = []byte(head[:len(head)-1])
	if chat && skip == 0 {
		first := `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`
		q.out.append(nil, "data: "+q.object(true, first), "\n\n")
	}
	return q
}

// KV is the exported KV cache of a request. Content is its prompt, Tokens the number of prompt and
// generated tokens.
type KV struct {
	Content string `json:"content"`
	Tokens  int    `json:"tokens"`
}

// handleKV exports the KV cache of a waiting or running request. On PUT it imports one, so that its prompt needs no
// prefill.
func (e *Engine) handleKV(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsPut() {
		var k KV
		if err := json.Unmarshal(ctx.PostBody(), &k); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		e.imported[k.Content] = true
		return
	}
	q := e.byID[id]
	if q == nil {
		fail(ctx, fasthttp.StatusNotFound, "no such request")
		return
	}
	reply(ctx, KV{Content: q.prompt, Tokens: q.promptTokens + q.nextToken})
}

package guavastandin

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// Paths of completions.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// defaultTokens is the length of an answer without max_tokens.
const defaultTokens = 16

// crossing holds the last plain answer, which the "cross" fault gives to the next request.
type crossing struct {
	mu   sync.Mutex
	id   string
	body []byte
}

// swap stores an answer and returns the one before, or a made-up one.
func (c *crossing) swap(id string, body []byte) (string, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldID, old := c.id, c.body
	c.id, c.body = id, body
	if oldID == "" {
		return "other-" + id, []byte(`{"id":"other-` + id + `"}`)
	}
	return oldID, old
}

// arrived records the arrival of a completion.
func (e *Engine) arrived(path string, body []byte) {
	if path != chatPath && path != textPath {
		return
	}
	if c, err := guavaback.ParseCompletion(body, path == chatPath); err == nil {
		e.count(e.arrivals, c.Prompt)
	}
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx, path string) {
	id := string(ctx.Request.Header.Peek(guavaback.HeaderID))
	chat := path == chatPath
	body := ctx.PostBody()
	if !e.off {
		e.request(received(ctx, id))
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
	q.crash = e.marked(body)
	if q.tokens() > e.config.KV {
		fail(ctx, fasthttp.StatusBadRequest, "the request does not fit into the KV memory")
		return
	}
	if !e.submit(q) {
		fail(ctx, fasthttp.StatusConflict, "the identifier is in use")
		return
	}
	if !c.Stream {
		data, err := q.out.all()
		if err != nil { // cancelled or crashed: the connection ends without an answer
			ctx.Conn().Close()
			return
		}
		time.Sleep(e.delay())
		if e.crossed() {
			id, data = e.crossing.swap(id, data)
			ctx.Response.Header.Set(guavaback.HeaderID, id)
		}
		ctx.Response.Header.Set(guavaback.HeaderLoad, e.loadHeader())
		ctx.SetContentType("application/json")
		ctx.Response.SetBodyRaw(data)
		return
	}
	time.Sleep(e.delay())
	q.out.onClose = func() { e.cancel(id) }
	ctx.Response.Header.Set(guavaback.HeaderLoad, e.loadHeader())
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(q.out, -1)
}

func received(ctx *fasthttp.RequestCtx, id string) Received {
	r := Received{
		ID: id, Method: string(ctx.Method()), Path: string(ctx.RequestURI()),
		Header: map[string][]string{}, Body: append([]byte(nil), ctx.PostBody()...),
	}
	for k, v := range ctx.Request.Header.All() {
		r.Header[string(k)] = append(r.Header[string(k)], string(v))
	}
	return r
}

// sequence builds the work of a request that resumes after skip tokens.
func (e *Engine) sequence(id string, chat bool, c guavaback.Completion, skip int) *sequence {
	q := &sequence{
		id: id, chat: chat, model: c.Model, content: c.Prompt, seed: seed(c.Model, c.Prompt),
		prompt: promptTokens(c.Prompt), total: c.MaxTokens, next: skip, usage: c.IncludeUsage,
		prefixes: guavaback.Prefixes(c.Model, c.Prompt, e.config.Blocks), out: newEventStream(c.Stream),
	}
	if q.total == 0 {
		q.total = defaultTokens
	}
	if !c.Stream {
		return q
	}
	part := `"choices":[{"index":0,"text":"`
	if chat {
		part = `"choices":[{"index":0,"delta":{"content":"`
	}
	head := "data: " + q.object(true, part)
	q.head = []byte(head[:len(head)-1])
	if chat && skip == 0 {
		first := `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]`
		q.out.append(nil, "data: "+q.object(true, first), "\n\n")
	}
	return q
}

// KV is the exported KV cache of a request.
type KV struct {
	Content string `json:"content"`
	Tokens  int    `json:"tokens"`
}

// handleKV exports the KV cache of a running request, or imports one so that its prompt needs no computation.
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
	reply(ctx, KV{Content: q.content, Tokens: q.prompt + q.next})
}

// Package guavastandin holds stand-ins of the outside systems: the platform, model engines and plain services.
package guavastandin

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// EngineConfig describes a model engine. Zero durations cost no time.
type EngineConfig struct {
	// Models are served from the start, as "name" or "name@version". Empty serves any model.
	Models   []string
	Adapters []string
	Role     string
	// Slots is the number of streams that run at once; 0 means 16.
	Slots int
	// KV is the KV memory in tokens; 0 means 1 << 20.
	KV int
	// Blocks is the size of the prefix cache in blocks of guavaback.PrefixBlock bytes; 0 means 1024.
	Blocks int
	// A step of n streams takes Step + n*StepEach, plus Prefill for each prompt token that is not cached.
	Step, StepEach, Prefill time.Duration
	// ReportEvery is the time between refreshes of the load report.
	ReportEvery time.Duration
	// EventLag delays cache events; every EventGap-th event is lost (0: none).
	EventLag       time.Duration
	DropEventEvery int
	// LoadTime is the time that an order takes.
	LoadTime time.Duration
	// RejectStaleEpochs makes the engine refuse orders with an old epoch.
	RejectStaleEpochs bool
	// DisableRecording turns the recording of requests off, for benchmarks.
	DisableRecording bool
}

// Engine is a stand-in of a model engine with continuous batching. Its tokens are a function of model and
// prompt, so that a resumed answer can be compared with an uninterrupted one.
type Engine struct {
	*server
	*record
	config EngineConfig

	mu       sync.Mutex
	wake     *sync.Cond
	stopped  bool
	done     chan struct{}
	waiting  []*sequence
	running  []*sequence
	byID     map[string]*sequence
	used     int // KV tokens of running sequences
	cache    *prefixCache
	imported map[string]bool
	orders   orderState
	report   guavaback.Load
	reported time.Time
	crossing crossing
}

// NewEngine returns an engine whose batching has begun. Close ends it.
func NewEngine(c EngineConfig) *Engine {
	if c.Slots == 0 {
		c.Slots = 16
	}
	if c.KV == 0 {
		c.KV = 1 << 20
	}
	if c.Blocks == 0 {
		c.Blocks = 1024
	}
	e := &Engine{
		record:   newRecord(c.DisableRecording),
		config:   c,
		done:     make(chan struct{}),
		byID:     map[string]*sequence{},
		cache:    newPrefixCache(c.Blocks, c.EventLag, c.DropEventEvery),
		imported: map[string]bool{},
		orders:   newOrderState(c),
	}
	e.wake = sync.NewCond(&e.mu)
	e.server = newServer(e.handle, e.abort)
	go e.run()
	return e
}

// Close stops the engine and waits until its batching has ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.server.Close()
	<-e.done
}

// Running returns the number of sequences that run and that wait.
func (e *Engine) Running() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/fault" {
		e.handleFault(ctx)
		return
	}
	if !e.off {
		e.arrived(path, ctx.PostBody())
	}
	e.wait()
	if id := ctx.Request.Header.Peek(guavaback.HeaderID); len(id) > 0 {
		ctx.Response.Header.SetBytesV(guavaback.HeaderID, id)
	}
	switch {
	case path == chatPath || path == textPath:
		e.complete(ctx, path)
	case path == "/cancel":
		var q struct {
			ID string `json:"id"`
		}
		if json.Unmarshal(ctx.PostBody(), &q) != nil || !e.cancel(q.ID) {
			fail(ctx, fasthttp.StatusNotFound, "no such request")
		}
	case path == "/load":
		reply(ctx, e.load())
	case path == "/events":
		from, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
		e.mu.Lock()
		events := e.cache.after(from)
		e.mu.Unlock()
		reply(ctx, events)
	case path == "/orders" && ctx.IsPost():
		var o guavaback.Order
		if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return
		}
		e.handleOrder(ctx, o)
	case path == "/orders":
		reply(ctx, e.Orders())
	case strings.HasPrefix(path, "/kv/"):
		e.handleKV(ctx, strings.TrimPrefix(path, "/kv/"))
	default:
		fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func reply(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// fail answers with an error in the shape that engines use.
func fail(ctx *fasthttp.RequestCtx, status int, message string) {
	data, _ := json.Marshal(map[string]any{"error": map[string]any{"message": message, "type": "invalid_request_error"}})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// load returns the load report, which is up to ReportEvery old.
func (e *Engine) load() guavaback.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.reported.IsZero() || now.Sub(e.reported) >= e.config.ReportEvery {
		e.reported = now
		e.report = guavaback.Load{
			Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Slots,
			KV: float64(e.used) / float64(e.config.KV),
		}
		e.report.Models, e.report.Adapters, e.report.Role = e.orders.served()
	}
	r := e.report
	r.Age = now.Sub(e.reported).Milliseconds()
	return r
}

// loadHeader is the fresh load as sent with each answer.
func (e *Engine) loadHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := make([]byte, 0, 32)
	for _, n := range [3]int{len(e.running), len(e.waiting), e.config.Slots} {
		b = append(strconv.AppendInt(b, int64(n), 10), ',')
	}
	return string(strconv.AppendFloat(b, float64(e.used)/float64(e.config.KV), 'f', 3, 64))
}

// Package guavastandin simulates the outside systems: the platform, model engines and plain services.
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

// EngineConfig configures an Engine. A duration of 0 takes no time.
type EngineConfig struct {
	// Models lists the models loaded at the start, as "name" or "name@version". If empty, any model is served.
	Models   []string
	Adapters []string
	Role     string
	// Slots is the maximum number of sequences in a batch; 0 means 16.
	Slots int
	// KV is the capacity of the KV cache in tokens; 0 means 1 << 20.
	KV int
	// Blocks is the size of the prefix cache in blocks of guavaback.PrefixBlockBytes bytes; 0 means 1024.
	Blocks int
	// A step with n sequences takes Step + n*StepEach, plus Prefill for each prompt token that is not cached.
	Step, StepEach, Prefill time.Duration
	// ReportEvery is the refresh interval of the load report.
	ReportEvery time.Duration
	// EventLag is the delay before a cache event is published.
	EventLag time.Duration
	// DropEventEvery makes the engine drop one of every DropEventEvery cache events; 0 drops none.
	DropEventEvery int
	// LoadTime is the time from the acceptance of an order until it takes effect.
	LoadTime time.Duration
	// RejectStaleEpochs rejects orders whose epoch is below the highest one seen.
	RejectStaleEpochs bool
	// DisableRecording turns off the recording of requests, for benchmarks.
	DisableRecording bool
}

// Engine simulates a model engine with continuous batching. Its tokens depend only on model and prompt, so that tests
// can compare a resumed response with an uninterrupted one.
type Engine struct {
	*server
	*record
	config EngineConfig

	mu         sync.Mutex
	wake       *sync.Cond
	stopped    bool
	done       chan struct{}
	waiting    []*sequence
	running    []*sequence
	byID       map[string]*sequence
	usedKV     int // KV cache tokens reserved by running sequences
	cache      *prefixCache
	imported   map[string]bool
	orders     orderState
	loadReport guavaback.Load
	reportedAt time.Time
	previous   previousResponse
}

// NewEngine returns an engine and starts its batching loop. Close stops it.
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

// Close stops the engine and waits until its batching loop has ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.server.Close()
	<-e.done
}

// Running returns the numbers of running and waiting sequences.
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
	if !e.disabled {
		e.recordArrival(path, ctx.PostBody())
	}
	e.waitWhileHung()
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
		events := e.cache.eventsAfter(from)
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

// fail responds with an error in the format of the OpenAI API.
func fail(ctx *fasthttp.RequestCtx, status int, message string) {
	data, _ := json.Marshal(map[string]any{"error": map[string]any{"message": message, "type": "invalid_request_error"}})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// load returns the load report, which is at most ReportEvery old.
func (e *Engine) load() guavaback.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.config.ReportEvery {
		e.reportedAt = now
		e.loadReport = guavaback.Load{
			Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Slots,
			KV: float64(e.usedKV) / float64(e.config.KV),
		}
		e.loadReport.Models, e.loadReport.Adapters, e.loadReport.Role = e.orders.served()
	}
	r := e.loadReport
	r.Age = now.Sub(e.reportedAt).Milliseconds()
	return r
}

// loadHeader returns the current load in the format of guavaback.HeaderLoad, which each completion response carries.
func (e *Engine) loadHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := make([]byte, 0, 32)
	for _, n := range [3]int{len(e.running), len(e.waiting), e.config.Slots} {
		b = append(strconv.AppendInt(b, int64(n), 10), ',')
	}
	return string(strconv.AppendFloat(b, float64(e.usedKV)/float64(e.config.KV), 'f', 3, 64))
}

package guavastandin

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// Orders is the answer to GET /orders.
type Orders struct {
	// Epoch is the highest epoch seen.
	Epoch uint64 `json:"epoch"`
	// Busy is true while an order takes effect.
	Busy     bool              `json:"busy"`
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
	Accepted []guavaback.Order `json:"accepted"`
}

// orderState is what orders have led to. It is guarded by the engine's lock.
type orderState struct {
	any   bool
	now   Orders
	until time.Time // when the last accepted order is in effect
}

func newOrderState(c EngineConfig) orderState {
	return orderState{
		any: len(c.Models) == 0,
		now: Orders{Models: slices.Clone(c.Models), Adapters: slices.Clone(c.Adapters), Role: c.Role},
	}
}

func (o *orderState) served() (models, adapters []string, role string) {
	return slices.Clone(o.now.Models), slices.Clone(o.now.Adapters), o.now.Role
}

// serves reports whether a model, with or without an adapter as "model:adapter", is loaded.
func (e *Engine) serves(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.any {
		return true
	}
	model, _, adapted := strings.Cut(name, ":")
	if adapted && !slices.Contains(e.orders.now.Adapters, name) {
		return false
	}
	return slices.ContainsFunc(e.orders.now.Models, func(m string) bool {
		loaded, _, _ := strings.Cut(m, "@")
		return loaded == model
	})
}

// Orders returns the state that orders have led to.
func (e *Engine) Orders() Orders {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.orders.now
	o.Models, o.Adapters, o.Accepted = slices.Clone(o.Models), slices.Clone(o.Adapters), slices.Clone(o.Accepted)
	o.Busy = time.Now().Before(e.orders.until)
	return o
}

// handleOrder accepts an order. Want is the comma-separated list of all models ("model") or adapters
// ("adapter") that are to be loaded, one "name@version" ("version"), or the role ("role").
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx, o guavaback.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &e.orders
	if e.config.RejectStaleEpochs && o.Epoch < state.now.Epoch {
		fail(ctx, fasthttp.StatusConflict, "the epoch is old")
		return
	}
	if !slices.Contains([]string{"model", "adapter", "version", "role"}, o.Kind) {
		fail(ctx, fasthttp.StatusBadRequest, "unknown kind of order")
		return
	}
	state.now.Epoch = max(state.now.Epoch, o.Epoch)
	state.now.Accepted = append(state.now.Accepted, o)
	if e.config.LoadTime == 0 {
		state.apply(o)
		return
	}
	state.until = time.Now().Add(e.config.LoadTime)
	time.AfterFunc(e.config.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.orders.apply(o)
	})
}

func (o *orderState) apply(order guavaback.Order) {
	var want []string
	if order.Want != "" {
		want = strings.Split(order.Want, ",")
	}
	switch order.Kind {
	case "model":
		o.any, o.now.Models = false, want
	case "adapter":
		o.now.Adapters = want
	case "version":
		model, _, _ := strings.Cut(order.Want, "@")
		for i, m := range o.now.Models {
			if name, _, _ := strings.Cut(m, "@"); name == model {
				o.now.Models[i] = order.Want
			}
		}
	case "role":
		o.now.Role = order.Want
	}
}

package guavastandin

import (
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaback"
)

// Orders is the response to GET /orders: the state of the engine after the orders it has accepted.
type Orders struct {
	// Epoch is the highest epoch of an accepted order.
	Epoch uint64 `json:"epoch"`
	// Busy reports whether an accepted order has yet to take effect.
	Busy     bool              `json:"busy"`
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
	Accepted []guavaback.Order `json:"accepted"`
}

// orderState is the state set by orders. It is guarded by Engine.mu.
type orderState struct {
	anyModel    bool // whether any model is served
	current     Orders
	effectiveAt time.Time // when the last accepted order takes effect
}

func newOrderState(c EngineConfig) orderState {
	return orderState{
		anyModel: len(c.Models) == 0,
		current:  Orders{Models: slices.Clone(c.Models), Adapters: slices.Clone(c.Adapters), Role: c.Role},
	}
}

func (o *orderState) served() (models, adapters []string, role string) {
	return slices.Clone(o.current.Models), slices.Clone(o.current.Adapters), o.current.Role
}

// serves reports whether the model, and the adapter in a name of the form "model:adapter", are loaded.
func (e *Engine) serves(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.anyModel {
		return true
	}
	model, _, adapted := strings.Cut(name, ":")
	if adapted && !slices.Contains(e.orders.current.Adapters, name) {
		return false
	}
	return slices.ContainsFunc(e.orders.current.Models, func(m string) bool {
		loaded, _, _ := strings.Cut(m, "@")
		return loaded == model
	})
}

// Orders returns the state of the engine after the orders it has accepted.
func (e *Engine) Orders() Orders {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.orders.current
	o.Models, o.Adapters, o.Accepted = slices.Clone(o.Models), slices.Clone(o.Adapters), slices.Clone(o.Accepted)
	o.Busy = time.Now().Before(e.orders.effectiveAt)
	return o
}

// handleOrder accepts an order. Its Want is the desired state for its Kind: the comma-separated list of all models for
// "model" or of all adapters for "adapter", one "name@version" for "version", or the role for "role".
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx, o guavaback.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &e.orders
	if e.config.RejectStaleEpochs && o.Epoch < state.current.Epoch {
		fail(ctx, fasthttp.StatusConflict, "the epoch is old")
		return
	}
	if !slices.Contains([]string{"model", "adapter", "version", "role"}, o.Kind) {
		fail(ctx, fasthttp.StatusBadRequest, "unknown kind of order")
		return
	}
	state.current.Epoch = max(state.current.Epoch, o.Epoch)
	state.current.Accepted = append(state.current.Accepted, o)
	if e.config.LoadTime == 0 {
		state.apply(o)
		return
	}
	state.effectiveAt = time.Now().Add(e.config.LoadTime)
	time.AfterFunc(e.config.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.orders.apply(o)
	})
}

func (o *orderState) apply(order guavaback.Order) {
	var names []string
	if order.Want != "" {
		names = strings.Split(order.Want, ",")
	}
	switch order.Kind {
	case "model":
		o.anyModel, o.current.Models = false, names
	case "adapter":
		o.current.Adapters = names
	case "version":
		model, _, _ := strings.Cut(order.Want, "@")
		for i, m := range o.current.Models {
			if name, _, _ := strings.Cut(m, "@"); name == model {
				o.current.Models[i] = order.Want
			}
		}
	case "role":
		o.current.Role = order.Want
	}
}

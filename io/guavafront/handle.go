package guavafront

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavakey"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavalisten"
	"guavaridge/io/guavatransport"
)

const (
	headerIdempotency = "Idempotency-Key"
	// maxIDBytes is the maximum length of identifiers chosen by callers, in bytes.
	maxIDBytes = 128
	// maxDeadline is the longest timeout that a caller may set.
	maxDeadline = 24 * time.Hour
)

// Built-in routes, which exist without a declaration. A key that is restricted to routes must name them, except
// for models, which any valid key may list.
const (
	routeFiles   = "files"
	routeBatches = "batches"
	routeModels  = "models"
)

// allows reports whether a key may use a route.
func allows(s *guavaconfig.Snapshot, k guavaconfig.Key, route string) bool {
	if route == routeModels {
		_, ok := s.Account(k.Account)
		return ok
	}
	return s.Allows(k, route)
}

// call is a request being served.
type call struct {
	front    *Front
	ctx      *fasthttp.RequestCtx
	snapshot *guavaconfig.Snapshot
	path     string // decoded and normalized
	id       string
	route    guavaconfig.Route
	key      guavaconfig.Key // zero on open routes
	deadline time.Time
	// runContext is the context under which the request is served; finish cancels it and stops tracking the request.
	runContext context.Context
	finish     func()
	// startWatch makes a disconnect of the caller cancel the request. The body must have been read before.
	startWatch   func()
	disconnected atomic.Bool
}

// headerReceived sets the read timeout and maximum size of the body by path.
func (f *Front) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if hasPathPrefix(string(h.RequestURI()), "/v1/files") {
		return fasthttp.RequestConfig{ReadTimeout: f.fileTimeout, MaxRequestBodySize: f.maxFile}
	}
	return fasthttp.RequestConfig{ReadTimeout: f.bodyTimeout, MaxRequestBodySize: f.maxBody}
}

// hasPathPrefix reports whether a path, with or without query, is at or below a prefix.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

// handle serves one request.
func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	f.counters.Requests.Add(1)
	if f.draining.Load() {
		ctx.SetConnectionClose()
	}
	defer func() {
		if v := recover(); v != nil {
			f.counters.Panics.Add(1)
			f.Logger.Error("panic while serving a request", "panic", v, "stack", string(debug.Stack()))
			ctx.Response.Reset()
			e := refuse(fasthttp.StatusInternalServerError, "internal", "", "internal error")
			e.execution = guavaretry.ExecutionUnknown
			e.write(ctx)
			ctx.SetConnectionClose()
		}
	}()
	if err := guavatransport.CheckFields(ctx.Request.Header.RawHeaders()); err != nil {
		f.handleError(ctx, err)
		return
	}
	guavatransport.IgnoreTrailers(&ctx.Request.Header)
	c := &call{front: f, ctx: ctx, snapshot: f.Snapshot(), path: string(ctx.Path())}
	if e := c.serve(); e != nil {
		f.counters.Refused.Add(1)
		if e.denied {
			f.counters.Denied.Add(1)
		}
		e.write(ctx)
	}
}

// serve serves the request. It returns a failure if the request is rejected before dispatch.
func (c *call) serve() *failure {
	if e := c.setRequestID(); e != nil {
		return e
	}
	if e := c.findRoute(); e != nil {
		return e
	}
	if e := c.authenticate(); e != nil {
		return e
	}
	if e := c.setDeadline(); e != nil {
		return e
	}
	if e := c.begin(); e != nil {
		return e
	}
	switch c.route.Name {
	case routeFiles, routeBatches:
		if hasPathPrefix(c.path, "/v1/files") || hasPathPrefix(c.path, "/v1/batches") {
			return c.serveHandler()
		}
	case routeModels:
		if hasPathPrefix(c.path, "/v1/models") {
			defer c.finish()
			return c.serveModels()
		}
	}
	return c.dispatch()
}

// singleHeader returns the value of a header, or "" without one. It fails if the header is repeated.
func (c *call) singleHeader(name string) (string, *failure) {
	all := c.ctx.Request.Header.PeekAll(name)
	switch len(all) {
	case 0:
		return "", nil
	case 1:
		return string(all[0]), nil
	}
	return "", refuse(fasthttp.StatusBadRequest, "duplicate_header", name, "the header "+name+" occurs more than once")
}

// setRequestID reads or generates the request's identifier and sets it in the response.
func (c *call) setRequestID() *failure {
	id, e := c.singleHeader(guavaback.HeaderID)
	if e == nil && id != "" && !validID(id) {
		e = refuse(fasthttp.StatusBadRequest, "invalid_header", guavaback.HeaderID,
			fmt.Sprintf("X-Request-Id must be 1 to %d printable ASCII characters", maxIDBytes))
	}
	if id == "" || e != nil {
		var b [12]byte
		_, _ = rand.Read(b[:]) // never fails
		id = "req-" + hex.EncodeToString(b[:])
	}
	c.id = id
	c.ctx.Response.Header.Set(guavaback.HeaderID, id)
	return e
}

// validID reports whether an identifier chosen by a caller can be written to headers and JSON without escaping.
func validID(s string) bool {
	if len(s) == 0 || len(s) > maxIDBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			return false
		}
	}
	return true
}

// findRoute sets the route that the path belongs to.
func (c *call) findRoute() *failure {
	// The built-in routes take precedence over routes declared at their paths.
	switch {
	case hasPathPrefix(c.path, "/v1/files") && c.front.Files != nil:
		c.route = guavaconfig.Route{Name: routeFiles, Path: "/v1/files"}
		return nil
	case hasPathPrefix(c.path, "/v1/batches") && c.front.Batches != nil:
		c.route = guavaconfig.Route{Name: routeBatches, Path: "/v1/batches"}
		return nil
	case hasPathPrefix(c.path, "/v1/models"):
		c.route = guavaconfig.Route{Name: routeModels, Path: "/v1/models"}
		return nil
	}
	r, ok := c.snapshot.Route(c.path)
	if !ok || hasPathPrefix(c.path, "/v1/files") || hasPathPrefix(c.path, "/v1/batches") {
		return refuse(fasthttp.StatusNotFound, "not_found", "", "no route leads to "+c.path)
	}
	c.route = r
	return nil
}

// authenticate checks the key. On an open route, no key is needed and a given key is ignored.
func (c *call) authenticate() *failure {
	if c.route.Open {
		return nil
	}
	value, e := c.singleHeader(fasthttp.HeaderAuthorization)
	if e != nil {
		return e
	}
	deny := func(status int, code, message string) *failure {
		e := refuse(status, code, "", message)
		e.denied = true
		return e
	}
	const scheme = "Bearer "
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return deny(fasthttp.StatusUnauthorized, "missing_key", "a key is required as Authorization: Bearer")
	}
	k, err := guavakey.Check(c.snapshot, strings.TrimSpace(value[len(scheme):]))
	switch {
	case errors.Is(err, guavakey.ErrMalformed):
		return deny(fasthttp.StatusUnauthorized, "malformed_key", err.Error())
	case err != nil:
		return deny(fasthttp.StatusUnauthorized, "invalid_key", err.Error())
	case !allows(c.snapshot, k, c.route.Name):
		return deny(fasthttp.StatusForbidden, "route_not_allowed", "the key may not use route "+c.route.Name)
	}
	c.key = k
	return nil
}

// setDeadline sets the deadline from the caller's header, the route's default, or the front's default, in this order.
func (c *call) setDeadline() *failure {
	value, e := c.singleHeader(guavaback.HeaderDeadline)
	if e != nil {
		return e
	}
	timeout := c.front.defaultTimeout
	if c.route.Deadline > 0 {
		timeout = time.Duration(c.route.Deadline) * time.Millisecond
	}
	if value != "" {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
			return refuse(fasthttp.StatusBadRequest, "invalid_header", guavaback.HeaderDeadline,
				"X-Deadline-Ms must be a number of milliseconds from 1 to 86400000")
		}
		timeout = time.Duration(n) * time.Millisecond
	}
	c.deadline = time.Now().Add(timeout)
	return nil
}

// begin creates the context of the request and tracks the request under its key.
func (c *call) begin() *failure {
	run, cancel := context.WithCancelCause(c.front.baseContext)
	run, cancelDeadline := context.WithDeadlineCause(run, c.deadline, errDeadline)
	c.runContext = run
	if c.key.Name == "" {
		c.finish = func() {
			cancelDeadline()
			cancel(nil)
		}
		c.prepareWatch(cancel)
		return nil
	}
	t := &trackedRequest{key: c.key, route: c.route.Name, cancel: cancel}
	c.front.running.add(t)
	c.finish = func() {
		c.front.running.remove(t)
		cancelDeadline()
		cancel(nil)
	}
	// Refresh misses this request if the configuration changed after authenticate and before add: check again.
	if s := c.front.Snapshot(); s != c.snapshot && !t.valid(s) {
		c.finish()
		e := refuse(fasthttp.StatusUnauthorized, "key_withdrawn", "", errWithdrawn.Error())
		e.denied = true
		return e
	}
	c.prepareWatch(cancel)
	return nil
}

// prepareWatch sets startWatch, and makes finish stop the watch that it starts.
func (c *call) prepareWatch(cancel context.CancelCauseFunc) {
	finish := c.finish
	c.startWatch = func() {}
	w, ok := c.ctx.Conn().(*guavalisten.Connection)
	if !ok {
		return
	}
	watched := false
	c.finish = func() {
		if watched {
			w.Unwatch()
		}
		finish()
	}
	c.startWatch = func() {
		watched = true
		w.Watch(func() {
			c.countDisconnect()
			cancel(errDisconnected)
		})
	}
}

// countDisconnect counts a disconnected caller once: both a failed read and a failed write can detect it.
func (c *call) countDisconnect() {
	if !c.disconnected.Swap(true) {
		c.front.counters.Disconnected.Add(1)
	}
}

// serveHandler calls the handler of files or batches.
func (c *call) serveHandler() *failure {
	defer c.finish()
	defer c.endReading()()
	handler := c.front.Files
	if c.route.Name == routeBatches {
		handler = c.front.Batches
	}
	handler(c.ctx, c.key.Account)
	if errors.Is(context.Cause(c.runContext), errWithdrawn) {
		closeAfterResponse(c.ctx)
		return &failure{
			status: fasthttp.StatusUnauthorized, code: "key_withdrawn", message: errWithdrawn.Error(),
			execution: guavaretry.ExecutionUnknown, denied: true,
		}
	}
	return nil
}

// serveModels serves GET /v1/models and /v1/models/<id>.
func (c *call) serveModels() *failure {
	if !c.ctx.IsGet() && !c.ctx.IsHead() {
		return c.methodNotAllowed("GET")
	}
	type object struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}
	list := []object{}
	for _, m := range c.snapshot.Declarations().Models {
		list = append(list, object{ID: m.Name, Object: "model", Owner: "guavaridge"})
		for _, a := range m.Adapters {
			list = append(list, object{ID: m.Name + ":" + a, Object: "model", Owner: "guavaridge"})
		}
	}
	var v any = struct {
		Object string   `json:"object"`
		Data   []object `json:"data"`
	}{"list", list}
	if id := strings.Trim(strings.TrimPrefix(c.path, "/v1/models"), "/"); id != "" {
		v = nil
		for _, o := range list {
			if o.ID == id {
				v = o
			}
		}
		if v == nil {
			return modelNotFound(id)
		}
	}
	data, _ := json.Marshal(v) // strings always encode
	c.ctx.SetContentType("application/json")
	c.ctx.SetBody(data)
	return nil
}

func modelNotFound(name string) *failure {
	return refuse(fasthttp.StatusNotFound, "model_not_found", "model", fmt.Sprintf("the model %.128q does not exist", name))
}

func (c *call) methodNotAllowed(allow string) *failure {
	c.ctx.Response.Header.Set("Allow", allow)
	return refuse(fasthttp.StatusMethodNotAllowed, "method_not_allowed", "", "the method is not allowed for "+c.path)
}

// dispatchRequest builds the request for the dispatcher, without its body, with API keys removed from path and headers.
func (c *call) dispatchRequest() (guavadispatch.Request, *failure) {
	idempotencyKey, e := c.singleHeader(headerIdempotency)
	if e == nil && idempotencyKey != "" && !validID(idempotencyKey) {
		e = refuse(fasthttp.StatusBadRequest, "invalid_header", headerIdempotency,
			fmt.Sprintf("Idempotency-Key must be 1 to %d printable ASCII characters", maxIDBytes))
	}
	if e != nil {
		return guavadispatch.Request{}, e
	}
	header := c.forwardedHeader()
	if idempotencyKey != "" {
		header[headerIdempotency] = idempotencyKey // the one that counts here, even if the caller names it as a connection option
	}
	return guavadispatch.Request{
		ID: c.id, Account: c.key.Account, Route: c.route, Method: string(c.ctx.Method()),
		Path: guavakey.ScrubPath(string(c.ctx.URI().RequestURI())), Header: header,
		IdempotencyKey: idempotencyKey, Deadline: c.deadline,
	}, nil
}

// unforwarded are hop-by-hop headers and headers that the front itself handles.
var unforwarded = func() map[string]bool {
	m := map[string]bool{
		"Proxy-Authenticate": true, "Transfer-Encoding": true, "Host": true, "Content-Length": true,
		guavaback.HeaderID: true, guavaback.HeaderDeadline: true, guavaback.HeaderResume: true, guavaback.HeaderLoad: true,
	}
	for _, name := range guavatransport.HopHeaders() {
		m[name] = true
	}
	return m
}()

// forwardedHeader returns the headers to forward. Values of a repeated header are joined by commas.
func (c *call) forwardedHeader() map[string]string {
	m := make(map[string]string, 8)
	h := &c.ctx.Request.Header
	for k, v := range h.All() {
		if unforwarded[string(k)] {
			continue
		}
		name := string(k)
		value, ok := guavakey.ScrubHeader(name, string(v))
		if !ok {
			continue
		}
		if previous, repeated := m[name]; repeated {
			value = previous + ", " + value
		}
		m[name] = value
	}
	for _, options := range h.PeekAll(fasthttp.HeaderConnection) {
		for name := range strings.SplitSeq(string(options), ",") {
			for k := range m {
				if strings.EqualFold(k, strings.TrimSpace(name)) {
					delete(m, k)
				}
			}
		}
	}
	return m
}

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
	// maxName bounds the identifiers that callers choose, in bytes.
	maxName = 128
	// maxDeadline is the longest deadline that a caller may ask for.
	maxDeadline = 24 * time.Hour
)

// Routes that exist without a declaration. A key of restricted routes must name them, except for models, which
// any valid key may list.
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

// call is a request on its way through the front.
type call struct {
	front    *Front
	ctx      *fasthttp.RequestCtx
	snapshot *guavaconfig.Snapshot
	path     string // decoded and cleaned
	id       string
	route    guavaconfig.Route
	key      guavaconfig.Key // zero on open routes
	deadline time.Time
	// run is the context under which the request is served; finish ends it and forgets the request.
	run    context.Context
	finish func()
	// startWatch ends the request when its caller leaves. The body must have been read before.
	startWatch func()
	vanished   atomic.Bool
}

// headerReceived sets the time for the body and its largest size by path.
func (f *Front) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if under(string(h.RequestURI()), "/v1/files") {
		return fasthttp.RequestConfig{ReadTimeout: f.fileTime, MaxRequestBodySize: f.file}
	}
	return fasthttp.RequestConfig{ReadTimeout: f.bodyTime, MaxRequestBodySize: f.body}
}

// under reports whether a path, with or without query, is at or below a prefix.
func under(path, prefix string) bool {
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
			e.ran = guavaretry.ExecutionUnknown
			e.write(ctx)
			ctx.SetConnectionClose()
		}
	}()
	c := &call{front: f, ctx: ctx, snapshot: f.Snapshot(), path: string(ctx.Path())}
	if e := c.serve(); e != nil {
		f.counters.Refused.Add(1)
		if e.deny {
			f.counters.Denied.Add(1)
		}
		e.write(ctx)
	}
}

// serve returns the failure of a request that was refused before it ran.
func (c *call) serve() *failure {
	if e := c.identify(); e != nil {
		return e
	}
	if e := c.choose(); e != nil {
		return e
	}
	if e := c.authenticate(); e != nil {
		return e
	}
	if e := c.limit(); e != nil {
		return e
	}
	if e := c.begin(); e != nil {
		return e
	}
	switch c.route.Name {
	case routeFiles, routeBatches:
		if under(c.path, "/v1/files") || under(c.path, "/v1/batches") {
			return c.serveHandler()
		}
	case routeModels:
		if under(c.path, "/v1/models") {
			defer c.finish()
			return c.serveModels()
		}
	}
	return c.dispatch()
}

// single returns the value of a header that may occur once.
func (c *call) single(name string) (string, *failure) {
	all := c.ctx.Request.Header.PeekAll(name)
	switch len(all) {
	case 0:
		return "", nil
	case 1:
		return string(all[0]), nil
	}
	return "", refuse(fasthttp.StatusBadRequest, "duplicate_header", name, "the header "+name+" occurs more than once")
}

// identify reads or makes the request's identifier and echoes it.
func (c *call) identify() *failure {
	id, e := c.single(guavaback.HeaderID)
	if e == nil && id != "" && !validName(id) {
		e = refuse(fasthttp.StatusBadRequest, "invalid_header", guavaback.HeaderID,
			fmt.Sprintf("X-Request-Id must be 1 to %d printable ASCII characters", maxName))
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

// validName reports whether a caller's identifier can be passed on in headers and JSON.
func validName(s string) bool {
	if len(s) == 0 || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			return false
		}
	}
	return true
}

// choose finds the route.
func (c *call) choose() *failure {
	// Files, batches and models are served here whatever else is declared at their paths.
	switch {
	case under(c.path, "/v1/files") && c.front.Files != nil:
		c.route = guavaconfig.Route{Name: routeFiles, Path: "/v1/files"}
		return nil
	case under(c.path, "/v1/batches") && c.front.Batches != nil:
		c.route = guavaconfig.Route{Name: routeBatches, Path: "/v1/batches"}
		return nil
	case under(c.path, "/v1/models"):
		c.route = guavaconfig.Route{Name: routeModels, Path: "/v1/models"}
		return nil
	}
	r, ok := c.snapshot.Route(c.path)
	if !ok || under(c.path, "/v1/files") || under(c.path, "/v1/batches") {
		return refuse(fasthttp.StatusNotFound, "not_found", "", "no route leads to "+c.path)
	}
	c.route = r
	return nil
}

// authenticate checks the key. On a route open to all, a key is neither needed nor looked at.
func (c *call) authenticate() *failure {
	if c.route.Open {
		return nil
	}
	value, e := c.single(fasthttp.HeaderAuthorization)
	if e != nil {
		return e
	}
	deny := func(status int, code, message string) *failure {
		e := refuse(status, code, "", message)
		e.deny = true
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

// limit reads the deadline.
func (c *call) limit() *failure {
	value, e := c.single(guavaback.HeaderDeadline)
	if e != nil {
		return e
	}
	left := c.front.deadline
	if c.route.Deadline > 0 {
		left = time.Duration(c.route.Deadline) * time.Millisecond
	}
	if value != "" {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
			return refuse(fasthttp.StatusBadRequest, "invalid_header", guavaback.HeaderDeadline,
				"X-Deadline-Ms must be a number of milliseconds from 1 to 86400000")
		}
		left = time.Duration(n) * time.Millisecond
	}
	c.deadline = time.Now().Add(left)
	return nil
}

// begin makes the context of the request and tracks it under its key.
func (c *call) begin() *failure {
	run, end := context.WithCancelCause(c.front.base)
	run, stop := context.WithDeadlineCause(run, c.deadline, errDeadline)
	c.run = run
	if c.key.Name == "" {
		c.finish = func() {
			stop()
			end(nil)
		}
		c.watch(end)
		return nil
	}
	t := &tracked{key: c.key, route: c.route.Name, end: end}
	c.front.running.add(t)
	c.finish = func() {
		c.front.running.remove(t)
		stop()
		end(nil)
	}
	// A configuration that came into force between the check and the tracking has not seen this request.
	if s := c.front.Snapshot(); s != c.snapshot && !t.valid(s) {
		c.finish()
		e := refuse(fasthttp.StatusUnauthorized, "key_withdrawn", "", errWithdrawn.Error())
		e.deny = true
		return e
	}
	c.watch(end)
	return nil
}

// watch prepares startWatch.
func (c *call) watch(end context.CancelCauseFunc) {
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
			c.vanish()
			end(errVanished)
		})
	}
}

// vanish counts a caller that left, which both a read and a write can notice.
func (c *call) vanish() {
	if !c.vanished.Swap(true) {
		c.front.counters.Disconnected.Add(1)
	}
}

// serveHandler passes the request on to the handler of files or batches.
func (c *call) serveHandler() *failure {
	defer c.finish()
	defer c.endReading()()
	handler := c.front.Files
	if c.route.Name == routeBatches {
		handler = c.front.Batches
	}
	handler(c.ctx, c.key.Account)
	if errors.Is(context.Cause(c.run), errWithdrawn) {
		hangUp(c.ctx)
		return &failure{
			status: fasthttp.StatusUnauthorized, code: "key_withdrawn", message: errWithdrawn.Error(),
			ran: guavaretry.ExecutionUnknown, deny: true,
		}
	}
	return nil
}

// serveModels answers GET /v1/models and /v1/models/<id>.
func (c *call) serveModels() *failure {
	if !c.ctx.IsGet() && !c.ctx.IsHead() {
		return c.notAllowed("GET")
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
			return modelUnknown(id)
		}
	}
	data, _ := json.Marshal(v) // strings always encode
	c.ctx.SetContentType("application/json")
	c.ctx.SetBody(data)
	return nil
}

func modelUnknown(name string) *failure {
	return refuse(fasthttp.StatusNotFound, "model_not_found", "model", fmt.Sprintf("the model %.128q does not exist", name))
}

func (c *call) notAllowed(allow string) *failure {
	c.ctx.Response.Header.Set("Allow", allow)
	return refuse(fasthttp.StatusMethodNotAllowed, "method_not_allowed", "", "the method is not allowed for "+c.path)
}

// request builds what the dispatcher gets, without keys.
func (c *call) request(body []byte) (guavadispatch.Request, *failure) {
	idempotency, e := c.single(headerIdempotency)
	if e == nil && idempotency != "" && !validName(idempotency) {
		e = refuse(fasthttp.StatusBadRequest, "invalid_header", headerIdempotency,
			fmt.Sprintf("Idempotency-Key must be 1 to %d printable ASCII characters", maxName))
	}
	if e != nil {
		return guavadispatch.Request{}, e
	}
	return guavadispatch.Request{
		ID: c.id, Account: c.key.Account, Route: c.route, Method: string(c.ctx.Method()),
		Path: guavakey.ScrubPath(string(c.ctx.URI().RequestURI())), Header: c.header(),
		Body: guavakey.ScrubBody(body), IdempotencyKey: idempotency, Deadline: c.deadline,
	}, nil
}

// kept are headers that concern one connection, or that the front itself deals with.
var kept = func() map[string]bool {
	m := map[string]bool{
		"Proxy-Authenticate": true, "Transfer-Encoding": true, "Host": true, "Content-Length": true,
		guavaback.HeaderID: true, guavaback.HeaderDeadline: true, guavaback.HeaderResume: true, guavaback.HeaderLoad: true,
	}
	for _, name := range guavatransport.HopHeaders() {
		m[name] = true
	}
	return m
}()

// header returns the headers to pass on. Values of a header that occurs more than once are joined.
func (c *call) header() map[string]string {
	m := make(map[string]string, 8)
	h := &c.ctx.Request.Header
	for k, v := range h.All() {
		if kept[string(k)] {
			continue
		}
		name := string(k)
		value, ok := guavakey.ScrubHeader(name, string(v))
		if !ok {
			continue
		}
		if before, twice := m[name]; twice {
			value = before + ", " + value
		}
		m[name] = value
	}
	if named := h.Peek("Connection"); len(named) > 0 {
		for name := range strings.SplitSeq(string(named), ",") {
			for k := range m {
				if strings.EqualFold(k, strings.TrimSpace(name)) {
					delete(m, k)
				}
			}
		}
	}
	return m
}

package guavafront

import (
	"bytes"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavakey"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
)

// dispatch serves completions and services. It is responsible for calling finish.
func (c *call) dispatch() *failure {
	streaming := false
	defer func() {
		if !streaming {
			c.finish()
		}
	}()
	r, e := c.dispatchRequest() // before the body is read, which adds its trailer section to the header
	if e != nil {
		return e
	}
	body, e := c.readBody()
	if e != nil {
		return e
	}
	if e := c.checkEnded(); e != nil {
		return e
	}
	r.Body = guavakey.ScrubBody(body)
	if c.route.Service == "" {
		if e := c.parseCompletion(&r); e != nil {
			return e
		}
	}
	c.startWatch()
	if r.Stream {
		streaming = c.serveStream(r)
		return nil
	}
	response, err := c.front.Dispatcher.Run(c.runContext, r, discard{})
	if err != nil {
		dispatchFailure(c.runContext, err).write(c.ctx)
		return nil
	}
	c.writeResponse(response)
	return nil
}

// parseCompletion parses the body of a completion request and sets the corresponding fields of r.
func (c *call) parseCompletion(r *guavadispatch.Request) *failure {
	chat := c.path == "/v1/chat/completions"
	if !chat && c.path != "/v1/completions" {
		return refuse(fasthttp.StatusNotFound, "not_found", "", "no route leads to "+c.path)
	}
	if !c.ctx.IsPost() {
		return c.methodNotAllowed("POST")
	}
	p, err := guavaback.ParseCompletion(r.Body, chat)
	if err != nil {
		var param string
		if f, ok := errors.AsType[*guavaback.FieldError](err); ok {
			param = f.Field
		}
		return refuse(fasthttp.StatusBadRequest, "invalid_body", param, err.Error())
	}
	switch {
	case p.Resume != "":
		return refuse(fasthttp.StatusBadRequest, "invalid_body", "resume", "the field is reserved")
	case p.Stream && p.Choices > 1:
		// A stream with several choices cannot be resumed after a backend failure.
		return refuse(fasthttp.StatusBadRequest, "invalid_body", "n", "n must be 1 in a stream")
	}
	m, ok := c.snapshot.Model(p.Model)
	if !ok {
		name, adapter, _ := strings.Cut(p.Model, ":")
		if m, ok = c.snapshot.Model(name); ok {
			ok = false
			for _, a := range m.Adapters {
				ok = ok || a == adapter
			}
			r.Adapter = adapter
		}
	}
	if !ok {
		return modelNotFound(p.Model)
	}
	r.Model, r.Stream, r.Prompt = m.Name, p.Stream, p.Prompt
	delete(r.Header, "Accept-Encoding") // events are parsed one by one, so they must not be compressed
	return nil
}

// writeResponse writes a buffered response.
func (c *call) writeResponse(a guavaback.Response) {
	h := &c.ctx.Response.Header
	for k, v := range a.Header {
		if strings.IndexByte(v, '\n') < 0 {
			h.Set(k, v)
			continue
		}
		for value := range strings.SplitSeq(v, "\n") {
			h.Add(k, value)
		}
	}
	c.ctx.SetStatusCode(a.Status)
	body := a.Body
	if c.route.Service == "" {
		if a.Status >= fasthttp.StatusBadRequest {
			body = errorBody(body, a.Status)
		} else {
			body = appendWithID(make([]byte, 0, len(body)+len(c.id)), body, c.id)
		}
	}
	if c.ctx.IsHead() {
		c.ctx.Response.SkipBody = true
	}
	c.ctx.Response.SetBodyRaw(body)
}

// errorBody converts an engine's error response to the error object for callers. An engine that responds with a
// status below 500 has rejected the request without executing it.
func errorBody(body []byte, status int) []byte {
	if bytes.Contains(body, []byte(`"ran"`)) {
		return body
	}
	e := refuse(status, "backend_refused", "", strings.TrimSpace(string(body[:min(len(body), 1000)])))
	if status >= fasthttp.StatusInternalServerError {
		e.execution = guavaretry.ExecutionUnknown
	}
	if m := errorMessage(body); m != "" {
		e.message = m
	}
	return e.errorObject()
}

// discard is the sink of requests whose response is not streamed.
type discard struct{}

// Head implements guavaback.Sink.
func (discard) Head(int, map[string]string) error { return nil }

// Event implements guavaback.Sink.
func (discard) Event([]byte) error { return nil }

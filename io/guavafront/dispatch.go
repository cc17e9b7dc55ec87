package guavafront

import (
	"bytes"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
)

// dispatch serves completions and plain services. It takes over the duty to call finish.
func (c *call) dispatch() *failure {
	streams := false
	defer func() {
		if !streams {
			c.finish()
		}
	}()
	body, e := c.body()
	if e != nil {
		return e
	}
	if e := c.over(); e != nil {
		return e
	}
	r, e := c.request(body)
	if e != nil {
		return e
	}
	if c.route.Service == "" {
		if e := c.complete(&r); e != nil {
			return e
		}
	}
	c.startWatch()
	if r.Stream {
		streams = c.serveStream(r)
		return nil
	}
	answer, err := c.front.Dispatcher.Run(c.run, r, discard{})
	if err != nil {
		dispatchFailure(c.run, err).write(c.ctx)
		return nil
	}
	c.write(answer)
	return nil
}

// complete reads the fields of a completion into r.
func (c *call) complete(r *guavadispatch.Request) *failure {
	chat := c.path == "/v1/chat/completions"
	if !chat && c.path != "/v1/completions" {
		return refuse(fasthttp.StatusNotFound, "not_found", "", "no route leads to "+c.path)
	}
	if !c.ctx.IsPost() {
		return c.notAllowed("POST")
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
		// A stream of several choices cannot resume after a failure.
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
		return modelUnknown(p.Model)
	}
	r.Model, r.Stream, r.Prompt = m.Name, p.Stream, p.Prompt
	delete(r.Header, "Accept-Encoding") // events are checked one by one on the way
	return nil
}

// write sends a plain answer to the caller.
func (c *call) write(a guavaback.Response) {
	h := &c.ctx.Response.Header
	for k, v := range a.Header {
		if strings.IndexByte(v, '\n') < 0 {
			h.Set(k, v)
			continue
		}
		for one := range strings.SplitSeq(v, "\n") {
			h.Add(k, one)
		}
	}
	c.ctx.SetStatusCode(a.Status)
	body := a.Body
	if c.route.Service == "" {
		if a.Status >= fasthttp.StatusBadRequest {
			body = withRan(body, a.Status)
		} else {
			body = appendWithID(make([]byte, 0, len(body)+len(c.id)), body, c.id)
		}
	}
	if c.ctx.IsHead() {
		c.ctx.Response.SkipBody = true
	}
	c.ctx.Response.SetBodyRaw(body)
}

// withRan gives an engine's error the shape that callers get: a status of the engine means that it refused.
func withRan(body []byte, status int) []byte {
	if bytes.Contains(body, []byte(`"ran"`)) {
		return body
	}
	e := refuse(status, "backend_refused", "", strings.TrimSpace(string(body[:min(len(body), 1000)])))
	if status >= fasthttp.StatusInternalServerError {
		e.ran = guavaretry.ExecutionUnknown
	}
	if m := errorMessage(body); m != "" {
		e.message = m
	}
	return e.object()
}

// discard is the sink of requests that do not stream.
type discard struct{}

// Head implements guavaback.Sink.
func (discard) Head(int, map[string]string) error { return nil }

// Event implements guavaback.Sink.
func (discard) Event([]byte) error { return nil }

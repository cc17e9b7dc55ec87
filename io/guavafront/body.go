package guavafront

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavalisten"
)

// body reads the request's body.
func (c *call) body() ([]byte, *failure) {
	limit := c.front.body
	size := c.ctx.Request.Header.ContentLength()
	if size > limit {
		return nil, c.bodyTooLarge()
	}
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		return bytes.Clone(c.ctx.Request.Body()), nil
	}
	defer c.endReading()()
	if size > 0 {
		body := make([]byte, size)
		if _, err := io.ReadFull(stream, body); err != nil {
			return nil, c.bodyFailure(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		return nil, c.bodyFailure(err)
	}
	if len(body) > limit {
		return nil, c.bodyTooLarge()
	}
	return body, nil
}

// endReading makes the end of the request, such as a withdrawn key, end the reading of its body too. The result
// ends that.
func (c *call) endReading() (stop func() bool) {
	w, ok := c.ctx.Conn().(*guavalisten.Connection)
	if !ok {
		return func() bool { return true }
	}
	return context.AfterFunc(c.run, func() {
		_ = w.SetReadDeadline(guavalisten.Past) // fails only on a closed connection, whose read has ended
	})
}

func (c *call) bodyTooLarge() *failure {
	hangUp(c.ctx)
	return refuse(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "",
		fmt.Sprintf("the body is larger than %d bytes", c.front.body))
}

// over returns the failure of a request that ended before it was dispatched, or nil.
func (c *call) over() *failure {
	if c.run.Err() == nil {
		return nil
	}
	e := dispatchFailure(c.run, c.run.Err())
	e.ran = guavaretry.NotExecuted
	hangUp(c.ctx)
	return e
}

// hangUp closes the connection after the answer, although the caller may not have sent everything.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if w, ok := ctx.Conn().(*guavalisten.Connection); ok {
		w.Linger()
	}
}

func (c *call) bodyFailure(err error) *failure {
	if e := c.over(); e != nil {
		return e
	}
	hangUp(c.ctx)
	if timedOut(err) {
		return refuse(fasthttp.StatusRequestTimeout, "request_timeout", "", "the body was not sent in time")
	}
	return refuse(fasthttp.StatusBadRequest, "malformed_request", "", "the body ended early or is malformed")
}

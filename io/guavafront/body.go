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

// readBody reads the request body and fails if it is larger than maxBody.
func (c *call) readBody() ([]byte, *failure) {
	limit := c.front.maxBody
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

// endReading interrupts the reading of the body when the request is cancelled, for example because its key was
// withdrawn. The returned function disables this.
func (c *call) endReading() (stop func() bool) {
	w, ok := c.ctx.Conn().(*guavalisten.Connection)
	if !ok {
		return func() bool { return true }
	}
	return context.AfterFunc(c.runContext, func() {
		_ = w.SetReadDeadline(guavalisten.Past) // fails only on a closed connection, whose read has ended
	})
}

func (c *call) bodyTooLarge() *failure {
	closeAfterResponse(c.ctx)
	return refuse(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "",
		fmt.Sprintf("the body is larger than %d bytes", c.front.maxBody))
}

// checkEnded returns the failure of a request that was cancelled before dispatch, or nil.
func (c *call) checkEnded() *failure {
	if c.runContext.Err() == nil {
		return nil
	}
	e := dispatchFailure(c.runContext, c.runContext.Err())
	e.execution = guavaretry.NotExecuted
	closeAfterResponse(c.ctx)
	return e
}

// closeAfterResponse closes the connection after the response, although the caller may still be sending its request.
func closeAfterResponse(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	if w, ok := ctx.Conn().(*guavalisten.Connection); ok {
		w.Linger()
	}
}

func (c *call) bodyFailure(err error) *failure {
	if e := c.checkEnded(); e != nil {
		return e
	}
	closeAfterResponse(c.ctx)
	if timedOut(err) {
		return refuse(fasthttp.StatusRequestTimeout, "request_timeout", "", "the body was not sent in time")
	}
	return refuse(fasthttp.StatusBadRequest, "malformed_request", "", "the body ended early or is malformed")
}

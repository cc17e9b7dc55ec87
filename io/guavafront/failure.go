package guavafront

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
)

// failure is an error as callers see it.
type failure struct {
	status  int
	code    string
	param   string
	message string
	ran     guavaretry.Execution
	wait    time.Duration
	// deny counts the failure as a missing or invalid key.
	deny bool
}

// refuse returns a failure of a request that did not run.
func refuse(status int, code, param, message string) *failure {
	return &failure{status: status, code: code, param: param, message: message, ran: guavaretry.NotExecuted}
}

// kind returns the error's type in the customary error object.
func (e *failure) kind() string {
	switch {
	case e.status == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case e.status == fasthttp.StatusForbidden:
		return "permission_error"
	case e.status == fasthttp.StatusTooManyRequests:
		return "rate_limit_error"
	case e.status == fasthttp.StatusGatewayTimeout:
		return "timeout_error"
	case e.status >= fasthttp.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// object returns the JSON of the error.
func (e *failure) object() []byte {
	type detail struct {
		Message string               `json:"message"`
		Type    string               `json:"type"`
		Param   *string              `json:"param"`
		Code    string               `json:"code"`
		Ran     guavaretry.Execution `json:"ran"`
	}
	d := detail{Message: e.message, Type: e.kind(), Code: e.code, Ran: e.ran}
	if e.param != "" {
		d.Param = &e.param
	}
	data, _ := json.Marshal(map[string]detail{"error": d}) // strings always encode
	return data
}

// write answers with the failure.
func (e *failure) write(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(e.status)
	ctx.SetContentType("application/json")
	if e.wait > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.wait.Seconds()))))
	}
	if e.status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	ctx.SetBody(e.object())
}

// overloadWait is told to callers when the fleet has no capacity and the dispatcher names no time.
const overloadWait = time.Second

// serverMessages are the messages of failures inside the system, by code. The errors themselves name addresses of backend
// servers and rows of the platform, which callers must not see.
var serverMessages = map[string]string{
	"backend_failed":     "the backend server failed",
	"deadline":           "the request cannot be answered before its deadline",
	"intent_unavailable": "calls that may not be repeated cannot be recorded now",
	"internal":           "an internal error occurred",
	"no_server":          "no backend server can take the request now",
	"queue_full":         "too many requests wait for this model or service",
	"retry_budget":       "the backend server failed, and too many requests are being repeated",
}

// dispatchFailure turns an error of the dispatcher into what the caller sees. The reason for which the front
// itself ended the request comes first.
func dispatchFailure(ctx context.Context, err error) *failure {
	e := &failure{status: fasthttp.StatusInternalServerError, code: "internal", message: err.Error(), ran: guavaretry.ExecutionUnknown}
	if d, ok := errors.AsType[*guavadispatch.Error](err); ok {
		e.ran, e.wait = d.Execution, d.RetryAfter
		if d.Status != 0 {
			e.status, e.code = d.Status, d.Code
		}
		if e.status == fasthttp.StatusServiceUnavailable && e.wait == 0 {
			e.wait = overloadWait
		}
	} else if b, ok := errors.AsType[*guavaback.Error](err); ok {
		e.status, e.code, e.ran = fasthttp.StatusBadGateway, "backend_failed", b.Execution
	}
	if m, ok := serverMessages[e.code]; ok {
		e.message = m
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errWithdrawn):
		e.status, e.code, e.message, e.wait = fasthttp.StatusUnauthorized, "key_withdrawn", cause.Error(), 0
	case errors.Is(cause, errDeadline):
		e.status, e.code, e.message, e.wait = fasthttp.StatusGatewayTimeout, "deadline_exceeded", cause.Error(), 0
	case errors.Is(cause, errClosing):
		e.status, e.code, e.message = fasthttp.StatusServiceUnavailable, "closing", cause.Error()
	}
	return e
}

// timedOut reports whether reading took too long.
func timedOut(err error) bool {
	t, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err)
	return ok && t.Timeout()
}

// handleError answers requests that the server could not read.
func (f *Front) handleError(ctx *fasthttp.RequestCtx, err error) {
	f.counters.Refused.Add(1)
	e := refuse(fasthttp.StatusBadRequest, "malformed_request", "", "the request is not valid HTTP")
	if _, ok := errors.AsType[*fasthttp.ErrSmallBuffer](err); ok {
		e = refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large", "",
			fmt.Sprintf("the header is larger than %d bytes", f.header))
	} else if timedOut(err) {
		e = refuse(fasthttp.StatusRequestTimeout, "request_timeout", "", "the request was not sent in time")
	} else if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		e = refuse(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "", "the body is too large")
	}
	e.write(ctx)
	hangUp(ctx)
}

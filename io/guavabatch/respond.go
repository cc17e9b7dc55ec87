package guavabatch

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaplatform"
)

// pageSize and maxPageSize bound a list when the caller gives no limit or a larger one.
const (
	pageSize    = 20
	maxPageSize = 100
)

// list is one page of a list response of the OpenAI API.
type list[T any] struct {
	Object string `json:"object"`
	Data   []T    `json:"data"`
	First  string `json:"first_id,omitempty"`
	Last   string `json:"last_id,omitempty"`
	More   bool   `json:"has_more"`
}

func newList[T any](data []T, more bool, id func(T) string) list[T] {
	l := list[T]{Object: "list", Data: data, More: more}
	if len(data) > 0 {
		l.First, l.Last = id(data[0]), id(data[len(data)-1])
	}
	return l
}

// pageLimit returns the page size that the request asks for, or the default.
func pageLimit(ctx *fasthttp.RequestCtx) int {
	n, err := ctx.QueryArgs().GetUint("limit")
	if err != nil || n == 0 {
		return pageSize
	}
	return min(n, maxPageSize)
}

func respond(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(fasthttp.StatusOK)
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// respondError writes an error response. A request to these paths is either durable or has no effect; its outcome is
// unknown only after a commit that could not be read back.
func respondError(ctx *fasthttp.RequestCtx, err error) {
	status, code, execution := fasthttp.StatusInternalServerError, "internal_error", guavaretry.ExecutionUnknown
	switch {
	case errors.Is(err, ErrAbsent), errors.Is(err, guavaplatform.ErrAbsent):
		status, code, execution = fasthttp.StatusNotFound, "not_found", guavaretry.NotExecuted
	case errors.Is(err, ErrInvalid):
		status, code, execution = fasthttp.StatusBadRequest, "invalid_request", guavaretry.NotExecuted
	case errors.Is(err, ErrReused):
		status, code, execution = fasthttp.StatusConflict, "idempotency_key_reused", guavaretry.NotExecuted
	case errors.Is(err, ErrFinal):
		status, code, execution = fasthttp.StatusConflict, "batch_ended", guavaretry.NotExecuted
	case errors.Is(err, guavaplatform.ErrUnknown):
		status, code = fasthttp.StatusServiceUnavailable, "outcome_unknown"
	case unavailable(err):
		status, code, execution = fasthttp.StatusServiceUnavailable, "platform_unavailable", guavaretry.NotExecuted
	}
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(maxBackoff.Seconds())))
	}
	writeError(ctx, status, code, publicMessage(code, err), execution)
}

// publicMessage returns the error message for the caller. Errors of the platform are replaced, as they name its rows
// and objects.
func publicMessage(code string, err error) string {
	switch code {
	case "internal_error":
		return "an internal error occurred"
	case "outcome_unknown":
		return "the platform did not answer; the request may have taken effect and can be sent again"
	case "platform_unavailable":
		return "the platform does not answer; nothing was changed"
	}
	return err.Error()
}

func writeError(ctx *fasthttp.RequestCtx, status int, code, message string, execution guavaretry.Execution) {
	type body struct {
		Message string               `json:"message"`
		Type    string               `json:"type"`
		Param   *string              `json:"param"`
		Code    string               `json:"code"`
		Ran     guavaretry.Execution `json:"ran"`
	}
	kind := "invalid_request_error"
	if status >= fasthttp.StatusInternalServerError {
		kind = "server_error"
	}
	respond(ctx, map[string]body{"error": {Message: message, Type: kind, Code: code, Ran: execution}})
	ctx.SetStatusCode(status)
}

func methodNotAllowed(ctx *fasthttp.RequestCtx) {
	writeError(ctx, fasthttp.StatusMethodNotAllowed, "method_not_allowed", "the method is not allowed here", guavaretry.NotExecuted)
}

package guavabatch

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavajob"
)

// maxBodyBytes bounds the request body that creates a batch, as the server sets no limit on streamed bodies.
const maxBodyBytes = 256 << 10

// batchObject is a job as a batch object of the OpenAI API. Times are in Unix seconds, null for states not entered.
type batchObject struct {
	ID         string            `json:"id"`
	Object     string            `json:"object"`
	Endpoint   string            `json:"endpoint"`
	Errors     *list[inputError] `json:"errors"`
	Input      string            `json:"input_file_id"`
	Window     string            `json:"completion_window"`
	Status     string            `json:"status"`
	Output     string            `json:"output_file_id"`
	ErrorFile  string            `json:"error_file_id"`
	Created    int64             `json:"created_at"`
	Started    int64             `json:"in_progress_at"`
	Expires    int64             `json:"expires_at"`
	Finalizing *int64            `json:"finalizing_at"`
	Completed  *int64            `json:"completed_at"`
	Failed     *int64            `json:"failed_at"`
	Expired    *int64            `json:"expired_at"`
	Cancelling *int64            `json:"cancelling_at"`
	Cancelled  *int64            `json:"cancelled_at"`
	Counts     guavajob.Counts   `json:"request_counts"`
	Metadata   map[string]string `json:"metadata"`
}

// inputError is an invalid line of the input file.
type inputError struct {
	Code    string  `json:"code"`
	Line    int     `json:"line"`
	Message string  `json:"message"`
	Param   *string `json:"param"`
}

func newBatchObject(j guavajob.Job) batchObject {
	at := func(s guavajob.JobState) *int64 {
		if ms, ok := j.StateTimes[s]; ok {
			seconds := ms / 1000
			return &seconds
		}
		return nil
	}
	b := batchObject{
		ID: j.ID, Object: "batch", Endpoint: j.Path, Input: j.FileID, Window: j.Window, Status: batchStatus(j),
		Output: ResultFile(j, ResultLines), ErrorFile: ResultFile(j, ErrorLines),
		Created: j.Created / 1000, Started: j.Created / 1000, Expires: j.Deadline / 1000,
		Finalizing: at(guavajob.JobExpiring), Completed: at(guavajob.JobCompleted), Expired: at(guavajob.JobExpired),
		Cancelling: at(guavajob.JobCancelling), Cancelled: at(guavajob.JobCancelled),
		Counts: j.Counts, Metadata: j.Labels,
	}
	if b.Window == "" {
		b.Window = "24h"
	}
	if b.Status == "failed" {
		b.Failed, b.Completed = b.Completed, nil
	}
	if len(j.InvalidLines) > 0 {
		b.Errors = &list[inputError]{Object: "list", More: j.InvalidLineCount > len(j.InvalidLines)}
		for _, x := range j.InvalidLines {
			b.Errors.Data = append(b.Errors.Data, inputError{Code: x.Code, Line: x.Line, Message: x.Reason})
		}
	}
	return b
}

// Batches returns the handler of /v1/batches and its subpaths.
func Batches(j Jobs) Handler {
	return func(ctx *fasthttp.RequestCtx, account string) {
		id, action, _ := strings.Cut(strings.Trim(strings.TrimPrefix(string(ctx.Path()), "/v1/batches"), "/"), "/")
		var row guavajob.Job
		var err error
		switch {
		case id == "" && ctx.IsPost():
			row, err = create(ctx, j, account)
		case id == "" && ctx.IsGet():
			listBatches(ctx, j, account)
			return
		case action == "" && ctx.IsGet():
			row, err = j.Show(ctx, account, id)
		case action == "cancel" && ctx.IsPost():
			row, err = j.Cancel(ctx, account, id)
		default:
			methodNotAllowed(ctx)
			return
		}
		if err != nil {
			respondError(ctx, err)
			return
		}
		respond(ctx, newBatchObject(row))
	}
}

func create(ctx *fasthttp.RequestCtx, j Jobs, account string) (guavajob.Job, error) {
	var in struct {
		Input    string            `json:"input_file_id"`
		Endpoint string            `json:"endpoint"`
		Window   string            `json:"completion_window"`
		Metadata map[string]string `json:"metadata"`
	}
	body := ctx.RequestBodyStream()
	if body == nil {
		body = bytes.NewReader(ctx.PostBody())
	}
	if err := json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(&in); err != nil {
		return guavajob.Job{}, errors.Mark(errors.Newf("decode body: %w", err), ErrInvalid)
	}
	if in.Input == "" || in.Endpoint == "" {
		return guavajob.Job{}, errors.Newf("input_file_id and endpoint are required: %w", ErrInvalid)
	}
	s := Submission{
		Account: account, File: in.Input, Path: in.Endpoint, Window: in.Window, Labels: in.Metadata,
		Key: string(ctx.Request.Header.Peek("Idempotency-Key")),
	}
	if ms := string(ctx.Request.Header.Peek("X-Deadline-Ms")); ms != "" {
		s.Window = ms + "ms"
	}
	return j.Submit(ctx, s)
}

func listBatches(ctx *fasthttp.RequestCtx, j Jobs, account string) {
	rows, more, err := j.List(ctx, account, string(ctx.QueryArgs().Peek("after")), pageLimit(ctx))
	if err != nil {
		respondError(ctx, err)
		return
	}
	data := make([]batchObject, 0, len(rows))
	for _, row := range rows {
		data = append(data, newBatchObject(row))
	}
	respond(ctx, newList(data, more, func(b batchObject) string { return b.ID }))
}

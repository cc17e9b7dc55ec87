package guavabatch

import (
	"bytes"
	"context"
	"io"
	"mime"
	"mime/multipart"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavajob"
)

// maxFieldBytes bounds a form field other than the file.
const maxFieldBytes = 4 << 10

// Handler serves an authenticated request of a client account.
type Handler func(ctx *fasthttp.RequestCtx, account string)

// fileObject is a file object of the OpenAI API.
type fileObject struct {
	ID       string `json:"id"`
	Object   string `json:"object"`
	Bytes    int64  `json:"bytes"`
	Created  int64  `json:"created_at"`
	Filename string `json:"filename"`
	Purpose  string `json:"purpose"`
	Status   string `json:"status"`
}

func newFileObject(f File) fileObject {
	return fileObject{
		ID: f.ID, Object: "file", Bytes: f.Bytes, Created: f.Created / 1000, Filename: f.Name, Purpose: f.Purpose,
		Status: "processed",
	}
}

// Files returns the handler of /v1/files and its subpaths. The server needs StreamRequestBody, so that uploads are read
// as streams; bodies up to MaxRequestBodySize are buffered.
func Files(s *Service) Handler {
	return func(ctx *fasthttp.RequestCtx, account string) {
		id, content, _ := strings.Cut(strings.Trim(strings.TrimPrefix(string(ctx.Path()), "/v1/files"), "/"), "/")
		switch {
		case id == "" && ctx.IsPost():
			s.receive(ctx, account)
		case id == "" && ctx.IsGet():
			found, more, err := s.files(ctx, account, string(ctx.QueryArgs().Peek("after")), pageLimit(ctx))
			if err != nil {
				respondError(ctx, err)
				return
			}
			data := make([]fileObject, 0, len(found))
			for _, f := range found {
				data = append(data, newFileObject(f))
			}
			respond(ctx, newList(data, more, func(f fileObject) string { return f.ID }))
		case content == "" && ctx.IsGet():
			s.showFile(ctx, account, id)
		case content == "content" && ctx.IsGet():
			s.content(ctx, account, id)
		case content == "" && ctx.IsDelete():
			if err := s.remove(ctx, account, id); err != nil {
				respondError(ctx, err)
				return
			}
			respond(ctx, map[string]any{"id": id, "object": "file", "deleted": true})
		default:
			methodNotAllowed(ctx)
		}
	}
}

// receive stores the file of a multipart form while the request body is being received.
func (s *Service) receive(ctx *fasthttp.RequestCtx, account string) {
	_, params, err := mime.ParseMediaType(string(ctx.Request.Header.ContentType()))
	if err != nil || params["boundary"] == "" {
		respondError(ctx, errors.Newf("the body is not a multipart form: %w", ErrInvalid))
		return
	}
	body := ctx.RequestBodyStream()
	if body == nil {
		body = bytes.NewReader(ctx.PostBody())
	}
	form := multipart.NewReader(body, params["boundary"])
	fields := make(map[string]string)
	for {
		part, err := form.NextPart()
		if err != nil {
			respondError(ctx, errors.Newf("the form has no file: %w", ErrInvalid))
			return
		}
		if part.FormName() != "file" {
			if err := readField(part, fields); err != nil {
				respondError(ctx, err)
				return
			}
			continue
		}
		f, err := s.upload(ctx, account, part.FileName(), func() string {
			readRest(form, fields)
			return fields["purpose"]
		}, &formReader{r: part})
		if err != nil {
			respondError(ctx, err)
			return
		}
		respond(ctx, newFileObject(f))
		return
	}
}

// formReader marks read errors of the request body as ErrInvalid, so that they are reported as the caller's fault and
// not as the platform's.
type formReader struct{ r io.Reader }

func (f *formReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Mark(errors.Newf("read form: %w", err), ErrInvalid)
	}
	return n, err
}

func readField(part *multipart.Part, fields map[string]string) error {
	value, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
	if err != nil {
		return errors.Mark(errors.Newf("read form field: %w", err), ErrInvalid)
	}
	fields[part.FormName()] = string(value)
	return nil
}

// readRest reads the fields that follow the file.
func readRest(form *multipart.Reader, fields map[string]string) {
	for {
		part, err := form.NextPart()
		if err != nil || readField(part, fields) != nil {
			return
		}
	}
}

// showFile answers with an uploaded file or a result file.
func (s *Service) showFile(ctx *fasthttp.RequestCtx, account, id string) {
	if job, _, ok := resultFile(id); ok {
		row, _, err := s.jobOf(ctx, account, job)
		if err != nil {
			respondError(ctx, err)
			return
		}
		f := newFileObject(File{ID: id, Name: id + ".jsonl", Purpose: "batch_output", Created: row.Created})
		if !row.State.Final() {
			f.Status = "uploaded" // the job still writes results
		}
		respond(ctx, f)
		return
	}
	f, err := s.file(ctx, account, id)
	if err != nil {
		respondError(ctx, err)
		return
	}
	respond(ctx, newFileObject(f))
}

// content streams the content of a file. A failure while streaming breaks the connection, so that the caller can detect
// a truncated response.
func (s *Service) content(ctx *fasthttp.RequestCtx, account, id string) {
	ctx.SetContentType("application/jsonl")
	if job, kind, ok := resultFile(id); ok {
		if _, _, err := s.jobOf(ctx, account, job); err != nil {
			respondError(ctx, err)
			return
		}
		r, w := io.Pipe()
		go func() { w.CloseWithError(s.Results(context.Background(), account, job, kind, w)) }()
		ctx.SetBodyStream(r, -1) // closes r when the caller disconnects, which ends the writer
		return
	}
	f, err := s.file(ctx, account, id)
	if err != nil {
		respondError(ctx, err)
		return
	}
	r, err := s.store.get(ctx, fileKey(f.ID))
	if err != nil {
		respondError(ctx, err)
		return
	}
	ctx.SetBodyStream(r, int(f.Bytes))
}

// batchStatus returns the status of a job in the terms of the OpenAI API.
func batchStatus(j guavajob.Job) string {
	switch j.State {
	case guavajob.JobRunning:
		return "in_progress"
	case guavajob.JobExpiring:
		return "finalizing"
	case guavajob.JobCompleted:
		if j.Counts.Total == j.InvalidLineCount {
			return "failed" // the file has no valid line
		}
	}
	return string(j.State)
}

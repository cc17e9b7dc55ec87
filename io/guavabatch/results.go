package guavabatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/core/guavaretry"
)

// record is one line of a result file, in the format of the OpenAI API.
type record struct {
	ID       string    `json:"id"`
	CustomID string    `json:"custom_id"`
	Response *response `json:"response"`
	Error    *failure  `json:"error"`
}

type response struct {
	Status  int             `json:"status_code"`
	Request string          `json:"request_id"`
	Body    json.RawMessage `json:"body"`
}

type failure struct {
	Code    string               `json:"code"`
	Message string               `json:"message"`
	Line    int                  `json:"line,omitempty"`
	Ran     guavaretry.Execution `json:"ran,omitempty"`
}

// Error codes of items that ended without a response.
const (
	codeCancelled = "batch_cancelled"
	codeExpired   = "batch_expired"
	codeUnknown   = "outcome_unknown"
	codeAttempts  = "attempts_exhausted"
	codeCrash     = "server_crashed"
)

// recordID identifies an item by job and line, which is unique even if a custom_id is not.
func recordID(job string, line int) string {
	return fmt.Sprintf("batch_req_%s_%d", job[len("batch_"):], line)
}

func newFailure(job string, line int, id, code, message string, execution guavaretry.Execution) record {
	return record{
		ID: recordID(job, line), CustomID: id,
		Error: &failure{Code: code, Message: message, Line: line, Ran: execution},
	}
}

// Results implements Jobs. Each chunk has at most one visible result, so each item is written once.
func (s *Service) Results(ctx context.Context, account, id string, kind ResultKind, w io.Writer) error {
	row, _, err := s.jobOf(ctx, account, id)
	if err != nil {
		return err
	}
	out := bufio.NewWriterSize(w, 32<<10)
	if kind == ErrorLines {
		if err := s.writeInvalidLines(ctx, row, out); err != nil {
			return err
		}
	}
	next := 0
	// Chunks without a row in a final job were never claimed.
	missing := func(until int) error {
		for ; next < until; next++ {
			if row.State.Final() && kind == ErrorLines {
				if err := s.writeUnsent(ctx, row, next, out); err != nil {
					return err
				}
			}
		}
		return nil
	}
	var inner error
	err = s.store.chunks(ctx, id, 0, func(c chunkRow) bool {
		if inner = missing(c.n); inner != nil {
			return false
		}
		object := c.chunk.Result
		if kind == ErrorLines {
			object = c.chunk.Errors
		}
		switch {
		case c.chunk.State.Final() && c.chunk.Counts.Total > 0:
			next = c.n + 1
			if object != "" {
				inner = s.copy(ctx, object, out)
			}
		default:
			inner = missing(c.n + 1)
		}
		return inner == nil
	})
	if err = errors.Join(err, inner); err != nil {
		return errors.Newf("read results: %w", err)
	}
	if err := missing(row.Chunks()); err != nil {
		return err
	}
	return out.Flush()
}

func (s *Service) copy(ctx context.Context, object string, w io.Writer) error {
	r, err := s.store.get(ctx, object)
	if err != nil {
		return err
	}
	defer r.Close()
	_, err = io.Copy(w, r)
	return err
}

// writeInvalidLines writes an error line for each invalid line of the input file.
func (s *Service) writeInvalidLines(ctx context.Context, row guavajob.Job, w io.Writer) error {
	if row.InvalidLineCount == 0 {
		return nil
	}
	r, err := s.store.get(ctx, invalidLinesKey(row.ID))
	if err != nil {
		return err
	}
	defer r.Close()
	d, e := json.NewDecoder(r), json.NewEncoder(w)
	for {
		var b guavajob.InvalidLine
		if err := d.Decode(&b); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Newf("decode invalid lines: %w", err)
		}
		message := fmt.Sprintf("line %d: %s", b.Line, b.Reason)
		if err := e.Encode(newFailure(row.ID, b.Line, b.ID, b.Code, message, guavaretry.NotExecuted)); err != nil {
			return errors.Newf("write error lines of invalid lines: %w", err)
		}
	}
}

// writeUnsent writes an error line for each item of a chunk that was not run before its job ended.
func (s *Service) writeUnsent(ctx context.Context, row guavajob.Job, n int, w io.Writer) error {
	entries, err := s.store.items(ctx, row.ID, n)
	if err != nil {
		return err
	}
	code, message := codeCancelled, "the job was cancelled"
	if row.State == guavajob.JobExpired {
		code, message = codeExpired, "the job's deadline has passed"
	}
	e := json.NewEncoder(w)
	for _, x := range entries {
		if err := e.Encode(newFailure(row.ID, x.Line, x.ID, code, message, guavaretry.NotExecuted)); err != nil {
			return errors.Newf("write error lines of unsent items: %w", err)
		}
	}
	return nil
}

// encode returns records as JSON lines.
func encode(records []record) []byte {
	var b bytes.Buffer
	for _, r := range records {
		b.Write(marshal(r))
		b.WriteByte('\n')
	}
	return b.Bytes()
}

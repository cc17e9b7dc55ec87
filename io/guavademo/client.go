package guavademo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// client sends requests with a key, as a caller's program does.
type client struct {
	address string
	key     string
}

// response is the status and the complete body of a response.
type response struct {
	status int
	body   []byte
}

func (c client) do(ctx context.Context, method, path, contentType string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	q.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		q.Header.Set("Content-Type", contentType)
	}
	s, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, errors.Newf("%s %s: %w", method, path, err)
	}
	return s, nil
}

func (c client) send(ctx context.Context, method, path, contentType string, body io.Reader) (response, error) {
	s, err := c.do(ctx, method, path, contentType, body)
	if err != nil {
		return response{}, err
	}
	defer s.Body.Close()
	data, err := io.ReadAll(s.Body)
	if err != nil {
		return response{}, errors.Newf("read response: %w", err)
	}
	return response{status: s.StatusCode, body: data}, nil
}

func (c client) post(ctx context.Context, path string, body any) (response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return response{}, errors.Newf("encode request: %w", err)
	}
	return c.send(ctx, http.MethodPost, path, "application/json", bytes.NewReader(data))
}

// completion contains the fields of a completion, or of an event of a streamed one, that the demo reads.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func (c completion) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// complete requests a buffered completion and returns its text.
func (c client) complete(ctx context.Context, prompt string, tokens int) (string, error) {
	r, err := c.post(ctx, "/v1/completions", map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens})
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK {
		return "", errors.Newf("want status 200, got %d: %s", r.status, r.body)
	}
	var body completion
	if err := json.Unmarshal(r.body, &body); err != nil {
		return "", errors.Newf("decode completion: %w", err)
	}
	return body.text(), nil
}

// stream requests a streamed completion. It closes first, unless nil, at the first token. It returns the text, and
// whether the stream ended with [DONE].
func (c client) stream(ctx context.Context, prompt string, tokens int, first chan<- struct{}) (text string, completed bool, err error) {
	data, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return "", false, errors.Newf("encode request: %w", err)
	}
	s, err := c.do(ctx, http.MethodPost, "/v1/completions", "application/json", bytes.NewReader(data))
	if err != nil {
		return "", false, err
	}
	defer s.Body.Close()
	if s.StatusCode != http.StatusOK {
		return "", false, errors.Newf("want status 200, got %d", s.StatusCode)
	}
	var b strings.Builder
	lines := bufio.NewScanner(s.Body)
	for lines.Scan() {
		event, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			return b.String(), true, nil
		}
		var chunk completion
		if err := json.Unmarshal([]byte(event), &chunk); err != nil {
			return b.String(), false, errors.Newf("decode event: %w", err)
		}
		if chunk.Error != nil {
			return b.String(), false, errors.Newf("stream ended with error %s", chunk.Error.Code)
		}
		if b.Len() == 0 && first != nil {
			close(first)
		}
		b.WriteString(chunk.text())
	}
	if err := lines.Err(); err != nil {
		return b.String(), false, errors.Newf("read stream: %w", err)
	}
	return b.String(), false, nil
}

// job contains the fields of a batch job that the demo reads.
type job struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Output string `json:"output_file_id"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// submitJob uploads a file of items and creates a batch job for them.
func (c client) submitJob(ctx context.Context, name string, items, tokens int) (job, error) {
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return job{}, errors.Newf("write form: %w", err)
	}
	part, err := form.CreateFormFile("file", name+".jsonl")
	if err != nil {
		return job{}, errors.Newf("write form: %w", err)
	}
	for i := range items {
		fmt.Fprintf(part, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":"%s %d","max_tokens":%d}}`+"\n",
			name, i, model, name, i, tokens)
	}
	if err := form.Close(); err != nil {
		return job{}, errors.Newf("write form: %w", err)
	}
	r, err := c.send(ctx, http.MethodPost, "/v1/files", form.FormDataContentType(), &b)
	if err != nil {
		return job{}, err
	}
	var file struct {
		ID string `json:"id"`
	}
	if err := decode(r, &file); err != nil {
		return job{}, errors.Newf("upload input file: %w", err)
	}
	r, err = c.post(ctx, "/v1/batches", map[string]any{"input_file_id": file.ID, "endpoint": "/v1/completions", "completion_window": "24h"})
	if err != nil {
		return job{}, err
	}
	var j job
	if err := decode(r, &j); err != nil {
		return job{}, errors.Newf("create batch job: %w", err)
	}
	return j, nil
}

func (c client) getJob(ctx context.Context, id string) (job, error) {
	r, err := c.send(ctx, http.MethodGet, "/v1/batches/"+id, "", nil)
	if err != nil {
		return job{}, err
	}
	var j job
	return j, decode(r, &j)
}

func decode(r response, v any) error {
	if r.status != http.StatusOK {
		return errors.Newf("want status 200, got %d: %s", r.status, r.body)
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return errors.Newf("decode response: %w", err)
	}
	return nil
}

package guavabatch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxErrorBytes bounds the part of an error response that is shown.
const maxErrorBytes = 4 << 10

// apiClient is a client of the HTTP API that authenticates with an account's key.
type apiClient struct {
	address string
	key     string
	http    *http.Client
}

func newAPIClient(address, key string) *apiClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	transport := checkedTransport{http.DefaultTransport.(*http.Transport).Clone()}
	return &apiClient{address: strings.TrimSuffix(address, "/"), key: key, http: &http.Client{Transport: transport}}
}

// send returns the response body. A status other than 200 is returned as an error with the message of the body.
func (c *apiClient) send(
	ctx context.Context, method, path string, header map[string]string, body io.Reader,
) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, body)
	if err != nil {
		return nil, errors.Newf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Newf("%s %s: %w", method, path, err)
	}
	if response.StatusCode == http.StatusOK {
		return response.Body, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // after a read error, what was read is shown
	var e struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &e) == nil && e.Error.Message != "" {
		text = []byte(e.Error.Message)
	}
	return nil, errors.Newf("%s %s: status %d: %s", method, path, response.StatusCode, text)
}

// call sends a request and decodes the JSON response.
func call[T any](ctx context.Context, c *apiClient, method, path string, header map[string]string, body io.Reader) (v T, err error) {
	r, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return v, err
	}
	defer r.Close()
	if err := json.NewDecoder(r).Decode(&v); err != nil {
		return v, errors.Newf("decode response of %s: %w", path, err)
	}
	if _, err := io.Copy(io.Discard, r); err != nil { // the end of the body shows that it is whole
		return v, errors.Newf("read response of %s: %w", path, err)
	}
	return v, nil
}

// upload streams a file to the server.
func (c *apiClient) upload(ctx context.Context, name string, r io.Reader) (fileObject, error) {
	pr, pw := io.Pipe()
	defer pr.CloseWithError(io.ErrClosedPipe) // ends the writer when the request fails
	form := multipart.NewWriter(pw)
	go func() {
		err := form.WriteField("purpose", purposeBatch)
		if err == nil {
			var part io.Writer
			if part, err = form.CreateFormFile("file", filepath.Base(name)); err == nil {
				_, err = io.Copy(part, r)
			}
		}
		pw.CloseWithError(errors.Join(err, form.Close()))
	}()
	return call[fileObject](ctx, c, http.MethodPost, "/v1/files",
		map[string]string{"Content-Type": form.FormDataContentType()}, pr)
}

// submit creates a job from an uploaded file.
func (c *apiClient) submit(ctx context.Context, file, endpoint, window, key string) (batchObject, error) {
	header := map[string]string{"Content-Type": "application/json"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	body := marshal(map[string]string{"input_file_id": file, "endpoint": endpoint, "completion_window": window})
	return call[batchObject](ctx, c, http.MethodPost, "/v1/batches", header, bytes.NewReader(body))
}

func (c *apiClient) show(ctx context.Context, id string) (batchObject, error) {
	return call[batchObject](ctx, c, http.MethodGet, "/v1/batches/"+url.PathEscape(id), nil, nil)
}

func (c *apiClient) cancel(ctx context.Context, id string) (batchObject, error) {
	return call[batchObject](ctx, c, http.MethodPost, "/v1/batches/"+url.PathEscape(id)+"/cancel", nil, nil)
}

func (c *apiClient) list(ctx context.Context, after string, limit int) (list[batchObject], error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	return call[list[batchObject]](ctx, c, http.MethodGet, "/v1/batches?"+q.Encode(), nil, nil)
}

// result copies the content of a result file.
func (c *apiClient) result(ctx context.Context, file string, w io.Writer) error {
	r, err := c.send(ctx, http.MethodGet, "/v1/files/"+url.PathEscape(file)+"/content", nil, nil)
	if err != nil {
		return err
	}
	defer r.Close()
	if _, err := io.Copy(w, r); err != nil {
		return errors.Newf("read %s: %w", file, err)
	}
	return nil
}

package guavaload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// outcome is the result of one call as its caller observes it.
type outcome struct {
	account int
	kind    kind
	status  int
	// latency is the time from the scheduled start to the first token of a stream, or to the end of a buffered response.
	latency time.Duration
	// tokenGaps are the times between consecutive tokens of a stream.
	tokenGaps []time.Duration
	tokens    int
	complete  bool
	errorCode string
	err       error
}

const (
	callTimeout    = 2 * time.Minute
	maxConnections = 4096
	pathCompletion = "/v1/completions"
	// headerBooking identifies a call to a plain service, which counts the executions of each call by it.
	headerBooking = "X-Booking"
)

// caller sends the calls of a plan.
type caller struct {
	plan   Plan
	client *fasthttp.Client
}

func newCaller(p Plan) *caller {
	return &caller{plan: p, client: &fasthttp.Client{
		MaxConnsPerHost:    maxConnections,
		StreamResponseBody: true,
		// No retries: they would hide failures that callers see.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// call makes one call. Latency is measured from scheduled, so that delays in the load tool count.
func (c *caller) call(a arrival, scheduled time.Time) outcome {
	o := outcome{account: a.account, kind: a.kind}
	q, s := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(s)
	c.buildRequest(q, a)
	if err := c.client.DoTimeout(q, s, callTimeout); err != nil {
		o.err = errors.Newf("send request: %w", err)
		return o
	}
	defer func() { _ = s.CloseBodyStream() }()
	o.status = s.StatusCode()
	if a.kind == kindStream && o.status == fasthttp.StatusOK {
		c.readStream(s.BodyStream(), scheduled, &o)
		return o
	}
	body, err := io.ReadAll(s.BodyStream())
	o.latency = time.Since(scheduled)
	o.err = err
	o.complete = err == nil
	if o.status != fasthttp.StatusOK {
		o.errorCode = errorCode(body)
	}
	return o
}

func (c *caller) buildRequest(q *fasthttp.Request, a arrival) {
	account := c.plan.Accounts[a.account]
	path := pathCompletion
	body := map[string]any{
		"model":      c.plan.Model,
		"prompt":     fmt.Sprintf("account %s call %d", account.Name, a.number),
		"max_tokens": account.Tokens,
		"stream":     a.kind == kindStream,
	}
	if a.kind == kindService {
		path = c.plan.Service
		body = map[string]any{"artist": account.Name}
		q.Header.Set(headerBooking, fmt.Sprintf("%s-%d", account.Name, a.number))
	}
	data, _ := json.Marshal(body) // Encoding a map of strings, numbers and booleans cannot fail.
	q.SetRequestURI("http://" + c.plan.Targets[a.target] + path)
	q.Header.SetMethod(fasthttp.MethodPost)
	q.Header.SetContentType("application/json")
	q.Header.Set("Authorization", "Bearer "+account.Key)
	q.SetBody(data)
}

func (c *caller) readStream(r io.Reader, scheduled time.Time, o *outcome) {
	lines := bufio.NewScanner(r)
	var last time.Time
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			o.complete = true
			return
		}
		now := time.Now()
		if o.tokens == 0 {
			o.latency = now.Sub(scheduled)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(last))
		}
		last = now
		o.tokens++
	}
	o.err = lines.Err()
}

func errorCode(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return ""
	}
	return e.Error.Code
}

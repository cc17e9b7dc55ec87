package guavabatch

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavajob"
	"guavaridge/core/guavaretry"
	"guavaridge/io/guavaback"
)

// Causes with which an attempt is cancelled.
var (
	errYield      = errors.New("yielded to online traffic")
	errJobStopped = errors.New("job cancelled or expired")
	errNotOwner   = errors.New("chunk has another owner")
	errTimeout    = errors.New("no event or response within the time limit")
	errDraining   = errors.New("VM is leaving")
)

// stream is a running attempt of an item.
type stream struct {
	work    *work
	server  string
	cancel  context.CancelCauseFunc
	started time.Time
	tokens  atomic.Int64
	yielded bool // guarded by Runner.mu
}

// start starts an attempt of an item on a server. r.mu is held.
func (r *Runner) start(ctx context.Context, w *work, server guavaconfig.BackendServer) {
	if !w.Send(server.Name) {
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{work: w, server: server.Name, cancel: cancel, started: time.Now()}
	s.tokens.Store(int64(w.Tokens))
	if r.streams[server.Name] == nil {
		r.streams[server.Name] = make(map[*stream]struct{})
	}
	r.streams[server.Name][s] = struct{}{}
	r.grants.SetInFlight(server.Name, len(r.streams[server.Name]))
	r.task(func() {
		defer cancel(nil)
		r.runAttempt(ctx, s, server.Address)
	})
}

// runAttempt sends one attempt and applies its outcome.
func (r *Runner) runAttempt(ctx context.Context, s *stream, address string) {
	w := s.work
	id := newID("batch-")
	sink := newCollector(s, w.chunk.route, w.input, w.Text, w.Tokens, r.idleTimeout)
	defer sink.stop()
	limit := time.AfterFunc(r.attemptTimeout, func() { s.cancel(errTimeout) })
	defer limit.Stop()
	a := guavaback.Attempt{
		ID: id, Address: address, Method: "POST", Path: w.chunk.job.Path,
		Header: map[string]string{
			"Content-Type":           "application/json",
			guavaback.HeaderDeadline: strconv.FormatInt(max(1, w.chunk.job.Deadline-time.Now().UnixMilli()), 10),
		},
		Body: sink.request, Stream: sink.stream, Text: w.Text, Tokens: w.Tokens,
	}
	if !r.mayStart(s) {
		r.attemptEnded(s, guavajob.Outcome{Ran: guavaretry.NotExecuted, Yielded: true}, nil)
		return
	}
	r.sent.Add(1)
	resp, err := r.client.Do(ctx, a, sink)
	// The load report of a streamed response is from the start of the stream and out of date by now.
	if l := resp.Load; l.Slots > 0 && !sink.stream {
		r.grants.Report(s.server, l.Running, l.Waiting, l.Slots, time.Duration(l.Age)*time.Millisecond)
	}
	o, body := sink.outcome(resp, err)
	if err != nil {
		cause := context.Cause(ctx)
		o.Yielded = errors.Is(cause, errYield) || errors.Is(cause, errDraining) || errors.Is(cause, errNotOwner)
		o.Cancelled = errors.Is(cause, errJobStopped)
	}
	var rec *record
	if o.Status != 0 {
		rec = &record{
			ID: recordID(w.chunk.job.Job, w.input.Line), CustomID: w.input.ID,
			Response: &response{Status: o.Status, Request: id, Body: body},
		}
	}
	r.attemptEnded(s, o, rec)
}

// mayStart checks the lease and the job again right before the item is sent, as the VM may have been paused since the
// item was picked.
func (r *Runner) mayStart(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := s.work.chunk
	return !h.dropped && h.stopEvent == "" && !s.yielded && !r.draining && time.Now().Before(h.sendUntil)
}

// attemptEnded applies the outcome of an attempt to its item.
func (r *Runner) attemptEnded(s *stream, o guavajob.Outcome, rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := s.work
	delete(r.streams[s.server], s)
	r.grants.SetInFlight(s.server, len(r.streams[s.server]))
	if r.reserved[s.server] == w {
		delete(r.reserved, s.server)
	}
	defer signal(r.wakeSchedule)
	h := w.chunk
	if h.dropped {
		return
	}
	if o.Cancelled && h.stopEvent == guavajob.ItemExpire {
		o.Cancelled, o.Expired = false, true
	}
	switch w.EndAttempt(o, h.route.Idempotent, time.Now()) {
	case guavajob.ItemRespond:
		w.record, w.failed = rec, o.Status >= 400
		r.itemEnded(w)
	case guavajob.ItemMarkUnknown:
		r.recordFailure(w, codeUnknown, "the call may have run; its outcome was lost")
		r.itemEnded(w)
	case guavajob.ItemExhaust:
		code, message := codeAttempts, "every attempt failed"
		if o.Crash {
			code, message = codeCrash, "backend servers crashed while they ran the item"
		}
		r.recordFailure(w, code, message)
		r.itemEnded(w)
	case guavajob.ItemCancel, guavajob.ItemExpire:
		r.endStopped(w)
	case guavajob.ItemYield:
		r.yielded.Add(1)
		r.requeue(w)
	case guavajob.ItemFail, guavajob.ItemCrash:
		r.requeue(w)
	}
	if h.stopEvent != "" {
		r.submitIfFinal(h)
	}
}

// endStopped records the failure of an item whose attempt was cancelled because its job ended. r.mu is held.
func (r *Runner) endStopped(w *work) {
	if w.State == guavajob.ItemCancelled {
		r.recordFailure(w, codeCancelled, "the job was cancelled")
	} else {
		r.recordFailure(w, codeExpired, "the job's deadline has passed")
	}
	r.itemEnded(w)
}

// requeue puts an item back into the pending list, which is ordered by index. r.mu is held.
func (r *Runner) requeue(w *work) {
	h := w.chunk
	if h.stopEvent != "" {
		r.endUnsent(w)
		return
	}
	if w.State != guavajob.ItemPending {
		h.hasSuspects = true
		return // suspect items wait for a reserved server
	}
	i := 0
	for i < len(h.pending) && h.pending[i].index < w.index {
		i++
	}
	h.pending = append(h.pending, nil)
	copy(h.pending[i+1:], h.pending[i:])
	h.pending[i] = w
}

// recordFailure records that an item ended without a response.
func (r *Runner) recordFailure(w *work, code, message string) {
	execution := guavaretry.NotExecuted
	if w.Attempts > 0 || code == codeUnknown {
		execution = guavaretry.ExecutionUnknown
	}
	rec := newFailure(w.chunk.job.Job, w.input.Line, w.input.ID, code, message, execution)
	w.record, w.failed = &rec, true
}

// collector implements guavaback.Sink. It receives a response and assembles the body of the result record.
type collector struct {
	s       *stream
	input   guavajob.InputItem
	request []byte
	stream  bool
	chat    bool
	text    strings.Builder
	tokens  int
	resumed int
	last    streamChunk
	status  int
	idle    time.Duration
	timer   *time.Timer
}

// streamChunk is one event of a streamed completion.
type streamChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Usage   json.RawMessage `json:"usage,omitempty"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// bufferedFields are request fields with which the response cannot be assembled from streamed text; it is buffered
// instead.
var bufferedFields = []string{"n", "best_of", "tools", "functions", "logprobs", "echo", "audio", "modalities"}

// newCollector prepares the request of an attempt. Completions are streamed, so that a cancelled attempt can be
// resumed.
func newCollector(
	s *stream, route guavaconfig.Route, entry guavajob.InputItem, text string, tokens int, idle time.Duration,
) *collector {
	c := &collector{s: s, input: entry, request: entry.Body, tokens: tokens, resumed: tokens, idle: idle}
	c.text.WriteString(text)
	path := s.work.chunk.job.Path
	c.chat = strings.HasSuffix(path, "/chat/completions")
	if route.Service != "" || !strings.HasSuffix(path, "/completions") {
		return c
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(entry.Body, &fields) != nil {
		return c
	}
	for _, f := range bufferedFields {
		if _, ok := fields[f]; ok {
			delete(fields, "stream")
			delete(fields, "stream_options")
			c.request = marshal(fields)
			return c
		}
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	c.request, c.stream = marshal(fields), true
	c.timer = time.AfterFunc(idle, func() { s.cancel(errTimeout) })
	return c
}

func (c *collector) stop() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// Head implements guavaback.Sink.
func (c *collector) Head(status int, _ map[string]string) error {
	c.status = status
	return nil
}

// Event implements guavaback.Sink.
func (c *collector) Event(data []byte) error {
	c.timer.Reset(c.idle)
	var e streamChunk
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Newf("decode event: %w", err)
	}
	usage := c.last.Usage
	choices := c.last.Choices
	c.last = e
	if len(e.Usage) == 0 || string(e.Usage) == "null" {
		c.last.Usage = usage
	}
	if len(e.Choices) == 0 {
		c.last.Choices = choices
		return nil
	}
	text := e.Choices[0].Text + e.Choices[0].Delta.Content
	if text != "" {
		c.text.WriteString(text)
		c.tokens++
		c.s.tokens.Store(int64(c.tokens))
	}
	return nil
}

// outcome returns how the attempt ended and, for a complete response, its body as JSON.
func (c *collector) outcome(resp guavaback.Response, err error) (guavajob.Outcome, json.RawMessage) {
	o := guavajob.Outcome{Ran: guavaretry.Executed, Status: resp.Status, Text: c.text.String(), Tokens: c.tokens}
	if err != nil {
		o.Ran, o.Status = guavaretry.ExecutionUnknown, 0
		var e *guavaback.Error
		if errors.As(err, &e) {
			o.Ran, o.Crash = e.Execution, e.Crash
		}
		return o, nil
	}
	if o.Status == 0 {
		o.Status = c.status
	}
	if c.stream && o.Status < 300 && len(resp.Body) == 0 {
		return o, c.assemble()
	}
	if json.Valid(resp.Body) {
		return o, resp.Body
	}
	return o, marshal(string(resp.Body))
}

// assemble builds the body of a buffered completion from the streamed events.
func (c *collector) assemble() json.RawMessage {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index   int      `json:"index"`
		Message *message `json:"message,omitempty"`
		Text    *string  `json:"text,omitempty"`
		Finish  *string  `json:"finish_reason"`
	}
	text := c.text.String()
	x := choice{Text: &text}
	object := "text_completion"
	if c.chat {
		object, x.Text, x.Message = "chat.completion", nil, &message{Role: "assistant", Content: text}
	}
	if len(c.last.Choices) > 0 {
		x.Finish = c.last.Choices[0].Finish
	}
	usage := c.last.Usage
	if len(usage) == 0 || c.resumed > 0 {
		// The usage of a resumed stream covers its last part only.
		usage = marshal(map[string]int{"completion_tokens": c.tokens})
	}
	return marshal(struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage"`
	}{c.last.ID, object, c.last.Created, c.last.Model, []choice{x}, usage})
}

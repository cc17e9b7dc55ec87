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

// Causes of the end of an attempt.
var (
	errYield   = errors.New("yielded to online traffic")
	errHalted  = errors.New("job ended")
	errLost    = errors.New("chunk has another owner")
	errSilent  = errors.New("no event within the time limit")
	errClosing = errors.New("VM is leaving")
)

// stream is one attempt of an item.
type stream struct {
	work    *work
	server  string
	cancel  context.CancelCauseFunc
	started time.Time
	tokens  atomic.Int64
	yielded bool // guarded by the Runner's mutex
}

// start sends an item to a server. r.mu is held.
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
		r.run(ctx, s, server.Address)
	})
}

// run sends one attempt and applies its outcome.
func (r *Runner) run(ctx context.Context, s *stream, address string) {
	w := s.work
	id := newID("batch-")
	sink := newCollector(s, w.hold.route, w.entry, w.Text, w.Tokens, r.idle)
	defer sink.stop()
	limit := time.AfterFunc(r.most, func() { s.cancel(errSilent) })
	defer limit.Stop()
	a := guavaback.Attempt{
		ID: id, Address: address, Method: "POST", Path: w.hold.job.Path,
		Header: map[string]string{
			"Content-Type":           "application/json",
			guavaback.HeaderDeadline: strconv.FormatInt(max(1, w.hold.job.Deadline-time.Now().UnixMilli()), 10),
		},
		Body: sink.request, Stream: sink.stream, Text: w.Text, Tokens: w.Tokens,
	}
	if !r.mayStart(s) {
		r.ended(s, guavajob.Outcome{Ran: guavaretry.NotExecuted, Yielded: true}, nil)
		return
	}
	r.sent.Add(1)
	answer, err := r.client.Do(ctx, a, sink)
	// The load that comes with a stream is that of its start.
	if l := answer.Load; l.Slots > 0 && !sink.stream {
		r.grants.Report(s.server, l.Running, l.Waiting, l.Slots, time.Duration(l.Age)*time.Millisecond)
	}
	o, body := sink.outcome(answer, err)
	if err != nil {
		cause := context.Cause(ctx)
		o.Yielded = errors.Is(cause, errYield) || errors.Is(cause, errClosing) || errors.Is(cause, errLost)
		o.Cancelled = errors.Is(cause, errHalted)
	}
	var rec *record
	if o.Status != 0 {
		rec = &record{
			ID: recordID(w.hold.job.Job, w.entry.Line), CustomID: w.entry.ID,
			Response: &response{Status: o.Status, Request: id, Body: body},
		}
	}
	r.ended(s, o, rec)
}

// mayStart checks the lease and the job again right before the item is sent, as the VM can have been paused since it
// was picked.
func (r *Runner) mayStart(s *stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := s.work.hold
	return !h.gone && h.halt == "" && !s.yielded && !r.closing && time.Now().Before(h.until)
}

// ended applies the outcome of an attempt to its item.
func (r *Runner) ended(s *stream, o guavajob.Outcome, rec *record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := s.work
	delete(r.streams[s.server], s)
	r.grants.SetInFlight(s.server, len(r.streams[s.server]))
	if r.alone[s.server] == w {
		delete(r.alone, s.server)
	}
	defer signal(r.wake)
	h := w.hold
	if h.gone {
		return
	}
	if o.Cancelled && h.halt == guavajob.ItemExpire {
		o.Cancelled, o.Expired = false, true
	}
	switch w.EndAttempt(o, h.route.Idempotent, time.Now()) {
	case guavajob.ItemRespond:
		w.record, w.failed = rec, o.Status >= 400
		r.closed(w)
	case guavajob.ItemMarkUnknown:
		r.fail(w, codeUnknown, "the call may have run; its outcome was lost")
		r.closed(w)
	case guavajob.ItemExhaust:
		code, message := codeAttempts, "every attempt failed"
		if o.Crash {
			code, message = codeCrash, "backend servers crashed while they ran the item"
		}
		r.fail(w, code, message)
		r.closed(w)
	case guavajob.ItemCancel, guavajob.ItemExpire:
		r.ends(w)
	case guavajob.ItemYield:
		r.yielded.Add(1)
		r.again(w)
	case guavajob.ItemFail, guavajob.ItemCrash:
		r.again(w)
	}
	if h.halt != "" {
		r.finish(h)
	}
}

// ends writes the error of an item whose attempt was ended together with its job. r.mu is held.
func (r *Runner) ends(w *work) {
	if w.State == guavajob.ItemCancelled {
		r.fail(w, codeCancelled, "the job was cancelled")
	} else {
		r.fail(w, codeExpired, "the job's deadline has passed")
	}
	r.closed(w)
}

// again puts an item back among the pending ones, at its old place. r.mu is held.
func (r *Runner) again(w *work) {
	h := w.hold
	if h.halt != "" {
		r.halted(w)
		return
	}
	if w.State != guavajob.ItemPending {
		h.suspected = true
		return // suspects wait for a server of their own
	}
	i := 0
	for i < len(h.pending) && h.pending[i].index < w.index {
		i++
	}
	h.pending = append(h.pending, nil)
	copy(h.pending[i+1:], h.pending[i:])
	h.pending[i] = w
}

// fail records that an item ended without an answer.
func (r *Runner) fail(w *work, code, message string) {
	ran := guavaretry.NotExecuted
	if w.Attempts > 0 || code == codeUnknown {
		ran = guavaretry.ExecutionUnknown
	}
	rec := failed(w.hold.job.Job, w.entry.Line, w.entry.ID, code, message, ran)
	w.record, w.failed = &rec, true
}

// collector receives an answer and assembles the body of its result.
type collector struct {
	s       *stream
	entry   guavajob.InputItem
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

// streamChunk is an event of a completion stream.
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

// plainFields are fields of a request whose answer cannot be assembled from the text of a stream.
var plainFields = []string{"n", "best_of", "tools", "functions", "logprobs", "echo", "audio", "modalities"}

// newCollector prepares an attempt. Completions are streamed, so that their progress is kept when they are cancelled.
func newCollector(
	s *stream, route guavaconfig.Route, entry guavajob.InputItem, text string, tokens int, idle time.Duration,
) *collector {
	c := &collector{s: s, entry: entry, request: entry.Body, tokens: tokens, resumed: tokens, idle: idle}
	c.text.WriteString(text)
	path := s.work.hold.job.Path
	c.chat = strings.HasSuffix(path, "/chat/completions")
	if route.Service != "" || !strings.HasSuffix(path, "/completions") {
		return c
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(entry.Body, &fields) != nil {
		return c
	}
	for _, f := range plainFields {
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
	c.timer = time.AfterFunc(idle, func() { s.cancel(errSilent) })
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
	finish := c.last.Choices
	c.last = e
	if len(e.Usage) == 0 || string(e.Usage) == "null" {
		c.last.Usage = usage
	}
	if len(e.Choices) == 0 {
		c.last.Choices = finish
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

// outcome returns how the attempt ended and, for an answer, its body as JSON.
func (c *collector) outcome(answer guavaback.Response, err error) (guavajob.Outcome, json.RawMessage) {
	o := guavajob.Outcome{Ran: guavaretry.Executed, Status: answer.Status, Text: c.text.String(), Tokens: c.tokens}
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
	if c.stream && o.Status < 300 && len(answer.Body) == 0 {
		return o, c.assemble()
	}
	if json.Valid(answer.Body) {
		return o, answer.Body
	}
	return o, marshal(string(answer.Body))
}

// assemble builds the body of a completion that was streamed.
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

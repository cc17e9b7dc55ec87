package guavadispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/io/guavaback"
)

// callerStream is the response stream to the caller. It spans all attempts of a request.
type callerStream struct {
	mu        sync.Mutex
	sink      guavaback.Sink
	engine    bool
	headSent  bool
	eventSent bool
	// tokens and content are the tokens sent to the caller. unresumable is true when the stream has more than one
	// choice or an event of unknown format.
	tokens      int
	content     strings.Builder
	unresumable bool
	finished    bool
	err         error
	// events are the events sent to the caller, collected while recording is true for the recorded result of a
	// non-idempotent call. recording ends when they exceed maxRecordedBytes/2.
	recording     bool
	events        [][]byte
	recordedBytes int
}

func newCallerStream(sink guavaback.Sink, engine bool) *callerStream {
	return &callerStream{sink: sink, engine: engine}
}

// chunk holds the fields of a stream event that are needed to resume the stream.
type chunk struct {
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct{} `json:"usage"`
}

// newAttemptSink returns the Sink of one attempt, the first or a retry. It calls onFirstEvent with the time to the
// first event.
func (s *callerStream) newAttemptSink(retry bool, onFirstEvent func(time.Duration)) *attemptSink {
	return &attemptSink{stream: s, start: time.Now(), retry: retry, open: true, onFirstEvent: onFirstEvent}
}

func (s *callerStream) delivered() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.String(), s.tokens
}

func (s *callerStream) tokenCount() int {
	_, n := s.delivered()
	return n
}

// resumable reports whether another server can continue the stream.
func (s *callerStream) resumable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine && !s.unresumable
}

// recordEvent stores an event for the recorded result. The caller holds mu.
func (s *callerStream) recordEvent(data []byte) {
	if !s.recording {
		return
	}
	if s.recordedBytes += len(data); s.recordedBytes > maxRecordedBytes/2 {
		s.recording, s.events = false, nil
		return
	}
	s.events = append(s.events, bytes.Clone(data))
}

// recordedEvents returns the delivered events as a JSON array, or nil when they were not recorded.
func (s *callerStream) recordedEvents() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recording {
		return nil
	}
	data, err := json.Marshal(s.events)
	if err != nil {
		return nil
	}
	return data
}

// started reports whether the response head has been sent to the caller.
func (s *callerStream) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headSent
}

// complete reports whether the caller has every token, so that a later connection error can be ignored.
func (s *callerStream) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished && !s.unresumable && s.err == nil
}

// sinkError returns the error of the caller's sink.
func (s *callerStream) sinkError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

var errAttemptEnded = errors.New("attempt has ended")

// attemptSink is the Sink of one attempt. It rejects events that arrive after the attempt has ended.
type attemptSink struct {
	stream       *callerStream
	start        time.Time
	firstEvent   time.Duration
	onFirstEvent func(time.Duration)
	retry        bool
	open         bool
	stallTimer   *time.Timer
	gapTimeout   time.Duration
}

// startStallTimer arranges for onStall to be called when the first event takes longer than firstTimeout, or a later one
// longer than gapTimeout after its predecessor.
func (a *attemptSink) startStallTimer(firstTimeout, gapTimeout time.Duration, onStall func()) {
	a.gapTimeout = gapTimeout
	a.stallTimer = time.AfterFunc(firstTimeout, onStall)
}

// stop ends the attempt for the sink and returns the time to the first event, or 0.
func (a *attemptSink) stop() time.Duration {
	a.stream.mu.Lock()
	defer a.stream.mu.Unlock()
	a.open = false
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
	return a.firstEvent
}

// Head implements guavaback.Sink. An error status is not sent to the caller: another attempt may follow, and the
// response of the last one carries its status.
func (a *attemptSink) Head(status int, header map[string]string) error {
	s := a.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !a.open:
		return errAttemptEnded
	case s.headSent || status >= 400:
		return nil
	}
	s.headSent = true
	s.err = s.sink.Head(status, header)
	return s.err
}

// Event implements guavaback.Sink.
func (a *attemptSink) Event(data []byte) error {
	s := a.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.open {
		return errAttemptEnded
	}
	if s.err != nil {
		return s.err
	}
	if a.firstEvent == 0 {
		a.firstEvent = max(time.Since(a.start), 1)
		a.onFirstEvent(a.firstEvent)
	}
	if a.stallTimer != nil {
		a.stallTimer.Reset(a.gapTimeout)
	}
	if !s.engine {
		s.tokens++
		s.recordEvent(data)
		s.err = s.sink.Event(data)
		return s.err
	}
	var c chunk
	text, finish := "", false
	if err := json.Unmarshal(data, &c); err != nil {
		// A stream with events of an unknown format cannot be resumed on another server.
		s.unresumable = true
	}
	for _, o := range c.Choices {
		s.unresumable = s.unresumable || o.Index > 0
		text += o.Text + o.Delta.Content
		finish = finish || o.Finish != nil && *o.Finish != ""
	}
	if a.retry && s.eventSent && text == "" && !finish && c.Usage == nil {
		// The first event of a retried stream repeats the role.
		return nil
	}
	s.recordEvent(data)
	if s.err = s.sink.Event(data); s.err != nil {
		return s.err
	}
	s.eventSent = true
	if text != "" {
		s.tokens++
		s.content.WriteString(text)
	}
	s.finished = s.finished || finish
	return nil
}

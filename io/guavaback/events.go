package guavaback

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// eventBufferBytes is the size of a stream's read buffer. Every open stream holds one.
const eventBufferBytes = 4 << 10

// maxEventBytes bounds the size of one server-sent event.
const maxEventBytes = 4 << 20

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferBytes) }}

// readEvents reads server-sent events up to [DONE] and passes those with the identifier of the attempt to the sink.
func (x *exchange) readEvents(body io.Reader) error {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(body)
	defer func() {
		r.Reset(nil)
		readerPool.Put(r)
	}()
	matcher := newIDMatcher(x.attempt.ID)
	var data []byte // data of the current event
	var dropped, finished bool
	for {
		line, err := readLine(r)
		if err != nil {
			x.connectionFailed = true
			if errors.Is(err, io.EOF) {
				err = ErrStreamTruncated
			}
			return fmt.Errorf("read stream of %s: %w", x.attempt.Address, err)
		}
		if len(line) > 0 {
			if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
				if len(data) > 0 {
					data = append(data, '\n')
				}
				data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
			}
			if len(data) > maxEventBytes {
				return fmt.Errorf("read stream of %s: event larger than %d bytes", x.attempt.Address, maxEventBytes)
			}
			continue
		}
		if len(data) == 0 {
			continue
		}
		if string(data) == "[DONE]" {
			// If other attempts' events arrived in this stream, its own may have gone to theirs. It counts as complete only
			// if its own final event arrived.
			if dropped && !finished {
				return fmt.Errorf("read stream of %s: %w", x.attempt.Address, ErrIDMismatch)
			}
			return nil
		}
		if !matcher.matches(data) {
			dropped = true
			x.client.counters.Dropped.Add(1)
			data = data[:0]
			continue
		}
		finished = finished || bytes.Contains(data, []byte(`"finish_reason":"`))
		if err := x.sink.Event(data); err != nil {
			return fmt.Errorf("deliver event to sink: %w", err)
		}
		x.recordText(data)
		data = data[:0]
	}
}

// readLine reads a line and returns it without its line ending. The result is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		full := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(full) <= maxEventBytes {
			line, err = r.ReadSlice('\n')
			full = append(full, line...)
		}
		line = full
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// idMatcher compares the identifiers of events with that of the attempt.
type idMatcher struct {
	id string
	// prefix is the start of a matching event that has the identifier first and no white space. Such events need no
	// decoding.
	prefix []byte
}

func newIDMatcher(id string) idMatcher {
	quoted, _ := json.Marshal(id) // cannot fail for a string
	return idMatcher{id: id, prefix: append([]byte(`{"id":`), quoted...)}
}

func (c idMatcher) matches(data []byte) bool {
	if bytes.HasPrefix(data, c.prefix) {
		return true
	}
	var event struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &event) == nil && event.ID == c.id
}

// recordText appends the text of an event, still JSON-escaped, to the delivered text of the attempt.
func (x *exchange) recordText(data []byte) {
	if escaped := eventText(data); len(escaped) > 0 {
		x.escapedText = append(x.escapedText, escaped...)
		x.tokens++
	}
}

// text returns the text delivered so far, including that of the attempts that this one resumes.
func (x *exchange) text() string {
	var s string
	quoted := append(append([]byte{'"'}, x.escapedText...), '"')
	if err := json.Unmarshal(quoted, &s); err != nil {
		return x.attempt.Text
	}
	return x.attempt.Text + s
}

// eventText returns the JSON-escaped text of a completion event, or nil if it has none. It searches for the quoted key
// without decoding the event: a match lies outside of strings, because quotation marks inside strings are escaped.
func eventText(data []byte) []byte {
	for _, key := range [...]string{`"content":`, `"text":`} {
		i := bytes.Index(data, []byte(key))
		if i < 0 {
			continue
		}
		rest := bytes.TrimLeft(data[i+len(key):], " ")
		if len(rest) == 0 || rest[0] != '"' {
			continue
		}
		rest = rest[1:]
		for end := 0; end < len(rest); end++ {
			switch rest[end] {
			case '\\':
				end++
			case '"':
				return rest[:end]
			}
		}
	}
	return nil
}

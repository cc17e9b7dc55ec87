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

// eventSize is the size of the buffer from which events are read, in bytes. Every open stream holds one.
const eventSize = 4 << 10

// maxEvent bounds one server-sent event in bytes.
const maxEvent = 4 << 20

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventSize) }}

// events reads server-sent events up to [DONE] and passes those of this attempt on.
func (x *exchange) events(body io.Reader) error {
	r := readers.Get().(*bufio.Reader)
	r.Reset(body)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	check := newIDCheck(x.attempt.ID)
	var data []byte // of the event that is being read
	var dropped, finished bool
	for {
		line, err := readLine(r)
		if err != nil {
			x.broken = true
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
			if len(data) > maxEvent {
				return fmt.Errorf("read stream of %s: event over %d bytes", x.attempt.Address, maxEvent)
			}
			continue
		}
		if len(data) == 0 {
			continue
		}
		if string(data) == "[DONE]" {
			// Without its own last event, a stream that got foreign events may have lost its own to others.
			if dropped && !finished {
				return fmt.Errorf("read stream of %s: %w", x.attempt.Address, ErrIDMismatch)
			}
			return nil
		}
		if !check.matches(data) {
			dropped = true
			x.backend.counters.Dropped.Add(1)
			data = data[:0]
			continue
		}
		finished = finished || bytes.Contains(data, []byte(`"finish_reason":"`))
		if err := x.sink.Event(data); err != nil {
			return fmt.Errorf("pass on event: %w", err)
		}
		x.note(data)
		data = data[:0]
	}
}

// readLine returns a line without its end. It is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(long) <= maxEvent {
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// idCheck compares the identifier of events with that of the attempt.
type idCheck struct {
	id string
	// start is how an event begins that has its identifier first and no white space.
	start []byte
}

func newIDCheck(id string) idCheck {
	quoted, _ := json.Marshal(id) // a string always encodes
	return idCheck{id: id, start: append([]byte(`{"id":`), quoted...)}
}

func (c idCheck) matches(data []byte) bool {
	if bytes.HasPrefix(data, c.start) {
		return true
	}
	var event struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &event) == nil && event.ID == c.id
}

// note remembers the text of an event, still escaped, for a resume.
func (x *exchange) note(data []byte) {
	if t := eventText(data); len(t) > 0 {
		x.escaped = append(x.escaped, t...)
		x.tokens++
	}
}

// text returns the text delivered so far, with that of the attempts before.
func (x *exchange) text() string {
	var s string
	quoted := append(append([]byte{'"'}, x.escaped...), '"')
	if err := json.Unmarshal(quoted, &s); err != nil {
		return x.attempt.Text
	}
	return x.attempt.Text + s
}

// eventText finds the escaped text of a completion event. A key can only stand outside of strings, because
// quotation marks inside strings are escaped.
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

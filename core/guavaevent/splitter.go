// Package guavaevent splits streams of server-sent events into events.
package guavaevent

import (
	"bytes"
	"strconv"
)

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the blank line that ends it.
	Raw []byte
	// ID is the event's numeric ID, or -1 if it has none.
	ID int
	// Data is the value of the data fields; those of several data lines are joined by line feeds.
	Data []byte
}

// Splitter buffers the bytes of a stream and returns complete events. An incomplete last event stays in the buffer.
type Splitter struct {
	pending []byte
	scanned int // number of leading bytes of pending without an end of an event
}

// Write appends bytes of the stream.
func (s *Splitter) Write(p []byte) { s.pending = append(s.pending, p...) }

// Pending returns the number of buffered bytes.
func (s *Splitter) Pending() int { return len(s.pending) }

// Rest returns the buffered bytes. They are valid until the next call of Write.
func (s *Splitter) Rest() []byte { return s.pending }

// Next returns the next complete event. Its slices are valid until the next call of Write.
func (s *Splitter) Next() (Event, bool) {
	end := eventEnd(s.pending, max(s.scanned-3, 0))
	if end < 0 {
		s.scanned = len(s.pending)
		return Event{}, false
	}
	raw := s.pending[:end:end]
	s.pending = s.pending[end:]
	s.scanned = 0
	return parse(raw), true
}

// eventEnd returns the index after the first blank line at or after from, or -1.
func eventEnd(b []byte, from int) int {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		if i+1 < len(b) && b[i+1] == '\n' {
			return i + 2
		}
		if i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n' {
			return i + 3
		}
	}
	return -1
}

func parse(raw []byte) Event {
	e := Event{Raw: raw, ID: -1}
	joined := false
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if value, ok := field(line, "id:"); ok {
			if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
				e.ID = n
			}
			continue
		}
		value, ok := field(line, "data:")
		switch {
		case !ok:
		case e.Data == nil:
			e.Data = value
		case !joined:
			e.Data = append(append(bytes.Clone(e.Data), '\n'), value...)
			joined = true
		default:
			e.Data = append(append(e.Data, '\n'), value...)
		}
	}
	return e
}

func field(line []byte, name string) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name))
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

package guavastandin

import (
	"errors"
	"io"
	"sync"
)

var errAborted = errors.New("sequence aborted")

// eventStream buffers a response between the batching loop and the connection. The buffer is unbounded, because the
// loop never waits for a slow reader.
type eventStream struct {
	streamed     bool
	onDisconnect func()

	mu      sync.Mutex
	ready   *sync.Cond
	data    []byte
	ended   bool
	aborted bool
}

func newEventStream(streams bool) *eventStream {
	s := &eventStream{streamed: streams}
	s.ready = sync.NewCond(&s.mu)
	return s
}

func (s *eventStream) append(head []byte, text, tail string) {
	s.mu.Lock()
	s.data = append(append(append(s.data, head...), text...), tail...)
	s.mu.Unlock()
	s.ready.Signal()
}

func (s *eventStream) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.ready.Signal()
}

func (s *eventStream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.ready.Signal()
}

// Read implements io.Reader. It blocks until there is data. It returns errAborted once the sequence is aborted.
func (s *eventStream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.data) == 0 && !s.ended && !s.aborted {
		s.ready.Wait()
	}
	switch {
	case s.aborted:
		return 0, errAborted
	case len(s.data) == 0:
		return 0, io.EOF
	}
	n := copy(p, s.data)
	s.data = s.data[:copy(s.data, s.data[n:])]
	return n, nil
}

// readAll waits for the end of the response and returns it.
func (s *eventStream) readAll() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.ended && !s.aborted {
		s.ready.Wait()
	}
	if s.aborted {
		return nil, errAborted
	}
	return s.data, nil
}

// Close implements io.Closer. If the response has not ended, the client has disconnected and onDisconnect is called.
func (s *eventStream) Close() error {
	s.mu.Lock()
	ended := s.ended
	s.aborted = true
	s.mu.Unlock()
	s.ready.Signal()
	if !ended && s.onDisconnect != nil {
		s.onDisconnect()
	}
	return nil
}

package guavamesh

import (
	"bufio"
	"errors"
	"fmt"

	"guavaridge/core/guavabudget"
)

var (
	errMessageTooLarge = errors.New("message too large")
	errMessageLength   = errors.New("malformed length of a message")
	errNoMemory        = errors.New("no memory for a message")
)

// messageReader reads messages of encoding/gob, each of which begins with its length. It fails after remaining bytes, and
// before the decoder allocates memory for a message that is longer. It implements io.ByteReader, so that the decoder reads
// no further than to the end of a message.
type messageReader struct {
	*bufio.Reader
	remaining int
	left      int // bytes that are left of the current message and its length
	held      guavabudget.Holder
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := r.begin(); err != nil {
		return 0, err
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.remaining -= n
	return n, err //nolint:wrapcheck // io.Reader wants io.EOF itself
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	if err := r.begin(); err != nil {
		return 0, err
	}
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.left--
		r.remaining--
	}
	return b, err //nolint:wrapcheck // likewise
}

// begin reads the length of the next message ahead if the current one has ended. A length below 128 is one byte; otherwise, the
// first byte is the negated number of the bytes that follow, the most significant one first.
func (r *messageReader) begin() error {
	if r.left > 0 {
		return nil
	}
	head, err := r.Peek(1)
	if err != nil {
		return err //nolint:wrapcheck // io.Reader wants io.EOF itself
	}
	prefix, length := 1, int(head[0])
	if head[0] >= 128 {
		size := -int(int8(head[0])) //nolint:gosec // the encoding of encoding/gob
		if size > 4 {
			return errMessageLength
		}
		if head, err = r.Peek(1 + size); err != nil {
			return err //nolint:wrapcheck // likewise
		}
		prefix, length = 1+size, 0
		for _, b := range head[1:] {
			length = length<<8 | int(b)
		}
	}
	if prefix+length > r.remaining {
		return fmt.Errorf("%w: %d bytes, %d are left", errMessageTooLarge, length, r.remaining)
	}
	if !r.held.Set(max(length-smallMessageSize, 0)) {
		return fmt.Errorf("%w of %d bytes", errNoMemory, length)
	}
	r.left = prefix + length
	return nil
}

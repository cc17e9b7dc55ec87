package guavatransport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/valyala/fasthttp"
)

// openBody returns the body of a response, whose head has been read, as a stream. Unlike the streams of the library, it checks the
// trailer section behind chunks.
func openBody(from *bufio.Reader, header *fasthttp.ResponseHeader) io.Reader {
	switch length := header.ContentLength(); {
	case length >= 0:
		return &lengthBody{from: from, left: length}
	case length == -1:
		return &chunkedBody{from: from, header: header}
	}
	return from
}

// lengthBody is a body with a length.
type lengthBody struct {
	from *bufio.Reader
	left int // bytes
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		err = io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // io.Reader wants io.EOF itself
}

// errInvalidChunk means that a body has no chunk where the next one begins, or only bytes that carry no data.
var errInvalidChunk = errors.New("invalid chunk")

const (
	// maxChunkSize bounds the size of a chunk in bytes, so that a further digit does not overflow.
	maxChunkSize = math.MaxInt >> 4
	// freeOverhead is the size in bytes that the line before a chunk may have in addition to twice the size of the chunk.
	freeOverhead = 16
	// maxOverhead bounds the bytes of all lines of a body beyond that, so that a server cannot send extensions without end.
	maxOverhead = 16 << 10
)

// chunkedBody is a body in chunks.
type chunkedBody struct {
	from     *bufio.Reader
	header   *fasthttp.ResponseHeader
	begun    bool  // a chunk has begun
	left     int   // bytes of the chunk
	overhead int   // bytes of lines, see maxOverhead
	err      error // why the body has ended, io.EOF behind the trailer section
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.err = b.beginChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	return n, err //nolint:wrapcheck // callers inspect it, and say what they read
}

// beginChunk reads up to the data of the next chunk. It returns io.EOF behind the trailer section.
func (b *chunkedBody) beginChunk() error {
	if b.begun {
		if err := readLineBreak(b.from); err != nil {
			return err
		}
	}
	b.begun = true
	line, err := b.from.ReadSlice('\n')
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err //nolint:wrapcheck // callers inspect it, and say what they read
	}
	if b.left, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.left == 0 {
		if err := readTrailer(b.header, b.from); err != nil {
			return err
		}
		return io.EOF
	}
	if b.overhead = max(0, b.overhead+len(line)-freeOverhead-2*b.left); b.overhead > maxOverhead {
		return fmt.Errorf("%w: too much overhead", errInvalidChunk)
	}
	return nil
}

// readLineBreak reads the line break behind the data of a chunk.
func readLineBreak(from *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		switch c, err := from.ReadByte(); {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err //nolint:wrapcheck // callers inspect it, and say what they read
		case c != want:
			return fmt.Errorf("%w: %q behind its data", errInvalidChunk, c)
		}
	}
	return nil
}

// parseChunkSize returns the size in the line that begins a chunk. It ignores extensions.
func parseChunkSize(line []byte) (int, error) {
	size := 0
	for n, c := range line {
		switch {
		case c >= '0' && c <= '9':
			size = size<<4 | int(c-'0')
		case c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F':
			size = size<<4 | int(c|0x20-'a'+10)
		case n > 0 && endsChunkSize(line[n:]):
			return size, nil
		default:
			return 0, fmt.Errorf("%w: %.40q", errInvalidChunk, line)
		}
		if size > maxChunkSize {
			break
		}
	}
	return 0, fmt.Errorf("%w: %.40q", errInvalidChunk, line)
}

// endsChunkSize reports whether a line may go on with the bytes behind the size of a chunk: white space, extensions and CRLF.
func endsChunkSize(rest []byte) bool {
	if string(rest) == "\r\n" {
		return true
	}
	rest, ok := bytes.CutSuffix(bytes.TrimLeft(rest, " \t"), []byte("\r\n"))
	return ok && (len(rest) == 0 || rest[0] == ';') && !bytes.ContainsRune(rest, '\r')
}

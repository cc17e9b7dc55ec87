package guavatransport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrInvalidStatus means that the status of a response is not one that a server can answer a request with.
var ErrInvalidStatus = errors.New("invalid status of a response")

const (
	// minStatus and maxStatus bound the statuses of final responses.
	minStatus = 200
	maxStatus = 599
	// maxInterim is the number of interim responses that may come before a final one.
	maxInterim = 10
)

// ReadResponse reads the head of the final response to a request, and its body unless it is streamed. It skips interim responses. The
// buffer of from bounds the size of a head and of a trailer section. After an error, what from returns next is undefined.
//
// Statuses and names of fields are checked in the bytes that arrived. The library reports a status of 000 as 200. It accepts names with
// white space and removes that before the colon, so that such names say where the body ends.
func ReadResponse(to *fasthttp.Response, from *bufio.Reader, maxBodySize int) error {
	for range maxInterim {
		status, err := peekHead(from)
		if err != nil {
			return err
		}
		if err := to.Header.Read(from); err != nil {
			return err //nolint:wrapcheck // callers inspect it, and say what they read
		}
		if isInterim(status) {
			continue
		}
		if to.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			return nil
		}
		return readBody(to, from, maxBodySize)
	}
	return fmt.Errorf("%w: more than %d interim responses", ErrInvalidStatus, maxInterim)
}

// isInterim reports whether further responses follow one with the status.
func isInterim(status int) bool {
	return status >= 100 && status < minStatus && status != fasthttp.StatusSwitchingProtocols
}

// peekHead waits for the head that comes next, checks it and returns its status. It consumes nothing.
func peekHead(from *bufio.Reader) (int, error) {
	var buffered []byte
	for {
		var err error
		if buffered, err = peekMore(from, len(buffered)); err != nil {
			return 0, err
		}
		line, size := cutStatusLine(buffered)
		if size == 0 {
			continue
		}
		status, ok := parseStatus(line)
		if !ok {
			return 0, fmt.Errorf("%w: %.40q", ErrInvalidStatus, line)
		}
		hasCodings := bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		if err := peekFields(from, buffered, size); err != nil || hasCodings {
			return status, err
		}
		return status, checkNoCoding(from, size)
	}
}

// cutStatusLine returns the status line at the start of b without its line break, and the size up to the next line, 0 if b has no whole
// line. Like the library, it ignores empty lines before the status line.
func cutStatusLine(b []byte) (line []byte, size int) {
	start := 0
	for start < len(b) && (b[start] == '\r' || b[start] == '\n') {
		start++
	}
	end := bytes.IndexByte(b[start:], '\n')
	if end < 0 {
		return nil, 0
	}
	return bytes.TrimSuffix(b[start:start+end], []byte{'\r'}), start + end + 1
}

// parseStatus returns the status in a status line, and whether a response can have it. The library checks the version.
func parseStatus(line []byte) (status int, ok bool) {
	start := len("HTTP/1.1")
	for start < len(line) && line[start] == ' ' {
		start++
	}
	end := start + len("200")
	if start == len("HTTP/1.1") || end > len(line) || end < len(line) && line[end] != ' ' {
		return 0, false
	}
	for _, c := range line[start:end] {
		if c < '0' || c > '9' {
			return 0, false
		}
		status = 10*status + int(c-'0')
	}
	return status, isInterim(status) || status >= minStatus && status <= maxStatus
}

// readBody reads a body and the trailer section behind it, or makes them the stream of the response.
func readBody(to *fasthttp.Response, from *bufio.Reader, maxBodySize int) error {
	length := to.Header.ContentLength()
	if to.StreamBody {
		to.SetBodyStream(openBody(from, &to.Header), length)
		return nil
	}
	if err := to.ReadBody(from, maxBodySize); err != nil {
		return err //nolint:wrapcheck // callers inspect it, and say what they read
	}
	if length == -1 {
		return readTrailer(&to.Header, from)
	}
	return nil
}

// readTrailer reads the trailer section of a response.
func readTrailer(to *fasthttp.ResponseHeader, from *bufio.Reader) error {
	if section, err := from.Peek(2); err == nil && string(section) == "\r\n" {
		_, err = from.Discard(2)
		return err //nolint:wrapcheck // it is buffered
	}
	err := peekFields(from, nil, 0)
	if err == nil {
		err = to.ReadTrailer(from)
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err //nolint:wrapcheck // callers inspect it, and say what they read
}

package guavatransport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"
)

// ErrInvalidField means that a head or a trailer section has a line that is not a field with a token as its name, or a field that
// messages of its version cannot have.
var ErrInvalidField = errors.New("invalid field")

// tokenBytes holds the bytes of tokens, of which names of fields consist (RFC 9110, 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()

// IsToken reports whether a text can be the name of a field.
func IsToken(name string) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// scanFields checks that the whole lines in b are fields, up to the empty line that ends a head or a trailer section. It returns the
// size of these fields in bytes, and whether there is an empty line behind them. Like the library, it takes LF and CRLF as line breaks.
//
// A line that continues the field before it is rejected (RFC 9112, 5.2): it may be a field with white space before its name.
func scanFields(b []byte) (size int, ended bool, err error) {
	for {
		name := size
		for name < len(b) && tokenBytes[b[name]] {
			name++
		}
		end := bytes.IndexByte(b[name:], '\n')
		if end < 0 {
			return size, false, nil
		}
		end += name
		if name == size || b[name] != ':' {
			line := bytes.TrimSuffix(b[size:end], []byte{'\r'})
			if len(line) == 0 {
				return size, true, nil
			}
			return size, false, fmt.Errorf("%w: %.40q", ErrInvalidField, line)
		}
		size = end + 1
	}
}

// CheckFields returns ErrInvalidField if the lines of a head are not all fields. The head is given as it arrived, without its first line.
func CheckFields(raw []byte) error {
	_, _, err := scanFields(raw)
	return err
}

// errTooLong means that a head or a trailer section does not fit into the buffer of its reader.
var errTooLong = errors.New("head or trailer section too long")

// peekMore waits until a reader has buffered more than the given number of bytes, and returns all that it has buffered.
func peekMore(from *bufio.Reader, size int) ([]byte, error) {
	switch _, err := from.Peek(size + 1); {
	case err == nil:
		return from.Peek(from.Buffered()) //nolint:wrapcheck // all of that is there
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, fmt.Errorf("%w: more than %d bytes", errTooLong, size)
	default:
		return nil, err //nolint:wrapcheck // callers inspect it, and say what they read
	}
}

// peekFields waits until a reader has buffered a head or a trailer section to its end, and checks the fields in it. They begin at start
// in what the reader is known to have buffered.
func peekFields(from *bufio.Reader, buffered []byte, start int) error {
	for {
		size, ended, err := scanFields(buffered[start:])
		if ended || err != nil {
			return err
		}
		start += size
		if buffered, err = peekMore(from, len(buffered)); err != nil {
			return err
		}
	}
}

// checkNoCoding checks that no field of a head names a transfer coding. The fields begin behind the given number of bytes that a reader
// has buffered. Versions before HTTP/1.1 have no codings (RFC 9112, 6.1): the library ignores the field, but its server may not.
func checkNoCoding(from *bufio.Reader, start int) error {
	b, err := from.Peek(from.Buffered())
	if err != nil {
		return err //nolint:wrapcheck // callers inspect it, and say what they read
	}
	for line := range bytes.Lines(b[start:]) {
		name, _, isField := bytes.Cut(line, []byte{':'})
		if !isField {
			break // the empty line behind the fields
		}
		if bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			return fmt.Errorf("%w: %.40q in a version without it", ErrInvalidField, line)
		}
	}
	return nil
}

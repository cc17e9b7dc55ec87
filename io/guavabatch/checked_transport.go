package guavabatch

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"guavaridge/io/guavatransport"
)

// checkedTransport fails requests whose responses have a field with a name that is no token. The library accepts white space in names.
// It does not take such a field for the one that says where the body ends, although the server may have meant it.
type checkedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r, err := t.Transport.RoundTrip(q)
	if err != nil {
		return nil, err //nolint:wrapcheck // the client wraps it
	}
	if err := checkNames(r.Header); err != nil {
		r.Body.Close()
		t.CloseIdleConnections() // that of a response without a body is idle already
		return nil, err
	}
	r.Body = &checkedBody{ReadCloser: r.Body, transport: t, response: r}
	return r, nil
}

// checkedBody is a body that fails at its end if its trailer section has such a field.
type checkedBody struct {
	io.ReadCloser
	transport checkedTransport
	response  *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if err := checkNames(b.response.Trailer); err != nil {
			b.transport.CloseIdleConnections()
			return n, err
		}
	}
	return n, err //nolint:wrapcheck // io.Reader wants io.EOF itself
}

func checkNames(fields http.Header) error {
	for name := range fields {
		if !guavatransport.IsToken(name) {
			return fmt.Errorf("%w: %.40q", guavatransport.ErrInvalidField, name)
		}
	}
	return nil
}

package guavatransport_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"unicode"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavatransport"
)

// FuzzReadResponse guards against bytes that are read as a response although the name of a field is no token or its value has a control
// byte, and against a body other than the one that the head says. Bytes behind the response have to stay unread, since the next response begins with them.
func FuzzReadResponse(f *testing.F) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, raw := range []string{
		status + "Content-Length: 2\r\n\r\nok and more",
		status + "Content-Length : 2\r\n\r\nok",
		status + "X Trouble: 1\r\n\r\nok",
		status + "X: 1\r\n Content-Length: 2\r\n\r\nok",
		status + "X\x01: 1\r\n\r\n",
		status + "X: \x01\r\n\r\n",
		status + "X: 1\r2\r\n\r\n",
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore",
		status + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n2;a=b\r\nok\r\n0\r\nX-Sum: 1\r\n\r\nmore",
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n",
		status + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early\r\nX : 1\r\n\r\n" + status + "\r\n",
		"HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/0.0 200 0\nTrAnsfer-EnCoding:00000000000\r\n\r\n000000000000000000000000",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\r\nok\r\n\r\n",
		"\r\n\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
	} {
		f.Add([]byte(raw), false, false)
		f.Add([]byte(raw), true, false)
		f.Add([]byte(raw), true, true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, streamed, isHead bool) {
		var got fasthttp.Response
		got.StreamBody, got.SkipBody = streamed, isHead
		reader := bufio.NewReader(bytes.NewReader(raw))
		if streamed {
			reader = bufio.NewReader(iotest.OneByteReader(bytes.NewReader(raw))) // each read of the network returns little
		}
		if err := guavatransport.ReadResponse(&got, reader, 0); err != nil {
			return
		}
		var body []byte
		if stream := got.BodyStream(); stream == nil {
			body = got.Body()
		} else if all, err := io.ReadAll(stream); err == nil {
			body = all
		} else {
			return
		}
		rest, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		want, err := parseResponse(string(raw), isHead)
		if err != nil {
			t.Fatalf("%q was read as status %d with body %q: %v", raw, got.StatusCode(), body, err)
		}
		if got.StatusCode() != want.status || string(body) != want.body || string(rest) != want.rest {
			t.Errorf("%q: got status %d, body %q and rest %q, want %+v", raw, got.StatusCode(), body, rest, want)
		}
		for name, value := range got.Header.All() {
			if !isToken(string(name)) {
				t.Errorf("%q: got a field with the name %q", raw, name)
			}
			if bytes.ContainsFunc(value, func(c rune) bool { return c != '\t' && unicode.IsControl(c) && c <= unicode.MaxASCII }) {
				t.Errorf("%q: got the value %q", raw, value)
			}
		}
		for _, name := range got.Header.PeekTrailerKeys() {
			if !isToken(string(name)) {
				t.Errorf("%q: got a trailer with the name %q", raw, name)
			}
		}
	})
}

// parsedResponse is a final response and the bytes behind it.
type parsedResponse struct {
	status     int
	body, rest string
}

// parseResponse parses a response by the rules of RFC 9112, far enough to tell its status and where its body ends.
func parseResponse(raw string, isHead bool) (parsedResponse, error) {
	for {
		raw = strings.TrimLeft(raw, "\r\n")
		line, rest, ok := cutLine(raw)
		parts := strings.Fields(line)
		if !ok || len(parts) < 2 {
			return parsedResponse{}, errors.New("no status line")
		}
		status, err := strconv.Atoi(parts[1])
		if err != nil {
			return parsedResponse{}, err
		}
		fields, rest, err := cutFields(rest)
		if err != nil {
			return parsedResponse{}, err
		}
		if raw = rest; status < 200 && status != 101 {
			continue
		}
		r := parsedResponse{status: status, rest: rest}
		if isHead || status == 204 || status == 304 {
			return r, nil
		}
		return r, r.cutBody(fields, parts[0] == "HTTP/1.1")
	}
}

// cutBody splits the rest into the body and what follows it.
func (r *parsedResponse) cutBody(fields map[string][]string, isHTTP11 bool) error {
	coding, lengths := fields["transfer-encoding"], fields["content-length"]
	switch {
	case len(coding) > 0 && !isHTTP11:
		return errors.New("transfer coding of a version without one")
	case len(coding) > 0 && (len(coding) > 1 || !strings.EqualFold(coding[0], "chunked")):
		return errors.New("unknown transfer coding")
	case len(coding) > 0:
		return r.cutChunks()
	case len(lengths) == 0:
		r.body, r.rest = r.rest, ""
		return nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 32)
	if err != nil || len(lengths) > 1 || int(n) > len(r.rest) {
		return errors.New("invalid length")
	}
	r.body, r.rest = r.rest[:n], r.rest[n:]
	return nil
}

func (r *parsedResponse) cutChunks() error {
	for {
		line, rest, ok := cutLine(r.rest)
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 32)
		if !ok || err != nil {
			return errors.New("invalid chunk size")
		}
		if n == 0 {
			_, r.rest, err = cutFields(rest)
			return err
		}
		if int(n)+2 > len(rest) || rest[n:n+2] != "\r\n" {
			return errors.New("invalid end of a chunk")
		}
		r.body, r.rest = r.body+rest[:n], rest[n+2:]
	}
}

// cutFields returns the values of fields by their names in lower case, and what follows the empty line behind them.
func cutFields(raw string) (fields map[string][]string, rest string, err error) {
	fields = map[string][]string{}
	for {
		line, rest, ok := cutLine(raw)
		if !ok {
			return nil, "", errors.New("section without an end")
		}
		if line == "" {
			return fields, rest, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, "", errors.New("name that is no token")
		}
		name = strings.ToLower(name)
		fields[name] = append(fields[name], strings.Trim(value, " \t"))
		raw = rest
	}
}

func cutLine(raw string) (line, rest string, ok bool) {
	line, rest, ok = strings.Cut(raw, "\n")
	return strings.TrimSuffix(line, "\r"), rest, ok
}

func isToken(name string) bool {
	return name != "" && strings.Trim(name, "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

package guavatransport_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavatransport"
)

// TestReadResponse guards against statuses that are none of the protocol and that count as 200, against names of fields that are no
// tokens, and against final responses that are lost behind interim ones.
func TestReadResponse(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	cases := []struct {
		name, raw string
		head      bool // response to a HEAD request
		status    int
		body      string
		want      error
	}{
		{name: "success", raw: "HTTP/1.1 200 OK\r\n" + rest, status: 200, body: "ok"},
		{name: "without a reason", raw: "HTTP/1.1 200\r\n" + rest, status: 200, body: "ok"},
		{name: "highest", raw: "HTTP/1.1 599 X\r\n" + rest, status: 599, body: "ok"},
		{name: "after an empty line", raw: "\r\nHTTP/1.1 200 OK\r\n" + rest, status: 200, body: "ok"},
		{name: "after interim responses", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 500 No\r\n" + rest, status: 500, body: "ok"},
		{name: "no content", raw: "HTTP/1.1 204 None\r\n\r\n", status: 204},
		{name: "not modified", raw: "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", status: 304},
		{name: "HEAD", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", head: true, status: 200},
		{name: "chunks", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		{name: "chunks without their end", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", want: io.ErrUnexpectedEOF},
		{name: "000", raw: "HTTP/1.1 000 OK\r\n" + rest, want: guavatransport.ErrInvalidStatus},
		{name: "000 after spaces", raw: "HTTP/1.1   000 OK\r\n" + rest, want: guavatransport.ErrInvalidStatus},
		{name: "000 after an empty line", raw: "\n\r\nHTTP/1.1 000 OK\r\n" + rest, want: guavatransport.ErrInvalidStatus},
		{name: "000 after an interim response", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + rest, want: guavatransport.ErrInvalidStatus},
		{name: "099", raw: "HTTP/1.1 099 X\r\n" + rest, want: guavatransport.ErrInvalidStatus},
		{name: "101", raw: "HTTP/1.1 101 Switch\r\n\r\n", want: guavatransport.ErrInvalidStatus},
		{name: "600", raw: "HTTP/1.1 600 X\r\n" + rest, want: guavatransport.ErrInvalidStatus},
		{name: "interim responses without end", raw: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50), want: guavatransport.ErrInvalidStatus},
		{name: "trailer", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", status: 200, body: "ok"},
		{name: "chunk with an extension", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;name=value\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		{name: "chunk cut off", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok", want: io.ErrUnexpectedEOF},
		{name: "trailer cut off", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n", want: io.ErrUnexpectedEOF},
		{name: "all bytes of tokens", raw: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n" + rest, status: 200, body: "ok"},
		{name: "blank inside a name", raw: "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n" + rest, want: guavatransport.ErrInvalidField},
		{name: "blank before the colon", raw: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok", want: guavatransport.ErrInvalidField},
		{name: "blank before a name", raw: "HTTP/1.1 200 OK\r\nX: 1\r\n " + rest, want: guavatransport.ErrInvalidField},
		{name: "no name", raw: "HTTP/1.1 200 OK\r\n: 1\r\n" + rest, want: guavatransport.ErrInvalidField},
		{name: "no colon", raw: "HTTP/1.1 200 OK\r\nX\r\n" + rest, want: guavatransport.ErrInvalidField},
		{name: "blank in an interim response", raw: "HTTP/1.1 103 Early\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, want: guavatransport.ErrInvalidField},
		{name: "blank after an interim response", raw: "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX Trouble: 1\r\n" + rest, want: guavatransport.ErrInvalidField},
		{name: "blank in a trailer", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum : 1\r\n\r\n", want: guavatransport.ErrInvalidField},
		{name: "blank in a HEAD response", raw: "HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 9\r\n\r\n", head: true, want: guavatransport.ErrInvalidField},
		{name: "HTTP/1.0", raw: "HTTP/1.0 200 OK\r\n" + rest, status: 200, body: "ok"},
		{name: "chunks in HTTP/1.0", raw: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: guavatransport.ErrInvalidField},
		{name: "chunks and a length in HTTP/1.0", raw: "HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\n" + rest, want: guavatransport.ErrInvalidField},
		{name: "nothing", raw: "", want: io.EOF},
		{name: "part of a line", raw: "HTTP/1.1 20", want: io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, stream := range []bool{false, true} {
				var got fasthttp.Response
				got.StreamBody, got.SkipBody = stream, c.head
				err := guavatransport.ReadResponse(&got, bufio.NewReader(strings.NewReader(c.raw)), 0)
				if err == nil && stream && got.BodyStream() != nil {
					var body []byte
					if body, err = io.ReadAll(got.BodyStream()); err == nil && string(body) != c.body {
						t.Errorf("got body %q, want %q", body, c.body)
					}
				}
				if c.want != nil {
					if !errors.Is(err, c.want) {
						t.Errorf("stream %t: got error %v, want %v", stream, err, c.want)
					}
					continue
				}
				if err != nil || got.StatusCode() != c.status || !stream && string(got.Body()) != c.body {
					t.Errorf("stream %t: got status %d, body %q and error %v, want %d and %q", stream, got.StatusCode(), got.Body(), err, c.status, c.body)
				}
			}
		})
	}
}

// TestStreamCutOff guards against a body in chunks that counts as complete, or as malformed instead of broken off, wherever its
// connection ends: a server that crashes breaks off, one that sends something else does not.
func TestStreamCutOff(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		body = "2;name=value\r\nok\r\n10\r\nsixteen bytes...\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"
	)
	for n := range len(body) + 1 {
		var r fasthttp.Response
		r.StreamBody = true
		if err := guavatransport.ReadResponse(&r, bufio.NewReader(strings.NewReader(head+body[:n])), 0); err != nil {
			t.Fatalf("cut after %q: got error %v for the head", body[:n], err)
		}
		got, err := io.ReadAll(r.BodyStream())
		switch {
		case n == len(body) && (err != nil || string(got) != "oksixteen bytes..."):
			t.Errorf("got body %q and error %v, want all of it", got, err)
		case n < len(body) && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("cut after %q: got body %q and error %v, want %v", body[:n], got, err, io.ErrUnexpectedEOF)
		}
	}
}

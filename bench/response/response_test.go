// Package response_test measures the reader of responses.
package response_test

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"guavaridge/io/guavatransport"
)

// The head of a typical response, without the field that says where its body ends.
const head = "HTTP/1.1 200 OK\r\n" +
	"Content-Type: text/event-stream\r\n" +
	"X-Request-Id: 9c41d07be2a35f68\r\n" +
	"X-Content-Proof: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"X-Model-Versions: 1\r\n" +
	"X-Answer-Load: 3,0,8\r\n" +
	"Keep-Alive: timeout=30\r\n"

// readBufferSize is that of connections to backend servers.
const readBufferSize = 8 << 10

// responses returns responses with a body of 800 bytes, by how they say where it ends.
func responses() []struct{ name, raw string } {
	body := strings.Repeat("x", 800)
	chunk := "64\r\n" + body[:100] + "\r\n"
	return []struct{ name, raw string }{
		{"length", head + "Content-Length: 800\r\n\r\n" + body},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 8) + "0\r\n\r\n"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 8) + "0\r\nX-Sum: 1\r\n\r\n"},
		{"closed", head + "\r\n" + body},
		{"interim", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + "Content-Length: 800\r\n\r\n" + body},
	}
}

// BenchmarkStreamed reads responses as the sender of the edge does: the body is a stream, and the response is left to the garbage
// collector.
func BenchmarkStreamed(b *testing.B) {
	for _, r := range responses() {
		b.Run(r.name, func(b *testing.B) {
			source := strings.NewReader(r.raw)
			reader := bufio.NewReaderSize(source, readBufferSize)
			buffer := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(r.raw)
				reader.Reset(source)
				response := fasthttp.AcquireResponse()
				response.Header.SetNoDefaultContentType(true)
				response.StreamBody = true
				if err := guavatransport.ReadResponse(response, reader, 0); err != nil {
					b.Fatal(err)
				}
				n := 0
				for {
					read, err := response.BodyStream().Read(buffer)
					if n += read; err == io.EOF {
						break
					} else if err != nil {
						b.Fatal(err)
					}
				}
				if n != 800 {
					b.Fatalf("read %d bytes, want 800", n)
				}
			}
		})
	}
}

// BenchmarkBuffered reads whole responses as the client of model engines does, and releases them.
func BenchmarkBuffered(b *testing.B) {
	for _, r := range responses() {
		b.Run(r.name, func(b *testing.B) {
			source := strings.NewReader(r.raw)
			reader := bufio.NewReaderSize(source, readBufferSize)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(r.raw)
				reader.Reset(source)
				response := fasthttp.AcquireResponse()
				response.Header.SetNoDefaultContentType(true)
				if err := guavatransport.ReadResponse(response, reader, 1<<20); err != nil {
					b.Fatal(err)
				}
				if n := len(response.Body()); n != 800 {
					b.Fatalf("read %d bytes, want 800", n)
				}
				fasthttp.ReleaseResponse(response)
			}
		})
	}
}

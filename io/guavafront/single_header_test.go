package guavafront_test

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// ownedHeaders are the headers that the front or the sender sets towards a server, removes or acts on. Each has a check of its values at
// the server, with the values that the caller sent.
var ownedHeaders = map[string]func(got, sent []string) bool{
	"Host":            func(got, _ []string) bool { return len(got) == 1 && (got[0] == "engine" || got[0] == "service") },
	"X-Request-Id":    func(got, _ []string) bool { return len(got) == 1 && strings.Contains(got[0], "-") },
	"X-Deadline-Ms":   isTimeout,
	"X-Resume-Tokens": func(got, _ []string) bool { return len(got) == 0 },
	"X-Load":          func(got, _ []string) bool { return len(got) == 0 },
	"Authorization":   func(got, _ []string) bool { return len(got) == 0 },
	"X-Api-Key":       func(got, _ []string) bool { return len(got) == 0 },
	"Idempotency-Key": func(got, sent []string) bool { return cmp.Equal(got, sent) },
}

// isTimeout reports whether got is one timeout of at most that in sent, or the default of ten minutes.
func isTimeout(got, sent []string) bool {
	most := 600_000
	if len(sent) > 0 {
		most = 77
	}
	if len(got) != 1 {
		return false
	}
	n, err := strconv.Atoi(got[0])
	return err == nil && n >= 1 && n <= most
}

// TestSingleHeaders guards against headers that servers trust and that a caller has set, or that reach a server more than once. The
// front rejects a request if it would have to choose between values.
func TestSingleHeaders(t *testing.T) {
	for name := range ownedHeaders {
		lower, upper := strings.ToLower(name), strings.ToUpper(name)
		for variant, c := range map[string]struct{ head, trailers string }{
			"twice":           {head: name + ": 77\r\n" + name + ": 77\r\n"},
			"cases":           {head: lower + ": 77\r\n" + upper + ": 78\r\n"},
			"empty":           {head: name + ":\r\n" + lower + ": 77\r\n"},
			"option":          {head: "Connection: keep-alive, " + lower + "\r\n" + name + ": 77\r\n"},
			"option twice":    {head: "Connection: x\r\nConnection: " + name + "\r\n" + name + ": 77\r\n"},
			"trailer":         {head: "Trailer: " + name + "\r\n", trailers: name + ": 77\r\n"},
			"unknown trailer": {trailers: lower + ": 77\r\n"},
			"trailer in head": {head: "Trailer: " + lower + "\r\n" + name + ": 77\r\n", trailers: "X-Sum: 1\r\n"},
		} {
			for way, request := range map[string][2]string{
				"plain":  {"POST /bookings/1", "{}"},
				"open":   {"POST /open/1", "{}"},
				"engine": {"POST /v1/chat/completions", chatRequest},
				"stream": {"POST /v1/chat/completions", streamRequest(3)},
			} {
				t.Run(name+"/"+variant+"/"+way, func(t *testing.T) {
					inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
						head := request[0] + " HTTP/1.1\r\nHost: front\r\nConnection: close\r\n" + c.head
						if name != "Authorization" || !strings.Contains(c.head, ": 77") {
							head += "Authorization: Bearer " + r.bankKey + "\r\n"
						}
						body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(request[1]), request[1])
						if c.trailers != "" {
							body = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(request[1]), request[1], c.trailers)
						}
						status := r.sendRaw(head + body)
						received := append(r.engine.Received(), r.service.Received()...)
						if status != 200 {
							if status < 400 || status > 499 || len(received) > 0 {
								t.Errorf("got status %d, and %d requests at servers, want 200, or 4xx and none", status, len(received))
							}
							return
						}
						if len(received) != 1 {
							t.Fatalf("%d requests at servers, want 1", len(received))
						}
						var sent []string
						if strings.Contains(c.head, ": 77") {
							sent = []string{"77"}
						}
						for other, check := range ownedHeaders {
							values := sent
							if other != name {
								values = nil
							}
							if got := received[0].Header[other]; !check(got, values) {
								t.Errorf("%s: got %q at the server", other, got)
							}
						}
					})
				})
			}
		}
	}
}

// sendRaw sends the bytes of a request and returns the status of the response.
func (r *rig) sendRaw(raw string) (status int) {
	conn, err := r.network.Dial(r.t.Context(), "tcp", "front:80")
	if err != nil {
		r.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, raw); err != nil {
		r.t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		r.t.Fatal(err)
	}
	data, err := io.ReadAll(conn)
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := fmt.Sscanf(string(data), "HTTP/1.1 %d", &status); err != nil {
		r.t.Fatalf("%q: %v", data, err)
	}
	return status
}

package guavafront_test

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavakey"
	"guavaridge/io/guavafront"
)

// failure is the status, code and execution state of an error response.
type failure struct {
	Status    int
	Code, Ran string
}

func readFailure(t *testing.T, a response) failure {
	t.Helper()
	var v apiError
	if err := json.Unmarshal([]byte(a.body), &v); err != nil {
		t.Fatalf("status %d, body %q: %v", a.status, a.body, err)
	}
	if v.Error.Message == "" || v.Error.Type == "" {
		t.Errorf("error without message or type: %s", a.body)
	}
	return failure{a.status, v.Error.Code, v.Error.Ran}
}

// TestRefusals guards against invalid requests that crash the front, reach a backend server, or get an unspecific
// error.
func TestRefusals(t *testing.T) {
	unknown, _, _ := guavakey.Generate()
	const path = "/v1/chat/completions"
	deep := strings.Repeat("[", 60_000)
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		want                     failure
	}{
		{"no key", "POST", path, chatRequest, []string{"Authorization", ""}, failure{401, "missing_key", "none"}},
		{"other scheme", "POST", path, chatRequest, []string{"Authorization", "Basic abc"}, failure{401, "missing_key", "none"}},
		{"malformed key", "POST", path, chatRequest, []string{"Authorization", "Bearer gk_x"}, failure{401, "malformed_key", "none"}},
		{"unknown key", "POST", path, chatRequest, []string{"Authorization", "Bearer " + unknown}, failure{401, "invalid_key", "none"}},
		{"key elsewhere", "POST", path, chatRequest, []string{"Authorization", "", "X-Api-Key", unknown}, failure{401, "missing_key", "none"}},
		{"models without key", "GET", "/v1/models", "", []string{"Authorization", ""}, failure{401, "missing_key", "none"}},
		{"files without key", "POST", "/v1/files", "x", []string{"Authorization", ""}, failure{401, "missing_key", "none"}},
		{"no handler", "GET", "/v1/batches/b", "", nil, failure{404, "not_found", "none"}},
		{"unknown route", "GET", "/nowhere", "", nil, failure{404, "not_found", "none"}},
		{"beside the prefix", "GET", "/bookingsx", "", nil, failure{404, "not_found", "none"}},
		{"unknown engine path", "POST", "/v1/embeddings", "{}", nil, failure{404, "not_found", "none"}},
		{"wrong method", "GET", path, "", nil, failure{405, "method_not_allowed", "none"}},
		{"models by POST", "POST", "/v1/models", "", nil, failure{405, "method_not_allowed", "none"}},
		{"unknown model", "POST", path, strings.Replace(chatRequest, "proof", "x", 1), nil, failure{404, "model_not_found", "none"}},
		{"unknown adapter", "POST", path, strings.Replace(chatRequest, "proof", "proof:x", 1), nil, failure{404, "model_not_found", "none"}},
		{"unknown model by id", "GET", "/v1/models/x", "", nil, failure{404, "model_not_found", "none"}},
		{"empty body", "POST", path, "", nil, failure{400, "invalid_body", "none"}},
		{"no JSON", "POST", path, "hello", nil, failure{400, "invalid_body", "none"}},
		{"half JSON", "POST", path, chatRequest[:20], nil, failure{400, "invalid_body", "none"}},
		{"two values", "POST", path, chatRequest + chatRequest, nil, failure{400, "invalid_body", "none"}},
		{"deep JSON", "POST", path, `{"model":` + deep, nil, failure{400, "invalid_body", "none"}},
		{"list", "POST", path, "[" + chatRequest + "]", nil, failure{400, "invalid_body", "none"}},
		{"no messages", "POST", path, `{"model":"proof","messages":[]}`, nil, failure{400, "invalid_body", "none"}},
		{"no prompt", "POST", "/v1/completions", `{"model":"proof"}`, nil, failure{400, "invalid_body", "none"}},
		{"model number", "POST", path, strings.Replace(chatRequest, `"proof"`, "1", 1), nil, failure{400, "invalid_body", "none"}},
		{"stream text", "POST", path, strings.Replace(chatRequest, `{`, `{"stream":"yes",`, 1), nil, failure{400, "invalid_body", "none"}},
		{"content number", "POST", path, strings.Replace(chatRequest, `"hello"`, "1", 1), nil, failure{400, "invalid_body", "none"}},
		{"negative tokens", "POST", path, strings.Replace(chatRequest, `:5`, ":-5", 1), nil, failure{400, "invalid_body", "none"}},
		{"huge number", "POST", path, strings.Replace(chatRequest, `:5`, ":1e400", 1), nil, failure{400, "invalid_body", "none"}},
		{"reserved field", "POST", path, strings.Replace(chatRequest, `{`, `{"resume":"x",`, 1), nil, failure{400, "invalid_body", "none"}},
		{"stream of choices", "POST", path, strings.Replace(streamRequest(5), `{`, `{"n":2,`, 1), nil, failure{400, "invalid_body", "none"}},
		{"huge body", "POST", path, strings.Repeat(" ", 70_000), nil, failure{413, "body_too_large", "none"}},
		{"huge header", "POST", path, chatRequest, []string{"X-Long", strings.Repeat("x", 20_000)}, failure{431, "header_too_large", "none"}},
		{"deadline text", "POST", path, chatRequest, []string{"X-Deadline-Ms", "soon"}, failure{400, "invalid_header", "none"}},
		{"deadline past", "POST", path, chatRequest, []string{"X-Deadline-Ms", "0"}, failure{400, "invalid_header", "none"}},
		{"long identifier", "POST", path, chatRequest, []string{"X-Request-Id", strings.Repeat("x", 200)}, failure{400, "invalid_header", "none"}},
		{"quoted identifier", "POST", path, chatRequest, []string{"X-Request-Id", `a"b`}, failure{400, "invalid_header", "none"}},
		{"long idempotency key", "POST", path, chatRequest, []string{"Idempotency-Key", strings.Repeat("x", 200)}, failure{400, "invalid_header", "none"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
				if d := cmp.Diff(c.want, readFailure(t, r.send(c.method, c.path, c.body, c.header...))); d != "" {
					t.Error(d)
				}
				if n := len(r.engine.Received()) + len(r.service.Received()); n > 0 {
					t.Errorf("%d requests reached a backend server, want 0", n)
				}
			}, guavafront.WithBodyLimit(64<<10, 1<<20))
		})
	}
}

// TestRoutes guards against requests on routes that the key or its client account may not use.
func TestRoutes(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		visitor := []string{"Authorization", "Bearer " + r.visitorKey}
		for _, c := range []struct {
			name, method, path string
			header             []string
			status             int
		}{
			{"own route", "PATCH", "/bookings/1", nil, 200},
			{"not allowed", "PATCH", "/bookings/1", visitor, 403},
			{"not allowed after dots", "GET", "/open/../bookings/1", visitor, 403},
			{"not allowed after escaped dots", "GET", "/open/%2e%2e/bookings/1", visitor, 403},
			{"open without key", "GET", "/open/1", []string{"Authorization", ""}, 200},
			{"open with an invalid key", "GET", "/open/1", []string{"Authorization", "Bearer x"}, 200},
			{"completions not allowed", "POST", "/v1/chat/completions", visitor, 403},
			{"files not allowed", "POST", "/v1/files", visitor, 403},
			{"models allowed to all keys", "GET", "/v1/models", visitor, 200},
		} {
			if a := r.send(c.method, c.path, "", c.header...); a.status != c.status {
				t.Errorf("%s: got %d %s, want %d", c.name, a.status, a.body, c.status)
			}
		}
		for _, q := range r.service.Received() {
			if strings.Contains(q.Path, "..") {
				t.Errorf("path %q was forwarded", q.Path)
			}
		}
	})
}

// TestKeyNotForwarded guards against an API key that reaches a backend server in any part of a request.
func TestKeyNotForwarded(t *testing.T) {
	inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
		header := []string{
			"X-Api-Key", r.bankKey, "Api-Key", r.bankKey, "Cookie", "a=1; k=" + r.bankKey, "X-Note", "my " + r.bankKey,
			"Idempotency-Key", "once", "X-Resume-Tokens", "7",
		}
		a := r.send("POST", "/v1/chat/completions", strings.Replace(chatRequest, "{", `{"api_key":"`+r.bankKey+`",`, 1), header...)
		if a.status != 200 {
			t.Error(a.status, a.body)
		}
		a = r.send("PUT", "/bookings/1?api_key="+r.bankKey+"&a=1&b="+r.bankKey, `{"key":"`+r.bankKey+`"}`, header...)
		if d := cmp.Diff(`{"key":"gk_removed"}`, a.body); d != "" {
			t.Error(d)
		}
		received := append(r.engine.Received(), r.service.Received()...)
		if len(received) != 2 {
			t.Fatalf("%d requests received, want 2", len(received))
		}
		for _, q := range received {
			data, err := json.Marshal(q)
			if err != nil {
				t.Fatal(err)
			}
			all := string(data) + string(q.Body)
			if strings.Contains(all, r.bankKey[len(r.bankKey)-64:]) || q.Header["X-Resume-Tokens"] != nil {
				t.Errorf("%s", all)
			}
			if got := q.Header["Idempotency-Key"]; len(got) != 1 || got[0] != "once" {
				t.Errorf("Idempotency-Key: got headers %v, want one value \"once\"", q.Header)
			}
		}
	})
}

// TestRawRequests guards against requests that violate HTTP: duplicate, malformed or oversized headers, truncated requests,
// and contradictory lengths. The front sends one error response and closes the connection.
func TestRawRequests(t *testing.T) {
	const line = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	for _, c := range []struct{ name, send, want string }{
		{"duplicate key", line + "Authorization: Bearer KEY\r\nAuthorization: Bearer KEY\r\nContent-Length: 0\r\n\r\n", "400 duplicate_header"},
		{"duplicate deadline", line + "Authorization: Bearer KEY\r\nX-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\nContent-Length: 0\r\n\r\n", "400 duplicate_header"},
		{"duplicate identifier", line + "X-Request-Id: a\r\nX-Request-Id: b\r\nContent-Length: 0\r\n\r\n", "400 duplicate_header"},
		{"two lengths", line + "Authorization: Bearer KEY\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}", "400 malformed_request"},
		{"length and chunks", line + "Authorization: Bearer KEY\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + line + "\r\n", "400 invalid_body"},
		{"blank in a name", line + "Authorization: Bearer KEY\r\nX Trouble: 1\r\nContent-Length: 0\r\n\r\n", "400 malformed_request"},
		{"blank before the colon", line + "Authorization: Bearer KEY\r\nContent-Length : 0\r\n\r\n", "400 malformed_request"},
		{"blank before a name", line + "Authorization: Bearer KEY\r\n Content-Length: 0\r\n\r\n", "400 malformed_request"},
		{"folded field", line + "X-Trouble: 1\r\n 2\r\nAuthorization: Bearer KEY\r\nContent-Length: 0\r\n\r\n", "400 malformed_request"},
		{"no HTTP", "hello\r\n\r\n", "400 malformed_request"},
		{"bad chunk", line + "Authorization: Bearer KEY\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400 malformed_request"},
		{"slow header", "POST /v1", "408 request_timeout"},
		{"slow body", line + "Authorization: Bearer KEY\r\nContent-Length: 100\r\n\r\n{", "408 request_timeout"},
		{"endless chunks", line + "Authorization: Bearer KEY\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat(" ", 4096)+"\r\n", 20), "413 body_too_large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, defaultEngine, func(t *testing.T, r *rig) {
				conn, err := r.network.Dial(t.Context(), "tcp", "front:80")
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := io.WriteString(conn, strings.ReplaceAll(c.send, "KEY", r.bankKey)); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				if err := conn.SetReadDeadline(start.Add(time.Hour)); err != nil {
					t.Fatal(err)
				}
				data, err := io.ReadAll(conn)
				if err != nil {
					t.Errorf("connection not closed: %v", err)
				}
				status, code, _ := strings.Cut(c.want, " ")
				if n := strings.Count(string(data), "HTTP/1.1"); n != 1 {
					t.Errorf("%d responses, want 1", n)
				}
				if !strings.HasPrefix(string(data), "HTTP/1.1 "+status) || !strings.Contains(string(data), `"code":"`+code+`"`) {
					t.Errorf("got %q, want %s", data, c.want)
				}
			}, guavafront.WithBodyLimit(64<<10, 1<<20))
		})
	}
}

package guavaload_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"guavaridge/io/guavaload"
)

// TestRunCountsCutOffStreams guards against a stream without its end, or a refusal, being reported as an answer.
func TestRunCountsCutOffStreams(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replies := map[string]string{"Bearer whole": "data: {}\n\ndata: {}\n\ndata: [DONE]\n\n", "Bearer cut": "data: {}\n\n"}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		reply, ok := replies[string(c.Request.Header.Peek("Authorization"))]
		if !ok {
			c.SetStatusCode(fasthttp.StatusTooManyRequests)
			reply = `{"error":{"code":"rate_limited"}}`
		}
		c.SetBodyString(reply)
	}}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Shutdown() }()

	p := guavaload.Plan{Name: "test", Seconds: 1, Targets: []string{l.Addr().String()}, OnTimeLimit: 60_000}
	for _, name := range []string{"whole", "cut", "limited"} {
		p.Accounts = append(p.Accounts, guavaload.Account{Name: name, Key: name, Rate: 20, AgreedRate: 20, StreamedShare: 1})
	}
	r := guavaload.Run(t.Context(), p)
	calls := map[string]int{}
	for _, a := range r.Accounts {
		calls[a.Name] = a.Calls
	}
	if calls["whole"] == 0 || calls["cut"] == 0 || calls["limited"] == 0 {
		t.Fatalf("calls per client account: %v", calls)
	}
	want := map[string]int{"cut off": calls["cut"], "429 rate_limited": calls["limited"]}
	if d := cmp.Diff(want, r.Errors); d != "" {
		t.Errorf("errors (-want +got):\n%s", d)
	}
	if r.Answers != calls["whole"] || r.LimitedWithinRate != calls["limited"] || r.MinOnTime != 0 {
		t.Errorf("answers %d, refused within the rate %d, worst %v; want %d, %d, 0", r.Answers, r.LimitedWithinRate, r.MinOnTime, calls["whole"], calls["limited"])
	}
}

// TestLoadRejects guards against load on other machines and loads that do not end.
func TestLoadRejects(t *testing.T) {
	for i, text := range []string{
		`{"name":"x","seconds":0,"targets":["127.0.0.1:1"]}`,
		`{"name":"x","seconds":1,"targets":["10.0.0.1:80"]}`,
		`{"name":"x","seconds":1,"targets":[]}`,
		`{"name":"x","seconds":1,"targets":["127.0.0.1:1"],"accounts":[{"rate":-1}]}`,
		`{"name":"x","second":1}`,
	} {
		file := filepath.Join(t.TempDir(), fmt.Sprint(i, ".json"))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := guavaload.Load(file); err == nil {
			t.Errorf("accepted %s", text)
		}
	}
}

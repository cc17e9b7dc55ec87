package guavabatch_test

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/io/guavabatch"
)

// TestCommands guards against incompatibilities between the commands, the HTTP API and the runner: the formats of
// requests and responses, streamed uploads and results, and the separation of client accounts.
func TestCommands(t *testing.T) {
	f := newFleet(t, 0)
	current := func() *guavaconfig.Snapshot { return f.snapshot }
	runner := guavabatch.New("a", "d", f.platform, f.platform, f.servers, current,
		newGrants(guavafill.Grant{Server: "e0", Streams: 16}), hclog.NewNullLogger(), guavabatch.WithPoll(50*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- runner.Run(ctx) }()
	service := guavabatch.NewService(f.platform, f.platform, current, runner)
	files, batches := guavabatch.Files(service), guavabatch.Batches(service)
	server := &fasthttp.Server{
		StreamRequestBody: true, MaxRequestBodySize: 64 << 10,
		Handler: func(ctx *fasthttp.RequestCtx) {
			account := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
			if strings.HasPrefix(string(ctx.Path()), "/v1/files") {
				files(ctx, account)
				return
			}
			batches(ctx, account)
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // ends with Shutdown
	defer func() {
		cancel()
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	job := func(key string, args ...string) (string, error) {
		var out strings.Builder
		root := &cli.Command{Name: "guavaridge", Commands: guavabatch.Commands(), Writer: &out, ErrWriter: &out}
		err := root.Run(t.Context(), append([]string{"guavaridge", "job", "--address", l.Addr().String(), "--key", key}, args...))
		return out.String(), err
	}
	must := func(args ...string) string {
		t.Helper()
		out, err := job("print", args...)
		if err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		return out
	}
	path := filepath.Join(t.TempDir(), "night.jsonl")
	if err := os.WriteFile(path, []byte(lines("x", 3000, chatPath, "m")+"bad\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out := must("submit", "--watch", path)
	id, _, _ := strings.Cut(out, "\n")
	for _, want := range []string{"line 3001: invalid_json_line", "completed 3001/3001, 1 failed"} {
		if !strings.Contains(out, want) {
			t.Errorf("submit printed %q, want it to contain %q", out, want)
		}
	}
	if n := strings.Count(must("result", id), "\n"); n != 3000 {
		t.Errorf("got %d result lines, want 3000", n)
	}
	if n := strings.Count(must("result", "--errors", id), "\n"); n != 1 {
		t.Errorf("got %d error lines, want 1", n)
	}
	var shown map[string]any
	if err := json.Unmarshal([]byte(must("show", id)), &shown); err != nil || shown["object"] != "batch" || shown["status"] != "completed" {
		t.Errorf("show: got %v, %v, want a completed batch", shown, err)
	}
	if out := must("list"); !strings.Contains(out, id) {
		t.Errorf("list printed %q, want it to contain the job", out)
	}
	if _, err := job("print", "cancel", id); err == nil {
		t.Error("a completed job was cancelled, want an error")
	}
	for _, args := range [][]string{{"show", id}, {"cancel", id}, {"result", id}} {
		if out, err := job("chalk", args...); err == nil {
			t.Errorf("another client account: %v printed %q, want an error", args, out)
		}
	}
}

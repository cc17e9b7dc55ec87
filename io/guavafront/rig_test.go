package guavafront_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavakey"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavadispatch"
	"guavaridge/io/guavafront"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavastandin"
)

// direct is a dispatcher that sends each request once to a fixed address.
type direct struct {
	client          guavaback.Client
	engine, service string
	attempts        atomic.Int64
}

func (d *direct) Run(ctx context.Context, r guavadispatch.Request, sink guavaback.Sink) (guavaback.Response, error) {
	address := d.engine
	if r.Route.Service != "" {
		address = d.service
	}
	a, err := d.client.Do(ctx, guavaback.Attempt{
		ID: r.ID + "-" + strconv.FormatInt(d.attempts.Add(1), 10), Address: address, Method: r.Method,
		Path: r.Path, Header: r.Header, Body: r.Body, Stream: r.Stream,
	}, sink)
	if b, ok := errors.AsType[*guavaback.Error](err); ok {
		return a, &guavadispatch.Error{Status: 502, Code: "backend_failed", Execution: b.Execution, Err: err}
	}
	return a, err
}

// rig is a front with one engine and one service on an in-memory network.
type rig struct {
	t        *testing.T
	network  *guavanetwork.Site
	engine   *guavastandin.Engine
	service  *guavastandin.Service
	front    *guavafront.Front
	counters guavafront.Counters
	http     *http.Client
	snapshot atomic.Pointer[guavaconfig.Snapshot]
	key      string // of account "bank"
	other    string // of account "visitor", restricted to route "open"
	declared guavaconfig.Declarations
}

func newDeclarations() (d guavaconfig.Declarations, key, other string) {
	key, id, hash := guavakey.Generate()
	other, otherID, otherHash := guavakey.Generate()
	return guavaconfig.Declarations{
		Accounts: []guavaconfig.ClientAccount{{Name: "bank"}, {Name: "visitor"}},
		Keys: []guavaconfig.Key{
			{Name: id, Account: "bank", Hash: hash},
			{Name: otherID, Account: "visitor", Hash: otherHash, Routes: []string{"open"}},
		},
		Routes: []guavaconfig.Route{
			{Name: "chat", Path: "/v1"},
			{Name: "bookings", Path: "/bookings", Service: "bookings"},
			{Name: "open", Path: "/open", Service: "bookings", Open: true},
		},
		Models: []guavaconfig.Model{{Name: "proof", Adapters: []string{"cheque"}}},
	}, key, other
}

func newRig(t *testing.T, c guavastandin.EngineConfig, options ...guavafront.Option) *rig {
	t.Helper()
	r := &rig{t: t, network: guavanetwork.New().Site("here")}
	r.engine, r.service = guavastandin.NewEngine(c), guavastandin.NewService(guavastandin.ServiceConfig{})
	r.declared, r.key, r.other = newDeclarations()
	r.snapshot.Store(guavaconfig.NewSnapshot(1, r.declared))
	client := guavaback.New(guavaback.WithDial(r.network.Dial))
	handler := func(ctx *fasthttp.RequestCtx, account string) {
		body, err := io.ReadAll(ctx.RequestBodyStream())
		ctx.SetBodyString(account + " " + strconv.Itoa(len(body)) + " " + strconv.FormatBool(err == nil))
	}
	var err error
	r.front, err = guavafront.New(guavafront.Dependencies{
		Snapshot:   r.snapshot.Load,
		Dispatcher: &direct{client: client, engine: "engine", service: "service"},
		Files:      handler,
	}, append(options, guavafront.WithCounters(&r.counters))...)
	if err != nil {
		t.Fatal(err)
	}
	r.serve("engine", r.engine.Serve)
	r.serve("service", r.service.Serve)
	r.serve("front:80", r.front.Serve)
	synctest.Wait() // until all of them listen
	r.http = &http.Client{Transport: &http.Transport{DialContext: r.network.Dial}}
	t.Cleanup(func() {
		r.http.CloseIdleConnections()
		if err := r.front.Drain(t.Context()); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		client.Close()
		r.engine.Close()
		r.service.Close()
		time.Sleep(time.Minute) // the servers' worker pools look for their end only now and then
	})
	return r
}

func (r *rig) serve(address string, serve func(ln net.Listener) error) {
	r.t.Helper()
	ln, err := r.network.Listen(address)
	if err != nil {
		r.t.Fatal(err)
	}
	go func() {
		if err := serve(ln); err != nil {
			r.t.Errorf("serve %s: %v", address, err)
		}
	}()
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   string
}

// send sends a request with the bank's key and reads the answer; pairs are names and values of headers.
func (r *rig) send(method, path, body string, pairs ...string) answer {
	r.t.Helper()
	a := r.open(r.t.Context(), method, path, body, pairs...)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return answer{a.StatusCode, a.Header, string(b)}
}

// open sends a request like send and leaves the body of the answer to the caller.
func (r *rig) open(ctx context.Context, method, path, body string, pairs ...string) *http.Response {
	r.t.Helper()
	q, err := http.NewRequestWithContext(ctx, method, "http://front"+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+r.key)
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			q.Header.Del(pairs[i])
		} else {
			q.Header.Set(pairs[i], pairs[i+1])
		}
	}
	a, err := r.http.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	return a
}

type apiError struct {
	Error struct{ Message, Type, Code, Ran string }
}

// streamed returns the text of a stream, its error code, and whether it ended in [DONE].
func streamed(t *testing.T, body string) (text, code string, done bool) {
	t.Helper()
	for event := range strings.SplitSeq(body, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			var v struct {
				apiError
				Choices []struct{ Delta struct{ Content string } }
			}
			if err := json.Unmarshal([]byte(data), &v); err != nil {
				t.Fatalf("event %q: %v", data, err)
			}
			code = v.Error.Code
			for _, c := range v.Choices {
				text += c.Delta.Content
			}
		}
	}
	return text, code, done
}

const chat = `{"model":"proof","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`

var prompt = "user: hello\n"

func stream(tokens int) string {
	return strings.Replace(chat, `"max_tokens":5`, `"stream":true,"max_tokens":`+strconv.Itoa(tokens), 1)
}

// inBubble runs a test on virtual time with a rig.
func inBubble(t *testing.T, c guavastandin.EngineConfig, test func(t *testing.T, r *rig), options ...guavafront.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newRig(t, c, options...)) })
}

var steady = guavastandin.EngineConfig{Models: []string{"proof"}, Adapters: []string{"proof:cheque"}, Step: 10 * time.Millisecond}

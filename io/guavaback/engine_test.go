package guavaback_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavaback"
	"guavaridge/io/guavastandin"
)

// joinTokens returns the concatenated text of completion events.
func joinTokens(t *testing.T, events []string) string {
	t.Helper()
	var b strings.Builder
	for _, e := range events {
		var v struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(e), &v); err != nil {
			t.Fatal(err)
		}
		for _, c := range v.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	return b.String()
}

// TestResume guards against tokens lost or duplicated when a stream resumes at another engine after a crash. The crash
// occurs after every number of tokens.
func TestResume(t *testing.T) {
	c := guavastandin.EngineConfig{Step: 10 * time.Millisecond}
	want := guavastandin.Text("m", "user: hello\n", 20)
	for tokens := range 20 {
		inBubble(t, func(r *rig) {
			first := r.engine("first", c)
			r.engine("second", c)
			time.AfterFunc(time.Duration(tokens)*c.Step+c.Step/2, first.Crash)
			var got collector
			_, err := r.do(attempt("first", true), &got)
			o := outcomeOf(r.T, err)
			if o.Tokens != tokens || !o.Crash {
				r.Fatalf("crash after %d tokens: got %+v, want a crash after as many tokens", tokens, o)
			}
			a := attempt("second", true)
			a.Text, a.Tokens = o.Text, o.Tokens
			response, err := r.do(a, &got)
			if err != nil || response.Tokens != 20 || joinTokens(r.T, got.events) != want {
				r.Errorf("crash after %d tokens: got error %v, %d tokens, text %q, want 20 tokens and the full text",
					tokens, err, response.Tokens, joinTokens(r.T, got.events))
			}
		})
	}
}

// TestEngineCancel guards against a cancelled stream that keeps its slot at the engine.
func TestEngineCancel(t *testing.T) {
	inBubble(t, func(r *rig) {
		e := r.engine("first", guavastandin.EngineConfig{Step: time.Second, Slots: 1})
		done := make(chan error)
		go func() {
			_, err := r.do(attempt("first", true), &collector{})
			done <- err
		}()
		time.Sleep(1500 * time.Millisecond)
		if err := r.Cancel(r.Context(), "first", "a1"); err != nil {
			r.Error(err)
		}
		if o := outcomeOf(r.T, <-done); o.Execution != "unknown" || o.Tokens != 1 {
			r.Errorf("got %+v, want an unknown execution after 1 token", o)
		}
		if running, waiting := e.Running(); running+waiting != 0 || e.Cancels("a1") != 1 {
			r.Errorf("got %d running, %d waiting, %d cancels, want 0, 0, 1", running, waiting, e.Cancels("a1"))
		}
	})
}

// TestCancelIsRepeated guards against an attempt that continues because /cancel failed while the engine hung, or
// arrived before the request.
func TestCancelIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string // sent by the engine before the attempt is cancelled
		cancels  []int  // statuses of the responses to /cancel, 0 for none
		want     int    // number of calls of /cancel
	}{
		{"known at once", "", []int{200}, 1},
		{"unknown at first", "", []int{404, 404, 200}, 3},
		{"never known", "", []int{404, 404, 404, 404}, 3},
		{"no answer at first", "", []int{0, 0, 500, 200}, 4},
		{"ended after its first event", streamHead + chunk(event("a1", "x")), []int{404, 404}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				s := r.script(func(_ int, n net.Conn, _ *http.Request) bool {
					fmt.Fprint(n, c.response)
					time.Sleep(5 * time.Second)
					return false
				}, c.cancels...)
				ctx, stop := context.WithTimeout(r.Context(), time.Second)
				defer stop()
				if _, err := r.Do(ctx, attempt("server", true), &collector{}); err == nil {
					r.Error("got a successful attempt, want a timeout")
				}
				time.Sleep(10 * time.Second)
				got := 0
				for _, p := range s.requestPaths() {
					if p == "/cancel" {
						got++
					}
				}
				if got != c.want {
					r.Errorf("got %d cancels, want %d", got, c.want)
				}
			})
		})
	}
}

// TestReports guards against load reports, cache events and orders that are encoded or decoded wrongly.
func TestReports(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.engine("first", guavastandin.EngineConfig{
			Models: []string{"m"}, Role: "prefill", Slots: 4, KV: 1000, Step: time.Second,
			ReportEvery: 10 * time.Second, EventLag: 5 * time.Second, DropEventEvery: 2, RejectStaleEpochs: true,
		})
		r.engine("second", guavastandin.EngineConfig{LoadTime: time.Minute})
		load := func() guavaback.Load {
			l, err := r.Load(r.Context(), "first")
			if err != nil {
				r.Error(err)
			}
			return l
		}
		want := guavaback.Load{Slots: 4, Models: []string{"m"}, Role: "prefill"}
		if d := cmp.Diff(want, load()); d != "" {
			r.Error(d)
		}
		a := attempt("first", false)
		a.Body = []byte(`{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"` + strings.Repeat("x", 1100) + `"}]}`)
		done := make(chan guavaback.Response)
		go func() {
			response, err := r.do(a, nil)
			if err != nil {
				r.Error(err)
			}
			done <- response
		}()
		time.Sleep(3 * time.Second)
		want.Age = 3000
		if d := cmp.Diff(want, load()); d != "" {
			r.Error("load before the refresh (-want +got):", d)
		}
		events, err := r.Events(r.Context(), "first", 0)
		if err != nil || len(events) != 0 {
			r.Errorf("before the event lag: got events %v, error %v, want none", events, err)
		}
		time.Sleep(7500 * time.Millisecond)
		if response := <-done; response.Status != 200 || response.Load.Slots != 4 || response.Load.Running != 0 {
			r.Errorf("load with the response: got %+v, want 4 slots and 0 running, with status 200", response.Load)
		}
		prefixes := guavaback.Prefixes("m", "user: "+strings.Repeat("x", 1100), 10)
		events, err = r.Events(r.Context(), "first", 1)
		if d := cmp.Diff([]guavaback.CacheEvent{{Seq: 3, Op: "add", Prefix: prefixes[2]}}, events); err != nil || d != "" {
			r.Error(err, d)
		}
		for _, c := range []struct {
			address string
			order   guavaback.Order
			want    error
		}{
			{"first", guavaback.Order{Epoch: 2, Kind: "model", Want: "m,n"}, nil},
			{"first", guavaback.Order{Epoch: 1, Kind: "role", Want: "decode"}, guavaback.ErrFenced},
			{"first", guavaback.Order{Epoch: 2, Kind: "adapter", Want: "m:a"}, nil},
			{"second", guavaback.Order{Epoch: 2, Kind: "model", Want: "x"}, nil},
			{"second", guavaback.Order{Epoch: 1, Kind: "model", Want: "y"}, nil},
		} {
			if err := r.Order(r.Context(), c.address, c.order); !errors.Is(err, c.want) {
				r.Errorf("%+v: got unexpected error %v", c.order, err)
			}
		}
		if err := r.Order(r.Context(), "first", guavaback.Order{Epoch: 9, Kind: "x"}); err == nil {
			r.Error("got an accepted order of an unknown kind, want an error")
		}
		time.Sleep(10 * time.Second)
		want = guavaback.Load{Slots: 4, Models: []string{"m", "n"}, Adapters: []string{"m:a"}, Role: "prefill"}
		if d := cmp.Diff(want, load()); d != "" {
			r.Error("load after the orders (-want +got):", d)
		}
	})
}

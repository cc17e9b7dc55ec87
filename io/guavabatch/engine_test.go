package guavabatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavafill"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavabatch"
	"guavaridge/io/guavanetwork"
	"guavaridge/io/guavastandin"
)

// TestEngine guards against an incompatibility with engines: streams that yield to online traffic and resume on another
// engine have to produce the text of an uninterrupted response, and no cancelled stream may remain at an engine.
func TestEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		network := guavanetwork.New().Site("here")
		engines := make([]*guavastandin.Engine, 2)
		for i := range engines {
			engines[i] = guavastandin.NewEngine(guavastandin.EngineConfig{Slots: 32, Step: 20 * time.Millisecond})
			l, err := network.Listen(fmt.Sprintf("e%d", i))
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = engines[i].Serve(l) }() // ends with Close
			defer func() {
				engines[i].Close()
				time.Sleep(time.Minute) // its worker pool ends with a delay
			}()
		}
		client := guavaback.New(guavaback.WithDial(network.Dial))
		defer client.Close()
		all := []guavafill.Grant{{Server: "e0", Streams: 16}, {Server: "e1", Streams: 16}}
		g := newGrants(all...)
		current := func() *guavaconfig.Snapshot { return f.snapshot }
		r := guavabatch.New("a", "d", f.platform, f.platform, client, current, g, hclog.NewNullLogger(), guavabatch.WithSeed(1))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		v := &vm{service: guavabatch.NewService(f.platform, f.platform, current, r)}
		var b strings.Builder
		for i := range 300 {
			fmt.Fprintf(&b, `{"custom_id":"id-%d","method":"POST","url":"%s","body":{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"order %d"}]}}`+"\n", i, chatPath, i)
		}
		first := f.submit(v, "print", "first", b.String(), chatPath)
		for i := range 6 {
			time.Sleep(1300 * time.Millisecond)
			g.set(all[i%2])
			time.Sleep(100 * time.Millisecond)
			if n, waiting := engines[1-i%2].Running(); n+waiting != 0 {
				t.Errorf("%d streams are left at an engine without a grant, want 0", n+waiting)
			}
			g.set(all...)
		}
		f.wait(v, first.ID, 5*time.Minute)
		yielded := r.Stats().Yielded
		second := f.submit(v, "print", "second", b.String(), chatPath)
		f.wait(v, second.ID, 5*time.Minute)
		resumed, uninterrupted := texts(t, v, first.ID), texts(t, v, second.ID)
		if d := cmp.Diff(uninterrupted, resumed); d != "" || len(uninterrupted) != 300 {
			t.Errorf("got %d responses, want 300; resumed responses (-uninterrupted +resumed):\n%s", len(uninterrupted), d)
		}
		if yielded < 16 || r.Stats().Yielded != yielded {
			t.Errorf("%d streams yielded in the first job, want at least 16; %d after the second job, want the same", yielded, r.Stats().Yielded)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// texts returns text, finish reason and token count of each response by custom_id.
func texts(t *testing.T, v *vm, job string) map[string]string {
	var b bytes.Buffer
	if err := v.service.Results(t.Context(), "", job, guavabatch.ResultLines, &b); err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for d := json.NewDecoder(&b); d.More(); {
		var r struct {
			ID       string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct {
						Message struct {
							Content string `json:"content"`
						} `json:"message"`
						Finish string `json:"finish_reason"`
					} `json:"choices"`
					Usage struct {
						Completion int `json:"completion_tokens"`
					} `json:"usage"`
				} `json:"body"`
			} `json:"response"`
		}
		if err := d.Decode(&r); err != nil {
			t.Fatal(err)
		}
		c := r.Response.Body.Choices[0]
		out[r.ID] = fmt.Sprintf("%s|%s|%d", c.Message.Content, c.Finish, r.Response.Body.Usage.Completion)
	}
	return out
}

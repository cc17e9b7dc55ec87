package guavafront_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/goleak"

	"guavaridge/core/guavaconfig"
	"guavaridge/io/guavaback"
	"guavaridge/io/guavafront"
	"guavaridge/io/guavastandin"
)

// TestOpenAIClient guards against responses, streams and errors that the official OpenAI client cannot parse. It runs
// over TCP and in real time, and checks that no goroutine is leaked.
func TestOpenAIClient(t *testing.T) {
	// The server's worker pool checks for shutdown only every 10 s.
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
	listen := func(serve func(net.Listener) error) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if err := serve(ln); err != nil {
				t.Error(err)
			}
		}()
		return ln.Addr().String()
	}
	engine := guavastandin.NewEngine(guavastandin.EngineConfig{Models: []string{"proof"}})
	defer engine.Close()
	back := guavaback.New()
	defer back.Close()
	d, key, _ := newDeclarations()
	s := guavaconfig.NewSnapshot(1, d)
	front, err := guavafront.New(guavafront.Dependencies{
		Snapshot:   func() *guavaconfig.Snapshot { return s },
		Dispatcher: &directDispatcher{client: back, engine: listen(engine.Serve)},
	}, guavafront.WithDrainGrace(time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	address := listen(front.Serve)
	defer func() {
		if err := front.Drain(t.Context()); err != nil {
			t.Error(err)
		}
	}()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := openai.NewClient(
		option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{Transport: transport}),
	)
	params := openai.ChatCompletionNewParams{
		Model: "proof", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(7), StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	want := guavastandin.Text("proof", prompt, 7)

	a, err := client.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	if a.Choices[0].Message.Content != want || a.Usage.CompletionTokens != 7 || a.Choices[0].FinishReason != "length" {
		t.Errorf("completion: got %s", a.RawJSON())
	}

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Errorf("chunk does not continue the stream: %s", stream.Current().RawJSON())
		}
	}
	if err := errors.Join(stream.Err(), stream.Close()); err != nil {
		t.Error(err)
	}
	if got := accumulated.Choices[0].Message; got.Content != want || got.Role != "assistant" || accumulated.Usage.CompletionTokens != 7 {
		t.Errorf("stream: got %+v", accumulated.ChatCompletion)
	}

	p, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "proof", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("one")}, MaxTokens: openai.Int(3),
	})
	if err != nil || p.Choices[0].Text != guavastandin.Text("proof", "one", 3) {
		t.Errorf("text completion: got %v, error %v", p, err)
	}

	models, err := client.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(models.Data))
	for _, m := range models.Data {
		names = append(names, m.ID)
	}
	if d := cmp.Diff([]string{"proof", "proof:cheque"}, names); d != "" {
		t.Error("models", d)
	}
	if m, err := client.Models.Get(t.Context(), "proof"); err != nil || m.ID != "proof" {
		t.Error("model", m, err)
	}

	type sdkFailure struct {
		Status     int
		Code, Type string
	}
	unknownModel := params
	unknownModel.Model = "x"
	_, unknown := client.Chat.Completions.New(t.Context(), unknownModel)
	_, denied := client.Chat.Completions.New(t.Context(), params, option.WithAPIKey("x"))
	streamed := client.Chat.Completions.NewStreaming(t.Context(), unknownModel)
	defer func() { _ = streamed.Close() }()
	for streamed.Next() {
		t.Error("stream of an unknown model has events, want none")
	}
	for _, c := range []struct {
		name string
		err  error
		want sdkFailure
	}{
		{"unknown model", unknown, sdkFailure{404, "model_not_found", "invalid_request_error"}},
		{"unknown model in a stream", streamed.Err(), sdkFailure{404, "model_not_found", "invalid_request_error"}},
		{"invalid key", denied, sdkFailure{401, "malformed_key", "authentication_error"}},
	} {
		e, ok := errors.AsType[*openai.Error](c.err)
		if !ok {
			t.Errorf("%s: got %v, want an API error", c.name, c.err)
			continue
		}
		if d := cmp.Diff(c.want, sdkFailure{e.StatusCode, e.Code, e.Type}); d != "" || !strings.Contains(e.RawJSON(), `"ran":"none"`) {
			t.Errorf("%s: %s %s", c.name, d, e.RawJSON())
		}
	}

	// The client reports an error in the middle of a stream as an error, not as the end of the response.
	params.MaxTokens = openai.Int(100_000)
	stream = client.Chat.Completions.NewStreaming(t.Context(), params)
	defer func() { _ = stream.Close() }()
	tokens := 0
	for stream.Next() {
		if tokens++; tokens == 3 {
			engine.Crash()
		}
	}
	if err := stream.Err(); err == nil || !strings.Contains(err.Error(), "backend_failed") {
		t.Errorf("stream with a crash: got %v, want backend_failed", err)
	}
}

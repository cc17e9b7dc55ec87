package guavademo_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"guavaridge/io/guavademo"
)

// TestOpenAIBatches guards against responses of /v1/files and /v1/batches that the OpenAI client library cannot decode.
func TestOpenAIBatches(t *testing.T) {
	const items = 20
	d, err := guavademo.New(t.Context(), hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	c := openai.NewClient(option.WithBaseURL(d.URL()+"/v1"), option.WithAPIKey(d.Key()), option.WithMaxRetries(0))
	input := func(name string, items int) openai.FileNewParams {
		var lines bytes.Buffer
		for i := range items {
			fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/completions","body":{"model":"proof-7b","prompt":"%s %d","max_tokens":4}}`+"\n",
				name, i, name, i)
		}
		return openai.FileNewParams{File: openai.File(&lines, name+".jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch}
	}
	create := func(name string, items int) *openai.Batch {
		f, err := c.Files.New(t.Context(), input(name, items))
		if err != nil {
			t.Fatalf("upload: %v", err)
		}
		b, err := c.Batches.New(t.Context(), openai.BatchNewParams{
			InputFileID: f.ID, Endpoint: openai.BatchNewParamsEndpointV1Completions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		})
		if err != nil {
			t.Fatalf("create: %v", err)
		}
		return b
	}
	b := create("night", items)
	for end := time.Now().Add(time.Minute); b.Status != openai.BatchStatusCompleted; time.Sleep(50 * time.Millisecond) {
		if b, err = c.Batches.Get(t.Context(), b.ID); err != nil {
			t.Fatalf("get: %v", err)
		}
		if time.Now().After(end) {
			t.Fatalf("the batch is %s after 1 min, want completed", b.Status)
		}
	}
	if b.RequestCounts.Total != items || b.RequestCounts.Completed != items {
		t.Errorf("got request counts %+v, want %d completed", b.RequestCounts, items)
	}
	content, err := c.Files.Content(t.Context(), b.OutputFileID)
	if err != nil {
		t.Fatalf("download: %v", err)
	}
	defer content.Body.Close()
	data, err := io.ReadAll(content.Body)
	if err != nil {
		t.Fatalf("download: %v", err)
	}
	for i := range items {
		if n := strings.Count(string(data), fmt.Sprintf(`"custom_id":"night-%d"`, i)); n != 1 {
			t.Errorf("item %d: got %d results, want 1", i, n)
		}
	}
	cancelled, err := c.Batches.Cancel(t.Context(), create("draft", 3000).ID)
	if err != nil {
		t.Fatalf("cancel: %v", err)
	}
	if cancelled.Status != openai.BatchStatusCancelling && cancelled.Status != openai.BatchStatusCancelled {
		t.Errorf("the cancelled batch is %s, want cancelling or cancelled", cancelled.Status)
	}
	list, err := c.Batches.List(t.Context(), openai.BatchListParams{})
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	if len(list.Data) != 2 {
		t.Errorf("got %d batches listed, want 2", len(list.Data))
	}
}

package guavaexplain_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavaexplain"
)

// TestTimelines guards against timelines that lack a line, are out of order, or show state that a VM learned only
// later. The file vms.log was recorded from a run, and each file *.story contains the expected timeline of the ID in
// its name.
func TestTimelines(t *testing.T) {
	f, err := os.Open("testdata/vms.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	log, err := guavaexplain.Read(f, "vm")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/*.story")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d timelines, error %v, want at least 1", len(files), err)
	}
	for _, name := range files {
		want, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if log.Explain(&got, strings.TrimSuffix(filepath.Base(name), ".story")) == 0 {
			t.Errorf("%s: got no lines about the ID", name)
		}
		if diff := cmp.Diff(string(want), got.String()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestInvalidLines guards against output from lines without a JSON object or a timestamp.
func TestInvalidLines(t *testing.T) {
	log, err := guavaexplain.Read(strings.NewReader("no object\n{broken\n{\"@message\":\"x\",\"id\":\"a\"}\n"), "vm")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if n := log.Explain(&got, "a"); n != 0 || got.Len() > 0 {
		t.Errorf("got %d lines, want none:\n%s", n, got.String())
	}
}

// TestServerLeaving guards against a timeline that shows an older state of a server beside or instead of the newest one.
func TestServerLeaving(t *testing.T) {
	at := func(second int, fields string) string {
		return fmt.Sprintf(`{"@timestamp":"2026-01-01T00:00:%02dZ",%s}`+"\n", second, fields)
	}
	const server, leaving, answered = `"@message":"server","server":"s"`, `"@message":"server leaving","server":"s"`,
		`"@message":"answered","id":"a","server":"s"`
	cases := []struct {
		name     string
		messages []string
		want     string
	}{
		{"leaving", []string{server, leaving, answered}, "server leaving"},
		{"restarted", []string{leaving, server, answered}, "server server=s"},
	}
	for _, c := range cases {
		var text strings.Builder
		for i, m := range c.messages {
			text.WriteString(at(i, m))
		}
		log, err := guavaexplain.Read(strings.NewReader(text.String()), "vm")
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		log.Explain(&got, "a")
		if n := strings.Count(got.String(), "known for"); n != 1 || !strings.Contains(got.String(), ": "+c.want) {
			t.Errorf("%s: want one state of the server, %q, got:\n%s", c.name, c.want, got.String())
		}
	}
}

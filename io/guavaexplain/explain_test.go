package guavaexplain_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavaexplain"
)

// TestStories guards against stories that lack a line, tell them out of order, or say that a VM knew what it learnt later.
// The log is from a recorded day; each file *.story holds what is told of the ID that names it.
func TestStories(t *testing.T) {
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
		t.Fatalf("%d stories: %v", len(files), err)
	}
	for _, name := range files {
		want, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if log.Explain(&got, strings.TrimSuffix(filepath.Base(name), ".story")) == 0 {
			t.Errorf("%s: no line", name)
		}
		if diff := cmp.Diff(string(want), got.String()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestNothingKnown guards against a story that is made up.
func TestNothingKnown(t *testing.T) {
	log, err := guavaexplain.Read(strings.NewReader("no object\n{broken\n{\"@message\":\"x\",\"id\":\"a\"}\n"), "vm")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if n := log.Explain(&got, "a"); n != 0 || got.Len() > 0 {
		t.Errorf("%d lines: %s", n, got.String())
	}
}

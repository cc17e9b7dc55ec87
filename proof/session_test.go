package proof_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
)

var update = flag.Bool("update", false, "rewrite the golden files of TestSessions")

// variableText matches text that differs between runs. The name of the matched group is the kind of the text.
var variableText = regexp.MustCompile(`(?P<key>gk_[0-9a-f]+_[0-9a-f]+)|(?P<job>batch_[0-9a-f]{32})|(?P<file>file-[0-9a-f]{16,}|file-[A-Z2-7]{26})` +
	`|(?P<request>req-[0-9a-f]+)|(?P<operation>\b[A-Z2-7]{26}\b)|(?P<id>\b[0-9a-f]{16}\b)|(?P<time>\b9[0-9]{8}(?:[0-9]{3})?\b)`)

var placeholder = regexp.MustCompile(`<[a-z]+-[0-9]+>`)

// session replays one golden file.
type session struct {
	*rig
	actualTexts  map[string]string // actual text by placeholder
	placeholders map[string]string // placeholder by actual text
	count        map[string]int    // number of placeholders by kind
	pending      map[string]chan string
	busyEngine   string // the engine that serverByName selected for "busy"
}

// TestSessions guards against unintended changes of what callers, operators and backend servers observe. It compares
// scripted sessions with golden files.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("sessions/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("find golden files: got none, error %v", err)
	}
	red, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	// The first response header starts fasthttp's goroutine that updates the Date header. That goroutine never ends, so it
	// must not start inside a synctest bubble.
	_ = new(fasthttp.ResponseHeader).Header()
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var got string
			synctest.Test(t, func(t *testing.T) { got = replay(t, file, string(want)) })
			// The golden file of a session listed in KNOWN-RED.txt shows the intended outcome, so it is not rewritten.
			if *update && !slices.Contains(strings.Split(string(red), "\n"), "test: "+t.Name()) {
				if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
				t.Errorf("%s (-want +got):\n%s", file, diff)
			}
		})
	}
}

// replay runs the numbered steps of a golden file and returns the file with the actual outcomes, which stand in indented
// lines. Comments and empty lines are copied. "&name" before a command runs it in the background; a later "wait name" prints
// its outcome.
func replay(t *testing.T, file, script string) string {
	s := &session{
		rig: newRig(t, hashSeed(file)), actualTexts: map[string]string{}, placeholders: map[string]string{}, count: map[string]int{},
		pending: map[string]chan string{},
	}
	s.mask(s.key.Text)
	var out strings.Builder
	number := 0
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "  ") {
			continue
		}
		out.WriteString(line)
		digits, step, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(digits, "#") || digits == "" {
			continue
		}
		if number++; digits != strconv.Itoa(number) {
			t.Fatalf("%s: got line %q, want step %d", file, line, number)
		}
		s.recordVersions()
		for got := range strings.Lines(s.mask(s.runStep(step))) {
			out.WriteString("  " + strings.TrimRight(got, "\n") + "\n")
		}
	}
	s.checkInvariants()
	return out.String()
}

func (s *session) runStep(line string) string {
	line = placeholder.ReplaceAllStringFunc(line, func(name string) string {
		if s.actualTexts[name] == "" {
			s.t.Errorf("no actual text for placeholder %s", name)
		}
		return s.actualTexts[name]
	})
	head, text, _ := strings.Cut(line, " | ")
	args := strings.Fields(head)
	name, background := strings.CutPrefix(args[0], "&")
	if background {
		args = args[1:]
	}
	run, ok := commands[args[0]]
	if !ok {
		s.t.Fatalf("unknown command in step %q", line)
	}
	if !background {
		return run(s, args[1:], text)
	}
	output := make(chan string, 1)
	s.pending[name] = output
	go func() { output <- run(s, args[1:], text) }()
	return ""
}

// mask replaces text that differs between runs with placeholders, numbered in order of appearance.
func (s *session) mask(text string) string {
	return variableText.ReplaceAllStringFunc(text, func(found string) string {
		if name, ok := s.placeholders[found]; ok {
			return name
		}
		m := variableText.FindStringSubmatch(found)
		i := 1 + slices.IndexFunc(m[1:], func(g string) bool { return g != "" })
		kind := variableText.SubexpNames()[i]
		if kind == "time" {
			return "<time>"
		}
		s.count[kind]++
		name := fmt.Sprintf("<%s-%d>", kind, s.count[kind])
		s.actualTexts[name], s.placeholders[found] = found, name
		if id, _, ok := strings.Cut(strings.TrimPrefix(found, "gk_"), "_"); ok && kind == "key" {
			s.placeholders[id] = "<id-of-key-" + strconv.Itoa(s.count[kind]) + ">"
		}
		return name
	})
}

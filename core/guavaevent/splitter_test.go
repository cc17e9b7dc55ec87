package guavaevent_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaevent"
)

// split returns the events of a stream that arrives in pieces of size bytes, one per line, and the incomplete rest.
func split(stream string, size int) string {
	var s guavaevent.Splitter
	var b strings.Builder
	for len(stream) > 0 {
		n := min(size, len(stream))
		s.Write([]byte(stream[:n]))
		stream = stream[n:]
		for {
			e, ok := s.Next()
			if !ok {
				break
			}
			fmt.Fprintf(&b, "%d %q\n", e.ID, e.Data)
		}
	}
	if s.Pending() > 0 {
		fmt.Fprintf(&b, "left %q\n", s.Rest())
	}
	return b.String()
}

// TestSplit guards against events that are merged, lost or truncated because of the sizes of the pieces. The cases are
// numbered blocks of the file: a stream with its line feeds written as \n, then the expected output of split.
func TestSplit(t *testing.T) {
	data, err := os.ReadFile("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(strings.TrimSpace(string(data)), "\n\n") {
		lines := strings.SplitN(block, "\n", 3)
		if len(lines) != 3 {
			t.Fatalf("test case %q: want a number, a stream and the expected output", block)
		}
		stream := strings.NewReplacer(`\n`, "\n", `\r`, "\r").Replace(lines[1])
		for size := 1; size <= len(stream); size++ {
			if diff := cmp.Diff(lines[2]+"\n", split(stream, size)); diff != "" {
				t.Errorf("case %s in pieces of %d bytes (-want +got):\n%s", lines[0], size, diff)
			}
		}
	}
}

package guavaevent_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaevent"
)

// split returns the events of a stream that arrives in pieces of a size, one a line, and what is left.
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

// TestSplit guards against events that are joined, lost or cut, however the bytes arrive. The cases are numbered blocks of
// the file: a stream with its line feeds written as \n, then what comes out.
func TestSplit(t *testing.T) {
	data, err := os.ReadFile("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	for block := range strings.SplitSeq(strings.TrimSpace(string(data)), "\n\n") {
		lines := strings.SplitN(block, "\n", 3)
		if len(lines) != 3 {
			t.Fatalf("block %q", block)
		}
		stream := strings.NewReplacer(`\n`, "\n", `\r`, "\r").Replace(lines[1])
		for size := 1; size <= len(stream); size++ {
			if diff := cmp.Diff(lines[2]+"\n", split(stream, size)); diff != "" {
				t.Errorf("case %s in pieces of %d bytes (-want +got):\n%s", lines[0], size, diff)
			}
		}
	}
}

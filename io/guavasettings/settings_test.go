package guavasettings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/io/guavasettings"
)

// linesPerCase is the number of lines of a test case: its number, the settings, and a part of the expected error.
const linesPerCase = 3

// TestParseRejects guards against invalid settings being accepted, or rejected without naming the setting.
func TestParseRejects(t *testing.T) {
	data, err := os.ReadFile("testdata/broken.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for i := 0; i+linesPerCase <= len(lines); i += linesPerCase {
		_, err := guavasettings.Parse([]byte(lines[i+1]))
		if err == nil {
			t.Errorf("case %s: accepted, want an error", lines[i])
		} else if !strings.Contains(err.Error(), lines[i+2]) {
			t.Errorf("case %s: got error %q, want it to contain %q", lines[i], err, lines[i+2])
		}
	}
}

// TestParseFillsDefaults guards against a default that is missing when only the address and the failure domain are set.
func TestParseFillsDefaults(t *testing.T) {
	s, err := guavasettings.Parse([]byte(`{"address": "127.0.0.1", "domain": "a"}`))
	if err != nil {
		t.Fatal(err)
	}
	got := []string{s.Name, s.CallerAddress(), s.OperatorAddress(), s.PeerAddress(), s.AdminAddress()}
	want := []string{"127.0.0.1:8082", "127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082", "127.0.0.1:8083"}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("addresses (-want +got):\n%s", d)
	}
}

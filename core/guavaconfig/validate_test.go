package guavaconfig_test

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
)

// TestInvalidDeclarations guards against accepting invalid declarations, and against errors without the path of the
// value and the allowed values. Each case of testdata/broken.txt has one kind of invalid value.
func TestInvalidDeclarations(t *testing.T) {
	file, err := os.ReadFile("testdata/broken.txt")
	if err != nil {
		t.Fatal(err)
	}
	cases := strings.Split(string(file), "\n# ")[1:]
	if len(cases) < 10 {
		t.Fatalf("got %d cases, want 10 or more", len(cases))
	}
	for _, c := range cases {
		name, rest, _ := strings.Cut(c, "\n")
		data, want, ok := strings.Cut(rest, "\nwants\n")
		if !ok {
			t.Fatalf("case %s: line \"wants\" is missing", name)
		}
		d, err := guavaconfig.Decode([]byte(data))
		if err == nil {
			err = guavaconfig.Validate(d)
		}
		if err == nil {
			t.Errorf("case %s: got no error", name)
			continue
		}
		if diff := cmp.Diff(strings.TrimSpace(want), err.Error()); diff != "" {
			t.Errorf("case %s: %s", name, diff)
		}
	}
}

// TestMerge guards against errors that do not name the file with the invalid value.
func TestMerge(t *testing.T) {
	d, err := guavaconfig.Merge(map[string][]byte{
		"b.json": []byte(`{"accounts":[{"name":"b","rate":1,"burst":1,"weight":1}]}`),
		"a.json": []byte(`{"accounts":[{"name":"a","rate":1,"burst":1,"weight":1}]}`),
	})
	if err != nil || len(d.Accounts) != 2 || d.Accounts[0].Name != "a" {
		t.Errorf("merge: got %v, %v; want accounts a and b", d.Accounts, err)
	}
	if _, err := guavaconfig.Merge(map[string][]byte{"x.json": []byte(`{"acounts":[]}`)}); err == nil || !strings.HasPrefix(err.Error(), "x.json: acounts: ") {
		t.Errorf("got %v, want an error with file and path", err)
	}
}

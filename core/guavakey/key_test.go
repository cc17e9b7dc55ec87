package guavakey_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavakey"
)

// TestCheck guards against accepting a wrong key, and against errors that distinguish a wrong secret from an unknown
// identifier.
func TestCheck(t *testing.T) {
	text, id, hash := guavakey.Generate()
	other, _, _ := guavakey.Generate()
	secret := text[strings.LastIndexByte(text, '_')+1:]
	s := guavaconfig.NewSnapshot(1, guavaconfig.Declarations{Keys: []guavaconfig.Key{
		{Name: id, Account: "bank", Hash: hash},
		{Name: "a_b", Account: "bank", Hash: hash},
		{Name: "empty", Account: "bank"},
		{Name: "short", Account: "bank", Hash: hash[:10]},
	}})
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"valid", text, nil},
		{"identifier with underscore", "gk_a_b_" + secret, nil},
		{"unknown identifier", other, guavakey.ErrUnknown},
		{"secret of another key", "gk_" + id + "_" + other[len(other)-64:], guavakey.ErrUnknown},
		{"declared without hash", "gk_empty_" + secret, guavakey.ErrUnknown},
		{"declared with part of a hash", "gk_short_" + secret, guavakey.ErrUnknown},
		{"hash in place of the secret", "gk_" + id + "_" + hash, guavakey.ErrUnknown},
		{"empty", "", guavakey.ErrMalformed},
		{"no identifier", "gk__" + secret, guavakey.ErrMalformed},
		{"short secret", text[:len(text)-1], guavakey.ErrMalformed},
		{"long secret", text + "0", guavakey.ErrMalformed},
		{"capitals in secret", "gk_" + id + "_" + strings.ToUpper(secret[:63]) + "A", guavakey.ErrMalformed},
		{"space in identifier", "gk_a b_" + secret, guavakey.ErrMalformed},
	} {
		k, err := guavakey.Check(s, c.text)
		if !errors.Is(err, c.want) || (err == nil) != (k.Account == "bank") {
			t.Errorf("%s: got %+v, %v, want %v", c.name, k, err, c.want)
		}
	}
}

// TestMatches guards against a match for an unknown identifier, for which a placeholder hash is compared so that the
// check takes as long as for a known one, and against a match with the placeholder hash.
func TestMatches(t *testing.T) {
	_, id, hash := guavakey.Generate()
	secret := strings.Repeat("a", 64)
	for _, found := range []bool{true, false} {
		if guavakey.Matches(guavaconfig.Key{Name: id, Hash: hash}, found, secret) {
			t.Error("a wrong secret matches")
		}
	}
	if guavakey.Matches(guavaconfig.Key{Name: id, Hash: guavakey.Hash(secret)}, false, secret) {
		t.Error("an unknown key matches")
	}
	if guavakey.Matches(guavaconfig.Key{Hash: strings.Repeat("0", 64)}, true, secret) {
		t.Error("the placeholder hash for unknown keys matches")
	}
}

// TestScrub guards against forwarding a key to a backend server, and against changing other content.
func TestScrub(t *testing.T) {
	text, _, _ := guavakey.Generate()
	header := func(name string) func(string) string {
		return func(v string) string {
			v, ok := guavakey.ScrubHeader(name, v)
			if !ok {
				return "(removed)"
			}
			return v
		}
	}
	body := func(s string) string { return string(guavakey.ScrubBody([]byte(s))) }
	for _, c := range []struct {
		name     string
		scrub    func(string) string
		in, want string
	}{
		{"authorization", header("Authorization"), "Bearer " + text, "(removed)"},
		{"x-api-key", header("x-api-key"), "anything", "(removed)"},
		{"api-key", header("Api-Key"), text, "(removed)"},
		{"unnamed header", header("X-Note"), "a " + text + " b", "a gk_removed b"},
		{"plain header", header("X-Note"), "gk_ is a prefix", "gk_ is a prefix"},
		{"cookie by value", header("Cookie"), "a=1; session=" + text + "; b=2", "a=1; b=2"},
		{"cookie by name", header("Cookie"), "api_key=x; b=2", "b=2"},
		{"only cookie", header("Cookie"), "k=" + text, "(removed)"},
		{"query by value", guavakey.ScrubPath, "/p?a=1&k=" + text + "&b=%20", "/p?a=1&b=%20"},
		{"query by name", guavakey.ScrubPath, "/p?API_KEY=x&b=2", "/p?b=2"},
		{"only parameter", guavakey.ScrubPath, "/p?api-key=" + text, "/p"},
		{"escaped query", guavakey.ScrubPath, "/p?k=%67" + text[1:], "/p"},
		{"path", guavakey.ScrubPath, "/p/" + text + "/q?a", "/p/gk_removed/q?a"},
		{"first field", body, `{"api_key":"` + text + `","a":1}`, `{"a":1}`},
		{"middle field", body, `{"a":1, "API-Key" : "x" , "b":[2]}`, `{"a":1 , "b":[2]}`},
		{"last field", body, `{"a":1,"apikey":{"x":[1]}}`, `{"a":1}`},
		{"two fields around one", body, `{"api_key":1,"a":2,"access_token":3}`, `{"a":2}`},
		{"all fields", body, `{"api_key":1,"api-key":2}`, `{}`},
		{"escaped name", body, `{"a":1,"api\u005fkey":"x"}`, `{"a":1}`},
		{"nested name stays", body, `{"a":{"api_key":1}}`, `{"a":{"api_key":1}}`},
		{"key in a value", body, `{"a":"x ` + text + `"}`, `{"a":"x gk_removed"}`},
		{"form", body, "a=1&key=" + text + "&b=2", "a=1&key=gk_removed&b=2"},
		{"no JSON", body, "the api", "the api"},
		{"broken JSON", body, `{"api_key":"` + text, `{"api_key":"gk_removed`},
		{"two keys", body, text + text, "gk_removedgk_removed"},
	} {
		if d := cmp.Diff(c.want, c.scrub(c.in)); d != "" {
			t.Errorf("%s: %s", c.name, d)
		}
	}
}

package guavakey

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"
)

// replacement replaces a key inside a longer text.
const replacement = "gk_removed"

// credentialNames are the lower-case names of headers, cookies, query parameters and JSON body fields that hold keys.
var credentialNames = map[string]bool{
	"authorization": true, "proxy-authorization": true, "x-api-key": true, "api-key": true,
	"api_key": true, "apikey": true, "access_token": true,
}

// ScrubHeader returns the value of a header without keys. It returns false if the header must not be forwarded.
func ScrubHeader(name, value string) (string, bool) {
	lower := strings.ToLower(name)
	if credentialNames[lower] {
		return "", false
	}
	if lower == "cookie" {
		value = strings.Join(withoutKeys(strings.Split(value, ";"), strings.TrimSpace), ";")
		value = strings.TrimSpace(value)
		return value, value != ""
	}
	return ScrubText(value), true
}

// ScrubPath returns a path, including its query, without keys.
func ScrubPath(path string) string {
	path, query, ok := strings.Cut(path, "?")
	path = ScrubText(path)
	if !ok {
		return path
	}
	decode := func(s string) string {
		if d, err := url.QueryUnescape(s); err == nil {
			return d
		}
		return s
	}
	if query = strings.Join(withoutKeys(strings.Split(query, "&"), decode), "&"); query == "" {
		return path
	}
	return path + "?" + query
}

// withoutKeys returns the name=value pairs that contain no key. It reuses the array of pairs.
func withoutKeys(pairs []string, decode func(string) string) []string {
	remaining := pairs[:0]
	for _, p := range pairs {
		name, value, _ := strings.Cut(p, "=")
		value = decode(value)
		if !credentialNames[strings.ToLower(decode(name))] && ScrubText(value) == value && ScrubText(p) == p {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// ScrubText replaces every key in a text.
func ScrubText(s string) string {
	if !strings.Contains(s, prefix) {
		return s
	}
	return string(replaceKeys([]byte(s)))
}

// ScrubBody returns a body without keys. Top-level fields of a JSON object whose names are in credentialNames are
// removed; keys elsewhere are replaced. The input is not modified, but may be returned itself.
func ScrubBody(body []byte) []byte {
	if mayContainField(body) {
		body = removeFields(body)
	}
	if bytes.Contains(body, []byte(prefix)) {
		body = replaceKeys(body)
	}
	return body
}

// mayContainField is a cheap check for common parts of all names of credential fields.
func mayContainField(body []byte) bool {
	for _, stem := range [...]string{"api", "Api", "API", "uthorization", "UTHORIZATION", "ccess_token"} {
		if bytes.Contains(body, []byte(stem)) {
			return true
		}
	}
	return false
}

// removeFields removes the fields named in credentialNames from a JSON object and leaves all other bytes as they are. A
// body that is not a JSON object is returned unchanged.
func removeFields(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return body
	}
	var cuts [][2]int64
	first := d.InputOffset()
	for start := first; d.More(); start = d.InputOffset() {
		t, err := d.Token()
		if err != nil {
			return body
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return body
		}
		if name, _ := t.(string); credentialNames[strings.ToLower(name)] {
			cuts = append(cuts, [2]int64{start, d.InputOffset()})
		}
	}
	if len(cuts) == 0 {
		return body
	}
	out := append(make([]byte, 0, len(body)), body[:first]...)
	at := first
	for _, c := range append(cuts, [2]int64{int64(len(body))}) {
		part := body[at:c[0]]
		// A cut includes the comma before its field. If no field remains before it, the comma after it is removed.
		if int64(len(out)) == first {
			part = bytes.TrimPrefix(bytes.TrimLeft(part, " \t\r\n"), []byte(","))
		}
		out = append(out, part...)
		at = c[1]
	}
	return out
}

// replaceKeys returns a copy of s with every key replaced.
func replaceKeys(s []byte) []byte {
	out := make([]byte, 0, len(s))
	for {
		i := bytes.Index(s, []byte(prefix))
		if i < 0 {
			return append(out, s...)
		}
		out = append(out, s[:i]...)
		s = s[i:]
		if n := keyLength(s); n > 0 {
			out = append(out, replacement...)
			s = s[n:]
			continue
		}
		out = append(out, prefix...)
		s = s[len(prefix):]
	}
}

// keyLength returns the length of the key that s begins with, or 0.
func keyLength(s []byte) int {
	word := s[:keyCharsLength(s)]
	for i := len(prefix) + 1; i+secretTextLength < len(word) && i <= len(prefix)+maxIDLength; i++ {
		if word[i] == '_' && isHex(word[i+1:i+1+secretTextLength]) {
			return i + 1 + secretTextLength
		}
	}
	return 0
}

package guavaconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Decode parses declarations. For unknown fields, duplicate fields and values of the wrong type it returns
// ValidationErrors with their paths.
func Decode(data []byte) (Declarations, error) {
	r := json.NewDecoder(bytes.NewReader(data))
	r.UseNumber()
	var tree any
	if err := r.Decode(&tree); err != nil {
		at := int64(len(data))
		if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
			at = syntax.Offset
		}
		return Declarations{}, errors.Newf("not JSON at byte %d: %w", at, err)
	}
	if _, err := r.Token(); !errors.Is(err, io.EOF) {
		return Declarations{}, errors.Newf("more data after the declarations at byte %d", r.InputOffset())
	}
	var p ValidationErrors
	checkDuplicateFields(json.NewDecoder(bytes.NewReader(data)), "", &p)
	checkTypes("", tree, reflect.TypeFor[Declarations](), &p)
	if len(p) > 0 {
		return Declarations{}, p
	}
	var d Declarations
	if err := json.Unmarshal(data, &d); err != nil {
		return Declarations{}, errors.Newf("declarations: %w", err)
	}
	return d, nil
}

// Encode returns declarations as JSON that Decode accepts. The list of keys is omitted when it is empty.
func Encode(d Declarations) []byte {
	// A nil list would be encoded as null, which Decode rejects.
	d.Domains = append([]FailureDomain{}, d.Domains...)
	d.Accounts = append([]ClientAccount{}, d.Accounts...)
	d.Routes = append([]Route{}, d.Routes...)
	d.Models = append([]Model{}, d.Models...)
	d.Servers = append([]BackendServer{}, d.Servers...)
	return encode(d)
}

// Merge decodes declaration files, given by name, and concatenates their lists in the order of the file names.
func Merge(files map[string][]byte) (Declarations, error) {
	var all Declarations
	for _, name := range slices.Sorted(maps.Keys(files)) {
		d, err := Decode(files[name])
		if err != nil {
			return Declarations{}, errors.Newf("%s: %w", name, err)
		}
		all.Domains = append(all.Domains, d.Domains...)
		all.Accounts = append(all.Accounts, d.Accounts...)
		all.Keys = append(all.Keys, d.Keys...)
		all.Routes = append(all.Routes, d.Routes...)
		all.Models = append(all.Models, d.Models...)
		all.Servers = append(all.Servers, d.Servers...)
	}
	return all, nil
}

// checkDuplicateFields reads one JSON value and reports fields that occur twice in an object. encoding/json silently
// uses the last of them.
func checkDuplicateFields(r *json.Decoder, path string, p *ValidationErrors) {
	t, err := r.Token()
	if err != nil {
		return
	}
	switch t {
	case json.Delim('{'):
		seen := make(map[string]bool)
		for r.More() {
			t, err := r.Token()
			name, ok := t.(string)
			if err != nil || !ok {
				return
			}
			if seen[name] {
				p.add(join(path, name), name, "a field that the object does not yet have")
			}
			seen[name] = true
			checkDuplicateFields(r, join(path, name), p)
		}
	case json.Delim('['):
		for i := 0; r.More(); i++ {
			checkDuplicateFields(r, fmt.Sprintf("%s[%d]", path, i), p)
		}
	default:
		return
	}
	// Consumes the closing delimiter. Decode has already reported syntax errors.
	_, _ = r.Token()
}

// checkTypes compares a JSON value with the Go type that it is decoded into.
func checkTypes(path string, v any, t reflect.Type, p *ValidationErrors) {
	mismatch := func(allowed string) { p.add(path, v, allowed) }
	switch t.Kind() {
	case reflect.Struct:
		m, ok := v.(map[string]any)
		if !ok {
			mismatch("an object")
			return
		}
		fields := make(map[string]reflect.Type, t.NumField())
		for f := range t.Fields() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			fields[name] = f.Type
		}
		for _, name := range slices.Sorted(maps.Keys(m)) {
			ft, ok := fields[name]
			if !ok {
				p.add(join(path, name), m[name], "no such field; allowed are "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
				continue
			}
			checkTypes(join(path, name), m[name], ft, p)
		}
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			mismatch("a list")
			return
		}
		for i, item := range list {
			checkTypes(fmt.Sprintf("%s[%s]", path, label(item, i)), item, t.Elem(), p)
		}
	case reflect.String:
		if _, ok := v.(string); !ok {
			mismatch("a string")
		}
	case reflect.Bool:
		if _, ok := v.(bool); !ok {
			mismatch("true or false")
		}
	case reflect.Int, reflect.Int64:
		n, ok := v.(json.Number)
		if _, err := n.Int64(); !ok || err != nil {
			mismatch("a whole number")
		}
	case reflect.Float64:
		n, ok := v.(json.Number)
		if _, err := n.Float64(); !ok || err != nil {
			mismatch("a number")
		}
	default:
		mismatch("nothing of type " + t.String())
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// label returns how a path names a list item: by its name, or by its index when it has none.
func label(item any, i int) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok && name != "" {
			return name
		}
	}
	return fmt.Sprint(i)
}

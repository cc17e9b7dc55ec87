package guavaconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a declared item.
type Kind string

// The kinds of declared items, in the order in which a Delta lists them.
const (
	KindDomain  Kind = "domain"
	KindAccount Kind = "account"
	KindKey     Kind = "key"
	KindRoute   Kind = "route"
	KindModel   Kind = "model"
	KindServer  Kind = "server"
)

// Edit is the change of one declared item. Before is empty for an added item, and After for a removed one.
type Edit struct {
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Delta is the difference between two declarations, ordered by kind and name.
type Delta []Edit

// NewDelta returns the edits that turn before into after. Names must be unique per kind in both.
func NewDelta(before, after Declarations) Delta {
	var d Delta
	d = appendEdits(d, KindDomain, before.Domains, after.Domains, domainName)
	d = appendEdits(d, KindAccount, before.Accounts, after.Accounts, accountName)
	d = appendEdits(d, KindKey, before.Keys, after.Keys, keyName)
	d = appendEdits(d, KindRoute, before.Routes, after.Routes, routeName)
	d = appendEdits(d, KindModel, before.Models, after.Models, modelName)
	d = appendEdits(d, KindServer, before.Servers, after.Servers, serverName)
	return d
}

// Apply returns the declarations after the edits, with each edited list ordered by name. It returns an error when an
// edit does not match the declarations, for example when it removes an item that does not exist.
func (d Delta) Apply(to Declarations) (Declarations, error) {
	byKind := make(map[Kind][]Edit)
	for _, e := range d {
		byKind[e.Kind] = append(byKind[e.Kind], e)
	}
	var errs [6]error
	to.Domains, errs[0] = applyEdits(to.Domains, byKind[KindDomain], domainName)
	to.Accounts, errs[1] = applyEdits(to.Accounts, byKind[KindAccount], accountName)
	to.Keys, errs[2] = applyEdits(to.Keys, byKind[KindKey], keyName)
	to.Routes, errs[3] = applyEdits(to.Routes, byKind[KindRoute], routeName)
	to.Models, errs[4] = applyEdits(to.Models, byKind[KindModel], modelName)
	to.Servers, errs[5] = applyEdits(to.Servers, byKind[KindServer], serverName)
	for _, err := range errs {
		if err != nil {
			return Declarations{}, err
		}
	}
	return to, nil
}

// Redacted returns the edits without the hashes of keys. A changed hash appears as the field "rehashed" in After.
func (d Delta) Redacted() Delta {
	out := slices.Clone(d)
	for i, e := range out {
		if e.Kind == KindKey {
			out[i].Before, out[i].After = redactKey(e.Before, false), redactKey(e.After, keyHash(e.Before) != "" && keyHash(e.Before) != keyHash(e.After))
		}
	}
	return out
}

// String returns the edits as text without the hashes of keys: one line per added (+) or removed (-) item, and one line
// per changed field (~).
func (d Delta) String() string {
	var b strings.Builder
	for _, e := range d.Redacted() {
		switch {
		case len(e.Before) == 0:
			fmt.Fprintf(&b, "+ %s %s %s\n", e.Kind, e.Name, e.After)
		case len(e.After) == 0:
			fmt.Fprintf(&b, "- %s %s %s\n", e.Kind, e.Name, e.Before)
		default:
			writeFields(&b, e)
		}
	}
	return b.String()
}

// Diff returns the difference between two declarations as text, see Delta.String.
func Diff(before, after Declarations) string { return NewDelta(before, after).String() }

func writeFields(b *strings.Builder, e Edit) {
	var before, after map[string]json.RawMessage
	if json.Unmarshal(e.Before, &before) != nil || json.Unmarshal(e.After, &after) != nil {
		fmt.Fprintf(b, "~ %s %s %s -> %s\n", e.Kind, e.Name, e.Before, e.After)
		return
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, f := range slices.Sorted(maps.Keys(names)) {
		oldValue, newValue := before[f], after[f]
		if bytes.Equal(oldValue, newValue) {
			continue
		}
		fmt.Fprintf(b, "~ %s %s %s: %s -> %s\n", e.Kind, e.Name, f, orNone(oldValue), orNone(newValue))
	}
}

func orNone(v json.RawMessage) string {
	if len(v) == 0 {
		return "none"
	}
	return string(v)
}

func keyHash(data json.RawMessage) string {
	var k Key
	if json.Unmarshal(data, &k) != nil {
		return ""
	}
	return k.Hash
}

// redactKey returns the JSON of a key without its hash.
func redactKey(data json.RawMessage, rehashed bool) json.RawMessage {
	if len(data) == 0 {
		return nil
	}
	var k struct {
		Name     string   `json:"name"`
		Account  string   `json:"account"`
		Routes   []string `json:"routes,omitempty"`
		Rehashed bool     `json:"rehashed,omitempty"`
	}
	if json.Unmarshal(data, &k) != nil {
		return nil
	}
	k.Rehashed = k.Rehashed || rehashed
	return encode(k)
}

func appendEdits[T any](d Delta, kind Kind, before, after []T, name func(T) string) Delta {
	oldItems, newItems := index(before, name), index(after, name)
	names := make(map[string]bool, len(oldItems)+len(newItems))
	for n := range oldItems {
		names[n] = true
	}
	for n := range newItems {
		names[n] = true
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		e := Edit{Kind: kind, Name: n}
		if v, ok := oldItems[n]; ok {
			e.Before = encode(v)
		}
		if v, ok := newItems[n]; ok {
			e.After = encode(v)
		}
		if !bytes.Equal(e.Before, e.After) {
			d = append(d, e)
		}
	}
	return d
}

func applyEdits[T any](list []T, edits []Edit, name func(T) string) ([]T, error) {
	if len(edits) == 0 {
		return list, nil
	}
	items := index(list, name)
	for _, e := range edits {
		if _, ok := items[e.Name]; ok != (len(e.Before) > 0) {
			return nil, errors.Newf("%s %q: edit expects present %t, found %t", string(e.Kind), e.Name, len(e.Before) > 0, ok)
		}
		if len(e.After) == 0 {
			delete(items, e.Name)
			continue
		}
		var v T
		if err := json.Unmarshal(e.After, &v); err != nil {
			return nil, errors.Newf("%s %q: %w", string(e.Kind), e.Name, err)
		}
		items[e.Name] = v
	}
	out := make([]T, 0, len(items))
	for _, n := range slices.Sorted(maps.Keys(items)) {
		out = append(out, items[n])
	}
	return out, nil
}

// encode returns the JSON of a declared item. It panics only on NaN and infinite numbers, which Validate rejects.
func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Newf("encode %T: %w", v, err))
	}
	return data
}

func domainName(f FailureDomain) string  { return f.Name }
func accountName(a ClientAccount) string { return a.Name }
func keyName(k Key) string               { return k.Name }
func routeName(r Route) string           { return r.Name }
func modelName(m Model) string           { return m.Name }
func serverName(b BackendServer) string  { return b.Name }

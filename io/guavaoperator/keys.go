package guavaoperator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
	"guavaridge/core/guavakey"
)

// maxSnapshot bounds the compacted snapshot that is read, in bytes.
const maxSnapshot = 64 << 20

// NewKey is a generated key. Text is shown once to the operator and is not stored.
type NewKey struct {
	Name string
	Text string // gk_<id>_<secret>
	Hash string // SHA-256 of the secret in hexadecimal
}

// IssuedKey is a key that was issued.
type IssuedKey struct {
	Result
	Name string
	Text string
}

// ErrAlreadyIssued means that a repeated request finds its key issued; the text cannot be shown again.
var ErrAlreadyIssued = errors.New("the key was already issued and its text cannot be shown again; withdraw it and issue another")

// ErrNoKey means that no key has the identifier.
var ErrNoKey = errors.New("no such key")

// generateKey is the default generator of keys.
func generateKey() (NewKey, error) {
	text, name, hash := guavakey.Generate()
	return NewKey{Name: name, Text: text, Hash: hash}, nil
}

// IssueKey adds a key to a client account, restricted to routes unless routes is empty.
func (s *Store) IssueKey(ctx context.Context, m Meta, account string, routes []string) (IssuedKey, error) {
	k, err := s.newKey()
	if err != nil {
		return IssuedKey{}, err
	}
	added := guavaconfig.Key{Name: k.Name, Account: account, Hash: k.Hash, Routes: routes}
	r, err := s.edit(ctx, m, func(d guavaconfig.Declarations) (guavaconfig.Declarations, error) {
		d.Keys = append(slices.Clone(d.Keys), added)
		return d, nil
	})
	if err != nil {
		return IssuedKey{}, errors.Newf("issue key: %w", err)
	}
	if r.Repeated && !slices.ContainsFunc(r.Delta, func(e guavaconfig.Edit) bool { return e.Name == k.Name }) {
		return IssuedKey{Result: r}, errors.Newf("version %d: %w", r.Version, ErrAlreadyIssued)
	}
	return IssuedKey{Result: r, Name: k.Name, Text: k.Text}, nil
}

// WithdrawKey removes a key. A key that is already gone is ErrNoKey.
func (s *Store) WithdrawKey(ctx context.Context, m Meta, name string) (Result, error) {
	r, err := s.edit(ctx, m, func(d guavaconfig.Declarations) (guavaconfig.Declarations, error) {
		keys := slices.DeleteFunc(slices.Clone(d.Keys), func(k guavaconfig.Key) bool { return k.Name == name })
		if len(keys) == len(d.Keys) {
			return d, errors.Newf("key %s: %w", name, ErrNoKey)
		}
		// An empty list must not be nil, which would keep the keys.
		d.Keys = append(make([]guavaconfig.Key, 0, len(keys)), keys...)
		return d, nil
	})
	if err != nil {
		return Result{}, errors.Newf("withdraw key: %w", err)
	}
	return r, nil
}

// NewOperation returns a random operation identifier.
func NewOperation() string { return rand.Text() }

func newReader(data []byte) io.Reader { return bytes.NewReader(data) }

func decodeSnapshot(r io.Reader) (*guavaconfig.Snapshot, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshot))
	if err != nil {
		return nil, errors.Newf("read snapshot: %w", err)
	}
	if !json.Valid(data) {
		return nil, errors.New("read snapshot: not JSON")
	}
	return guavaconfig.DecodeSnapshot(data)
}

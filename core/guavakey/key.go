// Package guavakey generates and checks the API keys of callers and removes them from requests.
package guavakey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"

	"guavaridge/core/guavaconfig"
)

const (
	prefix = "gk_"
	// secretBytes is the length of the random secret in bytes. Its hexadecimal text is twice as long.
	secretBytes      = 32
	secretTextLength = 2 * secretBytes
	// idBytes is the length of a random identifier in bytes.
	idBytes = 8
	// maxIDLength is the maximum length of an identifier in bytes.
	maxIDLength = 64
)

var (
	// ErrMalformed means that a text is not a key.
	ErrMalformed = errors.New("the key is malformed")
	// ErrUnknown means that no key with this identifier and secret is declared. It does not tell which of the two is
	// wrong.
	ErrUnknown = errors.New("the key is not valid")
)

// Generate returns the text of a new key, its public identifier, and the hash of its secret for the declaration.
func Generate() (text, id, hash string) {
	var b [idBytes + secretBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	id = hex.EncodeToString(b[:idBytes])
	secret := hex.EncodeToString(b[idBytes:])
	return prefix + id + "_" + secret, id, Hash(secret)
}

// Hash returns the SHA-256 hash of a secret in hexadecimal.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Parse splits the text of a key into identifier and secret. It fails with ErrMalformed.
func Parse(text string) (id, secret string, err error) {
	rest, ok := strings.CutPrefix(text, prefix)
	i := strings.LastIndexByte(rest, '_')
	if !ok || i < 1 || i > maxIDLength || len(rest)-i-1 != secretTextLength || !isHex(rest[i+1:]) || keyCharsLength(rest[:i]) != i {
		return "", "", ErrMalformed
	}
	return rest[:i], rest[i+1:], nil
}

// placeholderHash is compared when the identifier is unknown, so that the check takes as long as for a known one.
var placeholderHash = strings.Repeat("0", sha256.Size*2)

// Check returns the declared key that matches a text. It fails with ErrMalformed or ErrUnknown.
func Check(s *guavaconfig.Snapshot, text string) (guavaconfig.Key, error) {
	id, secret, err := Parse(text)
	if err != nil {
		return guavaconfig.Key{}, err
	}
	k, found := s.Key(id)
	if !Matches(k, found, secret) {
		return guavaconfig.Key{}, ErrUnknown
	}
	return k, nil
}

// Matches reports whether a secret belongs to a key, in constant time. If found is false it does the same work and
// returns false.
func Matches(k guavaconfig.Key, found bool, secret string) bool {
	want := k.Hash
	if !found || len(want) != len(placeholderHash) {
		want, found = placeholderHash, false
	}
	var text [sha256.Size * 2]byte
	sum := sha256.Sum256([]byte(secret))
	hex.Encode(text[:], sum[:])
	return subtle.ConstantTimeCompare(text[:], []byte(want)) == 1 && found
}

func isHex[T string | []byte](s T) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// keyCharsLength returns the length of the longest prefix of s that consists of characters allowed in a key.
func keyCharsLength[T string | []byte](s T) int {
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '_' && c != '-' && c != '.' {
			return i
		}
	}
	return len(s)
}

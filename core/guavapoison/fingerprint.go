// Package guavapoison recognises requests that crash backend servers.
package guavapoison

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Fingerprint identifies equal requests. It is a hexadecimal hash of 128 bits of route and body; the hash is
// cryptographic so that no caller can get another caller's request refused by a collision.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(route string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(route))
	h.Write([]byte{0})
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(hex.EncodeToString(h.Sum(sum[:0])[:16]))
}

// Sum returns the first 64 bits of the fingerprint, for messages that each request causes. It is 0 only by chance or without
// fingerprint.
func (f Fingerprint) Sum() uint64 {
	const digits = 16
	if len(f) < digits {
		return 0
	}
	sum, err := strconv.ParseUint(string(f[:digits]), 16, 64)
	if err != nil {
		return 0 // not made by NewFingerprint: it names no request
	}
	return sum
}

// Package guavapoison detects requests that crash backend servers (poison requests).
package guavapoison

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Fingerprint identifies equal requests. It is a hash of route and body, 128 bits in hexadecimal digits. The hash is
// cryptographic, so that no caller can cause a collision to get another caller's request refused.
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

// Sum returns the first 64 bits of the fingerprint, a shorter identifier for messages that are sent for each request.
// It is 0 for a fingerprint that was not created by NewFingerprint, and otherwise only by chance.
func (f Fingerprint) Sum() uint64 {
	const digits = 16
	if len(f) < digits {
		return 0
	}
	sum, err := strconv.ParseUint(string(f[:digits]), 16, 64)
	if err != nil {
		return 0 // not created by NewFingerprint
	}
	return sum
}

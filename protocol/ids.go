package protocol

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// NewShortID returns a random identifier of 40 bits in hexadecimal, for names that stand in
// every record of a log and must be unique only among the processes of one instance.
func NewShortID() string { return NewID()[:10] }

// NewID returns a random identifier of 128 bits in hexadecimal.
func NewID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails on supported systems.
	return hex.EncodeToString(b[:])
}

// Fingerprint returns a hash that identifies a request by its content: service,
// method, path and body.
func Fingerprint(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		for i, n := 0, len(p); i < len(size); i, n = i+1, n>>8 {
			size[i] = byte(n)
		}
		h.Write(size[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// NewHolder returns a unique holder ID for one execution at an instance.
func NewHolder(instance string) string { return instance + holderSeparator + NewID() }

// InstanceOf returns the instance of a holder ID.
func InstanceOf(holder string) string {
	if i := strings.LastIndex(holder, holderSeparator); i >= 0 {
		return holder[:i]
	}
	return holder
}

const holderSeparator = "#"

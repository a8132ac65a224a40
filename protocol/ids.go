package protocol

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// NewID returns a random identifier of 128 bits in hexadecimal.
func NewID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails on supported systems.
	return hex.EncodeToString(b[:])
}

// Fingerprint identifies a request by content: service, method, path and body.
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

// NewHolder names one execution at an instance.
func NewHolder(instance string) string { return instance + holderSeparator + NewID() }

// InstanceOf gives the instance of a holder.
func InstanceOf(holder string) string {
	if i := strings.LastIndex(holder, holderSeparator); i >= 0 {
		return holder[:i]
	}
	return holder
}

const holderSeparator = "#"

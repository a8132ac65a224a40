package worklog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TextRef locates the output of an item, which is a record in the topic of texts and is
// appended before any record of the log refers to it. It is kept out of the log because
// all processes read the log, but only those whose callers ask for an output read the
// text.
type TextRef struct {
	Key    string `msgpack:"k"`
	Offset int64  `msgpack:"o"`
	// Bytes is the size of the whole record.
	Bytes int `msgpack:"n"`
}

// textMarker is the first byte of each text record's value, since a record with an empty
// value would delete its key.
const textMarker = 't'

// EncodeText returns the value of a record that holds the text.
func EncodeText(text string) []byte { return append([]byte{textMarker}, text...) }

// DecodeText returns the text in a record's value, or false if the value is malformed.
func DecodeText(value []byte) (string, bool) {
	if len(value) == 0 || value[0] != textMarker {
		return "", false
	}
	return string(value[1:]), true
}

// The last parts of the keys of saved partial texts begin with savedMarker and the item's ID, or
// with hashedMarker and a hash of an ID that is too long for a key.
const (
	savedMarker  = "~"
	hashedMarker = "~~#"
)

// SavedKey returns the key of an item's saved partial text, of at most fleet.MaxKeyBytes. It
// sorts after the outputs of the job's items.
func SavedKey(ref ItemRef) string {
	key := TextPrefix(ref.Job) + savedMarker + ref.Item
	if len(key) <= fleet.MaxKeyBytes {
		return key
	}
	hash := sha256.Sum256([]byte(ref.Item))
	return TextPrefix(ref.Job) + hashedMarker + hex.EncodeToString(hash[:])
}

// TextPrefix returns the common prefix of the keys of a job's texts, which makes them
// adjacent in the store.
func TextPrefix(job string) string { return fmt.Sprintf("%016x/", xxhash.Sum64String(job)) }

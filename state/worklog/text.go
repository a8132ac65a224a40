package worklog

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// TextRef says where the output of an item is: in a record of its own in the topic
// of texts, which is there before any record of the log names it. All processes
// read the log; only those whose callers ask for an output read that.
type TextRef struct {
	Key    string `msgpack:"k"`
	Offset int64  `msgpack:"o"`
	// Bytes is the size of the whole record.
	Bytes int `msgpack:"n"`
}

// textMarker begins the value of each text, since a record without a value would
// delete its key.
const textMarker = 't'

// EncodeText returns the value of a record with the text.
func EncodeText(text string) []byte { return append([]byte{textMarker}, text...) }

// DecodeText returns the text of a record's value, false for one of another form.
func DecodeText(value []byte) (string, bool) {
	if len(value) == 0 || value[0] != textMarker {
		return "", false
	}
	return string(value[1:]), true
}

// SavedKey returns the key of the text that an item has so far. It stands behind the
// outputs of the job's items.
func SavedKey(ref ItemRef) string { return TextPrefix(ref.Job) + "~" + ref.Item }

// TextPrefix begins the keys of the texts of a job, so that they stand side by
// side in the store.
func TextPrefix(job string) string { return fmt.Sprintf("%016x/", xxhash.Sum64String(job)) }

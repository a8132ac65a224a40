package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

const stream = "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: lines\n\n: comment\n\nid: 3\nda"

func TestParse(t *testing.T) {
	whole := CompleteLen([]byte(stream))
	assert.Equal(t, stream[whole:], "id: 3\nda")
	assert.DeepEqual(t, Parse([]byte(stream)), []Event{{"1", "one"}, {"2", "two\nlines"}, {"", ""}})
	assert.Equal(t, CompleteLen([]byte("id: 1\n")), 0)
	assert.Equal(t, len(Parse([]byte("id: 1\n"))), 0)
}

func TestLastID(t *testing.T) {
	for text, want := range map[string]string{
		stream[:CompleteLen([]byte(stream))]: "2", "id: 7\ndata: x\n\n": "7", "data: x\n\n": "", "": "", "data: x\nid:  9 \n\n": "9",
	} {
		assert.Equal(t, LastID([]byte(text)), want, "%q", text)
	}
}

// FuzzParse checks that no stream is split but at its blank lines.
func FuzzParse(f *testing.F) {
	f.Add([]byte(stream))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := CompleteLen(data)
		assert.Equal(t, len(Parse(data)), len(Parse(data[:whole])))
		assert.Equal(t, len(Parse(data[whole:])), 0)
	})
}

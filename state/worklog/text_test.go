package worklog

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEncodeAndDecodeText(t *testing.T) {
	for _, text := range []string{"", "some text", "t"} {
		value := EncodeText(text)
		assert.Assert(t, len(value) > 0, "a record with an empty value would delete its key")
		got, ok := DecodeText(value)
		assert.Assert(t, ok)
		assert.Equal(t, got, text)
	}
	for _, value := range []string{"", "x", "\x80"} {
		_, ok := DecodeText([]byte(value))
		assert.Assert(t, !ok, "%q", value)
	}
	assert.Assert(t, TextPrefix("a") != TextPrefix("b"))
}

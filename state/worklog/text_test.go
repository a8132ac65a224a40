package worklog

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
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

// TestKeyOfSavedTextFits guards against a record that the store never takes, since its key holds
// the ID of an item: IDs have any length. Keys of short IDs stay as earlier builds wrote them.
func TestKeyOfSavedTextFits(t *testing.T) {
	long := strings.Repeat("0", 1000)
	keys := map[string]bool{}
	for _, item := range []string{"", "a", long[:237], long[:238], long[:239], long[:256], long, long + "1"} {
		key := SavedKey(ItemRef{Job: "j", Item: item})
		assert.Assert(t, len(key) <= fleet.MaxKeyBytes, "%d bytes", len(key))
		assert.Assert(t, !keys[key], "two items share a key")
		assert.Assert(t, key > TextPrefix("j")+"z", "it sorts after the outputs")
		keys[key] = true
	}
	assert.Equal(t, SavedKey(ItemRef{Job: "j", Item: "a"}), TextPrefix("j")+"~a")
	assert.Assert(t, SavedKey(ItemRef{Job: "j", Item: long}) != SavedKey(ItemRef{Job: "k", Item: long}))
}

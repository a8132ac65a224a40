package textcache

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOldestTextsAreEvicted exceeds the size of the cache by many texts, and by a single
// one.
func TestOldestTextsAreEvicted(t *testing.T) {
	c := New(50)
	for i := range 8 {
		c.Put(fmt.Sprint("k", i), "ten bytes.")
		c.Put(fmt.Sprint("k", i), "not again")
	}
	assert.Equal(t, c.Bytes(), 48)
	for i := range 8 {
		text, found := c.Get(fmt.Sprint("k", i))
		assert.Equal(t, found, i >= 4)
		if found {
			assert.Equal(t, text, "ten bytes.")
		}
	}
	c.Put("huge", string(make([]byte, 60)))
	assert.Equal(t, c.Bytes(), 0)
}

// Package textcache keeps the outputs of items that were read last, up to a number
// of bytes.
//
// It answers callers that read the results of a job a few at a time, soon after
// they are there, and seldom again: the texts that came first go first.
package textcache

import "sync"

// Cache is safe for concurrent use.
type Cache struct {
	maxBytes int

	mu    sync.Mutex
	texts map[string]string
	// order holds the keys in the order in which they came.
	order []string
	bytes int
}

// New returns an empty cache of at most so many bytes.
func New(maxBytes int) *Cache { return &Cache{maxBytes: maxBytes, texts: map[string]string{}} }

// Get returns the text of the key.
func (c *Cache) Get(key string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, found := c.texts[key]
	return text, found
}

// Put keeps the text of the key, and drops those that came first where there are
// too many bytes.
func (c *Cache) Put(key, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.texts[key]; found {
		return
	}
	c.texts[key] = text
	c.order = append(c.order, key)
	c.bytes += len(key) + len(text)
	for c.bytes > c.maxBytes {
		first := c.order[0]
		c.bytes -= len(first) + len(c.texts[first])
		delete(c.texts, first)
		c.order = c.order[1:]
	}
}

// Bytes returns the size of what is kept.
func (c *Cache) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

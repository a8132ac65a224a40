// Package textcache caches the outputs of items up to a number of bytes.
//
// Callers read the results of a job a few at a time, soon after they become available,
// and rarely read them again, so the cache evicts texts in the order in which they were
// added.
package textcache

import "sync"

// Cache is safe for concurrent use.
type Cache struct {
	maxBytes int

	mu    sync.Mutex
	texts map[string]string
	// order holds the keys in the order in which they were added.
	order []string
	bytes int
}

// New returns an empty cache of at most maxBytes bytes of keys and texts.
func New(maxBytes int) *Cache { return &Cache{maxBytes: maxBytes, texts: map[string]string{}} }

// Get returns the text of the key if it is cached.
func (c *Cache) Get(key string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, found := c.texts[key]
	return text, found
}

// Put adds the text of the key, unless the key is cached already, and evicts the oldest
// texts while the cache is too large. A text that is too large by itself empties the
// cache and is not kept.
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
		oldest := c.order[0]
		c.bytes -= len(oldest) + len(c.texts[oldest])
		delete(c.texts, oldest)
		c.order = c.order[1:]
	}
}

// Bytes returns the total size of the cached keys and texts.
func (c *Cache) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

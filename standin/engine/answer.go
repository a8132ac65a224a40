package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Markers in a prompt that trigger a fault in the engine.
const (
	// MarkerImpossible makes the engine refuse the request with a permanent error.
	MarkerImpossible = "#impossible"
	// MarkerCrash makes the engine crash when it runs the request.
	MarkerCrash = "#crash"
)

// Prompt joins the messages of a chat into one prompt.
func Prompt(messages []protocol.ChatMessage) string {
	parts := make([]string, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// Token returns token i of the answer to prompt.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%x ", xxhash.Sum64String(fmt.Sprintf("%d/%s", i, prompt))&0xffff)
}

// Answer returns the complete answer of n tokens to prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// prefixCache is an LRU cache of prompt prefixes, kept as blocks of words.
type prefixCache struct {
	// capacity is the number of blocks that the cache holds.
	capacity int
	// blocks maps the hash of a prefix to the clock of its last use.
	blocks       map[uint64]int
	clock        int
	hits, misses uint64
}

// blockWords is the number of prompt tokens in one block of the cache.
const blockWords = 16

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens / blockWords, blocks: map[uint64]int{}}
}

// lookup returns the number of tokens of words that are not cached, and caches
// their blocks.
func (c *prefixCache) lookup(words []string) int {
	miss := len(words) % blockWords
	cached := true
	digest := xxhash.New()
	for i := 0; i+blockWords <= len(words); i += blockWords {
		for _, w := range words[i : i+blockWords] {
			_, _ = digest.WriteString(w + " ")
		}
		sum := digest.Sum64()
		_, found := c.blocks[sum]
		cached = cached && found
		if !cached {
			miss += blockWords
		}
		c.clock++
		c.blocks[sum] = c.clock
		c.evict()
	}
	c.misses += uint64(miss)
	c.hits += uint64(len(words) - miss)
	return miss
}

func (c *prefixCache) evict() {
	if len(c.blocks) <= c.capacity {
		return
	}
	oldest, at := uint64(0), c.clock+1
	for sum, used := range c.blocks {
		if used < at {
			oldest, at = sum, used
		}
	}
	delete(c.blocks, oldest)
}

package standin

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefixBlockWords is the number of words in a block of the prefix cache.
const prefixBlockWords = 16

// prefixCache is an LRU cache of prompt prefixes in whole blocks, with at most maxWords words.
type prefixCache struct {
	maxWords int
	blocks   []uint64 // least recently used first
}

// lookup returns the number of leading words of the prompt that are cached, and caches the
// whole blocks of the prompt. The key of a block is a hash of the prompt up to its end.
func (c *prefixCache) lookup(prompt string) int {
	words := strings.Fields(prompt)
	cached, hit := 0, true
	digest := xxhash.New()
	for start := 0; start+prefixBlockWords <= len(words); start += prefixBlockWords {
		_, _ = digest.WriteString(strings.Join(words[start:start+prefixBlockWords], " "))
		key := digest.Sum64()
		at := slices.Index(c.blocks, key)
		if at < 0 {
			hit = false
		} else {
			c.blocks = slices.Delete(c.blocks, at, at+1)
		}
		if hit {
			cached += prefixBlockWords
		}
		c.blocks = append(c.blocks, key)
	}
	if over := len(c.blocks) - c.maxWords/prefixBlockWords; over > 0 {
		c.blocks = c.blocks[over:]
	}
	return cached
}

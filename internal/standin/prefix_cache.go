package standin

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefixBlockWords is the number of words in a block of the prefix cache.
const prefixBlockWords = 16

// prefixCache is a least-recently-used cache of prompt prefixes in whole
// blocks, of at most limit words.
type prefixCache struct {
	maxWords int
	blocks   []uint64 // least recently used first
}

// lookup returns how many words of the prompt were cached and caches the prompt.
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

package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// promptWork is the work of processing a request's prompt with one model.
type promptWork struct {
	// prefixes holds the prompt up to the end of each shared part, shortest first.
	prefixes []inventory.Prefix
	// prefill is the work of processing the whole prompt, in prompt tokens of the largest model.
	prefill float64
}

// promptWork returns the work of the prompt for the request's model. The processing times of
// models are roughly proportional to their costs.
func (q *request) promptWork() promptWork {
	cost := q.service.RelativeCost(q.model)
	p := promptWork{prefill: cost * float64(q.headers.TokensIn)}
	hash, tokens := xxhash.New(), 0
	_, _ = hash.WriteString(q.modelName())
	for _, part := range q.sharedParts() {
		_, _ = hash.WriteString("\x00" + part.ID)
		tokens += part.Tokens
		p.prefixes = append(p.prefixes, inventory.Prefix{
			Key: inventory.PrefixHash(hash.Sum64()), Part: inventory.PartKey(q.modelName(), part.ID), Work: cost * float64(tokens),
		})
	}
	// A caller may state fewer tokens for the prompt than for its parts together.
	p.prefill = max(p.prefill, cost*float64(tokens))
	return p
}

// uncachedPrefill returns the work of the instance before the first event, without the prefix
// that it has cached.
func (q *request) uncachedPrefill(p promptWork, i inventory.Instance) float64 {
	if len(p.prefixes) == 0 {
		return p.prefill
	}
	if cached := q.Prompts.CachedCount(i.Hash(), p.prefixes); cached > 0 {
		return p.prefill - p.prefixes[cached-1].Work
	}
	return p.prefill
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last
// one, which belongs to the request or its session. A single part counts as shared.
func (q *request) sharedParts() []PromptPart {
	switch n := len(q.headers.Prompt); n {
	case 0, 1:
		return q.headers.Prompt
	default:
		return q.headers.Prompt[:n-1]
	}
}

// modelName returns the model that the request asks for.
func (q *request) modelName() string {
	if q.model == "" {
		return q.headers.Model
	}
	return q.model
}

package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// prompt is what is known of the parts of a request's prompt for one model.
type promptWork struct {
	// beginnings end with each of the shared parts, shortest first.
	prefixes []inventory.Prefix
	// work is that of reading the whole prompt, in prompt tokens of the largest model.
	prefill float64
}

// prompt looks at the request's prompt as the request's model reads it. Models differ
// in time about as in cost.
func (q *request) promptWork() promptWork {
	cost := q.service.RelativeCost(q.model)
	p := promptWork{prefill: cost * float64(q.headers.TokensIn)}
	hash, tokens := xxhash.New(), 0
	_, _ = hash.WriteString(q.modelName())
	for _, part := range q.sharedParts() {
		_, _ = hash.WriteString("\x00" + part.ID)
		tokens += part.Tokens
		p.prefixes = append(p.prefixes, inventory.Prefix{
			Key: inventory.PrefixHash(hash.Sum64()), Work: cost * float64(tokens),
		})
	}
	// A caller may count fewer tokens than its parts have together.
	p.prefill = max(p.prefill, cost*float64(tokens))
	return p
}

// reads is the work of an instance until the first event, without what it keeps.
func (q *request) uncachedPrefill(p promptWork, i inventory.Instance) float64 {
	if len(p.prefixes) == 0 {
		return p.prefill
	}
	if kept := q.Prompts.CachedCount(i.Hash(), p.prefixes); kept > 0 {
		return p.prefill - p.prefixes[kept-1].Work
	}
	return p.prefill
}

// shared are the parts of the prompt that other requests may share: all but the
// last one, which belongs to the request or its session.
func (q *request) sharedParts() []Part {
	switch n := len(q.headers.Prompt); n {
	case 0, 1:
		return q.headers.Prompt
	default:
		return q.headers.Prompt[:n-1]
	}
}

// modelName is the model that the request asks for.
func (q *request) modelName() string {
	if q.model == "" {
		return q.headers.Model
	}
	return q.model
}

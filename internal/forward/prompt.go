package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// prompt is what is known of the parts of a request's prompt for one model.
type prompt struct {
	// beginnings end with each of the shared parts, shortest first.
	beginnings []inventory.Prefix
	// work is that of reading the whole prompt, in prompt tokens of the largest model.
	work float64
}

// prompt looks at the request's prompt as the request's model reads it. Models differ
// in time about as in cost.
func (q *request) prompt() prompt {
	cost := q.service.RelativeCost(q.model)
	p := prompt{work: cost * float64(q.facts.TokensIn)}
	hash, tokens := xxhash.New(), 0
	_, _ = hash.WriteString(q.modelName())
	for _, part := range q.shared() {
		_, _ = hash.WriteString("\x00" + part.ID)
		tokens += part.Tokens
		p.beginnings = append(p.beginnings, inventory.Prefix{
			Key: inventory.PrefixHash(hash.Sum64()), Work: cost * float64(tokens),
		})
	}
	// A caller may count fewer tokens than its parts have together.
	p.work = max(p.work, cost*float64(tokens))
	return p
}

// reads is the work of an instance until the first event, without what it keeps.
func (q *request) reads(p prompt, i inventory.Instance) float64 {
	if len(p.beginnings) == 0 {
		return p.work
	}
	if kept := q.Prompts.CachedCount(i.Hash(), p.beginnings); kept > 0 {
		return p.work - p.beginnings[kept-1].Work
	}
	return p.work
}

// shared are the parts of the prompt that other requests may share: all but the
// last one, which belongs to the request or its session.
func (q *request) shared() []Part {
	switch n := len(q.facts.Prompt); n {
	case 0, 1:
		return q.facts.Prompt
	default:
		return q.facts.Prompt[:n-1]
	}
}

// modelName is the model that the request asks for.
func (q *request) modelName() string {
	if q.model == "" {
		return q.facts.Model
	}
	return q.model
}

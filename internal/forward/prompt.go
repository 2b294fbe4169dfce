package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// prompt is what is known of the parts of a request's prompt for one model.
type prompt struct {
	// keys are those of the shared parts, in order.
	keys []inventory.PromptKey
	// works is the work of reading each shared part, own that of the rest, in
	// prompt tokens of the largest model.
	works []float64
	own   float64
	// holders are the instances that likely hold each shared part.
	holders []map[string]int64
}

// prompt looks up who holds what of the request's prompt. Models differ in time
// about as in cost.
func (q *request) prompt() prompt {
	cost := q.service.RelativeCost(q.model)
	rest := q.facts.TokensIn
	var p prompt
	for _, part := range q.shared() {
		key := inventory.PromptKey(xxhash.Sum64String(part.ID + "\x00" + q.modelName()))
		p.keys = append(p.keys, key)
		p.works = append(p.works, cost*float64(part.Tokens))
		p.holders = append(p.holders, q.Prompts.Holders(key))
		rest -= part.Tokens
	}
	p.own = cost * float64(max(rest, 0))
	return p
}

// reads is the work of an instance until the first event. A part is of use only if
// all parts before it are held, too.
func (p prompt) reads(instance inventory.Instance) float64 {
	work := p.own
	held := true
	for i, holders := range p.holders {
		born, holds := holders[instance.ID]
		if held = held && holds && born == instance.Born; !held {
			work += p.works[i]
		}
	}
	return work
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

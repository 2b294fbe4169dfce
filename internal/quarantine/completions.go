package quarantine

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// Completions remembers when requests, and requests with a part, last completed. Parts have a memory
// of their own, so that many of them do not displace requests.
type Completions struct{ requests, parts *Finished }

// NewCompletions returns an empty Completions.
func NewCompletions(clock clockwork.Clock) *Completions {
	return &Completions{requests: NewFinished(clock), parts: NewFinished(clock)}
}

// Record records that a request has completed.
func (c *Completions) Record(s *Suspect) {
	c.requests.Record(s.Digest)
	for _, part := range s.Parts {
		c.parts.Record(partDigest(part))
	}
}

// Age returns the time since a request with a trait last completed.
func (c *Completions) Age(t Trait) (age time.Duration, known bool) {
	if t.Part == "" {
		return c.requests.Age(t.Request)
	}
	return c.parts.Age(partDigest(t.Part))
}

// SuspectParts returns those of the parts with which no request is known to have completed.
func (c *Completions) SuspectParts(parts []string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(part string) bool {
		_, known := c.parts.Age(partDigest(part))
		return known
	})
}

// OrderParts returns the parts of a request as a report names them: at most maxParts, those first that
// have not completed for the longest time.
func (c *Completions) OrderParts(parts []string) []string {
	if len(parts) <= 1 {
		return slices.Clone(parts)
	}
	ages := make(map[string]time.Duration, len(parts))
	for _, part := range parts {
		age, known := c.parts.Age(partDigest(part))
		if !known {
			age = 2 * EvidenceTTL
		}
		ages[part] = age
	}
	ordered := slices.Clone(parts)
	slices.SortStableFunc(ordered, func(a, b string) int { return int(ages[b] - ages[a]) })
	return ordered[:min(len(ordered), maxParts)]
}

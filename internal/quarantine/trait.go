package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts bounds the parts of a request that are compared. A header has room for more, so a
	// request names those first that have not completed for the longest time.
	maxParts = 256
	// maxPartBytes is the length of the longest ID that is kept as it is. Longer ones are hashed.
	maxPartBytes = 64
)

// Trait is something that requests may have in common: being the same request, or a part of their
// prompts. A part counts for one organisation or for all. If it counted for all alone, an
// organisation could have the part of another one refused by naming it in its own requests.
type Trait struct {
	// Request is the digest of the request; Part is empty then.
	Request Digest
	// Part is the ID of the part, in the requests of Organisation or, if Shared is set, in all.
	Part         string
	Organisation string
	Shared       bool
}

// Suspect is a request that was running on an instance when the instance ended.
type Suspect struct {
	Digest       Digest
	Route        string
	Organisation string
	// Parts are the IDs of the parts of its prompt that other requests may share, normalised by
	// NormalisePart, each once.
	Parts []string
	// Ran is the time from its sending to the end of the instance, and Progress that from the head of its
	// answer; 0 if no answer had begun.
	Ran, Progress time.Duration
}

// UntilEnd returns the suspect with Ran as the time to the end of its instance, if Ran is the time until it was seen
// to break off or given up.
func (s *Suspect) UntilEnd(end, seen time.Time) Suspect {
	out := *s
	out.Ran = max(s.Ran+end.Sub(seen), 0)
	return out
}

// NormalisePart returns the ID of a part in the form in which parts are compared: hexadecimal
// numbers are equal whatever their case and leading zeros.
func NormalisePart(id string) string {
	id = strings.ToLower(id)
	if short := strings.TrimLeft(id, "0"); short != "" {
		id = short
	} else if id != "" {
		id = "0"
	}
	if len(id) > maxPartBytes {
		return "hash-" + hexOf(xxhash.Sum64String(id))
	}
	return id
}

// holds reports whether the request has a trait.
func (s *Suspect) holds(t Trait) bool {
	if t.Part == "" {
		return s.Digest == t.Request
	}
	return (t.Shared || t.Organisation == s.Organisation) && slices.Contains(s.Parts, t.Part)
}

// traits calls yield for each trait of the request.
func (s *Suspect) traits(yield func(Trait)) {
	yield(Trait{Request: s.Digest})
	for _, part := range s.Parts {
		s.partTraits(part, yield)
	}
}

// partTraits calls yield for the traits that a part of the request is.
func (s *Suspect) partTraits(part string, yield func(Trait)) {
	yield(Trait{Part: part, Organisation: s.Organisation})
	yield(Trait{Part: part, Shared: true})
}

// completionKey is the trait whose completions acquit t. Any answer with a part acquits the part.
func (t Trait) completionKey() Trait {
	if t.Part == "" {
		return t
	}
	return Trait{Part: t.Part, Shared: true}
}

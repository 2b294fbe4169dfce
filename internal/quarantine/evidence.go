package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// EvidenceTTL is how long a crash counts as evidence. The completion of a request is
	// remembered for at least half of it; see Finished. It covers repeated attempts: a caller
	// retries a request for some ten seconds, and the caller's user for some minutes.
	EvidenceTTL = 5 * time.Minute
	// maxCrashes bounds the remembered crashes, and maxSuspects the suspects of each. Beyond
	// maxCrashParts parts of a crash, suspects have minParts at most. maxTotalParts bounds the parts of
	// all crashes together.
	maxCrashes    = 1024
	maxSuspects   = 1024
	maxCrashParts = 8192
	minParts      = 16
	maxTotalParts = 256 << 10
)

// TrimParts returns the parts that are kept of a suspect of a crash whose other suspects have known
// parts. Parts are in the order of Completions.OrderParts, so that those are left out that have
// completed recently.
func TrimParts(parts []string, known int) []string {
	return parts[:min(len(parts), maxParts, max(maxCrashParts-known, minParts))]
}

// Digests returns the digests of the suspects.
func Digests(all []Suspect) []Digest {
	out := make([]Digest, len(all))
	for i, s := range all {
		out[i] = s.Digest
	}
	return out
}

// Crash is one daemon's report that an instance ended while requests were running on it.
type Crash struct {
	// Instance identifies the incarnation of the server that ended; ID is its name in logs.
	Instance inventory.InstanceHash
	ID       string
	// Age is the time from the end of the instance to this report.
	Age time.Duration
	// Suspects are the requests that the reporting daemon had on the instance.
	Suspects []Suspect
}

// crash is an ended instance with the suspects reported by all daemons.
type crash struct {
	id       string
	at       time.Time
	suspects map[Digest]*Suspect
	// parts is the number of parts of all suspects.
	parts int
}

// Evidence collects crash reports and determines what causes the crashes.
//
// Any trait of a request that was on an ended instance may be the cause, except one with which a
// request has completed since. weigh.go says when the evidence suffices.
//
// Lock order: mu is taken before the lock of List. Suspected and Culprits query their Verdicts, a
// List, while mu is held.
type Evidence struct {
	clock clockwork.Clock

	mu      sync.Mutex
	crashes map[inventory.InstanceHash]*crash
	// order holds the keys of crashes, oldest crash first.
	order []inventory.InstanceHash
	// parts is the number of parts of all suspects of all crashes.
	parts int
	// cleared holds when a request with a trait is last known to have completed, by completionKey.
	cleared map[Trait]time.Time
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence(clock clockwork.Clock) *Evidence {
	return &Evidence{clock: clock, crashes: map[inventory.InstanceHash]*crash{}, cleared: map[Trait]time.Time{}}
}

// Add records a daemon's report. Reports of several daemons on the same instance are merged.
func (e *Evidence) Add(report Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	defer e.expire(now)
	at := now.Add(-report.Age)
	c := e.crashes[report.Instance]
	switch {
	case c == nil:
		c = &crash{id: report.ID, at: at, suspects: map[Digest]*Suspect{}}
		e.crashes[report.Instance] = c
		e.insertOrdered(report.Instance, at)
	case at.Before(c.at):
		e.moveTo(report.Instance, at)
	}
	for _, s := range report.Suspects {
		s = s.UntilEnd(c.at, at)
		if known := c.suspects[s.Digest]; known != nil {
			known.keepLatest(s)
			continue
		}
		if len(c.suspects) >= maxSuspects {
			continue
		}
		s.Parts = TrimParts(s.Parts, c.parts)
		c.suspects[s.Digest] = &s
		c.parts += len(s.Parts)
		e.parts += len(s.Parts)
	}
}

// keepLatest keeps, of the runs of one request that an instance had when it ended, the one that was sent last: the
// instance had survived the others until then. It makes the result independent of the order of reports.
func (s *Suspect) keepLatest(o Suspect) {
	if o.Ran < s.Ran {
		s.Ran, s.Progress = o.Ran, o.Progress
	}
}

// moveTo sets the time of a crash to an earlier one, from a daemon that noticed it before the others.
func (e *Evidence) moveTo(n inventory.InstanceHash, at time.Time) {
	c := e.crashes[n]
	for _, s := range c.suspects {
		*s = s.UntilEnd(at, c.at)
	}
	c.at = at
	e.order = slices.DeleteFunc(e.order, func(o inventory.InstanceHash) bool { return o == n })
	e.insertOrdered(n, at)
}

// insertOrdered inserts n into order at the position of its time. Reports may arrive out of
// order: daemons send them at different times, and a daemon that has just become the judge (the
// one that decides on quarantines) receives all at once.
func (e *Evidence) insertOrdered(n inventory.InstanceHash, at time.Time) {
	i := len(e.order)
	for i > 0 && e.crashes[e.order[i-1]].at.After(at) {
		i--
	}
	e.order = slices.Insert(e.order, i, n)
}

// AtMostOneCrash returns those of the given requests that were on at most one ended instance,
// as far as is known. Crashes before a request last completed do not count.
func (e *Evidence) AtMostOneCrash(all []Digest) []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(all), func(d Digest) bool {
		count := 0
		for _, c := range e.crashes {
			if _, ok := c.suspects[d]; ok && c.at.After(e.cleared[Trait{Request: d}]) {
				count++
			}
		}
		return count > 1
	})
}

// expire removes crashes and completions older than EvidenceTTL, and the oldest crashes above the
// bounds. A crash is therefore removed early only if many later ones are reported.
func (e *Evidence) expire(now time.Time) {
	for len(e.order) > 0 && (len(e.order) > maxCrashes || e.parts > maxTotalParts || now.Sub(e.crashes[e.order[0]].at) > EvidenceTTL) {
		e.parts -= e.crashes[e.order[0]].parts
		delete(e.crashes, e.order[0])
		e.order = e.order[1:]
	}
	for t, at := range e.cleared {
		if now.Sub(at) > EvidenceTTL {
			delete(e.cleared, t)
		}
	}
}

// ClearRequest records that a request completed, or that its quarantine was released, the given time
// ago. Its crashes before then no longer count against it.
func (e *Evidence) ClearRequest(d Digest, age time.Duration) { e.clear(Trait{Request: d}, age) }

// ClearPart records the same for all requests with a part.
func (e *Evidence) ClearPart(part string, age time.Duration) {
	e.clear(Trait{Part: part, Shared: true}, age)
}

// ClearEntry records the release of an entry.
func (e *Evidence) ClearEntry(entry Entry) {
	if len(entry.RefusedParts) == 0 {
		e.ClearRequest(entry.Digest, 0)
	}
	for _, part := range entry.RefusedParts {
		e.ClearPart(part, 0)
	}
}

func (e *Evidence) clear(t Trait, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := e.clock.Now().Add(-age); at.After(e.cleared[t]) {
		e.cleared[t] = at
	}
}

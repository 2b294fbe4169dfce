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
	// minCrashes is the number of crashed instances after which a request is quarantined if it
	// alone explains all crashes of that time.
	minCrashes = 3
	// minCrashesConfounded applies instead of minCrashes when other instances end at the same
	// time without the request, or when the evidence is incomplete: then something else may
	// have crashed the instances.
	minCrashesConfounded = 5
	// maxUnrelatedRatio is the highest ratio of instances that ended without the request to
	// instances that ended with it. Above it, the request is taken to be a bystander. With 2,
	// three crashing requests that arrive at the same time and rate are still all found.
	maxUnrelatedRatio = 2
	// sameCauseWindow is the time within which ends of instances may have the same cause. A
	// rack that loses power ends all its instances at once, and a bad version ends its
	// instances within seconds.
	sameCauseWindow = 2 * time.Second
	// simultaneousWindow is the time within which ends of instances count as simultaneous.
	simultaneousWindow = 100 * time.Millisecond
	// maxCrashes bounds the remembered crashes, and maxSuspects the suspects of each.
	maxCrashes  = 1024
	maxSuspects = 256
)

// Suspect is a request that was running on an instance when the instance ended.
type Suspect struct {
	Digest       Digest
	Route        string
	Organisation string
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
	suspects map[Digest]Suspect
}

// Evidence collects crash reports and determines which requests cause the crashes.
//
// Any request that was on an ended instance may be the cause, except one that has completed
// since. A request is quarantined when it was on three ended instances (minCrashes), no other
// instance ended in that time without it, and no other request was on all of the three. If
// other instances ended too, because of a power loss or a second crashing request, it must
// have been on five (minCrashesConfounded, counted by weightedCrashes) and on at least a third
// of all that ended. If two requests were on exactly the same instances, neither is
// quarantined until an instance crashes with only one of them or one of them completes.
// Crashes of instances that had a quarantined request do not count against other requests.
//
// Lock order: mu is taken before the lock of List. Suspected and Culprits call their arguments
// quarantined and onProbation, which query the List, while mu is held.
type Evidence struct {
	clock clockwork.Clock

	mu      sync.Mutex
	crashes map[inventory.InstanceHash]*crash
	// order holds the keys of crashes, oldest crash first.
	order []inventory.InstanceHash
	// cleared holds when each request is last known to have completed.
	cleared map[Digest]time.Time
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence(clock clockwork.Clock) *Evidence {
	return &Evidence{clock: clock, crashes: map[inventory.InstanceHash]*crash{}, cleared: map[Digest]time.Time{}}
}

// Add records a daemon's report. Reports of several daemons on the same instance are merged.
func (e *Evidence) Add(report Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	defer e.expire(now)
	c := e.crashes[report.Instance]
	if c == nil {
		c = &crash{id: report.ID, at: now.Add(-report.Age), suspects: map[Digest]Suspect{}}
		e.crashes[report.Instance] = c
		e.insertOrdered(report.Instance, c.at)
	}
	for _, s := range report.Suspects {
		if len(c.suspects) < maxSuspects {
			c.suspects[s.Digest] = s
		}
	}
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
			if _, ok := c.suspects[d]; ok && c.at.After(e.cleared[d]) {
				count++
			}
		}
		return count > 1
	})
}

// expire removes crashes and completions older than EvidenceTTL, and the oldest crashes above
// maxCrashes. A crash is therefore removed early only if maxCrashes later ones are reported.
func (e *Evidence) expire(now time.Time) {
	for len(e.order) > 0 && (len(e.order) > maxCrashes || now.Sub(e.crashes[e.order[0]].at) > EvidenceTTL) {
		delete(e.crashes, e.order[0])
		e.order = e.order[1:]
	}
	for d, at := range e.cleared {
		if now.Sub(at) > EvidenceTTL {
			delete(e.cleared, d)
		}
	}
}

// Clear records that a request completed, or that its quarantine was released, the given time
// ago. Its crashes before then no longer count against it.
func (e *Evidence) Clear(d Digest, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := e.clock.Now().Add(-age); at.After(e.cleared[d]) {
		e.cleared[d] = at
	}
}

// SuspectCrashes is a suspect with the crashes that count against it.
type SuspectCrashes struct {
	Suspect
	// Ended are the IDs of the instances that ended while running the request, oldest first.
	Ended []string
	// Since is the time since the first of them ended.
	Since time.Duration
	// first and last are the times of the first and last of these crashes.
	first, last time.Time
	crashes     []inventory.InstanceHash
	// unrelated is the number of instances that ended in the same period without the request.
	unrelated int
}

// Suspected returns the requests that were on enough ended instances to be quarantined, and
// those on probation that were on any. The caller must ask all daemons about these requests,
// then call Culprits.
func (e *Evidence) Suspected(quarantined, onProbation func(Digest) bool) []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.clock.Now())
	var out []Digest
	for d, c := range e.suspects(e.unexplained(quarantined)) {
		if onProbation(d) || len(c.crashes) >= minCrashes {
			out = append(out, d)
		}
	}
	return out
}

// Culprits returns the requests to quarantine on the present evidence. quarantined reports
// whether a request is quarantined already; such requests explain the crashes that they were
// on. onProbation reports whether the quarantine of a request ended recently; one more crash
// suffices for it.
//
// complete is how far back the evidence includes the reports of all daemons. If a suspect's
// first crash is older, another request may be the cause, or the suspect may have completed
// unnoticed, so it needs minCrashesConfounded crashes.
func (e *Evidence) Culprits(complete time.Duration, quarantined, onProbation func(Digest) bool) []SuspectCrashes {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.clock.Now())
	unexplained := e.unexplained(quarantined)
	var out []SuspectCrashes
	for _, c := range e.suspects(unexplained) {
		if onProbation(c.Digest) || e.isCulprit(c, unexplained, complete) {
			c.Since = e.clock.Since(c.first)
			out = append(out, *c)
		}
	}
	return out
}

// unexplained returns the crashes of instances that had no quarantined request, oldest first.
func (e *Evidence) unexplained(quarantined func(Digest) bool) []inventory.InstanceHash {
	var unexplained []inventory.InstanceHash
	for _, n := range e.order {
		explained := false
		for d := range e.crashes[n].suspects {
			explained = explained || quarantined(d)
		}
		if !explained {
			unexplained = append(unexplained, n)
		}
	}
	return unexplained
}

// suspects returns the requests that were on the given crashed instances and have not
// completed since, by digest.
func (e *Evidence) suspects(unexplained []inventory.InstanceHash) map[Digest]*SuspectCrashes {
	all := map[Digest]*SuspectCrashes{}
	for _, n := range unexplained {
		c := e.crashes[n]
		for d, s := range c.suspects {
			if e.cleared[d].After(c.at) {
				continue
			}
			one := all[d]
			if one == nil {
				one = &SuspectCrashes{Suspect: s, first: c.at}
				all[d] = one
			}
			one.Ended = append(one.Ended, c.id)
			one.crashes = append(one.crashes, n)
			one.last = c.at
		}
	}
	return all
}

// isCulprit reports whether the evidence suffices to quarantine c. It also sets c.unrelated.
func (e *Evidence) isCulprit(c *SuspectCrashes, unexplained []inventory.InstanceHash, complete time.Duration) bool {
	if len(c.crashes) < minCrashes {
		return false
	}
	for _, n := range unexplained {
		at := e.crashes[n].at
		if slices.Contains(c.crashes, n) || at.Before(c.first.Add(-sameCauseWindow)) || at.After(c.last.Add(sameCauseWindow)) {
			continue
		}
		c.unrelated++
	}
	unconfounded := c.unrelated == 0 && e.clock.Since(c.first) <= complete
	if !unconfounded && (e.weightedCrashes(c, unexplained) < minCrashesConfounded || c.unrelated > maxUnrelatedRatio*len(c.crashes)) {
		return false
	}
	return !e.indistinguishable(c)
}

// weightedCrashes is the number of instances that ended with a request, less what other causes
// explain: if k instances end simultaneously and only one of them has the request, that one
// counts 1/k. This distinguishes repeated power losses of a rack from several crashing requests,
// whose crashes are not simultaneous.
func (e *Evidence) weightedCrashes(c *SuspectCrashes, unexplained []inventory.InstanceHash) float64 {
	sum := 0.0
	for _, n := range c.crashes {
		at := e.crashes[n].at
		k := 1
		for _, other := range unexplained {
			if d := e.crashes[other].at.Sub(at).Abs(); d <= simultaneousWindow && !slices.Contains(c.crashes, other) {
				k++
			}
		}
		sum += 1 / float64(k)
	}
	return sum
}

// indistinguishable reports whether another request was on all the instances that ended with c
// and has not completed since.
func (e *Evidence) indistinguishable(c *SuspectCrashes) bool {
	for d := range e.crashes[c.crashes[0]].suspects {
		if d == c.Digest {
			continue
		}
		onAll := true
		for _, n := range c.crashes {
			if _, ok := e.crashes[n].suspects[d]; !ok || e.cleared[d].After(e.crashes[n].at) {
				onAll = false
				break
			}
		}
		if onAll {
			return true
		}
	}
	return false
}

package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// EvidenceTime is how long a crash counts, and how long it is remembered that a
	// request ran to its end. A caller repeats a request for as long as it waits, some ten
	// seconds, and its user for some minutes.
	EvidenceTime = 5 * time.Minute
	// enough is the number of crashed instances that condemn a request which alone
	// explains them.
	enough = 3
	// enoughBesides is that number while instances end at the same time that it was
	// not on: then something else crashes instances, and may have crashed these.
	enoughBesides = 5
	// mostElsewhere is how many times as many instances may end meanwhile that it was
	// not on: with more, it is beside what ends them. Three such requests that come at
	// the same time and rate are found out all the same.
	mostElsewhere = 2
	// sameCause is the time within which instances that end count as ended by the same
	// cause. A rack that loses power ends all of its instances at once, and a bad
	// version takes its instances down within seconds.
	sameCause = 2 * time.Second
	// together is the time within which instances have ended at the same moment.
	together = 100 * time.Millisecond
	// maxCrashes bounds the crashes remembered, maxSuspects the requests of each.
	maxCrashes  = 1024
	maxSuspects = 256
)

// Suspect is a request that was on an instance when it ended.
type Suspect struct {
	Digest       Digest
	Route        string
	Organisation string
}

// Digests returns the digests of suspects.
func Digests(all []Suspect) []Digest {
	out := make([]Digest, len(all))
	for i, s := range all {
		out[i] = s.Digest
	}
	return out
}

// Crash is the end of an instance under requests.
type Crash struct {
	// Instance is the life of the server that ended, ID its name in logs.
	Instance inventory.Number
	ID       string
	// Age is for how long it had ended when this was told.
	Age time.Duration
	// Suspects are the requests of the daemon that tells.
	Suspects []Suspect
}

// crash is an ended instance with the suspects of all daemons.
type crash struct {
	id       string
	at       time.Time
	suspects map[Digest]Suspect
}

// Evidence collects crashes and weighs which requests cause them.
//
// How it is weighed. Of several requests on an ended instance any may be the cause. A
// request that has since run to its end is none. What is left is judged by whether it
// explains what ended: it was on three ended instances, on each that ended meanwhile,
// and no other request was on all of these. While other instances end too, by a loss of
// power or by a second such request, it takes five, and a third of all that ended. Two
// requests that were on exactly the same instances are told apart by the next crash or the
// first that ends well. Crashes with a request that is quarantined speak against no other.
//
// Lock order: mu is taken alone.
type Evidence struct {
	clock clockwork.Clock

	mu      sync.Mutex
	crashes map[inventory.Number]*crash
	// order has the keys of crashes, oldest first.
	order []inventory.Number
	// cleared is when suspects were last known to have run to their end.
	cleared map[Digest]time.Time
}

// NewEvidence returns evidence of nothing.
func NewEvidence(clock clockwork.Clock) *Evidence {
	return &Evidence{clock: clock, crashes: map[inventory.Number]*crash{}, cleared: map[Digest]time.Time{}}
}

// Add takes in what a daemon tells of a crash.
func (e *Evidence) Add(told Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	defer e.forget(now)
	c := e.crashes[told.Instance]
	if c == nil {
		c = &crash{id: told.ID, at: now.Add(-told.Age), suspects: map[Digest]Suspect{}}
		e.crashes[told.Instance] = c
		e.insert(told.Instance, c.at)
	}
	for _, s := range told.Suspects {
		if len(c.suspects) < maxSuspects {
			c.suspects[s.Digest] = s
		}
	}
}

// insert keeps order sorted: daemons tell of the same time at different ones, and a new
// judge hears of all at once.
func (e *Evidence) insert(n inventory.Number, at time.Time) {
	i := len(e.order)
	for i > 0 && e.crashes[e.order[i-1]].at.After(at) {
		i--
	}
	e.order = slices.Insert(e.order, i, n)
}

// First returns those of some requests that were on one ended instance at most, as far as
// is known.
func (e *Evidence) First(all []Digest) []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(all), func(d Digest) bool {
		count := 0
		for _, c := range e.crashes {
			if _, there := c.suspects[d]; there && c.at.After(e.cleared[d]) {
				count++
			}
		}
		return count > 1
	})
}

// forget drops what is too old, or too much. A request that has crashed instances can be
// pushed out only by as many further crashes.
func (e *Evidence) forget(now time.Time) {
	for len(e.order) > 0 && (len(e.order) > maxCrashes || now.Sub(e.crashes[e.order[0]].at) > EvidenceTime) {
		delete(e.crashes, e.order[0])
		e.order = e.order[1:]
	}
	for d, at := range e.cleared {
		if now.Sub(at) > EvidenceTime {
			delete(e.cleared, d)
		}
	}
}

// Clear takes in that a request ran to its end some time ago.
func (e *Evidence) Clear(d Digest, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := e.clock.Now().Add(-age); at.After(e.cleared[d]) {
		e.cleared[d] = at
	}
}

// Case is a request with the crashes that speak against it.
type Case struct {
	Suspect
	// Ended are the IDs of the instances that ended under it, oldest first.
	Ended []string
	// Since is how long ago the first of them ended.
	Since time.Duration
	// first and last are when instances ended under it.
	first, last time.Time
	crashes     []inventory.Number
	// elsewhere is the number of instances that ended meanwhile without it.
	elsewhere int
}

// Suspected returns the requests that may be condemned, or speak for one that may: those
// that were on enough ended instances. What daemons know of them is to be asked for
// before Cases is relied on.
func (e *Evidence) Suspected(known, proven func(Digest) bool) []Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(e.clock.Now())
	var out []Digest
	for d, c := range e.suspects(e.unexplained(known)) {
		if proven(d) || len(c.crashes) >= enough {
			out = append(out, d)
		}
	}
	return out
}

// Cases returns the requests that are to be refused by what is known so far. known tells
// which are quarantined already; they explain the crashes that they were on. proven tells
// which have been quarantined before: one crash more is enough for these. complete is
// for how long back all daemons have told what they know. Where that is not enough,
// another request may be the cause, or this one have run to its end, and it takes as many
// crashes as when other instances end.
func (e *Evidence) Cases(complete time.Duration, known, proven func(Digest) bool) []Case {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(e.clock.Now())
	open := e.unexplained(known)
	var out []Case
	for _, c := range e.suspects(open) {
		if proven(c.Digest) || e.condemned(c, open, complete) {
			c.Since = e.clock.Since(c.first)
			out = append(out, *c)
		}
	}
	return out
}

// unexplained returns the crashes on which no quarantined request was, oldest first.
func (e *Evidence) unexplained(known func(Digest) bool) []inventory.Number {
	var open []inventory.Number
	for _, n := range e.order {
		explained := false
		for d := range e.crashes[n].suspects {
			explained = explained || known(d)
		}
		if !explained {
			open = append(open, n)
		}
	}
	return open
}

// suspects returns the requests that were on crashed instances and did not run to their
// end since.
func (e *Evidence) suspects(open []inventory.Number) map[Digest]*Case {
	all := map[Digest]*Case{}
	for _, n := range open {
		c := e.crashes[n]
		for d, s := range c.suspects {
			if e.cleared[d].After(c.at) {
				continue
			}
			one := all[d]
			if one == nil {
				one = &Case{Suspect: s, first: c.at}
				all[d] = one
			}
			one.Ended = append(one.Ended, c.id)
			one.crashes = append(one.crashes, n)
			one.last = c.at
		}
	}
	return all
}

// condemned reports whether a request is to be refused.
func (e *Evidence) condemned(c *Case, open []inventory.Number, complete time.Duration) bool {
	if len(c.crashes) < enough {
		return false
	}
	for _, n := range open {
		at := e.crashes[n].at
		if slices.Contains(c.crashes, n) || at.Before(c.first.Add(-sameCause)) || at.After(c.last.Add(sameCause)) {
			continue
		}
		c.elsewhere++
	}
	alone := c.elsewhere == 0 && e.clock.Since(c.first) <= complete
	if !alone && (e.strength(c, open) < enoughBesides || c.elsewhere > mostElsewhere*len(c.crashes)) {
		return false
	}
	return !e.rivalled(c)
}

// strength is the number of instances that ended under a request, less what else explains
// them: of k that end at the same moment, with the request on one of them, that one counts
// as 1/k. It tells a rack that loses power again and again from several such requests,
// which do not come at the same moments.
func (e *Evidence) strength(c *Case, open []inventory.Number) float64 {
	sum := 0.0
	for _, n := range c.crashes {
		at := e.crashes[n].at
		k := 1
		for _, other := range open {
			if d := e.crashes[other].at.Sub(at).Abs(); d <= together && !slices.Contains(c.crashes, other) {
				k++
			}
		}
		sum += 1 / float64(k)
	}
	return sum
}

// rivalled reports whether another request was on all the instances that ended under c.
func (e *Evidence) rivalled(c *Case) bool {
	for d := range e.crashes[c.crashes[0]].suspects {
		if d == c.Digest {
			continue
		}
		everywhere := true
		for _, n := range c.crashes {
			if _, there := e.crashes[n].suspects[d]; !there || e.cleared[d].After(e.crashes[n].at) {
				everywhere = false
				break
			}
		}
		if everywhere {
			return true
		}
	}
	return false
}

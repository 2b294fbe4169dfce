package inventory

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineLoad is what an engine reports about itself: the requests that it runs and those that
// wait in it.
type EngineLoad struct{ Running, Waiting int }

// CachedPart is a prompt part that an engine caches for a model.
type CachedPart struct {
	ID     string
	Model  string
	Tokens int
}

// Surveyed is the state of an engine that was asked for it.
type Surveyed struct {
	Instance InstanceHash
	// Running and Waiting are the requests there that no live daemon has sent.
	Running, Waiting int
	// Parts are the keys of the prompt parts that the engine caches.
	Parts []PrefixHash
}

// PartKey returns the key of a single prompt part that is cached for a model.
func PartKey(model, part string) PrefixHash {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	_, _ = h.WriteString("\x00" + part)
	return PrefixHash(h.Sum64())
}

const (
	// orphanHalfLife is the half-life of the requests of callers that have gone. They are not
	// reported again, and answers take a few seconds.
	orphanHalfLife = 1 * time.Second
	// orphanTTL is how long they are counted at all.
	orphanTTL = 8 * orphanHalfLife
	// orphanWork is the work of one of them that waits, in prompt tokens of the largest model.
	// Its prompt is not known; this is the typical work of an answer in package place.
	orphanWork = 6000.0
	// maxOrphans limits the requests that are assumed at one instance, whatever it reports.
	maxOrphans = 1000
)

// orphans are the requests at an instance that no live daemon has sent.
type orphans struct {
	running, waiting int
	at               time.Time
}

// NoteSurveyed counts requests of callers that have gone as load of their instances.
func (t *Table) NoteSurveyed(all []Surveyed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for hash, o := range t.orphans {
		if now.Sub(o.at) > orphanTTL {
			delete(t.orphans, hash)
		}
	}
	for _, s := range all {
		if s.Running <= 0 && s.Waiting <= 0 {
			continue
		}
		if t.orphans == nil {
			t.orphans = map[InstanceHash]orphans{}
		}
		t.orphans[s.Instance] = orphans{
			running: min(max(s.Running, 0), maxOrphans), waiting: min(max(s.Waiting, 0), maxOrphans), at: now,
		}
	}
}

// orphansOf returns the number of requests at an instance that no live daemon has sent, and the
// work of those that wait. The lock is held.
func (t *Table) orphansOf(e *entry, now time.Time) (open, work float64) {
	o, ok := t.orphans[e.hash]
	if !ok || now.Sub(o.at) > orphanTTL {
		return 0, 0
	}
	left := decayed(1, now.Sub(o.at), orphanHalfLife)
	return float64(o.running+o.waiting) * left, float64(o.waiting) * orphanWork * left
}

// SplitSurveyed returns the requests that an engine reports without those that live daemons have
// open there, as far as this daemon knows. Requests that wait are taken for the newest ones.
func (t *Table) SplitSurveyed(i Instance, l EngineLoad) (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, waiting = max(l.Running, 0), max(l.Waiting, 0)
	e, ok := t.entries[i.ID]
	if !ok || e.instance.Born != i.Born {
		return running, waiting
	}
	known := t.reportedOpen(e, t.clock.Now())
	fromWaiting := min(known, waiting)
	return max(running-(known-fromWaiting), 0), waiting - fromWaiting
}

// Engines returns the instances of a service that may be asked for their state. Evacuated failure
// domains get nothing new, and an instance that warms up has nothing to tell.
func (t *Table) Engines(service string) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Instance
	for _, e := range t.entries {
		if t.mayServe(e, service) && !t.isWarming(e, now) {
			out = append(out, e.instance)
		}
	}
	return out
}

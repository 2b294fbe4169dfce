package config

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// maxReadAttempts bounds how often Refresh reads the configuration when it changes
// during the read.
const maxReadAttempts = 5

// Delta is a head and the rows that differ from those of the receiver.
type Delta struct {
	Head      Head
	Documents map[string]StoredDocument
	Rollouts  map[string]Rollout
}

// Follower keeps the active configuration of one daemon up to date. The generation
// of the active configuration never decreases.
//
// Lock order: no other lock is taken, and no other component is called, while mu
// is held.
type Follower struct {
	site  string
	store *Store
	clock clockwork.Clock

	mu        sync.Mutex
	head      Head
	documents map[string]StoredDocument
	rollouts  map[string]Rollout
	snapshot  *Snapshot
	// confirmed is the last time at which the active generation was known to be the
	// newest.
	confirmed time.Time
	// changed is closed and replaced each time a new generation becomes active.
	changed chan struct{}
}

// NewFollower returns a follower of the configuration of a site.
func NewFollower(site string, store *Store, clock clockwork.Clock) *Follower {
	return &Follower{
		site:      site,
		store:     store,
		clock:     clock,
		head:      Head{}.Clone(),
		documents: map[string]StoredDocument{},
		rollouts:  map[string]Rollout{},
		changed:   make(chan struct{}),
	}
}

// Current returns the active snapshot, or nil if there is none yet.
func (f *Follower) Current() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// Generation returns the active generation, or 0 if there is none yet.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Generation
}

// Changed returns a channel that is closed when the next generation becomes
// active.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// SinceConfirmed returns the time since the active generation was last known to be
// the newest, or the largest duration if it never was.
//
// The time is measured from before the request that confirmed it was sent. So a
// daemon that was paused or partitioned gets a large value as soon as it runs
// again, and can refuse to dispatch before it has read the store. Otherwise it
// would send work to a version that was withdrawn in the meantime.
func (f *Follower) SinceConfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 1<<63 - 1
	}
	return f.clock.Since(f.confirmed)
}

// Confirm records that generation was the newest at the time at. It has no effect
// unless that generation is active.
func (f *Follower) Confirm(generation int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation == f.head.Generation && generation > 0 && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Head returns a copy of the active head.
func (f *Follower) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Clone()
}

// DeltaFor returns the active head, and the rows that a follower of site with the
// head known does not have.
func (f *Follower) DeltaFor(site string, known Head) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{Head: f.head.Clone(), Documents: map[string]StoredDocument{}, Rollouts: map[string]Rollout{}}
	for _, target := range []string{baseName, DocumentName(site)} {
		doc, have := f.documents[target]
		if have && doc.Revision != known.Documents[target] {
			d.Documents[target] = doc
		}
	}
	for ref, r := range f.rollouts {
		if r.Generation != known.Rollouts[ref] {
			d.Rollouts[ref] = r
		}
	}
	return d
}

// Refresh reads the changed rows from the store, installs them, and confirms the
// generation.
func (f *Follower) Refresh(ctx context.Context) error {
	for range maxReadAttempts {
		requestedAt := f.clock.Now()
		head, _, err := f.store.Head(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		delta, err := f.read(ctx, head)
		if err != nil {
			return trace.Wrap(err)
		}
		if f.Install(delta) {
			f.Confirm(head.Generation, requestedAt)
			return nil
		}
	}
	return trace.CompareFailed("the configuration kept changing while it was read")
}

// read reads the rows in which head differs from the active configuration.
func (f *Follower) read(ctx context.Context, head Head) (Delta, error) {
	known := f.Head()
	d := Delta{Head: head, Documents: map[string]StoredDocument{}, Rollouts: map[string]Rollout{}}
	if head.Generation <= known.Generation {
		return d, nil
	}
	for _, target := range []string{baseName, DocumentName(f.site)} {
		if head.Documents[target] == known.Documents[target] {
			continue
		}
		doc, err := f.store.Document(ctx, target)
		if err != nil {
			return d, err
		}
		d.Documents[target] = doc
	}
	for ref, generation := range head.Rollouts {
		if generation == known.Rollouts[ref] {
			continue
		}
		r, _, err := f.store.Rollout(ctx, ref)
		if err != nil {
			return d, err
		}
		d.Rollouts[ref] = r
	}
	return d, nil
}

// Install activates a delta. It reports whether the active generation is now at
// least that of the delta. An older delta has no effect.
//
// The rows of a delta are read one after the other, so a concurrent change could
// mix rows of different generations. Install compares each row with the revision
// in the head, and rejects the delta if one does not match.
func (f *Follower) Install(d Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Head.Generation <= f.head.Generation {
		return true
	}
	documents, ok := f.mergeDocuments(d)
	if !ok {
		return false
	}
	rollouts, ok := f.mergeRollouts(d)
	if !ok {
		return false
	}
	snapshot, err := buildSnapshot(d.Head.Generation, f.site, documents, rollouts)
	if err != nil {
		return false
	}
	f.head, f.documents, f.rollouts, f.snapshot = d.Head.Clone(), documents, rollouts, snapshot
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// mergeDocuments returns the documents of d, and the active ones where d has none.
// It returns false if one does not match the head of d.
func (f *Follower) mergeDocuments(d Delta) (map[string]StoredDocument, bool) {
	out := map[string]StoredDocument{}
	for _, target := range []string{baseName, DocumentName(f.site)} {
		doc, have := d.Documents[target]
		if !have {
			doc, have = f.documents[target], true
		}
		if doc.Revision != d.Head.Documents[target] {
			return nil, false
		}
		out[target] = doc
	}
	return out, true
}

// mergeRollouts is like mergeDocuments for the states of roll-outs.
func (f *Follower) mergeRollouts(d Delta) (map[string]Rollout, bool) {
	out := map[string]Rollout{}
	for ref, generation := range d.Head.Rollouts {
		r, have := d.Rollouts[ref]
		if !have {
			r = f.rollouts[ref]
		}
		if r.Generation != generation {
			return nil, false
		}
		out[ref] = r
	}
	return out, true
}

// buildSnapshot merges the documents and returns the snapshot of a generation.
func buildSnapshot(generation int64, site string, documents map[string]StoredDocument, rollouts map[string]Rollout) (*Snapshot, error) {
	doc, err := Merge([]byte(documents[baseName].Text), []byte(documents[DocumentName(site)].Text))
	if err != nil {
		return nil, err
	}
	rows := make([]Rollout, 0, len(rollouts))
	for _, r := range rollouts {
		rows = append(rows, r)
	}
	return NewSnapshot(generation, doc, rows), nil
}

package config

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// maxReadAttempts bounds how often a read is repeated because the configuration
// changed under it.
const maxReadAttempts = 5

// Delta carries a head and the rows in which it differs from what the
// receiver has.
type Delta struct {
	Head      Head
	Documents map[string]StoredDocument
	Rollouts  map[string]Rollout
}

// Follower holds the configuration in force at one daemon. Its generation
// only rises.
//
// Lock order: mu is taken alone; no method calls out while holding it.
type Follower struct {
	site  string
	store *Store
	clock clockwork.Clock

	mu        sync.Mutex
	head      Head
	documents map[string]StoredDocument
	rollouts  map[string]Rollout
	snapshot  *Snapshot
	confirmed time.Time
	changed   chan struct{}
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

// Current returns the snapshot in force, or nil when there is none yet.
func (f *Follower) Current() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// Generation returns the generation in force; 0 is none.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Generation
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// SinceConfirmed returns how long ago the generation in force was last known to be the
// newest.
//
// The age counts from before the question was asked. A daemon that was paused
// or cut off finds itself with a large age as soon as it runs again and can
// refuse to dispatch before it has asked; otherwise it would send work to a
// version that was withdrawn while it slept.
func (f *Follower) SinceConfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 1<<63 - 1
	}
	return f.clock.Since(f.confirmed)
}

// Confirm notes that generation was the newest at a moment. It has no effect
// unless that generation is in force.
func (f *Follower) Confirm(generation int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation == f.head.Generation && generation > 0 && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Head returns the head in force.
func (f *Follower) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head.Clone()
}

// DeltaFor returns what a follower of site that knows head lacks.
func (f *Follower) DeltaFor(site string, known Head) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{Head: f.head.Clone(), Documents: map[string]StoredDocument{}, Rollouts: map[string]Rollout{}}
	for _, target := range []string{baseName, Target(site)} {
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

// Refresh reads the store and installs what is new.
func (f *Follower) Refresh(ctx context.Context) error {
	for range maxReadAttempts {
		asked := f.clock.Now()
		head, _, err := f.store.Head(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		delta, err := f.read(ctx, head)
		if err != nil {
			return trace.Wrap(err)
		}
		if f.Install(delta) {
			f.Confirm(head.Generation, asked)
			return nil
		}
	}
	return trace.CompareFailed("the configuration kept changing while it was read")
}

// read fetches the rows in which head differs from what is in force.
func (f *Follower) read(ctx context.Context, head Head) (Delta, error) {
	known := f.Head()
	d := Delta{Head: head, Documents: map[string]StoredDocument{}, Rollouts: map[string]Rollout{}}
	if head.Generation <= known.Generation {
		return d, nil
	}
	for _, target := range []string{baseName, Target(f.site)} {
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

// Install brings a delta into force and reports whether the follower is now
// at least at its generation. An older delta changes nothing.
//
// The rows of a delta are read one after the other, so a change between two
// reads could mix generations. The head names the revision of each row; a
// delta whose rows do not match its head is not installed.
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

func (f *Follower) mergeDocuments(d Delta) (map[string]StoredDocument, bool) {
	out := map[string]StoredDocument{}
	for _, target := range []string{baseName, Target(f.site)} {
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

func buildSnapshot(generation int64, site string, documents map[string]StoredDocument, rollouts map[string]Rollout) (*Snapshot, error) {
	doc, err := Merge([]byte(documents[baseName].Text), []byte(documents[Target(site)].Text))
	if err != nil {
		return nil, err
	}
	rows := make([]Rollout, 0, len(rollouts))
	for _, r := range rollouts {
		rows = append(rows, r)
	}
	return NewSnapshot(generation, doc, rows), nil
}

// Package rating counts the ratings of answers by version and kind and makes
// beliefs about quality of them.
package rating

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/route"
)

const (
	checkpointKey = "rating/summary"
	// pageSize is the number of ratings read at once.
	pageSize = 2000
	// memory is the number of ratings after which an old one counts little:
	// each new rating shrinks the weight of the earlier ones by 1/memory.
	memory = 1000
	// checkpointEvery is how many ratings pass between two checkpoints.
	checkpointEvery = 5000
)

// Key names what ratings are counted for.
type Key struct {
	Version config.VersionRef `json:"version"`
	Kind    string            `json:"kind"`
}

// Count is what is known of a key.
type Count struct {
	// Good and Bad count all ratings.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// RecentGood and RecentBad weigh old ratings less.
	RecentGood float64 `json:"recent_good"`
	RecentBad  float64 `json:"recent_bad"`
}

// Line is a Count with its Key.
type Line struct {
	Key
	Count
}

// Summary is the state of a reader after the rating numbered Seq.
type Summary struct {
	Seq   int64  `json:"seq"`
	Lines []Line `json:"lines"`
}

// Table holds the newest summary known.
//
// Lock order: mu is taken alone.
type Table struct {
	mu     sync.Mutex
	seq    int64
	counts map[Key]Count
	// saved is the Seq of the last checkpoint written or read.
	saved int64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{counts: map[Key]Count{}} }

// Seq returns the number of the last rating counted.
func (t *Table) Seq() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq
}

// Install takes a summary if it is newer.
func (t *Table) Install(s Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Seq <= t.seq {
		return
	}
	t.seq = s.Seq
	t.counts = make(map[Key]Count, len(s.Lines))
	for _, line := range s.Lines {
		t.counts[line.Key] = line.Count
	}
}

// Summary returns the present state.
func (t *Table) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{Seq: t.seq, Lines: make([]Line, 0, len(t.counts))}
	for key, count := range t.counts {
		s.Lines = append(s.Lines, Line{Key: key, Count: count})
	}
	return s
}

// Add counts ratings that follow the ones counted.
func (t *Table) Add(ratings []backing.Rating) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range ratings {
		if r.Seq <= t.seq {
			continue
		}
		t.seq = r.Seq
		key := Key{Version: config.VersionRef{Model: r.Model, Version: r.Version}, Kind: r.Kind}
		t.counts[key] = t.counts[key].add(r.Good)
	}
}

func (c Count) add(good bool) Count {
	const keep = 1 - 1.0/memory
	c.RecentGood *= keep
	c.RecentBad *= keep
	if good {
		c.Good++
		c.RecentGood++
	} else {
		c.Bad++
		c.RecentBad++
	}
	return c
}

// Count returns the count of a key.
func (t *Table) Count(key Key) Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[key]
}

// ByKind returns the counts of a version.
func (t *Table) ByKind(ref config.VersionRef) map[string]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Count{}
	for key, count := range t.counts {
		if key.Version == ref {
			out[key.Kind] = count
		}
	}
	return out
}

// Default prior of versions whose documents give none.
const (
	defaultPriorMean   = 0.5
	defaultPriorWeight = 2
)

// Quality returns the belief about a version for a kind.
func (t *Table) Quality(version config.Version, key Key) route.Quality {
	prior, ok := version.Prior[key.Kind]
	if !ok {
		prior, ok = version.Prior["default"]
	}
	if !ok {
		prior = config.Prior{Mean: defaultPriorMean, Weight: defaultPriorWeight}
	}
	count := t.Count(key)
	return route.NewQuality(prior.Mean, prior.Weight, count.RecentGood, count.RecentBad)
}

// Restore starts from the checkpoint, if it is newer.
func (t *Table) Restore(ctx context.Context, table backing.Table) error {
	var s Summary
	if _, err := backing.GetJSON(ctx, table, checkpointKey, &s); err != nil {
		return trace.Wrap(err)
	}
	t.Install(s)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saved = max(t.saved, s.Seq)
	return nil
}

// Read counts the ratings that are new in the feed and reports how many.
func (t *Table) Read(ctx context.Context, feed backing.Ratings) (int, error) {
	total := 0
	for {
		ratings, err := feed.ReadRatings(ctx, t.Seq(), pageSize)
		if err != nil {
			return total, trace.Wrap(err)
		}
		t.Add(ratings)
		total += len(ratings)
		if len(ratings) < pageSize {
			return total, nil
		}
	}
}

// Checkpoint writes the summary now and then, so that a daemon that starts
// need not read the feed from its beginning.
func (t *Table) Checkpoint(ctx context.Context, table backing.Table) error {
	t.mu.Lock()
	due := t.seq-t.saved >= checkpointEvery
	t.mu.Unlock()
	if !due {
		return nil
	}
	var stored Summary
	revision, err := backing.GetJSON(ctx, table, checkpointKey, &stored)
	if err != nil {
		return trace.Wrap(err)
	}
	s := t.Summary()
	if s.Seq > stored.Seq {
		_, err = table.Commit(ctx, backing.Txn{
			Checks: []backing.Check{{Key: checkpointKey, Revision: revision}},
			Puts:   []backing.Put{backing.PutJSON(checkpointKey, s)},
		})
		if err != nil && !trace.IsCompareFailed(err) {
			return trace.Wrap(err)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saved = max(t.saved, s.Seq, stored.Seq)
	return nil
}

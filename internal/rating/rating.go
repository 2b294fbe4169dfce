// Package rating counts the ratings of answers by version and kind of request, and estimates
// the quality of versions from them.
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
	// decayWindow is the number of later ratings of the same key after which the weight of a
	// rating has decreased to about 0.37: each new one decreases it by 1/decayWindow.
	decayWindow = 1000
	// checkpointInterval is the smallest number of ratings between two checkpoints.
	checkpointInterval = 5000
)

// Key identifies what ratings are counted for: a version and a kind of request.
type Key struct {
	Version config.VersionRef `json:"version"`
	Kind    string            `json:"kind"`
}

// Count holds the numbers of ratings of a key.
type Count struct {
	// Good and Bad count all ratings.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// RecentGood and RecentBad count ratings with weights that decrease exponentially with the
	// number of later ratings of the key.
	RecentGood float64 `json:"recent_good"`
	RecentBad  float64 `json:"recent_bad"`
}

// Line is a Count with its Key.
type Line struct {
	Key
	Count
}

// Summary holds all counts up to and including the rating with the sequence number Seq.
type Summary struct {
	Seq   int64  `json:"seq"`
	Lines []Line `json:"lines"`
}

// Counter holds the counts of all ratings received so far.
//
// Lock order: no other lock is taken while mu is held. rollout.Controller holds its lock while
// it reads the counts.
type Counter struct {
	mu     sync.Mutex
	seq    int64
	counts map[Key]Count
	// saved is the Seq of the last checkpoint written or read.
	saved int64
}

// NewCounter returns a Counter without ratings.
func NewCounter() *Counter { return &Counter{counts: map[Key]Count{}} }

// Seq returns the sequence number of the last rating counted.
func (c *Counter) Seq() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seq
}

// Install replaces the counts by a summary if the summary is newer.
func (c *Counter) Install(s Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Seq <= c.seq {
		return
	}
	c.seq = s.Seq
	c.counts = make(map[Key]Count, len(s.Lines))
	for _, line := range s.Lines {
		c.counts[line.Key] = line.Count
	}
}

// Summary returns the current counts.
func (c *Counter) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Seq: c.seq, Lines: make([]Line, 0, len(c.counts))}
	for key, count := range c.counts {
		s.Lines = append(s.Lines, Line{Key: key, Count: count})
	}
	return s
}

// Add counts ratings, which must be in order of their sequence numbers, and skips those
// already counted.
func (c *Counter) Add(ratings []backing.Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range ratings {
		if r.Seq <= c.seq {
			continue
		}
		c.seq = r.Seq
		key := Key{Version: config.VersionRef{Model: r.Model, Version: r.Version}, Kind: r.Kind}
		c.counts[key] = c.counts[key].add(r.Good)
	}
}

// add returns the count with one more rating.
func (c Count) add(good bool) Count {
	const keep = 1 - 1.0/decayWindow
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

// Count returns the count of a key; zero if it has no ratings.
func (c *Counter) Count(key Key) Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[key]
}

// ByKind returns the counts of a version by kind of request.
func (c *Counter) ByKind(ref config.VersionRef) map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]Count{}
	for key, count := range c.counts {
		if key.Version == ref {
			out[key.Kind] = count
		}
	}
	return out
}

// The prior of versions whose documents specify none.
const (
	defaultPriorMean   = 0.5
	defaultPriorWeight = 2
)

// Quality returns the estimated quality of a version for the kind of key: the prior from its
// documents, updated with the recent ratings.
func (c *Counter) Quality(version config.Version, key Key) route.Quality {
	prior, ok := version.Prior[key.Kind]
	if !ok {
		prior, ok = version.Prior["default"]
	}
	if !ok {
		prior = config.Prior{Mean: defaultPriorMean, Weight: defaultPriorWeight}
	}
	count := c.Count(key)
	return route.NewQuality(prior.Mean, prior.Weight, count.RecentGood, count.RecentBad)
}

// Restore loads the checkpoint if it is newer than the counts.
func (c *Counter) Restore(ctx context.Context, table backing.Table) error {
	var s Summary
	if _, err := backing.GetJSON(ctx, table, checkpointKey, &s); err != nil {
		return trace.Wrap(err)
	}
	c.Install(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saved = max(c.saved, s.Seq)
	return nil
}

// Read counts the new ratings of the feed and returns how many it read.
func (c *Counter) Read(ctx context.Context, feed backing.Ratings) (int, error) {
	total := 0
	for {
		ratings, err := feed.ReadRatings(ctx, c.Seq(), pageSize)
		if err != nil {
			return total, trace.Wrap(err)
		}
		c.Add(ratings)
		total += len(ratings)
		if len(ratings) < pageSize {
			return total, nil
		}
	}
}

// Checkpoint stores the summary if at least checkpointInterval ratings were counted since the
// last checkpoint, so that a starting daemon need not read the feed from its beginning. It
// does not overwrite a newer checkpoint of another daemon.
func (c *Counter) Checkpoint(ctx context.Context, table backing.Table) error {
	c.mu.Lock()
	due := c.seq-c.saved >= checkpointInterval
	c.mu.Unlock()
	if !due {
		return nil
	}
	var stored Summary
	revision, err := backing.GetJSON(ctx, table, checkpointKey, &stored)
	if err != nil {
		return trace.Wrap(err)
	}
	s := c.Summary()
	if s.Seq > stored.Seq {
		_, err = table.Commit(ctx, backing.Txn{
			Checks: []backing.Check{{Key: checkpointKey, Revision: revision}},
			Puts:   []backing.Put{backing.PutJSON(checkpointKey, s)},
		})
		if err != nil && !trace.IsCompareFailed(err) {
			return trace.Wrap(err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saved = max(c.saved, s.Seq, stored.Seq)
	return nil
}

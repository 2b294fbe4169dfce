package member

import (
	"cmp"
	"slices"
)

// RanksFirst reports whether this daemon ranks first among the live daemons for a duty.
// Daemons with different tables may get different results, so two of them may perform the duty
// at the same time.
func (r *Registry) RanksFirst(duty string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestWeight := "", uint64(0)
	for _, d := range r.sorted {
		if d.State != Alive {
			continue
		}
		if w := weight("duty/"+duty, d.Incarnation); best == "" || w > bestWeight {
			best, bestWeight = d.Incarnation, w
		}
	}
	return best == r.self.Incarnation
}

// RankAmongPresent returns the rank of this daemon, counted from 0, among the daemons that may still
// run, in rendezvous order for name, and their number. A suspected daemon is counted unless a live
// one has its address. Daemons with the same table have different ranks.
func (r *Registry) RankAmongPresent(name string) (rank, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := map[string]bool{}
	if r.states[Suspect] > 0 {
		for _, d := range r.sorted {
			if d.State == Alive {
				live[d.PeerAddress] = true
			}
		}
	}
	own := weight(name, r.self.Incarnation)
	for i := range r.sorted {
		d := &r.sorted[i]
		if d.State == Left || d.State == Suspect && live[d.PeerAddress] {
			continue
		}
		count++
		if w := weight(name, d.Incarnation); w > own || w == own && d.Incarnation > r.self.Incarnation {
			rank++
		}
	}
	return rank, count
}

// TopRanked returns the first n live daemons that keep accepts, in rendezvous order for name.
// All daemons with the same table get the same order, and a daemon that comes or goes does not
// change the order of the others. keep is called with the registry locked and must not call
// its methods.
func (r *Registry) TopRanked(name string, n int, keep func(Daemon) bool) []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	top := ranking{size: n}
	for i := range r.sorted {
		if d := &r.sorted[i]; d.State == Alive && keep(*d) {
			top.add(d, weight(name, d.Incarnation))
		}
	}
	return top.daemons()
}

// ranking keeps the daemons with the highest weights, in descending order.
type ranking struct {
	size    int
	weights []uint64
	top     []*Daemon
}

func (r *ranking) add(d *Daemon, weight uint64) {
	at, _ := slices.BinarySearchFunc(r.weights, weight, func(a, b uint64) int { return cmp.Compare(b, a) })
	if at >= r.size {
		return
	}
	if len(r.top) == r.size {
		r.weights, r.top = r.weights[:r.size-1], r.top[:r.size-1]
	}
	r.weights = slices.Insert(r.weights, at, weight)
	r.top = slices.Insert(r.top, at, d)
}

func (r *ranking) daemons() []Daemon {
	out := make([]Daemon, len(r.top))
	for i, d := range r.top {
		out[i] = *d
	}
	return out
}

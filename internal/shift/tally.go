package shift

// Tally adds up what daemons have seen of one roll-out, those that have ended
// since included.
//
// Evidence is each daemon's memory. Where daemons are restarted one after the other a
// bad version loses its evidence faster than it gathers any. The holder of the duty
// therefore keeps the last counts of every daemon, and stores their sum with the state
// of the roll-out for the next holder.
type Tally struct {
	order int64
	// last is the newest evidence by the incarnation of its daemon.
	last map[string]Evidence
	// earlier is what daemons had seen that had ended before this tally began.
	earlier Seen
}

// Seen is a sum of observations.
type Seen struct {
	Fresh Counts `json:"fresh,omitempty"`
	Old   Counts `json:"old,omitempty"`
}

// NewTally returns an empty tally for an order.
func NewTally(order int64) *Tally { return &Tally{order: order, last: map[string]Evidence{}} }

// Take replaces what a daemon has told before. Evidence about another order says
// nothing.
func (t *Tally) Take(e Evidence) {
	if e.Order == t.order {
		t.last[e.From] = e
	}
}

// Seen is the sum of all observations.
func (t *Tally) Seen() Seen {
	sum := Seen{Fresh: Merge(t.earlier.Fresh), Old: Merge(t.earlier.Old)}
	for _, e := range t.last {
		sum.Fresh = Merge(sum.Fresh, e.Fresh)
		sum.Old = Merge(sum.Old, e.Old)
	}
	return sum
}

// Resume takes in the sum that an earlier holder stored. What the daemons heard of
// by now have told is taken off, since it is likely part of that sum: at worst a
// little is counted once too little, never twice.
func (t *Tally) Resume(stored Seen) {
	told := t.Seen()
	t.earlier.Fresh = Merge(t.earlier.Fresh, stored.Fresh.less(told.Fresh))
	t.earlier.Old = Merge(t.earlier.Old, stored.Old.less(told.Old))
}

// Known is what follows from the tally. Requests under way and sessions are those
// of the daemons that answered now.
func (t *Tally) Known(now []Evidence) Known {
	seen := t.Seen()
	k := Known{Fresh: seen.Fresh, Old: seen.Old}
	for _, e := range now {
		if e.Order == t.order {
			k.OldInFlight += e.OldInFlight
			k.Held = union(k.Held, e.Held)
		}
	}
	return k
}

// less is what of c is not in d, kind by kind.
func (c Counts) less(d Counts) Counts {
	out := Counts{}
	for kind, one := range c {
		if rest := one.less(d[kind]); rest.Requests > 0 || rest.Timed > 0 || rest.Paced > 0 {
			out[kind] = rest
		}
	}
	return out
}

// less is what of c is not in d. The times and paces that are left are taken to be like all
// of c's.
func (c Count) less(d Count) Count {
	rest := Count{
		Requests: max(c.Requests-d.Requests, 0), Bad: max(c.Bad-d.Bad, 0), Timed: max(c.Timed-d.Timed, 0),
		Paced: max(c.Paced-d.Paced, 0),
	}
	if rest.Timed > 0 {
		part := float64(rest.Timed) / float64(c.Timed)
		rest.LogSum, rest.LogSquares = part*c.LogSum, part*c.LogSquares
	}
	if rest.Paced > 0 {
		part := float64(rest.Paced) / float64(c.Paced)
		rest.PaceSum, rest.PaceSquares = part*c.PaceSum, part*c.PaceSquares
	}
	return rest
}

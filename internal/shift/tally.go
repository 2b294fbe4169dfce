package shift

// Tally sums the evidence of all daemons about one roll-out, including daemons that have
// ended.
//
// Each daemon keeps its evidence in memory only. When daemons restart one after the other,
// evidence of a bad version would be lost faster than it accumulates. The lease holder
// therefore keeps the last counts of every daemon, and stores their totals with the state of
// the roll-out for the next holder.
type Tally struct {
	orderID int64
	// last is the latest evidence by the daemon's incarnation.
	last map[string]Evidence
	// earlier has the totals added by Restore, without what the daemons in last had reported by
	// then.
	earlier Totals
}

// Totals are the counts of the new version and of the old one, summed over daemons.
type Totals struct {
	Fresh Counts `json:"fresh,omitempty"`
	Old   Counts `json:"old,omitempty"`
}

// NewTally returns an empty tally for an order ID.
func NewTally(order int64) *Tally { return &Tally{orderID: order, last: map[string]Evidence{}} }

// Update replaces the earlier evidence of the same daemon. It ignores evidence about another
// order.
func (t *Tally) Update(e Evidence) {
	if e.Order == t.orderID {
		t.last[e.From] = e
	}
}

// Totals returns the totals of all observations, without requests that wait.
func (t *Tally) Totals() Totals {
	sum := Totals{Fresh: Merge(t.earlier.Fresh), Old: Merge(t.earlier.Old)}
	for _, e := range t.last {
		sum.Fresh = Merge(sum.Fresh, e.Fresh.withoutWaiting())
		sum.Old = Merge(sum.Old, e.Old)
	}
	return sum
}

// Restore adds the totals that an earlier lease holder stored. It subtracts what daemons have
// reported to this tally, which is probably part of these totals: a few observations may be
// missed, but none counts twice.
func (t *Tally) Restore(stored Totals) {
	reported := t.Totals()
	t.earlier.Fresh = Merge(t.earlier.Fresh, stored.Fresh.minus(reported.Fresh))
	t.earlier.Old = Merge(t.earlier.Old, stored.Old.minus(reported.Old))
}

// Input returns the counts of the tally as input of a decision. Requests in flight, those that
// wait and sessions come from current, the evidence of the daemons that answered this time.
func (t *Tally) Input(current []Evidence) DecisionInput {
	totals := t.Totals()
	in := DecisionInput{Fresh: totals.Fresh, Old: totals.Old}
	for _, e := range current {
		if e.Order == t.orderID {
			in.OldInFlight += e.OldInFlight
			in.Held = union(in.Held, e.Held)
			in.Fresh = Merge(in.Fresh, e.Fresh.onlyWaiting())
		}
	}
	return in
}

// withoutWaiting returns c without the requests that wait, and onlyWaiting returns nothing but
// these.
func (c Counts) withoutWaiting() Counts {
	out := Counts{}
	for kind, one := range c {
		one.Waiting = nil
		out[kind] = one
	}
	return out
}

func (c Counts) onlyWaiting() Counts {
	out := Counts{}
	for kind, one := range c {
		if len(one.Waiting) > 0 {
			out[kind] = Count{Waiting: one.Waiting}
		}
	}
	return out
}

// minus returns what remains of c without d, kind by kind.
func (c Counts) minus(d Counts) Counts {
	out := Counts{}
	for kind, one := range c {
		if rest := one.minus(d[kind]); rest.Requests > 0 || len(rest.Latencies) > 0 || len(rest.Paces) > 0 {
			out[kind] = rest
		}
	}
	return out
}

// minus returns what remains of c without d.
func (c Count) minus(d Count) Count {
	return Count{
		Requests: max(c.Requests-d.Requests, 0), Bad: max(c.Bad-d.Bad, 0),
		Latencies: c.Latencies.minus(d.Latencies), Paces: c.Paces.minus(d.Paces),
	}
}

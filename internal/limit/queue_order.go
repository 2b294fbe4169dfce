package limit

import (
	"cmp"
	"slices"
)

// insert queues a ticket and returns its position.
//
// The virtual times of an organisation's tickets of one class and priority are a sequence in the
// order of their deadlines, returning ones first. A ticket that goes before others of its own
// organisation therefore delays none of another one, and an organisation gains nothing if many
// of its requests are refused and return.
func (q *Queue) insert(t *Ticket) int {
	org := t.work.Organisation
	t.start = max(q.virtualTime, q.lastFinish[org])
	t.virtualFinish = t.start + t.work.Cost
	q.lastFinish[org] = t.virtualFinish
	own := []*Ticket{t}
	for _, other := range q.waiting {
		if other.work.Organisation == org && t.compareUrgency(other) == 0 {
			own = append(own, other)
		}
	}
	if len(own) > 1 {
		resequence(own)
	}
	q.waiting = append(q.waiting, t)
	q.sort()
	return slices.Index(q.waiting, t)
}

// sort orders the tickets. With FairSlack, the order depends on the virtual time.
func (q *Queue) sort() {
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		c := cmp.Or(a.compareUrgency(b), cmp.Compare(q.lead(a), q.lead(b)))
		if c == 0 && q.options.FairSlack > 0 {
			c = a.compareWithin(b)
		}
		return c
	})
}

// lead returns by how much work a ticket's organisation would exceed its fair part with it.
func (q *Queue) lead(t *Ticket) float64 {
	if q.options.FairSlack == 0 {
		return t.virtualFinish
	}
	return max(t.virtualFinish-q.virtualTime-q.options.FairSlack*t.work.Cost, 0)
}

// advanceVirtualTime moves the virtual time forward for a ticket that is granted. With FairSlack,
// tickets are granted out of the order of their virtual times, so that it advances by the
// granted work's part of each organisation.
func (q *Queue) advanceVirtualTime(t *Ticket) {
	if q.options.FairSlack == 0 {
		q.virtualTime = max(q.virtualTime, t.start)
		return
	}
	active := map[string]struct{}{}
	for _, other := range q.waiting {
		active[other.work.Organisation] = struct{}{}
	}
	q.virtualTime += t.work.Cost / float64(max(len(active), 1))
}

// resequence assigns the virtual times of tickets of one organisation. Of equal ones, the one
// queued first stays first.
func resequence(own []*Ticket) {
	slices.SortStableFunc(own, func(a, b *Ticket) int { return cmp.Compare(a.start, b.start) })
	next := own[0].start
	slices.SortStableFunc(own, (*Ticket).compareWithin)
	for _, t := range own {
		t.start = next
		next += t.work.Cost
		t.virtualFinish = next
	}
}

// compareUrgency orders tickets by everything that goes before fairness.
func (t *Ticket) compareUrgency(other *Ticket) int {
	return cmp.Or(cmp.Compare(t.work.Class, other.work.Class), cmp.Compare(other.work.Priority, t.work.Priority))
}

// compareWithin orders tickets between which fairness does not decide.
func (t *Ticket) compareWithin(other *Ticket) int {
	switch {
	case t.work.Returning == other.work.Returning:
		return t.work.Deadline.Compare(other.work.Deadline)
	case t.work.Returning:
		return -1
	}
	return 1
}

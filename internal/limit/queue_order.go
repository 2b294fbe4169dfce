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
	slices.SortStableFunc(q.waiting, func(a, b *Ticket) int {
		return cmp.Or(a.compareUrgency(b), cmp.Compare(a.virtualFinish, b.virtualFinish))
	})
	return slices.Index(q.waiting, t)
}

// resequence assigns the virtual times of tickets of one organisation. Of equal ones, the one
// queued first stays first.
func resequence(own []*Ticket) {
	slices.SortStableFunc(own, func(a, b *Ticket) int { return cmp.Compare(a.start, b.start) })
	next := own[0].start
	slices.SortStableFunc(own, func(a, b *Ticket) int {
		if a.work.Returning != b.work.Returning {
			if a.work.Returning {
				return -1
			}
			return 1
		}
		return a.work.Deadline.Compare(b.work.Deadline)
	})
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

package inventory

import (
	"slices"
	"time"
)

const (
	// fragileTTL is how long a service counts as fragile after an instance has said so, if no answer
	// says otherwise.
	fragileTTL = 10 * time.Second
	// fragileNewsTime is how long after that other daemons are told.
	fragileNewsTime = 3 * time.Second
	// quotaTTL is how long a computed quota is used.
	quotaTTL = 500 * time.Millisecond
	// refusedPause is how long an instance of a fragile service that refused a request gets no other
	// one from this daemon. Its capacity is not what this daemon knows.
	refusedPause = 300 * time.Millisecond
)

// fragility is what is known of a service whose instances fail when they have to refuse too many
// requests.
type fragility struct {
	// saidAt is when an instance last said so to this daemon, and until is until when it counts.
	saidAt, until time.Time
}

// quota is the number of requests that this daemon may have open at an instance.
type quota struct {
	requests   int
	computedAt time.Time
	// reserved is the number of requests that are about to be sent.
	reserved int
	// pausedUntil is until when it is 0 because the instance refused a request.
	pausedUntil time.Time
}

// RankFunc returns the rank of this daemon among those that may send to an instance, counted from 0,
// and their number. The ranks of all daemons are different, and independent between instances.
type RankFunc func(instance string) (rank, daemons int)

// SetRanks sets the function that ranks this daemon.
func (t *Table) SetRanks(rankOf RankFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rankOf = rankOf
}

// NoteFragile records whether an answer to a request that was sent at the given time said that its
// service is fragile. It reports whether that has changed.
func (t *Table) NoteFragile(service string, fragile bool, sent time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	f, known := t.fragile[service]
	was := known && now.Before(f.until)
	switch {
	case fragile:
		t.fragile[service] = fragility{saidAt: now, until: now.Add(fragileTTL)}
	case was && sent.After(f.saidAt):
		delete(t.fragile, service)
	default:
		return false
	}
	return was != fragile
}

// MergeFragile records the services that are fragile as other daemons were told, and returns those
// that this daemon did not know.
func (t *Table) MergeFragile(services []string) (added []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, service := range services {
		f := t.fragile[service]
		if !now.Before(f.until) {
			added = append(added, service)
		}
		if until := now.Add(fragileNewsTime); until.After(f.until) {
			f.until = until
			t.fragile[service] = f
		}
	}
	return added
}

// FragileNews returns the services of which an instance has told this daemon recently that they are
// fragile. What other daemons were told is not passed on, so that it ends with the answers.
func (t *Table) FragileNews() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []string
	for service, f := range t.fragile {
		if !f.saidAt.IsZero() && now.Sub(f.saidAt) < fragileNewsTime {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// IsFragile reports whether the instances of a service fail when they have to refuse too many
// requests.
func (t *Table) IsFragile(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFragile(service, t.clock.Now())
}

// isFragile is IsFragile. The lock is held.
func (t *Table) isFragile(service string, now time.Time) bool {
	f, known := t.fragile[service]
	return known && now.Before(f.until)
}

// quotaOf returns how many requests this daemon may have open at an instance, if its service is
// fragile. The slots of the instance are divided between all daemons: what they send together then
// never exceeds them, however old their reports of its load are. The lock is held.
func (t *Table) quotaOf(e *entry, now time.Time) (requests int, limited bool) {
	if e.instance.Slots <= 0 || !t.isFragile(e.instance.Service, now) {
		return 0, false
	}
	if now.Before(e.quota.pausedUntil) {
		return 0, true
	}
	if q := &e.quota; now.Sub(q.computedAt) > quotaTTL || q.computedAt.IsZero() {
		rank, daemons := t.rankOf(e.instance.ID)
		q.requests, q.computedAt = shareOfSlots(e.instance.Slots, rank, daemons), now
	}
	return e.quota.requests, true
}

// shareOfSlots divides slots between daemons. The shares add up to slots.
func shareOfSlots(slots, rank, daemons int) int {
	daemons = max(daemons, 1)
	share := slots / daemons
	if rank < slots%daemons {
		share++
	}
	return share
}

// ReserveQuota reserves a request of at most limit at an instance until ReleaseQuota. It returns false
// if this daemon has as many there.
func (t *Table) ReserveQuota(i Instance, limit int) (ok bool) {
	t.withEntry(i, func(e *entry) {
		if ok = e.inFlight+e.quota.reserved < limit; ok {
			e.quota.reserved++
		}
	})
	return ok
}

// ReleaseQuota ends a reservation, whose request has begun or is not sent.
func (t *Table) ReleaseQuota(i Instance) {
	t.withEntry(i, func(e *entry) { e.quota.reserved = max(e.quota.reserved-1, 0) })
}

// NoteRefused records that an instance refused a request for want of capacity.
func (t *Table) NoteRefused(i Instance) {
	t.withEntry(i, func(e *entry) {
		e.quota.pausedUntil = t.clock.Now().Add(refusedPause)
	})
}

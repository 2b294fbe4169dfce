package inventory

import "time"

// Selection describes the instances of a service that Table.Sample returns.
type Selection struct {
	// Accept reports whether instances of a version may be used. unannounced is the value of
	// View.Unannounced for these instances. Accept is called with the table locked and must not
	// call its methods.
	Accept func(version string, unannounced bool) bool
	// First restricts the selection to that many of the accepted instances of each version, the
	// same ones at all daemons; 0 means no restriction.
	First int
	// Start is the position from which the sample is taken. Daemons that use the same value, such
	// as a hash of the prompt, get nearly the same instances.
	Start uint64
	// FailureDomain is the domain of which the sample contains localFraction, if there are that
	// many instances.
	FailureDomain string
	// Size is the number of instances to return.
	Size int
}

// localFraction is the part of a sample that is taken from the preferred failure domain.
const localFraction = 1.0 / 3

// Sample returns about s.Size instances of a service that may get new requests. If there are
// not many more, it returns all of them and complete is true. The cost depends on s.Size, not
// on the number of instances, unless most of them are backing off.
func (t *Table) Sample(service string, s Selection) (views []View, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	accepted, total := t.accepted(service, s, now)
	out := make([]View, 0, min(total, s.Size))
	for _, v := range accepted {
		first := v.first(s.First)
		if total <= s.Size {
			v.all.from(s.Start, first, func(e *entry) bool {
				out = t.appendView(out, e, now)
				return true
			})
			continue
		}
		out = t.sampleVersion(out, v, s, s.Size*first/total, now)
	}
	return out, total <= s.Size
}

// Count returns the number of instances of a service whose versions accept accepts.
func (t *Table) Count(service string, accept func(version string, unannounced bool) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, total := t.accepted(service, Selection{Accept: accept}, t.clock.Now())
	return total
}

// accepted returns the accepted versions and the number of their instances, restricted to
// s.First of each version. The lock is held.
func (t *Table) accepted(service string, s Selection, now time.Time) (versions []*versionIndex, total int) {
	for version, v := range t.index[service] {
		if s.Accept(version, t.isUnannounced(service, version, now)) {
			versions = append(versions, v)
			total += v.first(s.First)
		}
	}
	return versions, total
}

// first returns how many instances of the version are used if n are wanted; 0 means all.
func (v *versionIndex) first(n int) int {
	if n <= 0 {
		return len(v.all.entries)
	}
	return min(n, len(v.all.entries))
}

// sampleVersion appends up to size instances of a version, localFraction of them from the
// preferred failure domain. The lock is held.
func (t *Table) sampleVersion(out []View, v *versionIndex, s Selection, size int, now time.Time) []View {
	size = max(size, 1)
	end := len(out) + size
	local := v.domains[s.FailureDomain]
	if local != nil && s.First == 0 {
		localEnd := len(out) + int(localFraction*float64(size))
		local.from(s.Start, len(local.entries), func(e *entry) bool {
			if len(out) < localEnd {
				out = t.appendView(out, e, now)
			}
			return len(out) < localEnd
		})
	}
	v.all.from(s.Start, v.first(s.First), func(e *entry) bool {
		if s.First > 0 || e.instance.FailureDomain != s.FailureDomain {
			out = t.appendView(out, e, now)
		}
		return len(out) < end
	})
	return out
}

// appendView appends the view of an instance if it may get requests now. The lock is held.
func (t *Table) appendView(out []View, e *entry, now time.Time) []View {
	if t.evacuated[e.instance.FailureDomain] || e.budget.isBackingOff(now) {
		return out
	}
	return append(out, t.view(e, now))
}

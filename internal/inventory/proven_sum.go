package inventory

import (
	"cmp"
	"slices"
	"time"
)

// LossSum combines what daemons report of the answers of instances. It is not safe for concurrent
// use.
type LossSum struct{ reports map[string]lossReports }

type lossReports struct {
	// domain is set if the report sums up another failure domain.
	domain    bool
	instances []LossReport
	at        time.Time
}

// NewLossSum returns an empty sum.
func NewLossSum() *LossSum { return &LossSum{reports: map[string]lossReports{}} }

// Add replaces the last report of a daemon of the group.
func (s *LossSum) Add(daemon string, reports []LossReport, now time.Time) {
	s.reports[daemon] = lossReports{instances: reports, at: now}
}

// AddDomain replaces the last report of another failure domain.
func (s *LossSum) AddDomain(domain string, reports []LossReport, now time.Time) {
	s.reports["domain/"+domain] = lossReports{domain: true, instances: reports, at: now}
}

// Fleet returns what all daemons together know of at most n instances, those with the latest loss
// first.
func (s *LossSum) Fleet(now time.Time, n int) []LossReport { return s.total(now, n, true) }

// Group returns what the daemons of the group know, without other failure domains.
func (s *LossSum) Group(now time.Time, n int) []LossReport { return s.total(now, n, false) }

// lossTotal is the sum of the reports of one instance.
type lossTotal struct {
	// lostAt is the last loss known at all, and reportedAt the last within the group.
	lostAt, reportedAt time.Time
	sound              int
}

// total adds up the reports that are not older than fleetWorkTTL. A count of sound answers that
// began before the last loss is left out: its daemon does not know of the loss yet.
func (s *LossSum) total(now time.Time, n int, domains bool) []LossReport {
	totals := map[InstanceHash]*lossTotal{}
	s.each(now, func(r LossReport, at time.Time, domain bool) {
		sum := totals[r.Instance]
		if sum == nil {
			sum = &lossTotal{}
			totals[r.Instance] = sum
		}
		if !r.Lost {
			return
		}
		lostAt := at.Add(-r.LossAge)
		sum.lostAt = later(sum.lostAt, lostAt)
		if domains || !domain {
			sum.reportedAt = later(sum.reportedAt, lostAt)
		}
	})
	s.each(now, func(r LossReport, at time.Time, domain bool) {
		sum := totals[r.Instance]
		isCurrent := r.Counted != sum.lostAt.IsZero() && (!r.Counted || sum.lostAt.Sub(at.Add(-r.CountAge)) <= sameLoss)
		if isCurrent && (domains || !domain) {
			sum.sound += r.Sound
		}
	})
	out := make([]LossReport, 0, len(totals))
	for instance, sum := range totals {
		r := LossReport{Instance: instance, Lost: !sum.reportedAt.IsZero(), Counted: !sum.lostAt.IsZero(), Sound: sum.sound}
		if r.Lost {
			r.LossAge = now.Sub(sum.reportedAt)
		}
		if r.Counted {
			r.CountAge = now.Sub(sum.lostAt)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b LossReport) int {
		if a.Lost != b.Lost {
			if a.Lost {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.LossAge, b.LossAge), cmp.Compare(a.Instance, b.Instance))
	})
	return out[:min(n, len(out))]
}

// each calls f for each report that is recent enough, and drops the others.
func (s *LossSum) each(now time.Time, f func(r LossReport, at time.Time, domain bool)) {
	for source, reports := range s.reports {
		if now.Sub(reports.at) > fleetWorkTTL {
			delete(s.reports, source)
			continue
		}
		for _, r := range reports.instances {
			f(r, reports.at, reports.domain)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package capacity

import "time"

const (
	// reportTTL is how long the usage that a daemon reported is included. Daemons report once a
	// second, so two lost reports have no effect.
	reportTTL = 3 * time.Second
	// domainTTL is the same for the usage of a failure domain, which takes up to a second more.
	domainTTL = 4 * time.Second
)

// Sum adds up the usage that daemons of a group and other failure domains report. It is not safe
// for concurrent use.
type Sum struct {
	daemons, domains map[string]report
}

type report struct {
	usage Usage
	at    time.Time
}

// NewSum returns an empty sum.
func NewSum() *Sum { return &Sum{daemons: map[string]report{}, domains: map[string]report{}} }

// Add replaces the last report of a daemon of the group.
func (s *Sum) Add(incarnation string, u Usage, now time.Time) {
	s.daemons[incarnation] = report{usage: u, at: now}
}

// AddDomain replaces the last report of another failure domain.
func (s *Sum) AddDomain(domain string, u Usage, now time.Time) {
	s.domains[domain] = report{usage: u, at: now}
}

// Daemons returns the number of daemons of the group whose reports are included.
func (s *Sum) Daemons(now time.Time) int {
	n := 0
	for _, r := range s.daemons {
		if now.Sub(r.at) <= reportTTL {
			n++
		}
	}
	return n
}

// Group returns the usage of the daemons of the group.
func (s *Sum) Group(now time.Time) Usage {
	var out Usage
	addRecent(&out, s.daemons, reportTTL, now)
	return out.Bounded()
}

// Fleet returns the usage of the group and of the other failure domains.
func (s *Sum) Fleet(now time.Time) Usage {
	var out Usage
	addRecent(&out, s.daemons, reportTTL, now)
	addRecent(&out, s.domains, domainTTL, now)
	return out.Bounded()
}

// ForgetDomains drops the reports of other failure domains, whose daemons now report to this
// group.
func (s *Sum) ForgetDomains() { clear(s.domains) }

// addRecent adds the reports within ttl and removes older ones. After the clock has jumped back, a
// report counts as just received.
func addRecent(out *Usage, reports map[string]report, ttl time.Duration, now time.Time) {
	for from, r := range reports {
		if now.Before(r.at) {
			r.at = now
			reports[from] = r
		}
		age := now.Sub(r.at)
		if age > ttl {
			delete(reports, from)
			continue
		}
		u := r.usage
		u.Age += age
		out.Add(u)
	}
}

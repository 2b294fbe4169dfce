package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// Upstream is the state of a model engine or plain service as observed by this daemon.
type Upstream struct {
	Instance backing.Instance
	// Report is the latest load report. ReportedAt is the time at which its values were
	// measured.
	Report     upstream.LoadReport
	ReportedAt time.Time
	// InFlight counts the running attempts of this daemon at the upstream, and SentSince those
	// of them that started after ReportedAt, which the report does not include.
	InFlight  int
	SentSince int
	// Failures counts consecutive failures.
	Failures int
	// EjectedUntil is the end of the current or last ejection. ejections counts the ejections
	// since the last success.
	EjectedUntil time.Time
	ejections    int
	// leavingUntil is the time until which the upstream gets no new work, because it or
	// another source reported that it is leaving; see MarkLeaving.
	leavingUntil time.Time
	// listed is set if the platform's latest list contains the upstream.
	listed bool
	// sent has the start times of the running attempts, for SentSince.
	sent map[string]time.Time
}

// Serves reports whether the upstream has reported that a version is ready.
func (u Upstream) Serves(ref config.VersionRef) bool {
	return slices.ContainsFunc(u.Report.Versions, func(v upstream.VersionLoad) bool {
		return v.Ready && v.Model == ref.Model && v.Version == ref.Version
	})
}

// leavingRetention is how long an upstream counts as leaving after the last report that it is.
// It exceeds the lag of the platform's list, so that a stale list does not make the upstream
// usable again.
const leavingRetention = 5 * time.Minute

// maxEjection bounds the duration of an ejection, which doubles each time.
const maxEjection = time.Minute

// Upstreams is the table of upstreams.
//
// Lock order: policy is called while mu is held. It may take a lock of its own, but must not
// call methods of Upstreams. The dispatcher may hold the locks of a queue and its own when it
// calls these methods, so policy must not take those either.
type Upstreams struct {
	clock  clockwork.Clock
	policy func() config.UpstreamPolicy

	mu      sync.Mutex
	table   map[string]*Upstream
	changed chan struct{}
}

// NewUpstreams returns an empty table. policy returns the current policy.
func NewUpstreams(clock clockwork.Clock, policy func() config.UpstreamPolicy) *Upstreams {
	return &Upstreams{clock: clock, policy: policy, table: map[string]*Upstream{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when an upstream may have gained capacity.
func (t *Upstreams) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Upstreams) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// SetList replaces the platform's instance list. An upstream that is not listed is removed,
// unless attempts of this daemon still run at it; then a later call removes it.
func (t *Upstreams) SetList(instances []backing.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.table {
		u.listed = false
	}
	for _, i := range instances {
		if i.Role == backing.RoleEntry {
			continue
		}
		u, ok := t.table[i.ID]
		if !ok {
			u = &Upstream{sent: map[string]time.Time{}}
			t.table[i.ID] = u
		}
		u.Instance = i
		u.listed = true
		if i.State == backing.StateLeaving {
			u.leavingUntil = t.clock.Now().Add(leavingRetention)
		}
	}
	for id, u := range t.table {
		if !u.listed && u.InFlight == 0 {
			delete(t.table, id)
		}
	}
	t.notify()
}

// SetReport stores a load report that was requested at requestedAt.
func (t *Upstreams) SetReport(id string, report upstream.LoadReport, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.table[id]
	if !ok {
		return
	}
	u.Report = report
	u.ReportedAt = requestedAt.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	u.SentSince = 0
	for _, at := range u.sent {
		if at.After(u.ReportedAt) {
			u.SentSince++
		}
	}
	if report.Leaving {
		u.leavingUntil = t.clock.Now().Add(leavingRetention)
	}
	t.notify()
}

// MarkLeaving records that an upstream is leaving. A report of any source suffices: the
// platform's list lags, and until it shows the state the upstream would receive work that it
// must refuse or abort.
func (t *Upstreams) MarkLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.table[id]; ok {
		u.leavingUntil = t.clock.Now().Add(leavingRetention)
	}
}

// Leaving returns the sorted ids of upstreams that are known to be leaving.
func (t *Upstreams) Leaving() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []string
	for id, u := range t.table {
		if now.Before(u.leavingUntil) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Started records that an attempt is sent to an upstream.
func (t *Upstreams) Started(id, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.table[id]
	if !ok {
		return
	}
	u.InFlight++
	u.SentSince++
	u.sent[attempt] = t.clock.Now()
}

// Ended records the end of an attempt. A failed one counts towards ejection, any other resets
// the count.
func (t *Upstreams) Ended(id, attempt string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.table[id]
	if !ok {
		return
	}
	started, running := u.sent[attempt]
	if !running {
		return
	}
	delete(u.sent, attempt)
	u.InFlight--
	if started.After(u.ReportedAt) && u.SentSince > 0 {
		u.SentSince--
	}
	t.recordOutcome(u, failed)
	t.notify()
}

// Failed records a failure outside an attempt, such as a missing load report.
func (t *Upstreams) Failed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.table[id]; ok {
		t.recordOutcome(u, true)
	}
}

// recordOutcome counts consecutive failures and ejects an upstream after policy.EjectAfter of
// them. The duration doubles with each ejection up to maxEjection.
//
// The share of ejected upstreams is capped: if most of them fail, the cause is more likely the
// network, this daemon or an overload, and ejecting all would turn that into a full outage.
func (t *Upstreams) recordOutcome(u *Upstream, failed bool) {
	if !failed {
		u.Failures = 0
		u.ejections = 0
		return
	}
	policy := t.policy().WithDefaults()
	u.Failures++
	now := t.clock.Now()
	if u.Failures < policy.EjectAfter || now.Before(u.EjectedUntil) || !t.mayEject(policy, now) {
		return
	}
	ejection := time.Duration(policy.EjectMS) * time.Millisecond << min(u.ejections, 10)
	u.EjectedUntil = now.Add(min(ejection, maxEjection))
	u.ejections++
	u.Failures = policy.EjectAfter - 1 // one more failure after the ejection ejects it again
}

// mayEject reports whether one more ejection keeps the share of ejected upstreams within
// policy.MaxEjectedShare.
func (t *Upstreams) mayEject(policy config.UpstreamPolicy, now time.Time) bool {
	ejected := 1
	for _, u := range t.table {
		if now.Before(u.EjectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= policy.MaxEjectedShare*float64(len(t.table))
}

// Usable returns copies of the upstreams that may get new work, sorted by id: those that are
// listed, not leaving, not ejected and not in an evacuated failure domain.
func (t *Upstreams) Usable(role backing.InstanceRole) []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, evacuated := t.clock.Now(), t.policy().Evacuated
	var out []Upstream
	for _, u := range t.table {
		if _, isEvacuated := evacuated[u.Instance.FailureDomain]; isEvacuated {
			continue
		}
		if u.Instance.Role == role && u.listed && !now.Before(u.leavingUntil) && !now.Before(u.EjectedUntil) {
			out = append(out, u.copy())
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}

// All returns copies of all upstreams, sorted by id.
func (t *Upstreams) All() []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Upstream
	for _, u := range t.table {
		out = append(out, u.copy())
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}

func (u *Upstream) copy() Upstream {
	c := *u
	c.sent = nil
	return c
}

// IsLeaving reports whether the upstream is known to be leaving at time now.
func (u Upstream) IsLeaving(now time.Time) bool { return now.Before(u.leavingUntil) }

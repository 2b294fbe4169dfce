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

// Upstream is a model engine or plain service as this daemon sees it.
type Upstream struct {
	Instance backing.Instance
	// Report is the newest load report, and ReportedAt when its figures were
	// true.
	Report     upstream.LoadReport
	ReportedAt time.Time
	// InFlight counts this daemon's own running work.
	InFlight int
	// SentSince counts own work started after ReportedAt and still running.
	SentSince int
	// Failures counts failures in a row.
	Failures int
	// EjectedUntil is set while the upstream is out.
	EjectedUntil time.Time
	ejections    int
	// leavingUntil: nothing new until then, as somebody said that it leaves.
	leavingUntil time.Time
	listed       bool
	// sent has the start times of own running work, for SentSince.
	sent map[string]time.Time
}

// Serves reports whether the upstream has said that a version is ready.
func (u Upstream) Serves(ref config.VersionRef) bool {
	return slices.ContainsFunc(u.Report.Versions, func(v upstream.VersionLoad) bool {
		return v.Ready && v.Model == ref.Model && v.Version == ref.Version
	})
}

// leavingMemory is how long the news that an upstream leaves is kept after
// the last source that said so. It outlasts the lag of the platform's list, so
// that an old list does not bring the upstream back.
const leavingMemory = 5 * time.Minute

// maxEjectedTime bounds the growing time out.
const maxEjectedTime = time.Minute

// Upstreams is the table of upstreams.
//
// Lock order: mu is taken alone.
type Upstreams struct {
	clock  clockwork.Clock
	policy func() config.UpstreamPolicy

	mu      sync.Mutex
	table   map[string]*Upstream
	changed chan struct{}
}

// NewUpstreams returns an empty table. policy returns the policy in force.
func NewUpstreams(clock clockwork.Clock, policy func() config.UpstreamPolicy) *Upstreams {
	return &Upstreams{clock: clock, policy: policy, table: map[string]*Upstream{}, changed: make(chan struct{})}
}

// Changed returns a channel closed at the next change that can make room.
func (t *Upstreams) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Upstreams) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// SetList takes the platform's list. An upstream that left the list is
// dropped once nothing of this daemon runs on it.
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
			u.leavingUntil = t.clock.Now().Add(leavingMemory)
		}
	}
	for id, u := range t.table {
		if !u.listed && u.InFlight == 0 {
			delete(t.table, id)
		}
	}
	t.notify()
}

// SetReport takes a load report that was asked for at asked.
func (t *Upstreams) SetReport(id string, report upstream.LoadReport, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.table[id]
	if !ok {
		return
	}
	u.Report = report
	u.ReportedAt = asked.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	u.SentSince = 0
	for _, at := range u.sent {
		if at.After(u.ReportedAt) {
			u.SentSince++
		}
	}
	if report.Leaving {
		u.leavingUntil = t.clock.Now().Add(leavingMemory)
	}
	t.notify()
}

// MarkLeaving notes that an upstream leaves, whoever said so. The first word
// counts: the platform's list lags, and until it agrees the upstream would go
// on receiving work that it has to refuse or cut off.
func (t *Upstreams) MarkLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.table[id]; ok {
		u.leavingUntil = t.clock.Now().Add(leavingMemory)
	}
}

// Leaving returns the ids of upstreams known to leave.
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

// Started notes that an attempt was sent to an upstream.
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

// Ended notes the end of an attempt. failed counts towards ejection.
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
	t.judge(u, failed)
	t.notify()
}

// Failed notes a failure outside an attempt, such as a load report that did
// not come.
func (t *Upstreams) Failed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.table[id]; ok {
		t.judge(u, true)
	}
}

// judge counts failures and ejects an upstream for a growing time.
//
// The share of ejected upstreams is capped: when most fail, the cause is more
// likely the network, this daemon or an overload, and ejecting them all would
// turn that into a full outage.
func (t *Upstreams) judge(u *Upstream, failed bool) {
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
	pause := time.Duration(policy.EjectMS) * time.Millisecond << min(u.ejections, 10)
	u.EjectedUntil = now.Add(min(pause, maxEjectedTime))
	u.ejections++
	u.Failures = policy.EjectAfter - 1 // one more failure after the time out ejects again
}

func (t *Upstreams) mayEject(policy config.UpstreamPolicy, now time.Time) bool {
	out := 1
	for _, u := range t.table {
		if now.Before(u.EjectedUntil) {
			out++
		}
	}
	return float64(out) <= policy.MaxEjectedShare*float64(len(t.table))
}

// Usable returns copies of the upstreams that may get new work: listed, not
// leaving, not ejected, in no evacuated failure domain. Sorted by id.
func (t *Upstreams) Usable(role backing.InstanceRole) []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, evacuated := t.clock.Now(), t.policy().Evacuated
	var out []Upstream
	for _, u := range t.table {
		if _, empty := evacuated[u.Instance.FailureDomain]; empty {
			continue
		}
		if u.Instance.Role == role && u.listed && !now.Before(u.leavingUntil) && !now.Before(u.EjectedUntil) {
			out = append(out, u.copy())
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}

// All returns copies of every upstream, sorted by id.
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

// IsLeaving reports whether the upstream was known to leave at now.
func (u Upstream) IsLeaving(now time.Time) bool { return now.Before(u.leavingUntil) }

package backing

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

// Memory is an in-memory fake of all platform services, for tests and for the
// stand-in of the platform. It is safe for concurrent use. The zero value is not
// usable; use NewMemory.
type Memory struct {
	mu        sync.Mutex
	revision  int64
	rows      map[string]Row
	objects   map[string][]byte
	instances map[string]Instance
	ratings   []Rating
	judge     func(JudgeRequest) bool
	fault     func(FaultPoint) FaultAction
}

// FaultPoint describes the call that is passed to a fault hook.
type FaultPoint struct {
	// Op is "get", "list", "commit", "object", "instances" or "ratings".
	Op string
	// Txn is the transaction of a commit and nil for other calls.
	Txn *Txn
}

// FaultAction is the result of a fault hook: what happens to the call. Calls
// other than commits fail without effect on any action but FaultNone.
type FaultAction int

// Fault actions.
const (
	// FaultNone executes the call normally.
	FaultNone FaultAction = iota
	// FaultRefuse fails the call without effect.
	FaultRefuse
	// FaultLoseAnswer executes the commit but returns *UnknownOutcomeError.
	FaultLoseAnswer
	// FaultLoseRequest returns *UnknownOutcomeError without executing the
	// commit.
	FaultLoseRequest
)

// NewMemory returns a platform without rows, objects, instances and ratings. It
// accepts every answer.
func NewMemory() *Memory {
	return &Memory{
		rows:      map[string]Row{},
		objects:   map[string][]byte{},
		instances: map[string]Instance{},
		judge:     func(JudgeRequest) bool { return true },
	}
}

// SetFault installs a hook that is called before each platform call except
// Judge; nil removes it. The hook must not call Memory, whose lock is held.
func (m *Memory) SetFault(f func(FaultPoint) FaultAction) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetJudge installs the function that accepts or rejects answers in Judge.
func (m *Memory) SetJudge(f func(JudgeRequest) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.judge = f
}

// action returns the result of the fault hook, if there is one. The lock is held.
func (m *Memory) action(p FaultPoint) FaultAction {
	if m.fault == nil {
		return FaultNone
	}
	return m.fault(p)
}

var errRefused = trace.ConnectionProblem(nil, "platform refused the call")

// Get implements Table.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.action(FaultPoint{Op: "get"}) != FaultNone {
		return Row{}, trace.Wrap(errRefused)
	}
	row, ok := m.rows[key]
	if !ok {
		return Row{}, trace.NotFound("row %q not found", key)
	}
	return row, nil
}

// List implements Table.
func (m *Memory) List(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.action(FaultPoint{Op: "list"}) != FaultNone {
		return nil, trace.Wrap(errRefused)
	}
	var out []Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(out) == limit {
			break
		}
		out = append(out, m.rows[key])
	}
	return out, nil
}

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, txn Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.action(FaultPoint{Op: "commit", Txn: &txn}) {
	case FaultRefuse:
		return 0, trace.Wrap(errRefused)
	case FaultLoseRequest:
		return 0, &UnknownOutcomeError{Cause: errRefused}
	case FaultLoseAnswer:
		// The result is discarded: the caller must see neither a success nor a
		// failed check.
		_, _ = m.apply(txn)
		return 0, &UnknownOutcomeError{Cause: errRefused}
	}
	return m.apply(txn)
}

// apply executes a transaction. The lock is held.
func (m *Memory) apply(txn Txn) (int64, error) {
	for _, c := range txn.Checks {
		if m.rows[c.Key].Revision != c.Revision {
			return 0, trace.CompareFailed("row %q has revision %d, not %d", c.Key, m.rows[c.Key].Revision, c.Revision)
		}
	}
	m.revision++
	for _, p := range txn.Puts {
		m.rows[p.Key] = Row{Key: p.Key, Value: slices.Clone(p.Value), Revision: m.revision}
	}
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
	return m.revision, nil
}

// PutObject implements Objects.
func (m *Memory) PutObject(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.action(FaultPoint{Op: "object"}) != FaultNone {
		return trace.Wrap(errRefused)
	}
	m.objects[name] = slices.Clone(data)
	return nil
}

// GetObject implements Objects.
func (m *Memory) GetObject(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.action(FaultPoint{Op: "object"}) != FaultNone {
		return nil, trace.Wrap(errRefused)
	}
	data, ok := m.objects[name]
	if !ok {
		return nil, trace.NotFound("object %q not found", name)
	}
	return slices.Clone(data), nil
}

// ListInstances implements Instances.
func (m *Memory) ListInstances(context.Context) ([]Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.action(FaultPoint{Op: "instances"}) != FaultNone {
		return nil, trace.Wrap(errRefused)
	}
	out := slices.Collect(maps.Values(m.instances))
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

// PutInstance adds an instance to the list or replaces the one with its ID.
func (m *Memory) PutInstance(i Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[i.ID] = i
}

// RemoveInstance removes an instance from the list.
func (m *Memory) RemoveInstance(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.instances, id)
}

// ReadRatings implements Ratings.
func (m *Memory) ReadRatings(_ context.Context, after int64, limit int) ([]Rating, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.action(FaultPoint{Op: "ratings"}) != FaultNone {
		return nil, trace.Wrap(errRefused)
	}
	start := min(max(after, 0), int64(len(m.ratings)))
	end := min(start+int64(limit), int64(len(m.ratings)))
	return slices.Clone(m.ratings[start:end]), nil
}

// AddRating appends a rating to the feed with the next Seq.
func (m *Memory) AddRating(r Rating) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Seq = int64(len(m.ratings)) + 1
	m.ratings = append(m.ratings, r)
}

// Judge implements Ratings.
func (m *Memory) Judge(_ context.Context, req JudgeRequest) (Judgement, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Judgement{Accept: m.judge(req)}, nil
}

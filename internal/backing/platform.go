// Package backing is the boundary to the platform's services: the
// transactional table, the object store, the instance list, the ratings feed
// and the weight store. Each has a narrow interface; Memory is the fake
// beside them. The store is reached through the platform package, the list and
// the ratings through Client.
package backing

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Row is one table row.
type Row struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Revision is the store-wide commit number of the last write to the row.
	Revision int64 `json:"revision"`
}

// Check is a precondition of a transaction: the row at Key has Revision, or
// does not exist when Revision is 0.
type Check struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put writes Value at Key.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Txn is a transaction: if every check holds, all puts and deletes take
// effect at once.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service.
//
// Errors: trace.NotFound for an absent row, trace.CompareFailed for a check
// that does not hold, trace.ConnectionProblem when nothing took effect, and
// *UnknownOutcomeError when a write may or may not have taken effect.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose key has prefix and is greater than
	// after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit returns the revision given to the rows written.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the object store. Objects are immutable once written.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// InstanceRole tells what runs on an instance.
type InstanceRole string

// Roles of instances.
const (
	RoleEntry   InstanceRole = "entry"
	RoleEngine  InstanceRole = "engine"
	RoleService InstanceRole = "service"
)

// InstanceState is the platform's word on an instance.
type InstanceState string

// States of instances.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID   string       `json:"id"`
	Role InstanceRole `json:"role"`
	// Address is host:port: the peer listener of an entry instance, the HTTP
	// listener of an engine or a plain service.
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
	// Service is the name of the plain service, for RoleService.
	Service string `json:"service,omitempty"`
}

// Instances is the lagging list of live and leaving instances.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}

// Rating is the judgement on one answer.
type Rating struct {
	// Seq orders the feed and is the cursor for reading on.
	Seq       int64  `json:"seq"`
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Kind      string `json:"kind"`
	// Good tells whether the answer met the quality asked of its kind.
	Good bool `json:"good"`
}

// Judgement is the immediate verdict on an answer that has not been sent yet.
type Judgement struct {
	Accept bool `json:"accept"`
}

// JudgeRequest asks for a Judgement.
type JudgeRequest struct {
	RequestID string `json:"request_id"`
	Kind      string `json:"kind"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// Ratings is the service that rates answers.
type Ratings interface {
	// ReadRatings returns up to limit ratings with Seq greater than after.
	ReadRatings(ctx context.Context, after int64, limit int) ([]Rating, error)
	Judge(ctx context.Context, req JudgeRequest) (Judgement, error)
}

// Platform bundles the services, as one client usually serves them all.
type Platform interface {
	Table
	Objects
	Instances
	Ratings
}

// UnknownOutcomeError says that a write was sent and its answer was lost, so
// that it may have taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "outcome of the write is unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// IsUnavailable reports whether err says that the service could not be
// reached or did not answer, whatever became of the request.
func IsUnavailable(err error) bool {
	return trace.IsConnectionProblem(err) || IsUnknownOutcome(err) || trace.IsLimitExceeded(err)
}

// IsUnknownOutcome reports whether a write may have taken effect.
func IsUnknownOutcome(err error) bool {
	for err != nil {
		if _, ok := err.(*UnknownOutcomeError); ok {
			return true
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}

// PutJSON builds a Put of the JSON form of v. It panics when v cannot be
// encoded, which is a programming error.
func PutJSON(key string, v any) Put {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return Put{Key: key, Value: data}
}

// GetJSON reads the row at key into out and returns its revision. An absent
// row leaves out untouched and returns revision 0 and no error.
func GetJSON(ctx context.Context, t Table, key string, out any) (int64, error) {
	row, err := t.Get(ctx, key)
	if trace.IsNotFound(err) {
		return 0, nil
	}
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, trace.Wrap(err, "row %v", key)
	}
	return row.Revision, nil
}

// Interval returns how often each of n daemons may call the platform so that
// together they stay under perSecond calls, and never more often than floor.
func Interval(n int, perSecond float64, floor time.Duration) time.Duration {
	d := time.Duration(float64(n) / perSecond * float64(time.Second))
	return max(d, floor)
}

// Package backing defines the interfaces to the platform's services: the
// transactional table, the object store, the instance list and the service that
// rates answers. Memory fakes all of them. In production, the platform package
// implements the table and the object store, and Client the instance list and
// the ratings.
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

// Check is a precondition of a transaction: the row at Key must have Revision.
// A Revision of 0 requires that the row does not exist.
type Check struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Put writes Value at Key.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Txn is a transaction: if all checks hold, all puts and deletes take effect
// atomically; otherwise none does.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service.
//
// Errors: trace.NotFound for an absent row, trace.CompareFailed if a check does
// not hold, trace.ConnectionProblem if the call failed without effect, and
// *UnknownOutcomeError if a write may or may not have taken effect.
type Table interface {
	// Get returns the row at key.
	Get(ctx context.Context, key string) (Row, error)
	// List returns, in key order, up to limit rows whose keys start with prefix
	// and are greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes a transaction and returns the revision of the rows it wrote.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the object store. Objects are immutable once written.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// InstanceRole is the kind of server that runs on an instance.
type InstanceRole string

// Roles of instances.
const (
	// RoleEntry is a daemon of this project.
	RoleEntry InstanceRole = "entry"
	// RoleEngine is a model engine.
	RoleEngine InstanceRole = "engine"
	// RoleService is an HTTP service that is not a model engine, called a plain
	// service.
	RoleService InstanceRole = "service"
)

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of instances.
const (
	// StateLive is an instance in operation.
	StateLive InstanceState = "live"
	// StateLeaving is an instance that is about to stop.
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID   string       `json:"id"`
	Role InstanceRole `json:"role"`
	// Address is host:port: the peer listener if Role is RoleEntry, otherwise the
	// HTTP listener.
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	State         InstanceState `json:"state"`
	// Service is the name of the plain service. It is empty unless Role is
	// RoleService.
	Service string `json:"service,omitempty"`
}

// Instances is the platform's list of live and leaving instances. The list may
// lag behind the actual state.
type Instances interface {
	ListInstances(ctx context.Context) ([]Instance, error)
}

// Rating is the quality rating of one answer.
type Rating struct {
	// Seq orders the feed; see Ratings.ReadRatings.
	Seq       int64  `json:"seq"`
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Kind      string `json:"kind"`
	// Good is true if the answer met the quality required for its kind of request.
	Good bool `json:"good"`
}

// Judgement is the result of judging an answer before it is sent to the caller.
type Judgement struct {
	Accept bool `json:"accept"`
}

// JudgeRequest is a request for a Judgement of an answer.
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
	// Judge accepts or rejects an answer that has not been sent yet.
	Judge(ctx context.Context, req JudgeRequest) (Judgement, error)
}

// Platform combines all services, because one client usually implements all of
// them.
type Platform interface {
	Table
	Objects
	Instances
	Ratings
}

// UnknownOutcomeError is the error of a write that was sent but got no response,
// so it may or may not have taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "outcome of the write is unknown: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// IsUnavailable reports whether err means that the service could not be reached,
// did not respond or refused the call. The request may still have taken effect;
// see IsUnknownOutcome.
func IsUnavailable(err error) bool {
	return trace.IsConnectionProblem(err) || IsUnknownOutcome(err) || trace.IsLimitExceeded(err)
}

// IsUnknownOutcome reports whether err is or wraps an *UnknownOutcomeError, that
// is, whether a write may have taken effect.
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

// PutJSON returns a Put of the JSON encoding of v. It panics if v cannot be
// encoded, which is a programming error.
func PutJSON(key string, v any) Put {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return Put{Key: key, Value: data}
}

// GetJSON decodes the row at key into out and returns its revision. If the row is
// absent, it leaves out unchanged and returns revision 0 and no error.
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

// CallInterval returns the time between two calls of one daemon such that n
// daemons together make at most perSecond calls a second to the platform. The
// result is at least floor.
func CallInterval(n int, perSecond float64, floor time.Duration) time.Duration {
	d := time.Duration(float64(n) / perSecond * float64(time.Second))
	return max(d, floor)
}

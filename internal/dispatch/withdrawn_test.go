package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// withdrawal is the configuration, the billing and the engine of a request for a version that
// is withdrawn at a chosen point of its attempt.
type withdrawal struct {
	Billing
	EngineClient
	state config.VersionState
	// onBill runs while the bill is recorded, onStart while the attempt is being sent.
	onBill, onStart func()
	sent            int
}

var clauses = config.VersionRef{Model: "clauses", Version: "1"}

func (w *withdrawal) UsableSnapshot(context.Context) (*config.Snapshot, bool, error) {
	return config.NewSnapshot(1, config.Document{
		Models:        map[string]config.Model{"clauses": {Versions: map[string]config.Version{"1": {State: w.state}}}},
		Organisations: map[string]config.Organisation{"o": {Models: []string{"clauses"}}},
	}, nil), false, nil
}

func (w *withdrawal) Open(context.Context, ledger.Bill) error {
	w.onBill()
	return nil
}

func (w *withdrawal) Start(context.Context, string, upstream.Attempt) (*upstream.Stream, error) {
	w.sent++
	w.onStart()
	return nil, &upstream.RefusedError{}
}

func (w *withdrawal) withdraw() { w.state = config.Withdrawn }

// runAttempt runs one attempt of a request that was planned while the version served.
func (w *withdrawal) runAttempt(t *testing.T) attemptResult {
	clock := clockwork.NewRealClock()
	d := New(Deps{Clock: clock, ConfigSource: w, Billing: w, Engines: w, Upstreams: member.NewUpstreams(clock, func() config.UpstreamPolicy { return config.UpstreamPolicy{} })})
	e := d.newExecution(Request{ID: "r", Organisation: "o", Deadline: time.Now().Add(time.Minute)}, answer.New("r", "o", clock.Now()))
	return e.runAttempt(t.Context(), clauses, member.Upstream{Instance: backing.Instance{ID: "engine"}}, "attempt", nil)
}

// Guards against starting a request on a version that is withdrawn between its choice and its
// sending, while the bill is recorded.
func TestAttemptIsNotSentIfItsVersionIsWithdrawnBefore(t *testing.T) {
	w := &withdrawal{state: config.Serving, onStart: func() {}}
	w.onBill = w.withdraw
	result := w.runAttempt(t)
	require.True(t, fault.Is(result.err, fault.VersionWithdrawn))
	require.True(t, result.notRun)
	require.Zero(t, w.sent)
}

// An attempt that is on its way when the version is withdrawn was sent before, and arrives at the
// engine afterwards.
func TestAttemptOnItsWayIsNotRecalled(t *testing.T) {
	w := &withdrawal{state: config.Serving, onBill: func() {}}
	w.onStart = w.withdraw
	w.runAttempt(t)
	require.Equal(t, 1, w.sent)
}

package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
)

const rolloutService = "s"

// stateStore is a store that can refuse to write the states of roll-outs.
type stateStore struct {
	*platformtest.Store
	refuses atomic.Bool
}

func (s *stateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var txn struct {
		Puts []struct {
			Key string `json:"key"`
		} `json:"puts"`
	}
	// Calls without a body write nothing.
	_ = json.Unmarshal(body, &txn)
	for _, put := range txn.Puts {
		if s.refuses.Load() && put.Key == rolloutStatePrefix+rolloutService {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	s.Handler().ServeHTTP(w, r)
}

// state returns the stored state of the roll-out.
func (s *stateStore) state(t *testing.T) shift.State {
	var state shift.State
	require.NoError(t, json.Unmarshal(s.Value("hornbeamsill", rolloutStatePrefix+rolloutService), &state))
	return state
}

// newRegressedRollout returns a daemon that holds the duty of a roll-out whose new version has
// already shown too many bad answers, the store, and a function that processes the roll-out.
func newRegressedRollout(t *testing.T) (n *Node, store *stateStore, process func()) {
	store = &stateStore{Store: platformtest.NewStore()}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	clock := clockwork.NewFakeClock()
	n = newTestNode(clock, func(r *settings.Routes) { r.Platform = server.Listener.Addr().String() })
	order := shift.Order{ID: 7, Service: rolloutService, To: "v2", Allowed: time.Minute}
	n.addOrder(order, "store")
	process = func() {
		clock.Advance(time.Millisecond)
		// Other calls are answered, so that the next call goes directly to the store.
		n.storeHealth.record(clock.Now(), clock.Now(), nil)
		for _, active := range n.rollouts.Unfinished() {
			n.duties.process(context.Background(), active)
		}
	}
	process()
	clock.Advance(2 * time.Second)
	process()
	require.Equal(t, shift.Running, store.state(t).Phase)
	for range 60 {
		n.rollouts.Observe(rolloutService, shift.Observation{Version: "v1"})
		n.rollouts.Observe(rolloutService, shift.Observation{Version: "v2", Bad: true})
	}
	return n, store, process
}

// Guards against reporting a rollback to the operator while the stored state still says that
// the version is being rolled out: after a restart of all daemons the roll-out would continue.
func TestRollbackIsStoredBeforeItIsReported(t *testing.T) {
	_, store, process := newRegressedRollout(t)
	store.refuses.Store(true)
	for range 3 {
		process()
		require.Equal(t, "running", store.RolloutState(rolloutService))
	}
	store.refuses.Store(false)
	process()
	require.Equal(t, "rolled_back", store.RolloutState(rolloutService))
	require.Equal(t, shift.RolledBack, store.state(t).Phase)
}

// Guards against a state that is never stored because its phase has already been reported to
// the operator.
func TestStateIsStoredAfterTheOperatorWasInformed(t *testing.T) {
	n, store, process := newRegressedRollout(t)
	n.duties.byService[rolloutService].reportedPhase = shift.RolledBack
	store.refuses.Store(true)
	process()
	store.refuses.Store(false)
	process()
	state := store.state(t)
	require.Equal(t, shift.RolledBack, state.Phase)
	require.True(t, state.Told)
}

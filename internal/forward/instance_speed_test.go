package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

func newSpeedHandler(mode overload.Mode, engines int) *Handler {
	clock := clockwork.NewFakeClock()
	h := newModelHandler(clock, engines, plentyOfRetries(clock))
	h.Overload = overload.NewPolicy(overload.Settings{InstanceSpeed: mode}, false, h.Table)
	h.DaemonCount = func() int { return 2 }
	return h
}

// newPromptRequest returns a request whose prompt is shared with others.
func newPromptRequest(h *Handler, prompt string) *request {
	q := newModelRequest(h)
	q.model, q.service.KVCapacity = "large", 100_000
	q.headers.TokensIn, q.headers.Prompt = 9000, []PromptPart{{ID: prompt, Tokens: 8000}, {ID: "own", Tokens: 1000}}
	return q
}

// attemptAt runs an attempt at an instance that takes the given multiple of the expected time.
func attemptAt(t *testing.T, q *request, id string, multiple float64) {
	t.Helper()
	instance, ok := q.Table.Get(id)
	require.True(t, ok)
	a, _ := q.newAttempt(t.Context(), instance, place.Candidate{ID: id, Slots: 16, Prefill: 9000})
	took := multiple * 0.03
	if q.service.Engine {
		took = multiple * a.expectedFirstEvent.Seconds()
	}
	a.sentAt = time.Now().Add(-time.Duration(took * float64(time.Second)))
	a.noteHead()
	a.end(inventory.OutcomeSuccess)
}

// Guards against a change of placement where the part does not apply, although instances report
// their slowdown and one is slow.
func TestPlacementIsUnchangedWithoutInstanceSpeed(t *testing.T) {
	h := newSpeedHandler(overload.Off, 8)
	for i := range 20 {
		attemptAt(t, newPromptRequest(h, "a"), fmt.Sprint("engine-", i%8), 6)
	}
	slow, _ := h.Table.Get("engine-3")
	h.Table.ReportLoad(slow, inventory.Load{Slots: 16, Slowdown: 6})
	for i := range 50 {
		q := newPromptRequest(h, fmt.Sprint("prompt-", i))
		want, _ := place.LowestCost(q.candidates(), q.placementKey(), nil)
		got, _, ok := q.chooseInstance()
		require.True(t, ok)
		require.Equal(t, want.ID, got.ID)
		require.Zero(t, got.Tokens)
	}
	require.Zero(t, h.Table.Usable("engines")[0].OwnTokens)
	require.Zero(t, h.Table.Usable("engines")[0].Speed)
}

// Guards against requests that go to a slow engine although others are free, and to a slow plain
// server.
func TestSlowInstanceGetsLess(t *testing.T) {
	for _, engine := range []bool{true, false} {
		h := newSpeedHandler(overload.On, 4)
		request := func(i int) *request {
			if engine {
				return newPromptRequest(h, fmt.Sprint("prompt-", i))
			}
			q := newModelRequest(h)
			q.r = httptest.NewRequest(http.MethodGet, "/read", nil)
			q.route = &catalog.Route{Name: "read", Kind: catalog.Safe, MaxAttempts: 2, Objective: 150 * time.Millisecond}
			q.service, q.headers = &catalog.Service{Name: "engines"}, RequestHeaders{}
			return q
		}
		for i := range 80 {
			multiple := 1.0
			if i%4 == 3 {
				multiple = 6
			}
			attemptAt(t, request(i), fmt.Sprint("engine-", i%4), multiple)
		}
		require.Greater(t, h.Table.Usable("engines")[3].Speed.Mean, 2.5)
		got := map[string]int{}
		for i := range 100 {
			picked, _, ok := request(1000 + i).chooseInstance()
			require.True(t, ok)
			got[picked.ID]++
		}
		require.Less(t, got["engine-3"], 10, "engine: %v", engine)
		require.Greater(t, min(got["engine-0"], got["engine-1"], got["engine-2"]), 10, "engine: %v, %v", engine, got)
	}
}

// Guards against memory of a request that is not counted while it runs, or still after its end.
func TestMemoryOfARequestIsCountedWhileItRuns(t *testing.T) {
	h := newSpeedHandler(overload.On, 2)
	q := newPromptRequest(h, "a")
	instance, _ := h.Table.Get("engine-0")
	a, _ := q.newAttempt(t.Context(), instance, place.Candidate{})
	require.Equal(t, 9025.0, h.Table.Usable("engines")[0].OwnTokens)
	for range 12 {
		h.Table.HoldTokens(instance, 8000)
	}
	for i := range 50 {
		picked, _, _ := newPromptRequest(h, fmt.Sprint("prompt-", i)).chooseInstance()
		require.Equal(t, "engine-1", picked.ID, "engine-0 has no memory left")
	}
	a.end(inventory.OutcomeNone)
	require.Equal(t, 96_000.0, h.Table.Usable("engines")[0].OwnTokens)
}

package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// Guards against incomplete events being passed on, and against a stream that was cut inside
// an event being taken for complete. A server may stop at any byte.
func TestEventReaderAtEveryCut(t *testing.T) {
	text := "id: 1\ndata: a\n\nweights: 2\nid: 2\r\ndata: b\r\n\r\n: note\n\n"
	whole := []string{"1", "2", ""}
	for cut := range len(text) + 1 {
		s := newEventReader(strings.NewReader(text[:cut]))
		var got bytes.Buffer
		n := 0
		for {
			e, err := s.next()
			if err != nil {
				atEnd := got.Len() == cut
				require.Equal(t, atEnd, errors.Is(err, io.EOF), "cut at %d: %v", cut, err)
				break
			}
			require.Equal(t, whole[n], e.id)
			n++
			got.Write(e.bytes)
		}
		require.True(t, strings.HasPrefix(text, got.String()))
	}
}

// Guards against an event without an end, which would use up the daemon's memory.
func TestTooLongEventIsAnError(t *testing.T) {
	s := newEventReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n"))
	_, err := s.next()
	require.ErrorIs(t, err, errEventTooLong)
}

// FuzzEvents reads arbitrary streams. The bytes of the events must be the start of the stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newEventReader(bytes.NewReader(data))
		var got []byte
		for {
			e, err := s.next()
			if err != nil {
				break
			}
			got = append(got, e.bytes...)
		}
		if !bytes.HasPrefix(data, got) {
			t.Fatalf("%q is not the start of %q", got, data)
		}
	})
}

// Guards against holding back a version as unannounced although its order is known. Its
// servers are listed, the order arrives and the first share opens, all within a second. The
// sessions of that share would begin on the old version and change versions with their next
// request.
func TestOrderedVersionIsUsedAtOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := inventory.NewTable(clock)
	old := inventory.Instance{ID: "old", Service: "engines", Version: "v1"}
	list := inventory.Snapshot{Revision: 1, Instances: []inventory.Instance{old}}
	table.Replace(list, time.Time{})
	list.Revision++
	list.Instances = append(list.Instances, inventory.Instance{ID: "new", Service: "engines", Version: "v2"})
	table.Replace(list, time.Time{})
	tracker := shift.NewTracker(clock, time.Second, shift.ExposureLimit{Share: 1}, func(string, func(string) bool) int { return 0 })
	h := New(Deps{Table: table, Versions: tracker})
	first := func() string {
		q := &request{Handler: h, service: &catalog.Service{Name: "engines"}, headers: RequestHeaders{Session: "thread"}}
		return q.candidates()[0].ID
	}
	require.Equal(t, "old", first(), "not announced")
	tracker.AddOrder(shift.Order{ID: 1, Service: "engines", To: "v2", Allowed: time.Minute})
	require.Equal(t, "old", first(), "announced, but without a share")
	tracker.ApplyState(shift.State{Order: 1, Service: "engines", To: "v2", Phase: shift.Running, Share: 1, Step: 1})
	require.Equal(t, "new", first())
}

// Guards against overloading the canary instances of a new version when all sessions move to
// it. Before that, part of the sessions use two of its 20 instances, which read nearly all
// prompts. If these were announced as the only ones with the prefixes cached, all daemons
// would send them everything, and callers would wait there until their deadline while 18
// engines are idle. Only what is sent to the version later is announced.
func TestCanaryPromptsAreNotAnnounced(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := inventory.NewTable(clock)
	list := inventory.Snapshot{Revision: 1}
	for i := range 20 {
		list.Instances = append(list.Instances, inventory.Instance{ID: fmt.Sprint("new-", i), Service: "engines", Version: "v2"})
	}
	table.Replace(list, time.Time{})
	tracker := shift.NewTracker(clock, time.Second, shift.ExposureLimit{Share: 1}, func(string, func(string) bool) int { return 0 })
	tracker.AddOrder(shift.Order{ID: 1, Service: "engines", To: "v2", Allowed: time.Minute})
	prompts := inventory.NewPrefixIndex(clock)
	h := New(Deps{Table: table, Versions: tracker, Prompts: prompts})
	send := func(session int) {
		q := &request{
			Handler: h, route: &catalog.Route{}, service: &catalog.Service{Name: "engines"}, tried: map[string]bool{},
			headers: RequestHeaders{Session: fmt.Sprint(session), TokensIn: 9000, Prompt: []PromptPart{{ID: "subject", Tokens: 8000}, {ID: "own", Tokens: 1000}}},
		}
		picked, instance, ok := q.chooseInstance()
		require.True(t, ok)
		a, _ := q.newAttempt(context.Background(), instance, picked)
		a.end(inventory.OutcomeNone)
	}
	tracker.ApplyState(shift.State{Order: 1, Service: "engines", To: "v2", Phase: shift.Running, Share: 0.1, Step: 1})
	for session := range 50 {
		send(session)
	}
	require.Empty(t, prompts.TakePending())
	tracker.ApplyState(shift.State{Order: 1, Service: "engines", To: "v2", Phase: shift.Running, Share: 1, Step: 2})
	send(0)
	require.Len(t, prompts.TakePending(), 1)
}

// noQuarantine is a Quarantine that refuses no request.
type noQuarantine struct{}

func (noQuarantine) Refused(*quarantine.Suspect) (e quarantine.Entry, refused bool) { return e, false }
func (noQuarantine) Enter(context.Context, *quarantine.Suspect) func()              { return func() {} }
func (noQuarantine) Holds(*quarantine.Suspect) bool                                 { return false }
func (noQuarantine) Answering(*quarantine.Suspect) func()                           { return func() {} }
func (noQuarantine) Finished(*quarantine.Suspect)                                   {}
func (noQuarantine) Abandoned(inventory.Instance, quarantine.Suspect)               {}
func (noQuarantine) InstanceEnded(inventory.Instance) bool                          { return false }
func (noQuarantine) CheckAfterAnswer(context.Context, inventory.Instance, *quarantine.Suspect, time.Duration) SignOfLife {
	return SignOfLife{Liveness: upconn.Alive}
}
func (noQuarantine) ConnectionBroken(inventory.Instance, quarantine.Suspect) <-chan struct{} {
	return nil
}

// Guards against retries when no instance is left that may get the request. They would fail at
// once and use up the retry budget within a millisecond, and failed requests of other callers
// would not be repeated.
func TestNoCandidateTakesNoRetryBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	retries := limit.NewFleetRetryBudget(limit.FleetRetryPolicy{Slack: 6, Window: time.Minute}, clock, func() int { return 1 })
	tracker := shift.NewTracker(clock, time.Second, shift.ExposureLimit{Share: 1}, func(string, func(string) bool) int { return 0 })
	h := New(Deps{Table: inventory.NewTable(clock), Versions: tracker, Retries: retries, Quarantine: noQuarantine{}})
	q := &request{
		Handler: h, route: &catalog.Route{Kind: catalog.Safe, MaxAttempts: 3}, service: &catalog.Service{Name: "plain"},
		tried: map[string]bool{}, r: httptest.NewRequest(http.MethodGet, "/one", nil), ran: fault.RanNo, deadline: time.Now().Add(time.Minute),
	}
	_, err := q.startAttempt(context.Background(), 0)
	require.True(t, fault.Is(err, fault.NoUpstream))
	require.False(t, q.mayRetry(context.Background(), err))
	for range 5 {
		require.True(t, retries.Take("plain"))
	}
}

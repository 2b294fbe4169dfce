package answer

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

var now = time.Unix(1_800_000_000, 0)

// A caller reads an answer from any offset, before its end, after its end, and
// after it was handed over to another daemon. The events must be identical, or a
// resumed stream would repeat or lose text.
func TestEventsAreIdenticalAfterEndAndHandover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deltas := rapid.SliceOfN(rapid.String(), 1, 20).Draw(t, "deltas")
		clock := clockwork.NewFakeClockAt(now)
		store := NewStore(clock, Limits{Retention: time.Minute, Bytes: 1 << 20})
		a := store.Create("r", "o")
		for _, d := range deltas {
			a.Append(Event{Delta: d}, now)
		}
		after := rapid.IntRange(-1, len(deltas)).Draw(t, "after")
		before := a.View(after).Events
		a.Append(Event{FinishReason: "stop", Usage: &upstream.Usage{TotalTokens: 3}}, now)
		other := NewStore(clock, Limits{Retention: time.Minute, Bytes: 1 << 20})
		other.Import(store.Export(1 << 20))
		moved, _ := other.Get("r")
		for _, x := range []*Answer{a, moved} {
			view := x.View(after)
			if !view.Done || len(view.Events) < len(before) {
				t.Fatalf("%d events, %d before the end", len(view.Events), len(before))
			}
			for i, e := range before {
				if view.Events[i] != e {
					t.Fatalf("event %d is %+v, was %+v", i, view.Events[i], e)
				}
			}
			whole := x.View(-1).Events
			if last := whole[len(whole)-1]; last.FinishReason != "stop" || last.Usage.TotalTokens != 3 {
				t.Fatalf("last event %+v", last)
			}
		}
	})
}

// Ended answers would fill the memory. The sweep must remove those over the
// memory limit, oldest first, and those past their retention. It must keep
// running ones.
func TestSweepEnforcesLimits(t *testing.T) {
	clock := clockwork.NewFakeClockAt(now)
	store := NewStore(clock, Limits{Retention: time.Minute, Bytes: 3 * answerOverheadBytes})
	for _, id := range []string{"1", "2", "3", "4"} {
		clock.Advance(time.Second)
		store.Create(id, "o").Fail(fault.New(fault.Internal, "x"), clock.Now())
	}
	store.Create("running", "o")
	store.Sweep()
	_, oldest := store.Get("1")
	_, newest := store.Get("4")
	require.False(t, oldest)
	require.True(t, newest)
	clock.Advance(2 * time.Minute)
	store.Sweep()
	_, newest = store.Get("4")
	require.False(t, newest)
	require.Equal(t, 1, store.Running())
}

// A reader that waits must be woken by the head, by each event, and by the end;
// otherwise its stream would stall. No event may follow the end.
func TestWaitReturnsOnEveryChange(t *testing.T) {
	a := New("r", "o", now)
	got := make(chan View, 1)
	wait := func(after int, haveHead bool) View {
		go func() {
			v, _ := a.Wait(context.Background(), after, haveHead)
			got <- v
		}()
		return <-got
	}
	a.Start(Head{Session: "s"})
	require.Equal(t, "s", wait(-1, false).Head.Session)
	a.Append(Event{Delta: "x"}, now)
	require.Len(t, wait(-1, true).Events, 1)
	a.Fail(fault.New(fault.AnswerCut, "cut").WithRan(fault.RanUnknown), now)
	v := wait(0, true)
	require.True(t, v.Done)
	require.Equal(t, "r", v.Err.RequestID)
	a.Append(Event{Delta: "late"}, now)
	require.Len(t, a.View(-1).Events, 1, "no event follows the end")
}

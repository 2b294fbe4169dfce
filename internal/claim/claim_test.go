package claim

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

var clock = clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))

func incarnation(n int) string { return fmt.Sprintf("%026d", n) }

// Guards against a key that gets a home although its prefix has not the full form.
func TestParseHome(t *testing.T) {
	home, ok := ParseHome(Prefix(incarnation(1), clock.Now()) + ".own.key")
	require.True(t, ok)
	require.Equal(t, Home{Incarnation: incarnation(1), Issued: clock.Now().Local()}, home)
	for _, value := range []string{"", "plain", "a.b", "a-b.c", incarnation(1) + "-!.x", incarnation(1) + ".x"} {
		_, ok := ParseHome(value)
		require.False(t, ok, value)
	}
}

// A client repeats a key after the key's entry has expired. The daemon no longer
// knows whether a request with the key ran, and must reject it.
func TestExpiredKeyIsRejected(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(incarnation(1), clock, 0)
	home := Home{Incarnation: incarnation(1), Issued: clock.Now()}
	key := Key{Organisation: "o", Value: "k"}
	require.Equal(t, Granted, table.Begin(key, home, "d", "r1").Outcome)
	clock.Advance(Lifetime + LifetimeMargin + time.Second)
	table.Expire()
	require.Zero(t, table.Len())
	require.Equal(t, Expired, table.Begin(key, home, "d", "r2").Outcome)
	require.Equal(t, Expired, table.Take(key, home, "d", incarnation(2)).Outcome)
}

// lossyNetwork is a set of daemons whose requests and responses may be lost, and
// whose requests may arrive after the sender has stopped waiting.
type lossyNetwork struct {
	t      *rapid.T
	tables []*Table
	// delayed are requests whose sender has stopped waiting and that are
	// delivered later.
	delayed []func()
}

// lossyTaker is the KeyTaker of the daemon with index from.
type lossyTaker struct {
	*lossyNetwork
	from int
}

func (l lossyTaker) Take(_ context.Context, to string, key Key, home Home, digest string) (Result, error) {
	target := slices.IndexFunc(l.tables, func(t *Table) bool { return t.self == to })
	take := func() Result { return l.tables[target].Take(key, home, digest, l.tables[l.from].self) }
	lost := fault.New(fault.KeyUnsettled, "lost").WithRan(fault.RanUnknown)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lose request", "lose response", "delay request"}).Draw(l.t, "fate") {
	case "lose request":
		return Result{}, lost
	case "lose response":
		take()
		return Result{}, lost
	case "delay request":
		l.delayed = append(l.delayed, func() { take() })
		return Result{}, lost
	}
	return take(), nil
}

// Clients repeatedly send one key to any of the daemons, while requests and
// responses between the daemons are lost or delayed and requests that did not
// run release the key. The key must run at most once, and a request may be
// reported as a duplicate only after the key has run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &lossyNetwork{t: t}
		for i := range 4 {
			n.tables = append(n.tables, NewTable(incarnation(i), clock, 0))
		}
		store := backing.NewMemory()
		key := Key{Organisation: "o", Value: Prefix(incarnation(0), clock.Now()) + ".x"}
		if rapid.Bool().Draw(t, "without prefix") {
			key.Value = "plain"
		}
		runs := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(n.delayed) > 0 && rapid.Bool().Draw(t, "deliver") {
				n.delayed[0]()
				n.delayed = n.delayed[1:]
			}
			at := rapid.IntRange(0, 3).Draw(t, "at")
			id := fmt.Sprintf("r%d", i)
			r := NewResolver(n.tables[at].self, n.tables[at], store, lossyTaker{n, at}, clock)
			decision, err := r.Resolve(context.Background(), key, "d", id)
			switch {
			case err != nil:
			case !decision.Run:
				if runs != 1 {
					t.Fatalf("known as %s although it ran %d times", decision.RequestID, runs)
				}
			case rapid.Bool().Draw(t, "not run after all"):
				r.Release(key, id)
			default:
				runs++
			}
			if runs > 1 {
				t.Fatalf("ran %d times", runs)
			}
		}
	})
}

// The store fails during the insert that assigns a home to a key, and during the
// read after it. The request must be rejected as not run. Once the store is
// available again, the key runs once.
func TestStoreFailureWhileAssigningHome(t *testing.T) {
	store := backing.NewMemory()
	table := NewTable(incarnation(1), clock, 0)
	r := NewResolver(incarnation(1), table, store, nil, clock)
	key := Key{Organisation: "o", Value: "plain"}
	for _, action := range []backing.FaultAction{backing.FaultRefuse, backing.FaultLoseRequest, backing.FaultLoseAnswer} {
		lost := false
		store.SetFault(func(p backing.FaultPoint) backing.FaultAction {
			if p.Op == "commit" {
				lost = true
				return action
			}
			if lost {
				return backing.FaultRefuse
			}
			return backing.FaultNone
		})
		_, err := r.Resolve(context.Background(), key, "d", "r1")
		require.True(t, fault.Is(err, fault.StoreUnavailable))
		require.Equal(t, fault.RanNo, fault.From(err).Ran)
	}
	store.SetFault(nil)
	decision, err := r.Resolve(context.Background(), key, "d", "r2")
	require.NoError(t, err)
	require.True(t, decision.Run)
	_, err = r.Resolve(context.Background(), key, "other", "r3")
	require.True(t, fault.Is(err, fault.KeyReused))
}

// Without a sweep, the stored table grows with every key without a prefix. The
// sweep must delete expired rows and keep those of keys that may still be used.
func TestSweepRows(t *testing.T) {
	store := backing.NewMemory()
	clock := clockwork.NewFakeClock()
	r := NewResolver(incarnation(1), NewTable(incarnation(1), clock, 0), store, nil, clock)
	resolve := func(value string) {
		_, err := r.Resolve(context.Background(), Key{Organisation: "o", Value: value}, "d", value)
		require.NoError(t, err)
	}
	resolve("old")
	clock.Advance(Lifetime + 2*LifetimeMargin + time.Second)
	resolve("new")
	next, deleted, err := SweepRows(context.Background(), store, "", clock.Now())
	require.NoError(t, err)
	require.Empty(t, next)
	require.Equal(t, 1, deleted)
	rows, err := store.List(context.Background(), rowPrefix, "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
}

// Guards against granting a key a second time after a planned stop. The stopping daemon has
// asked another one for the key and does not know the answer yet, or holds a tombstone behind
// such a request. Its successor must know of both.
func TestSuccessorGrantsNoKeyThatWasBeingRequested(t *testing.T) {
	clock := clockwork.NewFakeClock()
	stopping, successor := NewTable(incarnation(1), clock, 0), NewTable(incarnation(2), clock, 0)
	elsewhere := Home{Incarnation: incarnation(3), Issued: clock.Now()}
	asked := Key{Organisation: "o", Value: "asked"}
	require.Equal(t, Redirect, stopping.Begin(asked, elsewhere, "d", "r1").Outcome)
	own := Home{Incarnation: incarnation(1), Issued: clock.Now()}
	moved := Key{Organisation: "o", Value: "moved"}
	require.Equal(t, Granted, stopping.Take(moved, own, "d", incarnation(4)).Outcome)
	require.Equal(t, Redirect, stopping.Begin(moved, own, "d", "r2").Outcome)

	successor.Import(stopping.Export())
	require.Equal(t, Duplicate, successor.Take(asked, elsewhere, "d", incarnation(5)).Outcome)
	result := successor.Take(moved, own, "d", incarnation(5))
	require.Equal(t, Redirect, result.Outcome)
	require.Equal(t, incarnation(4), result.MovedTo)
}

// Guards against callers with ever new keys, each of which is kept for hours, that use up the memory.
func TestFullTableAcceptsNoNewKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	own, elsewhere := Home{Incarnation: incarnation(1), Issued: clock.Now()}, Home{Incarnation: incarnation(2), Issued: clock.Now()}
	key := func(n int) Key {
		return Key{Organisation: "o", Value: fmt.Sprint(Prefix(own.Incarnation, own.Issued), ".", n)}
	}
	const keys = 10
	table := NewTable(incarnation(1), clock, keys*sizeOf(key(0), Entry{Digest: "d", RequestID: "r"}))
	for n := range keys {
		require.Equal(t, Granted, table.Begin(key(n), own, "d", "r").Outcome)
	}
	require.Equal(t, Full, table.Begin(key(keys), own, "d", "r").Outcome)
	require.Equal(t, Full, table.Take(key(keys), own, "d", incarnation(2)).Outcome)
	require.Equal(t, Busy, table.Begin(key(keys), elsewhere, "d", "r").Outcome)
	require.EqualValues(t, 3, table.Refused.Load())
	_, err := NewResolver(incarnation(1), table, backing.NewMemory(), nil, clock).Resolve(t.Context(), key(keys), "d", "r")
	require.True(t, fault.Is(err, fault.NoCapacity))
	require.Equal(t, fault.RanNo, fault.From(err).Ran)
	// Keys that are known are still answered.
	require.Equal(t, Duplicate, table.Begin(key(0), own, "d", "r2").Outcome)
	table.Release(key(0), "r")
	require.Equal(t, Granted, table.Begin(key(keys), own, "d", "r").Outcome)
	clock.Advance(Lifetime + 2*LifetimeMargin + time.Second)
	table.Expire()
	require.Zero(t, table.bytes)
}

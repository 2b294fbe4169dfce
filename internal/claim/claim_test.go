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

func TestParseHome(t *testing.T) {
	home, ok := ParseHome(Prefix(incarnation(1), clock.Now()) + ".own.key")
	require.True(t, ok)
	require.Equal(t, Home{Incarnation: incarnation(1), Issued: clock.Now().Local()}, home)
	for _, value := range []string{"", "plain", "a.b", "a-b.c", incarnation(1) + "-!.x", incarnation(1) + ".x"} {
		_, ok := ParseHome(value)
		require.False(t, ok, value)
	}
}

// A client repeats a key after more than its life. The daemon no longer knows
// whether it ran, and must not run it again.
func TestOldKeyNeverRuns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(incarnation(1), clock)
	home := Home{Incarnation: incarnation(1), Issued: clock.Now()}
	key := Key{Organisation: "o", Value: "k"}
	require.Equal(t, Granted, table.Begin(key, home, "d", "r1").Outcome)
	clock.Advance(Lifetime + Slack + time.Second)
	table.Expire()
	require.Zero(t, table.Len())
	require.Equal(t, Expired, table.Begin(key, home, "d", "r2").Outcome)
	require.Equal(t, Expired, table.Take(key, home, "d", incarnation(2)).Outcome)
}

// network is a set of daemons whose messages may be lost, on the way out or
// back, or handled long after the asker gave up.
type network struct {
	t      *rapid.T
	tables []*Table
	// late are questions that arrive after their asker gave up.
	late []func()
}

type link struct {
	*network
	from int
}

func (l link) Take(_ context.Context, to string, key Key, home Home, digest string) (Result, error) {
	target := slices.IndexFunc(l.tables, func(t *Table) bool { return t.self == to })
	ask := func() Result { return l.tables[target].Take(key, home, digest, l.tables[l.from].self) }
	gone := fault.New(fault.KeyUnsettled, "lost").WithRan(fault.RanUnknown)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lose question", "lose answer", "late question"}).Draw(l.t, "fate") {
	case "lose question":
		return Result{}, gone
	case "lose answer":
		ask()
		return Result{}, gone
	case "late question":
		l.late = append(l.late, func() { ask() })
		return Result{}, gone
	}
	return ask(), nil
}

// Clients send one key to any daemons, again and again, while messages between
// the daemons are lost, answered in vain, or handled late, and requests that
// were not run give the key back. Whatever the order, the key runs at most
// once, and who ran it is found again.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{t: t}
		for i := range 4 {
			n.tables = append(n.tables, NewTable(incarnation(i), clock))
		}
		store := backing.NewMemory()
		key := Key{Organisation: "o", Value: Prefix(incarnation(0), clock.Now()) + ".x"}
		if rapid.Bool().Draw(t, "without prefix") {
			key.Value = "plain"
		}
		runs := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(n.late) > 0 && rapid.Bool().Draw(t, "deliver") {
				n.late[0]()
				n.late = n.late[1:]
			}
			at := rapid.IntRange(0, 3).Draw(t, "at")
			id := fmt.Sprintf("r%d", i)
			r := NewResolver(n.tables[at].self, n.tables[at], store, link{n, at}, clock)
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

// The store does not answer the write that gives a key its home, or the read
// after it. The request is refused as not run; when the store is back the key
// runs once.
func TestLostAnswersOfTheStore(t *testing.T) {
	store := backing.NewMemory()
	table := NewTable(incarnation(1), clock)
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

// The table would grow with every key without a prefix. Old ones are deleted,
// those that may still be used are not.
func TestSweepRows(t *testing.T) {
	store := backing.NewMemory()
	clock := clockwork.NewFakeClock()
	r := NewResolver(incarnation(1), NewTable(incarnation(1), clock), store, nil, clock)
	resolve := func(value string) {
		_, err := r.Resolve(context.Background(), Key{Organisation: "o", Value: value}, "d", value)
		require.NoError(t, err)
	}
	resolve("old")
	clock.Advance(Lifetime + 2*Slack + time.Second)
	resolve("new")
	next, deleted, err := SweepRows(context.Background(), store, "", clock.Now())
	require.NoError(t, err)
	require.Empty(t, next)
	require.Equal(t, 1, deleted)
	rows, err := store.List(context.Background(), rowPrefix, "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
}

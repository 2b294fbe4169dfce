package evacuation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func evacuatedDomains(b *Book) []string {
	var out []string
	for _, o := range b.InForce() {
		out = append(out, o.FailureDomain)
	}
	return out
}

// Guards against late news that brings back an evacuation which has been lifted.
func TestOldOrderDoesNotRestoreALiftedEvacuation(t *testing.T) {
	b := NewBook(clockwork.NewFakeClock())
	require.Len(t, b.Learn([]Order{{FailureDomain: "hall-b", Revision: 74}}), 1)
	require.Len(t, b.Learn([]Order{{FailureDomain: "hall-b", Revision: 105, Lifted: true}}), 1)
	require.Empty(t, b.Learn([]Order{{FailureDomain: "hall-b", Revision: 74}}))
	require.Empty(t, evacuatedDomains(b))
}

// Guards against an evacuation that stays in force because its end was in a part of the
// store's history that is gone.
func TestReplaceLiftsOlderEvacuationsThatAreNotListed(t *testing.T) {
	b := NewBook(clockwork.NewFakeClock())
	b.Learn([]Order{{FailureDomain: "hall-a", Revision: 10}, {FailureDomain: "hall-b", Revision: 20}, {FailureDomain: "hall-c", Revision: 50}})
	news := b.Replace([]Order{{FailureDomain: "hall-b", Revision: 20}}, 40)
	require.Equal(t, []Order{{FailureDomain: "hall-a", Revision: 40, Lifted: true}}, news)
	require.Equal(t, []string{"hall-b", "hall-c"}, evacuatedDomains(b), "hall-c is newer than what was read")
}

// Guards against a daemon that serves before it knows which failure domains are evacuated.
func TestSingleOrdersDoNotMakeTheStateKnown(t *testing.T) {
	b := NewBook(clockwork.NewFakeClock())
	b.Learn([]Order{{FailureDomain: "hall-a", Revision: 10}})
	require.False(t, b.Known())
	require.Zero(t, b.Sum())
	b.LearnAll(nil)
	require.True(t, b.Known())
	require.NotZero(t, b.Sum())
}

// Guards against daemons that hold different evacuations for the same: whatever the order
// and number of the messages, equal sums mean equal evacuations, and all come to the newest.
func TestOrdersConvergeInAnySequence(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var log []Order
		for revision := range int64(12) {
			domain := string(rune('a' + random.IntN(3)))
			log = append(log, Order{FailureDomain: domain, Revision: revision + 1, Lifted: random.IntN(2) == 0})
		}
		first := NewBook(clockwork.NewFakeClock())
		first.LearnAll(log)
		second := NewBook(clockwork.NewFakeClock())
		second.LearnAll(nil)
		for _, i := range random.Perm(len(log)) {
			second.Learn(log[i : i+1])
			require.Equal(t, equalInForce(first, second), first.Sum() == second.Sum())
		}
		require.Equal(t, first.Sum(), second.Sum())
		require.Equal(t, evacuatedDomains(first), evacuatedDomains(second))
	}
}

func equalInForce(a, b *Book) bool {
	x, y := a.InForce(), b.InForce()
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].FailureDomain != y[i].FailureDomain || x[i].Revision != y[i].Revision {
			return false
		}
	}
	return true
}

// An operator is told for how long a failure domain has been evacuated, also by a daemon
// that heard of it from another one.
func TestAgeIncludesTheSendersAge(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first, second := NewBook(clock), NewBook(clock)
	first.Learn([]Order{{FailureDomain: "hall-a", Revision: 10}})
	clock.Advance(3 * time.Second)
	second.LearnAll(first.Orders())
	clock.Advance(time.Second)
	require.Equal(t, 4*time.Second, second.InForce()[0].Age)
}

// Guards against an older copy of the store that ends an evacuation, or brings one back.
func TestStaleCopyDoesNotOverrideKnownOrders(t *testing.T) {
	b := NewBook(clockwork.NewFakeClock())
	b.Learn([]Order{{FailureDomain: "a", Revision: 30}, {FailureDomain: "b", Revision: 20}, {FailureDomain: "b", Revision: 31, Lifted: true}})
	news := b.Confirm([]Order{{FailureDomain: "b", Revision: 1020}, {FailureDomain: "c", Revision: 1010}})
	require.Len(t, news, 1)
	require.Equal(t, "c", news[0].FailureDomain)
	require.Equal(t, []string{"a", "c"}, domains(b.InForce()))
	b.Learn([]Order{{FailureDomain: "b", Revision: 1040}})
	require.Equal(t, []string{"a", "b", "c"}, domains(b.InForce()))
	b.Replace([]Order{{FailureDomain: "c", Revision: 1010}, {FailureDomain: "b", Revision: 1040}}, 1050)
	require.Equal(t, []string{"b", "c"}, domains(b.InForce()))
}

func domains(orders []Order) []string {
	var out []string
	for _, o := range orders {
		out = append(out, o.FailureDomain)
	}
	return out
}

package evacuation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func evacuatedDomains(b *Registry) []string {
	var out []string
	for _, o := range b.InForce() {
		out = append(out, o.FailureDomain)
	}
	return out
}

// Guards against a delayed message that restores an evacuation after it was lifted.
func TestOldOrderDoesNotRestoreALiftedEvacuation(t *testing.T) {
	b := NewRegistry(clockwork.NewFakeClock())
	require.Len(t, b.Merge([]Order{{FailureDomain: "hall-b", Revision: 74}}), 1)
	require.Len(t, b.Merge([]Order{{FailureDomain: "hall-b", Revision: 105, Lifted: true}}), 1)
	require.Empty(t, b.Merge([]Order{{FailureDomain: "hall-b", Revision: 74}}))
	require.Empty(t, evacuatedDomains(b))
}

// Guards against an evacuation that stays in force because its end is in a part of the store's
// history that is no longer available.
func TestReplaceLiftsOlderEvacuationsThatAreNotListed(t *testing.T) {
	b := NewRegistry(clockwork.NewFakeClock())
	b.Merge([]Order{{FailureDomain: "hall-a", Revision: 10}, {FailureDomain: "hall-b", Revision: 20}, {FailureDomain: "hall-c", Revision: 50}})
	changed := b.Replace([]Order{{FailureDomain: "hall-b", Revision: 20}}, 40)
	require.Equal(t, []Order{{FailureDomain: "hall-a", Revision: 40, Lifted: true}}, changed)
	require.Equal(t, []string{"hall-b", "hall-c"}, evacuatedDomains(b), "hall-c is newer than what was read")
}

// Guards against a daemon that serves before it knows which failure domains are evacuated.
func TestSingleOrdersDoNotMakeTheRegistryLoaded(t *testing.T) {
	b := NewRegistry(clockwork.NewFakeClock())
	b.Merge([]Order{{FailureDomain: "hall-a", Revision: 10}})
	require.False(t, b.Loaded())
	require.Zero(t, b.Checksum())
	b.MergeAll(nil)
	require.True(t, b.Loaded())
	require.NotZero(t, b.Checksum())
}

// Guards against daemons whose checksums are equal although their evacuations differ. For any
// sequence and number of messages, equal checksums must mean equal evacuations, and all
// daemons must reach the newest state.
func TestOrdersConvergeInAnySequence(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var log []Order
		for revision := range int64(12) {
			domain := string(rune('a' + random.IntN(3)))
			log = append(log, Order{FailureDomain: domain, Revision: revision + 1, Lifted: random.IntN(2) == 0})
		}
		first := NewRegistry(clockwork.NewFakeClock())
		first.MergeAll(log)
		second := NewRegistry(clockwork.NewFakeClock())
		second.MergeAll(nil)
		for _, i := range random.Perm(len(log)) {
			second.Merge(log[i : i+1])
			require.Equal(t, equalInForce(first, second), first.Checksum() == second.Checksum())
		}
		require.Equal(t, first.Checksum(), second.Checksum())
		require.Equal(t, evacuatedDomains(first), evacuatedDomains(second))
	}
}

func equalInForce(a, b *Registry) bool {
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

// An operator sees for how long a failure domain has been evacuated. The time must include the
// age at which another daemon passed the order on.
func TestAgeIncludesTheSendersAge(t *testing.T) {
	clock := clockwork.NewFakeClock()
	first, second := NewRegistry(clock), NewRegistry(clock)
	first.Merge([]Order{{FailureDomain: "hall-a", Revision: 10}})
	clock.Advance(3 * time.Second)
	second.MergeAll(first.Orders())
	clock.Advance(time.Second)
	require.Equal(t, 4*time.Second, second.InForce()[0].Age)
}

// Guards against a store restored from an older backup that lifts a known evacuation or puts a
// lifted one in force again.
func TestStaleCopyDoesNotOverrideKnownOrders(t *testing.T) {
	b := NewRegistry(clockwork.NewFakeClock())
	b.Merge([]Order{{FailureDomain: "a", Revision: 30}, {FailureDomain: "b", Revision: 20}, {FailureDomain: "b", Revision: 31, Lifted: true}})
	changed := b.MergeStale([]Order{{FailureDomain: "b", Revision: 1020}, {FailureDomain: "c", Revision: 1010}})
	require.Len(t, changed, 1)
	require.Equal(t, "c", changed[0].FailureDomain)
	require.Equal(t, []string{"a", "c"}, domains(b.InForce()))
	b.Merge([]Order{{FailureDomain: "b", Revision: 1040}})
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

package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const sampleSize = 192

// domains are the failure domains of fleetTable.
var domains = []string{"a", "b", "c", "d", "e", "f"}

// fleetTable returns a table with n instances of version v1, spread over domains.
func fleetTable(clock clockwork.Clock, n int) *Table {
	t := NewTable(clock)
	list := Snapshot{Revision: 1}
	for i := range n {
		list.Instances = append(list.Instances, Instance{
			ID: fmt.Sprint("i-", i), Service: "engines", Version: "v1", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 16,
			FailureDomain: domains[i%len(domains)],
		})
	}
	t.Replace(list, time.Time{})
	return t
}

func anyVersion(string, bool) bool { return true }

// A service with few instances is returned whole, one with many only in part, and the same part
// to all that ask from the same position.
func TestSampleIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	small, complete := fleetTable(clock, 150).Sample("engines", Selection{Accept: anyVersion, Size: sampleSize})
	require.True(t, complete)
	require.Len(t, small, 150)

	table := fleetTable(clock, 10_000)
	selection := Selection{Accept: anyVersion, Size: sampleSize, Start: 1 << 63, FailureDomain: "c"}
	first, complete := table.Sample("engines", selection)
	require.False(t, complete)
	require.Len(t, first, sampleSize)
	local := 0
	for _, v := range first {
		if v.Instance.FailureDomain == "c" {
			local++
		}
	}
	require.Equal(t, sampleSize/3, local)
	again, _ := table.Sample("engines", selection)
	require.Equal(t, ids(first), ids(again))
}

// An instance that leaves must not move the sample of most positions, or all prompts would have
// to be read again by other instances.
func TestSampleChangesLittleWithTheList(t *testing.T) {
	table := fleetTable(clockwork.NewFakeClock(), 2000)
	selection := Selection{Accept: anyVersion, Size: sampleSize, Start: 1 << 62, FailureDomain: "a"}
	before, _ := table.Sample("engines", selection)
	gone := before[0].Instance
	table.Apply([]Change{{ID: gone.ID}}, 2, time.Time{})
	after, _ := table.Sample("engines", selection)
	known := map[string]bool{}
	for _, v := range before {
		known[v.Instance.ID] = true
	}
	fresh := 0
	for _, v := range after {
		require.NotEqual(t, gone.ID, v.Instance.ID)
		if !known[v.Instance.ID] {
			fresh++
		}
	}
	require.Equal(t, 1, fresh)
}

// First restricts every sample to the same instances.
func TestSampleOfTheFirstInstances(t *testing.T) {
	table := fleetTable(clockwork.NewFakeClock(), 2000)
	used := map[string]bool{}
	for i := range 50 {
		views, complete := table.Sample("engines", Selection{Accept: anyVersion, First: 40, Start: uint64(i) << 58, Size: sampleSize})
		require.True(t, complete)
		for _, v := range views {
			used[v.Instance.ID] = true
		}
	}
	require.Len(t, used, 40)
}

// Guards against an index that differs from the list: instances leave, come back with another
// version, failure domain or incarnation, and expire, and each sample must contain exactly those
// that may serve.
func TestSampleFollowsTheList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := fleetTable(clock, 100)
	all := func() map[string]string {
		out := map[string]string{}
		for _, v := range table.Usable("engines") {
			out[v.Instance.ID] = v.Instance.Version + v.Instance.FailureDomain
		}
		return out
	}
	change := func(i Instance, revision int64) {
		table.Apply([]Change{{ID: i.ID, Instance: &i}}, revision, time.Time{})
	}
	i := table.Usable("engines")[0].Instance
	i.Version, i.FailureDomain = "v2", "z"
	change(i, 2)
	require.Equal(t, "v2z", all()[i.ID])
	require.Len(t, all(), 100)

	i.Leaving = true
	change(i, 3)
	require.NotContains(t, all(), i.ID)

	i.Leaving, i.Born, i.Address = false, 7, "10.9.9.9:80"
	change(i, 4)
	require.Contains(t, all(), i.ID)
	require.True(t, table.HasAddress("10.9.9.9:80"))

	table.NoteLeaving(i.Incarnation())
	require.NotContains(t, all(), i.ID)

	table.Apply([]Change{{ID: i.ID}}, 5, time.Time{})
	require.False(t, table.HasAddress("10.9.9.9:80"))
	table.Expire()
	_, known := table.Get(i.ID)
	require.False(t, known)
	require.Len(t, all(), 99)
}

// The cost of a placement must not grow with the number of instances.
func BenchmarkSample(b *testing.B) {
	for _, n := range []int{145, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := fleetTable(clockwork.NewRealClock(), n)
			table.Usable("engines")
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Sample("engines", Selection{Accept: anyVersion, Size: sampleSize, Start: uint64(i) << 40, FailureDomain: "a"})
			}
		})
	}
}

// Guards against placements whose cost grows with the number of instances: a sample of a fleet
// of ten thousand must not allocate more than twice as much as one of 145.
func TestSampleAllocatesNoMoreInALargeFleet(t *testing.T) {
	bytes := func(n int) int64 {
		table := fleetTable(clockwork.NewRealClock(), n)
		return testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				table.Sample("engines", Selection{Accept: anyVersion, Size: sampleSize, Start: uint64(i) << 40, FailureDomain: "a"})
			}
		}).AllocedBytesPerOp()
	}
	require.LessOrEqual(t, bytes(10_000), 2*bytes(145))
}

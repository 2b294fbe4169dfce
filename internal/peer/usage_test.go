package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
)

// usageOf returns the usage of services by daemons, with every tenth organisation refused.
func usageOf(daemons, services, organisations int) capacity.Usage {
	u := capacity.Usage{Daemons: daemons, Age: 150 * time.Millisecond, Services: map[capacity.Key]capacity.ServiceUsage{}}
	for i := range services {
		s := capacity.ServiceUsage{Completed: 12.5, Requests: 100, Waiting: 7, Organisations: map[capacity.Key]capacity.Load{}}
		for j := range organisations {
			l := capacity.Load{Demand: 0.5 + float64(j)}
			if j%10 == 0 {
				l.Refused = 0.25
			}
			s.Organisations[capacity.KeyOf(fmt.Sprint("org-", j))] = l
		}
		u.Services[capacity.KeyOf(fmt.Sprint("service-", i))] = s
	}
	return u
}

// Guards against usage that changes on its way, and against part of a truncated message that is
// taken for a lack of demand.
func TestPackUsageRoundTrip(t *testing.T) {
	u := usageOf(70, 6, 24)
	packed := PackUsage(u)
	got, err := UnpackUsage(packed)
	require.NoError(t, err)
	require.Equal(t, u, got, "all rates are encodable exactly")
	for n := range packed {
		_, err := UnpackUsage(packed[:n])
		require.Error(t, err, "cut after %d bytes", n)
	}
	_, err = UnpackUsage(append([]byte{usageFormat + 1}, packed[1:]...))
	require.Error(t, err)
	key := capacity.KeyOf("s")
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e-40, 1e300, math.MaxFloat64} {
		bad := capacity.Usage{Daemons: 1, Services: map[capacity.Key]capacity.ServiceUsage{key: {Completed: rate, Organisations: map[capacity.Key]capacity.Load{}}}}
		got, err := UnpackUsage(PackUsage(bad))
		require.NoError(t, err)
		require.True(t, got.Services[key].Completed >= 0 && got.Services[key].Completed <= 2*maxRate, "%v", rate)
	}
}

// Guards against a damaged message that makes a daemon panic or yields figures that are not numbers.
func TestDamagedUsageIsHarmless(t *testing.T) {
	whole := PackUsage(usageOf(3, 2, 4))
	for i := range whole {
		for value := range 256 {
			packed := slices.Clone(whole)
			packed[i] = byte(value)
			u, _ := UnpackUsage(packed)
			require.LessOrEqual(t, len(u.Services), capacity.MaxServices)
			for _, s := range u.Services {
				require.Less(t, s.Total().Demand+s.Completed+s.Waiting, 1e12)
			}
		}
	}
}

// Guards against fields that a daemon of an older build cannot ignore, or whose lack makes a
// message of one unreadable.
func TestWorkOfOlderBuildIsReadable(t *testing.T) {
	type fleetWork struct{ Amounts, Readings []byte }
	type daemonWork struct {
		Incarnation       string
		Amounts, Readings []byte
	}
	transfer := func(from, to any) {
		var b bytes.Buffer
		require.NoError(t, gob.NewEncoder(&b).Encode(from))
		require.NoError(t, gob.NewDecoder(&b).Decode(to))
	}
	var old fleetWork
	transfer(FleetWork{Amounts: []byte{1}, Usage: []byte{2}, WantUsage: true}, &old)
	require.Equal(t, fleetWork{Amounts: []byte{1}}, old)
	var asked FleetWork
	transfer(fleetWork{Amounts: []byte{1}}, &asked)
	require.Equal(t, FleetWork{Amounts: []byte{1}}, asked)
	var reply DaemonWork
	transfer(daemonWork{Incarnation: "a", Amounts: []byte{1}}, &reply)
	require.Equal(t, DaemonWork{Incarnation: "a", Amounts: []byte{1}}, reply)
}

// BenchmarkUsageBytes reports the bytes that usage adds to the messages of a daemon in one second,
// and the time to sum and encode them at a reader. Each daemon has requests of 24 organisations at
// 6 services. A fleet of more than 32 daemons has a reader in each of six failure domains.
func BenchmarkUsageBytes(b *testing.B) {
	const domains = 6
	for _, daemons := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			var report, message, between []byte
			now := time.Unix(0, 0)
			for b.Loop() {
				sum := capacity.NewSum()
				report = PackUsage(usageOf(1, 6, 24))
				for i := range daemons / domains {
					u, err := UnpackUsage(report)
					require.NoError(b, err)
					sum.Add(fmt.Sprint(i), u, now)
				}
				between = PackUsage(sum.Group(now))
				for i := range domains - 1 {
					u, err := UnpackUsage(between)
					require.NoError(b, err)
					sum.AddDomain(fmt.Sprint(i), u, now)
				}
				message = PackUsage(sum.Fleet(now))
			}
			perDaemon := len(report) + len(message)
			b.ReportMetric(float64(perDaemon), "B/daemon/s")
			b.ReportMetric(float64(daemons/domains*perDaemon+2*(domains-1)*len(between)), "B/reader/s")
		})
	}
}

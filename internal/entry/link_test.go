package entry

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// The load of the test: 80 daemons in 4 failure domains and 140 engines, with 430 prompts per
// second for 20 seconds to random engines, each with one of 600 subjects and one of 4 shared
// prefixes.
const (
	linkDomains          = 4
	linkDaemonsPerDomain = 20
	linkEngines          = 140
	linkPromptsPerSecond = 430
	linkSubjects         = 600
	linkSharedPrefixes   = 4
	linkDuration         = 20
	linkBitsPerSecond    = 10_000_000
)

// linkRoundInterval is the interval between two rounds of work updates for that many engines.
var linkRoundInterval = workRoundInterval(linkEngines)

// testDomain is the daemons of one failure domain; the first one is the reader.
type testDomain struct {
	nodes []*Node
	// sent is the number of bytes that the reader has sent.
	sent int
}

func newTestDomain(clock clockwork.Clock, domain string, engines []inventory.Instance) *testDomain {
	d := &testDomain{}
	for i := range linkDaemonsPerDomain {
		n := newTestNode(clock, func(r *settings.Routes) {
			r.FailureDomain, r.PeerListen = domain, fmt.Sprint(domain, ".", i, ":1")
		})
		n.table.Replace(inventory.Snapshot{Revision: 5, Instances: engines}, time.Time{})
		d.nodes = append(d.nodes, n)
	}
	return d
}

// round runs one round of the reader and counts the bytes it sends in gob encoding. It returns
// the update for the readers of other domains.
func (d *testDomain) round(t *testing.T) peer.DomainWork {
	t.Helper()
	reader := d.nodes[0]
	now := reader.clock.Now()
	reader.workTotals.add(reader.ownWork(), now)
	work, prefixes := reader.workTotals.fleetWork(now, prefixesIn(linkRoundInterval))
	update := peer.FleetWork{Amounts: peer.PackWork(work), Readings: peer.PackPrefixes(prefixes)}
	for _, n := range d.nodes[1:] {
		d.sent += frameSize(t, update)
		reader.workTotals.add(n.OnFleetWork(update), now)
	}
	work, prefixes = reader.workTotals.groupWork(now, prefixesIn(linkRoundInterval))
	return peer.DomainWork{Amounts: peer.PackWork(work), Readings: peer.PackPrefixes(prefixes)}
}

// frameSize returns the size of v as net/rpc sends it on a connection that has already sent
// the type.
func frameSize(t *testing.T, v any) int {
	t.Helper()
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	require.NoError(t, enc.Encode(v))
	types := out.Len()
	require.NoError(t, enc.Encode(v))
	return out.Len() - types
}

// sendPrompt records that a daemon sent a random prompt to an engine.
func (n *Node) sendPrompt(random *rand.Rand, to inventory.Instance) {
	common := random.IntN(linkSharedPrefixes)
	n.table.Begin(to, 5000)
	n.prefixes.NoteSent(to, []inventory.Prefix{
		{Key: inventory.PrefixHash(common), Work: 2500},
		{Key: inventory.PrefixHash(1000 + random.IntN(linkSubjects)), Work: 6300},
	})
}

// Guards against work updates that fill the link of a reader. On a link of 10 Mbit/s,
// unbounded updates with IDs and keys in gob encoding took 148 ms of every 200 ms; the answers
// of the reader's callers waited behind them and were late ten times as often as they should
// be. A round must take less than 35 ms, a quarter of the interval; it takes 21 ms.
func TestWorkUpdatesLeaveRoomOnSlowLinks(t *testing.T) {
	clock := clockwork.NewFakeClock()
	random := rand.New(rand.NewPCG(1, 1))
	var engines []inventory.Instance
	for i := range linkEngines {
		engines = append(engines, inventory.Instance{ID: fmt.Sprintf("i-%010x", i), Service: "s", Born: 1_700_000_000_000 + int64(i)})
	}
	var domains []*testDomain
	for d := range linkDomains {
		domains = append(domains, newTestDomain(clock, fmt.Sprint("zone-", d), engines))
	}
	rounds := int(linkDuration * time.Second / linkRoundInterval)
	longest := time.Duration(0)
	for range rounds {
		for range int(linkPromptsPerSecond * linkRoundInterval.Seconds()) {
			n := domains[random.IntN(linkDomains)].nodes[random.IntN(linkDaemonsPerDomain)]
			n.sendPrompt(random, engines[random.IntN(linkEngines)])
		}
		for d, domain := range domains {
			before := domain.sent
			update := domain.round(t)
			update.Domain = fmt.Sprint("zone-", d)
			longest = max(longest, time.Duration(domain.sent-before)*8*time.Second/linkBitsPerSecond)
			for other := range domains {
				if other != d {
					domains[other].nodes[0].OnDomainWork(update)
				}
			}
		}
		clock.Advance(linkRoundInterval)
	}
	t.Logf("the longest round takes %v of a link of %d Mbit/s", longest, linkBitsPerSecond/1_000_000)
	require.Less(t, longest, linkRoundInterval/4)
}

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

// The load that news over thin links answers: 80 daemons in 4 failure domains before 140
// engines, 430 prompts a second that each go to any of the engines, each about
// one of 600 subjects and with one of 4 common beginnings.
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

// linkPause is the time between two rounds of news of that many engines.
var linkRoundInterval = workRoundInterval(linkEngines)

// domainOfDaemons is the daemons of one failure domain; the first one is the reader.
type testDomain struct {
	nodes []*Node
	// sent is the bytes that the reader has sent.
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

// round is one round of the reader, with what it sends counted as gob sends it. It
// returns what the readers of other domains are told.
func (d *testDomain) round(t *testing.T) peer.DomainWork {
	t.Helper()
	reader := d.nodes[0]
	now := reader.clock.Now()
	reader.workTotals.add(reader.ownWork(), now)
	work, read := reader.workTotals.fleetWork(now, prefixesIn(linkRoundInterval))
	told := peer.FleetWork{Amounts: peer.PackWork(work), Readings: peer.PackReadings(read)}
	for _, n := range d.nodes[1:] {
		d.sent += frameSize(t, told)
		reader.workTotals.add(n.OnFleetWork(told), now)
	}
	work, read = reader.workTotals.groupWork(now, prefixesIn(linkRoundInterval))
	return peer.DomainWork{Amounts: peer.PackWork(work), Readings: peer.PackReadings(read)}
}

// frame is the length of v as net/rpc sends it on a connection in use.
func frameSize(t *testing.T, v any) int {
	t.Helper()
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	require.NoError(t, enc.Encode(v))
	types := out.Len()
	require.NoError(t, enc.Encode(v))
	return out.Len() - types
}

// prompt sends a prompt from one daemon to one engine.
func (n *Node) sendPrompt(random *rand.Rand, to inventory.Instance) {
	common := random.IntN(linkSharedPrefixes)
	n.table.Begin(to, 5000)
	n.prefixes.NoteSent(to, []inventory.Prefix{
		{Key: inventory.PrefixHash(common), Work: 2500},
		{Key: inventory.PrefixHash(1000 + random.IntN(linkSubjects)), Work: 6300},
	})
}

// Callers of daemons on links of 10 Mbit/s wait ten times as often for plain answers as
// they should, though no engine is late: a daemon that tells the others of its failure
// domain which engines read which prompts fills its own link, and its callers' answers
// wait behind the news. A round of news must leave the link within 35 ms, a quarter of
// the time between two rounds. It takes 21 ms; unbounded, and with IDs and keys as gob
// sends them, it took 148 ms of 200 ms.
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
	worst := time.Duration(0)
	for range rounds {
		for range int(linkPromptsPerSecond * linkRoundInterval.Seconds()) {
			n := domains[random.IntN(linkDomains)].nodes[random.IntN(linkDaemonsPerDomain)]
			n.sendPrompt(random, engines[random.IntN(linkEngines)])
		}
		for d, domain := range domains {
			before := domain.sent
			told := domain.round(t)
			told.Domain = fmt.Sprint("zone-", d)
			worst = max(worst, time.Duration(domain.sent-before)*8*time.Second/linkBitsPerSecond)
			for other := range domains {
				if other != d {
					domains[other].nodes[0].OnDomainWork(told)
				}
			}
		}
		clock.Advance(linkRoundInterval)
	}
	t.Logf("the longest round takes %v of a link of %d Mbit/s", worst, linkBitsPerSecond/1_000_000)
	require.Less(t, worst, linkRoundInterval/4)
}

package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

func startedDaemon(n int, started time.Duration) member.Daemon {
	return member.Daemon{Incarnation: fmt.Sprint("d", n), CallerURL: "c", PeerAddress: fmt.Sprint("p", n), Started: 1e12 + started.Milliseconds()}
}

func engineList(n int) []inventory.Instance {
	var out []inventory.Instance
	for i := range n {
		out = append(out, inventory.Instance{ID: fmt.Sprint("e", i), Service: "s", Slots: 64})
	}
	return out
}

// Guards against engines that are asked twice, or by nobody, when a fleet restarts, and against
// questions of a daemon whose peers know the engines already.
func TestEachEngineHasOneOwner(t *testing.T) {
	var live []member.Daemon
	for i := range 70 {
		live = append(live, startedDaemon(i, time.Duration(i)*20*time.Millisecond))
	}
	engines, asked := engineList(89), map[inventory.InstanceHash]bool{}
	for _, d := range live {
		require.Empty(t, peersAtStart(d, live, nil).settled)
		for _, e := range ownedEngines(d, live, engines, func(i inventory.InstanceHash) bool { return asked[i] }) {
			asked[e.Hash()] = true
		}
	}
	require.Len(t, asked, 89)
	late := startedDaemon(70, 5*time.Second)
	require.Empty(t, ownedEngines(late, append(live, late), engines, func(i inventory.InstanceHash) bool { return asked[i] }))
	first := peersAtStart(late, live, nil).mayKnow()
	require.Len(t, first, 18)
	require.Equal(t, "d0", first[0].Incarnation)
	require.Len(t, peersAtStart(live[1], live, nil).mayKnow(), 1, "a daemon that starts a moment later may lack the survey, too")

	alone := startedDaemon(71, time.Minute)
	require.Len(t, peersAtStart(alone, live, nil).settled, 70)
	wrongClock := peersAtStart(alone, live[:2], map[string]bool{"d0": true})
	require.Len(t, wrongClock.settled, 1)
	require.Len(t, wrongClock.earlier, 1)
	require.True(t, peersAtStart(alone, []member.Daemon{{Incarnation: "old", CallerURL: "c"}}, nil).older)
}

// Guards against a survey whose size grows with the number of engines, and against parts that make
// no difference in place of those that do.
func TestSurveyIsBounded(t *testing.T) {
	service := &catalog.Service{Models: []catalog.Model{{Name: "small", Cost: 1}, {Name: "large", Cost: 10}}}
	var parts []inventory.CachedPart
	for i := range 500 {
		parts = append(parts, inventory.CachedPart{ID: fmt.Sprint(i), Model: []string{"small", "large"}[i%2], Tokens: 200 + i})
	}
	for _, engines := range []int{1, 89, 1000, 10_000, 100_000} {
		s := inventory.Surveyed{Running: 64, Waiting: 9, Parts: surveyedParts(service, parts, engines)}
		require.LessOrEqual(t, len(s.Parts), maxSurveyParts)
		require.LessOrEqual(t, (peer.SurveyedBytes(s)-loadBytes)*engines, surveyBytes)
	}
	require.Equal(t, inventory.PartKey("large", "499"), surveyedParts(service, parts, 89)[0])
	require.Empty(t, surveyedParts(service, parts[:1], 1), "20 tokens of the largest model")
}

// Guards against answers of engines that get lost while daemons disagree on the first reader: the
// daemon reports again, and each reader sends an engine to its group once.
func TestSurveyReachesEachReader(t *testing.T) {
	now := time.Unix(1000, 0)
	owner, wrong, reader := newSurveyBook(), newSurveyBook(), newSurveyBook()
	require.Len(t, owner.add([]inventory.Surveyed{{Instance: 1, Running: 4}, {Instance: 2}}, true, now), 2)
	require.Empty(t, owner.add([]inventory.Surveyed{{Instance: 1}}, false, now), "known")
	wrong.relay(owner.report(now))
	require.Len(t, wrong.takeForGroup(1), 1, "one at least")
	require.Len(t, wrong.takeForGroup(maxRoundBytes), 1)
	require.Empty(t, owner.report(now.Add(resendInterval/2)))
	now = now.Add(resendInterval)
	again := owner.report(now)
	reader.relay(again)
	reader.relay(again)
	require.Len(t, reader.takeForGroup(maxRoundBytes), 2)
	require.Empty(t, reader.takeForGroup(maxRoundBytes))
	sent := reader.takeForDomains(maxRoundBytes)
	other := newSurveyBook()
	other.relayInto(sent)
	require.ElementsMatch(t, sent, other.takeForGroup(maxRoundBytes))
	require.Empty(t, other.takeForDomains(maxRoundBytes), "would go back and forth")
	require.Len(t, owner.all(now), 2)
	require.Zero(t, owner.all(now)[0].Running, "these are known otherwise")
	now = now.Add(surveyTTL)
	require.Empty(t, owner.all(now))
	require.Empty(t, owner.report(now))
	owner.expire(now.Add(time.Second))
	require.False(t, owner.isAsked(1))
	require.Equal(t, []int{maxRoundBytes, minRoundBytes, 2205}, []int{surveyRoundBytes(0, 70), surveyRoundBytes(1, 70), surveyRoundBytes(10, 17)})
}

// Guards against a survey that takes more rounds or bytes than the time and the link of a daemon
// allow: 70 daemons in 4 failure domains have asked 89 engines. A reader that is lost in the first
// round must only delay it.
func TestSurveySpreadsInFewRounds(t *testing.T) {
	const daemons, domains, engines = 70, 4, 89
	clock := clockwork.NewFakeClock()
	nodes, received := make([]*Node, daemons), make([]int, daemons)
	for i := range nodes {
		nodes[i] = newTestNode(clock, func(r *settings.Routes) { r.LinkMbps = 100 })
	}
	for i, e := range engineList(engines) {
		s := inventory.Surveyed{Instance: e.Hash(), Running: 20, Parts: make([]inventory.PrefixHash, maxSurveyParts)}
		nodes[i%daemons].survey.book.add([]inventory.Surveyed{s}, true, clock.Now())
	}
	known := func() (least int) {
		least = engines
		for _, n := range nodes {
			least = min(least, len(n.survey.book.all(clock.Now())))
		}
		return least
	}
	rounds := 0
	for ; known() < engines && rounds < 20; rounds++ {
		for domain := range domains {
			first := domain
			if rounds == 0 {
				first += domains // This one is lost after the round.
			}
			var w peer.FleetWork
			nodes[first].noteDaemonWork(nodes[first].ownWork())
			nodes[first].extendFleetWork(&w)
			for i := domain; i < daemons; i += domains {
				if i != first {
					received[i] += len(w.Survey)
					nodes[first].noteDaemonWork(nodes[i].OnFleetWork(w))
				}
			}
			if rounds == 0 {
				continue
			}
			var d peer.DomainWork
			nodes[first].extendDomainWork(&d)
			for other := range domains {
				if other != first {
					nodes[other].noteDomainWork(d)
				}
			}
		}
		clock.Advance(workInterval)
	}
	most := 0
	for _, n := range received {
		most = max(most, n)
	}
	t.Logf("%d rounds, at most %d bytes to a daemon", rounds, most)
	require.Less(t, rounds, 11)
	require.LessOrEqual(t, most, surveyBytes/2)
}

// prefillAfterRestart places prompts of eight daemons that have all restarted at 18 engines that
// cache 60 subjects at two engines each. It returns the prompt tokens that were processed again,
// as a fraction of all shared ones, and the largest fraction that one engine got.
func prefillAfterRestart(seed uint64, surveyed bool) (repeated, busiest float64) {
	const daemons, subjects, prompts, shared, unique = 8, 60, 200, 9000.0, 1000.0
	random, clock, engines := rand.New(rand.NewPCG(seed, 1)), clockwork.NewFakeClock(), engineList(18)
	held, count := map[[2]int]bool{}, make([]int, len(engines))
	part := func(subject int) inventory.PrefixHash { return inventory.PartKey("large", fmt.Sprint(subject)) }
	var said []inventory.Surveyed
	for s := range subjects {
		held[[2]int{s, random.IntN(18)}], held[[2]int{s, random.IntN(18)}] = true, true
	}
	for i, e := range engines {
		s := inventory.Surveyed{Instance: e.Hash()}
		for subject := range subjects {
			if held[[2]int{subject, i}] {
				s.Parts = append(s.Parts, part(subject))
			}
		}
		said = append(said, s)
	}
	var indexes [daemons]*inventory.PrefixIndex
	for d := range indexes {
		indexes[d] = inventory.NewPrefixIndex(clock)
		if surveyed {
			indexes[d].MergeParts(said)
		}
	}
	waiting, total := make([]float64, len(engines)), 0.0
	for range prompts {
		d, subject := random.IntN(daemons), random.IntN(subjects)
		prefixes := []inventory.Prefix{{Key: part(subject), Part: part(subject), Work: shared}}
		var all []place.Candidate
		for i, e := range engines {
			waiting[i] = max(waiting[i]-300, 0)
			c := place.Candidate{ID: e.ID, Slots: 64, Waiting: waiting[i], Prefill: unique + shared}
			if indexes[d].CachedCount(e.Hash(), prefixes) > 0 {
				c.Prefill = unique
			}
			all = append(all, c)
		}
		picked, _ := place.LowestCost(all, fmt.Sprint(subject), random)
		var at int
		_, _ = fmt.Sscanf(picked.ID, "e%d", &at)
		work := unique
		if !held[[2]int{subject, at}] {
			work += shared
			total += shared
		}
		held[[2]int{subject, at}] = true
		count[at]++
		waiting[at] += work
		indexes[d].NoteSent(engines[at], prefixes)
		for _, other := range indexes {
			other.Merge([]inventory.CachedPrefix{{Key: part(subject), Instance: engines[at].Hash()}})
		}
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	return total / (prompts * shared), float64(most) / prompts
}

// Guards against a fleet that processes again what engines cache, and against all requests at the
// same engine, after all daemons have restarted.
func TestPromptsFindCachesAfterRestart(t *testing.T) {
	for seed := range uint64(5) {
		with, busiest := prefillAfterRestart(seed, true)
		without, _ := prefillAfterRestart(seed, false)
		t.Logf("processed again: %.3f with a survey, %.3f without; busiest engine %.3f", with, without, busiest)
		require.Less(t, with, 0.25*without)
		require.Less(t, busiest, 0.2)
	}
}

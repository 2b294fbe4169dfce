package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// suspectNamed returns a distinct suspect for each name.
func suspectNamed(name string) Suspect {
	return Suspect{Digest: NewDigest("POST", "shop.example", "/notes/"+name, "visrad", nil), Route: "notes", Organisation: "visrad"}
}

// harness has the evidence and the list of the judge, the daemon that decides on quarantines.
type harness struct {
	clock    *clockwork.FakeClock
	evidence *Evidence
	list     *List
	next     int
}

func newHarness() *harness {
	clock := clockwork.NewFakeClock()
	return &harness{clock: clock, evidence: NewEvidence(clock), list: NewList(clock)}
}

// crash reports the end of an instance that was running the named requests.
func (h *harness) crash(names ...string) {
	h.next++
	report := Crash{Instance: inventory.InstanceHash(h.next), ID: fmt.Sprint("i-", h.next)}
	for _, name := range names {
		report.Suspects = append(report.Suspects, suspectNamed(name))
	}
	h.evidence.Add(report)
}

// decide quarantines the culprits and returns their number.
func (h *harness) decide(complete time.Duration) int {
	culprits, _ := h.evidence.Culprits(complete, h.list, nil)
	for _, c := range culprits {
		h.list.Quarantine(c)
	}
	return len(culprits)
}

func (h *harness) refused(name string) bool {
	s := suspectNamed(name)
	_, yes := h.list.Refused(&s)
	return yes
}

// allDaemonsKnown is a value of complete that covers all crashes of a test.
const allDaemonsKnown = time.Hour

// A request crashes three instances, one after another, each of which runs others too. It is
// quarantined after the third. Requests that shared two of the instances are not.
func TestThirdCrashQuarantinesRequest(t *testing.T) {
	h := newHarness()
	h.crash("cause", "a", "b")
	h.clock.Advance(time.Second)
	h.crash("b", "cause")
	require.Zero(t, h.decide(allDaemonsKnown))
	h.clock.Advance(time.Second)
	h.crash("cause", "c")
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	require.True(t, h.refused("cause"))
	for _, other := range []string{"a", "b", "c"} {
		require.False(t, h.refused(other))
	}
}

// A request was on three instances that ended, but completed after the first of these ends.
// That one must not count.
func TestCompletedRequestIsCleared(t *testing.T) {
	h := newHarness()
	h.crash("a")
	h.clock.Advance(time.Second)
	h.evidence.ClearRequest(suspectNamed("a").Digest, 500*time.Millisecond)
	h.clock.Advance(2 * sameCauseWindow)
	h.crash("a")
	h.clock.Advance(time.Second)
	h.crash("a")
	require.Zero(t, h.decide(allDaemonsKnown))
	h.crash("a")
	require.Equal(t, 1, h.decide(allDaemonsKnown))
}

// Two requests were on the same three instances, so either may be the cause. Neither is
// quarantined until an instance ends with only one of them.
func TestRequestsOnTheSameCrashesAreNotQuarantined(t *testing.T) {
	h := newHarness()
	for range 3 {
		h.crash("cause", "beside")
		h.clock.Advance(time.Second)
	}
	require.Zero(t, h.decide(allDaemonsKnown))
	h.crash("cause")
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	require.True(t, h.refused("cause"))
	h.crash("beside")
	require.Zero(t, h.decide(allDaemonsKnown), "the first three crashes are explained by the quarantined request")
}

// Racks lose power repeatedly, each time with the same request on one of the instances. The
// simultaneous ends without the request show that it is not the cause.
func TestRackPowerLossIsNotBlamedOnRequest(t *testing.T) {
	h := newHarness()
	for range 3 {
		h.crash("summary", "a")
		h.crash("b")
		h.crash("c", "d")
		h.clock.Advance(5 * time.Second)
	}
	require.Zero(t, h.decide(allDaemonsKnown))
	for range 4 {
		h.crash("summary")
		h.crash("b")
		h.crash("c")
		h.clock.Advance(5 * time.Second)
	}
	require.Zero(t, h.decide(allDaemonsKnown), "seven power losses must not quarantine it either")
}

// The judge has just started, or another daemon does not answer. The missing reports
// may clear the request or name another cause, so five crashes are needed.
func TestIncompleteEvidenceNeedsFiveCrashes(t *testing.T) {
	h := newHarness()
	for n := range 5 {
		h.clock.Advance(time.Second)
		h.crash("cause")
		require.Equal(t, n == 4, h.decide(time.Second) == 1)
	}
}

// Two requests crash instances alternately. Both are quarantined, each after five crashes at
// the latest.
func TestTwoCrashingRequestsAreBothQuarantined(t *testing.T) {
	h := newHarness()
	ended := 0
	for range 10 {
		for _, name := range []string{"first", "second"} {
			if !h.refused(name) {
				h.crash(name)
				ended++
			}
			h.clock.Advance(300 * time.Millisecond)
			h.decide(allDaemonsKnown)
		}
	}
	require.True(t, h.refused("first"))
	require.True(t, h.refused("second"))
	require.LessOrEqual(t, ended, 2*minCrashesConfounded)
}

// A request crashes an instance after its quarantine has expired: one crash suffices to
// quarantine it again. After a release by an operator, one crash does not.
func TestOneCrashDuringProbationQuarantinesAgain(t *testing.T) {
	h := newHarness()
	for range 3 {
		h.crash("cause")
		h.clock.Advance(time.Second)
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	h.clock.Advance(Duration)
	require.False(t, h.refused("cause"), "the quarantine has expired")
	h.crash("cause")
	require.Equal(t, 1, h.decide(0))
	require.True(t, h.refused("cause"))
	_, ok := h.list.Release(suspectNamed("cause").Digest)
	require.True(t, ok)
	h.evidence.ClearRequest(suspectNamed("cause").Digest, 0)
	h.clock.Advance(time.Second)
	require.Zero(t, h.decide(allDaemonsKnown))
	h.crash("cause")
	require.Zero(t, h.decide(allDaemonsKnown))
}

// Many different requests each end one instance. The evidence stays within its bound, and a
// request quarantined before stays quarantined.
func TestEvidenceIsBounded(t *testing.T) {
	h := newHarness()
	for range 3 {
		h.crash("cause")
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	for n := range 3 * maxCrashes {
		h.crash(fmt.Sprint("other-", n))
	}
	require.Len(t, h.evidence.order, maxCrashes)
	require.Len(t, h.evidence.crashes, maxCrashes)
	require.True(t, h.refused("cause"))
}

// Daemons receive the same decisions in different orders. Their lists must become equal, and a
// release must override the decision that it ends.
func TestListsConvergeInAnyOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	judge, early, late := NewList(clock), NewList(clock), NewList(clock)
	first := judge.Quarantine(Verdict{Entry: Entry{Suspect: suspectNamed("a")}})
	second := judge.Quarantine(Verdict{Entry: Entry{Suspect: suspectNamed("b")}})
	released, ok := judge.Release(suspectNamed("a").Digest)
	require.True(t, ok)
	require.Len(t, early.Merge([]Entry{first, second, released}), 3)
	require.Len(t, late.Merge([]Entry{released, second, first}), 2)
	for _, l := range []*List{judge, early, late} {
		a, b := suspectNamed("a"), suspectNamed("b")
		_, refused := l.Refused(&a)
		require.False(t, refused)
		entry, refused := l.Refused(&b)
		require.True(t, refused)
		require.Equal(t, Duration, entry.Left)
		require.Equal(t, judge.Checksum(), l.Checksum())
	}
	require.NotZero(t, judge.Checksum())
	clock.Advance(Duration + probation + time.Second)
	judge.Expire()
	require.Empty(t, judge.Entries())
	require.Zero(t, judge.Checksum())
}

// Requests whose fields differ only in where one ends and the next begins must have different
// digests, and so must equal requests of two organisations.
func TestDigestSeparatesFieldsAndOrganisations(t *testing.T) {
	d := NewDigest("GET", "shop.example", "/a", "visrad", nil)
	require.Equal(t, d, NewDigest("GET", "shop.example", "/a", "visrad", []byte{}))
	for _, other := range []Digest{
		NewDigest("GET", "shop.example", "/a", "mtkvari", nil), NewDigest("GET", "shop.example", "/avi", "srad", nil),
		NewDigest("POST", "shop.example", "/a", "visrad", nil), NewDigest("GET", "shop.example", "/a", "visrad", []byte("b")),
	} {
		require.NotEqual(t, d, other)
	}
	var read Digest
	require.NoError(t, read.UnmarshalText([]byte(d.String())))
	require.Equal(t, d, read)
	require.ErrorContains(t, read.UnmarshalText([]byte("12")), "hexadecimal")
}

// Simulates a busy fleet to check that only the crashing request is quarantined. Each of 18
// instances runs some ten requests, a fifth of which last until the next step. One request
// crashes each instance that runs it and is retried some 350 ms later. Racks lose power and
// single instances end by themselves. Requests of an ended instance are retried on another
// one.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	const seeds = 60
	wrong, worst, lost := 0, 0, 0
	for seed := range uint64(seeds) {
		m := newFleetModel(seed)
		for range 60 {
			m.step()
		}
		wrong += m.wrong
		worst = max(worst, m.crashed)
		lost += m.crashed
	}
	t.Logf("%d wrong quarantines; instances ended by the crashing request: %.2f on average, %d at most", wrong, float64(lost)/seeds, worst)
	require.Zero(t, wrong)
	require.LessOrEqual(t, worst, 2*minCrashesConfounded)
}

// fleetModel is the fleet of TestOnlyTheCrashingRequestIsQuarantined.
type fleetModel struct {
	*harness
	random    *rand.Rand
	instances [18][]string
	requests  int
	// crashed counts the instances that the crashing request ended. At each step, wrong counts
	// the other requests that are in quarantine.
	crashed, wrong int
}

func newFleetModel(seed uint64) *fleetModel {
	return &fleetModel{harness: newHarness(), random: rand.New(rand.NewPCG(seed, 5))}
}

// step advances the simulation by 350 ms.
func (m *fleetModel) step() {
	m.clock.Advance(350 * time.Millisecond)
	m.serve()
	var crashing []int
	if !m.refused("cause") {
		at := m.random.IntN(len(m.instances))
		m.instances[at] = append(m.instances[at], "cause")
		crashing = append(crashing, at)
		m.crashed++
	}
	switch {
	case m.random.Float64() < 0.05:
		rack := m.random.IntN(len(m.instances) / 3)
		crashing = append(crashing, 3*rack, 3*rack+1, 3*rack+2)
	case m.random.Float64() < 0.05:
		crashing = append(crashing, m.random.IntN(len(m.instances)))
	}
	m.end(crashing)
	m.decide(allDaemonsKnown)
	for _, e := range m.list.Entries() {
		if e.Digest != suspectNamed("cause").Digest {
			m.wrong++
		}
	}
}

// serve completes most running requests and starts others.
func (m *fleetModel) serve() {
	for at, running := range m.instances {
		var left []string
		for _, name := range running {
			if m.random.Float64() < 0.2 {
				left = append(left, name)
				continue
			}
			m.evidence.ClearRequest(suspectNamed(name).Digest, 0)
		}
		for range 8 {
			m.requests++
			left = append(left, fmt.Sprint("request-", m.requests))
		}
		m.instances[at] = left
	}
}

// end ends the given instances. Their requests are retried on other instances.
func (m *fleetModel) end(crashing []int) {
	var retried []string
	for _, at := range crashing {
		if running := m.instances[at]; len(running) > 0 {
			m.crash(running...)
			retried = append(retried, running...)
		}
		m.instances[at] = nil
	}
	for _, name := range retried {
		if name == "cause" || m.random.Float64() < 0.1 {
			continue
		}
		to := m.random.IntN(len(m.instances))
		m.instances[to] = append(m.instances[to], name)
	}
}

// A request that is sent every minute or two completes, except three times when its instance
// loses power. If its completions were forgotten before the crashes, it would look like their
// cause.
func TestCompletionIsRememberedForHalfEvidenceTTL(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := NewFinished(clock)
	d := suspectNamed("a").Digest
	f.Record(d)
	clock.Advance(EvidenceTTL / 2)
	age, known := f.Age(d)
	require.True(t, known)
	require.Equal(t, EvidenceTTL/2, age)
	clock.Advance(EvidenceTTL)
	_, known = f.Age(d)
	require.False(t, known)
}

// More distinct requests complete than Finished can remember. It must stay within its bound and
// still know the latest.
func TestCompletionsAreBounded(t *testing.T) {
	f := NewFinished(clockwork.NewFakeClock())
	for n := range 5 * maxPerGeneration {
		f.Record(suspectNamed(fmt.Sprint(n)).Digest)
	}
	require.LessOrEqual(t, len(f.current)+len(f.previous), 2*maxPerGeneration+1)
	_, known := f.Age(suspectNamed(fmt.Sprint(5*maxPerGeneration - 1)).Digest)
	require.True(t, known)
}

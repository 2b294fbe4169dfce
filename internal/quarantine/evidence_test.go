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

// named returns a suspect of its own for each name.
func named(name string) Suspect {
	return Suspect{Digest: NewDigest("POST", "shop.example", "/notes/"+name, "visrad", nil), Route: "notes", Organisation: "visrad"}
}

// judged is evidence with a list, as a judge has them.
type judged struct {
	clock    *clockwork.FakeClock
	evidence *Evidence
	list     *List
	next     int
}

func newJudged() *judged {
	clock := clockwork.NewFakeClock()
	return &judged{clock: clock, evidence: NewEvidence(clock), list: NewList(clock)}
}

// crash ends an instance under some requests.
func (j *judged) crash(names ...string) {
	j.next++
	told := Crash{Instance: inventory.Number(j.next), ID: fmt.Sprint("i-", j.next)}
	for _, name := range names {
		told.Suspects = append(told.Suspects, named(name))
	}
	j.evidence.Add(told)
}

// decide quarantines what is condemned, and returns how many requests that were.
func (j *judged) decide(complete time.Duration) int {
	refused := func(d Digest) bool {
		_, yes := j.list.Refused(d)
		return yes
	}
	cases := j.evidence.Cases(complete, refused, j.list.Proven)
	for _, c := range cases {
		j.list.Quarantine(c)
	}
	return len(cases)
}

func (j *judged) refused(name string) bool {
	_, yes := j.list.Refused(named(name).Digest)
	return yes
}

// all is complete evidence.
const all = time.Hour

// A request crashes three instances, one after another, each with others on it. It is
// refused with the third, and those that were beside it on two of them are not.
func TestThirdCrashCondemns(t *testing.T) {
	j := newJudged()
	j.crash("cause", "a", "b")
	j.clock.Advance(time.Second)
	j.crash("b", "cause")
	require.Zero(t, j.decide(all))
	j.clock.Advance(time.Second)
	j.crash("cause", "c")
	require.Equal(t, 1, j.decide(all))
	require.True(t, j.refused("cause"))
	for _, beside := range []string{"a", "b", "c"} {
		require.False(t, j.refused(beside))
	}
}

// A request was on three instances that ended, and has run to its end since the first.
func TestRequestThatRanToItsEndIsCleared(t *testing.T) {
	j := newJudged()
	j.crash("a")
	j.clock.Advance(time.Second)
	j.evidence.Clear(named("a").Digest, 500*time.Millisecond)
	j.clock.Advance(2 * sameCause)
	j.crash("a")
	j.clock.Advance(time.Second)
	j.crash("a")
	require.Zero(t, j.decide(all))
	j.crash("a")
	require.Equal(t, 1, j.decide(all))
}

// Two requests were on the same three instances. Which of them ends instances is not
// known, so neither is refused until the next one ends under only one of them.
func TestWhoIsBesideTheCauseEachTime(t *testing.T) {
	j := newJudged()
	for range 3 {
		j.crash("cause", "beside")
		j.clock.Advance(time.Second)
	}
	require.Zero(t, j.decide(all))
	j.crash("cause")
	require.Equal(t, 1, j.decide(all))
	require.True(t, j.refused("cause"))
	j.crash("beside")
	require.Zero(t, j.decide(all), "the first three are explained")
}

// Racks lose power three times, with a summary on one instance of each. Instances that
// end beside it say that it is not the cause.
func TestRacksWithoutPower(t *testing.T) {
	j := newJudged()
	for range 3 {
		j.crash("summary", "a")
		j.crash("b")
		j.crash("c", "d")
		j.clock.Advance(5 * time.Second)
	}
	require.Zero(t, j.decide(all))
	for range 4 {
		j.crash("summary")
		j.crash("b")
		j.crash("c")
		j.clock.Advance(5 * time.Second)
	}
	require.Zero(t, j.decide(all), "also after seven times")
}

// A judge was chosen a moment ago, or does not hear from a daemon. What that daemon knows
// may clear a request or name another one, so it takes five crashes.
func TestIncompleteEvidence(t *testing.T) {
	j := newJudged()
	for n := range 5 {
		j.clock.Advance(time.Second)
		j.crash("cause")
		require.Equal(t, n == 4, j.decide(time.Second) == 1)
	}
}

// Two requests crash instances by turns. Each is refused, with five at the latest.
func TestTwoRequestsThatCrashInstances(t *testing.T) {
	j := newJudged()
	ended := 0
	for range 10 {
		for _, name := range []string{"first", "second"} {
			if !j.refused(name) {
				j.crash(name)
				ended++
			}
			j.clock.Advance(300 * time.Millisecond)
			j.decide(all)
		}
	}
	require.True(t, j.refused("first"))
	require.True(t, j.refused("second"))
	require.LessOrEqual(t, ended, 2*enoughBesides)
}

// A quarantine is over, and the request crashes an instance again: it is refused at once.
// Released by an operator it has a clean record.
func TestAfterQuarantine(t *testing.T) {
	j := newJudged()
	for range 3 {
		j.crash("cause")
		j.clock.Advance(time.Second)
	}
	require.Equal(t, 1, j.decide(all))
	j.clock.Advance(Time)
	require.False(t, j.refused("cause"), "it gets a chance")
	j.crash("cause")
	require.Equal(t, 1, j.decide(0))
	require.True(t, j.refused("cause"))
	_, ok := j.list.Release(named("cause").Digest)
	require.True(t, ok)
	j.evidence.Clear(named("cause").Digest, 0)
	j.clock.Advance(time.Second)
	require.Zero(t, j.decide(all))
	j.crash("cause")
	require.Zero(t, j.decide(all))
}

// A caller sends ever other requests that each end an instance. They take up no more
// than their bound, and a known one stays quarantined.
func TestEvidenceIsBounded(t *testing.T) {
	j := newJudged()
	for range 3 {
		j.crash("cause")
	}
	require.Equal(t, 1, j.decide(all))
	for n := range 3 * maxCrashes {
		j.crash(fmt.Sprint("other-", n))
	}
	require.Len(t, j.evidence.order, maxCrashes)
	require.Len(t, j.evidence.crashes, maxCrashes)
	require.True(t, j.refused("cause"))
}

// Daemons that hear the same decisions in different orders refuse the same requests, and
// a release goes before the decision that it ends.
func TestListsAgree(t *testing.T) {
	clock := clockwork.NewFakeClock()
	judge, early, late := NewList(clock), NewList(clock), NewList(clock)
	first := judge.Quarantine(Case{Suspect: named("a")})
	second := judge.Quarantine(Case{Suspect: named("b")})
	released, ok := judge.Release(named("a").Digest)
	require.True(t, ok)
	require.Len(t, early.Learn([]Entry{first, second, released}), 3)
	require.Len(t, late.Learn([]Entry{released, second, first}), 2)
	for _, l := range []*List{judge, early, late} {
		_, refused := l.Refused(named("a").Digest)
		require.False(t, refused)
		left, refused := l.Refused(named("b").Digest)
		require.True(t, refused)
		require.Equal(t, Time, left)
		require.Equal(t, judge.Sum(), l.Sum())
	}
	require.NotZero(t, judge.Sum())
	clock.Advance(Time + provenTime + time.Second)
	judge.Expire()
	require.Empty(t, judge.Entries())
	require.Zero(t, judge.Sum())
}

// Fields that meet elsewhere are other requests, and so is that of another organisation.
func TestDigest(t *testing.T) {
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

// A model of a busy fleet: 18 instances with some ten requests each, of which a fifth last
// until the next events. One request crashes each instance that runs it and comes again
// some 350 ms after; racks lose power, single instances end by themselves. Whoever was on
// an ended instance comes again elsewhere, up to five times. Only the one may be refused.
func TestNoInnocentRequestIsRefused(t *testing.T) {
	const seeds = 60
	wrong, worst, lost := 0, 0, 0
	for seed := range uint64(seeds) {
		m := newModel(seed)
		for range 60 {
			m.step()
		}
		wrong += m.wrong
		worst = max(worst, m.crashed)
		lost += m.crashed
	}
	t.Logf("refused wrongly %d, instances lost to each request %.2f on average, %d at most", wrong, float64(lost)/seeds, worst)
	require.Zero(t, wrong)
	require.LessOrEqual(t, worst, 2*enoughBesides)
}

// model is the fleet of TestNoInnocentRequestIsRefused.
type model struct {
	*judged
	random    *rand.Rand
	instances [18][]string
	requests  int
	// crashed counts instances that ended under the one request.
	crashed, wrong int
}

func newModel(seed uint64) *model {
	return &model{judged: newJudged(), random: rand.New(rand.NewPCG(seed, 5))}
}

// step is 350 ms.
func (m *model) step() {
	m.clock.Advance(350 * time.Millisecond)
	m.serve()
	var ending []int
	if !m.refused("cause") {
		at := m.random.IntN(len(m.instances))
		m.instances[at] = append(m.instances[at], "cause")
		ending = append(ending, at)
		m.crashed++
	}
	switch {
	case m.random.Float64() < 0.05:
		rack := m.random.IntN(len(m.instances) / 3)
		ending = append(ending, 3*rack, 3*rack+1, 3*rack+2)
	case m.random.Float64() < 0.05:
		ending = append(ending, m.random.IntN(len(m.instances)))
	}
	m.end(ending)
	m.decide(all)
	for _, e := range m.list.Entries() {
		if e.Digest != named("cause").Digest {
			m.wrong++
		}
	}
}

// serve ends most requests well, and begins others.
func (m *model) serve() {
	for at, running := range m.instances {
		var left []string
		for _, name := range running {
			if m.random.Float64() < 0.2 {
				left = append(left, name)
				continue
			}
			m.evidence.Clear(named(name).Digest, 0)
		}
		for range 8 {
			m.requests++
			left = append(left, fmt.Sprint("request-", m.requests))
		}
		m.instances[at] = left
	}
}

// end ends instances. Their requests come again elsewhere.
func (m *model) end(ending []int) {
	var again []string
	for _, at := range ending {
		if aboard := m.instances[at]; len(aboard) > 0 {
			m.crash(aboard...)
			again = append(again, aboard...)
		}
		m.instances[at] = nil
	}
	for _, name := range again {
		if name == "cause" || m.random.Float64() < 0.1 {
			continue
		}
		to := m.random.IntN(len(m.instances))
		m.instances[to] = append(m.instances[to], name)
	}
}

// A request that is sent every minute or two runs well, but for three times at which its
// instance lost power. That it ran to its end in between is remembered for as long as the
// crashes are.
func TestFinishedIsRememberedAsLongAsCrashes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := NewFinished(clock)
	d := named("a").Digest
	f.Note(d)
	clock.Advance(EvidenceTime / 2)
	age, known := f.Age(d)
	require.True(t, known)
	require.Equal(t, EvidenceTime/2, age)
	clock.Advance(EvidenceTime)
	_, known = f.Age(d)
	require.False(t, known)
}

// Callers send so many other requests that the memory is full. It stays within its bound, and
// what ran lately is still known.
func TestFinishedIsBounded(t *testing.T) {
	f := NewFinished(clockwork.NewFakeClock())
	for n := range 5 * maxFinished {
		f.Note(named(fmt.Sprint(n)).Digest)
	}
	require.LessOrEqual(t, len(f.young)+len(f.old), 2*maxFinished+1)
	_, known := f.Age(named(fmt.Sprint(5*maxFinished - 1)).Digest)
	require.True(t, known)
}

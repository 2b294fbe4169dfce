package quarantine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// suspectWith returns a new request of an organisation with the given parts.
func (h *harness) suspectWith(organisation string, parts ...string) Suspect {
	h.next++
	return Suspect{Digest: NewDigest("POST", "shop.example", fmt.Sprint("/", h.next), organisation, nil), Route: "notes", Organisation: organisation, Parts: parts}
}

// end reports the end of an instance with the given requests on it.
func (h *harness) end(suspects ...Suspect) {
	h.next++
	h.evidence.Add(Crash{Instance: inventory.InstanceHash(h.next), ID: fmt.Sprint("i-", h.next), Suspects: suspects})
}

// refusesParts reports whether a new request with the given parts is refused.
func (h *harness) refusesParts(organisation string, parts ...string) bool {
	s := h.suspectWith(organisation, parts...)
	_, yes := h.list.Refused(&s)
	return yes
}

// Requests that are all different crash three instances; each has the same part. Other requests ran
// beside, with every other part of theirs.
func TestThirdCrashQuarantinesPart(t *testing.T) {
	h := newHarness()
	for n := range 3 {
		require.Zero(t, h.decide(allDaemonsKnown))
		h.end(h.suspectWith("visrad", "aa", "ee"), h.suspectWith("visrad", "aa", fmt.Sprint("b", n)))
		h.clock.Advance(time.Second)
		h.evidence.ClearPart("aa", 0)
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	require.True(t, h.refusesParts("visrad", "aa", "ee"))
	require.True(t, h.refusesParts("visrad", "ee", "cc"))
	for _, other := range []string{"aa", "b0", "b1", "b2"} {
		require.False(t, h.refusesParts("visrad", "aa", other))
	}
}

// Guards against parts that acquit each other because they always come together: what they have in
// common is refused, and a part that comes without the other is not.
func TestPartWithCompanionIsQuarantined(t *testing.T) {
	h := newHarness()
	for range 3 {
		h.end(h.suspectWith("visrad", "ee", "ff"))
		h.clock.Advance(time.Second)
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	require.True(t, h.refusesParts("visrad", "ee", "ff"))
	require.False(t, h.refusesParts("visrad", "ff"))
	for range 2 {
		require.False(t, h.refusesParts("visrad", "ee"))
		h.end(h.suspectWith("visrad", "ee", "gg"))
		h.clock.Advance(time.Second)
		h.decide(allDaemonsKnown)
	}
	require.True(t, h.refusesParts("visrad", "ee"), "two more instances ended without the companion")
	require.False(t, h.refusesParts("visrad", "ff"))
}

// One request with a part of its own crashes three instances. Only that request is refused, until two
// other requests with the part crash instances.
func TestRepeatedRequestDoesNotCondemnItsParts(t *testing.T) {
	h := newHarness()
	same := h.suspectWith("visrad", "ee")
	for range 3 {
		h.end(same)
		h.clock.Advance(time.Second)
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	_, refused := h.list.Refused(&same)
	require.True(t, refused)
	require.False(t, h.refusesParts("visrad", "ee"))
	h.end(h.suspectWith("visrad", "ee"))
	require.Zero(t, h.decide(allDaemonsKnown))
	h.clock.Advance(time.Second)
	h.end(h.suspectWith("visrad", "ee"))
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	require.True(t, h.refusesParts("visrad", "ee"))
}

// Guards against an organisation that has a part of another one refused by naming it in requests that
// crash instances. A part that crashes instances under several organisations is refused for all.
func TestOrganisationCannotCondemnPartsOfOthers(t *testing.T) {
	h := newHarness()
	for n := range 4 {
		suspects := []Suspect{h.suspectWith("mtkvari", "aa")}
		if n > 0 {
			suspects = append(suspects, h.suspectWith("visrad", "aa"))
		}
		h.end(suspects...)
		h.clock.Advance(time.Second)
		h.decide(allDaemonsKnown)
	}
	require.True(t, h.refusesParts("mtkvari", "aa"))
	require.False(t, h.refusesParts("visrad", "aa"))

	h = newHarness()
	for _, organisation := range []string{"visrad", "mtkvari", "kerlann"} {
		h.end(h.suspectWith(organisation, "ee"))
		h.clock.Advance(time.Second)
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	require.True(t, h.refusesParts("any", "ee"))
}

// Racks lose power three times, and a popular part is on all instances. That several instances end at
// the same moment is no evidence against it.
func TestPowerLossDoesNotCondemnPopularPart(t *testing.T) {
	h := newHarness()
	for range 4 {
		for range 3 {
			h.end(h.suspectWith("visrad", "aa"), h.suspectWith("visrad", "aa"))
		}
		h.clock.Advance(3 * time.Second)
		require.Zero(t, h.decide(allDaemonsKnown))
	}
}

// Guards against condemning a part whose requests last long: none has completed since three instances
// ended, but an answer has run for longer than those that ended.
func TestRunningAnswerRefutesPart(t *testing.T) {
	h := newHarness()
	for range 3 {
		s := h.suspectWith("visrad", "aa")
		s.Progress = time.Second
		h.end(s)
		h.clock.Advance(200 * time.Millisecond)
	}
	running := Running{{Part: "aa", Shared: true}: 3 * time.Second}
	verdicts, _ := h.evidence.Culprits(allDaemonsKnown, h.list, running)
	require.Empty(t, verdicts)
	running[Trait{Part: "aa", Shared: true}] = time.Second
	verdicts, _ = h.evidence.Culprits(allDaemonsKnown, h.list, running)
	require.Len(t, verdicts, 1, "answers that run for as long as the others ended refute nothing")
}

// Guards against a popular request, such as a look-up that all callers send, that is refused because a
// rack loses power: it ran on all instances of the rack.
func TestPowerLossDoesNotCondemnEqualRequests(t *testing.T) {
	h := newHarness()
	same := h.suspectWith("visrad")
	same.Ran = 200 * time.Millisecond
	for range 3 {
		h.end(same)
		h.clock.Advance(20 * time.Millisecond)
	}
	require.Zero(t, h.decide(allDaemonsKnown))
}

// Guards against three ends in quick succession that are taken for a loss of power, because a copy of the
// request that caused them had been waiting at one of the instances.
func TestWaitingCopyDoesNotHideRepeatsThatCrash(t *testing.T) {
	for name, waitingFirst := range map[string]bool{"copy reported first": true, "copy reported last": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			repeat := h.suspectWith("visrad")
			repeat.Ran = 20 * time.Millisecond
			waiting := repeat
			waiting.Ran = 60 * time.Millisecond
			h.end(repeat)
			for range 2 {
				h.clock.Advance(30 * time.Millisecond)
				if waitingFirst {
					h.end(waiting, repeat)
				} else {
					h.end(repeat, waiting)
				}
			}
			require.Equal(t, 1, h.decide(allDaemonsKnown))
		})
	}
}

// Guards against a part that was sound before and is not refused because requests with another sound part were on
// two of the crashes: nobody had been asked whether these complete.
func TestSoundPartsOnTwoCrashesAreAskedAbout(t *testing.T) {
	h := newHarness()
	h.evidence.ClearPart("ee", 0)
	h.clock.Advance(time.Second)
	for n := range 2 {
		s := h.suspectWith("visrad", "aa", "ee")
		s.Ran = 20 * time.Millisecond
		for crash := range 3 {
			h.clock.Advance(150 * time.Millisecond)
			if n == 1 && crash < 2 {
				h.end(s, h.suspectWith("visrad", "aa", "bb"))
			} else {
				h.end(s)
			}
			for _, asked := range h.evidence.Suspected(h.list) {
				if asked.Part == "aa" || asked.Part == "bb" {
					h.evidence.ClearPart(asked.Part, 0)
				}
			}
			h.decide(allDaemonsKnown)
		}
		h.clock.Advance(time.Second)
	}
	require.True(t, h.refusesParts("visrad", "ee"))
	require.False(t, h.refusesParts("visrad", "aa", "bb"))
}

// Guards against repeats that are not seen to follow each other because one of two daemons notices the end of an
// instance a moment after the other.
func TestRunsAreComparedWithTheFirstNoticeOfAnEnd(t *testing.T) {
	const interval, late = 22 * time.Millisecond, 12 * time.Millisecond
	for _, lateDaemon := range []int{0, 1} {
		for _, reportedFirst := range []int{0, 1} {
			t.Run(fmt.Sprint("daemon ", lateDaemon, " is late, daemon ", reportedFirst, " reports first"), func(t *testing.T) {
				h := newHarness()
				// The first daemon repeats the request, the second has had a copy at the instance for longer.
				repeat, waiting := h.suspectWith("visrad"), h.suspectWith("visrad")
				repeat.Ran, waiting.Ran = 20*time.Millisecond, 60*time.Millisecond
				waiting.Digest = repeat.Digest
				for range 3 {
					h.clock.Advance(interval)
					h.next++
					reports := []Crash{{Suspects: []Suspect{repeat}}, {Suspects: []Suspect{waiting}}}
					for n := range reports {
						r := &reports[n]
						r.Instance, r.Age = inventory.InstanceHash(h.next), late
						if n == lateDaemon {
							r.Age = 0
							r.Suspects[0].Ran += late
						}
					}
					h.evidence.Add(reports[reportedFirst])
					h.evidence.Add(reports[1-reportedFirst])
				}
				require.Equal(t, 1, h.decide(allDaemonsKnown))
			})
		}
	}
}

// Guards against a request that many callers send, and that is refused because all instances lose power within
// 20 ms: the daemons send it to each of these after the end of the one before.
func TestPowerLossDoesNotCondemnRequestsThatAreSentAgain(t *testing.T) {
	h := newHarness()
	same := h.suspectWith("visrad")
	same.Ran = 50 * time.Millisecond
	for range 3 {
		h.end(same)
		h.clock.Advance(8 * time.Millisecond)
		same.Ran = 7 * time.Millisecond
	}
	require.Zero(t, h.decide(allDaemonsKnown))
}

// Guards against a request that many callers send all the time and that is refused because a rack loses power:
// each instance of the rack had been sent one just before, but others complete elsewhere.
func TestPowerLossDoesNotCondemnFrequentRequests(t *testing.T) {
	h := newHarness()
	older := h.suspectWith("visrad")
	older.Ran = 300 * time.Millisecond
	newer := older
	newer.Ran = 10 * time.Millisecond
	for range 3 {
		h.end(older, newer)
		h.clock.Advance(20 * time.Millisecond)
	}
	h.evidence.ClearRequest(older.Digest, 0)
	require.Zero(t, h.decide(allDaemonsKnown))
}

// Guards against a popular part that is refused together with the request that crashes instances: what
// one verdict explains is no evidence for another.
func TestVerdictsAreTakenOneAfterTheOther(t *testing.T) {
	h := newHarness()
	same, beside := h.suspectWith("visrad", "aa", "bb"), h.suspectWith("visrad", "aa")
	for n := range 5 {
		h.end(same, h.suspectWith("visrad", "aa", fmt.Sprint("c", n)))
		h.clock.Advance(time.Second)
	}
	h.end(beside)
	h.clock.Advance(time.Second)
	require.Equal(t, 1, h.decide(0))
	_, refused := h.list.Refused(&same)
	require.True(t, refused)
	require.False(t, h.refusesParts("visrad", "aa", "bb"))
}

// Guards against a popular part that is refused because two requests are on the same ended instances,
// so that neither is.
func TestUndecidedRequestsDoNotCondemnTheirCommonPart(t *testing.T) {
	h := newHarness()
	one, two := h.suspectWith("visrad", "aa", "bb"), h.suspectWith("visrad", "aa", "cc")
	for range 6 {
		h.end(one, two)
		h.clock.Advance(time.Second)
	}
	h.end(h.suspectWith("visrad", "aa"))
	require.Zero(t, h.decide(0))
	h.end(one)
	require.Equal(t, 1, h.decide(0))
	_, refused := h.list.Refused(&one)
	require.True(t, refused)
	require.False(t, h.refusesParts("visrad", "aa"))
}

// Guards against a verdict that is made broader by the ends of instances whose crashing request is not
// known, because a daemon has not reported it or gives no answer.
func TestIncompleteEvidenceDoesNotBroadenAVerdict(t *testing.T) {
	h := newHarness()
	for range 5 {
		h.end(h.suspectWith("visrad", "ee", "ff"))
		h.clock.Advance(time.Second)
	}
	require.Equal(t, 1, h.decide(0))
	for range 2 {
		h.end(h.suspectWith("visrad", "ee"))
		h.clock.Advance(time.Second)
	}
	require.Zero(t, h.decide(0))
	require.Equal(t, 1, h.decide(allDaemonsKnown))
}

// Guards against a popular part that is refused because a part and a request crash instances that both
// come with it: it had completed before, and both are new.
func TestTwoCausesDoNotCondemnTheirCommonPart(t *testing.T) {
	h := newHarness()
	h.evidence.ClearPart("aa", 0)
	h.clock.Advance(time.Second)
	same := h.suspectWith("visrad", "aa", "bb")
	for n := range 6 {
		if n%2 == 0 {
			h.end(same)
		} else {
			h.end(h.suspectWith("visrad", "aa", "ee"))
		}
		h.clock.Advance(500 * time.Millisecond)
	}
	h.decide(0)
	require.False(t, h.refusesParts("visrad", "aa"))
	require.False(t, h.refusesParts("visrad", "aa", "bb"))
}

// Guards against a part that is not found because requests with it completed before it began to crash
// instances, and each of its requests, all of them new, ends three.
func TestPartThatWasSoundIsQuarantined(t *testing.T) {
	for name, interval := range map[string]time.Duration{"burst": 150 * time.Millisecond, "spaced": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.evidence.ClearPart("ee", 0)
			h.clock.Advance(time.Second)
			ended := 0
			for range 8 {
				s := h.suspectWith("visrad", "aa", "ee")
				s.Ran = 5 * time.Millisecond
				for range 3 {
					if _, refused := h.list.Refused(&s); !refused {
						h.clock.Advance(10 * time.Millisecond)
						h.end(s, h.suspectWith("visrad", "aa"))
						h.decide(allDaemonsKnown)
						ended++
					}
				}
				h.evidence.ClearPart("aa", 0)
				h.clock.Advance(interval)
			}
			require.True(t, h.refusesParts("visrad", "ee"))
			require.False(t, h.refusesParts("visrad", "aa"))
			require.LessOrEqual(t, ended, 6)
		})
	}
}

// Guards against a sound part that is refused because two requests of its user crash instances by
// themselves: others with the part complete meanwhile.
func TestTwoCrashingRequestsDoNotCondemnTheirSoundPart(t *testing.T) {
	h := newHarness()
	for range 3 {
		same := h.suspectWith("visrad", "aa")
		for range 5 {
			h.end(same)
			h.clock.Advance(500 * time.Millisecond)
			h.evidence.ClearPart("aa", 0)
			h.clock.Advance(500 * time.Millisecond)
			h.decide(allDaemonsKnown)
		}
		_, refused := h.list.Refused(&same)
		require.True(t, refused)
		require.False(t, h.refusesParts("visrad", "aa"))
	}
}

// A part stays refused for the time of a quarantine. Then one more crash refuses it again, and a
// release ends that.
func TestPartOnProbation(t *testing.T) {
	h := newHarness()
	for range 3 {
		h.end(h.suspectWith("visrad", "ee"))
		h.clock.Advance(time.Second)
	}
	require.Equal(t, 1, h.decide(allDaemonsKnown))
	h.clock.Advance(Duration)
	require.False(t, h.refusesParts("visrad", "ee"))
	h.end(h.suspectWith("visrad", "ee"))
	require.Equal(t, 1, h.decide(0))
	require.True(t, h.refusesParts("visrad", "ee"))
	s := h.suspectWith("visrad", "ee")
	d, ok := h.list.ToRelease(&s)
	require.True(t, ok)
	entry, ok := h.list.Release(d)
	require.True(t, ok)
	h.evidence.ClearEntry(entry)
	h.clock.Advance(time.Second)
	h.end(h.suspectWith("visrad", "ee"))
	require.Zero(t, h.decide(allDaemonsKnown))
	require.False(t, h.refusesParts("visrad", "ee"))
}

// Parts are hexadecimal numbers: case and leading zeros do not matter. Long ones are shortened.
func TestPartsAreNormalised(t *testing.T) {
	for _, same := range []string{"ee", "EE", "00eE"} {
		require.Equal(t, "ee", NormalisePart(same))
	}
	require.Equal(t, "0", NormalisePart("000"))
	require.Equal(t, "not hex", NormalisePart("Not hex"))
	require.LessOrEqual(t, len(NormalisePart(strings.Repeat("a", 10_000))), maxPartBytes)
	require.NotEqual(t, NormalisePart(strings.Repeat("a", 10_000)), NormalisePart(strings.Repeat("a", 10_001)))
}

// Requests with thousands of parts are on instances that end. What is kept is bounded, and a part that
// has never completed is kept before the others.
func TestPartsAreBounded(t *testing.T) {
	h := newHarness()
	completions := NewCompletions(h.clock)
	var parts []string
	for n := range 4000 {
		parts = append(parts, strconv.FormatInt(int64(0x1000+n), 16))
	}
	sound := h.suspectWith("visrad", parts...)
	completions.Record(&sound)
	ordered := completions.OrderParts(append(slices.Clone(parts), "ee"))
	require.Len(t, ordered, maxParts)
	require.Equal(t, "ee", ordered[0])
	require.Equal(t, []string{"ee"}, completions.SuspectParts(append(slices.Clone(parts), "ee")))
	for n := range 2 * maxCrashes {
		h.end(h.suspectWith("visrad", parts[n%3000:n%3000+maxParts]...))
	}
	require.LessOrEqual(t, h.evidence.parts, maxTotalParts)
	require.LessOrEqual(t, len(h.evidence.crashes), maxCrashes)
}

// Simulates a busy fleet in which requests have parts: a popular one, one of a user and sometimes one
// with which each instance ends that begins to answer. Racks lose power and single instances end by
// themselves. Only the crashing parts may be refused, whatever happens beside them.
//
//	PART_SEEDS=300 go test -count=1 -run TestOnlyTheCrashingPartIsQuarantined ./internal/quarantine
func TestOnlyTheCrashingPartIsQuarantined(t *testing.T) {
	seeds := uint64(8)
	if n, err := strconv.ParseUint(os.Getenv("PART_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for _, crashing := range [][]string{nil, {"ee"}, {"ee", "ff"}, {"ee", "ff", "e1", "e2"}} {
		wrong, worst, late, missed := 0, 0, 0, 0
		for seed := range seeds {
			m := &partModel{harness: newHarness(), random: rand.New(rand.NewPCG(seed, 9)), crashing: crashing, ended: map[string]int{}, fifth: map[string]time.Time{}, late: map[string]int{}}
			m.startedAt = m.clock.Now()
			for range 200 {
				m.step()
			}
			wrong += len(m.wrong)
			for _, w := range m.wrong {
				t.Logf("seed %d: %s", seed, w)
			}
			for _, part := range crashing {
				worst = max(worst, m.ended[part])
				late = max(late, m.late[part])
				if m.late[part] > 3 {
					t.Logf("seed %d: %d instances ended by %s, %d late", seed, m.ended[part], part, m.late[part])
				}
				if !m.refusesParts("visrad", "a0", part) {
					missed++
				}
			}
		}
		t.Logf("crashing parts %v: %d wrong verdicts, %d missed, instances ended by one at most %d, late %d", crashing, wrong, missed, worst, late)
		require.Zero(t, wrong)
		require.Zero(t, missed)
		require.LessOrEqual(t, late, 3)
	}
}

// partModel is the fleet of TestOnlyTheCrashingPartIsQuarantined.
type partModel struct {
	*harness
	random    *rand.Rand
	startedAt time.Time
	crashing  []string
	instances [18][]*partRun
	// ended counts the instances that ended by each part, and wrong has the verdicts on others.
	ended map[string]int
	wrong []string
	// fifth is when the fifth instance ended by each part, and late counts those that ended more than
	// contact_ms later, of which the users allow three.
	fifth map[string]time.Time
	late  map[string]int
}

type partRun struct {
	Suspect
	began time.Time
	lasts time.Duration
}

func (m *partModel) start(s Suspect, at int) {
	if _, refused := m.list.Refused(&s); refused {
		return
	}
	lasts := time.Duration(200+m.random.IntN(3000)) * time.Millisecond
	m.instances[at] = append(m.instances[at], &partRun{Suspect: s, began: m.clock.Now(), lasts: lasts})
}

// step advances the simulation by 100 ms.
func (m *partModel) step() {
	m.clock.Advance(100 * time.Millisecond)
	now := m.clock.Now()
	for at := range m.instances {
		m.instances[at] = slices.DeleteFunc(m.instances[at], func(r *partRun) bool {
			if now.Sub(r.began) < r.lasts {
				return false
			}
			m.evidence.ClearRequest(r.Digest, 0)
			for _, part := range r.Parts {
				m.evidence.ClearPart(part, 0)
			}
			return true
		})
	}
	for range 12 {
		user := fmt.Sprint("user-", m.random.IntN(24))
		m.start(m.suspectWith("visrad", fmt.Sprint("a", m.random.IntN(3)), user), m.random.IntN(len(m.instances)))
	}
	var crashing []int
	for _, part := range m.crashing {
		if m.random.IntN(3*max(len(m.crashing)/2, 1)) > 0 || now.Sub(m.startedAt) < 4*time.Second || m.refusesParts("visrad", "a0", part) {
			continue
		}
		at := m.random.IntN(len(m.instances))
		m.start(m.suspectWith("visrad", "a0", part), at)
		crashing = append(crashing, at)
		if m.ended[part]++; m.ended[part] == 5 {
			m.fifth[part] = now
		} else if m.ended[part] > 5 && now.Sub(m.fifth[part]) > 3*time.Second {
			m.late[part]++
		}
	}
	switch n := m.random.IntN(100); {
	case n < 2:
		rack := m.random.IntN(len(m.instances) / 3)
		crashing = append(crashing, 3*rack, 3*rack+1, 3*rack+2)
	case n < 4:
		crashing = append(crashing, m.random.IntN(len(m.instances)))
	}
	m.endInstances(crashing)
	running := Running{}
	for _, all := range m.instances {
		for _, r := range all {
			r.traits(func(t Trait) { running[t] = max(running[t], now.Sub(r.began)) })
		}
	}
	verdicts, _ := m.evidence.Culprits(m.clock.Since(m.startedAt), m.list, running)
	for _, v := range verdicts {
		m.list.Quarantine(v)
		if !slices.ContainsFunc(m.crashing, func(part string) bool { return slices.Contains(v.RefusedParts, part) }) {
			m.wrong = append(m.wrong, fmt.Sprintf("%v %+v", m.clock.Now(), v))
		}
	}
}

// endInstances ends the given instances. Half of their requests are sent to others.
func (m *partModel) endInstances(crashing []int) {
	var again []Suspect
	for _, at := range crashing {
		var suspects []Suspect
		for _, r := range m.instances[at] {
			r.Ran, r.Progress = m.clock.Since(r.began), m.clock.Since(r.began)
			suspects = append(suspects, r.Suspect)
			if m.random.IntN(2) == 0 && !slices.ContainsFunc(m.crashing, func(part string) bool { return slices.Contains(r.Parts, part) }) {
				again = append(again, r.Suspect)
			}
		}
		if len(suspects) > 0 {
			m.end(suspects...)
		}
		m.instances[at] = nil
	}
	for _, s := range again {
		m.start(s, m.random.IntN(len(m.instances)))
	}
}

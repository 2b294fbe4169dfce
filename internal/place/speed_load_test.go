package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

// fleetSim is instances of uneven speed behind daemons that learn about them with a delay.
type fleetSim struct {
	daemons, domains int
	// speeds has the speed of each instance; instance i is in the domain i mod domains.
	speeds []float64
	slots  int
	engine bool
	// noisy instances take 2.5 times as long for 15% of the time.
	noisy bool
	// interval is the time between two exchanges of work in seconds.
	interval float64
	// perSecond is the number of requests, and skew how many times the demand of another domain
	// the first domain has.
	perSecond, skew float64
	// hold is the time of a stream of events in seconds.
	hold    float64
	seeds   uint64
	seconds int
	// capacity is the memory of an engine; 0 means that it is always enough. full counts the
	// requests that are refused for want of it.
	capacity float64
	full     int

	random     *rand.Rand
	idleAt     [][]float64 // when each slot of an instance is free; an engine has one for prefill
	noisyUntil []float64
	quietUntil []float64
	pending    []event // in order
	holding    [][]job // end and tokens of the requests at each instance
	queued     [][]job // engines: work and its first event
	known      []daemonSim
	ids        []string
	exchanged  float64 // when work was last exchanged
	// result: the times of all requests, and the part of them that left the domain, by second
	times   []float64
	crossed []float64
	asked   []float64
}

type job struct{ at, work float64 }

// daemonSim is what one daemon knows.
type daemonSim struct {
	means speed.Means
	at    []seenSim
}

// seenSim is what a daemon knows of one instance.
type seenSim struct {
	speed                speed.Estimator
	others               speed.Others
	inFlight, open       int
	load, loadAt         float64
	waiting, own, tokens float64
	meanTokens           float64
}

// event is an answer: the head of a stream or the end of a plain one, and the end of the request.
type event struct {
	at                 float64
	daemon, instance   int
	multiple, slowdown float64
	tokens             float64
	end                bool
}

const (
	simRate = 17_000.0
	simWork = 0.030
)

func at(seconds float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// slowdown returns the present slowdown of an instance's machine.
func (s *fleetSim) slowdown(i int, now float64) float64 {
	for s.noisy && now >= s.quietUntil[i] {
		s.noisyUntil[i] = s.quietUntil[i] + 1.5*s.random.ExpFloat64()
		s.quietUntil[i] = s.noisyUntil[i] + 8.5*s.random.ExpFloat64()
	}
	if now < s.noisyUntil[i] {
		return 2.5
	}
	return 1
}

// placement chooses among the candidates of a daemon.
type placement func(all []Candidate, r Request, random *rand.Rand) (Candidate, bool)

// withoutFactors returns the candidates as they are where the speed of instances does not count.
func withoutFactors(all []Candidate) []Candidate {
	out := slices.Clone(all)
	for i := range out {
		out[i].Factor = 0
	}
	return out
}

// byCost places prompts by cost with the speed of instances.
func byCost(all []Candidate, r Request, random *rand.Rand) (Candidate, bool) {
	return LowestCost(all, r.Key, random)
}

func today(all []Candidate, r Request, random *rand.Rand) (Candidate, bool) {
	if r.Engine {
		return LowestCost(Local(withoutFactors(all)), r.Key, random)
	}
	return LeastLoaded(all, random)
}

func leastLoaded(all []Candidate, _ Request, random *rand.Rand) (Candidate, bool) {
	return LeastLoaded(all, random)
}

func atRandom(all []Candidate, _ Request, random *rand.Rand) (Candidate, bool) {
	return all[random.IntN(len(all))], true
}

func (s fleetSim) run(seed uint64, seconds float64, pick placement) fleetSim {
	n := len(s.speeds)
	s.random = rand.New(rand.NewPCG(seed, 7))
	s.idleAt, s.holding, s.queued = make([][]float64, n), make([][]job, n), make([][]job, n)
	s.noisyUntil, s.quietUntil = make([]float64, n), make([]float64, n)
	s.crossed, s.asked = make([]float64, int(seconds)+1), make([]float64, int(seconds)+1)
	for i := range n {
		s.idleAt[i] = make([]float64, s.slots)
		if s.engine {
			s.idleAt[i] = make([]float64, 1)
		}
		s.quietUntil[i] = 8.5 * s.random.ExpFloat64()
		s.ids = append(s.ids, fmt.Sprint("i-", i))
	}
	for range s.daemons {
		s.known = append(s.known, daemonSim{at: slices.Repeat([]seenSim{{meanTokens: 4091}}, n)})
	}
	nextSpeeds := 0.0
	s.exchanged = -s.interval
	for now := s.random.ExpFloat64() / s.perSecond; now < seconds; now += s.random.ExpFloat64() / s.perSecond {
		for len(s.pending) > 0 && s.pending[0].at <= now {
			s.answer(s.pending[0])
			s.pending = s.pending[1:]
		}
		if now >= s.exchanged+s.interval {
			s.exchangeWork(now)
			s.exchanged = now
		}
		if now >= nextSpeeds {
			s.exchangeSpeeds(now)
			nextSpeeds = now + max(0.5, s.interval)
		}
		domain := 0
		if u := s.random.Float64() * (float64(s.domains) - 1 + s.skew); u >= s.skew {
			domain = min(1+int(u-s.skew), s.domains-1)
		}
		s.request(s.random.IntN(s.daemons/s.domains)*s.domains+domain, now, pick)
	}
	slices.Sort(s.times)
	return s
}

func (s *fleetSim) answer(e event) {
	d := &s.known[e.daemon]
	seen := &d.at[e.instance]
	if e.end {
		seen.inFlight--
		seen.tokens -= e.tokens
		return
	}
	if multiple, ok := d.means.Compare(speed.Kind{}, e.multiple, at(e.at)); ok {
		seen.speed.Observe(multiple, at(e.at))
	}
	seen.speed.Report(e.slowdown*(0.8+0.4*s.random.Float64()), at(e.at))
	all, _ := s.held(e.instance, e.at)
	seen.load, seen.loadAt = float64(max(all-seen.inFlight, 0)), e.at
}

// exchangeWork tells all daemons the work and the open requests at each instance.
func (s *fleetSim) exchangeWork(now float64) {
	for i := range s.speeds {
		s.held(i, now)
		s.queued[i] = slices.DeleteFunc(s.queued[i], func(j job) bool { return j.at <= now })
		waiting := 0.0
		for _, j := range s.queued[i] {
			waiting += j.work
		}
		for d := range s.known {
			seen := &s.known[d].at[i]
			seen.waiting, seen.own, seen.open = waiting, 0, len(s.holding[i])
		}
	}
}

// held returns the number and the tokens of the requests at an instance.
func (s *fleetSim) held(i int, now float64) (n int, tokens float64) {
	s.holding[i] = slices.DeleteFunc(s.holding[i], func(j job) bool { return j.at <= now })
	for _, j := range s.holding[i] {
		tokens += j.work
	}
	return len(s.holding[i]), tokens
}

func (s *fleetSim) exchangeSpeeds(now float64) {
	for i := range s.speeds {
		all := speed.Sample{Factor: 1}
		for d := range s.known {
			s.known[d].at[i].speed.MarkSent()
			all = all.Sum(s.known[d].at[i].speed.Sent(at(now)))
		}
		for d := range s.known {
			seen := &s.known[d].at[i]
			seen.others = speed.Others{Sample: all.Without(seen.speed.Sent(at(now))), At: at(now)}
		}
	}
}

func (s *fleetSim) request(daemon int, now float64, pick placement) {
	d := &s.known[daemon]
	work, subject := [...]float64{9190, 2368, 715}[s.random.IntN(3)], fmt.Sprint(s.random.IntN(10_000))
	r := Request{Engine: s.engine, Hold: time.Duration(simWork * float64(time.Second)), Objective: 150 * time.Millisecond}
	if s.engine {
		r = Request{Engine: true, Key: subject, Tokens: work, Capacity: s.capacity, PerWork: 1 / simRate, Hold: time.Duration(s.hold * float64(time.Second)), Objective: 2 * time.Second,
			Unseen: time.Duration((now - s.exchanged) * (1 - 1/float64(s.daemons)) * float64(time.Second))}
	}
	all := make([]Candidate, len(s.speeds))
	for i := range all {
		seen := &d.at[i]
		all[i] = Candidate{
			ID: s.ids[i], Local: i%s.domains == daemon%s.domains, Slots: s.slots, Prefill: work, Open: seen.open,
			Load:    float64(seen.inFlight) + seen.load*math.Exp2((seen.loadAt-now)/0.7),
			Waiting: seen.own + seen.waiting*math.Exp2(s.exchanged-now), Factor: seen.speed.Factor(seen.others, at(now)).Now,
			Tokens: seen.tokens + OthersTokens(seen.open-seen.inFlight, seen.meanTokens),
		}
		if !s.engine {
			all[i].Waiting, all[i].Prefill = 0, 0
		}
	}
	picked, _ := pick(all, r, s.random)
	i := slices.Index(s.ids, picked.ID)
	s.asked[int(now)]++
	if !picked.Local {
		s.crossed[int(now)]++
	}
	if _, tokens := s.held(i, now); s.capacity > 0 && tokens+work > s.capacity {
		s.full++
		return
	}
	seen := &d.at[i]
	seen.inFlight++
	slowdown := s.slowdown(i, now)
	if !s.engine {
		slot := slices.Index(s.idleAt[i], slices.Min(s.idleAt[i]))
		start := max(s.idleAt[i][slot], now)
		end := start + simWork*math.Exp(0.4*s.random.NormFloat64()-0.08)/s.speeds[i]*slowdown
		s.idleAt[i][slot] = end
		s.holding[i] = append(s.holding[i], job{end, 0})
		slots := float64(s.slots)
		s.finish(event{at: end, daemon: daemon, instance: i, slowdown: slowdown, multiple: (end - now) / (1 + max(all[i].Load+1-slots, 0)/slots)}, end, now)
		return
	}
	first := max(s.idleAt[i][0], now) + work/simRate/s.speeds[i]*slowdown
	s.idleAt[i][0] = first
	end := first + s.hold*(0.5+s.random.Float64())/s.speeds[i]
	s.holding[i] = append(s.holding[i], job{end, work})
	seen.tokens += work
	seen.meanTokens += (work - seen.meanTokens) / 4
	s.queued[i] = append(s.queued[i], job{first, work})
	seen.own += work
	seen.open++
	s.finish(event{at: first, daemon: daemon, tokens: work, instance: i, slowdown: slowdown, multiple: (first - now + 0.06) / (0.06 + (all[i].Waiting+work)/simRate)}, end, now)
}

func (s *fleetSim) finish(e event, end, now float64) {
	for _, e := range []event{e, {at: end, daemon: e.daemon, instance: e.instance, tokens: e.tokens, end: true}} {
		place, _ := slices.BinarySearchFunc(s.pending, e, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		s.pending = slices.Insert(s.pending, place, e)
	}
	s.times = append(s.times, e.at-now)
}

// late returns the fraction of requests that took longer than the limit, over some seeds, the part
// that left their failure domain, and how much that part changes from one second to the next.
func (s fleetSim) late(limit float64, pick placement) (late, crossed, step float64) {
	for seed := range s.seeds {
		done := s.run(seed, float64(s.seconds), pick)
		late += fractionLate(done.times, limit) / float64(s.seeds)
		weight := 1 / float64(s.seconds-1) / float64(s.seeds)
		for i := 1; i < s.seconds; i++ {
			part := done.crossed[i] / done.asked[i]
			crossed += part * weight
			step += math.Abs(part-done.crossed[i-1]/done.asked[i-1]) * weight
		}
	}
	return late, crossed, step
}

// Guards against callers who wait for a slow instance while others are free. Four plain servers
// have 6 slots and 30 ms of work, and one is six times as slow; load is 60% of their capacity.
// Then all four are fast and a noisy neighbour takes 2.5 times as long at each for 15% of the time.
func TestPlainServersOfUnevenSpeed(t *testing.T) {
	sim := fleetSim{daemons: 20, domains: 1, speeds: []float64{1, 1, 1, 1. / 6}, slots: 6, interval: 0.1, perSecond: 380, skew: 1, seeds: 2, seconds: 40}
	const limit = 0.15
	now, _, _ := sim.late(limit, today)
	random, _, _ := sim.late(limit, atRandom)
	soonest, _, _ := sim.late(limit, Soonest)
	t.Logf("slow server: late today %.4f, at random %.4f, soonest %.4f", now, random, soonest)
	require.Less(t, soonest, min(0.01, now/5, random))

	sim.speeds, sim.noisy, sim.perSecond = []float64{1, 1, 1, 1}, true, 400
	now, _, _ = sim.late(limit, today)
	soonest, _, _ = sim.late(limit, Soonest)
	t.Logf("noisy neighbours: late today %.4f, soonest %.4f", now, soonest)
	require.LessOrEqual(t, soonest, now)
}

// Guards against prompts that wait at slow engines, and against daemons that all choose the same
// fast one. Engines have the speeds 0.6, 1 and 1.6 and noisy neighbours, and 60% of their capacity
// is asked for.
func TestEnginesOfUnevenSpeed(t *testing.T) {
	sim := fleetSim{daemons: 20, domains: 1, slots: 64, engine: true, noisy: true, hold: 2, interval: 0.1, skew: 1, seeds: 4, seconds: 60, perSecond: 16 * simRate / 4091 * 0.6}
	for i := range 15 {
		sim.speeds = append(sim.speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	const limit = 2
	now, _, _ := sim.late(limit, today)
	least, _, _ := sim.late(limit, leastLoaded)
	random, _, _ := sim.late(limit, atRandom)
	soonest, _, _ := sim.late(limit, Soonest)
	cost, _, _ := sim.late(limit, byCost)
	t.Logf("late today %.4f, least loaded %.4f, at random %.4f, soonest %.4f, by cost %.4f", now, least, random, soonest, cost)
	require.Less(t, soonest, 0.6*min(now, least, random))
	require.Less(t, cost, now, "the speed of instances must not do harm")
}

// Guards against a full failure domain beside idle ones, and against work that moves to and fro
// between domains with each exchange. One of four domains has three times the demand of another,
// and figures are up to 1.5 s old.
func TestFailureDomainWithThreeTimesTheDemand(t *testing.T) {
	sim := fleetSim{daemons: 20, domains: 4, slots: 64, engine: true, noisy: true, hold: 2, interval: 1.5, skew: 3, seeds: 2, seconds: 25, perSecond: 64 * simRate / 4091 * 0.6}
	for i := range 60 {
		sim.speeds = append(sim.speeds, []float64{0.6, 1, 1.6}[i/4%3])
	}
	const limit = 2
	now, _, nowStep := sim.late(limit, today)
	least, _, _ := sim.late(limit, leastLoaded)
	random, _, _ := sim.late(limit, atRandom)
	soonest, crossed, step := sim.late(limit, Soonest)
	t.Logf("late today %.4f, least loaded %.4f, at random %.4f, soonest %.4f; crossed %.2f, step %.3f, today %.3f", now, least, random, soonest, crossed, step, nowStep)
	require.Less(t, soonest, min(0.6*now, least, random))
	require.Less(t, crossed, 0.45)
	require.Less(t, step, nowStep)
}

// Guards against prompts that are refused by an engine without memory while others have some.
func TestEnginesWithLittleMemory(t *testing.T) {
	sim := fleetSim{daemons: 20, domains: 1, slots: 64, engine: true, interval: 0.1, skew: 1, perSecond: 16 * simRate / 4091 * 0.6, hold: 10, capacity: 160_000}
	for i := range 15 {
		sim.speeds = append(sim.speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	blind := func(all []Candidate, r Request, random *rand.Rand) (Candidate, bool) {
		r.Capacity = 0
		return Soonest(all, r, random)
	}
	full := func(pick placement) (n int) {
		for seed := range uint64(3) {
			n += sim.run(seed, 100, pick).full
		}
		return n
	}
	now, without, soonest := full(today), full(blind), full(Soonest)
	t.Logf("refused for want of memory: today %d, without counting %d, soonest %d of some 10,800", now, without, soonest)
	require.Less(t, soonest, min(now/2, without/4))
}

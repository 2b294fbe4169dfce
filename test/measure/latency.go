package main

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamsill/hornbeamsill/internal/route"
)

// Parameters of the latency simulation. Times are in milliseconds of virtual time.
const (
	latEngines = 12
	latSlots   = 8
	latDaemons = 6
	latTokens  = 60
	// latToken is the duration of a decoding step with one running attempt. Each further
	// attempt in the batch adds the fraction latBatch of it.
	latToken = 10.0
	latBatch = 0.05
	// latPrefill is the prefill time of a prompt that is not cached. A cached prompt takes a
	// fifth of it.
	latPrefill  = 200.0
	latSessions = 120
	latCached   = 12 // prompts in the cache of an engine
	latStep     = 5.0
	latLength   = 90_000.0
	latWarmup   = 15_000.0
	latSeeds    = 8
)

// latJob is one request with its state in the engine. prefill is the remaining prefill time,
// length the number of tokens and tokens the number that remain.
type latJob struct {
	arrived, first, last float64
	prefix               uint64
	prefill              float64
	tokens, length       float64
	daemon               int
	engine               int
}

// latEngine simulates an engine with continuous batching. slow multiplies its times.
type latEngine struct {
	running, waiting []*latJob
	cache            []uint64
	slow             float64
	dead             bool
}

func (e *latEngine) load() int { return len(e.running) + len(e.waiting) }

// advance runs the engine for latStep and passes each finished job to done.
func (e *latEngine) advance(now float64, done func(*latJob)) {
	for len(e.waiting) > 0 && len(e.running) < latSlots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.prefill = latPrefill * e.slow
		if at := slices.Index(e.cache, j.prefix); at >= 0 {
			j.prefill /= 5
			e.cache = slices.Delete(e.cache, at, at+1)
		}
		e.cache = append(e.cache, j.prefix)
		if len(e.cache) > latCached {
			e.cache = e.cache[1:]
		}
		e.running = append(e.running, j)
	}
	step := latToken * e.slow * (1 + latBatch*float64(len(e.running)-1))
	e.running = slices.DeleteFunc(e.running, func(j *latJob) bool {
		if j.prefill > 0 {
			j.prefill -= latStep
			return false
		}
		if j.first == 0 {
			j.first = now
		}
		j.tokens -= latStep / step
		if j.tokens > 0 {
			return false
		}
		j.last = now
		done(j)
		return true
	})
}

// latDaemon knows the load of the engines from their reports and from the requests that it has
// sent since the last report.
type latDaemon struct {
	reported  []int
	sentSince []int
	next      int
	// token is the smoothed time between tokens of each engine; 0 means unknown.
	token []float64
}

// observe updates the smoothed time between tokens from a finished job, as the daemon does.
func (d *latDaemon) observe(j *latJob) {
	if d.token == nil {
		d.token = make([]float64, latEngines)
	}
	sample := (j.last - j.first) / j.length
	if d.token[j.engine] == 0 {
		d.token[j.engine] = sample
	}
	d.token[j.engine] += 0.1 * (sample - d.token[j.engine])
}

// latPolicy returns the index of the engine for a request.
type latPolicy func(d *latDaemon, prefix uint64, random *rand.Rand) int

func latRandom(_ *latDaemon, _ uint64, random *rand.Rand) int { return random.IntN(latEngines) }

func latRoundRobin(d *latDaemon, _ uint64, _ *rand.Rand) int {
	d.next = (d.next + 1) % latEngines
	return d.next
}

func latLeastReported(d *latDaemon, _ uint64, _ *rand.Rand) int {
	best := 0
	for i, n := range d.reported {
		if n < d.reported[best] {
			best = i
		}
	}
	return best
}

// latRouter returns the router's policy: route.PickUpstream, called as the daemon calls it.
func latRouter(bound float64) latPolicy {
	return func(d *latDaemon, prefix uint64, random *rand.Rand) int {
		loads := make([]route.UpstreamLoad, latEngines)
		for i := range loads {
			loads[i] = route.UpstreamLoad{ID: fmt.Sprintf("e%02d", i), Slots: latSlots, Attempts: route.EstimateLoad(d.reported[i], d.sentSince[i])}
		}
		const noLimit = 1e9
		pick, _ := route.PickUpstream(loads, prefix, bound, noLimit, random)
		var at int
		_, _ = fmt.Sscanf(pick.ID, "e%d", &at)
		return at
	}
}

// latLeastEstimated picks the engine with the least load by the router's estimate, instead of
// the better of two random choices.
func latLeastEstimated(d *latDaemon, _ uint64, random *rand.Rand) int {
	offset := random.IntN(latEngines)
	best := offset
	for i := range latEngines {
		at := (offset + i) % latEngines
		if d.reported[at]+d.sentSince[at] < d.reported[best]+d.sentSince[best] {
			best = at
		}
	}
	return best
}

// latScenario describes the conditions of a run.
type latScenario struct {
	name string
	// load is the offered load as a fraction of the engines' capacity.
	load float64
	// lag is the time between load reports.
	lag float64
	// slow makes one engine ten times slower. lost ends one in the middle of the run.
	slow, lost bool
}

// latResult has the times to the first token in milliseconds and the times between tokens in
// microseconds.
type latResult struct {
	first, between *hdrhistogram.Histogram
}

// latCapacity returns the number of jobs per millisecond that all engines together can finish.
func latCapacity() float64 {
	perJob := latPrefill*0.6 + latTokens*latToken*(1+latBatch*(latSlots-1))
	return latEngines * latSlots / perJob
}

func runLatency(c latScenario, pick latPolicy, seed uint64) latResult {
	random := rand.New(rand.NewPCG(seed, 4))
	engines := make([]*latEngine, latEngines)
	for i := range engines {
		engines[i] = &latEngine{slow: 1}
	}
	if c.slow {
		engines[0].slow = 10
	}
	daemons := make([]*latDaemon, latDaemons)
	for i := range daemons {
		daemons[i] = &latDaemon{reported: make([]int, latEngines), sentSince: make([]int, latEngines)}
	}
	out := latResult{first: hdrhistogram.New(1, 1e7, 3), between: hdrhistogram.New(1, 1e7, 3)}
	record := func(j *latJob) {
		daemons[j.daemon].observe(j)
		if j.arrived > latWarmup {
			_ = out.first.RecordValue(int64(j.first - j.arrived))
			_ = out.between.RecordValue(int64(1000 * (j.last - j.first) / j.length))
		}
	}
	nextArrival, nextReport := 0.0, 0.0
	for now := 0.0; now < latLength; now += latStep {
		if now >= nextReport {
			nextReport = now + c.lag
			for i, e := range engines {
				for _, d := range daemons {
					d.reported[i], d.sentSince[i] = e.load(), 0
				}
			}
		}
		if c.lost && now >= latLength/2 && !engines[1].dead {
			engines[1].dead = true
			engines[1].running, engines[1].waiting = nil, nil
		}
		for nextArrival <= now {
			nextArrival += random.ExpFloat64() / (latCapacity() * c.load)
			d := random.IntN(latDaemons)
			j := &latJob{arrived: now, prefix: random.Uint64N(latSessions), daemon: d}
			j.length = max(1, random.ExpFloat64()*latTokens)
			j.tokens = j.length
			at := latSend(daemons[d], engines, j.prefix, pick, random)
			j.engine = at
			engines[at].waiting = append(engines[at].waiting, j)
			daemons[d].sentSince[at]++
		}
		for _, e := range engines {
			e.advance(now, record)
		}
	}
	for _, e := range engines {
		for _, j := range append(e.running, e.waiting...) {
			// Jobs without a first token count with their time so far; otherwise the
			// slowest answers would be missing from the result.
			if j.first == 0 && j.arrived > latWarmup {
				_ = out.first.RecordValue(int64(latLength - j.arrived))
			}
		}
	}
	return out
}

// latSend picks engines until one is alive. A dead engine refuses the connection, which the
// daemon notices at once under every policy, so that the request goes to another engine.
func latSend(d *latDaemon, engines []*latEngine, prefix uint64, pick latPolicy, random *rand.Rand) int {
	for range 3 {
		at := pick(d, prefix, random)
		if !engines[at].dead {
			return at
		}
		d.reported[at] = 1 << 20
	}
	for {
		if at := random.IntN(latEngines); !engines[at].dead {
			return at
		}
	}
}

func measureLatency() []table {
	t := table{
		Name:    "Time to the first token and between tokens, in ms",
		Columns: []string{"circumstance", "policy", "first p50", "first p95", "between p50", "between p95"},
	}
	policies := []struct {
		name string
		pick latPolicy
	}{
		{"router: two choices, affinity bound 1.25", latRouter(1.25)},
		{"router without affinity", latRouter(-1e9)},
		{"least of reports and own work", latLeastEstimated},
		{"least reported", latLeastReported},
		{"round robin", latRoundRobin},
		{"random", latRandom},
	}
	for _, c := range []latScenario{
		{name: "50% load", load: 0.5, lag: 200},
		{name: "80% load", load: 0.8, lag: 200},
		{name: "95% load", load: 0.95, lag: 200},
		{name: "80% load, reports 1 s late", load: 0.8, lag: 1000},
		{name: "70% load, one engine ten times slower", load: 0.7, lag: 200, slow: true},
		{name: "70% load, one engine lost", load: 0.7, lag: 200, lost: true},
	} {
		for _, p := range policies {
			r := latResult{first: hdrhistogram.New(1, 1e7, 3), between: hdrhistogram.New(1, 1e7, 3)}
			for seed := range uint64(latSeeds) {
				one := runLatency(c, p.pick, seed)
				r.first.Merge(one.first)
				r.between.Merge(one.between)
			}
			t.add(c.name, p.name, r.first.ValueAtQuantile(50), r.first.ValueAtQuantile(95),
				float64(r.between.ValueAtQuantile(50))/1000, float64(r.between.ValueAtQuantile(95))/1000)
		}
	}
	return []table{t}
}

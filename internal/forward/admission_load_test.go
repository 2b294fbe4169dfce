package forward

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/cascade"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

// The simulated fleet. Daemons learn each other's requests every half second, 200 ms late.
// Engines queue by priority and run a request at each slot until it ends or its caller leaves.
// The fleet completes about 133 requests of a mean of 1.2 s in a second.
const (
	loadDaemons   = 20
	loadEngines   = 20
	loadSlots     = 8
	loadMean      = 1.2
	loadTimeout   = 6 * time.Second
	loadObjective = 2 * time.Second
	loadSeconds   = 30
	loadCapacity  = loadEngines * loadSlots / loadMean
	loadOrgs      = 24
)

// dispatchPolicy is how daemons treat requests.
type dispatchPolicy int

const (
	immediate  dispatchPolicy = iota // today's behaviour
	firstCome                        // a queue in the order of arrival that refuses nothing
	controlled                       // admission control
)

// loadEvent is a future event of a simulation.
type loadEvent struct {
	at    time.Duration
	order int
	run   func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int { return len(h) }
func (h loadEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h loadEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)   { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loadRequest is a request of a simulated caller.
type loadRequest struct {
	org               string
	priority          int
	arrived, deadline time.Duration
	sent              time.Duration
	service           time.Duration
	retried           bool
	daemon, engine    int
	ended, running    bool
	returning         bool
}

// loadScenario is the demand over time. impatient callers ignore Retry-After.
type loadScenario struct {
	name      string
	rate      func(second float64) float64
	org       func(random *rand.Rand, second float64) int
	impatient bool
}

// loadResult counts requests by their outcome, and those of all organisations but the first.
type loadResult struct {
	all, inTime, onTime, others, othersInTime, expired, refused int
	firstRefusal                                                time.Duration
}

func (r loadResult) String() string {
	return fmt.Sprintf("%d requests: %.3f in time, %.3f within the objective, %.3f expired, %.3f refused; %.3f of other organisations in time",
		r.all, r.fraction(r.inTime), r.fraction(r.onTime), r.fraction(r.expired), r.fraction(r.refused), float64(r.othersInTime)/float64(max(r.others, 1)))
}

func (r loadResult) fraction(n int) float64 { return float64(n) / float64(max(r.all, 1)) }

type loadSimulation struct {
	policy   dispatchPolicy
	scenario loadScenario
	random   *rand.Rand
	clock    *clockwork.FakeClock
	start    time.Time
	now      time.Duration
	events   loadEvents
	order    int
	result   loadResult

	engines []*loadEngine
	daemons []*loadDaemon
}

type loadEngine struct {
	running int
	waiting []*loadRequest
}

type loadDaemon struct {
	index int
	open  [loadEngines]int
	// total and own are the open requests of all daemons and of this one at the last report.
	total, own [loadEngines]int
	// others are the requests of other daemons as the engine reported with its last answer.
	others     [loadEngines]float64
	reportedAt [loadEngines]time.Duration
	load       *serviceLoad
	answers    *cascade.LatencyEstimator
	queue      *limit.Queue
	fifo       []*loadRequest
}

func runLoad(policy dispatchPolicy, scenario loadScenario, seed uint64) loadResult {
	s := &loadSimulation{policy: policy, scenario: scenario, random: rand.New(rand.NewPCG(seed, 7)), clock: clockwork.NewFakeClock()}
	s.start = s.clock.Now()
	for range loadEngines {
		s.engines = append(s.engines, &loadEngine{})
	}
	for i := range loadDaemons {
		d := &loadDaemon{index: i, load: &serviceLoad{name: "engines"}, answers: cascade.NewLatencyEstimator()}
		d.queue = limit.NewQueueWith(s.clock, limit.QueueOptions{ExpectedRate: d.load.expectedRate, Tries: queueTries, MaxWaiting: maxWaiting})
		s.daemons = append(s.daemons, d)
	}
	s.after(0, s.report)
	s.after(0, s.check)
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(loadEvent)
		s.clock.Advance(e.at - s.now)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *loadSimulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, loadEvent{at: s.now + d, order: s.order, run: run})
}

// isOver reports whether the demand has ended and all callers have their answer.
func (s *loadSimulation) isOver() bool { return s.now > loadSeconds*time.Second+loadTimeout }

// report sends the open requests to all daemons.
func (s *loadSimulation) report() {
	var total [loadEngines]int
	var own [loadDaemons][loadEngines]int
	for i, d := range s.daemons {
		own[i] = d.open
		for e, n := range d.open {
			total[e] += n
		}
	}
	s.after(200*time.Millisecond, func() {
		for i, d := range s.daemons {
			d.total, d.own = total, own[i]
		}
	})
	if !s.isOver() {
		s.after(viewInterval, s.report)
	}
}

// check is the periodic check of the queues.
func (s *loadSimulation) check() {
	for _, d := range s.daemons {
		s.grant(d)
	}
	if !s.isOver() {
		s.after(checkInterval, s.check)
	}
}

func (s *loadSimulation) arrive() {
	second := s.now.Seconds()
	if second > loadSeconds {
		return
	}
	r := &loadRequest{
		org: fmt.Sprint("org-", s.scenario.org(s.random, second)), priority: s.random.IntN(2), arrived: s.now, deadline: s.now + loadTimeout,
		service: time.Duration(loadMean * (0.25 + 1.5*s.random.Float64()) * float64(time.Second)),
	}
	s.result.all++
	if r.org != "org-0" {
		s.result.others++
	}
	s.submit(r)
	s.after(time.Duration(s.random.ExpFloat64()/s.scenario.rate(second)*float64(time.Second)), s.arrive)
}

// submit brings a request to a random daemon.
func (s *loadSimulation) submit(r *loadRequest) {
	d := s.daemons[s.random.IntN(loadDaemons)]
	r.daemon = d.index
	switch s.policy {
	case immediate:
		best, _ := place.LeastLoaded(d.candidates(s.now), s.random)
		s.send(d, r, best)
	case firstCome:
		d.fifo = append(d.fifo, r)
		s.after(r.deadline-s.now, func() {
			if at := slices.Index(d.fifo, r); at >= 0 {
				d.fifo = slices.Delete(d.fifo, at, at+1)
				s.result.expired++
			}
		})
		s.grant(d)
	case controlled:
		d.load.waiting.Add(1)
		d.load.noteQueued(d.queue.Len() == 0, s.clock.Now())
		t := d.queue.Submit(limit.Work{
			Priority: -r.priority, Organisation: r.org, Cost: d.answers.Mean(cascade.Key{}, 1, s.clock.Now()).Seconds() + 1e-3, Deadline: s.start.Add(r.deadline), Returning: r.returning,
			ServiceTime: boundedServiceTime(d.answers.Estimate(cascade.Key{}, 1, s.clock.Now()), loadTimeout),
		}, func() bool { return s.tryStart(d, r) })
		s.await(d, r, t)
	}
}

// await polls the outcome of a ticket, which does not depend on the order of goroutines.
func (s *loadSimulation) await(d *loadDaemon, r *loadRequest, t *limit.Ticket) {
	select {
	case err := <-t.Done():
		d.load.waiting.Add(-1)
		if err != nil {
			s.refuse(r, err.(*limit.RefusedError))
		}
	default:
		s.after(checkInterval/10, func() { s.await(d, r, t) })
	}
}

// refuse makes the caller retry once, as told or at once.
func (s *loadSimulation) refuse(r *loadRequest, refused *limit.RefusedError) {
	if r.retried {
		s.result.refused++
		return
	}
	r.retried = true
	wait := retryAfter(refused.RetryAfter, r.deadline-s.now, s.random.Float64())
	if s.scenario.impatient {
		wait = time.Millisecond
	}
	s.after(wait, func() { s.submit(r) })
}

// tryStart sends a request if an engine has free capacity, as admission control decides.
func (s *loadSimulation) tryStart(d *loadDaemon, r *loadRequest) bool {
	rule := capacityRule{objective: loadObjective, prefillRate: 1, engine: true}
	free := d.load.free(d.candidates(s.now), rule, nil, fleetView{scale: 1, fraction: 1.0 / loadDaemons}, s.random.Float64, s.clock.Now())
	if len(free) == 0 {
		return false
	}
	best, _ := place.LeastLoaded(free, s.random)
	d.load.noteGranted(best.ID, s.clock.Now())
	s.send(d, r, best)
	return true
}

// candidates returns the engines as the daemon sees them.
func (d *loadDaemon) candidates(now time.Duration) []place.Candidate {
	out := make([]place.Candidate, loadEngines)
	for e := range out {
		open := d.open[e] + max(d.total[e]-d.own[e], 0)
		load := float64(d.open[e]) + d.others[e]*math.Exp2(-(now-d.reportedAt[e]).Seconds()/0.7)
		out[e] = place.Candidate{ID: fmt.Sprint(e), Local: true, Slots: loadSlots, Open: open, Load: load}
	}
	return out
}

// grant sends the waiting requests of a daemon for which there is capacity.
func (s *loadSimulation) grant(d *loadDaemon) {
	if s.policy == controlled {
		d.queue.GrantWaiting()
		return
	}
	for len(d.fifo) > 0 && s.tryStart(d, d.fifo[0]) {
		d.fifo = d.fifo[1:]
	}
}

func (s *loadSimulation) send(d *loadDaemon, r *loadRequest, c place.Candidate) {
	_, _ = fmt.Sscan(c.ID, &r.engine)
	d.open[r.engine]++
	r.sent = s.now
	e := s.engines[r.engine]
	at, _ := slices.BinarySearchFunc(e.waiting, r.priority, func(other *loadRequest, priority int) int {
		return cmp.Or(cmp.Compare(other.priority, priority), -1)
	})
	e.waiting = slices.Insert(e.waiting, at, r)
	s.after(r.deadline-s.now, func() { s.end(r, false) })
	s.startWaiting(e)
}

func (s *loadSimulation) startWaiting(e *loadEngine) {
	for e.running < loadSlots && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		r.running = true
		if s.now-r.arrived <= loadObjective {
			s.result.onTime++
		}
		s.after(r.service, func() {
			if !r.ended {
				d := s.daemons[r.daemon]
				d.load.noteEnded(fmt.Sprint(r.engine), s.now-r.sent, s.clock.Now())
				d.answers.Observe(cascade.Key{}, s.now-r.sent, 0, 1, s.clock.Now())
			}
			s.end(r, true)
		})
	}
}

// end ends a request at its engine, with its answer or at its deadline.
func (s *loadSimulation) end(r *loadRequest, answered bool) {
	if r.ended {
		return
	}
	r.ended = true
	d, e := s.daemons[r.daemon], s.engines[r.engine]
	d.open[r.engine]--
	if r.running {
		e.running--
	} else {
		e.waiting = slices.DeleteFunc(e.waiting, func(other *loadRequest) bool { return other == r })
	}
	switch {
	case !answered:
		s.result.expired++
	case r.org != "org-0":
		s.result.othersInTime++
		fallthrough
	default:
		s.result.inTime++
	}
	s.startWaiting(e)
	d.others[r.engine], d.reportedAt[r.engine] = float64(e.running+len(e.waiting)-d.open[r.engine]), s.now
	s.grant(d)
}

func evenOrg(random *rand.Rand, _ float64) int { return random.IntN(loadOrgs) }

// loadScenarios are those of the deployments: one organisation at 7.5 times its usual demand, a
// burst, callers that retry at once, and a swing of 55%.
var loadScenarios = []loadScenario{
	{name: "greedy", rate: func(float64) float64 { return 1.3 * loadCapacity }, org: func(random *rand.Rand, _ float64) int {
		if random.Float64() < 7.5/(7.5+loadOrgs-1) {
			return 0
		}
		return 1 + random.IntN(loadOrgs-1)
	}},
	{name: "burst", org: evenOrg, rate: func(second float64) float64 {
		if second > 10 && second < 15 {
			return 1.7 * loadCapacity
		}
		return 0.8 * loadCapacity
	}},
	{name: "impatient", org: evenOrg, impatient: true, rate: func(float64) float64 { return 1.5 * loadCapacity }},
	{name: "swing", org: evenOrg, rate: func(second float64) float64 {
		return 0.85 * loadCapacity * (1 + 0.55*math.Sin(second*2*math.Pi/20))
	}},
	{name: "calm", org: evenOrg, rate: func(float64) float64 { return 0.7 * loadCapacity }},
}

func TestLoadTrial(t *testing.T) {
	for _, scenario := range loadScenarios {
		for seed := range uint64(1) {
			for policy, name := range []string{"immediate", "first come", "controlled"} {
				t.Logf("%-10s %-11s %v", scenario.name, name, runLoad(dispatchPolicy(policy), scenario, seed))
			}
		}
	}
	require.True(t, true)
}

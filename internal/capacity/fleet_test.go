package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const (
	simService = "s"
	simStep    = 10 * time.Millisecond
	simDomains = 4
	// simWork is the work of a request, and simPatience how long it waits before it is refused.
	simWork     = 0.1
	simPatience = 500 * time.Millisecond
)

// fleet simulates daemons that exchange usage through one reader for each failure domain, and a
// service that completes a fixed amount of work per second. Requests beyond an organisation's share
// wait behind the others, as in the admission control.
type fleet struct {
	clock    *clockwork.FakeClock
	random   *rand.Rand
	daemons  []*simDaemon
	readers  [simDomains]*Sum
	capacity float64
	// loses reports whether a message is lost between a reader and a daemon, or between the readers
	// of two domains.
	loses       func(domain, daemon int) bool
	losesDomain func(from, to int) bool
	// within and beyond are the requests in the order in which they are served.
	within, beyond  []simRequest
	credit          float64
	arrived, served map[string]int
	changes         int
}

type simDaemon struct {
	meter   *Meter
	account *Account
	// granted accumulates the fractions of each organisation's requests that may start.
	granted map[string]float64
	waiting int
	// old is set for a build that does not exchange usage.
	dead, old bool
}

type simRequest struct {
	daemon       *simDaemon
	organisation string
	at           time.Time
}

func newFleet(n int, capacity float64) *fleet {
	f := &fleet{
		clock: clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), random: rand.New(rand.NewPCG(1, 2)), capacity: capacity,
	}
	f.loseNothing()
	for range n {
		f.addDaemon()
	}
	for i := range f.readers {
		f.readers[i] = NewSum()
	}
	f.reset()
	return f
}

// addDaemon starts a daemon.
func (f *fleet) addDaemon() *simDaemon {
	all := func(string) bool { return true }
	m := NewMeter(f.clock, all)
	d := &simDaemon{meter: m, account: NewAccount(f.clock, m, all), granted: map[string]float64{}}
	f.daemons = append(f.daemons, d)
	return d
}

func (f *fleet) loseNothing() {
	f.loses = func(int, int) bool { return false }
	f.losesDomain = f.loses
}

// reset sets the counts of requests and changes to zero.
func (f *fleet) reset() { f.arrived, f.served, f.changes = map[string]int{}, map[string]int{}, 0 }

// run simulates a time in which each organisation sends the given work per second.
func (f *fleet) run(d time.Duration, demand map[string]float64) {
	for range d / simStep {
		f.clock.Advance(simStep)
		for _, organisation := range f.random.Perm(len(demand)) {
			name := organisationName(organisation)
			for n := demand[name] / simWork * simStep.Seconds(); f.random.Float64() < n; n-- {
				f.arrive(name)
			}
		}
		f.serve()
		switch f.clock.Now().UnixMilli() % 1000 {
		case 900:
			f.collect()
		case 0:
			f.send()
		}
	}
}

func (f *fleet) arrive(organisation string) {
	d := &simDaemon{dead: true}
	for d.dead {
		d = f.daemons[f.random.IntN(len(f.daemons))]
	}
	f.arrived[organisation]++
	d.meter.Arrived(simService, organisation, simWork)
	r := simRequest{daemon: d, organisation: organisation, at: f.clock.Now()}
	d.wait(1)
	fraction, _ := d.account.Share(simService, organisation)
	if d.granted[organisation] += fraction; d.granted[organisation] >= 1 {
		d.granted[organisation]--
		f.within = append(f.within, r)
		return
	}
	f.beyond = append(f.beyond, r)
}

// serve completes work in order and refuses what has waited too long.
func (f *fleet) serve() {
	f.credit = min(f.credit, simWork) + f.capacity*simStep.Seconds()
	for _, queue := range []*[]simRequest{&f.within, &f.beyond} {
		for len(*queue) > 0 {
			r := (*queue)[0]
			late := f.clock.Since(r.at) > simPatience
			if !late && f.credit < simWork {
				break
			}
			*queue = (*queue)[1:]
			r.daemon.wait(-1)
			if late {
				r.daemon.meter.Refused(simService, r.organisation)
				continue
			}
			f.credit -= simWork
			f.served[r.organisation]++
			r.daemon.meter.Finished(simService, simWork)
		}
	}
}

// wait changes the number of requests that wait at a daemon.
func (d *simDaemon) wait(change int) {
	d.waiting += change
	d.meter.SetWaiting(simService, d.waiting)
}

// collect collects usage in each domain and exchanges it between domains.
func (f *fleet) collect() {
	now := f.clock.Now()
	for i, d := range f.daemons {
		if domain := i % simDomains; !d.dead && !d.old && !f.loses(domain, i) {
			f.readers[domain].Add(fmt.Sprint(i), d.meter.Usage().Bounded(), now)
		}
	}
	for from, reader := range f.readers {
		for to := range f.readers {
			if from != to && !f.losesDomain(from, to) {
				f.readers[to].AddDomain(fmt.Sprint(from), reader.Group(now), now)
			}
		}
	}
}

func (f *fleet) send() {
	now := f.clock.Now()
	for i, d := range f.daemons {
		if domain := i % simDomains; !d.dead && !d.old && !f.loses(domain, i) {
			f.changes += len(d.account.SetFleet(f.readers[domain].Fleet(now), now))
		}
	}
}

// share returns an organisation's share at this daemon.
func (d *simDaemon) share(organisation string) float64 {
	share, _ := d.account.Share(simService, organisation)
	return share
}

// service returns the state of the service as this daemon knows it.
func (d *simDaemon) service() Service { return d.account.Service(simService) }

func organisationName(i int) string { return fmt.Sprint("org-", i) }

// demandOf returns the demand of n organisations with 1 unit of work per second each, the first of
// which sends greed times as much.
func demandOf(n int, greed float64) map[string]float64 {
	out := map[string]float64{}
	for i := range n {
		out[organisationName(i)] = 1
	}
	out[organisationName(0)] = greed
	return out
}

const greedy = "org-0"

// minFairness is which fraction of the requests of all but the greedy organisation must be served.
// They send 23 units, and the service completes 26. Without shares it is 0.88 at most.
const minFairness = 0.95

func (f *fleet) requireFair(t *testing.T) {
	t.Helper()
	served, arrived := 0., 0.
	for organisation, n := range f.arrived {
		if organisation != greedy {
			served += float64(f.served[organisation])
			arrived += float64(n)
		}
	}
	t.Logf("served %.3f of the others", served/arrived)
	require.Greater(t, served/arrived, minFairness)
}

// Guards against an organisation at 7.5 times its usual load that takes the capacity from 23
// others, is cut to nothing itself, or stays limited after it has become modest.
func TestGreedyOrganisationOver70Daemons(t *testing.T) {
	f := newFleet(70, 26)
	f.run(5*time.Second, demandOf(24, 1))
	require.Equal(t, 1.0, f.daemons[0].share(greedy), "there is free capacity")
	f.run(2*time.Second, demandOf(24, 7.5))
	require.Less(t, f.daemons[0].share(greedy), 1.0, "known within two seconds")
	f.reset()
	f.run(10*time.Second, demandOf(24, 7.5))
	f.requireFair(t)
	fraction := float64(f.served[greedy]) / float64(f.arrived[greedy])
	t.Logf("served %.3f of the greedy one, share %.3f", fraction, f.daemons[0].share(greedy))
	require.Greater(t, fraction, minFraction*26/30.5)
	require.Zero(t, f.changes, "the state does not flap")
	f.run(3*time.Second, demandOf(24, 1))
	require.Equal(t, 1.0, f.daemons[0].share(greedy))
}

// Guards against capacity that stays reserved for an organisation that has stopped: another one
// gets it within two seconds.
func TestUnusedShareIsRedistributed(t *testing.T) {
	for phase := range 10 {
		f := newFleet(70, 20)
		demand := map[string]float64{"org-0": 15, "org-1": 15, "org-2": 1, "org-3": 1}
		f.run(8*time.Second+time.Duration(phase)*100*time.Millisecond, demand)
		require.InDelta(t, 0.6, f.daemons[0].share("org-0"), 0.1, "each of the large ones gets 9 units")
		demand["org-1"] = 0
		f.run(2*time.Second, demand)
		require.Greater(t, f.daemons[0].share("org-0"), 0.95, "phase %d", phase)
	}
}

package inventory_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/place"
)

// The simulated load is that of the plain servers of the first deployment: 70 daemons, four servers
// with six slots, 196 orders and 45 reads a second. Two servers lose 5% of their answers from
// second 5 to second 10. Daemons exchange their work and losses every 100 ms.
const (
	lossDaemons  = 70
	lossServers  = 4
	lossSlots    = 6
	lossWork     = 30 * time.Millisecond
	lossOrders   = 196.0
	lossReads    = 45.4
	lossSeconds  = 20
	lossRate     = 0.05
	lossInterval = 100 * time.Millisecond
	// lossObjective is the objective of the route.
	lossObjective = 150 * time.Millisecond
)

// lossResult is what the callers of one run got.
type lossResult struct {
	orders, lost, late int
	// refusals counts refused attempts, and failed the requests that all servers refused. unproven
	// counts the orders sent to a server that was not proven.
	refusals, failed, unproven int
	// mostOpen is the largest number of requests at a sound server during the fault.
	mostOpen int
}

type lossCall struct {
	at, arrived time.Duration
	daemon      int
	instance    inventory.Instance
	order       bool
	// tried are the servers that refused the request or lost its answer.
	tried map[string]bool
}

// ends orders running requests by their ends.
type ends []lossCall

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(c any)        { *e = append(*e, c.(lossCall)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// lossSim is the state of one run.
type lossSim struct {
	// arrivals is a source of its own, so that runs with the same seed get the same requests.
	random, arrivals *rand.Rand

	// errors is set if a server answers errors instead of losing answers, see errorSim.
	errors  *errorSim
	clock   *clockwork.FakeClock
	now     time.Duration
	proven  bool
	tables  []*inventory.Table
	open    map[string]int
	freeAt  map[string][]time.Duration
	running ends
	lossResult
}

func (s *lossSim) advance(to time.Duration) {
	s.clock.Advance(to - s.now)
	s.now = to
}

func (s *lossSim) isFaulty(id string) bool {
	return (id == "s-0" || id == "s-1") && s.now >= 5*time.Second && s.now < 10*time.Second
}

// send places a request and lets the server run it, after those that wait there. A server refuses a
// request if more than twice as many as it has slots would be there.
func (s *lossSim) send(c lossCall, repeated bool) {
	table := s.tables[c.daemon]
	var all []place.Candidate
	for _, v := range table.Usable("plain") {
		if c.tried[v.Instance.ID] {
			continue
		}
		all = append(all, place.Candidate{
			ID: v.Instance.ID, Local: true, Slots: v.Instance.Slots, Load: v.Load, Open: v.Open,
			Ejected: s.errors != nil && v.Ejected,
			Proof:   place.Proof{Unproven: !v.Proven, LostAt: v.LostAt},
		})
	}
	if s.proven && (c.order || repeated) {
		all = place.Proven(all)
	}
	picked, ok := place.LeastLoaded(all, s.random)
	if !ok {
		s.failed++
		return
	}
	c.instance, _ = table.Get(picked.ID)
	if s.open[picked.ID] >= 2*lossSlots {
		s.refusals++
		c.tried[picked.ID] = true
		s.send(c, repeated)
		return
	}
	if c.order && picked.Unproven {
		s.unproven++
	}
	table.Begin(c.instance, 0)
	s.open[picked.ID]++
	if s.now >= 5*time.Second && s.now < 10*time.Second && (picked.ID == "s-2" || picked.ID == "s-3") {
		s.mostOpen = max(s.mostOpen, s.open[picked.ID])
	}
	slots := s.freeAt[picked.ID]
	first := 0
	for i := range slots {
		if slots[i] < slots[first] {
			first = i
		}
	}
	slots[first] = max(slots[first], s.now) + time.Duration(s.random.ExpFloat64()*float64(lossWork))
	c.at = slots[first]
	heap.Push(&s.running, c)
}

func (s *lossSim) end(c lossCall) {
	table := s.tables[c.daemon]
	s.open[c.instance.ID]--
	if s.errors != nil && s.endWithError(c) {
		return
	}
	if s.errors == nil && s.isFaulty(c.instance.ID) && s.random.Float64() < lossRate {
		table.End(c.instance, inventory.OutcomeFailed)
		table.NoteLoss(c.instance, 0)
		if c.order {
			s.lost++
			return
		}
		c.tried[c.instance.ID] = true
		s.send(c, true)
		return
	}
	table.ReportLoad(c.instance, inventory.Load{Running: s.open[c.instance.ID], Slots: lossSlots})
	table.End(c.instance, inventory.OutcomeSuccess)
	table.NoteWholeAnswer(c.instance)
	if s.now-c.arrived > lossObjective {
		s.late++
	}
}

// exchange does one round, with the losses in the encoding that daemons use.
func (s *lossSim) exchange(losses *inventory.LossSum, work *inventory.WorkSum) {
	const most = 12
	for d, table := range s.tables {
		name, now := fmt.Sprint(d), s.clock.Now()
		work.Add(name, table.OwnWork(), now)
		losses.Add(name, peer.UnpackLosses(peer.PackLosses(table.OwnLosses(most))), now)
	}
	total := work.Total(s.clock.Now())
	fleet := peer.PackLosses(losses.Fleet(s.clock.Now(), most))
	for _, table := range s.tables {
		table.SetFleetWork(total)
		table.MergeLosses(peer.UnpackLosses(fleet))
	}
	if s.errors != nil {
		s.exchangeErrors()
	}
}

// simulateLosses runs the load, with or without proven instances.
func simulateLosses(seed uint64, proven bool) lossResult {
	s := newLossSim(seed, proven)
	s.run(lossSeconds * time.Second)
	return s.lossResult
}

func newLossSim(seed uint64, proven bool) *lossSim {
	s := &lossSim{
		random: rand.New(rand.NewPCG(seed, 2)), arrivals: rand.New(rand.NewPCG(seed, 3)), clock: clockwork.NewFakeClock(), proven: proven, open: map[string]int{}, freeAt: map[string][]time.Duration{},
	}
	list := inventory.Snapshot{Revision: 1}
	for i := range lossServers {
		id := fmt.Sprint("s-", i)
		list.Instances = append(list.Instances, inventory.Instance{ID: id, Service: "plain", Version: "v1", Slots: lossSlots})
		s.freeAt[id] = make([]time.Duration, lossSlots)
	}
	for range lossDaemons {
		table := inventory.NewTable(s.clock)
		table.Replace(list, time.Time{})
		s.tables = append(s.tables, table)
	}
	return s
}

func (s *lossSim) run(length time.Duration) {
	losses, work := inventory.NewLossSum(), inventory.NewWorkSum()
	arrival, round := time.Duration(0), lossInterval
	for s.now < length {
		switch {
		case len(s.running) > 0 && s.running[0].at <= min(arrival, round):
			c := heap.Pop(&s.running).(lossCall)
			s.advance(c.at)
			s.end(c)
		case round <= arrival:
			s.advance(round)
			s.exchange(losses, work)
			round += lossInterval
		default:
			s.advance(arrival)
			order := s.arrivals.Float64() < lossOrders/(lossOrders+lossReads)
			if order {
				s.orders++
			}
			s.send(lossCall{arrived: s.now, daemon: s.arrivals.IntN(lossDaemons), order: order, tried: map[string]bool{}}, false)
			arrival += time.Duration(s.arrivals.ExpFloat64() / (lossOrders + lossReads) * float64(time.Second))
		}
	}
}

// Guards against orders that are lost at servers that are known to lose answers, and against
// overloading the others.
func TestOrdersAvoidServersThatLoseAnswers(t *testing.T) {
	var before, after lossResult
	for seed := range uint64(5) {
		b, a := simulateLosses(seed, false), simulateLosses(seed, true)
		t.Logf("seed %d: without %+v, with %+v", seed, b, a)
		before.lost, after.lost = before.lost+b.lost, after.lost+a.lost
		before.late, after.late = before.late+b.late, after.late+a.late
		require.Zero(t, a.failed)
	}
	require.Less(t, after.lost, before.lost/4)
	require.LessOrEqual(t, after.late, before.late+before.late/4)
}

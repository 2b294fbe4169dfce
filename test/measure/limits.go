package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// Parameters of the limits measurement, which runs in real time.
const (
	limSlots    = 16
	limService  = 20 * time.Millisecond
	limDeadline = 200 * time.Millisecond
	limLength   = 3 * time.Second
)

// limCapacity is the capacity of all slots in requests per second.
var limCapacity = limSlots / limService.Seconds()

// gate admits requests to a limited number of slots.
type gate interface {
	// enter blocks until the request has a slot. It returns an error if the request is
	// refused.
	enter(w limit.Work) error
	// leave frees the slot.
	leave()
}

// queueGate admits requests through the router's queue.
type queueGate struct {
	queue *limit.Queue
	mu    sync.Mutex
	used  int
}

func newQueueGate() gate { return &queueGate{queue: limit.NewQueue(clockwork.NewRealClock())} }

func (g *queueGate) enter(w limit.Work) error {
	ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
	defer cancel()
	return g.queue.Wait(ctx, w, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.used == limSlots {
			return false
		}
		g.used++
		return true
	})
}

func (g *queueGate) leave() {
	g.mu.Lock()
	g.used--
	g.mu.Unlock()
	g.queue.GrantWaiting()
}

// fifoGate is the baseline. It admits requests in the order of arrival and refuses them at
// their deadline.
type fifoGate struct{ slots chan struct{} }

func newFIFOGate() gate { return &fifoGate{slots: make(chan struct{}, limSlots)} }

func (g *fifoGate) enter(w limit.Work) error {
	select {
	case g.slots <- struct{}{}:
		return nil
	case <-time.After(time.Until(w.Deadline)):
		return errors.New("deadline")
	}
}

func (g *fifoGate) leave() { <-g.slots }

// limCount counts the requests of one class: all, those answered in time and those refused.
type limCount struct {
	offered, good, refused atomic.Int64
	// waited is the total time that refused requests waited, in microseconds.
	waited atomic.Int64
}

// trafficClass is the part of the load with one organisation and priority.
type trafficClass struct {
	organisation string
	priority     int
	// rate is in requests per second.
	rate float64
}

// runLimits sends the requests of all classes through a gate for limLength and returns the
// counts by class.
func runLimits(g gate, classes []trafficClass) []*limCount {
	counts := make([]*limCount, len(classes))
	var wg sync.WaitGroup
	for i, c := range classes {
		counts[i] = &limCount{}
		wg.Go(func() { generateLoad(g, c, counts[i], uint64(i), &wg) })
	}
	wg.Wait()
	return counts
}

func generateLoad(g gate, c trafficClass, count *limCount, seed uint64, wg *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(seed, 5))
	next := time.Now()
	end := next.Add(limLength)
	for next.Before(end) {
		next = next.Add(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		count.offered.Add(1)
		wg.Go(func() { sendRequest(g, c, count) })
	}
}

func sendRequest(g gate, c trafficClass, count *limCount) {
	began := time.Now()
	deadline := began.Add(limDeadline)
	err := g.enter(limit.Work{Priority: c.priority, Organisation: c.organisation, Cost: 1, Deadline: deadline, ServiceTime: limService})
	if err != nil {
		count.refused.Add(1)
		count.waited.Add(time.Since(began).Microseconds())
		return
	}
	time.Sleep(limService)
	g.leave()
	if time.Now().Before(deadline) {
		count.good.Add(1)
	}
}

func measureLimits() []table {
	return []table{goodputByLoad(), fairness(), retryAmplification()}
}

func goodputByLoad() table {
	t := table{
		Name:    "Answers in time per second over capacity, by offered load",
		Columns: []string{"offered over capacity", "policy", "all", "interactive", "normal", "batch", "refused after, ms"},
	}
	for _, load := range []float64{0.5, 1, 1.5, 2, 4} {
		for _, p := range []struct {
			name string
			make func() gate
		}{{"router's queue", newQueueGate}, {"first come, first served", newFIFOGate}} {
			var classes []trafficClass
			for priority := range 3 {
				classes = append(classes, trafficClass{organisation: "o", priority: priority, rate: load * limCapacity / 3})
			}
			counts := runLimits(p.make(), classes)
			per := func(c *limCount) float64 { return float64(c.good.Load()) / limLength.Seconds() / limCapacity }
			refused, waited := int64(0), int64(0)
			for _, c := range counts {
				refused += c.refused.Load()
				waited += c.waited.Load()
			}
			t.add(load, p.name, per(counts[0])+per(counts[1])+per(counts[2]), per(counts[2]), per(counts[1]), per(counts[0]),
				float64(waited)/1000/float64(max(refused, 1)))
		}
	}
	return t
}

func fairness() table {
	t := table{
		Name:    "One greedy organisation of ten at 2x capacity: share of the modest ones' requests answered in time",
		Columns: []string{"policy", "modest (10% of their fair share each)", "greedy"},
	}
	for _, p := range []struct {
		name string
		make func() gate
	}{{"router's queue", newQueueGate}, {"first come, first served", newFIFOGate}} {
		classes := []trafficClass{{organisation: "greedy", rate: 2 * limCapacity}}
		for i := range 9 {
			classes = append(classes, trafficClass{organisation: string(rune('a' + i)), rate: 0.01 * limCapacity})
		}
		counts := runLimits(p.make(), classes)
		good, offered := 0.0, 0.0
		for _, c := range counts[1:] {
			good += float64(c.good.Load())
			offered += float64(c.offered.Load())
		}
		t.add(p.name, good/offered, float64(counts[0].good.Load())/float64(counts[0].offered.Load()))
	}
	return t
}

// retryAmplification measures the attempts per request if a share of the attempts fails, with a
// retry budget and with a fixed number of retries.
func retryAmplification() table {
	t := table{
		Name:    "Attempts per request while upstreams fail",
		Columns: []string{"share of attempts that fail", "budget 0.1 per success", "three retries always"},
	}
	for _, fail := range []float64{0.01, 0.1, 0.5, 1} {
		t.add(fail, attemptsPerRequest(fail, limit.NewRetryBudget(10), 8), attemptsPerRequest(fail, nil, 4))
	}
	return t
}

func attemptsPerRequest(fail float64, budget *limit.RetryBudget, maxAttempts int) float64 {
	const requests = 20_000
	random := rand.New(rand.NewPCG(6, 6))
	sent := 0
	for range requests {
		for range maxAttempts {
			sent++
			if random.Float64() >= fail {
				if budget != nil {
					budget.Success(0.1)
				}
				break
			}
			if budget != nil && !budget.Take() {
				break
			}
		}
	}
	return float64(sent) / requests
}

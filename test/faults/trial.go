package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/ledger"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
	"github.com/hornbeamsill/hornbeamsill/internal/standin"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// answerWords is the number of words in a complete answer of the engines.
const answerWords = 24

// callerCount is the number of concurrent callers.
const callerCount = 12

// result holds the counts of the trial of one fault.
type result struct {
	Fault string `json:"fault"`
	// Asked counts all requests. Whole counts those that got a complete answer, after
	// repetitions if necessary. NotRun counts those whose last response was an error with
	// "ran": "no", and Unknown those with any other outcome.
	Asked   int `json:"asked"`
	Whole   int `json:"whole"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Lost counts complete answers of which no engine has finished the request.
	Lost int `json:"lost"`
	// Doubled counts requests with an idempotency key that engines started more than once.
	Doubled int `json:"doubled"`
	// Cut counts answers that ended as complete and have the wrong number of words.
	Cut int `json:"cut"`
	// Misreported counts requests with an idempotency key that were reported as not run
	// although an engine started them.
	Misreported int `json:"misreported"`
	// BillsMissing counts finished requests without a bill, and BillsDoubled requests with
	// more than one.
	BillsMissing int `json:"bills_missing"`
	BillsDoubled int `json:"bills_doubled"`
}

func (r result) violated() bool {
	return r.Lost+r.Doubled+r.Cut+r.Misreported+r.BillsMissing+r.BillsDoubled > 0
}

// testSystem is the cluster of one trial, with the proxies that inject faults into the links
// of its first daemon to the platform, of all daemons to their peers and of the engines.
type testSystem struct {
	*cluster.Cluster
	platformLink *cluster.Proxy
	peerLinks    []*cluster.Proxy
	engines      []*cluster.Upstream
	engineLinks  []*cluster.Proxy
}

// runTrial generates load for the given time and injects the fault during the middle half.
func runTrial(bin cluster.Binaries, f faultCase, length time.Duration) (result, error) {
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return result{}, err
	}
	defer os.RemoveAll(dir)
	w, err := newTestSystem(bin, dir)
	if w != nil {
		defer w.Close()
	}
	if err != nil {
		return result{}, err
	}
	l := &loadGenerator{testSystem: w}
	l.start()
	time.Sleep(length / 4)
	if err := f.inject(w); err != nil {
		return result{}, err
	}
	time.Sleep(length / 2)
	if err := f.heal(w); err != nil {
		return result{}, err
	}
	time.Sleep(length / 4)
	l.stop()
	return l.count(f.name)
}

// newTestSystem starts a platform, two engines and three daemons. Every engine and every
// daemon's peer listener is behind a proxy; only the first daemon reaches the platform
// through one.
func newTestSystem(bin cluster.Binaries, dir string) (*testSystem, error) {
	c, err := cluster.New(bin, dir)
	if err != nil {
		return nil, err
	}
	w := &testSystem{Cluster: c}
	if w.platformLink, err = c.StartProxy(c.Platform); err != nil {
		return w, err
	}
	for i := range 2 {
		if err := w.addEngine(i); err != nil {
			return w, err
		}
	}
	for i := range 3 {
		if err := w.addDaemon(i); err != nil {
			return w, err
		}
	}
	return w, w.applyConfig()
}

func (w *testSystem) addEngine(i int) error {
	profile := standin.VersionProfile{
		Quality: map[string]float64{"": 1}, TokenTime: standin.Duration(8 * time.Millisecond), Tokens: answerWords,
	}
	o := standin.EngineOptions{Instance: fmt.Sprintf("engine-%d", i), Slots: 16, Profiles: map[string]standin.VersionProfile{}}
	for _, v := range []string{"notes-large@1", "clauses@1"} {
		o.Profiles[v] = profile
		o.Serving = append(o.Serving, v)
	}
	var failed error
	e, err := w.StartEngine(o, "gbg-a", func(address string) string {
		var link *cluster.Proxy
		if link, failed = w.StartProxy(address); failed != nil {
			return address
		}
		w.engineLinks = append(w.engineLinks, link)
		return link.Address()
	})
	w.engines = append(w.engines, e)
	if err == nil {
		err = failed
	}
	return err
}

func (w *testSystem) addDaemon(i int) error {
	address, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	link, err := w.StartProxy(address)
	if err != nil {
		return err
	}
	w.peerLinks = append(w.peerLinks, link)
	d, err := w.StartDaemon(fmt.Sprintf("gbg-%c", 'a'+i), func(s *settings.Settings) {
		s.PeerListen, s.PeerAddress = address, link.Address()
		if i == 0 {
			s.Platform = w.platformLink.Address()
		}
	})
	if err == nil {
		d.PeerAddress = link.Address()
	}
	return err
}

func (w *testSystem) applyConfig() error {
	text, err := os.ReadFile(filepath.Join("examples", "base.jsonc"))
	if err != nil {
		return err
	}
	err = cluster.Post(w.Daemons[1].OperatorURL+"/v1/config/apply", config.ApplyRequest{ChangeID: "base", Text: string(text)}, nil)
	if err != nil {
		return err
	}
	return w.WaitReady(w.Daemons, 2)
}

// outcome is the final result of a request at its caller.
type outcome struct {
	prompt string
	keyed  bool
	reply  cluster.Reply
	err    error
	// reportedNotRun is set if the last response was an error with "ran": "no".
	reportedNotRun bool
}

// loadGenerator runs callers that each send one request after the other without a pause.
type loadGenerator struct {
	*testSystem
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

func (l *loadGenerator) start() {
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for i := range callerCount {
		l.running.Go(func() {
			for n := 0; l.ctx.Err() == nil; n++ {
				o := l.request(i, n)
				l.mu.Lock()
				l.outcomes = append(l.outcomes, o)
				l.mu.Unlock()
			}
		})
	}
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.running.Wait()
}

// maxTries is the number of times that a caller sends a request, to one daemon after the other
// and with the same idempotency key. A request without a key is repeated only if it was
// reported as not run.
const maxTries = 4

func (l *loadGenerator) request(i, n int) outcome {
	o := outcome{prompt: fmt.Sprintf("request %d %d", i, n), keyed: n%2 == 0}
	a := cluster.ChatRequest{
		APIKey: "example-key-visrad", Model: "clauses", Prompt: o.prompt, Stream: n%3 != 0, DeadlineMS: "8000",
	}
	if o.keyed {
		a.Model, a.Kind, a.IdempotencyKey = "notes-large", "clearance", l.idempotencyKey(i, n)
	}
	for try := range maxTries {
		daemons := l.StartedDaemons()
		d := daemons[(i+n+try)%len(daemons)]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		o.reply, o.err = a.Send(ctx, d.CallerURL, nil)
		cancel()
		o.reportedNotRun = o.err == nil && o.reply.Err != nil && o.reply.Err.Ran == fault.RanNo
		if o.err == nil && o.reply.Complete() {
			return o
		}
		if !o.keyed && !o.reportedNotRun {
			return o
		}
		pause := 50 * time.Millisecond
		if o.reply.Err != nil {
			pause = min(max(pause, o.reply.Err.RetryAfter), time.Second)
		}
		time.Sleep(pause)
	}
	return o
}

// idempotencyKey returns a key with the prefix of a daemon, or without a prefix for every fourth
// caller and if the prefixes cannot be read.
func (l *loadGenerator) idempotencyKey(i, n int) string {
	own := fmt.Sprintf("key-%d-%d", i, n)
	if i%4 == 3 {
		return own
	}
	var found struct {
		Entries []caller.Entry `json:"entries"`
	}
	if cluster.Get(l.StartedDaemons()[1].CallerURL+"/v1/entries", &found) != nil || len(found.Entries) == 0 {
		return own
	}
	return found.Entries[(i+n)%len(found.Entries)].KeyPrefix + "." + own
}

// count compares the callers' outcomes with the counts of the engines and with the ledger, once
// no attempt is running.
func (l *loadGenerator) count(name string) (result, error) {
	started, finishedIDs, finished, err := l.engineCounts()
	if err != nil {
		return result{}, err
	}
	r := result{Fault: name, Asked: len(l.outcomes)}
	for _, o := range l.outcomes {
		r.add(o, started, finished)
	}
	return r, l.countBills(&r, finishedIDs)
}

func (r *result) add(o outcome, started, finished map[string]int) {
	switch {
	case o.err == nil && o.reply.Complete():
		r.Whole++
		if finished[o.prompt] == 0 {
			r.Lost++
		}
		if len(strings.Fields(o.reply.Text)) != answerWords {
			r.Cut++
		}
	case o.reportedNotRun:
		r.NotRun++
		if started[o.prompt] > 0 && o.keyed {
			r.Misreported++
		}
	default:
		r.Unknown++
	}
	if o.keyed && started[o.prompt] > 1 {
		r.Doubled++
	}
}

// engineCounts adds up the counts of the engines once they are idle. started and finished
// count by prompt, finishedIDs by request ID. Engines keep their counts only in memory, so no
// fault may kill an engine.
func (l *loadGenerator) engineCounts() (started, finishedIDs, finished map[string]int, err error) {
	err = cluster.Eventually(func() error {
		started, finishedIDs, finished = map[string]int{}, map[string]int{}, map[string]int{}
		for _, e := range l.engines {
			var c standin.EngineCounts
			if err := cluster.Get("http://"+e.Address+"/standin/counts", &c); err != nil {
				return err
			}
			if c.Running > 0 {
				return fmt.Errorf("%d attempts run", c.Running)
			}
			for p, n := range c.Prompts {
				started[p] += n
			}
			for p, n := range c.FinishedPrompts {
				finished[p] += n
			}
			for id, n := range c.Finished {
				finishedIDs[id] += n
			}
		}
		return nil
	})
	return started, finishedIDs, finished, err
}

// countBills counts the missing and duplicate bills. It reads the ledger until no bill is
// missing, for at most 20 s.
func (l *loadGenerator) countBills(r *result, finishedIDs map[string]int) error {
	deadline := time.Now().Add(20 * time.Second)
	for {
		bills := map[string]int{}
		var rows []ledger.Entry
		if err := cluster.Get(l.Daemons[1].OperatorURL+"/v1/ledger", &rows); err != nil {
			return err
		}
		r.BillsMissing, r.BillsDoubled = 0, 0
		for _, b := range rows {
			if bills[b.RequestID]++; bills[b.RequestID] == 2 {
				r.BillsDoubled++
			}
		}
		for id := range finishedIDs {
			if bills[id] == 0 {
				r.BillsMissing++
			}
		}
		if r.BillsMissing == 0 || time.Now().After(deadline) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}

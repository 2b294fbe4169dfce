package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

const (
	// surveyWindow is how long after its start a daemon may begin a survey. Later its requests
	// have shown what engines cache.
	surveyWindow = 6 * time.Second
	// surveyPoll is how often a daemon checks whether it can begin.
	surveyPoll = 50 * time.Millisecond
	// surveySettleTime is how long the known daemons must not have changed before a survey, so
	// that daemons that start together agree on the owners. After surveyLatest a survey begins
	// anyway: daemons must decide as before within 2 s of their start.
	surveySettleTime = 200 * time.Millisecond
	surveyLatest     = 800 * time.Millisecond
	// surveyCalls is the number of calls to engines at the same time, and surveyTime the time
	// after which engines that were not asked yet are left out.
	surveyCalls = 8
	surveyTime  = 2 * time.Second
	// maxLearnedCalls is the number of peers that are asked for what they have learned.
	maxLearnedCalls = 3
	// maxLearnedPrefixes is the number of prompt prefixes given to a daemon that has started: 32 kB,
	// which a link of 10 Mbit/s carries in 26 ms.
	maxLearnedPrefixes = 4096
)

// survey is the state of what this daemon learns when it starts, and its counters.
type survey struct {
	book *surveyBook
	// Asked, Answered, Parts and Requests count engines, prompt parts and requests of callers that
	// have gone, of this daemon's own survey. Received counts the engines that others asked.
	Asked    atomic.Int64
	Answered atomic.Int64
	Parts    atomic.Int64
	Requests atomic.Int64
	Received atomic.Int64
	// Learned is the number of answer times taken over from a peer.
	Learned atomic.Int64
}

// surveyVars are the counters in /debug/vars.
type surveyVars struct {
	Asked    int64 `json:"asked"`
	Answered int64 `json:"answered"`
	Parts    int64 `json:"parts"`
	Requests int64 `json:"requests"`
	Received int64 `json:"received"`
	Learned  int64 `json:"learned"`
}

func (s *survey) vars() surveyVars {
	return surveyVars{
		Asked: s.Asked.Load(), Answered: s.Answered.Load(), Parts: s.Parts.Load(), Requests: s.Requests.Load(),
		Received: s.Received.Load(), Learned: s.Learned.Load(),
	}
}

// surveyLoop learns what this daemon lacks after its start: from a peer that has run for long, or
// else from the engines, each of which is asked by one of the daemons that started together.
func (n *Node) surveyLoop(ctx context.Context) {
	refuted := map[string]bool{}
	for calls := 0; n.clock.Since(n.startedAt) < surveyWindow && n.sleep(ctx, surveyPoll); {
		if !n.overload.RestartSurvey() {
			continue
		}
		peers := peersAtStart(n.registry.Self(), n.registry.Live(), refuted)
		if len(peers.settled) > 0 && calls < maxLearnedCalls {
			d := peers.settled[rand.IntN(len(peers.settled))]
			uptime, ok := n.learnFrom(ctx, d)
			if ok && uptime >= recentStart {
				slog.Info("survey.not_needed", "peer", d.PeerAddress)
				return
			}
			refuted[d.Incarnation] = ok
			calls++
			continue
		}
		if !n.maySurvey() {
			continue
		}
		if peers.older {
			slog.Info("survey.not_needed", "peer", "older")
			return
		}
		if first := peers.mayKnow(); len(first) > 0 {
			n.learnFrom(ctx, first[rand.IntN(len(first))])
		}
		n.runSurvey(ctx)
		return
	}
}

// maySurvey reports whether this daemon knows the engines and the other daemons.
func (n *Node) maySurvey() bool {
	if n.servableConfig() == nil || !n.table.Loaded() {
		return false
	}
	// A daemon that joins a large fleet learns of the others in a few rounds of heartbeats.
	knowsFleet := n.registry.LiveCount() >= n.startup.fleetHint()
	settled := n.clock.Since(n.registry.ChangedAt()) >= surveySettleTime
	return knowsFleet && settled && n.startup.isContacted() || n.clock.Since(n.startedAt) >= surveyLatest
}

// learnFrom takes over what a peer has learned. It returns how long ago the peer started, and
// whether it answered.
func (n *Node) learnFrom(ctx context.Context, d member.Daemon) (uptime time.Duration, ok bool) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	l, err := n.peers.Learned(call, d.PeerAddress, peer.LearnedRequest{From: n.registry.Self().PeerAddress})
	if err != nil {
		slog.Debug("learned.not_fetched", "peer", d.PeerAddress, "error", err)
		return 0, false
	}
	prefixes, engines := peer.UnpackPrefixes(l.Prefixes), peer.UnpackSurvey(l.Survey)
	n.prefixes.Merge(prefixes)
	n.noteSurveyed(engines)
	times := n.handler.AdoptLearned(l.Values, n.clock.Now())
	n.survey.Learned.Add(int64(times))
	slog.Info("learned.from_peer", "peer", d.PeerAddress, "times", times, "prefixes", len(prefixes), "engines", len(engines))
	return l.Uptime, true
}

// OnLearned implements peer.RoutesHandler.
func (n *Node) OnLearned(peer.LearnedRequest) peer.Learned {
	now := n.clock.Now()
	l := peer.Learned{
		Uptime: n.clock.Since(n.startedAt), Values: n.handler.Learned(now), Prefixes: peer.PackPrefixes(n.prefixes.Recent(maxLearnedPrefixes)),
	}
	if engines := n.survey.book.all(now); len(engines) > 0 {
		l.Survey = peer.PackSurvey(engines)
	}
	return l
}

// runSurvey asks the engines that this daemon owns, each once.
func (n *Node) runSurvey(ctx context.Context) {
	started := n.clock.Now()
	live, total := n.registry.Live(), 0
	type owned struct {
		service *catalog.Service
		engine  inventory.Instance
	}
	var mine []owned
	for _, s := range n.servableConfig().Engines() {
		engines := n.table.Engines(s.Name)
		total += len(engines)
		for _, e := range ownedEngines(n.registry.Self(), live, engines, n.survey.book.isAsked) {
			mine = append(mine, owned{service: s, engine: e})
		}
	}
	rand.Shuffle(len(mine), func(i, j int) { mine[i], mine[j] = mine[j], mine[i] })
	slog.Info("survey.started", "engines", total, "owned", len(mine), "daemons", len(live))
	ctx, cancel := context.WithTimeout(ctx, surveyTime)
	defer cancel()
	work := make(chan owned)
	var workers sync.WaitGroup
	for range min(surveyCalls, len(mine)) {
		workers.Go(func() {
			for o := range work {
				if ctx.Err() != nil {
					continue
				}
				n.surveyEngine(ctx, o.service, o.engine, total)
			}
		})
	}
	for _, o := range mine {
		work <- o
	}
	close(work)
	workers.Wait()
	v := n.survey.vars()
	slog.Info("survey.done", "asked", v.Asked, "answered", v.Answered, "parts", v.Parts, "requests", v.Requests, "received", v.Received,
		"took_ms", n.clock.Since(started).Milliseconds())
}

// surveyEngine asks one engine for its requests and, if it answers, for the prompt parts that it
// caches. An engine that does not answer is recorded without them, so that nobody asks it again.
func (n *Node) surveyEngine(ctx context.Context, service *catalog.Service, engine inventory.Instance, engines int) {
	n.survey.Asked.Add(1)
	s := inventory.Surveyed{Instance: engine.Hash()}
	load, err := n.engines.Load(ctx, engine.Address)
	if err != nil {
		slog.Debug("survey.no_answer", "instance", engine.ID, "error", err)
	} else {
		n.survey.Answered.Add(1)
		parts, err := n.engines.CachedParts(ctx, engine.Address)
		if err != nil {
			slog.Debug("survey.no_list", "instance", engine.ID, "error", err)
		}
		s.Parts = surveyedParts(service, parts, engines)
		s.Running, s.Waiting = n.table.SplitSurveyed(engine, load)
	}
	n.survey.Parts.Add(int64(len(s.Parts)))
	n.survey.Requests.Add(int64(s.Running + s.Waiting))
	n.applySurvey(n.survey.book.add([]inventory.Surveyed{s}, true, n.clock.Now()))
}

// noteSurveyed records what engines said that others have asked.
func (n *Node) noteSurveyed(all []inventory.Surveyed) {
	fresh := n.survey.book.add(all, false, n.clock.Now())
	n.survey.Received.Add(int64(len(fresh)))
	n.applySurvey(fresh)
}

func (n *Node) applySurvey(all []inventory.Surveyed) {
	if len(all) == 0 {
		return
	}
	n.prefixes.MergeParts(all)
	n.table.NoteSurveyed(all)
}

package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

const (
	// recentStart is how much earlier than this daemon another one may have started to count as
	// started with it. One that has run for longer has seen requests to most engines.
	recentStart = 10 * time.Second
	// surveyBytes is the size of what each daemon receives of a survey of all engines. It is a
	// quarter of a second on a link of 2 Mbit/s, and happens once after a start of the fleet.
	surveyBytes = 64 << 10
	// maxSurveyParts is the number of prompt parts that are sent of one engine, those of most
	// work. Fewer are sent in a fleet of many engines, so that surveyBytes holds.
	maxSurveyParts = 64
	// loadBytes and partBytes are the size of an engine in a message without parts, and of a part.
	loadBytes = 8
	partBytes = 4
	// surveyTTL is how long what engines said is sent to daemons that start later.
	surveyTTL = 30 * time.Second
	// resendInterval and resendTime are how often and how long a daemon reports what its engines
	// said: while daemons start, different ones may take themselves for the first reader.
	resendInterval = 400 * time.Millisecond
	resendTime     = 2 * time.Second
	// minRoundBytes and maxRoundBytes bound the part of a survey in one round of messages, and
	// surveySendTime is the time that sending it to all receivers may take on this daemon's link.
	// Longer would delay answers to callers and the other updates.
	minRoundBytes  = 1 << 10
	maxRoundBytes  = 16 << 10
	surveySendTime = 30 * time.Millisecond
)

// startPeers are the other live daemons as a daemon that has just started sees them.
type startPeers struct {
	// settled seem to have run for long by their own clocks, and so to know the engines from
	// requests. earlier started recently, but before this daemon, the first one first.
	settled, earlier []member.Daemon
	// older is set if there is a daemon of a build that does not tell when it started.
	older bool
}

// peersAtStart returns the live daemons that serve callers. refuted are those whose clock is known
// to be wrong: they have started recently.
func peersAtStart(self member.Daemon, live []member.Daemon, refuted map[string]bool) startPeers {
	var p startPeers
	for _, d := range live {
		switch {
		case d.CallerURL == "" || d.Incarnation == self.Incarnation:
		case d.Started == 0:
			p.older = true
		case d.Started < self.Started-recentStart.Milliseconds() && !refuted[d.Incarnation]:
			p.settled = append(p.settled, d)
		case d.Started < self.Started:
			p.earlier = append(p.earlier, d)
		}
	}
	slices.SortFunc(p.earlier, func(a, b member.Daemon) int { return cmp.Compare(a.Started, b.Started) })
	return p
}

// mayKnow returns the quarter of the earlier daemons that started first. They most likely have the
// survey so far, which rounds do not bring to a daemon that is not known yet. The calls of all
// daemons that start are spread over them.
func (p startPeers) mayKnow() []member.Daemon { return p.earlier[:(len(p.earlier)+3)/4] }

// ownedEngines returns the engines that this daemon asks: of those that nobody is known to have
// asked, the ones for which it ranks first among the live daemons. A survey takes place only if
// all of them started recently.
func ownedEngines(self member.Daemon, live []member.Daemon, engines []inventory.Instance, asked func(inventory.InstanceHash) bool) []inventory.Instance {
	incarnations := member.Incarnations(live)
	var out []inventory.Instance
	for _, e := range engines {
		if !asked(e.Hash()) && member.IsBest("survey/"+e.ID, self.Incarnation, incarnations) {
			out = append(out, e)
		}
	}
	return out
}

// surveyedParts returns the keys of the prompt parts whose work matters most, as many as may be
// sent of one engine of that many.
func surveyedParts(service *catalog.Service, parts []inventory.CachedPart, engines int) []inventory.PrefixHash {
	type weighed struct {
		key  inventory.PrefixHash
		work float64
	}
	var all []weighed
	for _, p := range parts {
		if work := service.RelativeCost(p.Model) * float64(p.Tokens); work >= inventory.MinPartWork {
			all = append(all, weighed{inventory.PartKey(p.Model, p.ID), work})
		}
	}
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.key, b.key)) })
	all = slices.CompactFunc(all, func(a, b weighed) bool { return a.key == b.key })
	limit := min(maxSurveyParts, max(surveyBytes/max(engines, 1)-loadBytes, 0)/partBytes)
	var out []inventory.PrefixHash
	for _, p := range all[:min(len(all), limit)] {
		out = append(out, p.key)
	}
	return out
}

// surveyBook has what engines said since this daemon started, and what of it other daemons lack.
//
// Lock order: no other lock is taken while mu is held.
type surveyBook struct {
	mu      sync.Mutex
	records map[inventory.InstanceHash]surveyRecord
	// forGroup and forDomains wait to be sent by a first reader. relayed and relayedOut are the
	// engines that were queued there before.
	forGroup, forDomains []inventory.Surveyed
	relayed, relayedOut  map[inventory.InstanceHash]bool
}

type surveyRecord struct {
	inventory.Surveyed
	at time.Time
	// own is set if this daemon has asked the engine. It last reported that at reportedAt.
	own        bool
	reportedAt time.Time
}

func newSurveyBook() *surveyBook {
	return &surveyBook{
		records: map[inventory.InstanceHash]surveyRecord{},
		relayed: map[inventory.InstanceHash]bool{}, relayedOut: map[inventory.InstanceHash]bool{},
	}
}

// add records what engines said and returns the ones that were not known.
func (b *surveyBook) add(all []inventory.Surveyed, own bool, now time.Time) []inventory.Surveyed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var fresh []inventory.Surveyed
	for _, s := range all {
		if _, known := b.records[s.Instance]; !known && len(b.records) < maxSurveyedEngines {
			b.records[s.Instance] = surveyRecord{Surveyed: s, at: now, own: own}
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// maxSurveyedEngines limits the engines in a book.
const maxSurveyedEngines = 20_000

// isAsked reports whether an engine is known to have been asked.
func (b *surveyBook) isAsked(i inventory.InstanceHash) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.records[i]
	return ok
}

// all returns what engines said within surveyTTL, for a daemon that has just started. The requests
// at the engines are left out, since they have ended or are reported by their daemons.
func (b *surveyBook) all(now time.Time) []inventory.Surveyed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []inventory.Surveyed
	for _, r := range b.records {
		if now.Sub(r.at) <= surveyTTL {
			out = append(out, inventory.Surveyed{Instance: r.Instance, Parts: r.Parts})
		}
	}
	return out
}

// report returns the own records for a first reader, each every resendInterval for resendTime.
func (b *surveyBook) report(now time.Time) []inventory.Surveyed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []inventory.Surveyed
	for i, r := range b.records {
		if r.own && now.Sub(r.at) <= resendTime && now.Sub(r.reportedAt) >= resendInterval {
			out = append(out, r.Surveyed)
			r.reportedAt = now
			b.records[i] = r
		}
	}
	return out
}

// relay queues what a daemon of the group reported, for the group and for other failure domains.
func (b *surveyBook) relay(all []inventory.Surveyed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range all {
		b.forGroup = enqueue(b.forGroup, b.relayed, s)
		b.forDomains = enqueue(b.forDomains, b.relayedOut, s)
	}
}

// relayInto queues what another failure domain sent for the group.
func (b *surveyBook) relayInto(all []inventory.Surveyed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range all {
		b.forGroup = enqueue(b.forGroup, b.relayed, s)
	}
}

func enqueue(queue []inventory.Surveyed, before map[inventory.InstanceHash]bool, s inventory.Surveyed) []inventory.Surveyed {
	if before[s.Instance] || len(before) >= maxSurveyedEngines {
		return queue
	}
	before[s.Instance] = true
	return append(queue, s)
}

// isQueued reports whether a first reader has something to send.
func (b *surveyBook) isQueued() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.forGroup) > 0 || len(b.forDomains) > 0
}

// takeForGroup and takeForDomains remove and return what has at most the given size, but one engine
// at least.
func (b *surveyBook) takeForGroup(bytes int) []inventory.Surveyed { return b.take(&b.forGroup, bytes) }

func (b *surveyBook) takeForDomains(bytes int) []inventory.Surveyed {
	return b.take(&b.forDomains, bytes)
}

func (b *surveyBook) take(queue *[]inventory.Surveyed, bytes int) []inventory.Surveyed {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for ; n < len(*queue); n++ {
		if bytes -= peer.SurveyedBytes((*queue)[n]); bytes < 0 && n > 0 {
			break
		}
	}
	taken := (*queue)[:n:n]
	*queue = (*queue)[n:]
	return taken
}

// expire forgets what engines said longer than surveyTTL ago.
func (b *surveyBook) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, r := range b.records {
		if now.Sub(r.at) > surveyTTL {
			delete(b.records, i)
			delete(b.relayed, i)
			delete(b.relayedOut, i)
		}
	}
}

// surveyRoundBytes returns the size of the part of a survey in one round to a number of receivers.
// linkMbps is the capacity of this daemon's link; 0 means unknown.
func surveyRoundBytes(linkMbps float64, receivers int) int {
	if linkMbps <= 0 {
		return maxRoundBytes
	}
	total := linkMbps * 1e6 / 8 * surveySendTime.Seconds()
	return int(min(max(total/float64(max(receivers, 1)), minRoundBytes), maxRoundBytes))
}

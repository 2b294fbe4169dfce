package entry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/internal/speed"
)

const (
	// speedsInterval is the minimum interval between two messages with samples of the speed of
	// instances.
	speedsInterval = 500 * time.Millisecond
	// maxMessageSpeeds is the number of instances in a message: 1 KB a second to each daemon. If
	// there are more, messages take turns: one with 1,000 instances to each of 325 daemons would
	// fill a link of 10 Mbit/s for 1.6 s.
	maxMessageSpeeds = 80
	// maxSentSpeeds is the number of instances whose samples are sent at all, those whose speed
	// is the least usual.
	maxSentSpeeds = 1000
	// maxReplySpeeds is the number of instances in a reply, which a reader gets from each daemon;
	// the others follow with the next reply.
	maxReplySpeeds = 16
	// maxKeptSpeeds bounds the instances of which a reader keeps samples.
	maxKeptSpeeds = 20_000
	// speedsTTL is how long samples of another failure domain, or those of the former reader,
	// are used. It takes 6 s until all 1,000 instances have had their turn.
	speedsTTL = 15 * time.Second
	// readerChangeAfter is the time without a message of its own after which a reader takes over
	// the samples that the former reader sent.
	readerChangeAfter = 3 * time.Second
)

// speedTotals adds up the samples of daemons while this daemon is the first reader of its group.
// The zero value has none.
//
// Lock order: mu is taken alone.
type speedTotals struct {
	mu      sync.Mutex
	group   map[inventory.InstanceHash]*speed.Total
	domains map[string]receivedSpeeds
	// received is the samples that another reader has sent.
	received             receivedSpeeds
	toGroup, toDomains   speedTurns
	lastReply, lastGroup time.Time
}

// receivedSpeeds is the samples from messages of one sender.
type receivedSpeeds map[inventory.InstanceHash]speed.Others

// set adds or replaces samples and deletes old ones.
func (r receivedSpeeds) set(speeds inventory.Speeds, now time.Time) {
	for instance, sample := range speeds {
		r[instance] = speed.Others{Sample: sample, At: now}
	}
	maps.DeleteFunc(r, func(_ inventory.InstanceHash, o speed.Others) bool { return now.Sub(o.At) > speedsTTL })
}

// speedTurns distributes samples over messages.
type speedTurns struct {
	at    time.Time
	queue []inventory.InstanceHash
}

// due reports whether it is time for the next message.
func (t *speedTurns) due(now time.Time) bool { return now.Sub(t.at) >= speedsInterval }

// next returns the samples of the next message.
func (t *speedTurns) next(all inventory.Speeds, now time.Time) inventory.Speeds {
	t.at = now
	if len(t.queue) == 0 {
		t.queue = leastUsual(all)
	}
	n := min(len(t.queue), maxMessageSpeeds)
	out := make(inventory.Speeds, n)
	for _, instance := range t.queue[:n] {
		if sample, ok := all[instance]; ok {
			out[instance] = sample
		}
	}
	t.queue = t.queue[n:]
	return out
}

// add adds samples of a daemon of the group.
func (s *speedTotals) add(packed []byte, now time.Time) {
	if len(packed) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for instance, sample := range peer.UnpackSpeeds(packed) {
		s.addSample(instance, sample, now)
	}
}

// addSample adds samples of an instance to those of the group. The lock is held.
func (s *speedTotals) addSample(instance inventory.InstanceHash, sample speed.Sample, now time.Time) {
	if s.group == nil {
		s.group = map[inventory.InstanceHash]*speed.Total{}
	}
	total := s.group[instance]
	if total == nil {
		if len(s.group) >= maxKeptSpeeds {
			return
		}
		total = &speed.Total{}
		s.group[instance] = total
	}
	total.Add(sample, now)
}

// addDomain notes the samples of another failure domain.
func (s *speedTotals) addDomain(domain string, packed []byte, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains == nil {
		s.domains = map[string]receivedSpeeds{}
	}
	if s.domains[domain] == nil {
		s.domains[domain] = receivedSpeeds{}
	}
	s.domains[domain].set(peer.UnpackSpeeds(packed), now)
}

// setReceived notes the samples that another reader has sent.
func (s *speedTotals) setReceived(speeds inventory.Speeds, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received == nil {
		s.received = receivedSpeeds{}
	}
	s.received.set(speeds, now)
}

// groupSpeeds returns the samples of the group. The lock is held.
func (s *speedTotals) groupSpeeds(now time.Time) inventory.Speeds {
	out := make(inventory.Speeds, len(s.group))
	for instance, total := range s.group {
		if sample := total.Sample(now); sample.Weight >= inventory.MinSpeedWeight {
			out[instance] = sample
		} else {
			delete(s.group, instance)
		}
	}
	return out
}

// forFleet returns samples of all daemons for the next message to the group; due is false if it is
// too early for one.
func (s *speedTotals) forFleet(now time.Time) (speeds inventory.Speeds, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.toGroup.due(now) {
		return nil, false
	}
	if now.Sub(s.lastGroup) > readerChangeAfter && len(s.received) > 0 {
		// The samples that daemons have sent to the former reader do not come again.
		s.group = nil
		for instance, o := range s.received {
			if now.Sub(o.At) <= speedsTTL {
				s.addSample(instance, o.Sample, o.At)
			}
		}
	}
	s.received, s.lastGroup = nil, now
	all := s.groupSpeeds(now)
	for _, d := range s.domains {
		d.set(nil, now)
		for instance, o := range d {
			all[instance] = all[instance].Sum(o.Sample)
		}
	}
	return s.toGroup.next(all, now), true
}

// forDomains returns encoded samples of this group for the next message to other failure domains;
// nil if it is too early for one.
func (s *speedTotals) forDomains(now time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.toDomains.due(now) {
		return nil
	}
	return peer.PackSpeeds(s.toDomains.next(s.groupSpeeds(now), now))
}

// mayReply reports whether a reply may have samples, and notes that it does.
func (s *speedTotals) mayReply(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReply) < speedsInterval {
		return false
	}
	s.lastReply = now
	return true
}

// leastUsual returns the instances whose samples matter most to placement, at most maxSentSpeeds.
func leastUsual(all inventory.Speeds) []inventory.InstanceHash {
	ranked := slices.SortedFunc(maps.Keys(all), func(a, b inventory.InstanceHash) int {
		return cmp.Or(cmp.Compare(all[b].Deviation(), all[a].Deviation()), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), maxSentSpeeds)]
}

// fleetSpeeds returns the encoded samples of all daemons for the next message to the group, if it
// is time for them, and uses them itself.
func (n *Node) fleetSpeeds() []byte {
	speeds, due := n.workTotals.speeds.forFleet(n.clock.Now())
	if !due {
		return nil
	}
	n.table.MergeFleetSpeeds(speeds)
	return peer.PackSpeeds(speeds)
}

// ownSpeeds returns the encoded samples of this daemon since its last reply, if it is time for
// them.
func (n *Node) ownSpeeds() []byte {
	if !n.workTotals.speeds.mayReply(n.clock.Now()) {
		return nil
	}
	return peer.PackSpeeds(n.table.TakeSpeeds(maxReplySpeeds))
}

// onFleetSpeeds uses the samples that a reader has sent.
func (n *Node) onFleetSpeeds(packed []byte) {
	if len(packed) == 0 {
		return
	}
	speeds := peer.UnpackSpeeds(packed)
	n.workTotals.speeds.setReceived(speeds, n.clock.Now())
	n.table.MergeFleetSpeeds(speeds)
}

package member

import "slices"

// HeartbeatTargets returns the daemons to send the next heartbeat to: the next ones of the own
// failure domain on the ring of daemons sorted by incarnation, whose failure this daemon
// detects, and its neighbours. In a small installation these are all other daemons that have not
// left.
func (r *Registry) HeartbeatTargets() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets, _ := r.targets()
	return targets
}

// QuietTargets returns the targets of a heartbeat that is due by time alone. If there are no
// updates to send, these are the ring targets and one neighbour in turn.
func (r *Registry) QuietTargets() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets, ring := r.targets()
	if ring == len(targets) || r.hasUpdates() {
		return targets
	}
	neighbours := targets[ring:]
	return append(targets[:ring:ring], neighbours[r.round%len(neighbours)])
}

// targets returns the ring targets and the neighbours, and the number of ring targets.
func (r *Registry) targets() (targets []Daemon, ring int) {
	wanted := r.options.RingTargets + r.options.RandomTargets
	if len(r.sorted)-1 <= wanted {
		targets = r.nextOnRing(wanted, func(Daemon) bool { return true })
		return targets, len(targets)
	}
	targets = r.nextOnRing(r.options.RingTargets, func(d Daemon) bool { return d.FailureDomain == r.self.FailureDomain })
	if len(targets) < r.options.RingTargets {
		targets = r.nextOnRing(r.options.RingTargets, func(Daemon) bool { return true })
	}
	ring = len(targets)
	return r.addNeighbours(targets, wanted), ring
}

// nextOnRing returns the next n daemons on the ring that have not left and that keep accepts.
func (r *Registry) nextOnRing(n int, keep func(Daemon) bool) []Daemon {
	self, _ := r.position(r.self.Incarnation)
	var out []Daemon
	for i := 1; i < len(r.sorted) && len(out) < n; i++ {
		if d := r.sorted[(self+i)%len(r.sorted)]; d.State != Left && keep(d) {
			out = append(out, d)
		}
	}
	return out
}

// neighbourRounds is the number of heartbeat rounds after which one neighbour is replaced.
const neighbourRounds = 16

// addNeighbours appends the neighbours of this daemon to its ring targets until there are wanted
// targets.
//
// Neighbours are drawn at random and then kept for a while. If each round had other ones, a
// daemon would soon have connections to all others, each with its buffers and decoders, so that
// the memory of a fleet would grow with the square of its size. A neighbour is replaced from
// time to time, and all are after the table has doubled: a daemon that starts knows only the
// seeds, which would otherwise stay the neighbours of the whole fleet.
func (r *Registry) addNeighbours(targets []Daemon, wanted int) []Daemon {
	if len(r.sorted) >= 2*r.neighboursOf {
		r.neighbours, r.neighboursOf = nil, len(r.sorted)
	}
	if r.round++; r.round%neighbourRounds == 0 && len(r.neighbours) > 0 {
		r.neighbours = r.neighbours[1:]
	}
	r.neighbours = slices.DeleteFunc(r.neighbours, func(id string) bool {
		rec, known := r.records[id]
		return !known || rec.daemon.State == Left || Contains(targets, id)
	})
	for _, id := range r.neighbours {
		targets = append(targets, r.records[id].daemon)
	}
	return r.drawNeighbours(targets, wanted)
}

// drawNeighbours draws daemons at random until there are wanted targets, every other one from
// the own failure domain. The number of draws is bounded, as most draws may hit daemons that have
// left or are already targets.
func (r *Registry) drawNeighbours(targets []Daemon, wanted int) []Daemon {
	const tries = 64
	for try := 0; try < tries && len(targets) < wanted; try++ {
		d := r.sorted[r.rng.IntN(len(r.sorted))]
		local := len(targets)%2 == 0 && try < tries/2
		usable := d.State != Left && d.Incarnation != r.self.Incarnation && !Contains(targets, d.Incarnation)
		if usable && (!local || d.FailureDomain == r.self.FailureDomain) {
			targets = append(targets, d)
			r.neighbours = append(r.neighbours, d.Incarnation)
		}
	}
	return targets
}

// Contains reports whether one of the daemons has the given incarnation.
func Contains(daemons []Daemon, incarnation string) bool {
	return slices.ContainsFunc(daemons, func(d Daemon) bool { return d.Incarnation == incarnation })
}

package entry

import (
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// The functions of this file add what engines said, and which daemons are slow, to the rounds in
// which daemons exchange the outstanding work.

// extendDaemonWork adds what the engines said that this daemon asked, and how slow it is.
func (n *Node) extendDaemonWork(w *peer.DaemonWork) {
	if own := n.survey.book.report(n.clock.Now()); len(own) > 0 {
		w.Survey = peer.PackSurvey(own)
	}
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	w.Late = n.directory.own.level
}

// noteDaemonWork records what a daemon of the group reported to this one, its first reader.
func (n *Node) noteDaemonWork(w peer.DaemonWork) {
	n.survey.book.relay(peer.UnpackSurvey(w.Survey))
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	n.directory.book.noteDaemon(w.Incarnation, w.Late, n.clock.Now())
}

// surveyRoundBytes returns the size of the part of a survey in this round; 0 if there is nothing to
// send.
func (n *Node) surveyRoundBytes() int {
	if !n.survey.book.isQueued() {
		return 0
	}
	return surveyRoundBytes(n.settings.LinkMbps, len(n.otherDaemons(n.workGroup())))
}

// extendFleetWork adds what a round sends to the group, and applies it here.
func (n *Node) extendFleetWork(w *peer.FleetWork) {
	if engines := n.survey.book.takeForGroup(n.surveyRoundBytes()); len(engines) > 0 {
		w.Survey = peer.PackSurvey(engines)
		n.noteSurveyed(engines)
	}
	if !n.overload.DirectoryWeights() {
		return
	}
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	if levels, due := n.directory.book.forGroup(n.clock.Now()); due {
		w.Late = peer.PackLate(levels)
	}
}

// noteFleetWork records what the first reader sent.
func (n *Node) noteFleetWork(w peer.FleetWork) {
	n.noteSurveyed(peer.UnpackSurvey(w.Survey))
	if levels, ok := peer.UnpackLate(w.Late); ok {
		n.directory.mu.Lock()
		defer n.directory.mu.Unlock()
		n.directory.book.fleet = lateSet{levels: levels, at: n.clock.Now()}
	}
}

// extendDomainWork adds what a round sends to other failure domains.
func (n *Node) extendDomainWork(w *peer.DomainWork) {
	if engines := n.survey.book.takeForDomains(n.surveyRoundBytes()); len(engines) > 0 {
		w.Survey = peer.PackSurvey(engines)
	}
	if !n.overload.DirectoryWeights() {
		return
	}
	n.directory.mu.Lock()
	defer n.directory.mu.Unlock()
	if levels, due := n.directory.book.forDomains(n.clock.Now()); due {
		w.Late = peer.PackLate(levels)
	}
}

// noteDomainWork records what another failure domain sent.
func (n *Node) noteDomainWork(w peer.DomainWork) {
	n.survey.book.relayInto(peer.UnpackSurvey(w.Survey))
	if levels, ok := peer.UnpackLate(w.Late); ok {
		n.directory.mu.Lock()
		defer n.directory.mu.Unlock()
		n.directory.book.noteDomain(w.Domain, levels, n.clock.Now())
	}
}

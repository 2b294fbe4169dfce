package entry

import (
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// The functions of this file add what engines said to the rounds in which daemons exchange the
// outstanding work.

// extendDaemonWork adds what the engines said that this daemon asked.
func (n *Node) extendDaemonWork(w *peer.DaemonWork) {
	if own := n.survey.book.report(n.clock.Now()); len(own) > 0 {
		w.Survey = peer.PackSurvey(own)
	}
}

// noteDaemonWork records what a daemon of the group reported to this one, its first reader.
func (n *Node) noteDaemonWork(w peer.DaemonWork) {
	n.survey.book.relay(peer.UnpackSurvey(w.Survey))
}

// extendFleetWork adds what a round sends to the group, and applies it here.
func (n *Node) extendFleetWork(w *peer.FleetWork) {
	if engines := n.survey.book.takeForGroup(); len(engines) > 0 {
		w.Survey = peer.PackSurvey(engines)
		n.noteSurveyed(engines)
	}
}

// noteFleetWork records what the first reader sent.
func (n *Node) noteFleetWork(w peer.FleetWork) { n.noteSurveyed(peer.UnpackSurvey(w.Survey)) }

// extendDomainWork adds what a round sends to other failure domains.
func (n *Node) extendDomainWork(w *peer.DomainWork) {
	if engines := n.survey.book.takeForDomains(); len(engines) > 0 {
		w.Survey = peer.PackSurvey(engines)
	}
}

// noteDomainWork records what another failure domain sent.
func (n *Node) noteDomainWork(w peer.DomainWork) {
	n.survey.book.relayInto(peer.UnpackSurvey(w.Survey))
}

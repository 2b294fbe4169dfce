package daemon

import (
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// Registry returns the table of daemons, for measurements.
func (n *Node) Registry() *member.Registry { return n.registry }

// Heartbeat returns the next heartbeat to a peer, for measurements.
func (n *Node) Heartbeat() peer.Heartbeat { return n.heartbeat() }

// AddRatings counts ratings as if they came from the feed, for measurements.
func (n *Node) AddRatings(ratings []backing.Rating) { n.ratings.Add(ratings) }

package daemon

import (
	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// Registry returns the table of daemons, for measurements.
func (n *Node) Registry() *member.Registry { return n.registry }

// Heartbeat returns what the daemon would tell a peer now, for measurements.
func (n *Node) Heartbeat() peer.Heartbeat { return n.heartbeat() }

// AddRatings counts ratings as if they had been read, for measurements.
func (n *Node) AddRatings(ratings []backing.Rating) { n.ratings.Add(ratings) }

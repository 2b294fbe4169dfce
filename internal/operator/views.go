package operator

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Status describes a daemon and its view of the system.
type Status struct {
	Incarnation   string `json:"incarnation"`
	Instance      string `json:"instance"`
	Site          string `json:"site"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	Stopping      bool   `json:"stopping"`
	// Generation is the configuration in force. ConfirmedMS is the time since it was
	// last confirmed to be the newest, in milliseconds, or -1 if it never was.
	Generation  int64 `json:"generation"`
	ConfirmedMS int64 `json:"confirmed_ms"`
	// Running and Waiting are numbers of requests. Waiting is by queue name.
	Running int            `json:"running"`
	Waiting map[string]int `json:"waiting"`
	// BillsPending is the number of bills to be written to the store. BillsHeld is the
	// number of replicas of other daemons' bills.
	BillsPending int              `json:"bills_pending"`
	BillsHeld    int              `json:"bills_held"`
	Daemons      []DaemonStatus   `json:"daemons"`
	Upstreams    []UpstreamStatus `json:"upstreams"`
	// StoppedVersions are versions that get no new sessions from this daemon.
	StoppedVersions []config.VersionRef `json:"stopped_versions"`
}

// DaemonStatus describes a daemon, as the daemon that responds knows it.
type DaemonStatus struct {
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	CallerURL     string `json:"caller_url"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// UpstreamStatus describes an upstream as this daemon knows it.
type UpstreamStatus struct {
	ID            string   `json:"id"`
	Role          string   `json:"role"`
	FailureDomain string   `json:"failure_domain"`
	Versions      []string `json:"versions"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	InFlight      int      `json:"in_flight"`
	Leaving       bool     `json:"leaving"`
	Ejected       bool     `json:"ejected"`
}

// VersionStatus describes a version with its roll-out state and its ratings.
type VersionStatus struct {
	config.VersionRef
	State config.VersionState `json:"state"`
	Share float64             `json:"share"`
	Stage int                 `json:"stage"`
	// Good and Bad are the numbers of ratings that this daemon has counted.
	Good   int64  `json:"good"`
	Bad    int64  `json:"bad"`
	Reason string `json:"reason,omitempty"`
}

func (s *Server) versions(c *gin.Context) {
	snapshot := s.Follower.Current()
	if snapshot == nil {
		fault.Write(c.Writer, fault.New(fault.NotReady, "no configuration yet"))
		return
	}
	out := []VersionStatus{}
	for _, model := range slices.Sorted(maps.Keys(snapshot.Doc.Models)) {
		for _, version := range slices.Sorted(maps.Keys(snapshot.Doc.Models[model].Versions)) {
			out = append(out, s.versionStatus(snapshot, config.VersionRef{Model: model, Version: version}))
		}
	}
	c.JSON(http.StatusOK, out)
}

func (s *Server) versionStatus(snapshot *config.Snapshot, ref config.VersionRef) VersionStatus {
	state, _ := snapshot.State(ref)
	r := snapshot.Rollouts[ref]
	v := VersionStatus{VersionRef: ref, State: state, Share: snapshot.NewSessionShare(ref), Stage: r.Stage, Reason: r.Reason}
	for _, count := range s.Ratings.ByKind(ref) {
		v.Good += count.Good
		v.Bad += count.Bad
	}
	return v
}

func (s *Server) rollouts(c *gin.Context) {
	snapshot := s.Follower.Current()
	if snapshot == nil {
		fault.Write(c.Writer, fault.New(fault.NotReady, "no configuration yet"))
		return
	}
	out := slices.Collect(maps.Values(snapshot.Rollouts))
	slices.SortFunc(out, func(a, b config.Rollout) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	if out == nil {
		out = []config.Rollout{}
	}
	c.JSON(http.StatusOK, out)
}

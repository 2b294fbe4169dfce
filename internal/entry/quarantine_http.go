package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

// Paths of the quarantine API, served by the metrics listener.
const (
	QuarantinePath = "/debug/quarantine"
	// ReleasePath is followed by the digest of the request.
	ReleasePath = QuarantinePath + "/release/"
)

// QuarantineReply lists the quarantined requests, newest first.
type QuarantineReply struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request that is refused, or was until recently.
type QuarantinedRequest struct {
	// Digest identifies the request, or the entry if Parts are set.
	Digest quarantine.Digest `json:"digest"`
	// Parts are the parts of prompts: all requests of the organisation, or of all if Shared is set, that
	// have all of them are refused.
	Parts        []string `json:"parts,omitempty"`
	Shared       bool     `json:"shared,omitempty"`
	Route        string   `json:"route"`
	Organisation string   `json:"organisation"`
	// Ended are the IDs of the upstream instances that ended under the request.
	Ended    []string `json:"ended"`
	Released bool     `json:"released"`
	// LeftMS is how much longer the request is refused, in milliseconds. If it is not
	// positive, one more crash quarantines the request again.
	LeftMS int64 `json:"left_ms"`
}

// quarantineVars are the counters of the quarantine in /debug/vars.
type quarantineVars struct {
	// Requests is the number of quarantined requests, Refused the number of times that this
	// daemon refused one, and InstancesEnded the number of instances that ended under requests
	// of this daemon.
	Requests       int   `json:"requests"`
	Refused        int64 `json:"refused"`
	InstancesEnded int64 `json:"instances_ended"`
}

func (q *quarantineManager) vars() quarantineVars {
	q.mu.Lock()
	ended := q.endedCount
	q.mu.Unlock()
	return quarantineVars{Requests: len(q.list.Entries()), Refused: q.refusals.Load(), InstancesEnded: ended}
}

// serveList serves the list of quarantined requests.
func (q *quarantineManager) serveList(w http.ResponseWriter, _ *http.Request) {
	reply := QuarantineReply{Requests: []QuarantinedRequest{}}
	for _, e := range q.list.Entries() {
		reply.Requests = append(reply.Requests, QuarantinedRequest{
			Digest: e.Digest, Parts: e.RefusedParts, Shared: e.Shared, Route: e.Route, Organisation: e.Organisation, Ended: e.Ended, Released: e.Released,
			LeftMS: e.Left.Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		slog.Debug("quarantine.not_delivered", "error", err)
	}
}

// serveRelease ends the quarantine of the request whose digest is in the path.
func (q *quarantineManager) serveRelease(w http.ResponseWriter, r *http.Request) {
	var d quarantine.Digest
	if err := d.UnmarshalText([]byte(r.PathValue("digest"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !q.Release(r.Context(), d) {
		http.Error(w, "no such request is quarantined", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

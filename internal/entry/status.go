package entry

import (
	"encoding/json"
	"expvar"
	"log/slog"
	"net/http"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/catalog"
	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/shift"
)

// DaemonStatus is the status that a daemon reports to operators: the configuration, instance
// list, roll-outs, evacuations and peers that it knows.
type DaemonStatus struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	// Reader is set if the daemon reads the store on behalf of its group.
	Reader bool `json:"reader"`
	Config struct {
		Version int64           `json:"version"`
		AgeMS   int64           `json:"age_ms"`
		Limits  catalog.Limits  `json:"limits"`
		Routes  []catalog.Route `json:"routes"`
	} `json:"config"`
	List struct {
		Revision  int64                       `json:"revision"`
		AgeMS     int64                       `json:"age_ms"`
		Instances map[string][]inventory.View `json:"instances"`
	} `json:"list"`
	Rollouts []shift.State `json:"rollouts"`
	// Evacuations are the active evacuations.
	Evacuations []Evacuation    `json:"evacuations"`
	Daemons     []member.Daemon `json:"daemons"`
}

// Evacuation is a failure domain whose instances get no new requests.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
	// SinceMS is how long the evacuation has been active, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Open is the number of open requests of all daemons in the failure domain. A daemon without
	// a recent report of the others counts only its own.
	Open int `json:"open"`
}

// activeEvacuations returns the active evacuations.
func (n *Node) activeEvacuations() []Evacuation {
	out := []Evacuation{}
	for _, o := range n.evacuations.InForce() {
		out = append(out, Evacuation{FailureDomain: o.FailureDomain, SinceMS: o.Age.Milliseconds(), Open: n.table.OpenRequestsIn(o.FailureDomain)})
	}
	return out
}

// Status returns the status of this daemon.
func (n *Node) Status() DaemonStatus {
	s := DaemonStatus{Instance: n.settings.Instance, Ready: n.Ready(), Reader: n.isReader(), Daemons: n.registry.All(), Evacuations: n.activeEvacuations()}
	s.List.Revision, s.List.AgeMS = n.table.Revision(), n.table.Age().Milliseconds()
	s.List.Instances = map[string][]inventory.View{}
	_, s.Rollouts = n.rollouts.Orders()
	c := n.current.Load()
	if c == nil {
		return s
	}
	s.Config.Version, s.Config.AgeMS = c.Version, n.clock.Since(n.freshness.view().confirmedAt).Milliseconds()
	s.Config.Limits = c.Limits
	for _, r := range c.Routes() {
		s.Config.Routes = append(s.Config.Routes, *r)
		for _, backend := range r.Backends {
			s.List.Instances[backend.Service] = n.table.Usable(backend.Service)
		}
	}
	return s
}

// Paths served by the metrics listener.
const (
	varsPath   = "/debug/vars"
	StatusPath = "/debug/beliefs"
)

// debugHandler serves the counters, the daemon's status and load, and the quarantine API.
func (n *Node) debugHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+varsPath, expvar.Handler())
	mux.HandleFunc("GET "+QuarantinePath, n.quarantine.serveList)
	mux.HandleFunc("POST "+ReleasePath+"{digest}", n.quarantine.serveRelease)
	mux.HandleFunc("GET "+LoadPath, n.serveLoad)
	mux.HandleFunc("GET "+TermsPath, n.terms.serveList)
	mux.HandleFunc("POST "+TermsPath, n.terms.serveChange)
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
			slog.Debug("status.not_delivered", "error", err)
		}
	})
	return mux
}

// staleAfter is the age of the list or the configuration from which the CLI marks the status
// as stale.
const staleAfter = 3 * time.Second

// Stale reports whether the instance list or the configuration was last confirmed more than
// staleAfter ago.
func (s DaemonStatus) Stale() bool {
	return s.List.AgeMS > staleAfter.Milliseconds() || s.Config.AgeMS > staleAfter.Milliseconds()
}

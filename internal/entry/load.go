package entry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"slices"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
)

// LoadPath is the path of the capacity accounting on the metrics listener.
const LoadPath = "/debug/load"

// LoadStatus is the capacity accounting of a daemon. Work is in seconds at an instance of usual
// speed.
type LoadStatus struct {
	Instance string `json:"instance"`
	// Exchanged is set if daemons exchange usage in this deployment.
	Exchanged bool `json:"exchanged"`
	// Daemons is the number of daemons whose usage is included.
	Daemons  int           `json:"daemons"`
	Services []ServiceLoad `json:"services"`
}

// ServiceLoad is the load of one service by all daemons and by this one.
type ServiceLoad struct {
	Name string `json:"name"`
	// Short is set while the service is short of capacity, and Isolated while this daemon goes by
	// its own part of the last known capacity.
	Short            bool               `json:"short"`
	Isolated         bool               `json:"isolated"`
	AgeMS            int64              `json:"age_ms"`
	CompletedPerS    float64            `json:"completed_per_s"`
	CapacityPerS     float64            `json:"capacity_per_s"`
	DemandPerS       float64            `json:"demand_per_s"`
	RequestsPerS     float64            `json:"requests_per_s"`
	RefusedPerS      float64            `json:"refused_per_s"`
	Waiting          int                `json:"waiting"`
	OwnCompletedPerS float64            `json:"own_completed_per_s"`
	OwnDemandPerS    float64            `json:"own_demand_per_s"`
	OwnWaiting       int                `json:"own_waiting"`
	Organisations    []OrganisationLoad `json:"organisations"`
}

// OrganisationLoad is the load of one organisation at a service by all daemons.
type OrganisationLoad struct {
	Name        string  `json:"name"`
	DemandPerS  float64 `json:"demand_per_s"`
	RefusedPerS float64 `json:"refused_per_s"`
	// Share is the fraction of its offered work that it may start.
	Share float64 `json:"share"`
}

// capacityNames are the names of services and organisations by key.
type capacityNames map[capacity.Key]string

// capacityNames returns the names in the configuration.
func (n *Node) capacityNames() capacityNames {
	out := capacityNames{capacity.OtherOrganisations: "(other)", capacity.KeyOf(""): "(none)"}
	if c := n.current.Load(); c != nil {
		for _, name := range slices.Concat(c.ServiceNames(), c.OrganisationNames()) {
			out[capacity.KeyOf(name)] = name
		}
	}
	return out
}

// of returns the name for a key. A peer may have a newer configuration with other names.
func (c capacityNames) of(key capacity.Key) string {
	if name, ok := c[key]; ok {
		return name
	}
	return fmt.Sprintf("%08x", uint32(key))
}

// Load returns the capacity accounting of this daemon.
func (n *Node) Load() LoadStatus {
	out := LoadStatus{Instance: n.settings.Instance, Exchanged: n.overload.ExchangesUsage(), Daemons: n.account.Daemons(), Services: []ServiceLoad{}}
	c := n.current.Load()
	if c == nil {
		return out
	}
	names, own := n.capacityNames(), n.meter.Usage()
	for _, service := range slices.Sorted(slices.Values(c.ServiceNames())) {
		s, mine := n.account.Service(service), own.Services[capacity.KeyOf(service)]
		if !s.Known && len(mine.Organisations) == 0 {
			continue
		}
		load := ServiceLoad{
			Name: service, Short: s.Short, Isolated: s.Isolated, AgeMS: s.Age.Milliseconds(), CompletedPerS: s.Completed, CapacityPerS: s.Capacity,
			DemandPerS: s.Demand, RequestsPerS: s.Requests, RefusedPerS: s.Refused, Waiting: s.Waiting,
			OwnCompletedPerS: mine.Completed, OwnDemandPerS: mine.Total().Demand, OwnWaiting: int(math.Round(mine.Waiting)), Organisations: []OrganisationLoad{},
		}
		organisations := n.account.Organisations(service)
		for _, key := range slices.Sorted(maps.Keys(organisations)) {
			share, _ := n.account.ShareOf(service, key)
			l := organisations[key]
			load.Organisations = append(load.Organisations, OrganisationLoad{Name: names.of(key), DemandPerS: l.Demand, RefusedPerS: l.Refused, Share: share})
		}
		slices.SortFunc(load.Organisations, func(a, b OrganisationLoad) int {
			return cmp.Or(cmp.Compare(b.DemandPerS, a.DemandPerS), cmp.Compare(a.Name, b.Name))
		})
		out.Services = append(out.Services, load)
	}
	return out
}

// capacityVars are the counters of the capacity accounting.
type capacityVars struct {
	capacity.Counters
	// Sent and Received count messages with the usage of all daemons, Reported those with the usage
	// of this daemon, and Unreadable those that could not be decoded.
	Sent       int64 `json:"usage_sent"`
	Received   int64 `json:"usage_received"`
	Reported   int64 `json:"usage_reported"`
	Unreadable int64 `json:"usage_unreadable"`
	// ShortServices is the number of services that are short of capacity, and ShortChanges the
	// number of times that this has begun or ended for a service.
	ShortServices int `json:"services_short"`
	// Isolated is set while this daemon goes by its own part of the last known capacity.
	Isolated     bool  `json:"isolated"`
	ShortChanges int64 `json:"short_changes"`
}

func (n *Node) capacityVars() capacityVars {
	c := &n.usage.counters
	return capacityVars{
		Counters: n.meter.Counters(), Sent: c.sent.Load(), Received: c.received.Load(), Reported: c.reported.Load(),
		Unreadable: c.unreadable.Load(), ShortServices: n.account.ShortServices(), Isolated: n.account.Isolated(), ShortChanges: c.shortChanges.Load(),
	}
}

func (n *Node) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Load()); err != nil {
		slog.Debug("load.not_delivered", "error", err)
	}
}

package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/overload"
)

// RoutesFile is the settings file of a daemon that routes plain HTTP requests by
// host and path. The operator's configuration of such daemons is in the
// platform's store.
type RoutesFile struct {
	Routes Routes `json:"routes"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"log_level"`
	Trace    Trace  `json:"trace"`
}

// Routes are the settings of a daemon that routes plain HTTP requests.
type Routes struct {
	// Instance is the name of the machine. FailureDomain and Site are its
	// location.
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Site          string `json:"site"`
	// FailureDomains maps every failure domain to its site.
	FailureDomains map[string]string `json:"failure_domains"`
	// The listen addresses are host:port. CallerListen is for callers' requests,
	// ReadyListen for the platform's readiness checks, DirectoryListen for callers
	// that ask which daemons to use, PeerListen for other daemons and MetricsListen
	// for metrics.
	CallerListen    string `json:"caller_listen"`
	ReadyListen     string `json:"ready_listen"`
	DirectoryListen string `json:"directory_listen"`
	PeerListen      string `json:"peer_listen"`
	MetricsListen   string `json:"metrics_listen"`
	// Seeds are the peer addresses of daemons to contact at start. Some of them
	// may be down.
	Seeds []string `json:"seeds"`
	// Platform is the address of the platform's store, host:port.
	Platform string `json:"platform"`
	// MemoryMB is the memory that the process may use, in MB. Descriptors is the
	// number of file descriptors that it may open.
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"descriptors"`
	// LinkMbps is the capacity of the machine's network link, in Mbit/s; 0 means
	// unknown. In a failure domain, daemons with fast links read the store on behalf
	// of the others.
	LinkMbps float64 `json:"link_mbps"`
	// CPUShare is the part of a processor core that the machine has; 0 means unknown.
	CPUShare float64 `json:"cpu_share"`
	// Contracts are the names of the platform's contracts in force.
	Contracts []string `json:"contracts"`
	// Overload says which parts of the handling of overload apply, and which terms organisations
	// have. By default the parts apply that the deployment calls for, and all organisations have
	// the same terms.
	Overload overload.Settings `json:"overload"`

	// SessionS is the longest pause between two requests of a session, in seconds.
	SessionS float64 `json:"session_s"`
	// StopS is the time from SIGTERM until the process is killed, in seconds.
	StopS float64 `json:"stop_s"`
	// DrainMS is the time within which a leaving upstream instance must stop
	// getting new requests, in milliseconds.
	DrainMS int64 `json:"drain_ms"`
	// ExposureShare is the largest fraction of a service's requests, above 0 and
	// at most 1, that a new version may get during its roll-out. The default is 0.15.
	ExposureShare float64 `json:"exposure_share"`
	// ExposureSlack is the number of requests beyond that fraction that it may get. The default
	// is 30.
	ExposureSlack int `json:"exposure_slack"`
	// RetryRatio, RetrySlack and RetryWindowS are the retry budget of all daemons
	// together: within a window of RetryWindowS seconds they may make RetryRatio
	// times the number of requests plus RetrySlack retries.
	RetryRatio   float64 `json:"retry_ratio"`
	RetrySlack   float64 `json:"retry_slack"`
	RetryWindowS float64 `json:"retry_window_s"`
}

// defaultExposureShare and defaultExposureSlack are the defaults of Routes.ExposureShare and
// Routes.ExposureSlack: the limits that the first installations allow.
const (
	defaultExposureShare = 0.15
	defaultExposureSlack = 30
)

// LoadRoutes reads and checks a settings file with a section "routes". If the file
// has no such section, ok is false and f is empty.
func LoadRoutes(path string) (f RoutesFile, ok bool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, false, trace.Wrap(err)
	}
	var probe struct {
		Routes *struct{} `json:"routes"`
	}
	if err := config.Decode(text, &probe); err != nil {
		return f, false, trace.BadParameter("%s: %v", path, err)
	}
	if probe.Routes == nil {
		return f, false, nil
	}
	f = RoutesFile{Routes: Routes{ExposureShare: defaultExposureShare, ExposureSlack: defaultExposureSlack, Overload: overload.DefaultSettings()}, LogLevel: "info", Trace: Trace{Exporter: "none"}}
	if err := config.DecodeStrict(text, &f); err != nil {
		return f, true, trace.BadParameter("%s: %v", path, err)
	}
	return f, true, trace.Wrap(f.Routes.Check())
}

// Check returns an error for the first setting that is missing or out of range.
func (r Routes) Check() error {
	for _, required := range []struct{ field, value string }{
		{"failure_domain", r.FailureDomain}, {"caller_listen", r.CallerListen}, {"ready_listen", r.ReadyListen},
		{"directory_listen", r.DirectoryListen}, {"peer_listen", r.PeerListen}, {"platform", r.Platform},
	} {
		if required.value == "" {
			return trace.BadParameter("/routes/%s: missing", required.field)
		}
	}
	for _, required := range []struct {
		field string
		value float64
	}{
		{"memory_mb", float64(r.MemoryMB)}, {"session_s", r.SessionS}, {"stop_s", r.StopS},
		{"drain_ms", float64(r.DrainMS)}, {"retry_window_s", r.RetryWindowS},
	} {
		if required.value <= 0 {
			return trace.BadParameter("/routes/%s: must be positive", required.field)
		}
	}
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		return trace.BadParameter("/routes/exposure_share: must be above 0 and at most 1")
	}
	if r.ExposureSlack < 0 {
		return trace.BadParameter("/routes/exposure_slack: must not be negative")
	}
	if r.LinkMbps < 0 {
		return trace.BadParameter("/routes/link_mbps: must not be negative")
	}
	if r.CPUShare < 0 {
		return trace.BadParameter("/routes/cpu_share: must not be negative")
	}
	if err := r.Overload.Check("/routes/overload"); err != nil {
		return err
	}
	if r.RetryRatio < 0 || r.RetrySlack < 0 {
		return trace.BadParameter("/routes/retry_ratio, /routes/retry_slack: must not be negative")
	}
	return nil
}

// Seconds converts a number of seconds to a duration.
func Seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

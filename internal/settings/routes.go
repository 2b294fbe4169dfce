package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// RoutesFile is the settings file of a daemon that serves plain HTTP callers by
// host and path, on a platform that holds the operator's declarations.
type RoutesFile struct {
	Routes Routes `json:"routes"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
	Trace    Trace  `json:"trace"`
}

// Routes are the settings of the interface for plain HTTP callers.
type Routes struct {
	// Instance is the name of the machine; FailureDomain and Site are where it
	// runs.
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Site          string `json:"site"`
	// FailureDomains maps every failure domain to its site.
	FailureDomains map[string]string `json:"failure_domains"`
	// CallerListen serves requests, ReadyListen the platform's checks,
	// DirectoryListen callers that ask which daemons to use, PeerListen the
	// other daemons, MetricsListen counters. All are host:port.
	CallerListen    string `json:"caller_listen"`
	ReadyListen     string `json:"ready_listen"`
	DirectoryListen string `json:"directory_listen"`
	PeerListen      string `json:"peer_listen"`
	MetricsListen   string `json:"metrics_listen"`
	// Seeds are peer addresses of some daemons, which may be down.
	Seeds []string `json:"seeds"`
	// Platform is the address of the platform's store.
	Platform string `json:"platform"`
	// MemoryMB is what the process may use, Descriptors how many it may open.
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"descriptors"`
	// LinkMbps is what the instance's link carries, in Mbit/s; 0 is not known. Of the
	// daemons of a failure domain those with wide links read the store for the others.
	LinkMbps float64 `json:"link_mbps"`

	// SessionS is the longest pause between the requests of a session.
	SessionS float64 `json:"session_s"`
	// StopS is the time from SIGTERM until the process is killed.
	StopS float64 `json:"stop_s"`
	// DrainMS is the time in which a leaving upstream instance must get
	// nothing new.
	DrainMS int64 `json:"drain_ms"`
	// ExposureShare is the largest part of a service's requests, 0 to 1, that a
	// new version may get while its roll-out is under way. Default 0.15.
	ExposureShare float64 `json:"exposure_share"`
	// RetryRatio, RetrySlack and RetryWindowS are the budget of repeats of all
	// daemons: in a window, the ratio times the requests plus the slack.
	RetryRatio   float64 `json:"retry_ratio"`
	RetrySlack   float64 `json:"retry_slack"`
	RetryWindowS float64 `json:"retry_window_s"`
}

// defaultExposure is what the first installations allow.
const defaultExposureShare = 0.15

// LoadRoutes reads a settings file with the section "routes". ok is false, and
// nothing else is read, when the file has no such section.
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
	f = RoutesFile{Routes: Routes{ExposureShare: defaultExposureShare}, LogLevel: "info", Trace: Trace{Exporter: "none"}}
	if err := config.DecodeStrict(text, &f); err != nil {
		return f, true, trace.BadParameter("%s: %v", path, err)
	}
	return f, true, trace.Wrap(f.Routes.Check())
}

// Check looks for values that are missing or make no sense.
func (r Routes) Check() error {
	for _, need := range []struct{ field, value string }{
		{"failure_domain", r.FailureDomain}, {"caller_listen", r.CallerListen}, {"ready_listen", r.ReadyListen},
		{"directory_listen", r.DirectoryListen}, {"peer_listen", r.PeerListen}, {"platform", r.Platform},
	} {
		if need.value == "" {
			return trace.BadParameter("/routes/%s: missing", need.field)
		}
	}
	for _, need := range []struct {
		field string
		value float64
	}{
		{"memory_mb", float64(r.MemoryMB)}, {"session_s", r.SessionS}, {"stop_s", r.StopS},
		{"drain_ms", float64(r.DrainMS)}, {"retry_window_s", r.RetryWindowS},
	} {
		if need.value <= 0 {
			return trace.BadParameter("/routes/%s: must be positive", need.field)
		}
	}
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		return trace.BadParameter("/routes/exposure_share: must be above 0 and at most 1")
	}
	if r.LinkMbps < 0 {
		return trace.BadParameter("/routes/link_mbps: must not be negative")
	}
	if r.RetryRatio < 0 || r.RetrySlack < 0 {
		return trace.BadParameter("/routes/retry_ratio, /routes/retry_slack: must not be negative")
	}
	return nil
}

// Seconds converts a setting in seconds.
func Seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

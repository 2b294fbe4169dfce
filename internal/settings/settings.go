// Package settings reads the settings file of a daemon, which is JSON with
// comments.
package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Site selects the overlay of the configuration. FailureDomain is the failure
	// domain in which the daemon runs.
	Site          string `json:"site"`
	FailureDomain string `json:"failure_domain"`
	// Instance is the platform's name for the machine. It is only displayed.
	Instance string `json:"instance"`
	// The listen addresses are host:port; port 0 selects a free port.
	CallerListen   string `json:"caller_listen"`
	OperatorListen string `json:"operator_listen"`
	PeerListen     string `json:"peer_listen"`
	// CallerURL and PeerAddress are announced to callers and peers. The defaults
	// are the listen addresses.
	CallerURL   string `json:"caller_url"`
	PeerAddress string `json:"peer_address"`
	// Platform is the platform's address, host:port.
	Platform string `json:"platform"`
	// Peers are the peer addresses to contact at start. The platform's instance
	// list adds more.
	Peers []string `json:"peers"`
	// OperatorToken, if not empty, is the bearer token that operators must send.
	OperatorToken string `json:"operator_token"`
	Limits        Limits `json:"limits"`
	Timing        Timing `json:"timing"`
	Trace         Trace  `json:"trace"`
	TLS           TLS    `json:"tls"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"log_level"`
}

// Limits bound the resources that one daemon uses.
type Limits struct {
	// MaxBodyBytes bounds request bodies. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes bounds the heads of requests. Default 64 KiB.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MemoryMB is the memory that the process may use, in MB. It gives the budgets for bodies and heads. Default
	// 512.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of file descriptors that the process may open. It gives the numbers of
	// connections. Default 2048.
	Descriptors int `json:"descriptors"`
	// MaxPendingBills bounds the bills that are not yet in the store. Default
	// 100000.
	MaxPendingBills int `json:"max_pending_bills"`
	// AnswerBytes bounds the total size of the answers kept in memory. Default
	// 64 MiB.
	AnswerBytes int `json:"answer_bytes"`
	// UpstreamsSeen bounds the number of upstreams that the daemon uses. Default 64.
	UpstreamsSeen int `json:"upstreams_seen"`
	// EntriesListed bounds the number of daemons in a discovery response. Default 16.
	EntriesListed int `json:"entries_listed"`
	// ReportBytesPerSecond bounds the bytes of load reports that the daemon requests
	// in a second. Default 40000.
	ReportBytesPerSecond float64 `json:"report_bytes_per_second"`
}

// Timing holds times in milliseconds.
type Timing struct {
	// HeartbeatMS is the time between heartbeats to peers. Default 500.
	HeartbeatMS int64 `json:"heartbeat_ms"`
	// SuspectAfter is the number of unanswered heartbeats after which a peer
	// is suspected. Default 3.
	SuspectAfter int `json:"suspect_after"`
	// SealAfterMS is how long a daemon is suspected before other daemons close its
	// bills. Default 10000.
	SealAfterMS int64 `json:"seal_after_ms"`
	// ConfigMS is the minimum time between two reads of the configuration head.
	// Default 1000.
	ConfigMS int64 `json:"config_ms"`
	// FreshMS is how long a configuration counts as current after it was
	// confirmed. Default 3000.
	FreshMS int64 `json:"fresh_ms"`
	// RefuseMS is how long a daemon without contact to the store and to peers
	// still serves proven versions, which are those that have passed their
	// roll-out. It counts from the last confirmation of the configuration.
	// Default 15000.
	RefuseMS int64 `json:"refuse_ms"`
	// ListMS is the minimum time between two reads of the instance list. Default
	// 1000.
	ListMS int64 `json:"list_ms"`
	// ReportMS is the minimum time between two load reports. Default 500.
	ReportMS int64 `json:"report_ms"`
	// RatingMS is the time between reads of the ratings feed. Default 1000.
	RatingMS int64 `json:"rating_ms"`
	// RolloutMS is the time between two steps of the daemon that runs a roll-out.
	// Default 1000.
	RolloutMS int64 `json:"rollout_ms"`
	// LeaseMS is the duration of leases. Default 6000.
	LeaseMS int64 `json:"lease_ms"`
	// CommitMS is the minimum time between two commits of bills. Default 1000.
	CommitMS int64 `json:"commit_ms"`
	// TidyMS is the time between two clean-ups, which move old bills to the object
	// store and delete expired rows. Default 10000.
	TidyMS int64 `json:"tidy_ms"`
	// HoldMS is the timeout for copying bills to peers. Default 300.
	HoldMS int64 `json:"hold_ms"`
	// EntriesTTLMS is how long callers may cache a discovery response. Default 10000.
	EntriesTTLMS int64 `json:"entries_ttl_ms"`
	// AnswerRetentionMS is how long complete answers are kept. Default 300000.
	AnswerRetentionMS int64 `json:"answer_retention_ms"`
	// AbandonMS is how long the daemon continues an answer that no caller reads.
	// Default 10000.
	AbandonMS int64 `json:"abandon_ms"`
	// SessionMS is the lifetime of a session. Default 86400000.
	SessionMS int64 `json:"session_ms"`
	// StopMS bounds a planned stop. Requests that still run after it are cut off and
	// reported. Default 600000.
	StopMS int64 `json:"stop_ms"`
}

// Trace configures the export of trace spans.
type Trace struct {
	// Exporter is none, file or otlp. Default none.
	Exporter string `json:"exporter"`
	// File is the path of the output of the file exporter.
	File string `json:"file"`
	// Endpoint is the host:port of an OTLP/HTTP collector for the otlp exporter.
	Endpoint string `json:"endpoint"`
}

// TLS has the paths of PEM files. If they are set, the peer listener requires
// client certificates signed by the CA, and the caller and operator listeners
// serve HTTPS.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Defaults returns the settings for everything that a file leaves out.
func Defaults() Settings {
	return Settings{
		Site:           "default",
		FailureDomain:  "default",
		CallerListen:   "127.0.0.1:8480",
		OperatorListen: "127.0.0.1:8481",
		PeerListen:     "127.0.0.1:8482",
		LogLevel:       "info",
		Limits: Limits{
			MaxBodyBytes:    4 << 20,
			MaxHeaderBytes:  64 << 10,
			MemoryMB:        512,
			Descriptors:     2048,
			MaxPendingBills: 100_000,
			AnswerBytes:     64 << 20,
			UpstreamsSeen:   64,
			EntriesListed:   16,

			ReportBytesPerSecond: 40_000,
		},
		Timing: Timing{
			HeartbeatMS: 500, SuspectAfter: 3, SealAfterMS: 10_000,
			ConfigMS: 1000, FreshMS: 3000, RefuseMS: 15_000,
			ListMS: 1000, ReportMS: 500, RatingMS: 1000, RolloutMS: 1000,
			LeaseMS: 6000, CommitMS: 1000, TidyMS: 10_000, HoldMS: 300, EntriesTTLMS: 10_000,
			AnswerRetentionMS: 300_000, AbandonMS: 10_000,
			SessionMS: 24 * 3600 * 1000, StopMS: 600_000,
		},
		Trace: Trace{Exporter: "none"},
	}
}

// Load reads a settings file, fills in the defaults and checks the result.
func Load(path string) (Settings, error) {
	s := Defaults()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, trace.Wrap(err)
	}
	if err := config.DecodeStrict(text, &s); err != nil {
		return s, trace.BadParameter("%s: %v", path, err)
	}
	return s, trace.Wrap(s.Check())
}

const (
	// minHeaderBytes holds the tokens of a session and of a resumed answer.
	minHeaderBytes = 4 << 10
	// memoryPerBodyByte is how much memory the longest body needs, so that at least one fits into the budget.
	memoryPerBodyByte = 16
	// minDescriptors leaves some for connections beside those that are reserved.
	minDescriptors = 400
)

// Check returns an error for the first setting that is missing or out of range.
func (s Settings) Check() error {
	switch {
	case s.Platform == "":
		return trace.BadParameter("/platform: missing")
	case s.Site == "":
		return trace.BadParameter("/site: missing")
	case s.Limits.MaxHeaderBytes < minHeaderBytes:
		return trace.BadParameter("/limits/max_header_bytes: must be at least %d", minHeaderBytes)
	case int64(s.Limits.MemoryMB)<<20 < memoryPerBodyByte*s.Limits.MaxBodyBytes:
		return trace.BadParameter("/limits/memory_mb: must be at least %d times max_body_bytes", memoryPerBodyByte)
	case s.Limits.Descriptors < minDescriptors:
		return trace.BadParameter("/limits/descriptors: must be at least %d", minDescriptors)
	case s.Limits.EntriesListed <= 0:
		return trace.BadParameter("/limits/entries_listed: must be positive")
	case s.Limits.ReportBytesPerSecond <= 0:
		return trace.BadParameter("/limits/report_bytes_per_second: must be positive")
	case s.Timing.HeartbeatMS <= 0:
		return trace.BadParameter("/timing/heartbeat_ms: must be positive")
	case s.Timing.FreshMS <= s.Timing.HeartbeatMS:
		return trace.BadParameter("/timing/fresh_ms: must be longer than heartbeat_ms")
	case s.Timing.LeaseMS <= 3*s.Timing.RolloutMS:
		return trace.BadParameter("/timing/lease_ms: must be longer than three times rollout_ms")
	case s.TLS.Enabled() && (s.TLS.Key == "" || s.TLS.CA == ""):
		return trace.BadParameter("/tls: cert, key and ca go together")
	case s.Trace.Exporter == "file" && s.Trace.File == "":
		return trace.BadParameter("/trace/file: missing")
	case s.Trace.Exporter == "otlp" && s.Trace.Endpoint == "":
		return trace.BadParameter("/trace/endpoint: missing")
	}
	return nil
}

// MS converts a number of milliseconds to a duration.
func MS(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

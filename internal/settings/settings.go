// Package settings reads a daemon's own settings file: JSON with comments.
package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Site names the overlay that applies. FailureDomain is where the daemon
	// runs.
	Site          string `json:"site"`
	FailureDomain string `json:"failure_domain"`
	// Instance is the platform's name of the machine; only shown.
	Instance string `json:"instance"`
	// Listen addresses, host:port; port 0 picks a free one.
	CallerListen   string `json:"caller_listen"`
	OperatorListen string `json:"operator_listen"`
	PeerListen     string `json:"peer_listen"`
	// CallerURL and PeerAddress are told to others; the default is the address
	// listened on.
	CallerURL   string `json:"caller_url"`
	PeerAddress string `json:"peer_address"`
	// Platform is the platform's address, host:port.
	Platform string `json:"platform"`
	// Peers are peer addresses to start with; the platform's list adds more.
	Peers []string `json:"peers"`
	// OperatorToken, when set, is asked of operators as a bearer token.
	OperatorToken string `json:"operator_token"`
	Limits        Limits `json:"limits"`
	Timing        Timing `json:"timing"`
	Trace         Trace  `json:"trace"`
	TLS           TLS    `json:"tls"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
}

// Limits bound what one daemon holds.
type Limits struct {
	// MaxBodyBytes bounds request bodies. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxPendingBills bounds bills that wait for the store. Default 100000.
	MaxPendingBills int `json:"max_pending_bills"`
	// AnswerBytes bounds the kept answers together. Default 64 MiB.
	AnswerBytes int `json:"answer_bytes"`
	// UpstreamsSeen bounds how many upstreams the daemon uses. Default 64.
	UpstreamsSeen int `json:"upstreams_seen"`
	// EntriesListed bounds the daemons named in a discovery answer. Default 16.
	EntriesListed int `json:"entries_listed"`
	// ReportBytesPerSecond bounds the load reports asked for. Default 40000.
	ReportBytesPerSecond float64 `json:"report_bytes_per_second"`
}

// Timing holds times in milliseconds.
type Timing struct {
	// HeartbeatMS is the time between heartbeats to peers. Default 500.
	HeartbeatMS int64 `json:"heartbeat_ms"`
	// SuspectAfter is the number of unanswered heartbeats after which a peer
	// is suspected. Default 3.
	SuspectAfter int `json:"suspect_after"`
	// SealAfterMS is how long a daemon is suspect before its bills are
	// closed by others. Default 10000.
	SealAfterMS int64 `json:"seal_after_ms"`
	// ConfigMS is the least time between reads of the configuration head. Default 1000.
	ConfigMS int64 `json:"config_ms"`
	// FreshMS is how long a confirmed configuration is relied on. Default 3000.
	FreshMS int64 `json:"fresh_ms"`
	// RefuseMS is how long after its last confirmation a daemon cut off from
	// store and peers still serves proven versions. Default 15000.
	RefuseMS int64 `json:"refuse_ms"`
	// ListMS is the least time between reads of the instance list. Default 1000.
	ListMS int64 `json:"list_ms"`
	// ReportMS is the least time between load reports. Default 500.
	ReportMS int64 `json:"report_ms"`
	// RatingMS is the time between reads of the ratings feed. Default 1000.
	RatingMS int64 `json:"rating_ms"`
	// RolloutMS is the time between steps of the roll-out duty. Default 1000.
	RolloutMS int64 `json:"rollout_ms"`
	// LeaseMS is the duration of leases. Default 6000.
	LeaseMS int64 `json:"lease_ms"`
	// CommitMS is the least time between commits of bills. Default 1000.
	CommitMS int64 `json:"commit_ms"`
	// TidyMS is the time between two rounds of moving old bills to the object
	// store and deleting expired rows. Default 10000.
	TidyMS int64 `json:"tidy_ms"`
	// HoldMS bounds a copy of bills to the peers. Default 300.
	HoldMS int64 `json:"hold_ms"`
	// EntriesTTLMS is how long callers may keep a discovery answer. Default 10000.
	EntriesTTLMS int64 `json:"entries_ttl_ms"`
	// AnswerRetentionMS is how long ended answers are kept. Default 300000.
	AnswerRetentionMS int64 `json:"answer_retention_ms"`
	// AbandonMS is how long an answer that nobody reads goes on. Default 10000.
	AbandonMS int64 `json:"abandon_ms"`
	// SessionMS is the life of a session. Default 86400000.
	SessionMS int64 `json:"session_ms"`
	// StopMS bounds a planned stop; what still runs then is cut and reported.
	// Default 600000.
	StopMS int64 `json:"stop_ms"`
}

// Trace says where spans go.
type Trace struct {
	// Exporter is none, file or otlp. Default none.
	Exporter string `json:"exporter"`
	// File is the path for the file exporter.
	File string `json:"file"`
	// Endpoint is host:port of an OTLP collector over HTTP.
	Endpoint string `json:"endpoint"`
}

// TLS holds paths of PEM files. With them set, the peer listener asks for
// certificates signed by the CA, and the caller and operator listeners serve
// HTTPS.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Defaults returns the settings used where a file says nothing.
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

// Load reads a settings file over the defaults.
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

// Check looks for values that make no sense.
func (s Settings) Check() error {
	switch {
	case s.Platform == "":
		return trace.BadParameter("/platform: missing")
	case s.Site == "":
		return trace.BadParameter("/site: missing")
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

// MS converts a setting in milliseconds.
func MS(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

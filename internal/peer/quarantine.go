package peer

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

// CrashReport reports upstream instances that ended while they ran requests of a daemon. It is
// sent to the judges, the daemons that decide which requests to quarantine.
type CrashReport struct {
	Crashes []quarantine.Crash
}

// CrashReply is the reply to a CrashReport.
type CrashReply struct {
	// First are the reported requests that were on at most one ended instance, as far as the
	// receiver knows. The sender may retry them at once.
	First []quarantine.Digest
}

// QuarantineEvidenceRequest asks a daemon for its evidence about requests before they are
// quarantined.
type QuarantineEvidenceRequest struct {
	// Digests are the requests, and Parts the parts of prompts that are asked about.
	Digests []quarantine.Digest
	Parts   []string
	// HasTraits is set by daemons that know of parts.
	HasTraits bool
	// From is the incarnation of the judge that asks. Crashes that were reported to it are left out.
	From string
	// Within is the maximum age of the crashes to return.
	Within time.Duration
	// Ended are the instances that are known to have ended, with the time since. A daemon also returns the
	// requests that it had given up a moment before on one of them.
	Ended map[inventory.InstanceHash]time.Duration
}

// QuarantineEvidence is what a daemon knows about requests that may be quarantined.
type QuarantineEvidence struct {
	// Up is how long the daemon has been running. It has no evidence from before its start.
	Up time.Duration
	// Finished has, for those of the requests that recently ran to completion at this daemon,
	// the time since then.
	Finished map[quarantine.Digest]time.Duration
	// FinishedParts is the same for requests with the parts, and Running is for how long answers have
	// run. HasTraits is set if this daemon knows of both.
	FinishedParts map[string]time.Duration
	Running       quarantine.Running
	HasTraits     bool
	// Crashes are the recent crashes that this daemon observed and has not reported to the judge.
	Crashes []quarantine.Crash
}

// QuarantineUpdate has requests that were quarantined or released.
type QuarantineUpdate struct {
	From    string
	Entries []quarantine.Entry
}

// Crashes receives a crash report.
func (s *routesService) Crashes(in CrashReport, out *CrashReply) error {
	*out = s.handler.OnCrashes(in)
	return nil
}

// Inquire returns the evidence of this daemon about some requests.
func (s *routesService) Inquire(in QuarantineEvidenceRequest, out *QuarantineEvidence) error {
	*out = s.handler.OnQuarantineEvidence(in)
	return nil
}

// Quarantine receives requests that were quarantined or released.
func (s *routesService) Quarantine(in QuarantineUpdate, _ *Empty) error {
	s.handler.OnQuarantineUpdate(in)
	return nil
}

// ReportCrashes sends a crash report to a judge.
func (c *Client) ReportCrashes(ctx context.Context, address string, r CrashReport) (CrashReply, error) {
	return callService[CrashReply](ctx, c, address, routesName, "Crashes", r)
}

// QuarantineEvidence asks a peer for its evidence about some requests.
func (c *Client) QuarantineEvidence(ctx context.Context, address string, r QuarantineEvidenceRequest) (QuarantineEvidence, error) {
	return callService[QuarantineEvidence](ctx, c, address, routesName, "Inquire", r)
}

// SendQuarantineUpdate sends requests that were quarantined or released to a peer.
func (c *Client) SendQuarantineUpdate(ctx context.Context, address string, u QuarantineUpdate) error {
	_, err := callService[Empty](ctx, c, address, routesName, "Quarantine", u)
	return err
}

package peer

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/quarantine"
)

// CrashReport tells a judge which upstream instances ended under requests of a daemon.
type CrashReport struct {
	Crashes []quarantine.Crash
}

// CrashReply is the answer.
type CrashReply struct {
	// First are those of the requests told of that were on no other ended instance.
	First []quarantine.Digest
}

// InquiryRequest asks a daemon what speaks for requests that are about to be quarantined.
type InquiryRequest struct {
	Digests []quarantine.Digest
	// Within is how old the crashes may be that are asked for.
	Within time.Duration
}

// Inquiry is the answer.
type Inquiry struct {
	// Up is how long the daemon has been running: of the time before it knows nothing.
	Up time.Duration
	// Finished has, for those requests that ran to their end at this daemon lately, how
	// long ago that was.
	Finished map[quarantine.Digest]time.Duration
	// Crashes are those that this daemon has seen lately, told before or not.
	Crashes []quarantine.Crash
}

// QuarantineNews has requests that were quarantined or released.
type QuarantineNews struct {
	From    string
	Entries []quarantine.Entry
}

// Crashes takes in which instances ended under a peer's requests.
func (s *routesService) Crashes(in CrashReport, out *CrashReply) error {
	*out = s.handler.OnCrashes(in)
	return nil
}

// Inquire returns what speaks for some requests.
func (s *routesService) Inquire(in InquiryRequest, out *Inquiry) error {
	*out = s.handler.OnInquiry(in)
	return nil
}

// Quarantine takes in requests that were quarantined or released.
func (s *routesService) Quarantine(in QuarantineNews, _ *Empty) error {
	s.handler.OnQuarantine(in)
	return nil
}

// Crashes tells a peer which instances ended under requests of this daemon.
func (c *Client) Crashes(ctx context.Context, address string, r CrashReport) (CrashReply, error) {
	return fetchFrom[CrashReply](ctx, c, address, routesName, "Crashes", r)
}

// Inquire asks a peer what speaks for some requests.
func (c *Client) Inquire(ctx context.Context, address string, r InquiryRequest) (Inquiry, error) {
	return fetchFrom[Inquiry](ctx, c, address, routesName, "Inquire", r)
}

// Quarantine tells a peer of requests that were quarantined or released.
func (c *Client) Quarantine(ctx context.Context, address string, n QuarantineNews) error {
	_, err := fetchFrom[Empty](ctx, c, address, routesName, "Quarantine", n)
	return err
}

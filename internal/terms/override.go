package terms

import (
	"time"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

const (
	// MaxDuration is the longest time for which an override is in force.
	MaxDuration = 24 * time.Hour
	// KeepTime is how long overrides that have ended are kept after they were set. An older
	// override of the same organisation, which a peer or the store may still have, has ended by
	// then; it would come into force again if the newer one were forgotten before.
	KeepTime = MaxDuration + time.Minute
	// maxOverrides bounds the overrides that are kept, including those that have ended. 200 take
	// some 60 kB.
	maxOverrides = 200
	// maxNameBytes bounds the names of organisations and operators, and maxReasonBytes reasons.
	maxNameBytes   = 128
	maxReasonBytes = 256
)

// Override replaces the terms of an organisation for a limited time.
type Override struct {
	Organisation string `json:"organisation"`
	Values
	Who    string `json:"who"`
	Reason string `json:"reason"`
	// Version orders the overrides of an organisation: the highest is the newest.
	Version int64 `json:"version"`
	// Cleared is set if an operator has ended the override early.
	Cleared bool `json:"cleared,omitempty"`
	// Age is the time since it was set or cleared, and Left the time until it ends, both when it
	// was sent.
	Age  time.Duration `json:"-"`
	Left time.Duration `json:"-"`
}

// inForce reports whether the override was in force when it was sent.
func (o Override) inForce() bool { return !o.Cleared && o.Left > 0 }

// Check returns an error that names the field if the override is out of range.
func (o Override) Check() error {
	for _, text := range []struct {
		field, value string
		min, max     int
	}{
		{"organisation", o.Organisation, 1, maxNameBytes}, {"who", o.Who, 0, maxNameBytes}, {"reason", o.Reason, 1, maxReasonBytes},
	} {
		switch {
		case len(text.value) < text.min:
			return trace.BadParameter("%s: missing", text.field)
		case len(text.value) > text.max:
			return trace.BadParameter("%s: longer than %d bytes", text.field, text.max)
		case !utf8.ValidString(text.value):
			return trace.BadParameter("%s: not valid UTF-8", text.field)
		}
	}
	return o.Values.Check("")
}

// checkDuration returns an error that names the field unless an override may last for d.
func checkDuration(d time.Duration) error {
	if d <= 0 {
		return trace.BadParameter("for: must be above 0")
	}
	if d > MaxDuration {
		return trace.BadParameter("for: %v is more than %v", d, MaxDuration)
	}
	return nil
}

// Change is an operator's request to set or clear an override.
type Change struct {
	Organisation string `json:"organisation"`
	// Base is the version of the override in force on which the change is based, 0 if there is
	// none.
	Base int64 `json:"base"`
	Given
	// ForMS is how long the override is to last, in milliseconds.
	ForMS int64  `json:"for_ms,omitempty"`
	Clear bool   `json:"clear,omitempty"`
	Who   string `json:"who"`
	// Reason is required to set an override.
	Reason string `json:"reason,omitempty"`
}

// duration returns how long the override is to last. A number of milliseconds that is too large
// for a duration is returned as the largest one.
func (c Change) duration() time.Duration {
	const most = int64(1<<63-1) / int64(time.Millisecond)
	return time.Duration(max(min(c.ForMS, most), -most)) * time.Millisecond
}

package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

// TermsPath is the path of the terms of organisations on the metrics listener: GET lists them, POST
// sets or clears an override.
const TermsPath = LoadPath + "/terms"

const (
	// maxTermsBody limits the body of a change.
	maxTermsBody = 8 << 10
	// termsListInterval is the minimum interval between reads of the store for lists, which
	// programs may request often.
	termsListInterval = time.Second
)

// Sources of terms.
const (
	sourceSettings = "settings"
	sourceOverride = "override"
	sourceDefault  = "default"
)

// TermsReply lists the terms in force.
type TermsReply struct {
	// Applies is set if a service is divided between organisations. Otherwise the terms have no
	// effect for now.
	Applies bool `json:"applies"`
	// StoreRead is set if the store was read for the list or within termsListInterval before.
	// Otherwise the overrides are those that this daemon knows.
	StoreRead     bool                `json:"store_read"`
	Organisations []OrganisationTerms `json:"organisations"`
}

// OrganisationTerms are the terms of one organisation.
type OrganisationTerms struct {
	Name string `json:"name"`
	// Configured is set if the operator's configuration has the organisation.
	Configured bool `json:"configured"`
	terms.Values
	// Source is "settings", "override" or "default". The other fields are those of an override.
	Source  string `json:"source"`
	Version int64  `json:"version,omitempty"`
	Who     string `json:"who,omitempty"`
	Reason  string `json:"reason,omitempty"`
	AgeMS   int64  `json:"age_ms,omitempty"`
	LeftMS  int64  `json:"left_ms,omitempty"`
}

// list returns the terms in force, after a read of the store if it answers.
func (t *termsManager) list(ctx context.Context) TermsReply {
	out := TermsReply{Applies: t.overload.FairSharesAnywhere(), StoreRead: true, Organisations: []OrganisationTerms{}}
	if !t.recentlyRead(termsListInterval) {
		if _, err := t.read(ctx); err != nil {
			out.StoreRead = false
			slog.Debug("terms.not_read", "error", err)
		}
	}
	inForce := t.book.InForce(t.clock.Now())
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		out.Organisations = append(out.Organisations, t.describe(name, inForce))
	}
	return out
}

// describe returns the terms of an organisation.
func (t *termsManager) describe(name string, inForce map[string]terms.Effective) OrganisationTerms {
	e, ok := inForce[name]
	if !ok {
		e = terms.Effective{Values: terms.DefaultValues}
	}
	row := OrganisationTerms{Name: name, Values: e.Values, Source: sourceSettings}
	if c := t.current.Load(); c != nil {
		row.Configured = slices.Contains(c.OrganisationNames(), name)
	}
	switch o := e.Override; {
	case o != nil:
		row.Source, row.Version, row.Who, row.Reason = sourceOverride, o.Version, o.Who, o.Reason
		row.AgeMS, row.LeftMS = o.Age.Milliseconds(), o.Left.Milliseconds()
	case !ok:
		row.Source = sourceDefault
	}
	return row
}

func (t *termsManager) serveList(w http.ResponseWriter, r *http.Request) {
	writeTerms(w, t.list(r.Context()))
}

// serveChange sets or clears an override and returns the terms that are then in force.
func (t *termsManager) serveChange(w http.ResponseWriter, r *http.Request) {
	var c terms.Change
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTermsBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		fault.Write(w, fault.New(fault.ConfigInvalid, "%v", err))
		return
	}
	// A change that is being stored is also sent to all daemons if the operator's tool ends.
	if err := t.change(context.WithoutCancel(r.Context()), c); err != nil {
		fault.Write(w, err)
		return
	}
	writeTerms(w, t.describe(c.Organisation, t.book.InForce(t.clock.Now())))
}

func writeTerms(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("terms.not_delivered", "error", err)
	}
}

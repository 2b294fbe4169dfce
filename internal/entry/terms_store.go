package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/terms"
)

const (
	// termsPrefix is the prefix of the rows of overrides, followed by the organisation. The row with
	// the prefix alone is written with each change: its revision shows that the minimums together
	// are still those that were checked.
	termsPrefix = "terms/"
	// maxTermsRows limits the rows that are read to one page, more than a book holds.
	maxTermsRows = 500
	// maxTermsAttempts is how often a change is tried while other operators change terms of other
	// organisations, or the store loses answers.
	maxTermsAttempts = 4
	// termsRetry is the interval between attempts to read the overrides.
	termsRetry = announceRetry
)

// storedTerms is the row of an override. SetMS and UntilMS are times of the store's clock, so that
// restarts and wrong clocks of daemons do not change them.
type storedTerms struct {
	terms.Override
	SetMS   int64 `json:"set_ms"`
	UntilMS int64 `json:"until_ms"`
}

// storedHead is the row with the prefix alone.
type storedHead struct {
	UpdatedMS int64 `json:"updated_ms"`
}

// termsSnapshot is one read of the rows of overrides.
type termsSnapshot struct {
	nowMS int64
	// revisions has the revision of each row, by organisation.
	revisions map[string]int64
	overrides map[string]terms.Override
}

// readDue reports whether this daemon has to read the overrides. Only the store readers do, and
// only where services are divided between organisations.
func (t *termsManager) readDue() bool {
	if !t.overload.FairSharesAnywhere() || !t.isStoreReader() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if !t.triedAt.IsZero() && now.Sub(t.triedAt) < termsRetry {
		return false
	}
	return t.tidiedAt.IsZero() || now.Sub(t.tidiedAt) >= termsReadInterval || t.tidiedEra != t.store.Era()
}

// recentlyRead reports whether the store has been read within d.
func (t *termsManager) recentlyRead(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.readAt.IsZero() && t.clock.Since(t.readAt) < d
}

func (t *termsManager) readAndTidy(ctx context.Context) {
	t.mu.Lock()
	t.triedAt = t.clock.Now()
	t.mu.Unlock()
	snapshot, err := t.read(ctx)
	if err == nil {
		err = t.tidy(ctx, snapshot)
	}
	if err != nil {
		// A failed check means that an operator has changed terms meanwhile.
		if !trace.IsCompareFailed(err) && ctx.Err() == nil {
			slog.Warn("terms.not_read", "error", err)
		}
		return
	}
	t.mu.Lock()
	t.tidiedAt, t.tidiedEra = t.clock.Now(), t.store.Era()
	t.mu.Unlock()
}

// read reads the overrides, puts them in force and sends those that are new to all daemons.
func (t *termsManager) read(ctx context.Context) (termsSnapshot, error) {
	t.counters.reads.Add(1)
	rows, err := t.kv.List(ctx, termsPrefix, "", maxTermsRows)
	if err != nil {
		return termsSnapshot{}, err
	}
	now, ok := t.store.Clock()
	if !ok {
		return termsSnapshot{}, trace.ConnectionProblem(nil, "store: its time is not known")
	}
	s := termsSnapshot{nowMS: now, revisions: map[string]int64{}, overrides: map[string]terms.Override{}}
	var all []terms.Override
	for _, row := range rows {
		organisation := strings.TrimPrefix(row.Key, termsPrefix)
		s.revisions[organisation] = row.Revision
		if organisation == "" {
			continue
		}
		var stored storedTerms
		if err := unmarshal(row, &stored); err != nil || stored.Organisation != organisation {
			slog.Warn("terms.row_unreadable", "key", row.Key, "error", err)
			continue
		}
		o := stored.Override
		o.Age, o.Left = time.Duration(now-stored.SetMS)*time.Millisecond, time.Duration(stored.UntilMS-now)*time.Millisecond
		s.overrides[organisation] = o
		all = append(all, o)
	}
	t.mu.Lock()
	t.readAt = t.clock.Now()
	t.mu.Unlock()
	t.send(ctx, t.apply(all))
	return s, nil
}

// row returns the row of an override.
func (s termsSnapshot) row(o terms.Override) backing.Put {
	return backing.PutJSON(termsPrefix+o.Organisation, storedTerms{
		Override: o, SetMS: s.nowMS - o.Age.Milliseconds(), UntilMS: s.nowMS + o.Left.Milliseconds(),
	})
}

// head returns the check and the new value of the row that is written with each change.
func (s termsSnapshot) head() (backing.Check, backing.Put) {
	return backing.Check{Key: termsPrefix, Revision: s.revisions[""]}, backing.PutJSON(termsPrefix, storedHead{UpdatedMS: s.nowMS})
}

// tidy deletes rows that are no longer needed, and writes overrides that the store lacks after it
// has been restored from an older backup.
func (t *termsManager) tidy(ctx context.Context, s termsSnapshot) error {
	check, head := s.head()
	txn := backing.Txn{Checks: []backing.Check{check}}
	known := map[string]bool{}
	for _, o := range t.book.Overrides(t.clock.Now()) {
		known[o.Organisation] = true
		if s.overrides[o.Organisation].Version < o.Version && len(txn.Puts) < maxPutsPerTxn {
			txn.Puts = append(txn.Puts, s.row(o))
		}
	}
	for organisation, o := range s.overrides {
		if o.Age > terms.KeepTime && !known[organisation] && len(txn.Deletes) < maxExpiredDeletes {
			txn.Deletes = append(txn.Deletes, termsPrefix+organisation)
		}
	}
	if len(txn.Deletes) == 0 && len(txn.Puts) == 0 {
		return nil
	}
	txn.Puts = append(txn.Puts, head)
	_, err := t.kv.Commit(ctx, txn)
	return err
}

// change stores an operator's change, puts it in force and sends it to all daemons. The errors are
// faults.
func (t *termsManager) change(ctx context.Context, c terms.Change) error {
	o, err := t.commitChange(ctx, c)
	if err != nil {
		t.counters.refused.Add(1)
		return err
	}
	t.counters.stored.Add(1)
	slog.Info("terms.stored", "organisation", o.Organisation, "version", o.Version, "cleared", o.Cleared, "weight", o.Weight, "minimum", o.Minimum,
		"cap", o.Cap, "left_ms", o.Left.Milliseconds(), "who", o.Who, "reason", o.Reason, "applies", t.overload.FairSharesAnywhere())
	t.apply([]terms.Override{o})
	t.send(ctx, []terms.Override{o})
	return nil
}

// commitChange plans a change on what the store has now, and commits it.
func (t *termsManager) commitChange(ctx context.Context, c terms.Change) (terms.Override, error) {
	// tried are the overrides of commits whose outcome is unknown, by version.
	tried := map[int64]terms.Override{}
	for range maxTermsAttempts {
		s, err := t.read(ctx)
		if err != nil {
			return terms.Override{}, storeFault(err, len(tried) > 0)
		}
		stored := s.overrides[c.Organisation]
		if o, ok := tried[stored.Version]; ok && stored.Who == o.Who && stored.Reason == o.Reason && stored.Values == o.Values {
			return stored, nil
		}
		o, err := t.book.Plan(c, t.clock.Now(), s.nowMS)
		if err != nil {
			return o, planFault(err)
		}
		check, head := s.head()
		_, err = t.kv.Commit(ctx, backing.Txn{
			Checks: []backing.Check{check, {Key: termsPrefix + o.Organisation, Revision: s.revisions[o.Organisation]}},
			Puts:   []backing.Put{head, s.row(o)},
		})
		switch {
		case err == nil:
			return o, nil
		case backing.IsUnknownOutcome(err):
			tried[o.Version] = o
		case !trace.IsCompareFailed(err):
			return o, storeFault(err, len(tried) > 0)
		}
	}
	if len(tried) > 0 {
		return terms.Override{}, storeFault(trace.ConnectionProblem(nil, "store: answers are lost"), true)
	}
	return terms.Override{}, fault.New(fault.ConfigConflict, "%s: the overrides keep changing, nothing has been changed here", c.Organisation)
}

// storeFault is the fault of a change while the store does not answer.
func storeFault(err error, unknown bool) error {
	if unknown {
		return fault.New(fault.ConfigUnknown, "the store has not answered: the change may have been stored, list the terms to see: %v", err)
	}
	return fault.New(fault.StoreUnavailable, "the store does not answer this daemon, nothing has been changed: %v", err)
}

// planFault is the fault of a change that is refused.
func planFault(err error) error {
	kind := fault.ConfigInvalid
	switch {
	case trace.IsCompareFailed(err):
		kind = fault.ConfigConflict
	case trace.IsNotFound(err):
		kind = fault.NotFound
	}
	return fault.New(kind, "%s", trace.UserMessage(err))
}

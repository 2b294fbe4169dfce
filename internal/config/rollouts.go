package config

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// WriteRollouts stores roll-out states as one new generation, and returns the
// generation. edit gets the current rows of refs and returns the rows to write, or
// none to write nothing. checks are further conditions of the write, such as a
// lease that must still be held. If the head row changes concurrently,
// WriteRollouts calls edit again with the new rows; if one of checks fails, it
// returns a CompareFailed error.
func (s *Store) WriteRollouts(ctx context.Context, refs []VersionRef, checks []backing.Check, edit func(now map[VersionRef]Rollout) ([]Rollout, error)) (int64, error) {
	for {
		head, headRevision, err := s.Head(ctx)
		if err != nil {
			return 0, storeError(err)
		}
		current := map[VersionRef]Rollout{}
		for _, ref := range refs {
			r, found, err := s.Rollout(ctx, ref.String())
			if err != nil {
				return 0, storeError(err)
			}
			if found {
				current[ref] = r
			}
		}
		rows, err := edit(current)
		if err != nil || len(rows) == 0 {
			return head.Generation, err
		}
		txn := s.rolloutTxn(head, headRevision, rows)
		txn.Checks = append(txn.Checks, checks...)
		_, err = s.table.Commit(ctx, txn)
		if err == nil {
			return head.Generation + 1, nil
		}
		if !trace.IsCompareFailed(err) {
			return 0, s.resolveRolloutWrite(ctx, rows[0], err)
		}
		if err := s.verifyChecks(ctx, checks); err != nil {
			return 0, err
		}
	}
}

// rolloutTxn returns the transaction that writes rows and the next head row.
func (s *Store) rolloutTxn(head Head, headRevision int64, rows []Rollout) backing.Txn {
	next := head.Clone()
	next.Generation++
	txn := backing.Txn{Checks: []backing.Check{{Key: headKey, Revision: headRevision}}}
	for _, r := range rows {
		r.Updated = s.now()
		r.Generation = next.Generation
		next.Rollouts[r.VersionRef.String()] = next.Generation
		txn.Puts = append(txn.Puts, backing.PutJSON(rolloutKeyPrefix+r.VersionRef.String(), r))
	}
	txn.Puts = append(txn.Puts, backing.PutJSON(headKey, next))
	return txn
}

// resolveRolloutWrite returns the result of a write that failed with cause. If the
// outcome is unknown, it reads the row. It returns nil if the row has the wanted
// state and stage, and otherwise a ConfigUnknown error.
func (s *Store) resolveRolloutWrite(ctx context.Context, wanted Rollout, cause error) error {
	if !backing.IsUnknownOutcome(cause) {
		return storeError(cause)
	}
	row, _, err := s.Rollout(ctx, wanted.VersionRef.String())
	if err == nil && row.State == wanted.State && row.Stage == wanted.Stage {
		return nil
	}
	return fault.New(fault.ConfigUnknown, "the store does not say whether the change of %s was accepted; look at its status", wanted.VersionRef).WithRan(fault.RanUnknown)
}

// verifyChecks returns a CompareFailed error if one of checks no longer
// holds. Otherwise the commit failed because the head row changed.
func (s *Store) verifyChecks(ctx context.Context, checks []backing.Check) error {
	for _, c := range checks {
		row, err := s.table.Get(ctx, c.Key)
		if err != nil && !trace.IsNotFound(err) {
			return storeError(err)
		}
		if row.Revision != c.Revision {
			return trace.CompareFailed("row %q changed", c.Key)
		}
	}
	return nil
}

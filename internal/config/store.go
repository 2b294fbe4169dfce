package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Keys and key prefixes of the configuration's rows, and names of documents.
const (
	headKey           = "config/head"
	baseName          = "base"
	documentKeyPrefix = "config/document/"
	historyKeyPrefix  = "config/history/"
	changeKeyPrefix   = "config/change/"
	rolloutKeyPrefix  = "config/rollout/"
	overlayPrefix     = "overlay/"
)

// Head is the row that identifies the current configuration. Each accepted change
// increments Generation in the transaction that writes the changed rows.
type Head struct {
	Generation int64 `json:"generation"`
	// Documents maps document names, "base" or "overlay/SITE", to their revisions.
	Documents map[string]int64 `json:"documents"`
	// Rollouts maps "model@version" to the generation of its Rollout row.
	Rollouts map[string]int64 `json:"rollouts"`
}

// Clone returns a deep copy in which no map is nil.
func (h Head) Clone() Head {
	h.Documents = cloneMap(h.Documents)
	h.Rollouts = cloneMap(h.Rollouts)
	return h
}

func cloneMap(m map[string]int64) map[string]int64 {
	if m == nil {
		return map[string]int64{}
	}
	return maps.Clone(m)
}

// DocumentName returns the name of a site's overlay, or of the base if site is
// empty.
func DocumentName(site string) string {
	if site == "" {
		return baseName
	}
	return overlayPrefix + site
}

// StoredDocument is the row of one revision of a document.
type StoredDocument struct {
	Revision   int64     `json:"revision"`
	Generation int64     `json:"generation"`
	Text       string    `json:"text"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author,omitempty"`
	At         time.Time `json:"at"`
}

// Change is the row that makes applying a change idempotent. It is written in the
// transaction of the change with that id, or to mark the id as abandoned.
type Change struct {
	ID string `json:"id"`
	// Target is the name of the changed document.
	Target     string    `json:"target"`
	Revision   int64     `json:"revision"`
	Generation int64     `json:"generation"`
	Author     string    `json:"author,omitempty"`
	At         time.Time `json:"at"`
	// Abandoned marks an id whose write had an unknown outcome. The change was not
	// accepted, and this row prevents a delayed write from committing it later.
	Abandoned bool `json:"abandoned,omitempty"`
}

// ApplyRequest is a request to replace a document.
type ApplyRequest struct {
	// Site selects the overlay of a site; empty selects the base.
	Site string `json:"site"`
	// FromRevision is the revision that Text was edited from; 0 if the document
	// does not exist yet.
	FromRevision int64 `json:"from_revision"`
	// ChangeID identifies the change if the request is repeated.
	ChangeID string `json:"change_id"`
	Text     string `json:"text"`
	Author   string `json:"author"`
}

// Store reads and writes the configuration in a backing.Table.
type Store struct {
	table backing.Table
	now   func() time.Time
}

// NewStore returns a store that keeps the configuration in table.
func NewStore(table backing.Table, now func() time.Time) *Store {
	return &Store{table: table, now: now}
}

// Head reads the head row, and the revision of the row for conditional writes.
func (s *Store) Head(ctx context.Context) (Head, int64, error) {
	head := Head{}
	revision, err := backing.GetJSON(ctx, s.table, headKey, &head)
	return head.Clone(), revision, err
}

// Document reads a document. It returns the zero value for a document that does
// not exist.
func (s *Store) Document(ctx context.Context, target string) (StoredDocument, error) {
	var doc StoredDocument
	_, err := backing.GetJSON(ctx, s.table, documentKeyPrefix+target, &doc)
	return doc, err
}

// Rollout reads the Rollout row of a version given as "model@version". It returns
// false if there is none.
func (s *Store) Rollout(ctx context.Context, ref string) (Rollout, bool, error) {
	var r Rollout
	revision, err := backing.GetJSON(ctx, s.table, rolloutKeyPrefix+ref, &r)
	return r, revision != 0, err
}

// Apply checks a document and stores it as a new generation. If the change id was
// already accepted, it returns that change. Its faults have the kinds BadRequest,
// ConfigInvalid, ConfigConflict, ConfigUnknown and StoreUnavailable.
func (s *Store) Apply(ctx context.Context, req ApplyRequest) (Change, error) {
	if req.ChangeID == "" {
		return Change{}, fault.New(fault.BadRequest, "change_id: missing")
	}
	if done, found, err := s.readChange(ctx, req.ChangeID); err != nil || found {
		return s.changeResult(done, err)
	}
	head, headRevision, err := s.Head(ctx)
	if err != nil {
		return Change{}, storeError(err)
	}
	target := DocumentName(req.Site)
	if head.Documents[target] != req.FromRevision {
		return Change{}, s.conflictError(ctx, target, req.FromRevision, head.Documents[target])
	}
	if err := s.checkWithOtherDocuments(ctx, head, req); err != nil {
		return Change{}, err
	}
	change := Change{ID: req.ChangeID, Target: target, Revision: req.FromRevision + 1, Generation: head.Generation + 1, Author: req.Author, At: s.now()}
	txn := s.documentTxn(head, headRevision, change, req.Text)
	_, err = s.table.Commit(ctx, txn)
	switch {
	case err == nil:
		return change, nil
	case trace.IsCompareFailed(err):
		return s.retryAfterConflict(ctx, req)
	default:
		return s.resolveUnknownOutcome(ctx, req.ChangeID)
	}
}

// retryAfterConflict handles a commit of Apply whose conditions failed. It returns
// the change if this request was committed before, an error if the document was
// changed by another request, and else applies the request again.
func (s *Store) retryAfterConflict(ctx context.Context, req ApplyRequest) (Change, error) {
	if done, found, err := s.readChange(ctx, req.ChangeID); err != nil || found {
		return s.changeResult(done, err)
	}
	head, _, err := s.Head(ctx)
	if err != nil {
		return Change{}, storeError(err)
	}
	target := DocumentName(req.Site)
	if head.Documents[target] != req.FromRevision {
		return Change{}, s.conflictError(ctx, target, req.FromRevision, head.Documents[target])
	}
	// Another document was changed concurrently. The text has to be checked with it
	// before the next commit.
	return s.Apply(ctx, req)
}

// resolveUnknownOutcome determines whether a commit took effect that failed with an
// error other than CompareFailed.
//
// The commit may still be in transit when the change row is read. If a missing row
// were reported as a failure, the change could become active after it was reported
// as not accepted. So this function first writes an abandoned change row, on
// condition that the row does not exist. If that succeeds, the original commit can
// no longer succeed, because its transaction has the same condition.
func (s *Store) resolveUnknownOutcome(ctx context.Context, id string) (Change, error) {
	done, found, err := s.readChange(ctx, id)
	if err == nil && !found {
		abandoned := Change{ID: id, Abandoned: true, At: s.now()}
		_, err = s.table.Commit(ctx, backing.Txn{
			Checks: []backing.Check{{Key: changeKeyPrefix + id}},
			Puts:   []backing.Put{backing.PutJSON(changeKeyPrefix+id, abandoned)},
		})
		if err == nil {
			return Change{}, fault.New(fault.StoreUnavailable, "the change was not accepted; apply it again with a new change id")
		}
		done, found, err = s.readChange(ctx, id)
	}
	if err != nil || !found {
		return Change{}, fault.New(fault.ConfigUnknown, "the store does not say whether the change was accepted; ask again with change id %s", id).WithRan(fault.RanUnknown)
	}
	return s.changeResult(done, nil)
}

// changeResult converts the result of readChange, for a row that exists or an
// error, to the result of Apply.
func (s *Store) changeResult(c Change, err error) (Change, error) {
	if err != nil {
		return Change{}, storeError(err)
	}
	if c.Abandoned {
		return Change{}, fault.New(fault.ConfigConflict, "change id %s was given up; apply the change with a new one", c.ID)
	}
	return c, nil
}

func (s *Store) readChange(ctx context.Context, id string) (Change, bool, error) {
	var c Change
	revision, err := backing.GetJSON(ctx, s.table, changeKeyPrefix+id, &c)
	return c, revision != 0, err
}

// storeError converts errors of an unavailable store to the fault StoreUnavailable.
func storeError(err error) error {
	if backing.IsUnavailable(err) {
		return fault.New(fault.StoreUnavailable, "%v", err)
	}
	return trace.Wrap(err)
}

// documentTxn returns the transaction that writes a document, its history row, the
// change row and the next head row.
func (s *Store) documentTxn(head Head, headRevision int64, c Change, text string) backing.Txn {
	next := head.Clone()
	next.Generation = c.Generation
	next.Documents[c.Target] = c.Revision
	doc := StoredDocument{Revision: c.Revision, Generation: c.Generation, Text: text, ChangeID: c.ID, Author: c.Author, At: c.At}
	return backing.Txn{
		Checks: []backing.Check{
			{Key: headKey, Revision: headRevision},
			{Key: changeKeyPrefix + c.ID},
		},
		Puts: []backing.Put{
			backing.PutJSON(headKey, next),
			backing.PutJSON(documentKeyPrefix+c.Target, doc),
			backing.PutJSON(historyRowKey(c.Target, c.Revision), doc),
			backing.PutJSON(changeKeyPrefix+c.ID, c),
		},
	}
}

// historyRowKey returns a key whose order follows the revisions.
func historyRowKey(target string, revision int64) string {
	return fmt.Sprintf("%s%s/%012d", historyKeyPrefix, target, revision)
}

// conflictError returns the fault for a document that was changed since revision
// from. Its message has the difference between from and the current revision.
func (s *Store) conflictError(ctx context.Context, target string, from, current int64) error {
	before, after := s.historyText(ctx, target, from), s.historyText(ctx, target, current)
	diff, err := Difference(before, after)
	if err != nil {
		diff = "(not available)"
	}
	return fault.New(fault.ConfigConflict, "%s is at revision %d, not %d; changed since: %s", target, current, from, diff)
}

func (s *Store) historyText(ctx context.Context, target string, revision int64) []byte {
	var doc StoredDocument
	if revision > 0 {
		// If the row is missing or cannot be read, the text counts as empty. The
		// difference in the message is then larger than the actual one.
		_, _ = backing.GetJSON(ctx, s.table, historyRowKey(target, revision), &doc)
	}
	return []byte(doc.Text)
}

// checkWithOtherDocuments checks a base with each overlay, or an overlay with the
// base.
func (s *Store) checkWithOtherDocuments(ctx context.Context, head Head, req ApplyRequest) error {
	if req.Site != "" {
		base, err := s.Document(ctx, baseName)
		if err != nil {
			return storeError(err)
		}
		return invalidError("overlay "+req.Site, CheckSite([]byte(base.Text), []byte(req.Text), false))
	}
	if err := invalidError("base", CheckSite([]byte(req.Text), nil, true)); err != nil {
		return err
	}
	for _, target := range slices.Sorted(maps.Keys(head.Documents)) {
		site, isOverlay := strings.CutPrefix(target, overlayPrefix)
		if !isOverlay {
			continue
		}
		overlay, err := s.Document(ctx, target)
		if err != nil {
			return storeError(err)
		}
		if err := invalidError("base with overlay "+site, CheckSite([]byte(req.Text), []byte(overlay.Text), true)); err != nil {
			return err
		}
	}
	return nil
}

// invalidError wraps err as a ConfigInvalid fault; it returns nil for nil.
func invalidError(what string, err error) error {
	if err == nil {
		return nil
	}
	return fault.New(fault.ConfigInvalid, "%s: %v", what, err)
}

// CheckSite parses and checks a base with an overlay. The line numbers of problems
// in the merged document refer to the base if baseChanged is set, and else to the
// overlay.
func CheckSite(base, overlay []byte, baseChanged bool) error {
	baseDoc, err := parseNonEmpty(base)
	if err != nil {
		return err
	}
	if _, err := parseNonEmpty(overlay); err != nil {
		return err
	}
	merged, err := Merge(base, overlay)
	if err != nil {
		return err
	}
	text := overlay
	if baseChanged {
		text = base
	}
	problems := Check(merged, text)
	problems = append(problems, CheckOverlay(baseDoc, merged, text)...)
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// parseNonEmpty is Parse, except that an empty text is an empty document.
func parseNonEmpty(text []byte) (Document, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return Document{}, nil
	}
	return Parse(text)
}

// History returns the accepted revisions of a document, oldest first. If there are
// more than limit, it omits the oldest ones.
func (s *Store) History(ctx context.Context, site string, limit int) ([]StoredDocument, error) {
	var rows []backing.Row
	for after := ""; ; {
		page, err := s.table.List(ctx, historyKeyPrefix+DocumentName(site)+"/", after, limit)
		if err != nil {
			return nil, storeError(err)
		}
		rows = append(rows, page...)
		rows = rows[max(len(rows)-limit, 0):]
		if len(page) < limit {
			break
		}
		after = page[len(page)-1].Key
	}
	out := make([]StoredDocument, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &out[i]); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return out, nil
}

// changeRetention is how long the outcome of a change can be looked up by its id.
const changeRetention = 30 * 24 * time.Hour

// SweepChanges deletes Change rows that are older than changeRetention, one page
// per call; see backing.Sweep. The revisions remain in the history.
func (s *Store) SweepChanges(ctx context.Context, after string) (next string, deleted int, err error) {
	return backing.Sweep(ctx, s.table, changeKeyPrefix, after, func(row backing.Row) bool {
		var c Change
		return json.Unmarshal(row.Value, &c) == nil && s.now().Sub(c.At) > changeRetention
	})
}

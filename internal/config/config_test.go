package config

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

var ctx = context.Background()

func example(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name)
	require.NoError(t, err)
	return string(text)
}

// Guards against example documents that the checks reject, and against a merge that
// loses fields of the base which the overlay does not set.
func TestExampleDocumentsAreValid(t *testing.T) {
	base := []byte(example(t, "base.jsonc"))
	for _, site := range []string{"gothenburg", "tbilisi"} {
		require.NoError(t, CheckSite(base, []byte(example(t, "overlay-"+site+".jsonc")), false))
	}
	doc, err := Merge(base, []byte(example(t, "overlay-gothenburg.jsonc")))
	require.NoError(t, err)
	require.Equal(t, 0.95, doc.Kinds["clearance"].QualityTarget)
	require.True(t, doc.Kinds["clearance"].KeyRequired, "kept from the base")
	s := NewSnapshot(1, doc, nil)
	name, ok := s.OrganisationOf("example-key-visrad")
	require.True(t, ok)
	require.True(t, s.Allows(name, VersionRef{"notes-large", "2"}))
	require.False(t, s.Allows("franchise-batumi", VersionRef{"mail-small", "2"}))
}

// Guards against new sessions for a withdrawn version when only one of the document
// and the Rollout row has the state Withdrawn.
func TestWithdrawnStateOverridesOthers(t *testing.T) {
	a, b := VersionRef{"m", "1"}, VersionRef{"m", "2"}
	doc := Document{Models: map[string]Model{"m": {Versions: map[string]Version{"1": {State: Withdrawn}, "2": {State: Serving}}}}}
	s := NewSnapshot(1, doc, []Rollout{{VersionRef: a, State: Serving, Share: 1}, {VersionRef: b, State: Withdrawn}})
	for _, ref := range []VersionRef{a, b} {
		state, _ := s.State(ref)
		require.Equal(t, Withdrawn, state)
		require.Zero(t, s.NewSessionShare(ref))
	}
}

// Guards against reporting a change as failed when its outcome is unknown, and
// against applying it twice. The commit or its response is lost, and the change row
// cannot be read afterwards. Repeating the request returns the actual outcome.
func TestChangeWithUnknownOutcome(t *testing.T) {
	for _, action := range []backing.FaultAction{backing.FaultLoseAnswer, backing.FaultLoseRequest} {
		memory := backing.NewMemory()
		store := NewStore(memory, time.Now)
		lost := false
		memory.SetFault(func(p backing.FaultPoint) backing.FaultAction {
			switch {
			case p.Op == "commit" && !lost:
				lost = true
				return action
			case lost:
				return backing.FaultRefuse
			default:
				return backing.FaultNone
			}
		})
		req := ApplyRequest{ChangeID: "c", Text: example(t, "base.jsonc")}
		_, err := store.Apply(ctx, req)
		require.True(t, fault.Is(err, fault.ConfigUnknown))
		memory.SetFault(nil)
		change, err := store.Apply(ctx, req)
		require.NoError(t, err)
		require.Equal(t, int64(1), change.Generation)
		head, _, err := store.Head(ctx)
		require.NoError(t, err)
		require.Equal(t, int64(1), head.Generation)
	}
}

// Guards against a change that takes effect after it was reported as not accepted,
// because its commit was delayed and reaches the store after the report.
func TestDelayedWriteDoesNotTakeEffectLater(t *testing.T) {
	memory := backing.NewMemory()
	store := NewStore(memory, time.Now)
	var delayed *backing.Txn
	memory.SetFault(func(p backing.FaultPoint) backing.FaultAction {
		if p.Op == "commit" && delayed == nil {
			delayed = p.Txn
			return backing.FaultLoseRequest
		}
		return backing.FaultNone
	})
	_, err := store.Apply(ctx, ApplyRequest{ChangeID: "c", Text: example(t, "base.jsonc")})
	require.True(t, fault.Is(err, fault.StoreUnavailable))
	require.Equal(t, fault.RanNo, fault.From(err).Ran)
	_, err = memory.Commit(ctx, *delayed)
	require.Error(t, err)
	head, _, err := store.Head(ctx)
	require.NoError(t, err)
	require.Zero(t, head.Generation)
}

// Guards against a follower that installs rows of different generations, which were
// read during changes, or a delta that is older than the active generation.
func TestFollowerNeverMixesGenerationsOrGoesBack(t *testing.T) {
	memory := backing.NewMemory()
	store := NewStore(memory, time.Now)
	clock := clockwork.NewFakeClock()
	follower := NewFollower("s", store, clock)
	peer := NewFollower("s", store, clock)
	doc := func(n int) string {
		return fmt.Sprintf(`{"kinds":{"k":{"quality_target":0.5,"deadline_ms":%d}}}`, n)
	}
	var old Delta
	for n := 1; n <= 20; n++ {
		for _, site := range []string{"", "s"} {
			_, err := store.Apply(ctx, ApplyRequest{Site: site, FromRevision: int64(n - 1), ChangeID: fmt.Sprint(site, n), Text: doc(n)})
			require.NoError(t, err)
		}
		torn := follower.DeltaFor("s", Head{})
		torn.Head.Generation += 100
		torn.Head.Documents[baseName]++
		require.False(t, peer.Install(torn))
		require.NoError(t, follower.Refresh(ctx))
		require.Equal(t, int64(n), follower.Current().Doc.Kinds["k"].DeadlineMS)
		require.True(t, peer.Install(follower.DeltaFor("s", peer.Head())))
		require.Equal(t, follower.Generation(), peer.Generation())
		if n == 1 {
			old = follower.DeltaFor("s", Head{})
		}
		peer.Install(old)
		require.Equal(t, int64(n), peer.Current().Doc.Kinds["k"].DeadlineMS)
	}
}

// Guards against a daemon that dispatches after a pause without reading the store,
// because it takes its last confirmation as recent. A confirmation counts from the
// time of its request, and does not apply to other generations.
func TestConfirmationAgesFromRequestTime(t *testing.T) {
	memory := backing.NewMemory()
	store := NewStore(memory, time.Now)
	clock := clockwork.NewFakeClock()
	_, err := store.Apply(ctx, ApplyRequest{ChangeID: "c", Text: `{}`})
	require.NoError(t, err)
	f := NewFollower("s", store, clock)
	require.Greater(t, f.SinceConfirmed(), time.Hour)
	require.NoError(t, f.Refresh(ctx))
	require.Zero(t, f.SinceConfirmed())
	clock.Advance(time.Minute)
	require.Equal(t, time.Minute, f.SinceConfirmed())
	f.Confirm(f.Generation()-1, clock.Now())
	require.Equal(t, time.Minute, f.SinceConfirmed(), "an older generation confirms nothing")
	f.Confirm(f.Generation(), clock.Now().Add(-time.Second))
	require.Equal(t, time.Second, f.SinceConfirmed())
}

// Guards against a history that ends at its thousandth revision: an operator who looks up the last
// change must see it.
func TestHistoryHasTheNewestRevisions(t *testing.T) {
	memory := backing.NewMemory()
	store := NewStore(memory, time.Now)
	for revision := range int64(7) {
		_, err := memory.Commit(context.Background(), backing.Txn{Puts: []backing.Put{
			backing.PutJSON(historyRowKey(DocumentName("s"), revision), StoredDocument{Revision: revision}),
		}})
		require.NoError(t, err)
	}
	rows, err := store.History(context.Background(), "s", 3)
	require.NoError(t, err)
	require.Len(t, rows, 3)
	require.Equal(t, []int64{4, 5, 6}, []int64{rows[0].Revision, rows[1].Revision, rows[2].Revision})
}

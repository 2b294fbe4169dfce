package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

var ctx = context.Background()

// usageByRequest is a UsageReader that returns the usage set for each request.
type usageByRequest map[string]upstream.RequestUsage

func (e usageByRequest) RequestUsage(_ context.Context, _, id string) (upstream.RequestUsage, error) {
	return e[id], nil
}

func bill(id string, state State) Bill {
	return Bill{RequestID: id, State: state, Upstream: "u", OutputPrice: 2}
}

func listBills(t *testing.T, store Store) map[string]Entry {
	t.Helper()
	rows, err := List(ctx, store, "")
	require.NoError(t, err)
	out := map[string]Entry{}
	for _, r := range rows {
		require.NotContains(t, out, r.RequestID, "billed twice")
		out[r.RequestID] = r
	}
	return out
}

// A daemon is paused between opening a bill and sending the request. It is
// considered dead, and a peer voids the bill because the upstream ran nothing.
// The daemon then resumes and sends the request: its own bill must be listed.
func TestOwnerBillReplacesVoidBill(t *testing.T) {
	store := backing.NewMemory()
	replicas := NewReplicaStore("h", store, usageByRequest{}, clockwork.NewFakeClock())
	replicas.Add("a", 0, []Bill{bill("a-1", Open)})
	done, err := replicas.Seal(ctx, "a")
	require.NoError(t, err)
	require.True(t, done)
	require.Empty(t, listBills(t, store))
	owner := NewLog(store, "a", "a")
	require.NoError(t, owner.Append(ctx, []Bill{bill("a-1", Answered)}, false))
	require.Equal(t, Answered, listBills(t, store)["a-1"].State)
}

// A daemon is paused while a plain service runs its request, and is considered
// dead. A peer cannot read the usage from the service and presumes a failure.
// After the daemon resumes, its own bill must replace the presumed one, and the
// next seal must not add another.
func TestOwnerBillReplacesPresumedBill(t *testing.T) {
	store := backing.NewMemory()
	replicas := NewReplicaStore("h", store, usageByRequest{}, clockwork.NewFakeClock())
	call := Bill{RequestID: "a-1", State: Open, Service: "folders", Upstream: "u"}
	replicas.Add("a", 0, []Bill{call})
	_, err := replicas.Seal(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, Failed, listBills(t, store)["a-1"].State)
	owner := NewLog(store, "a", "a")
	call.State, call.Amount = Answered, 7
	require.NoError(t, owner.Append(ctx, []Bill{call}, false))
	_, err = replicas.Seal(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, int64(7), listBills(t, store)["a-1"].Amount)
}

// A request still runs at the upstream when its daemon is found dead. The bill
// must stay open until the upstream reports the final usage; otherwise the
// request would be billed with an amount of 0.
func TestSealWaitsForRunningWork(t *testing.T) {
	store := backing.NewMemory()
	usage := usageByRequest{"a-1": {Attempts: 1, Running: true}}
	replicas := NewReplicaStore("h", store, usage, clockwork.NewFakeClock())
	replicas.Add("a", 0, []Bill{bill("a-1", Open)})
	done, err := replicas.Seal(ctx, "a")
	require.NoError(t, err)
	require.False(t, done)
	require.Empty(t, listBills(t, store))
	usage["a-1"] = upstream.RequestUsage{Attempts: 1, Finished: true, Usage: upstream.Usage{CompletionTokens: 5}}
	done, err = replicas.Seal(ctx, "a")
	require.NoError(t, err)
	require.True(t, done)
	require.Equal(t, int64(10), listBills(t, store)["a-1"].Amount)
}

// An owner that was only paused and two peers with replicas append the same bills
// in any order, while commits are refused or their requests or responses are
// lost. After all have succeeded, every request must have exactly one bill.
func TestEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := backing.NewMemory()
		store.SetFault(func(p backing.FaultPoint) backing.FaultAction {
			if p.Op != "commit" {
				return backing.FaultNone
			}
			return rapid.SampledFrom([]backing.FaultAction{
				backing.FaultNone, backing.FaultNone, backing.FaultRefuse, backing.FaultLoseAnswer, backing.FaultLoseRequest,
			}).Draw(t, "fault")
		})
		usage := usageByRequest{}
		clock := clockwork.NewFakeClock()
		owner := NewLog(store, "a", "a")
		replicaStores := []*ReplicaStore{NewReplicaStore("h1", store, usage, clock), NewReplicaStore("h2", store, usage, clock)}
		var pending []Bill
		n := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"request", "commit", "seal"}).Draw(t, "step") {
			case "request":
				n++
				b := bill(fmt.Sprintf("a-%d", n), Answered)
				usage[b.RequestID] = upstream.RequestUsage{Attempts: 1, Finished: true}
				copied := b
				if rapid.Bool().Draw(t, "copy is open") {
					copied.State = Open
				}
				for _, r := range replicaStores {
					r.Add("a", owner.Last(), []Bill{copied})
				}
				pending = append(pending, b)
			case "commit":
				if owner.Append(ctx, pending, false) == nil {
					pending = nil
				}
			case "seal":
				_, _ = replicaStores[rapid.IntRange(0, 1).Draw(t, "holder")].Seal(ctx, "a")
			}
		}
		store.SetFault(nil)
		if err := owner.Append(ctx, pending, false); err != nil {
			t.Fatal(err)
		}
		for _, r := range replicaStores {
			if _, err := r.Seal(ctx, "a"); err != nil {
				t.Fatal(err)
			}
		}
		rows, err := List(ctx, store, "")
		if err != nil || len(rows) != n {
			t.Fatalf("%d bills of %d requests (%v)", len(rows), n, err)
		}
	})
}

// noPeers is the Replicator of a daemon without peers.
type noPeers struct{}

func (noPeers) Replicate(context.Context, string, int64, []Bill) error { return errors.New("no peers") }
func (noPeers) Release(context.Context, string, []string)              {}
func (noPeers) Epoch() uint64                                          { return 0 }

// A daemon without peers commits each closed bill immediately, while its regular
// commit has selected the same bill. An organisation is billed twice if the
// second writer does not check whether the first has written the bill meanwhile.
func TestConcurrentCommitsBillOnce(t *testing.T) {
	store := backing.NewMemory()
	l := New("a", store, noPeers{}, clockwork.NewRealClock(), Options{
		CommitInterval: func() time.Duration { return time.Microsecond }, MaxPending: 1000, ReplicationTimeout: time.Second,
	})
	running, stop := context.WithCancel(ctx)
	var loop, requests sync.WaitGroup
	loop.Go(func() { l.Run(running) })
	const n = 300
	for i := range n {
		requests.Go(func() {
			b := bill(fmt.Sprintf("a-%d", i), Open)
			if err := l.Open(ctx, b); err != nil {
				t.Error(err)
			}
			b.State = Answered
			l.Close(ctx, b)
		})
	}
	requests.Wait()
	require.NoError(t, l.Commit(ctx))
	stop()
	loop.Wait()
	require.Len(t, listBills(t, store), n)
}

// Old batches are archived while the owner continues to append, a response of the
// store is lost, and a peer seals the log. List must return the same bills before
// and after archiving, each once.
func TestArchivedBillsAreListedOnce(t *testing.T) {
	store := backing.NewMemory()
	owner := NewLog(store, "a", "a")
	n := 0
	more := func(batches int) {
		for range batches {
			n++
			require.NoError(t, owner.Append(ctx, []Bill{bill(fmt.Sprintf("a-%d", n), Answered)}, false))
		}
	}
	more(archiveMinBatches + archiveKeepBatches - 1)
	moved, err := Archive(ctx, store, "a")
	require.NoError(t, err)
	require.Zero(t, moved, "fewer batches than the minimum")
	more(1)
	store.SetFault(func(p backing.FaultPoint) backing.FaultAction {
		if p.Op == "commit" {
			return backing.FaultLoseAnswer
		}
		return backing.FaultNone
	})
	_, err = Archive(ctx, store, "a")
	require.Error(t, err)
	store.SetFault(nil)
	require.Len(t, listBills(t, store), n)
	rows, err := store.List(ctx, batchPrefix, "", 1000)
	require.NoError(t, err)
	require.Len(t, rows, archiveKeepBatches)
	more(archiveMinBatches)
	moved, err = ArchiveDue(ctx, store)
	require.NoError(t, err)
	require.Equal(t, int64(archiveMinBatches), moved)
	require.Len(t, listBills(t, store), n)

	// The replicas are older than the batches that are left in the table.
	replicas := NewReplicaStore("h", store, usageByRequest{"a-1": {Attempts: 1, Finished: true}}, clockwork.NewFakeClock())
	replicas.Add("a", 0, []Bill{bill("a-1", Open), bill("a-new", Answered)})
	done, err := replicas.Seal(ctx, "a")
	require.NoError(t, err)
	require.True(t, done)
	require.Len(t, listBills(t, store), n+1)
	_, err = ArchiveDue(ctx, store)
	require.NoError(t, err)
	require.Len(t, listBills(t, store), n+1)
}

// Guards against a bill that stays open until its daemon ends. The request is found not to have
// run, and its bill is cancelled, while a commit that contains the open bill is on its way.
func TestBillIsVoidedDuringItsCommit(t *testing.T) {
	store := backing.NewMemory()
	l := New("a", store, noPeers{}, clockwork.NewFakeClock(), Options{
		CommitInterval: func() time.Duration { return time.Hour }, MaxPending: 10, ReplicationTimeout: time.Second,
	})
	require.True(t, l.put(bill("a-1", Open), true))
	store.SetFault(func(p backing.FaultPoint) backing.FaultAction {
		if p.Op == "commit" {
			l.Void("a-1")
		}
		return backing.FaultNone
	})
	require.NoError(t, l.Commit(ctx))
	store.SetFault(nil)
	require.NoError(t, l.Commit(ctx))
	require.Zero(t, l.Pending())
	for id, b := range listBills(t, store) {
		require.NotEqual(t, Open, b.State, id)
	}
}

package routes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/platform/platformtest"
	"github.com/hornbeamsill/hornbeamsill/platform/wire"
)

// leavePropagation is the time for which daemons may still send requests to a server after the
// store has acknowledged the row that says that it is draining.
const leavePropagation = 2 * time.Second

// raiseRevision raises the revision of the store by writing an operator row whose key daemons
// ignore.
func (s *testbed) raiseRevision(revisions int) {
	for range revisions {
		s.store.Put(wire.TableOperator, "note", "nothing")
	}
}

// waitUpToDate waits until the daemons have read the newest revision of the store.
func (s *testbed) waitUpToDate(daemons []*daemon) {
	s.t.Helper()
	newest := s.store.Revision()
	for _, d := range daemons {
		s.eventually(func() error {
			if got := s.status(d).List.Revision; got < newest {
				return trace.Errorf("%s has read revision %d of %d", d.Name, got, newest)
			}
			return nil
		})
	}
}

// newTestbedAheadOfBackup returns a testbed with three servers, of which first is one, and a
// backup of its store. The store has written more than 32 revisions since the backup, and the
// daemons have read them.
func newTestbedAheadOfBackup(t *testing.T) (s *testbed, first *platformtest.Server, daemons []*daemon, backup platformtest.Backup) {
	s = newTestbed(t)
	first = s.startThreeServers("", nil)
	backup = s.store.Backup()
	daemons = s.startDaemons(3)
	s.raiseRevision(32)
	s.store.PutManifest(newManifest(5))
	s.waitUpToDate(daemons)
	return s, first, daemons, backup
}

// restoreAfterOutage resets connections to the store until the given daemons have lost it,
// then restores a backup and ends the outage.
func (s *testbed) restoreAfterOutage(from platformtest.Backup, daemons ...*daemon) {
	s.t.Helper()
	s.store.SetFault(platformtest.FaultReset)
	for _, d := range daemons {
		s.waitForLog(d, "store.lost")
	}
	s.store.RestoreBackup(from)
	s.store.SetFault(platformtest.FaultNone)
}

// requireNoneAfterLeaving registers a server as draining, and requires that it gets no request
// after leavePropagation while the load is served.
func (s *testbed) requireNoneAfterLeaving(server *platformtest.Server, l *load) {
	s.t.Helper()
	server.Register(s.store, wire.StateDraining)
	bound := time.Now().Add(leavePropagation)
	s.waitUntil(bound.Add(2 * time.Second))
	s.requireAllServed(l.finish())
	require.Empty(s.t, server.ReceivedSince(bound), "requests at a server that is leaving or gone")
}

// Guards against a draining server that daemons do not notice: the store was restored from a
// backup and assigns revisions again that the daemons have already read.
func TestServerLeavesAfterStoreRestore(t *testing.T) {
	s, leaving, daemons, backup := newTestbedAheadOfBackup(t)
	s.restoreAfterOutage(backup, daemons[0])
	s.store.PutManifest(newManifest(5))
	l := s.startLoad(daemons)
	s.requireNoneAfterLeaving(leaving, l)
}

// Guards against daemons that keep revisions from before a second restore of the store,
// shortly after the first one, and so miss that a server is draining.
func TestServerLeavesAfterTwoStoreRestores(t *testing.T) {
	s, leaving, daemons, backup := newTestbedAheadOfBackup(t)
	s.restoreAfterOutage(backup, daemons[0])
	s.raiseRevision(16)
	s.store.PutManifest(newManifest(7))
	for _, d := range daemons {
		s.waitForLog(d, "config.in_force", "version=7 ")
	}
	s.store.RestoreBackup(backup)
	s.store.PutManifest(newManifest(7))
	l := s.startLoad(daemons)
	s.requireNoneAfterLeaving(leaving, l)
}

// Guards against a daemon that is frozen while the store is restored from a backup, and then
// compares revisions from before the restore with new ones.
func TestDaemonFrozenDuringStoreRestore(t *testing.T) {
	s, leaving, daemons, backup := newTestbedAheadOfBackup(t)
	require.NoError(t, daemons[2].Pause())
	s.restoreAfterOutage(backup, daemons[0])
	s.store.PutManifest(newManifest(5))
	daemons[2].Resume()
	l := s.startLoad(daemons)
	s.requireNoneAfterLeaving(leaving, l)
}

// Guards against requests to a removed server that the restored backup still lists.
func TestRemovedServerStaysRemovedAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	gone := s.startThreeServers("", nil)
	daemons := s.startDaemons(3)
	backup := s.store.Backup()
	s.store.Remove(wire.TableInstances, "cat-1")
	for _, d := range daemons {
		s.waitUnlisted(d, "cat-1")
	}
	s.waitUpToDate(daemons)
	s.restoreAfterOutage(backup, daemons[0])
	l := s.startLoad(daemons)
	from := time.Now()
	s.waitUntil(from.Add(2 * time.Second))
	s.store.Remove(wire.TableInstances, "cat-1")
	s.waitUntil(from.Add(3 * time.Second))
	s.requireAllServed(l.finish())
	require.Empty(t, gone.ReceivedSince(from), "requests at a server that is leaving or gone")
}

// Guards against running servers that are treated as gone because the restored backup does not
// list them yet.
func TestServersMissingFromBackupAreUsed(t *testing.T) {
	s := newTestbed(t)
	daemons := s.startDaemons(1)
	backup := s.store.Backup()
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.waitListed(daemons, "cat-1")
	// There is no outage that daemons could notice.
	s.store.RestoreBackup(backup)
	l := s.startLoad(daemons)
	s.waitUntil(time.Now().Add(time.Second))
	s.servers["cat-1"].Register(s.store, wire.StateReady)
	s.waitUntil(time.Now().Add(2 * time.Second))
	s.requireAllServed(l.finish())
}

// Guards against configurations that come into force late, and against daemons that read the
// store in a tight loop, while the revisions of the restored store are lower than those that
// the daemons have read.
func TestConfigurationAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	s.startThreeServers("", nil)
	backup := s.store.Backup()
	daemons := s.startDaemons(3)
	s.raiseRevision(60)
	s.store.PutManifest(newManifest(5))
	s.waitUpToDate(daemons)
	s.restoreAfterOutage(backup, daemons[0])
	before, _ := s.store.Counts()
	back := time.Now()
	l := s.startLoad(daemons)
	s.waitUntil(back.Add(2 * time.Second))
	s.store.PutManifest(newManifest(7))
	for _, d := range daemons {
		s.waitForLog(d, "config.in_force", "version=7 ")
	}
	s.waitUntil(back.Add(4 * time.Second))
	after, _ := s.store.Counts()
	require.Less(t, after-before, 60, "reads in the 4 s after the restore")
	s.requireAllServed(l.finish())
	for _, d := range daemons {
		require.Equal(t, int64(7), s.status(d).Config.Version)
	}
}

// Guards against an evacuation that ends, or an ended one that is in force again, because the
// restored backup has the earlier state.
func TestEvacuationsAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	daemons := s.startDaemons(3)
	s.store.Evacuate("hall-c")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-c")
	}
	backup := s.store.Backup()
	s.store.Evacuate("hall-b")
	s.store.EndEvacuation("hall-c")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-b")
		s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-c")
	}
	s.waitUpToDate(daemons)
	s.restoreAfterOutage(backup, daemons[0])
	before := s.requestsIn("hall-b")
	l := s.startLoad(daemons)
	s.waitUntil(time.Now().Add(1500 * time.Millisecond))
	s.store.Evacuate("hall-b")
	s.store.EndEvacuation("hall-c")
	s.waitUntil(time.Now().Add(4 * time.Second))
	s.requireAllServed(l.finish())
	require.Equal(t, before, s.requestsIn("hall-b"), "requests in an evacuated failure domain")
	for _, d := range daemons {
		require.Len(t, s.status(d).Evacuations, 1)
		s.sendUntilDomainReached(d, "hall-c")
	}
}

// Guards against an evacuation that is in force for ever after the store has lost its row and
// the operator does not order it again.
func TestEvacuationMissingFromBackupEnds(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	daemons := s.startDaemons(2)
	backup := s.store.Backup()
	s.store.Evacuate("hall-b")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-b")
	}
	s.restoreAfterOutage(backup, daemons[0])
	for _, d := range daemons {
		s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-b")
	}
}

// Guards against a completed roll-out that starts again, and whose completion the operator no
// longer sees, because its order has another revision in the restored store.
func TestRolloutAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	for n := range 2 {
		for _, version := range []string{"v1", "v2"} {
			s.startServer(platformtest.ServerOptions{ID: fmt.Sprintf("cat-%s-%d", version, n), Service: plainService, Version: version})
		}
	}
	backup := s.store.Backup()
	daemons := s.startDaemons(3)
	l := s.startLoad(daemons)
	s.raiseRevision(5)
	s.store.OrderRollout(plainService, "v2", 6*time.Second)
	complete := func() error {
		if state := s.store.RolloutState(plainService); state != "completed" {
			return trace.Errorf("the stored roll-out state is %q", state)
		}
		return nil
	}
	s.eventually(complete)
	s.restoreAfterOutage(backup, daemons[0])
	from := time.Now()
	s.store.OrderRollout(plainService, "v2", 6*time.Second)
	s.eventually(complete)
	s.requireAllServed(l.finish())
	for n := range 2 {
		require.Empty(t, s.servers[fmt.Sprint("cat-v1-", n)].ReceivedSince(from), "requests at the old version")
	}
}

// Guards against daemons that start after the store was restored and find no other daemons,
// because the backup has no rows of these.
func TestDaemonRowsAreRewrittenAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	s.startThreeServers("", nil)
	backup := s.store.Backup()
	first := s.startReadyDaemon()
	s.waitForLog(first, "daemon.announced")
	s.restoreAfterOutage(backup, first)
	s.waitForLog(first, "store.restored")
	s.eventually(func() error {
		if s.store.Value("hornbeamsill", "daemon/"+first.Name) == nil {
			return trace.Errorf("the row of the daemon is missing")
		}
		return nil
	})
}

// Guards against daemons that read a store that keeps no history in a tight loop.
func TestStoreWithoutHistory(t *testing.T) {
	s := newTestbed(t)
	s.startThreeServers("", nil)
	daemons := s.startDaemons(3)
	s.store.DisableHistory()
	for _, d := range daemons[:1] {
		s.waitForLog(d, "store.history_gone")
	}
	before, _ := s.store.Counts()
	s.waitUntil(time.Now().Add(2 * time.Second))
	after, _ := s.store.Counts()
	require.Less(t, after-before, 100, "reads in 2 s")
	s.store.PutManifest(newManifest(7))
	for _, d := range daemons {
		s.waitForLog(d, "config.in_force", "version=7 ")
	}
}

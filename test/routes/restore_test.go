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

// leftBound is the time from a server's acknowledged word that it leaves after which it gets
// nothing.
const leavePropagation = 2 * time.Second

// advance has the operator write rows that mean nothing, so that the store's revisions rise.
func (s *testbed) raiseRevision(revisions int) {
	for range revisions {
		s.store.Put(wire.TableOperator, "note", "nothing")
	}
}

// upToDate waits until daemons know all that the store holds.
func (s *testbed) waitUpToDate(daemons []*daemon) {
	s.t.Helper()
	newest := s.store.Revision()
	for _, d := range daemons {
		s.eventually(func() error {
			if got := s.status(d).List.Revision; got < newest {
				return trace.Errorf("%s knows %d of %d", d.Name, got, newest)
			}
			return nil
		})
	}
}

// newSiteAheadOfCopy returns a site whose store has moved on by many revisions from a copy, as
// all daemons know, and the first of three servers.
func newTestbedAheadOfBackup(t *testing.T) (s *testbed, first *platformtest.Server, daemons []*daemon, copied platformtest.Copy) {
	s = newTestbed(t)
	first = s.startThreeServers("", nil)
	copied = s.store.Copy()
	daemons = s.startDaemons(3)
	s.raiseRevision(32)
	s.store.Declare(newManifest(5))
	s.waitUpToDate(daemons)
	return s, first, daemons, copied
}

// awayAndBack takes the store away for some time, brings it back from a copy, and waits until
// daemons have noticed.
func (s *testbed) restoreAfterOutage(from platformtest.Copy, daemons ...*daemon) {
	s.t.Helper()
	s.store.SetFault(platformtest.FaultReset)
	for _, d := range daemons {
		s.waitForLog(d, "store.lost")
	}
	s.store.RestoreFrom(from)
	s.store.SetFault(platformtest.FaultNone)
}

// leaves has a server say that it leaves, and requires that it gets nothing after the bound.
func (s *testbed) requireNoneAfterLeaving(server *platformtest.Server, l *load) {
	s.t.Helper()
	server.Register(s.store, wire.StateDraining)
	bound := time.Now().Add(leavePropagation)
	s.waitUntil(bound.Add(2 * time.Second))
	s.requireAllServed(l.finish())
	require.Empty(s.t, server.SeenSince(bound), "requests at a server that has left")
}

// Guards against a leaving server's word that is never seen because the store, back from an
// older copy, gives revisions out again.
func TestServerLeavesAfterStoreRestore(t *testing.T) {
	s, leaving, daemons, copied := newTestbedAheadOfBackup(t)
	s.restoreAfterOutage(copied, daemons[0])
	s.store.Declare(newManifest(5))
	l := s.startLoad(daemons)
	s.requireNoneAfterLeaving(leaving, l)
}

// Guards against a second return of the store, shortly after the first, that leaves daemons
// with revisions of the first.
func TestServerLeavesAfterTwoStoreRestores(t *testing.T) {
	s, leaving, daemons, copied := newTestbedAheadOfBackup(t)
	s.restoreAfterOutage(copied, daemons[0])
	s.raiseRevision(16)
	s.store.Declare(newManifest(7))
	for _, d := range daemons {
		s.waitForLog(d, "config.in_force", "version=7 ")
	}
	s.store.RestoreFrom(copied)
	s.store.Declare(newManifest(7))
	l := s.startLoad(daemons)
	s.requireNoneAfterLeaving(leaving, l)
}

// Guards against a daemon that is frozen while the store comes back older, and compares its
// revisions with those of before when it wakes.
func TestDaemonFrozenDuringStoreRestore(t *testing.T) {
	s, leaving, daemons, copied := newTestbedAheadOfBackup(t)
	require.NoError(t, daemons[2].Freeze())
	s.restoreAfterOutage(copied, daemons[0])
	s.store.Declare(newManifest(5))
	daemons[2].Wake()
	l := s.startLoad(daemons)
	s.requireNoneAfterLeaving(leaving, l)
}

// Guards against a server that has left and gets requests again because the copy still lists
// it.
func TestRemovedServerStaysRemovedAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	gone := s.startThreeServers("", nil)
	daemons := s.startDaemons(3)
	copied := s.store.Copy()
	s.store.Remove(wire.TableInstances, "cat-1")
	for _, d := range daemons {
		s.waitUnlisted(d, "cat-1")
	}
	s.waitUpToDate(daemons)
	s.restoreAfterOutage(copied, daemons[0])
	l := s.startLoad(daemons)
	from := time.Now()
	s.waitUntil(from.Add(2 * time.Second))
	s.store.Remove(wire.TableInstances, "cat-1")
	s.waitUntil(from.Add(3 * time.Second))
	s.requireAllServed(l.finish())
	require.Empty(t, gone.SeenSince(from), "requests at a server that has left")
}

// Guards against servers that are taken for gone because an older copy does not list them
// yet.
func TestServersMissingFromBackupAreUsed(t *testing.T) {
	s := newTestbed(t)
	daemons := s.startDaemons(1)
	copied := s.store.Copy()
	s.startServer(platformtest.ServerOptions{ID: "cat-1", Service: plainService})
	s.waitListed(daemons, "cat-1")
	// No daemon notices an outage.
	s.store.RestoreFrom(copied)
	l := s.startLoad(daemons)
	s.waitUntil(time.Now().Add(time.Second))
	s.servers["cat-1"].Register(s.store, wire.StateReady)
	s.waitUntil(time.Now().Add(2 * time.Second))
	s.requireAllServed(l.finish())
}

// Guards against configurations that come late, and against daemons that ask the store again
// and again, while its revisions are lower than those known.
func TestConfigurationAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	s.startThreeServers("", nil)
	copied := s.store.Copy()
	daemons := s.startDaemons(3)
	s.raiseRevision(60)
	s.store.Declare(newManifest(5))
	s.waitUpToDate(daemons)
	s.restoreAfterOutage(copied, daemons[0])
	before, _ := s.store.Counts()
	back := time.Now()
	l := s.startLoad(daemons)
	s.waitUntil(back.Add(2 * time.Second))
	s.store.Declare(newManifest(7))
	for _, d := range daemons {
		s.waitForLog(d, "config.in_force", "version=7 ")
	}
	s.waitUntil(back.Add(4 * time.Second))
	after, _ := s.store.Counts()
	require.Less(t, after-before, 60, "reads in 4 s of the return")
	s.requireAllServed(l.finish())
	for _, d := range daemons {
		require.Equal(t, int64(7), s.status(d).Config.Version)
	}
}

// Guards against an evacuation that is undone, or brought back, by what an older copy says
// of it.
func TestEvacuationsAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	daemons := s.startDaemons(3)
	s.store.Evacuate("hall-c")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-c")
	}
	copied := s.store.Copy()
	s.store.Evacuate("hall-b")
	s.store.Restore("hall-c")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-b")
		s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-c")
	}
	s.waitUpToDate(daemons)
	s.restoreAfterOutage(copied, daemons[0])
	before := s.requestsIn("hall-b")
	l := s.startLoad(daemons)
	s.waitUntil(time.Now().Add(1500 * time.Millisecond))
	s.store.Evacuate("hall-b")
	s.store.Restore("hall-c")
	s.waitUntil(time.Now().Add(4 * time.Second))
	s.requireAllServed(l.finish())
	require.Equal(t, before, s.requestsIn("hall-b"), "requests in an evacuated failure domain")
	for _, d := range daemons {
		require.Len(t, s.status(d).Evacuations, 1)
		s.sendUntilDomainReached(d, "hall-c")
	}
}

// Guards against an evacuation that stands for ever because the store has lost it and the
// operator does not order it again.
func TestEvacuationMissingFromBackupEnds(t *testing.T) {
	s := newTestbed(t)
	s.startTwoPerDomain()
	daemons := s.startDaemons(2)
	copied := s.store.Copy()
	s.store.Evacuate("hall-b")
	for _, d := range daemons {
		s.waitEvacuated(d, "hall-b")
	}
	s.restoreAfterOutage(copied, daemons[0])
	for _, d := range daemons {
		s.waitForLog(d, "evacuation.lifted", "failure_domain=hall-b")
	}
}

// Guards against a roll-out that begins again, and an operator who is not told any more that
// it is complete, because its order has another revision in the store that came back.
func TestRolloutAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	for n := range 2 {
		for _, version := range []string{"v1", "v2"} {
			s.startServer(platformtest.ServerOptions{ID: fmt.Sprintf("cat-%s-%d", version, n), Service: plainService, Version: version})
		}
	}
	copied := s.store.Copy()
	daemons := s.startDaemons(3)
	l := s.startLoad(daemons)
	s.raiseRevision(5)
	s.store.Order(plainService, "v2", 6*time.Second)
	complete := func() error {
		if state := s.store.Rollout(plainService); state != "completed" {
			return trace.Errorf("the operator knows %q", state)
		}
		return nil
	}
	s.eventually(complete)
	s.restoreAfterOutage(copied, daemons[0])
	from := time.Now()
	s.store.Order(plainService, "v2", 6*time.Second)
	s.eventually(complete)
	s.requireAllServed(l.finish())
	for n := range 2 {
		require.Empty(t, s.servers[fmt.Sprint("cat-v1-", n)].SeenSince(from), "requests at the old version")
	}
}

// Guards against daemons that start after the store came back and find no others, since the
// rows that tell of these are lost.
func TestDaemonRowsAreRewrittenAfterStoreRestore(t *testing.T) {
	s := newTestbed(t)
	s.startThreeServers("", nil)
	copied := s.store.Copy()
	first := s.startReadyDaemon()
	s.waitForLog(first, "daemon.announced")
	s.restoreAfterOutage(copied, first)
	s.waitForLog(first, "store.restored")
	s.eventually(func() error {
		if s.store.Value("hornbeamsill", "daemon/"+first.Name) == nil {
			return trace.Errorf("the row is lost")
		}
		return nil
	})
}

// Guards against daemons that ask a store which keeps no history as often as it answers.
func TestStoreWithoutHistory(t *testing.T) {
	s := newTestbed(t)
	s.startThreeServers("", nil)
	daemons := s.startDaemons(3)
	s.store.Forget()
	for _, d := range daemons[:1] {
		s.waitForLog(d, "store.history_gone")
	}
	before, _ := s.store.Counts()
	s.waitUntil(time.Now().Add(2 * time.Second))
	after, _ := s.store.Counts()
	require.Less(t, after-before, 100, "reads in 2 s")
	s.store.Declare(newManifest(7))
	for _, d := range daemons {
		s.waitForLog(d, "config.in_force", "version=7 ")
	}
}

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
const leftBound = 2 * time.Second

// advance has the operator write rows that mean nothing, so that the store's revisions rise.
func (s *site) advance(revisions int) {
	for range revisions {
		s.store.Put(wire.TableOperator, "note", "nothing")
	}
}

// upToDate waits until daemons know all that the store holds.
func (s *site) upToDate(daemons []*daemon) {
	s.t.Helper()
	newest := s.store.Revision()
	for _, d := range daemons {
		s.eventually(func() error {
			if got := s.beliefs(d).List.Revision; got < newest {
				return trace.Errorf("%s knows %d of %d", d.Name, got, newest)
			}
			return nil
		})
	}
}

// newSiteAheadOfCopy returns a site whose store has moved on by many revisions from a copy, as
// all daemons know, and the first of three servers.
func newSiteAheadOfCopy(t *testing.T) (s *site, first *platformtest.Server, daemons []*daemon, copied platformtest.Copy) {
	s = newSite(t)
	first = s.threeServers("", nil)
	copied = s.store.Copy()
	daemons = s.limitDaemons(3)
	s.advance(32)
	s.store.Declare(declaration(5))
	s.upToDate(daemons)
	return s, first, daemons, copied
}

// awayAndBack takes the store away for some time, brings it back from a copy, and waits until
// daemons have noticed.
func (s *site) awayAndBack(from platformtest.Copy, daemons ...*daemon) {
	s.t.Helper()
	s.store.SetFault(platformtest.FaultReset)
	for _, d := range daemons {
		s.logged(d, "store.lost")
	}
	s.store.RestoreFrom(from)
	s.store.SetFault(platformtest.FaultNone)
}

// leaves has a server say that it leaves, and requires that it gets nothing after the bound.
func (s *site) leaves(server *platformtest.Server, l *load) {
	s.t.Helper()
	server.Register(s.store, wire.StateDraining)
	bound := time.Now().Add(leftBound)
	s.lasts(bound.Add(2 * time.Second))
	s.allServed(l.all())
	require.Empty(s.t, server.SeenSince(bound), "requests at a server that has left")
}

// Guards against a leaving server's word that is never seen because the store, back from an
// older copy, gives revisions out again.
func TestServerLeavesAfterTheStoreCameBackOlder(t *testing.T) {
	s, leaving, daemons, copied := newSiteAheadOfCopy(t)
	s.awayAndBack(copied, daemons[0])
	s.store.Declare(declaration(5))
	l := s.steady(daemons)
	s.leaves(leaving, l)
}

// Guards against a second return of the store, shortly after the first, that leaves daemons
// with revisions of the first.
func TestServerLeavesAfterTheStoreCameBackTwice(t *testing.T) {
	s, leaving, daemons, copied := newSiteAheadOfCopy(t)
	s.awayAndBack(copied, daemons[0])
	s.advance(16)
	s.store.Declare(declaration(7))
	for _, d := range daemons {
		s.logged(d, "config.in_force", "version=7 ")
	}
	s.store.RestoreFrom(copied)
	s.store.Declare(declaration(7))
	l := s.steady(daemons)
	s.leaves(leaving, l)
}

// Guards against a daemon that is frozen while the store comes back older, and compares its
// revisions with those of before when it wakes.
func TestDaemonThatWasFrozenWhileTheStoreCameBackOlder(t *testing.T) {
	s, leaving, daemons, copied := newSiteAheadOfCopy(t)
	require.NoError(t, daemons[2].Freeze())
	s.awayAndBack(copied, daemons[0])
	s.store.Declare(declaration(5))
	daemons[2].Wake()
	l := s.steady(daemons)
	s.leaves(leaving, l)
}

// Guards against a server that has left and gets requests again because the copy still lists
// it.
func TestServerThatIsGoneStaysGoneInAnOlderCopy(t *testing.T) {
	s := newSite(t)
	gone := s.threeServers("", nil)
	daemons := s.limitDaemons(3)
	copied := s.store.Copy()
	s.store.Remove(wire.TableInstances, "cat-1")
	for _, d := range daemons {
		s.gone(d, "cat-1")
	}
	s.upToDate(daemons)
	s.awayAndBack(copied, daemons[0])
	l := s.steady(daemons)
	from := time.Now()
	s.lasts(from.Add(2 * time.Second))
	s.store.Remove(wire.TableInstances, "cat-1")
	s.lasts(from.Add(3 * time.Second))
	s.allServed(l.all())
	require.Empty(t, gone.SeenSince(from), "requests at a server that has left")
}

// Guards against servers that are taken for gone because an older copy does not list them
// yet.
func TestServersThatAnOlderCopyLacksAreUsed(t *testing.T) {
	s := newSite(t)
	daemons := s.limitDaemons(1)
	copied := s.store.Copy()
	s.server(platformtest.ServerOptions{ID: "cat-1", Service: plain})
	s.listed(daemons, "cat-1")
	// No daemon notices an outage.
	s.store.RestoreFrom(copied)
	l := s.steady(daemons)
	s.lasts(time.Now().Add(time.Second))
	s.servers["cat-1"].Register(s.store, wire.StateReady)
	s.lasts(time.Now().Add(2 * time.Second))
	s.allServed(l.all())
}

// Guards against configurations that come late, and against daemons that ask the store again
// and again, while its revisions are lower than those known.
func TestConfigurationAfterTheStoreCameBackOlder(t *testing.T) {
	s := newSite(t)
	s.threeServers("", nil)
	copied := s.store.Copy()
	daemons := s.limitDaemons(3)
	s.advance(60)
	s.store.Declare(declaration(5))
	s.upToDate(daemons)
	s.awayAndBack(copied, daemons[0])
	before, _ := s.store.Counts()
	back := time.Now()
	l := s.steady(daemons)
	s.lasts(back.Add(2 * time.Second))
	s.store.Declare(declaration(7))
	for _, d := range daemons {
		s.logged(d, "config.in_force", "version=7 ")
	}
	s.lasts(back.Add(4 * time.Second))
	after, _ := s.store.Counts()
	require.Less(t, after-before, 60, "reads in 4 s of the return")
	s.allServed(l.all())
	for _, d := range daemons {
		require.Equal(t, int64(7), s.beliefs(d).Config.Version)
	}
}

// Guards against an evacuation that is undone, or brought back, by what an older copy says
// of it.
func TestEvacuationsAfterTheStoreCameBackOlder(t *testing.T) {
	s := newSite(t)
	s.twoPerHall()
	daemons := s.limitDaemons(3)
	s.store.Evacuate("hall-c")
	for _, d := range daemons {
		s.evacuatedAt(d, "hall-c")
	}
	copied := s.store.Copy()
	s.store.Evacuate("hall-b")
	s.store.Restore("hall-c")
	for _, d := range daemons {
		s.evacuatedAt(d, "hall-b")
		s.logged(d, "evacuation.lifted", "failure_domain=hall-c")
	}
	s.upToDate(daemons)
	s.awayAndBack(copied, daemons[0])
	before := s.arrivals("hall-b")
	l := s.steady(daemons)
	s.lasts(time.Now().Add(1500 * time.Millisecond))
	s.store.Evacuate("hall-b")
	s.store.Restore("hall-c")
	s.lasts(time.Now().Add(4 * time.Second))
	s.allServed(l.all())
	require.Equal(t, before, s.arrivals("hall-b"), "requests in an evacuated failure domain")
	for _, d := range daemons {
		require.Len(t, s.beliefs(d).Evacuations, 1)
		s.reachesHall(d, "hall-c")
	}
}

// Guards against an evacuation that stands for ever because the store has lost it and the
// operator does not order it again.
func TestLostEvacuationEnds(t *testing.T) {
	s := newSite(t)
	s.twoPerHall()
	daemons := s.limitDaemons(2)
	copied := s.store.Copy()
	s.store.Evacuate("hall-b")
	for _, d := range daemons {
		s.evacuatedAt(d, "hall-b")
	}
	s.awayAndBack(copied, daemons[0])
	for _, d := range daemons {
		s.logged(d, "evacuation.lifted", "failure_domain=hall-b")
	}
}

// Guards against a roll-out that begins again, and an operator who is not told any more that
// it is complete, because its order has another revision in the store that came back.
func TestRolloutAfterTheStoreCameBackOlder(t *testing.T) {
	s := newSite(t)
	for n := range 2 {
		for _, version := range []string{"v1", "v2"} {
			s.server(platformtest.ServerOptions{ID: fmt.Sprintf("cat-%s-%d", version, n), Service: plain, Version: version})
		}
	}
	copied := s.store.Copy()
	daemons := s.limitDaemons(3)
	l := s.steady(daemons)
	s.advance(5)
	s.store.Order(plain, "v2", 6*time.Second)
	complete := func() error {
		if state := s.store.Rollout(plain); state != "completed" {
			return trace.Errorf("the operator knows %q", state)
		}
		return nil
	}
	s.eventually(complete)
	s.awayAndBack(copied, daemons[0])
	from := time.Now()
	s.store.Order(plain, "v2", 6*time.Second)
	s.eventually(complete)
	s.allServed(l.all())
	for n := range 2 {
		require.Empty(t, s.servers[fmt.Sprint("cat-v1-", n)].SeenSince(from), "requests at the old version")
	}
}

// Guards against daemons that start after the store came back and find no others, since the
// rows that tell of these are lost.
func TestDaemonRowsAreWrittenAgain(t *testing.T) {
	s := newSite(t)
	s.threeServers("", nil)
	copied := s.store.Copy()
	first := s.serving()
	s.logged(first, "daemon.announced")
	s.awayAndBack(copied, first)
	s.logged(first, "store.restored")
	s.eventually(func() error {
		if s.store.Value("hornbeamsill", "daemon/"+first.Name) == nil {
			return trace.Errorf("the row is lost")
		}
		return nil
	})
}

// Guards against daemons that ask a store which keeps no history as often as it answers.
func TestStoreWithoutHistory(t *testing.T) {
	s := newSite(t)
	s.threeServers("", nil)
	daemons := s.limitDaemons(3)
	s.store.Forget()
	for _, d := range daemons[:1] {
		s.logged(d, "store.history_gone")
	}
	before, _ := s.store.Counts()
	s.lasts(time.Now().Add(2 * time.Second))
	after, _ := s.store.Counts()
	require.Less(t, after-before, 100, "reads in 2 s")
	s.store.Declare(declaration(7))
	for _, d := range daemons {
		s.logged(d, "config.in_force", "version=7 ")
	}
}
